//! What replicas told this node of themselves in their answers.
//!
//! A replica's own word is newer than any listing, which reaches a node by way of the
//! store: that may be away for as long as the replica takes to leave. So the word stands
//! beside the listing, and no listing of the same start undoes it.

use crate::replica::{BornMs, Incarnation, ReplicaWord};
use crate::time::Moment;

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
}

impl OwnWord {
    /// Takes in what an answer of the incarnation that started at `born_ms` says; true if
    /// the replica was not known to leave. A later answer may ask for less rest than is
    /// left of an earlier one, which still holds.
    pub(super) fn hear(&mut self, born_ms: Option<BornMs>, word: ReplicaWord, now: Moment) -> bool {
        if Incarnation::of(born_ms, self.born_ms) == Incarnation::Earlier {
            return false;
        }
        *self = self.of_incarnation(born_ms);
        self.born_ms = born_ms.or(self.born_ms);
        self.rests_until = self.rests_until.max(word.rest.map(|rest| now + rest));
        let is_news = word.is_leaving && !self.is_leaving;
        self.is_leaving |= word.is_leaving;
        is_news
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

    pub(super) fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
