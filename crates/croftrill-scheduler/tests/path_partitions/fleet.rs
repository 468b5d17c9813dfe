//! A model of a fleet whose nodes connect to replicas. Time is in milliseconds.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use croftrill_scheduler::path_search::{Attempt, PathSearch, PeerAnswer, SearchFailure};
use croftrill_scheduler::peer_paths::{PeerCandidate, PeerPaths};
use croftrill_scheduler::replica::ReplicaId;
use croftrill_scheduler::replica_paths::{PathChoice, ReplicaPaths};
use croftrill_scheduler::time::Moment;
use proptest::prelude::Rng;
use proptest::test_runner::{RngAlgorithm, TestRng};

/// Round trip between any two machines.
const ROUND_TRIP_MS: u64 = 3;
/// Mean time between two requests at one node.
const REQUEST_INTERVAL_MS: u64 = 40;
/// Deadline of a caller.
const DEADLINE_MS: u64 = 600;
/// Objective of a request.
const OBJECTIVE: Duration = Duration::from_millis(100);
/// Limit of a search.
const SEARCH_LIMIT_MS: u64 = 400;
/// Limit of a connection for another node, and of its control connections.
const HELPER_LIMIT_MS: u64 = 200;
const CONTROL_LIMIT_MS: u64 = 60;
/// Limit of a probe, and interval of the rounds of probes.
const PROBE_LIMIT_MS: u64 = 200;
const PROBE_ROUND_MS: u64 = 250;
/// Time for which a request skips a replica that is down.
const SKIP_MS: u64 = 1_500;
/// Time from the start of a partition or of a node until its callers must be served as elsewhere.
const SETTLE_MS: u64 = 1_000;
/// Share of the others' rate that the callers of cut nodes must get.
const MIN_RATE: f64 = 0.9;
/// Requests below which a rate says nothing.
const MIN_REQUESTS: usize = 20;

/// How the paths of a node are cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    Silent,
    Refused,
}

/// How a replica fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaFault {
    Ended,
    Dark,
}

/// A disruption.
#[derive(Debug, Clone)]
pub enum Event {
    Partition {
        share: f64,
        cut: Cut,
        for_ms: u64,
        seed: u64,
    },
    Kill {
        node: usize,
        down_ms: u64,
    },
    Roll {
        node: usize,
        down_ms: u64,
    },
    Crash {
        replica: usize,
        for_ms: u64,
        fault: ReplicaFault,
    },
}

/// Size of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetSpec {
    pub nodes: usize,
    pub replicas: usize,
    pub seed: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NodeState {
    Serving,
    /// It finishes what it has.
    Stopping,
    Down,
}

struct Node {
    state: NodeState,
    state_since: u64,
    cut: Option<Cut>,
    paths: ReplicaPaths,
    peers: PeerPaths<usize>,
    skips: BTreeMap<usize, u64>,
    /// Whether its paths were ever cut.
    was_cut: bool,
}

struct Request {
    node: usize,
    arrived_at: u64,
    tried: Vec<usize>,
    search: Option<PathSearch<usize>>,
    /// Number of the search, as late ends of former ones do not count.
    round: u32,
    replica: usize,
    search_started_at: u64,
    has_own_failed: bool,
    served: Option<bool>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Disrupt(usize),
    EndPartition(usize),
    SetNode(usize, u8),
    EndCrash(usize),
    Arrive(usize),
    Wake(usize, u32),
    OwnFailed(usize, u32),
    OwnConnected(usize, u32),
    Asked(usize, u32, usize),
    Answered(usize, u32, usize, u8),
    ProbeRound(usize),
    ProbeEnd(usize, usize, bool),
}

/// A span of time in which no partition begins or ends.
struct Span {
    from: u64,
    to: u64,
    cut: Vec<bool>,
}

pub struct Fleet {
    nodes: Vec<Node>,
    /// Fault of each replica, and since when its state is as it is.
    replicas: Vec<(Option<ReplicaFault>, u64)>,
    ids: Vec<ReplicaId>,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    disruptions: Vec<Event>,
    requests: Vec<Request>,
    spans: Vec<Span>,
    /// Times at which nodes were not in service, as (node, from, to).
    absences: Vec<(usize, u64, u64)>,
    violations: Vec<String>,
    now: u64,
    count: u64,
    rng: TestRng,
}

