//! The revision log in the key-value service: the one total order of decisions.
//!
//! Entry N is created under its own key if that key is absent, so of several
//! writers of revision N exactly one wins. Invariants:
//! - a write whose answer was lost is resolved by reading the key back and
//!   comparing the entry's id; the same entry (same id, same key, same
//!   condition) is offered again only after the key was read as absent, so it
//!   takes effect at most once;
//! - entries older than the *floor* of the latest snapshot may be deleted, so a
//!   writer or reader that was paused could meet a key that is absent again.
//!   Both therefore read the floor after their call and trust nothing below it.

mod keys;
mod snapshots;

pub use snapshots::{Snapshot, SnapshotError, SnapshotPointer};

use croftrill_platform::key_value::{KeyValueError, KeyValueService, StoredValue, WriteOutcome};
use croftrill_state::entry::LogEntry;
use croftrill_state::Revision;
use nanoserde::{DeBin, SerBin};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Limits of the calls to the service.
#[derive(Clone, Debug)]
pub struct RevisionLogConfig {
    /// Attempts to learn the outcome of a write whose answer was lost.
    pub resolve_attempts: u32,
    /// Pause before the second such attempt, in milliseconds; doubles each time.
    pub resolve_pause_millis: u64,
    /// Longest such pause, in milliseconds.
    pub longest_resolve_pause_millis: u64,
    /// Time to come back that is told when the service cannot be reached, in
    /// milliseconds.
    pub unreachable_retry_millis: u64,
    /// Largest part of a snapshot, in bytes.
    pub snapshot_part_bytes: usize,
    /// Entries before a snapshot that are kept for readers that are behind.
    pub kept_entries: u64,
    /// Keys deleted by one compaction; the rest waits for the next one.
    pub deletions_per_compaction: u32,
    /// Pause between two deletions, in milliseconds.
    pub deletion_pause_millis: u64,
}

impl Default for RevisionLogConfig {
    fn default() -> Self {
        Self {
            resolve_attempts: 8,
            resolve_pause_millis: 50,
            longest_resolve_pause_millis: 1_000,
            unreachable_retry_millis: 2_000,
            snapshot_part_bytes: 256 * 1024,
            kept_entries: 1_000,
            deletions_per_compaction: 600,
            deletion_pause_millis: 50,
        }
    }
}

/// Result of an append.
#[derive(Clone, Debug, PartialEq)]
pub enum AppendOutcome {
    /// The entry is in the log.
    Appended,
    /// Another entry has this revision; ours took no effect.
    LostRace(Box<LogEntry>),
    /// The log has moved on so far that this revision is no longer kept; the
    /// writer must start from the snapshot.
    Compacted {
        /// Whether the entry may have been in the log before that.
        may_have_effect: bool,
    },
    /// The service refused or was not reached; the entry took no effect.
    Unavailable {
        /// When to try again, in milliseconds.
        retry_after_millis: u64,
    },
    /// The entry may be in the log.
    OutcomeUnknown,
}

/// Why the log cannot be read now.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// The service does not answer.
    #[error("the revision log cannot be read: {0}")]
    Service(#[from] KeyValueError),
    /// A stored value makes no sense.
    #[error("unreadable value under {key}: {reason}")]
    Malformed {
        /// Its key.
        key: String,
        /// What is wrong.
        reason: String,
    },
}

/// Entries that follow a revision.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadOutcome {
    /// In order without a gap; empty if there are none.
    Entries(Vec<LogEntry>),
    /// The next entry is no longer kept; start from the snapshot.
    Compacted,
}

/// The revision log.
#[derive(Clone)]
pub struct RevisionLog {
    service: Arc<dyn KeyValueService>,
    config: RevisionLogConfig,
}

impl RevisionLog {
    /// A log over a service.
    pub fn new(service: Arc<dyn KeyValueService>, config: RevisionLogConfig) -> Self {
        Self { service, config }
    }

    /// Appends an entry at its revision, if no other entry is there.
    pub async fn append(&self, entry: &LogEntry) -> AppendOutcome {
        match self.create(entry).await {
            Ok(WriteOutcome::Written(_)) => self.confirm_kept(entry).await,
            Ok(WriteOutcome::Conflict(Some(found))) => self.compare(entry, &found, false).await,
            Ok(WriteOutcome::Conflict(None)) => self.resolve(entry).await,
            Err(error) if is_unknown(&error) => self.resolve(entry).await,
            Err(error) => AppendOutcome::Unavailable {
                retry_after_millis: self.retry_after(&error),
            },
        }
    }

    /// Reads the entries after a revision, at most `limit`.
    pub async fn read_after(&self, after: Revision, limit: u32) -> Result<ReadOutcome, ReadError> {
        let found = self
            .service
            .list(keys::LOG_PREFIX, &keys::entry(after), limit)
            .await?;
        self.checked_page(after, found).await
    }

    /// Waits until an entry after a revision exists, at most `wait_millis`.
    pub async fn wait_after(&self, after: Revision, wait_millis: u64) -> Result<ReadOutcome, ReadError> {
        let found = self
            .service
            .watch(keys::LOG_PREFIX, &keys::entry(after), wait_millis)
            .await?;
        self.checked_page(after, found).await
    }

    /// When to come back after an error, in milliseconds.
    pub fn retry_after(&self, error: &KeyValueError) -> u64 {
        match error {
            KeyValueError::RateLimited { retry_after_millis } => *retry_after_millis,
            _ => self.config.unreachable_retry_millis,
        }
    }

