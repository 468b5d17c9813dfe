//! The identity of a request's content, by which nodes recognize copies of it.

use croftrill_scheduler::crash_ledger::Fingerprint;
use sha2::{Digest, Sha256};

/// Returns the fingerprint of a request's target, caller and body.
///
/// The caller is the one that the request names, not its address, as a caller uses several
/// addresses. The hash is SHA-256 because a caller that could produce the fingerprint of another
/// caller's request could have that request refused. Half of the hash's bits are enough to prevent
/// that.
pub(super) fn fingerprint(target: &str, caller: Option<&str>, body: &[u8]) -> Fingerprint {
    let mut hasher = Sha256::new();
    // Length prefixes keep field boundaries unambiguous.
    hasher.update((target.len() as u64).to_be_bytes());
    hasher.update(target);
    let caller = caller.unwrap_or_default();
    hasher.update((caller.len() as u64).to_be_bytes());
    hasher.update(caller);
    hasher.update(body);
    let digest = hasher.finalize();
    let mut half = [0; 16];
    half.copy_from_slice(&digest[..16]);
    Fingerprint(u128::from_be_bytes(half))
}