fn moment(at_ms: u64) -> Moment {
    Moment::from_start(Duration::from_millis(at_ms))
}

fn answer_code(answer: PeerAnswer) -> u8 {
    match answer {
        PeerAnswer::Connected => 0,
        PeerAnswer::Down => 1,
        PeerAnswer::NoPath => 2,
        PeerAnswer::Busy => 3,
        PeerAnswer::Unanswered => 4,
        PeerAnswer::NotReached => 5,
    }
}

fn answer_of(code: u8) -> PeerAnswer {
    match code {
        0 => PeerAnswer::Connected,
        1 => PeerAnswer::Down,
        2 => PeerAnswer::NoPath,
        3 => PeerAnswer::Busy,
        5 => PeerAnswer::NotReached,
        _ => PeerAnswer::Unanswered,
    }
}

impl Node {
    fn new(now: u64) -> Self {
        Node {
            state: NodeState::Serving,
            state_since: now,
            cut: None,
            paths: ReplicaPaths::default(),
            peers: PeerPaths::default(),
            skips: BTreeMap::new(),
            was_cut: false,
        }
    }
}

impl Fleet {
    pub fn new(spec: FleetSpec) -> Self {
        let mut seed = [0; 32];
        seed[..8].copy_from_slice(&spec.seed.to_le_bytes());
        let mut fleet = Fleet {
            nodes: (0..spec.nodes).map(|_| Node::new(0)).collect(),
            replicas: vec![(None, 0); spec.replicas],
            ids: (0..spec.replicas)
                .map(|index| format!("r{index}").as_str().into())
                .collect(),
            steps: BinaryHeap::new(),
            disruptions: Vec::new(),
            requests: Vec::new(),
            spans: vec![Span {
                from: 0,
                to: 0,
                cut: vec![false; spec.nodes],
            }],
            absences: Vec::new(),
            violations: Vec::new(),
            now: 0,
            count: 0,
            rng: TestRng::from_seed(RngAlgorithm::ChaCha, &seed),
        };
        for node in 0..spec.nodes {
            let first = fleet.random(REQUEST_INTERVAL_MS as usize) as u64;
            fleet.at(first, Step::Arrive(node));
            fleet.at(first, Step::ProbeRound(node));
        }
        fleet
    }

    pub fn schedule(&mut self, at_ms: u64, event: Event) {
        self.disruptions.push(event);
        self.at(at_ms, Step::Disrupt(self.disruptions.len() - 1));
    }

    pub fn run(&mut self, until_ms: u64) {
        while let Some(Reverse((at, _, step))) = self.steps.pop() {
            if at > until_ms {
                break;
            }
            self.now = at;
            self.take(step);
        }
        self.now = until_ms;
        self.end_span();
    }

    /// Returns what contradicts the promises.
    pub fn violations(&self) -> Vec<String> {
        let rates = self.spans.iter().filter_map(|span| self.check_span(span));
        self.violations.iter().cloned().chain(rates).collect()
    }

    fn at(&mut self, at_ms: u64, step: Step) {
        self.count += 1;
        self.steps.push(Reverse((at_ms, self.count, step)));
    }

    fn after(&mut self, delay_ms: u64, step: Step) {
        self.at(self.now + delay_ms, step);
    }