    /// The same after the log could not be read.
    pub fn retry_after_read(&self, error: &ReadError) -> u64 {
        match error {
            ReadError::Service(error) => self.retry_after(error),
            ReadError::Malformed { .. } => self.config.unreachable_retry_millis,
        }
    }

    async fn create(&self, entry: &LogEntry) -> Result<WriteOutcome, KeyValueError> {
        let key = keys::entry(entry.revision);
        self.service
            .write_if(&key, entry.serialize_bin(), None, None)
            .await
    }

    async fn confirm_kept(&self, entry: &LogEntry) -> AppendOutcome {
        match self.is_kept(entry.revision).await {
            Some(true) => AppendOutcome::Appended,
            Some(false) => AppendOutcome::Compacted {
                may_have_effect: true,
            },
            None => AppendOutcome::OutcomeUnknown,
        }
    }

    /// Judges what is stored at an entry's revision. `offered_before` tells
    /// that an earlier write of the entry may have taken effect.
    async fn compare(&self, entry: &LogEntry, found: &StoredValue, offered_before: bool) -> AppendOutcome {
        let present = match decode_entry(found) {
            Ok(present) => present,
            Err(error) => {
                log::error!("log: entry unreadable error=\"{error}\"");
                return self.not_appended(offered_before);
            }
        };
        if present.entry_id == entry.entry_id {
            return self.confirm_kept(entry).await;
        }
        match self.is_kept(entry.revision).await {
            Some(true) => AppendOutcome::LostRace(Box::new(present)),
            Some(false) => AppendOutcome::Compacted {
                may_have_effect: offered_before,
            },
            None => self.not_appended(offered_before),
        }
    }

    fn not_appended(&self, offered_before: bool) -> AppendOutcome {
        if offered_before {
            return AppendOutcome::OutcomeUnknown;
        }
        AppendOutcome::Unavailable {
            retry_after_millis: self.config.unreachable_retry_millis,
        }
    }

    /// Whether entries of a revision are still kept; `None` if that cannot be
    /// learned. A key that was deleted by a compaction can be created again by
    /// a writer that was paused; such an entry is void, for its writer and for
    /// whoever finds it. The floor rises before the deletion, so reading it
    /// after the entry shows that case.
    async fn is_kept(&self, revision: Revision) -> Option<bool> {
        for attempt in 0..self.config.resolve_attempts {
            self.pause_before_retry(attempt).await;
            match self.floor().await {
                Ok(floor) => return Some(revision >= floor),
                Err(error) => log::debug!("log: floor not read error=\"{error}\""),
            }
        }
        None
    }

    /// Learns what became of a write whose answer was lost.
    async fn resolve(&self, entry: &LogEntry) -> AppendOutcome {
        let key = keys::entry(entry.revision);
        for attempt in 0..self.config.resolve_attempts {
            self.pause_before_retry(attempt).await;
            match self.service.get(&key).await {
                Ok(Some(found)) => return self.compare(entry, &found, true).await,
                Ok(None) => match self.create(entry).await {
                    Ok(WriteOutcome::Written(_)) => return self.confirm_kept(entry).await,
                    Ok(WriteOutcome::Conflict(Some(found))) => {
                        return self.compare(entry, &found, true).await
                    }
                    Ok(WriteOutcome::Conflict(None)) | Err(_) => continue,
                },
                Err(error) => log::debug!("log: entry not read back error=\"{error}\""),
            }
        }
        AppendOutcome::OutcomeUnknown
    }

    async fn pause_before_retry(&self, attempt: u32) {
        if attempt == 0 {
            return;
        }
        let doubled = self.config.resolve_pause_millis << (attempt - 1).min(16);
        let millis = doubled.min(self.config.longest_resolve_pause_millis);
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }

    async fn checked_page(&self, after: Revision, found: Vec<StoredValue>) -> Result<ReadOutcome, ReadError> {
        if found.is_empty() {
            return Ok(ReadOutcome::Entries(Vec::new()));
        }
        // Read after the entries: one that was created below the floor by a
        // paused writer is then known to be void.
        if self.floor().await? > after.next() {
            return Ok(ReadOutcome::Compacted);
        }
        let mut entries = Vec::with_capacity(found.len());
        let mut expected = after.next();
        for value in &found {
            let entry = decode_entry(value)?;
            if entry.revision != expected {
                break;
            }
            expected = expected.next();
            entries.push(entry);
        }
        Ok(ReadOutcome::Entries(entries))
    }
}

fn is_unknown(error: &KeyValueError) -> bool {
    matches!(
        error,
        KeyValueError::OutcomeUnknown(_) | KeyValueError::Protocol(_)
    )
}

fn decode_entry(stored: &StoredValue) -> Result<LogEntry, ReadError> {
    LogEntry::deserialize_bin(&stored.value).map_err(|error| malformed(&stored.key, &error))
}

fn decode_pointer(stored: &StoredValue) -> Result<SnapshotPointer, ReadError> {
    SnapshotPointer::deserialize_bin(&stored.value).map_err(|error| malformed(&stored.key, &error))
}

fn malformed(key: &str, reason: &dyn std::fmt::Display) -> ReadError {
    ReadError::Malformed {
        key: key.to_string(),
        reason: reason.to_string(),
    }
}
