//! This node's own paths to replicas.
//!
//! A connection that cannot be made does not prove that the replica is down: the path may be cut
//! for this node alone. So a path counts as broken only if another node reached the replica
//! while this node did not, or if other nodes cannot reach anything either.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use crate::replica::ReplicaId;
use crate::time::Moment;

/// How to connect to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathChoice {
    /// Over the node's own path, and over other nodes if that takes long.
    Own,
    /// As `Own`, but soon over other nodes, and not on a connection that was opened before: the
    /// node's paths may have been cut since.
    Suspect,
    /// Over another node, as the own path is broken.
    Tunnel,
}

/// Minimum time that the own path gets before other nodes are asked: several round trips
/// between two zones.
const MIN_HEAD_START: Duration = Duration::from_millis(10);
/// Maximum of the same.
const MAX_HEAD_START: Duration = Duration::from_millis(100);
/// Factor on the usual time to connect, above which a connection takes long.
const LONG_CONNECT_FACTOR: u32 = 4;
/// Weight of a new connection in the usual time to connect.
const CONNECT_TIME_GAIN: f64 = 0.125;
/// Interval between two probes of a broken path.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum number of confirmed broken paths of a node that counts as cut off.
const MIN_BROKEN_PATHS: usize = 2;
/// Time for which a replica that was found down is not tried again for other nodes.
const DOWN_VALIDITY: Duration = Duration::from_millis(500);
/// Maximum number of replicas that are stored as reached.
const MAX_REACHED: usize = 1024;

/// A path that does not work.
#[derive(Debug, Clone, Copy)]
struct BrokenPath {
    /// Whether another node reached the replica.
    is_confirmed: bool,
    probed_at: Moment,
}

/// The paths of one node to replicas.
#[derive(Debug, Default)]
pub struct ReplicaPaths {
    broken: BTreeMap<ReplicaId, BrokenPath>,
    /// When the first of the present broken paths was found.
    broken_since: Option<Moment>,
    /// When replicas were last reached over the own path.
    reached: HashMap<ReplicaId, Moment>,
    /// When replicas were found down, while others were reached.
    down: HashMap<ReplicaId, Moment>,
    /// Whether a connection failed or went silent since any replica was last reached.
    is_suspect: bool,
    /// Replicas whose path is being checked.
    in_check: BTreeSet<ReplicaId>,
    /// Smoothed time to connect.
    connect_time: Option<Duration>,
}

impl ReplicaPaths {
    /// Returns how to connect to a replica.
    pub fn choose(&self, replica: &ReplicaId) -> PathChoice {
        if self.broken.contains_key(replica) {
            PathChoice::Tunnel
        } else if self.is_suspect {
            PathChoice::Suspect
        } else {
            PathChoice::Own
        }
    }

    /// Returns the time that the own path gets before other nodes are asked.
    pub fn head_start(&self, choice: PathChoice) -> Duration {
        match choice {
            PathChoice::Tunnel => Duration::ZERO,
            PathChoice::Suspect => MIN_HEAD_START,
            PathChoice::Own => {
                let usual = self
                    .connect_time
                    .map_or(MIN_HEAD_START, |time| time.max(MIN_HEAD_START));
                (usual * LONG_CONNECT_FACTOR).min(MAX_HEAD_START)
            }
        }
    }

    /// Records the time that a connection over the own path took.
    pub fn record_connect_time(&mut self, time: Duration) {
        let known = self.connect_time.unwrap_or(time);
        let smoothed = known.mul_f64(1.0 - CONNECT_TIME_GAIN) + time.mul_f64(CONNECT_TIME_GAIN);
        self.connect_time = Some(smoothed);
    }

    /// Records that a replica was reached over the own path. Returns whether that was broken.
    pub fn record_reached(&mut self, replica: &ReplicaId, now: Moment) -> bool {
        self.is_suspect = false;
        self.down.remove(replica);
        if self.reached.len() >= MAX_REACHED && !self.reached.contains_key(replica) {
            self.reached.clear();
        }
        self.reached.insert(replica.clone(), now);
        let was_broken = self.broken.remove(replica).is_some();
        if self.broken.is_empty() {
            self.broken_since = None;
        }
        was_broken
    }

