//! What makes a request the same as one that came before, here or at another node.

use croftrill_scheduler::crash_ledger::Fingerprint;
use sha2::{Digest, Sha256};

/// The fingerprint of a request's target, caller and body. A caller is who it says
/// to be; its address tells nothing, as one caller uses several. SHA-256, as a caller
/// that found another one's fingerprint could have that request refused: half of
/// its bits still leave nobody a way to one.
pub(super) fn fingerprint(target: &str, caller: Option<&str>, body: &[u8]) -> Fingerprint {
    let mut hasher = Sha256::new();
    // Lengths keep the end of one field from passing for the start of the next.
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
