//! Snapshots of the state, and the deletion of the entries that they replace.
//!
//! A snapshot is written in parts; then the pointer is moved to it by
//! compare-and-swap, only ever to a later revision; only then old entries and
//! old parts are deleted. A crash between two of these steps leaves garbage
//! that the next compaction deletes, never a gap.

use super::{decode_pointer, keys, malformed, ReadError, RevisionLog};
use croftrill_platform::key_value::{KeyValueError, StoredValue, WriteOutcome};
use croftrill_state::{ClusterState, Revision};
use nanoserde::{DeBin, SerBin};
use std::time::Duration;
use thiserror::Error;

/// Attempts to read a snapshot that is replaced meanwhile.
const READ_ATTEMPTS: u32 = 5;
/// Keys read by one call during a compaction.
const DELETION_PAGE: u32 = 64;

/// Names the latest snapshot.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct SnapshotPointer {
    /// The revision of the state.
    pub revision: Revision,
    /// The first revision whose entry is still kept.
    pub floor: Revision,
    /// Tells apart the parts of two writers.
    pub writer: u64,
    /// How many parts it has.
    pub parts: u32,
}

/// The latest snapshot.
#[derive(Clone, Debug, PartialEq)]
pub enum Snapshot {
    /// None was ever written; the log begins with revision 1.
    None,
    /// The state at some revision.
    State(Box<ClusterState>),
}

/// Why a snapshot was not written.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SnapshotError {
    /// The service does not answer; nothing has changed for readers, or the new
    /// snapshot is in force.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// A snapshot at least as late is in force already.
    #[error("a snapshot of revision {0} is in force")]
    Superseded(Revision),
}

impl From<KeyValueError> for SnapshotError {
    fn from(error: KeyValueError) -> Self {
        SnapshotError::Read(ReadError::Service(error))
    }
}

impl RevisionLog {
    /// The pointer to the latest snapshot, if any.
    pub async fn snapshot_pointer(&self) -> Result<Option<SnapshotPointer>, ReadError> {
        Ok(self.stored_pointer().await?.map(|(pointer, _)| pointer))
    }

    /// The first revision whose entry is kept.
    pub(super) async fn floor(&self) -> Result<Revision, ReadError> {
        let pointer = self.snapshot_pointer().await?;
        Ok(pointer.map_or(Revision(1), |pointer| pointer.floor))
    }

    /// Reads the latest snapshot.
    pub async fn read_snapshot(&self) -> Result<Snapshot, ReadError> {
        let mut last_error = None;
        for _ in 0..READ_ATTEMPTS {
            let Some(pointer) = self.snapshot_pointer().await? else {
                return Ok(Snapshot::None);
            };
            match self.read_parts(&pointer).await {
                Ok(state) => return Ok(Snapshot::State(Box::new(state))),
                Err(ReadError::Service(error)) => return Err(ReadError::Service(error)),
                // A later snapshot may have replaced it while it was read.
                Err(error) => last_error = Some(error),
            }
        }
        Err(last_error.unwrap_or_else(|| malformed(keys::SNAPSHOT_POINTER, &"snapshot keeps changing")))
    }

    /// Writes a snapshot and makes it the latest one. `writer` is a random
    /// number.
    pub async fn write_snapshot(
        &self,
        state: &ClusterState,
        writer: u64,
    ) -> Result<SnapshotPointer, SnapshotError> {
        let before = self.stored_pointer().await?;
        if let Some((present, _)) = &before {
            if present.revision >= state.revision {
                return Err(SnapshotError::Superseded(present.revision));
            }
        }
        let parts = self.write_parts(state, writer).await?;
        let pointer = SnapshotPointer {
            revision: state.revision,
            floor: Revision(state.revision.0.saturating_sub(self.config.kept_entries) + 1),
            writer,
            parts,
        };
        let expected = before.map(|(_, version)| version);
        self.move_pointer(&pointer, expected).await?;
        Ok(pointer)
    }

    /// Deletes entries below the floor and parts of older snapshots, a bounded
    /// number of them. Returns how many keys it deleted.
    pub async fn compact(&self) -> Result<u32, ReadError> {
        let Some(pointer) = self.snapshot_pointer().await? else {
            return Ok(0);
        };
        let entries_end = keys::entry(pointer.floor);
        let mut left = self.config.deletions_per_compaction;
        left -= self
            .delete_keys(keys::LOG_PREFIX, left, |key| key < entries_end.as_str())
            .await?;
        left -= self
            .delete_keys(keys::SNAPSHOT_PREFIX, left, |key| {
                keys::revision_of_part(key).is_some_and(|revision| revision < pointer.revision)
            })
            .await?;
        Ok(self.config.deletions_per_compaction - left)
    }

