//! Requests whose exchange ended in a way that their replica's end would explain.

use std::collections::BTreeMap;
use std::time::Duration;

use croftrill_scheduler::crash_ledger::Fingerprint;
use croftrill_scheduler::replica::ReplicaId;
use croftrill_scheduler::time::Moment;
use http::StatusCode;

use crate::ports::{CallerAddress, PromptPart};

/// Duration of an answer up to which its request counts as just started: the longest step
/// of an engine under load. A request that ran for longer is a suspect only if no other had
/// just started.
pub const MAX_START_DURATION: Duration = Duration::from_secs(2);

/// How the exchange of a request with its replica ended, if that does not show that the replica lives on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// Before the answer was whole, or without an answer.
    CutOff,
    /// Not at all: nothing more arrived in time.
    Silent,
    /// With its connection, at a place where the answer may end. It was whole if the replica lives on.
    Closed {
        /// Status of the answer.
        status: StatusCode,
    },
}

/// A request whose exchange may have ended with its replica.
#[derive(Debug, Clone)]
pub struct BrokenRequest {
    /// The caller's id of the attempt.
    pub id: String,
    /// Hash of the request's content.
    pub fingerprint: Fingerprint,
    /// Parts of its prompt, in order.
    pub parts: Vec<PromptPart>,
    /// How its exchange ended.
    pub end: ExchangeEnd,
    /// Address of the caller.
    pub caller: Option<CallerAddress>,
    /// When its exchange ended. That is another moment than the end of an earlier exchange of the
    /// request, however soon it followed.
    pub broke_at: Moment,
    /// Time from the head of the answer to the last data received; `None` if no head was
    /// received.
    pub answer_duration: Option<Duration>,
}

impl BrokenRequest {
    /// Returns whether the request may have ended its replica by starting there.
    pub fn had_just_started(&self) -> bool {
        self.answer_duration.is_none_or(|age| age <= MAX_START_DURATION)
    }
}

/// Broken requests by replica, until a check shows whether the replica has ended.
#[derive(Debug, Default)]
pub struct BrokenRequests(BTreeMap<ReplicaId, Vec<BrokenRequest>>);

impl BrokenRequests {
    /// Adds a request. Returns true if it is the first at its replica, which must then be
    /// checked.
    pub fn add(&mut self, replica: &ReplicaId, request: BrokenRequest) -> bool {
        let broken = self.0.entry(replica.clone()).or_default();
        broken.push(request);
        broken.len() == 1
    }

    /// Returns whether the replica's check is pending.
    pub fn is_pending(&self, replica: &ReplicaId) -> bool {
        self.0.contains_key(replica)
    }

    /// Removes and returns the requests of a replica that has been checked.
    pub fn take(&mut self, replica: &ReplicaId) -> Vec<BrokenRequest> {
        self.0.remove(replica).unwrap_or_default()
    }
}
