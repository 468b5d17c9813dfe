//! Wire form of the store's changes, and the split of long updates into messages.

use std::time::Duration;

use croftrill_scheduler::replica::{Holdings, ReplicaListing, ReplicaState};
use croftrill_scheduler::time::Moment;
use nanoserde::{DeBin, SerBin};

use crate::tree::MAX_CHANGE_BYTES;
use crate::wire::WireList;

/// Approximate size of a message in a sequence of several. It takes 50 ms over 20 Mbit/s, so
/// that heartbeats and urgent messages get between them.
const TARGET_CHUNK_BYTES: usize = 128 * 1024;
/// Maximum size of a change, a listing or a placement without its names.
pub(super) const MAX_ROW_BYTES: usize = 96;
/// Size of a name's length prefix.
pub(super) const NAME_PREFIX_BYTES: usize = 8;
/// Age of a proof that is not valid, in milliseconds: 49 days.
const UNPROVEN_AGE_MS: u32 = u32::MAX;

/// A replica's listing without its holdings, which the orderer publishes separately.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireListing {
    /// Id of the incarnation.
    pub id: String,
    /// Service of the replica.
    pub service: String,
    /// `IP:PORT`.
    pub address: String,
    /// Zone that it runs in.
    pub zone: String,
    /// Number of requests that it runs at the same time.
    pub slots: u32,
    /// True if it is about to leave.
    pub is_draining: bool,
    /// Remaining time in milliseconds, if it is withdrawn at short notice.
    pub leaves_in_ms: Option<u64>,
    /// When it started, in Unix milliseconds.
    pub started_ms: Option<u64>,
}

/// The change of one key of the store, on the wire.
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

/// A change of the store with its revision, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct RevisedChange {
    /// Store revision of the change.
    pub revision: u64,
    /// The change.
    pub change: WireChange,
}

/// The changes of a span of store revisions, without those that other nodes do not need.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct DirectoryUpdate {
    /// Revision after which the span begins.
    pub after: u64,
    /// Last revision that it covers.
    pub reached: u64,
    /// How long ago the store proved that the changes are complete, in milliseconds.
    pub proof_age_ms: u32,
    /// When it was sent, in milliseconds of the sender's steady clock.
    pub sent_at_ms: u64,
    /// The changes, in order.
    pub changes: WireList<RevisedChange>,
}

/// Which listeners of a node a message is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// All.
    All,
    /// Those that exchange configurations over their link.
    Exchanging,
    /// Those that do not, as they may be of an older build.
    Others,
}

impl Audience {
    /// Returns whether the message is for a listener.
    pub fn includes(self, exchanges_configurations: bool) -> bool {
        match self {
            Audience::All => true,
            Audience::Exchanging => exchanges_configurations,
            Audience::Others => !exchanges_configurations,
        }
    }
}

/// A chunk of a full view, which may exceed the size limit of a message.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct FullViewChunk {
    /// True for the first chunk; the reader discards the chunks of an earlier view.
    pub is_first: bool,
    /// True for the last chunk, which completes the view.
    pub is_last: bool,
    /// True if replicas that are not in the view are removed; otherwise the view does not cover
    /// replicas.
    pub has_replicas: bool,
    /// Its changes, starting from an empty view.
    pub update: DirectoryUpdate,
}

/// Splits rows into chunks of about `TARGET_CHUNK_BYTES` each, only between rows where `may_split`
/// allows it.
pub(crate) fn in_chunks<T>(
    rows: Vec<T>,
    size_bytes: impl Fn(&T) -> usize,
    may_split: impl Fn(&T, &T) -> bool,
) -> Vec<Vec<T>> {
    let mut chunks = Vec::new();
    let (mut chunk, mut chunk_bytes): (Vec<T>, usize) = (Vec::new(), 0);
    for row in rows {
        let row_bytes = size_bytes(&row);
        let is_full = chunk_bytes + row_bytes > TARGET_CHUNK_BYTES;
        if is_full && chunk.last().is_some_and(|last| may_split(last, &row)) {
            chunks.push(std::mem::take(&mut chunk));
            chunk_bytes = 0;
        }
        chunk_bytes += row_bytes;
        chunk.push(row);
    }
    if !chunk.is_empty() {
        chunks.push(chunk);
    }
    chunks
}

impl DirectoryUpdate {
    /// Sets the time at which the resulting view was proven complete, and the time of sending.
    pub fn stamp(&mut self, proven_at: Moment, now: Moment) {
        self.proof_age_ms = now.since(proven_at).as_millis() as u32;
        self.sent_at_ms = now.since(Moment::default()).as_millis() as u64;
    }

