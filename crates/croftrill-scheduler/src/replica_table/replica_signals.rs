//! Signals that replicas send to this node in their responses.
//!
//! A replica's own signals are newer than any listing: listings reach a node by way of the
//! store, which may be unavailable for as long as the replica takes to leave. Signals are
//! therefore stored beside the listing, and a listing of the same incarnation doesn't
//! override them.

use crate::quota::limits::ReportedLimit;
use crate::replica::{Incarnation, LimitSignal, ReplicaSignals, StartedMs};
use crate::time::Moment;

/// A call to a replica that was answered, as the calling node observed it.
#[derive(Debug, Clone, Copy)]
pub struct AnsweredCall {
    /// When the called incarnation started, if known.
    pub started_ms: Option<StartedMs>,
    /// When it was sent.
    pub sent_at: Moment,
    /// When its answer arrived.
    pub answered_at: Moment,
}

/// What an answer changed in the known signals.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SignalChanges {
    /// The replica was not known to be leaving before.
    pub leaving: bool,
    /// It set or changed its limit, or removed it.
    pub limit: bool,
}

/// The known signals of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct KnownSignals {
    /// When the incarnation that sent the signals started, if known. Stored beside the listing's
    /// start, as the listing may be of an earlier incarnation and written late.
    started_ms: Option<StartedMs>,
    /// The replica is leaving. A replica that is leaving is back only after a restart.
    is_leaving: bool,
    /// Until then it wants no requests from this node.
    cooldown_until: Option<Moment>,
    /// Requests that it accepts from all nodes together.
    limit: Option<ReportedLimit>,
}

impl KnownSignals {
    /// Applies the signals of an answer. A later answer may ask for a shorter cooldown than is
    /// left of an earlier one, which remains in force.
    pub(super) fn apply(&mut self, call: AnsweredCall, signals: ReplicaSignals) -> SignalChanges {
        if Incarnation::of(call.started_ms, self.started_ms) == Incarnation::Earlier {
            return SignalChanges::default();
        }
        *self = self.of_incarnation(call.started_ms);
        self.started_ms = call.started_ms.or(self.started_ms);
        let cooldown_until = signals.cooldown.map(|cooldown| call.answered_at + cooldown);
        self.cooldown_until = self.cooldown_until.max(cooldown_until);
        let leaving = signals.is_leaving && !self.is_leaving;
        self.is_leaving |= signals.is_leaving;
        let limit = self.apply_limit(call, signals.limit);
        SignalChanges { leaving, limit }
    }

    /// Updates the limit, and returns whether it changed. Answers may arrive out of order: an
    /// answer is certainly newer than the known limit only if its call was sent after that limit
    /// arrived. Any other answer can only lower the limit.
    fn apply_limit(&mut self, call: AnsweredCall, signal: LimitSignal) -> bool {
        let known = self.limit;
        let is_later = known.is_none_or(|known| call.sent_at >= known.received_at);
        match signal {
            LimitSignal::Unspecified => {}
            LimitSignal::Unlimited => self.limit = known.filter(|_| !is_later),
            LimitSignal::Limited(rate) => {
                if is_later || known.is_some_and(|known| rate <= known.rate) {
                    let received_at = call.answered_at;
                    self.limit = Some(ReportedLimit { rate, received_at });
                }
            }
        }
        self.limit.map(|limit| limit.rate) != known.map(|known| known.rate)
    }

    /// Returns the signals that are valid for the incarnation that started at `started_ms`.
    pub(super) fn of_incarnation(self, started_ms: Option<StartedMs>) -> Self {
        match Incarnation::of(started_ms, self.started_ms) {
            Incarnation::Later => KnownSignals::default(),
            Incarnation::Same | Incarnation::Earlier => self,
        }
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns when the cooldown ends, if it is active.
    pub(super) fn cooldown_until(&self, now: Moment) -> Option<Moment> {
        self.cooldown_until.filter(|until| now < *until)
    }

    pub(super) fn limit(&self) -> Option<ReportedLimit> {
        self.limit
    }

    /// Returns when the incarnation that sent the signals started, if known.
    pub(super) fn started_ms(&self) -> Option<StartedMs> {
        self.started_ms
    }

    pub(super) fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
