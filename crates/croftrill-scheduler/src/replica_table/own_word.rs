//! What replicas told this node of themselves in their answers.
//!
//! A replica's own word is newer than any listing, which reaches a node by way of the
//! store: that may be away for as long as the replica takes to leave. So the word stands
//! beside the listing, and no listing of the same start undoes it.

use crate::quota::limits::NamedLimit;
use crate::replica::{BornMs, Incarnation, LimitWord, ReplicaWord};
use crate::time::Moment;

/// A call to a replica that was answered, as its node saw it.
#[derive(Debug, Clone, Copy)]
pub struct AnsweredCall {
    /// When the incarnation started that it went to, if that tells.
    pub born_ms: Option<BornMs>,
    /// When it was sent.
    pub sent_at: Moment,
    /// When its answer came.
    pub answered_at: Moment,
}

/// What an answer told that was not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct WordNews {
    /// The replica was not known to leave.
    pub leaves: bool,
    /// It named a limit where it had named none or another, or none any more.
    pub limit: bool,
}

/// What a replica told this node of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct OwnWord {
    /// When the incarnation started that said it, if it tells. Kept beside the listing's,
    /// which may be of an earlier one that was written late.
    born_ms: Option<BornMs>,
    /// It leaves. Whoever has begun to leave does not come back but by a new start.
    is_leaving: bool,
    /// Until then it wants nothing from this node.
    rests_until: Option<Moment>,
    /// Requests that it takes from all nodes together.
    limit: Option<NamedLimit>,
}

impl OwnWord {
    /// Takes in what an answer says. A later answer may ask for less rest than is left of
    /// an earlier one, which still holds.
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

    /// Answers overtake each other. Only a call that was sent after the present limit was
    /// heard was answered after it was named for sure; any other answer may just lower it.
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

    /// The word as far as it holds for the incarnation that started at `born_ms`.
    pub(super) fn of_incarnation(self, born_ms: Option<BornMs>) -> Self {
        match Incarnation::of(born_ms, self.born_ms) {
            Incarnation::Later => OwnWord::default(),
            Incarnation::Same | Incarnation::Earlier => self,
        }
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// When its rest ends, if that is still to come.
    pub(super) fn rests_until(&self, now: Moment) -> Option<Moment> {
        self.rests_until.filter(|until| now < *until)
    }

    pub(super) fn limit(&self) -> Option<NamedLimit> {
        self.limit
    }

    /// When the incarnation started that said it, if it told.
    pub(super) fn born_ms(&self) -> Option<BornMs> {
        self.born_ms
    }

    pub(super) fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
