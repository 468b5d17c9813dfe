//! Eras of a store that may be restored from an older copy.
//!
//! Such a store counts its eras: each restore starts a new one, in which revisions go back
//! and their numbers are reused for other contents. A revision alone therefore does not
//! identify a state of the store. Inside a node and between nodes, revisions are replaced
//! by *points*: the number of eras since the system's first one in the high bits, the
//! store's revision in the low bits. Points of a later era are greater than all of an
//! earlier one, so everything that compares them (views, relays, fencing tokens) follows
//! the order of history. In the first era, and with a store without eras, points equal
//! revisions.

use std::cell::Cell;

use http::HeaderMap;
use tokio::sync::Notify;

/// Bits of a point that hold the store's revision, enough for 35 years of 1,000 changes
/// per second. They leave room for 8,000 eras before points are no longer exact as JSON
/// numbers.
const REVISION_BITS: u32 = 40;

/// How the era of an answer compares with the newest known era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEra {
    /// The same era; the answer is valid.
    Current,
    /// A later era, so that a new one has started.
    Newer,
    /// A former era; the contents of the answer are no longer valid.
    Former,
}

/// The store's era, as its answers report it.
#[derive(Debug, Default)]
pub struct StoreEra {
    newest: Cell<Option<u64>>,
    /// The system's first era, as far as it is known.
    first: Cell<Option<u64>>,
    /// The era of a store that was never restored, if the store's protocol defines one.
    initial: Option<u64>,
    has_answered: Cell<bool>,
    rises: Cell<u64>,
    risen: Notify,
}

impl StoreEra {
    /// Returns the era of a store whose protocol defines the first one.
    pub fn with_initial(first: u64) -> Self {
        StoreEra {
            first: Cell::new(Some(first)),
            initial: Some(first),
            ..StoreEra::default()
        }
    }

    /// Returns true if the store reports no era or the one of a store that was never restored.
    pub fn is_first(&self) -> bool {
        self.newest.get().is_none() || self.newest.get() == self.initial
    }

    /// Records the era that an answer reports. An answer that reports none counts as current.
    pub fn record(&self, reported: Option<u64>) -> AnswerEra {
        let is_first_answer = !self.has_answered.replace(true);
        let Some(reported) = reported else {
            return AnswerEra::Current;
        };
        match self.newest.get() {
            Some(newest) if reported < newest => return AnswerEra::Former,
            Some(newest) if reported == newest => return AnswerEra::Current,
            Some(_) => {}
            None if is_first_answer => {
                self.newest.set(Some(reported));
                self.record_first(reported);
                return AnswerEra::Current;
            }
            // Earlier answers reported no era: the store has started to count them.
            None => self.record_first(reported.saturating_sub(1)),
        }
        self.newest.set(Some(reported));
        self.rises.set(self.rises.get() + 1);
        self.risen.notify_waiters();
        AnswerEra::Newer
    }

    /// Records the era in the header `name` of an answer, as [`Self::record`] does. Returns an
    /// error if the answer is of a former era.
    pub fn record_header(&self, headers: &HeaderMap, name: &str) -> Result<(), FormerEra> {
        let reported = headers.get(name).and_then(|era| era.to_str().ok());
        let reported = reported.and_then(|era| era.trim().parse().ok());
        match self.record(reported) {
            AnswerEra::Current => Ok(()),
            AnswerEra::Newer => {
                tracing::warn!(target: "store", event = "came back from an older copy", era = reported);
                Ok(())
            }
            AnswerEra::Former => {
                tracing::warn!(target: "store", event = "answer of a former era", told = reported, newest = self.newest());
                Err(FormerEra)
            }
        }
    }

    /// Returns the newest era, if the store reports any.
    pub fn newest(&self) -> Option<u64> {
        self.newest.get()
    }

    /// Returns the system's first era, as far as it is known.
    pub fn first(&self) -> Option<u64> {
        self.first.get()
    }

    /// Records that the system's first era was not later than `first`.
    pub fn record_first(&self, first: u64) {
        let known = self.first.get().unwrap_or(first);
        self.first.set(Some(known.min(first)));
    }

    /// Returns how often the era has risen since the process started.
    pub fn rises(&self) -> u64 {
        self.rises.get()
    }

    /// Waits until the era rises.
    pub async fn wait_for_rise(&self) {
        self.risen.notified().await;
    }

    /// Returns the point of a revision of the newest era.
    pub fn point(&self, revision: u64) -> u64 {
        revision | (self.eras_since_first() << REVISION_BITS)
    }

    /// Returns the revision of a point of the newest era, or `None` for another era.
    pub fn revision(&self, point: u64) -> Option<u64> {
        let is_current = point >> REVISION_BITS == self.eras_since_first();
        is_current.then_some(point & ((1 << REVISION_BITS) - 1))
    }

    fn eras_since_first(&self) -> u64 {
        let newest = self.newest.get().unwrap_or(0);
        newest - self.first.get().unwrap_or(newest).min(newest)
    }
}

/// An answer belongs to a former era, so that its contents are no longer valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the store's answer belongs to a former era")]
pub struct FormerEra;

/// Returns the number of eras before the one of a point.
pub fn era_of(point: u64) -> u64 {
    point >> REVISION_BITS
}

/// Returns true if both points belong to the same era.
pub fn same_era(left: u64, right: u64) -> bool {
    era_of(left) == era_of(right)
}
