//! Requests that broke at replicas, until it is known whether these ended.

use std::collections::BTreeMap;
use std::time::Duration;

use croftrill_scheduler::crash_ledger::Fingerprint;
use croftrill_scheduler::replica::ReplicaId;

use crate::ports::CallerAddress;

/// A request whose answer went on for longer had been running well, and did not end
/// its replica by beginning: the longest step of an engine under load.
const BEGINS_WITHIN: Duration = Duration::from_secs(2);

/// A request that broke at a replica.
#[derive(Debug, Clone)]
pub struct BrokenRequest {
    /// The caller's id of the attempt.
    pub id: String,
    /// Identity of its content.
    pub fingerprint: Fingerprint,
    /// Where it came from.
    pub caller: Option<CallerAddress>,
    /// Time from the head of its answer to the last that came of it; `None` if there
    /// was no head yet.
    pub went_on_for: Option<Duration>,
}

impl BrokenRequest {
    /// True if it may have ended its replica by beginning there.
    pub fn had_just_begun(&self) -> bool {
        self.went_on_for.is_none_or(|age| age <= BEGINS_WITHIN)
    }
}

/// Requests that broke, by replica.
#[derive(Debug, Default)]
pub struct BrokenRequests(BTreeMap<ReplicaId, Vec<BrokenRequest>>);

impl BrokenRequests {
    /// Adds one; true if it is the first at its replica, which is to be judged then.
    pub fn add(&mut self, replica: &ReplicaId, request: BrokenRequest) -> bool {
        let broken = self.0.entry(replica.clone()).or_default();
        broken.push(request);
        broken.len() == 1
    }

    /// True while it is not known whether the replica ended.
    pub fn is_awaited(&self, replica: &ReplicaId) -> bool {
        self.0.contains_key(replica)
    }

    /// Those of a replica that has been judged.
    pub fn take(&mut self, replica: &ReplicaId) -> Vec<BrokenRequest> {
        self.0.remove(replica).unwrap_or_default()
    }
}
