//! The first copy of a node that has none.
//!
//! Such a node must not serve from a part of the log: it would answer by a
//! configuration that was replaced long before it started. So all of the log is
//! read before any of it is published.

use super::{apply, Replica};
use crate::revision_log::{ReadError, ReadOutcome, Snapshot};
use croftrill_state::entry::LogEntry;
use croftrill_state::ClusterState;

/// A copy in the making.
#[derive(Default)]
struct FirstCopy {
    state: ClusterState,
    /// The entries after the snapshot that it began with.
    entries: Vec<LogEntry>,
}

impl Replica {
    /// Reads the whole log from the key-value service and then publishes it.
    pub(super) async fn read_first_copy(&self) -> Result<(), ReadError> {
        let mut copy = self.copy_of_snapshot().await?;
        loop {
            let read = self.log.read_after(copy.state.revision, self.config.read_limit);
            match read.await? {
                ReadOutcome::Entries(entries) if entries.is_empty() => break,
                ReadOutcome::Entries(entries) => copy.extend(entries),
                ReadOutcome::Compacted => copy = self.copy_of_snapshot().await?,
            }
        }
        self.publish_first_copy(copy);
        Ok(())
    }

    async fn copy_of_snapshot(&self) -> Result<FirstCopy, ReadError> {
        let mut copy = FirstCopy::default();
        if let Snapshot::State(state) = self.log.read_snapshot().await? {
            copy.state = *state;
        }
        Ok(copy)
    }

    fn publish_first_copy(&self, copy: FirstCopy) {
        let mut guarded = self.guarded();
        if copy.state.revision <= self.head() {
            return;
        }
        guarded.recent.clear();
        for entry in copy.entries {
            guarded.recent.push(entry);
        }
        self.publish(copy.state);
    }
}

impl FirstCopy {
    fn extend(&mut self, entries: Vec<LogEntry>) {
        for entry in &entries {
            apply(&mut self.state, entry);
        }
        self.entries.extend(entries);
    }
}
