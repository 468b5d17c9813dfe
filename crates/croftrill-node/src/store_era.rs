//! Histories of a store that may come back from an older copy.
//!
//! Such a store counts its eras: each return begins one, in which revisions go back and
//! are given out again, with other contents. So a revision alone tells no moment. Inside
//! a node, and between nodes, revisions stand as *points*: the number of eras since the
//! system's first one in the high bits, the store's revision in the low ones. Points of
//! a later era are greater than all of an earlier one, so whatever goes by greater and
//! smaller (views, relays, fencing tokens) goes by history. In the first era, and at a
//! store without eras, points are revisions.

use std::cell::Cell;

use http::HeaderMap;
use tokio::sync::Notify;

/// Bits of a point that hold the store's revision: 35 years of 1,000 changes a second.
/// What is left for eras, 8,000 of them, keeps points exact in JSON numbers.
const REVISION_BITS: u32 = 40;

/// What the era of an answer is to the newest known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEra {
    /// The same: the answer holds.
    Current,
    /// A later one began.
    Risen,
    /// A former one: what the answer tells is void.
    Former,
}

/// Era of the store, as its answers tell it.
#[derive(Debug, Default)]
pub struct StoreEra {
    newest: Cell<Option<u64>>,
    /// The system's first era, as far as is known.
    first: Cell<Option<u64>>,
    /// The era before the store ever came back from a copy, if its protocol says so.
    counts_from: Option<u64>,
    has_answered: Cell<bool>,
    rises: Cell<u64>,
    risen: Notify,
}

impl StoreEra {
    /// Eras of a store whose first one is known.
    pub fn counting_from(first: u64) -> Self {
        StoreEra {
            first: Cell::new(Some(first)),
            counts_from: Some(first),
            ..StoreEra::default()
        }
    }

    /// True if the store is known never to have come back from a copy.
    pub fn is_first(&self) -> bool {
        self.newest.get().is_none() || self.newest.get() == self.counts_from
    }

    /// Takes in the era that an answer tells, if any; one that tells none is believed.
    pub fn note(&self, told: Option<u64>) -> AnswerEra {
        let is_first_answer = !self.has_answered.replace(true);
        let Some(told) = told else {
            return AnswerEra::Current;
        };
        match self.newest.get() {
            Some(newest) if told < newest => return AnswerEra::Former,
            Some(newest) if told == newest => return AnswerEra::Current,
            Some(_) => {}
            None if is_first_answer => {
                self.newest.set(Some(told));
                self.learn_first(told);
                return AnswerEra::Current;
            }
            // Answers told none before: the store began to count.
            None => self.learn_first(told.saturating_sub(1)),
        }
        self.newest.set(Some(told));
        self.rises.set(self.rises.get() + 1);
        self.risen.notify_waiters();
        AnswerEra::Risen
    }

    /// As [`Self::note`], of the header `name` of an answer; an error if what that tells is void.
    pub fn note_header(&self, headers: &HeaderMap, name: &str) -> Result<(), FormerEra> {
        let told = headers.get(name).and_then(|era| era.to_str().ok());
        let told = told.and_then(|era| era.trim().parse().ok());
        match self.note(told) {
            AnswerEra::Current => Ok(()),
            AnswerEra::Risen => {
                tracing::warn!(target: "store", event = "came back from an older copy", era = told);
                Ok(())
            }
            AnswerEra::Former => {
                tracing::warn!(target: "store", event = "answer of a former era", told, newest = self.newest());
                Err(FormerEra)
            }
        }
    }

    /// The newest era, if the store tells any.
    pub fn newest(&self) -> Option<u64> {
        self.newest.get()
    }

    /// The system's first era, as far as is known.
    pub fn first(&self) -> Option<u64> {
        self.first.get()
    }

    /// The system's first era was no later than this one.
    pub fn learn_first(&self, first: u64) {
        let known = self.first.get().unwrap_or(first);
        self.first.set(Some(known.min(first)));
    }

    /// How often it rose while this process ran.
    pub fn rises(&self) -> u64 {
        self.rises.get()
    }

    /// Ends when the era rises.
    pub async fn risen(&self) {
        self.risen.notified().await;
    }

    /// The point of a revision of the newest era.
    pub fn point(&self, revision: u64) -> u64 {
        revision | (self.eras_since_first() << REVISION_BITS)
    }

    /// The revision of a point of the newest era; `None` for one of another.
    pub fn revision(&self, point: u64) -> Option<u64> {
        let is_current = point >> REVISION_BITS == self.eras_since_first();
        is_current.then_some(point & ((1 << REVISION_BITS) - 1))
    }

    fn eras_since_first(&self) -> u64 {
        let newest = self.newest.get().unwrap_or(0);
        newest - self.first.get().unwrap_or(newest).min(newest)
    }
}

/// An answer is of a former era, and so tells nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an answer of a former era")]
pub struct FormerEra;

/// True if both points are of one era.
pub fn same_era(left: u64, right: u64) -> bool {
    left >> REVISION_BITS == right >> REVISION_BITS
}
