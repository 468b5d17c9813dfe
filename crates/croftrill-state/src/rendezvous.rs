//! Rendezvous hashing: everyone who knows the same candidates picks the same
//! one for a key, and losing a candidate moves only that candidate's keys.

use crate::identifiers::NodeId;
use xxhash_rust::xxh3::xxh3_64;

/// The candidate with the highest score for a key.
pub fn highest<'a>(key: &str, candidates: impl IntoIterator<Item = &'a NodeId>) -> Option<&'a NodeId> {
    candidates
        .into_iter()
        .max_by_key(|candidate| (score(key, candidate), *candidate))
}

/// All candidates, the highest score for the key first.
pub fn ranked<'a>(key: &str, candidates: impl IntoIterator<Item = &'a NodeId>) -> Vec<&'a NodeId> {
    let mut all: Vec<&NodeId> = candidates.into_iter().collect();
    all.sort_by_key(|candidate| std::cmp::Reverse((score(key, candidate), *candidate)));
    all
}

fn score(key: &str, candidate: &NodeId) -> u64 {
    let mut bytes = Vec::with_capacity(key.len() + 1 + candidate.as_str().len());
    bytes.extend_from_slice(key.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(candidate.as_str().as_bytes());
    xxh3_64(&bytes)
}
