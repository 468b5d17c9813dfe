//! Keys of the log in the key-value service. Numbers are padded so that the
//! keys sort by revision.

use croftrill_state::Revision;

/// Prefix of the entries.
pub(super) const LOG_PREFIX: &str = "croftrill/log/";
/// Prefix of the parts of snapshots.
pub(super) const SNAPSHOT_PREFIX: &str = "croftrill/snapshot/";
/// Names the latest snapshot and the floor of the log.
pub(super) const SNAPSHOT_POINTER: &str = "croftrill/snapshot-pointer";

/// The key of an entry.
pub(super) fn entry(revision: Revision) -> String {
    format!("{LOG_PREFIX}{:020}", revision.0)
}

/// The key of a part of a snapshot. `writer` tells apart two nodes that write a
/// snapshot of the same revision.
pub(super) fn snapshot_part(revision: Revision, writer: u64, part: u32) -> String {
    format!("{SNAPSHOT_PREFIX}{:020}/{writer:016x}/{part:06}", revision.0)
}

/// The revision of a snapshot part's key.
pub(super) fn revision_of_part(key: &str) -> Option<Revision> {
    let rest = key.strip_prefix(SNAPSHOT_PREFIX)?;
    let number = rest.split('/').next()?;
    number.parse().ok().map(Revision)
}
