//! What membership costs on the network.

use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes that every UDP datagram costs besides its content: IP and UDP headers.
pub const DATAGRAM_HEADER_BYTES: u64 = 28;

/// Counters of datagrams and bytes, headers included.
#[derive(Debug, Default)]
pub struct ProbeTraffic {
    datagrams_sent: AtomicU64,
    bytes_sent: AtomicU64,
    datagrams_received: AtomicU64,
    bytes_received: AtomicU64,
    datagrams_dropped: AtomicU64,
}

/// The counters at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProbeTrafficCounts {
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Datagrams received.
    pub datagrams_received: u64,
    /// Bytes received.
    pub bytes_received: u64,
    /// Datagrams received that were no probes.
    pub datagrams_dropped: u64,
}

impl ProbeTraffic {
    pub(super) fn count_sent(&self, bytes: usize) {
        self.datagrams_sent.fetch_add(1, Ordering::Relaxed);
        self.bytes_sent
            .fetch_add(bytes as u64 + DATAGRAM_HEADER_BYTES, Ordering::Relaxed);
    }

    pub(super) fn count_received(&self, bytes: usize) {
        self.datagrams_received.fetch_add(1, Ordering::Relaxed);
        self.bytes_received
            .fetch_add(bytes as u64 + DATAGRAM_HEADER_BYTES, Ordering::Relaxed);
    }

    pub(super) fn count_dropped(&self) {
        self.datagrams_dropped.fetch_add(1, Ordering::Relaxed);
    }

    /// The present counts.
    pub fn counts(&self) -> ProbeTrafficCounts {
        ProbeTrafficCounts {
            datagrams_sent: self.datagrams_sent.load(Ordering::Relaxed),
            bytes_sent: self.bytes_sent.load(Ordering::Relaxed),
            datagrams_received: self.datagrams_received.load(Ordering::Relaxed),
            bytes_received: self.bytes_received.load(Ordering::Relaxed),
            datagrams_dropped: self.datagrams_dropped.load(Ordering::Relaxed),
        }
    }
}
