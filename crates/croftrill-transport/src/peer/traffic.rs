//! What peer calls cost on the network.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of the frames of peer calls, both as caller and as server. The
/// headers of TCP and IP are not in the bytes.
#[derive(Debug, Default)]
pub struct PeerTraffic {
    frames_sent: AtomicU64,
    bytes_sent: AtomicU64,
    frames_received: AtomicU64,
    bytes_received: AtomicU64,
}

/// The counters at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerTrafficCounts {
    /// Frames sent.
    pub frames_sent: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Frames received.
    pub frames_received: u64,
    /// Bytes received.
    pub bytes_received: u64,
}

impl PeerTraffic {
    pub(super) fn count_sent(&self, bytes: usize) {
        self.frames_sent.fetch_add(1, Ordering::Relaxed);
        self.bytes_sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn count_received(&self, bytes: usize) {
        self.frames_received.fetch_add(1, Ordering::Relaxed);
        self.bytes_received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// The present counts.
    pub fn counts(&self) -> PeerTrafficCounts {
        PeerTrafficCounts {
            frames_sent: self.frames_sent.load(Ordering::Relaxed),
            bytes_sent: self.bytes_sent.load(Ordering::Relaxed),
            frames_received: self.frames_received.load(Ordering::Relaxed),
            bytes_received: self.bytes_received.load(Ordering::Relaxed),
        }
    }
}
