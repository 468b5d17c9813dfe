//! What is relayed of the store, and how what is longer than a message goes in parts.

use std::time::Duration;

use croftrill_scheduler::replica::{Holdings, ReplicaListing, ReplicaState};
use croftrill_scheduler::time::Moment;
use nanoserde::{DeBin, SerBin};

use crate::tree::MAX_CHANGE_BYTES;
use crate::wire::WireList;

/// Bytes of one message of those in which more is told, about: 50 ms over 20 Mbit/s, so
/// that signs of life and what is urgent get between them.
const PART_BYTES: usize = 128 * 1024;
/// Bytes that a change, a listing or a placement takes besides its names, at most.
pub(super) const ROW_BYTES: usize = 96;
/// Bytes that a name takes besides its letters.
pub(super) const NAME_BYTES: usize = 8;
/// Age of a proof that proves nothing, in milliseconds: 49 days.
const UNPROVEN_MS: u32 = u32::MAX;

/// A replica as the directory lists it, without what it holds: of that the
/// orderer tells by itself.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireListing {
    /// Identity of the incarnation.
    pub id: String,
    /// Its service.
    pub service: String,
    /// `IP:PORT`.
    pub address: String,
    /// Zone it runs in.
    pub zone: String,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// True if it is about to leave.
    pub is_draining: bool,
    /// Time it has left, if it is taken away at short notice, in milliseconds.
    pub leaves_in_ms: Option<u64>,
    /// When it started, in Unix milliseconds.
    pub started_ms: Option<u64>,
}

/// What became of one key of the store, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum WireChange {
    /// A replica was listed, or its listing changed.
    Replica(WireListing),
    /// An item was written.
    Written {
        /// Its key.
        key: String,
        /// Its value.
        value: WireList<u8>,
    },
    /// A key was removed.
    Removed {
        /// The key.
        key: String,
    },
}

/// A change of the store, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct RevisedChange {
    /// Store revision of the change.
    pub revision: u64,
    /// What it is.
    pub change: WireChange,
}

/// What the orderer relays of the store: the changes of a span of revisions, but
/// for those that tell the other nodes nothing.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct DirectoryNews {
    /// Revision after which the span begins.
    pub after: u64,
    /// Last revision that it covers.
    pub reached: u64,
    /// How long ago the store showed that this is everything, in milliseconds.
    pub proof_age_ms: u32,
    /// When it was sent, by the sender's steady clock, in milliseconds.
    pub sent_at_ms: u64,
    /// The changes, in order.
    pub changes: WireList<RevisedChange>,
}

/// A part of a view that is told whole: one message has a limit, a fleet has none.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WholePart {
    /// True for the first one: what came of an earlier view is void.
    pub is_first: bool,
    /// True for the last one: now the view is complete.
    pub is_last: bool,
    /// True if replicas that are not in it are gone; else it says nothing of replicas.
    pub has_replicas: bool,
    /// Its changes, from nothing.
    pub news: DirectoryNews,
}

/// Splits what one message would tell into parts of about `PART_BYTES` each, between two
/// rows where `may_split` allows it.
pub(crate) fn in_parts<T>(
    rows: Vec<T>,
    size_bytes: impl Fn(&T) -> usize,
    may_split: impl Fn(&T, &T) -> bool,
) -> Vec<Vec<T>> {
    let mut parts = Vec::new();
    let (mut part, mut part_bytes): (Vec<T>, usize) = (Vec::new(), 0);
    for row in rows {
        let row_bytes = size_bytes(&row);
        let is_full = part_bytes + row_bytes > PART_BYTES;
        if is_full && part.last().is_some_and(|last| may_split(last, &row)) {
            parts.push(std::mem::take(&mut part));
            part_bytes = 0;
        }
        part_bytes += row_bytes;
        part.push(row);
    }
    if !part.is_empty() {
        parts.push(part);
    }
    parts
}

impl DirectoryNews {
    /// Sets when the view that the changes lead to was proven complete, and when
    /// the message leaves.
    pub fn stamp(&mut self, proven_at: Moment, now: Moment) {
        self.proof_age_ms = now.since(proven_at).as_millis() as u32;
        self.sent_at_ms = now.since(Moment::default()).as_millis() as u64;
    }

