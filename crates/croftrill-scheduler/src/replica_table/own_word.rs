//! Signals that replicas send to this node in their responses.
//!
//! A replica's own signals are newer than any listing: listings reach a node by way of the
//! store, which may be unavailable for as long as the replica takes to leave. Signals are
//! therefore stored beside the listing, and a listing of the same incarnation doesn't
//! override them.

use crate::quota::limits::NamedLimit;
use crate::replica::{BornMs, Incarnation, LimitWord, ReplicaWord};
use crate::time::Moment;

/// A call to a replica that was answered, as the calling node observed it.
#[derive(Debug, Clone, Copy)]
pub struct AnsweredCall {
    /// When the called incarnation started, if known.
    pub born_ms: Option<BornMs>,
    /// When it was sent.
    pub sent_at: Moment,
    /// When its answer arrived.
    pub answered_at: Moment,
}

/// What an answer changed in the known signals.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct WordNews {
    /// The replica was not known to be leaving before.
    pub leaves: bool,
    /// It set or changed its limit, or removed it.
    pub limit: bool,
}

/// The known signals of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct OwnWord {
    /// When the incarnation that sent the signals started, if known. Stored beside the listing's
    /// start, as the listing may be of an earlier incarnation and written late.
    born_ms: Option<BornMs>,
    /// The replica is leaving. A replica that is leaving is back only after a restart.
    is_leaving: bool,
    /// Until then it wants no requests from this node.
    rests_until: Option<Moment>,
    /// Requests that it accepts from all nodes together.
    limit: Option<NamedLimit>,
}

impl OwnWord {
    /// Applies the signals of an answer. A later answer may ask for a shorter cooldown than is
    /// left of an earlier one, which remains in force.
    pub(super) fn hear(&mut self, call: AnsweredCall, word: ReplicaWord) -> WordNews {
        if Incarnation::of(call.born_ms, self.born_ms) == Incarnation::Earlier {
            return WordNews::default();
        }
        *self = self.of_incarnation(call.born_ms);
        self.born_ms = call.born_ms.or(self.born_ms);
        let rests_until = word.rest.map(|rest| call.answered_at + rest);
        self.rests_until = self.rests_until.max(rests_until);
        let leaves = word.is_leaving && !self.is_leaving;
        self.is_leaving |= word.is_leaving;
        let limit = self.hear_limit(call, word.limit);
        WordNews { leaves, limit }
    }

    /// Updates the limit, and returns whether it changed. Answers may arrive out of order: an
    /// answer is certainly newer than the known limit only if its call was sent after that limit
    /// arrived. Any other answer can only lower the limit.
    fn hear_limit(&mut self, call: AnsweredCall, word: LimitWord) -> bool {
        let known = self.limit;
        let is_later = known.is_none_or(|known| call.sent_at >= known.heard_at);
        match word {
            LimitWord::Unsaid => {}
            LimitWord::Unlimited => self.limit = known.filter(|_| !is_later),
            LimitWord::Limited(rate) => {
                if is_later || known.is_some_and(|known| rate <= known.rate) {
                    let heard_at = call.answered_at;
                    self.limit = Some(NamedLimit { rate, heard_at });
                }
            }
        }
        self.limit.map(|limit| limit.rate) != known.map(|known| known.rate)
    }

    /// Returns the signals that are valid for the incarnation that started at `born_ms`.
    pub(super) fn of_incarnation(self, born_ms: Option<BornMs>) -> Self {
        match Incarnation::of(born_ms, self.born_ms) {
            Incarnation::Later => OwnWord::default(),
            Incarnation::Same | Incarnation::Earlier => self,
        }
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns when the cooldown ends, if it is active.
    pub(super) fn rests_until(&self, now: Moment) -> Option<Moment> {
        self.rests_until.filter(|until| now < *until)
    }

    pub(super) fn limit(&self) -> Option<NamedLimit> {
        self.limit
    }

    /// Returns when the incarnation that sent the signals started, if known.
    pub(super) fn born_ms(&self) -> Option<BornMs> {
        self.born_ms
    }

    pub(super) fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
