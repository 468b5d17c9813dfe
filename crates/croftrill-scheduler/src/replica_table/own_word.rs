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
    /// It leaves. Whoever has begun to leave does not come back but by a new start.
    pub(super) is_leaving: bool,
    /// Until then it wants nothing from this node.
    rests_until: Option<Moment>,
}

impl OwnWord {
    /// Takes in what an answer says; true if the replica was not known to leave. A later
    /// answer may ask for less rest than is left of an earlier one, which still holds.
    pub(super) fn hear(&mut self, word: ReplicaWord, now: Moment) -> bool {
        let rest = word.rest.map(|rest| now + rest);
        self.rests_until = self.rests_until.max(rest);
        let is_news = word.is_leaving && !self.is_leaving;
        self.is_leaving |= word.is_leaving;
        is_news
    }

    /// When its rest ends, if that is still to come.
    pub(super) fn rests_until(&self, now: Moment) -> Option<Moment> {
        self.rests_until.filter(|until| now < *until)
    }

    pub(super) fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// The word of a replica that is not listed, and of which start it was.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnlistedWord {
    pub(super) born_ms: Option<BornMs>,
    pub(super) word: OwnWord,
}

impl UnlistedWord {
    /// The word as far as it holds for a replica that is listed with `born_ms`.
    pub(super) fn for_listing(self, born_ms: Option<BornMs>) -> OwnWord {
        match Incarnation::of(born_ms, self.born_ms) {
            Incarnation::Later => OwnWord::default(),
            Incarnation::Same | Incarnation::Earlier => self.word,
        }
    }
}