    async fn stored_pointer(&self) -> Result<Option<(SnapshotPointer, u64)>, ReadError> {
        let Some(stored) = self.service.get(keys::SNAPSHOT_POINTER).await? else {
            return Ok(None);
        };
        let pointer = decode_pointer(&stored)?;
        Ok(Some((pointer, stored.version)))
    }

    async fn read_parts(&self, pointer: &SnapshotPointer) -> Result<ClusterState, ReadError> {
        let mut bytes = Vec::new();
        for part in 0..pointer.parts {
            let key = keys::snapshot_part(pointer.revision, pointer.writer, part);
            let stored = self.service.get(&key).await?;
            let stored = stored.ok_or_else(|| malformed(&key, &"part is missing"))?;
            bytes.extend_from_slice(&stored.value);
        }
        ClusterState::deserialize_bin(&bytes).map_err(|error| malformed(keys::SNAPSHOT_POINTER, &error))
    }

    async fn write_parts(&self, state: &ClusterState, writer: u64) -> Result<u32, SnapshotError> {
        let bytes = state.serialize_bin();
        let mut parts = 0;
        for chunk in bytes.chunks(self.config.snapshot_part_bytes) {
            let key = keys::snapshot_part(state.revision, writer, parts);
            self.write_part(&key, chunk).await?;
            parts += 1;
        }
        Ok(parts)
    }

    /// The key belongs to this writer alone, so a conflict means that an
    /// earlier attempt with a lost answer took effect.
    async fn write_part(&self, key: &str, chunk: &[u8]) -> Result<(), KeyValueError> {
        let mut attempt = 0;
        loop {
            self.pause_before_retry(attempt).await;
            attempt += 1;
            match self.service.write_if(key, chunk.to_vec(), None, None).await {
                Ok(WriteOutcome::Written(_) | WriteOutcome::Conflict(Some(_))) => return Ok(()),
                Ok(WriteOutcome::Conflict(None)) => {}
                Err(error) if attempt >= self.config.resolve_attempts => return Err(error),
                Err(error) => log::debug!("log: snapshot part not written error=\"{error}\""),
            }
        }
    }

    async fn move_pointer(
        &self,
        pointer: &SnapshotPointer,
        expected: Option<u64>,
    ) -> Result<(), SnapshotError> {
        let written = self
            .service
            .write_if(keys::SNAPSHOT_POINTER, pointer.serialize_bin(), expected, None)
            .await;
        match written {
            Ok(WriteOutcome::Written(_)) => Ok(()),
            Ok(WriteOutcome::Conflict(found)) => judge_pointer(pointer, found.as_ref()),
            Err(KeyValueError::OutcomeUnknown(_)) => {
                let found = self.service.get(keys::SNAPSHOT_POINTER).await?;
                judge_pointer(pointer, found.as_ref())
            }
            Err(error) => Err(error.into()),
        }
    }

    async fn delete_keys(
        &self,
        prefix: &str,
        most: u32,
        doomed: impl Fn(&str) -> bool,
    ) -> Result<u32, ReadError> {
        let mut deleted = 0;
        loop {
            let limit = DELETION_PAGE.min(most - deleted);
            if limit == 0 {
                return Ok(deleted);
            }
            let found = self.service.list(prefix, prefix, limit).await?;
            let all = found.len();
            let chosen: Vec<StoredValue> = found.into_iter().filter(|value| doomed(&value.key)).collect();
            for value in &chosen {
                self.service.delete_if(&value.key, value.version).await?;
                deleted += 1;
                tokio::time::sleep(Duration::from_millis(self.config.deletion_pause_millis)).await;
            }
            if chosen.len() < all || chosen.is_empty() {
                return Ok(deleted);
            }
        }
    }
}

fn judge_pointer(pointer: &SnapshotPointer, found: Option<&StoredValue>) -> Result<(), SnapshotError> {
    let Some(stored) = found else {
        return Err(KeyValueError::OutcomeUnknown("the snapshot pointer is absent".into()).into());
    };
    let present = decode_pointer(stored)?;
    if present == *pointer {
        return Ok(());
    }
    Err(SnapshotError::Superseded(present.revision))
}