    fn random(&mut self, below: usize) -> usize {
        (self.rng.next_u64() % below.max(1) as u64) as usize
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Disrupt(index) => self.disrupt(index),
            Step::EndPartition(index) => self.end_partition(index),
            Step::SetNode(node, code) => self.set_node(node, code),
            Step::EndCrash(replica) => self.replicas[replica] = (None, self.now),
            Step::Arrive(node) => self.arrive(node),
            Step::Wake(request, round) => self.advance(request, round),
            Step::OwnFailed(request, round) => self.record_own_failure(request, round),
            Step::OwnConnected(request, round) => self.record_own_connection(request, round),
            Step::Asked(request, round, peer) => self.answer(request, round, peer),
            Step::Answered(request, round, peer, code) => {
                self.record_answer(request, round, peer, answer_of(code));
            }
            Step::ProbeRound(node) => self.probe_round(node),
            Step::ProbeEnd(node, replica, confirms) => self.end_probe(node, replica, confirms),
        }
    }

    fn disrupt(&mut self, index: usize) {
        match self.disruptions[index].clone() {
            Event::Partition {
                share,
                cut,
                for_ms,
                seed,
            } => {
                if self.nodes.iter().any(|node| node.cut.is_some()) {
                    return;
                }
                self.end_span();
                let count = self.nodes.len();
                let cut_count = ((count as f64 * share).ceil() as usize).min(count);
                let first = (seed % count as u64) as usize;
                for offset in 0..cut_count {
                    let node = &mut self.nodes[(first + offset) % count];
                    node.cut = Some(cut);
                    node.was_cut = true;
                }
                self.begin_span();
                self.after(for_ms, Step::EndPartition(index));
            }
            Event::Kill { node, down_ms } => {
                let node = node % self.nodes.len();
                self.set_node(node, 2);
                self.after(down_ms, Step::SetNode(node, 0));
            }
            Event::Roll { node, down_ms } => {
                let node = node % self.nodes.len();
                self.set_node(node, 1);
                self.after(2_000, Step::SetNode(node, 2));
                self.after(2_000 + down_ms, Step::SetNode(node, 0));
            }
            Event::Crash {
                replica,
                for_ms,
                fault,
            } => {
                let replica = replica % self.replicas.len();
                self.replicas[replica] = (Some(fault), self.now);
                self.after(for_ms, Step::EndCrash(replica));
            }
        }
    }

    fn end_partition(&mut self, _index: usize) {
        self.check_cut_off();
        self.end_span();
        for node in &mut self.nodes {
            node.cut = None;
        }
        self.begin_span();
    }

    fn begin_span(&mut self) {
        let cut = self.nodes.iter().map(|node| node.cut.is_some()).collect();
        self.spans.push(Span {
            from: self.now,
            to: self.now,
            cut,
        });
    }

    fn end_span(&mut self) {
        if let Some(span) = self.spans.last_mut() {
            span.to = self.now;
        }
    }

    fn set_node(&mut self, node: usize, code: u8) {
        let state = [NodeState::Serving, NodeState::Stopping, NodeState::Down][usize::from(code)];
        let known = &mut self.nodes[node];
        if known.state == state {
            return;
        }
        if known.state != NodeState::Serving {
            self.absences
                .push((node, known.state_since, self.now + SETTLE_MS));
        }
        let cut = known.cut;
        if state == NodeState::Down {
            // Its requests end with it.
            let open = self.requests.iter_mut().filter(|request| request.node == node);
            open.filter(|request| request.served.is_none())
                .for_each(|request| request.served = Some(false));
        }
        let known = &mut self.nodes[node];
        if state == NodeState::Serving {
            *known = Node::new(self.now);
            known.cut = cut;
            known.was_cut = cut.is_some();
        }
        known.state = state;
        known.state_since = self.now;
    }

    /// Returns how a connection ends and after which time, or `None` if never.
    fn dial(&self, node: usize, replica: usize) -> Option<(bool, u64)> {
        match (self.nodes[node].cut, self.replicas[replica].0) {
            (None, None) => Some((true, ROUND_TRIP_MS)),
            (Some(Cut::Refused), _) | (None, Some(ReplicaFault::Ended)) => Some((false, ROUND_TRIP_MS)),
            (Some(Cut::Silent), _) | (None, Some(ReplicaFault::Dark)) => None,
        }
    }

    fn arrive(&mut self, node: usize) {
        let pause = 1 + self.random(2 * REQUEST_INTERVAL_MS as usize) as u64;
        self.after(pause, Step::Arrive(node));
        if self.nodes[node].state != NodeState::Serving {
            return;
        }
        self.check_not_cut_off(node);
        let request = Request {
            node,
            arrived_at: self.now,
            tried: Vec::new(),
            search: None,
            round: 0,
            replica: 0,
            search_started_at: self.now,
            has_own_failed: false,
            served: None,
        };
        self.requests.push(request);
        self.search_next(self.requests.len() - 1);
    }

    /// Starts a search for the next replica of a request.
    fn search_next(&mut self, index: usize) {
        let now = self.now;
        let node_index = self.requests[index].node;
        let tried = self.requests[index].tried.clone();
        let untried: Vec<usize> = (0..self.replicas.len())
            .filter(|id| !tried.contains(id))
            .collect();
        if untried.is_empty() || now >= self.requests[index].arrived_at + DEADLINE_MS {
            self.requests[index].served = Some(false);
            return;
        }
        let skips = &self.nodes[node_index].skips;
        let is_skipped = |id: &usize| skips.get(id).is_some_and(|until| now < *until);
        let fresh: Vec<usize> = untried.iter().copied().filter(|id| !is_skipped(id)).collect();
        let candidates = if fresh.is_empty() { untried } else { fresh };
        let replica = candidates[self.random(candidates.len())];
        let node = &self.nodes[node_index];
        let choice = node.paths.choose(&self.ids[replica]);
        let head_start = node.paths.head_start(choice, OBJECTIVE);
        let request = &mut self.requests[index];
        request.search = Some(PathSearch::new(choice, head_start, moment(now)));
        request.round += 1;
        request.replica = replica;
        request.search_started_at = now;
        request.has_own_failed = choice == PathChoice::Tunnel;
        let round = request.round;
        self.after(SEARCH_LIMIT_MS, Step::Wake(index, round));
        self.advance(index, round);
    }

    fn is_current(&self, index: usize, round: u32) -> bool {
        let request = &self.requests[index];
        let is_alive = self.nodes[request.node].state != NodeState::Down;
        request.round == round && request.served.is_none() && is_alive
    }

    fn advance(&mut self, index: usize, round: u32) {
        if !self.is_current(index, round) {
            return;
        }
        let now = self.now;
        let (node, replica) = (self.requests[index].node, self.requests[index].replica);
        loop {
            let search = self.requests[index].search.as_mut().expect("a search");
            let Some(attempt) = search.next_attempt(moment(now)) else {
                break;
            };
            match attempt {
                Attempt::Own => match self.dial(node, replica) {
                    Some((true, after)) => self.after(after, Step::OwnConnected(index, round)),
                    Some((false, after)) => self.after(after, Step::OwnFailed(index, round)),
                    None => {}
                },
                Attempt::Peer(peer) => self.after(ROUND_TRIP_MS, Step::Asked(index, round, peer)),
                Attempt::ListPeers => self.offer_peers(index),
            }
        }
        let search = self.requests[index].search.as_ref().expect("a search");
        let is_over = now >= self.requests[index].search_started_at + SEARCH_LIMIT_MS;
        let failure = search
            .failure()
            .or_else(|| is_over.then(|| search.failure_at_limit()));
        if let Some(failure) = failure {
            return self.record_failure(index, failure);
        }
        if let Some(at) = search.next_attempt_at() {
            // Rounded up, as attempts are due at fractions of a millisecond, too.
            let delay = at.since(moment(now)).as_millis() as u64 + 1;
            self.after(delay, Step::Wake(index, round));
        }
    }

    fn offer_peers(&mut self, index: usize) {
        let own = self.requests[index].node;
        let salt = self.rng.next_u64();
        let others = (0..self.nodes.len()).filter(|other| *other != own);
        let others = others.map(|key| PeerCandidate {
            key,
            processor_millicores: 250,
        });
        let peers = self.nodes[own].peers.order(others, salt, moment(self.now));
        let search = self.requests[index].search.as_mut().expect("a search");
        search.offer_peers(peers);
    }

    fn record_failure(&mut self, index: usize, failure: SearchFailure) {
        let (node, replica) = (self.requests[index].node, self.requests[index].replica);
        let now = self.now;
        let is_open =
            failure == SearchFailure::NoPath && !self.nodes[node].paths.is_broken(&self.ids[replica]);
        let is_reached = matches!(self.dial(node, replica), Some((true, _)));
        let failure = if is_open && !is_reached && self.reaches_others(node, replica) {
            SearchFailure::Down
        } else {
            failure
        };
        match failure {
            SearchFailure::NoPath => {
                self.nodes[node]
                    .paths
                    .record_broken(&self.ids[replica], false, moment(now));
            }
            SearchFailure::Down | SearchFailure::OwnPathFailed => {
                let (fault, since) = self.replicas[replica];
                let is_settled = now >= since + SETTLE_MS;
                if failure == SearchFailure::Down && fault.is_none() && is_settled {
                    self.violations
                        .push(format!("{now} ms: node {node} takes replica {replica} for down"));
                }
                self.nodes[node].skips.insert(replica, now + SKIP_MS);
            }
        }
        self.requests[index].tried.push(replica);
        self.search_next(index);
    }

    fn record_own_failure(&mut self, index: usize, round: u32) {
        if !self.is_current(index, round) {
            return;
        }
        let now = moment(self.now);
        let request = &mut self.requests[index];
        request.has_own_failed = true;
        request.search.as_mut().expect("a search").record_own_failure(now);
        self.advance(index, round);
    }

    fn record_own_connection(&mut self, index: usize, round: u32) {
        if !self.is_current(index, round) {
            return;
        }
        let (node, replica) = (self.requests[index].node, self.requests[index].replica);
        let paths = &mut self.nodes[node].paths;
        paths.record_connect_time(Duration::from_millis(ROUND_TRIP_MS));
        paths.record_reached(&self.ids[replica], moment(self.now));
        self.serve(index);
    }

    fn serve(&mut self, index: usize) {
        let request = &mut self.requests[index];
        request.served = Some(self.now <= request.arrived_at + DEADLINE_MS);
    }

    /// Answers a question of another node.
    fn answer(&mut self, index: usize, round: u32, peer: usize) {
        let replica = self.requests[index].replica;
        let id = self.ids[replica].clone();
        let now = self.now;
        let (answer, after) = match self.nodes[peer].state {
            NodeState::Down => (PeerAnswer::Unanswered, 0),
            NodeState::Stopping => (PeerAnswer::Busy, 0),
            NodeState::Serving if self.nodes[peer].paths.is_broken(&id) => (self.not_reached(peer), 0),
            NodeState::Serving if self.nodes[peer].paths.is_down(&id, moment(now)) => (PeerAnswer::Down, 0),
            NodeState::Serving => self.dial_for_other(peer, replica),
        };
        self.after(
            after + ROUND_TRIP_MS,
            Step::Answered(index, round, peer, answer_code(answer)),
        );
    }

    fn dial_for_other(&mut self, peer: usize, replica: usize) -> (PeerAnswer, u64) {
        let dialled = self.dial(peer, replica);
        if let Some((true, after)) = dialled {
            let now = moment(self.now);
            self.nodes[peer].paths.record_reached(&self.ids[replica], now);
            return (PeerAnswer::Connected, after);
        }
        let spent = dialled.map_or(HELPER_LIMIT_MS, |(_, after)| after);
        if self.reaches_others(peer, replica) {
            let now = moment(self.now);
            self.nodes[peer].paths.record_down(&self.ids[replica], now);
            return (PeerAnswer::Down, spent + ROUND_TRIP_MS);
        }
        (self.not_reached(peer), spent + CONTROL_LIMIT_MS)
    }

    fn not_reached(&self, peer: usize) -> PeerAnswer {
        if self.nodes[peer].paths.has_paths() {
            PeerAnswer::NotReached
        } else {
            PeerAnswer::NoPath
        }
    }

    /// Returns whether a node reaches two other replicas, drawn at random.
    fn reaches_others(&mut self, node: usize, except: usize) -> bool {
        if self.nodes[node].paths.broken_count() > 0 {
            return false;
        }
        let others: Vec<usize> = (0..self.replicas.len())
            .filter(|other| *other != except)
            .collect();
        let controls = [
            others[self.random(others.len())],
            others[self.random(others.len())],
        ];
        let reached = |control: &usize| matches!(self.dial(node, *control), Some((true, _)));
        controls.iter().all(reached)
    }

    fn record_answer(&mut self, index: usize, round: u32, peer: usize, answer: PeerAnswer) {
        if !self.is_current(index, round) {
            return;
        }
        let now = moment(self.now);
        let (node, replica) = (self.requests[index].node, self.requests[index].replica);
        self.nodes[node].peers.record_answer(peer, answer, now);
        if answer != PeerAnswer::Connected {
            let search = self.requests[index].search.as_mut().expect("a search");
            search.record_answer(answer, now);
            return self.advance(index, round);
        }
        let id = self.ids[replica].clone();
        let paths = &mut self.nodes[node].paths;
        if self.requests[index].has_own_failed {
            paths.record_broken(&id, true, now);
        } else {
            paths.record_trouble();
            if paths.begin_check(&id) {
                self.start_probe(node, replica, true);
            }
        }
        self.serve(index);
    }

    fn start_probe(&mut self, node: usize, replica: usize, confirms: bool) {
        let after = self
            .dial(node, replica)
            .map_or(PROBE_LIMIT_MS, |(_, after)| after);
        self.after(after, Step::ProbeEnd(node, replica, confirms));
    }

    /// Ends a probe. `confirms` tells whether another node reached the replica before.
    fn end_probe(&mut self, node: usize, replica: usize, confirms: bool) {
        let id = self.ids[replica].clone();
        let is_reached = matches!(self.dial(node, replica), Some((true, _)));
        let now = moment(self.now);
        let paths = &mut self.nodes[node].paths;
        paths.end_check(&id);
        if is_reached {
            paths.record_reached(&id, now);
        } else if confirms {
            paths.record_broken(&id, true, now);
        }
    }

    fn probe_round(&mut self, node: usize) {
        self.after(PROBE_ROUND_MS, Step::ProbeRound(node));
        let due = self.nodes[node].paths.take_due_probes(4, moment(self.now));
        for id in due {
            let replica = self.ids.iter().position(|known| *known == id).expect("a replica");
            self.start_probe(node, replica, false);
        }
    }

    fn is_cut_off(&self, node: usize) -> bool {
        self.nodes[node]
            .paths
            .is_cut_off_from(|_| true, || self.replicas.len())
    }

    /// A node whose paths were never cut must not take itself for cut off.
    fn check_not_cut_off(&mut self, node: usize) {
        if !self.nodes[node].was_cut && self.is_cut_off(node) {
            let now = self.now;
            self.violations
                .push(format!("{now} ms: node {node} takes itself for cut off"));
        }
    }

    /// A node must know by the end of a partition that it is cut off, if another one was in service.
    fn check_cut_off(&mut self) {
        let now = self.now;
        let Some(span) = self.spans.last() else { return };
        let since = span.from;
        if now < since + 2 * SETTLE_MS
            || self.replicas.iter().filter(|(fault, _)| fault.is_none()).count() < 3
        {
            return;
        }
        let is_steady = |node: usize| {
            self.nodes[node].state == NodeState::Serving
                && now >= self.nodes[node].state_since + 2 * SETTLE_MS
                && !self
                    .absences
                    .iter()
                    .any(|(absent, _, to)| *absent == node && *to > since)
        };
        let has_helper = (0..self.nodes.len()).any(|node| self.nodes[node].cut.is_none() && is_steady(node));
        let unaware = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].cut.is_some() && is_steady(*node) && !self.is_cut_off(*node));
        let unaware: Vec<usize> = unaware.collect();
        if has_helper && !unaware.is_empty() {
            self.violations.push(format!(
                "{now} ms: nodes {unaware:?} do not know that they are cut off"
            ));
        }
    }

    /// Compares the callers of cut nodes with the others', from [`SETTLE_MS`] after the cut.
    fn check_span(&self, span: &Span) -> Option<String> {
        let from = span.from + SETTLE_MS;
        let to = span.to.saturating_sub(DEADLINE_MS);
        let in_service = |node: usize| {
            let is_absent =
                |absence: &&(usize, u64, u64)| absence.0 == node && absence.1 < to && absence.2 > span.from;
            let is_away = self.nodes[node].state != NodeState::Serving && self.nodes[node].state_since < to;
            !is_away && self.absences.iter().find(is_absent).is_none()
        };
        let count = |is_cut: bool| {
            let nodes = (0..self.nodes.len()).filter(|node| span.cut[*node] == is_cut && in_service(*node));
            let nodes: Vec<usize> = nodes.collect();
            let requests = self.requests.iter().filter(|request| {
                nodes.contains(&request.node) && request.arrived_at >= from && request.arrived_at < to
            });
            let outcomes: Vec<bool> = requests.map(|request| request.served == Some(true)).collect();
            (outcomes.iter().filter(|served| **served).count(), outcomes.len())
        };
        let (cut, others) = (count(true), count(false));
        if cut.1 < MIN_REQUESTS || others.1 < MIN_REQUESTS {
            return None;
        }
        let rate = |(served, all): (usize, usize)| served as f64 / all as f64;
        (rate(cut) < MIN_RATE * rate(others)).then(|| {
            format!(
                "{from} to {to} ms: {} of {} served at cut nodes, {} of {} at others",
                cut.0, cut.1, others.0, others.1
            )
        })
    }
}
