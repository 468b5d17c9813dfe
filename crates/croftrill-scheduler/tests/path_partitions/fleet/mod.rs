//! A model of a fleet whose nodes connect to replicas. Time is in milliseconds.

mod checks;
mod searches;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use croftrill_scheduler::path_search::{PathSearch, PeerAnswer};
use croftrill_scheduler::peer_paths::PeerPaths;
use croftrill_scheduler::replica::ReplicaId;
use croftrill_scheduler::replica_paths::ReplicaPaths;
use croftrill_scheduler::time::Moment;
use proptest::prelude::Rng;
use proptest::test_runner::{RngAlgorithm, TestRng};

/// Round trip between any two machines.
const ROUND_TRIP_MS: u64 = 3;
/// Mean time between two requests at one node.
const REQUEST_INTERVAL_MS: u64 = 40;
/// Deadline of a caller.
const DEADLINE_MS: u64 = 600;
/// Time from the start of a partition or of a node until its callers must be served as elsewhere.
const SETTLE_MS: u64 = 1_000;

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
    EndPartition,
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
            Step::EndPartition => self.end_partition(),
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
                self.after(for_ms, Step::EndPartition);
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

    fn end_partition(&mut self) {
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
}