    /// Returns the approximate size of the changes in a message.
    pub fn size_bytes(&self) -> usize {
        let changes = self.changes.iter();
        changes.map(|revised| revised.change.size_bytes()).sum()
    }

    /// Returns the span for each audience: listeners that exchange configurations get it without
    /// the item with this key. The others come first, so that a listener that begins to exchange
    /// configurations in between gets the span twice rather than not at all.
    pub fn for_audiences(self, configuration_key: &str) -> Vec<(Audience, DirectoryUpdate)> {
        let is_other = |revised: &RevisedChange| !revised.change.writes(configuration_key);
        if self.changes.iter().all(is_other) {
            return vec![(Audience::All, self)];
        }
        let mut stripped = self.clone();
        stripped.changes.retain(is_other);
        vec![(Audience::Others, self), (Audience::Exchanging, stripped)]
    }

    /// Splits the span into chunks that fit into messages. Only the last one proves that the
    /// view is complete. If a change is too large for any message, returns an empty span at the
    /// last revision, which is a gap to nodes that have not reached it.
    pub fn into_chunks(mut self) -> Vec<DirectoryUpdate> {
        let is_too_large = |revised: &RevisedChange| revised.change.size_bytes() > MAX_CHANGE_BYTES;
        if self.changes.iter().any(is_too_large) {
            self.after = self.reached;
            self.changes.clear();
            return vec![self];
        }
        if self.size_bytes() <= TARGET_CHUNK_BYTES {
            return vec![self];
        }
        let rows = std::mem::take(&mut self.changes);
        // The changes of one revision stay together, as a view applies a revision once.
        let may_split = |left: &RevisedChange, right: &RevisedChange| left.revision != right.revision;
        let chunks = in_chunks(
            rows.into(),
            |revised: &RevisedChange| revised.change.size_bytes(),
            may_split,
        );
        let last = chunks.len() - 1;
        let mut after = self.after;
        let chunks = chunks.into_iter().enumerate().map(|(index, changes)| {
            let ends_at = changes.last().map_or(after, |revised| revised.revision);
            let chunk = if index == last {
                DirectoryUpdate {
                    after,
                    changes: changes.into(),
                    ..self
                }
            } else {
                DirectoryUpdate {
                    after,
                    reached: ends_at,
                    proof_age_ms: UNPROVEN_AGE_MS,
                    sent_at_ms: self.sent_at_ms,
                    changes: changes.into(),
                }
            };
            after = ends_at;
            chunk
        });
        chunks.collect()
    }
}

impl FullViewChunk {
    /// Splits a view into chunks that fit into messages. Returns `None` if an item is too large
    /// for any message.
    pub fn chunks_of(view: DirectoryUpdate, has_replicas: bool) -> Option<Vec<FullViewChunk>> {
        let is_too_large = |revised: &RevisedChange| revised.change.size_bytes() > MAX_CHANGE_BYTES;
        if view.changes.iter().any(is_too_large) {
            return None;
        }
        let DirectoryUpdate {
            after,
            reached,
            proof_age_ms,
            sent_at_ms,
            changes,
        } = view;
        let chunks = in_chunks(
            changes.into(),
            |revised: &RevisedChange| revised.change.size_bytes(),
            |_, _| true,
        );
        let last = chunks.len().saturating_sub(1);
        let chunks = chunks
            .into_iter()
            .enumerate()
            .map(|(index, changes)| FullViewChunk {
                is_first: index == 0,
                is_last: index == last,
                has_replicas,
                update: DirectoryUpdate {
                    after,
                    reached,
                    proof_age_ms,
                    sent_at_ms,
                    changes: changes.into(),
                },
            });
        Some(chunks.collect())
    }
}

impl WireListing {
    /// Converts a listing into its wire form.
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

    /// Returns the listing with these holdings.
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
    /// Returns whether the change writes the item with this key.
    pub fn writes(&self, key: &str) -> bool {
        matches!(self, WireChange::Written { key: written, .. } if written == key)
    }

    /// Returns the approximate size of the change in a message.
    pub fn size_bytes(&self) -> usize {
        let names = match self {
            WireChange::Replica(listing) => listing.name_bytes(),
            WireChange::Written { key, value } => key.len() + value.len(),
            WireChange::Removed { key } => key.len(),
        };
        names + MAX_ROW_BYTES
    }
}