    /// Records that a connection over an own path failed or went silent.
    pub fn record_trouble(&mut self) {
        self.is_suspect = true;
    }

    /// Records that the own path to a replica is broken. `is_confirmed` tells whether another node
    /// reached the replica. Returns whether this is new.
    pub fn record_broken(&mut self, replica: &ReplicaId, is_confirmed: bool, now: Moment) -> bool {
        self.is_suspect = true;
        self.broken_since.get_or_insert(now);
        self.reached.remove(replica);
        let is_new = !self.broken.contains_key(replica);
        let path = self.broken.entry(replica.clone()).or_insert(BrokenPath {
            is_confirmed,
            probed_at: now,
        });
        path.is_confirmed |= is_confirmed;
        is_new
    }

    /// Begins a check of the own path to a replica. Returns false if one is under way.
    pub fn begin_check(&mut self, replica: &ReplicaId) -> bool {
        self.in_check.insert(replica.clone())
    }

    /// Ends a check of the own path to a replica.
    pub fn end_check(&mut self, replica: &ReplicaId) {
        self.in_check.remove(replica);
    }

    /// Returns whether the own path to a replica is broken, and another node reaches the replica.
    pub fn is_only_path_broken(&self, replica: &str) -> bool {
        self.broken.get(replica).is_some_and(|path| path.is_confirmed)
    }

    /// Returns the replicas whose own path is broken.
    pub fn broken(&self) -> impl Iterator<Item = &ReplicaId> {
        self.broken.keys()
    }

    /// Returns whether the own path to a replica is broken.
    pub fn is_broken(&self, replica: &str) -> bool {
        self.broken.contains_key(replica)
    }

    /// Returns whether some own path works, as far as is known.
    pub fn has_paths(&self) -> bool {
        let Some(since) = self.broken_since else {
            return true;
        };
        self.reached.values().any(|at| *at > since)
    }

    /// Returns the number of broken paths.
    pub fn broken_count(&self) -> usize {
        self.broken.len()
    }

    /// Records that a replica was not reached, and others were.
    pub fn record_down(&mut self, replica: &ReplicaId, now: Moment) {
        self.down.retain(|_, at| now.since(*at) < DOWN_VALIDITY);
        self.down.insert(replica.clone(), now);
    }

    /// Returns whether a replica was found down a moment ago.
    pub fn is_down(&self, replica: &str, now: Moment) -> bool {
        let found_at = self.down.get(replica);
        found_at.is_some_and(|at| now.since(*at) < DOWN_VALIDITY)
    }

    /// Returns up to `max` broken paths to probe now, those first that were not probed for longest.
    pub fn take_due_probes(&mut self, max: usize, now: Moment) -> Vec<ReplicaId> {
        let due = self.broken.iter_mut();
        let mut due: Vec<_> = due
            .filter(|(_, path)| now.since(path.probed_at) >= PROBE_INTERVAL)
            .collect();
        due.sort_by_key(|(_, path)| path.probed_at);
        let taken = due.into_iter().take(max);
        let taken = taken.map(|(id, path)| {
            path.probed_at = now;
            id.clone()
        });
        taken.collect()
    }

    /// Returns whether this node reaches fewer of some replicas than it lost, while another node
    /// reaches these. `is_included` holds for the replicas in question, and `count` returns their
    /// number.
    pub fn is_cut_off_from(&self, is_included: impl Fn(&str) -> bool, count: impl FnOnce() -> usize) -> bool {
        let Some(since) = self.broken_since else {
            return false;
        };
        let confirmed = self.broken.iter().filter(|(_, path)| path.is_confirmed);
        let lost = confirmed.filter(|(id, _)| is_included(id)).count();
        let reached = self.reached.iter().filter(|(_, at)| **at > since);
        let reached = reached.filter(|(id, _)| is_included(id)).count();
        lost > reached && lost >= MIN_BROKEN_PATHS.min(count())
    }

    /// Forgets replicas that are not known any more.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.broken.retain(|id, _| is_known(id));
        self.reached.retain(|id, _| is_known(id));
        if self.broken.is_empty() {
            self.broken_since = None;
        }
    }
}
