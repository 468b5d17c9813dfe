//! Searches for connections, and probes.

use std::time::Duration;

use croftrill_scheduler::path_search::{Attempt, PathSearch, PeerAnswer, SearchFailure};
use croftrill_scheduler::peer_paths::PeerCandidate;
use croftrill_scheduler::replica_paths::PathChoice;
use proptest::prelude::Rng;

use super::{
    answer_code, moment, Fleet, NodeState, Request, Step, DEADLINE_MS, REQUEST_INTERVAL_MS, ROUND_TRIP_MS,
    SETTLE_MS,
};

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

impl Fleet {
    pub(super) fn arrive(&mut self, node: usize) {
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
    pub(super) fn search_next(&mut self, index: usize) {
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
        let head_start = node.paths.head_start(choice);
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

    pub(super) fn is_current(&self, index: usize, round: u32) -> bool {
        let request = &self.requests[index];
        let is_alive = self.nodes[request.node].state != NodeState::Down;
        request.round == round && request.served.is_none() && is_alive
    }

    pub(super) fn advance(&mut self, index: usize, round: u32) {
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

    pub(super) fn offer_peers(&mut self, index: usize) {
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

    pub(super) fn record_failure(&mut self, index: usize, failure: SearchFailure) {
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

    pub(super) fn record_own_failure(&mut self, index: usize, round: u32) {
        if !self.is_current(index, round) {
            return;
        }
        let now = moment(self.now);
        let request = &mut self.requests[index];
        request.has_own_failed = true;
        request.search.as_mut().expect("a search").record_own_failure(now);
        self.advance(index, round);
    }

    pub(super) fn record_own_connection(&mut self, index: usize, round: u32) {
        if !self.is_current(index, round) {
            return;
        }
        let (node, replica) = (self.requests[index].node, self.requests[index].replica);
        let paths = &mut self.nodes[node].paths;
        paths.record_connect_time(Duration::from_millis(ROUND_TRIP_MS));
        paths.record_reached(&self.ids[replica], moment(self.now));
        self.serve(index);
    }

    pub(super) fn serve(&mut self, index: usize) {
        let request = &mut self.requests[index];
        request.served = Some(self.now <= request.arrived_at + DEADLINE_MS);
    }

    /// Answers a question of another node.
    pub(super) fn answer(&mut self, index: usize, round: u32, peer: usize) {
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

    pub(super) fn dial_for_other(&mut self, peer: usize, replica: usize) -> (PeerAnswer, u64) {
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

    pub(super) fn not_reached(&self, peer: usize) -> PeerAnswer {
        if self.nodes[peer].paths.has_paths() {
            PeerAnswer::NotReached
        } else {
            PeerAnswer::NoPath
        }
    }

    /// Returns whether a node reaches two other replicas, drawn at random.
    pub(super) fn reaches_others(&mut self, node: usize, except: usize) -> bool {
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

    pub(super) fn record_answer(&mut self, index: usize, round: u32, peer: usize, answer: PeerAnswer) {
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

    pub(super) fn start_probe(&mut self, node: usize, replica: usize, confirms: bool) {
        let after = self
            .dial(node, replica)
            .map_or(PROBE_LIMIT_MS, |(_, after)| after);
        self.after(after, Step::ProbeEnd(node, replica, confirms));
    }

    /// Ends a probe. `confirms` tells whether another node reached the replica before.
    pub(super) fn end_probe(&mut self, node: usize, replica: usize, confirms: bool) {
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

    pub(super) fn probe_round(&mut self, node: usize) {
        self.after(PROBE_ROUND_MS, Step::ProbeRound(node));
        let due = self.nodes[node].paths.take_due_probes(4, moment(self.now));
        for id in due {
            let replica = self.ids.iter().position(|known| *known == id).expect("a replica");
            self.start_probe(node, replica, false);
        }
    }
}