    /// Bytes that the changes take in a message, about.
    pub fn size_bytes(&self) -> usize {
        let changes = self.changes.iter();
        changes.map(|revised| revised.change.size_bytes()).sum()
    }

    /// The span in parts that fit into messages. Only the last one proves that the view
    /// is complete. A change that is too large for any message leaves a span that begins
    /// where it ends: a gap to whoever has not got so far.
    pub fn into_parts(mut self) -> Vec<DirectoryNews> {
        let is_too_large = |revised: &RevisedChange| revised.change.size_bytes() > MAX_CHANGE_BYTES;
        if self.changes.iter().any(is_too_large) {
            self.after = self.reached;
            self.changes.clear();
            return vec![self];
        }
        if self.size_bytes() <= PART_BYTES {
            return vec![self];
        }
        let rows = std::mem::take(&mut self.changes);
        // What one write of the store changed stays together: a view takes a revision once.
        let may_split = |left: &RevisedChange, right: &RevisedChange| left.revision != right.revision;
        let parts = in_parts(
            rows.into(),
            |revised: &RevisedChange| revised.change.size_bytes(),
            may_split,
        );
        let last = parts.len() - 1;
        let mut after = self.after;
        let parts = parts.into_iter().enumerate().map(|(index, changes)| {
            let ends_at = changes.last().map_or(after, |revised| revised.revision);
            let part = if index == last {
                DirectoryNews {
                    after,
                    changes: changes.into(),
                    ..self
                }
            } else {
                DirectoryNews {
                    after,
                    reached: ends_at,
                    proof_age_ms: UNPROVEN_MS,
                    sent_at_ms: self.sent_at_ms,
                    changes: changes.into(),
                }
            };
            after = ends_at;
            part
        });
        parts.collect()
    }
}

impl WholePart {
    /// A view in parts that fit into messages; `None` if some item fits into none.
    pub fn parts_of(whole: DirectoryNews, has_replicas: bool) -> Option<Vec<WholePart>> {
        let is_too_large = |revised: &RevisedChange| revised.change.size_bytes() > MAX_CHANGE_BYTES;
        if whole.changes.iter().any(is_too_large) {
            return None;
        }
        let DirectoryNews {
            after,
            reached,
            proof_age_ms,
            sent_at_ms,
            changes,
        } = whole;
        let parts = in_parts(
            changes.into(),
            |revised: &RevisedChange| revised.change.size_bytes(),
            |_, _| true,
        );
        let last = parts.len().saturating_sub(1);
        let parts = parts.into_iter().enumerate().map(|(index, changes)| WholePart {
            is_first: index == 0,
            is_last: index == last,
            has_replicas,
            news: DirectoryNews {
                after,
                reached,
                proof_age_ms,
                sent_at_ms,
                changes: changes.into(),
            },
        });
        Some(parts.collect())
    }
}

impl WireListing {
    /// The message form of a listing.
    pub fn from_listing(listing: &ReplicaListing) -> Self {
        WireListing {
            id: listing.id.to_string(),
            service: listing.service.to_string(),
            address: listing.address.to_string(),
            zone: listing.zone.to_string(),
            slots: listing.slots,
            is_draining: listing.state == ReplicaState::Draining,
            leaves_in_ms: listing.leaves_in.map(|left| left.as_millis() as u64),
            started_ms: listing.started_ms,
        }
    }

    pub(super) fn name_bytes(&self) -> usize {
        self.id.len() + self.service.len() + self.address.len() + self.zone.len()
    }

    /// The listing, with these holdings.
    pub fn into_listing(self, holdings: Holdings) -> ReplicaListing {
        let state = if self.is_draining {
            ReplicaState::Draining
        } else {
            ReplicaState::Ready
        };
        ReplicaListing {
            id: self.id.into(),
            service: self.service.into(),
            address: self.address.into(),
            zone: self.zone.into(),
            slots: self.slots,
            state,
            leaves_in: self.leaves_in_ms.map(Duration::from_millis),
            started_ms: self.started_ms,
            holdings,
        }
    }
}

impl WireChange {
    /// Bytes that it takes in a message, about.
    pub fn size_bytes(&self) -> usize {
        let names = match self {
            WireChange::Replica(listing) => listing.name_bytes(),
            WireChange::Written { key, value } => key.len() + value.len(),
            WireChange::Removed { key } => key.len(),
        };
        names + ROW_BYTES
    }
}
