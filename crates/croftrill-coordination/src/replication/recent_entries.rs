//! The last entries, kept for peers that are a little behind.

use croftrill_state::entry::LogEntry;
use croftrill_state::Revision;
use nanoserde::SerBin;
use std::collections::VecDeque;

struct Kept {
    entry: LogEntry,
    bytes: usize,
}

/// Consecutive entries that end at the present head, bounded in number and
/// bytes.
pub(super) struct RecentEntries {
    kept: VecDeque<Kept>,
    bytes: usize,
    most_entries: usize,
    most_bytes: usize,
}

impl RecentEntries {
    /// None yet.
    pub(super) fn new(most_entries: usize, most_bytes: usize) -> Self {
        Self {
            kept: VecDeque::new(),
            bytes: 0,
            most_entries,
            most_bytes,
        }
    }

    /// Adds the entry that was applied last.
    pub(super) fn push(&mut self, entry: LogEntry) {
        let bytes = entry.serialize_bin().len();
        self.bytes += bytes;
        self.kept.push_back(Kept { entry, bytes });
        while self.kept.len() > self.most_entries || self.bytes > self.most_bytes {
            let Some(oldest) = self.kept.pop_front() else {
                return;
            };
            self.bytes -= oldest.bytes;
        }
    }

    /// Forgets everything, after the state jumped to a snapshot.
    pub(super) fn clear(&mut self) {
        self.kept.clear();
        self.bytes = 0;
    }

    /// The entries after a revision, or `None` if some of them are not kept.
    pub(super) fn page(
        &self,
        after: Revision,
        most_entries: usize,
        most_bytes: usize,
    ) -> Option<Vec<LogEntry>> {
        let start = self.position(after.next())?;
        let mut bytes = 0;
        let mut page = Vec::new();
        for kept in self.kept.iter().skip(start).take(most_entries.max(1)) {
            bytes += kept.bytes;
            if bytes > most_bytes && !page.is_empty() {
                break;
            }
            page.push(kept.entry.clone());
        }
        Some(page)
    }

    /// Reports an entry that differs from the applied one of its revision. It
    /// cannot happen while the key-value service keeps its promise.
    pub(super) fn compare(&self, entry: &LogEntry) {
        let Some(position) = self.position(entry.revision) else {
            return;
        };
        if self.kept[position].entry.entry_id != entry.entry_id {
            log::error!("log: two entries of one revision revision={}", entry.revision);
        }
    }

    fn position(&self, revision: Revision) -> Option<usize> {
        let first = self.kept.front()?.entry.revision;
        let position = revision.0.checked_sub(first.0)? as usize;
        (position < self.kept.len()).then_some(position)
    }
}
