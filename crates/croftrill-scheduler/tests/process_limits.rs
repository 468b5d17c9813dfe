//! The shares of a process's memory and descriptors.

use croftrill_scheduler::process_limits::ProcessLimits;
use proptest::prelude::*;

/// Descriptors that the machine reserves for files.
const FILES: usize = 200;
/// Ports besides the one for callers, on the platform with the most of them.
const AUXILIARY_PORTS: usize = 3;

// Guards against links of other nodes that have next to no place on a machine with few descriptors.
#[test]
fn max_peer_links_on_machine_with_usual_descriptors() {
    assert!(ProcessLimits::default().max_peer_links() >= 500);
    assert!(ProcessLimits::new(512, 1024).max_peer_links() >= 100);
    assert!(ProcessLimits::new(160, 4100).max_peer_links() >= 1000);
}

proptest! {
    /// Whatever all callers and peers take at once, it fits.
    #[test]
    fn shares_fit_into_limits(memory_mb in 32u64..2000, max_descriptors in 512usize..20_000) {
        let limits = ProcessLimits::new(memory_mb, max_descriptors);
        let descriptors = FILES
            + 2 * limits.max_caller_connections()
            + limits.max_idle_replica_connections()
            + 2 * limits.max_tunnels()
            + AUXILIARY_PORTS * limits.max_auxiliary_connections()
            + limits.max_unknown_links()
            + limits.max_peer_links();
        prop_assert!(descriptors <= max_descriptors, "{} descriptors", descriptors);
        let bytes = limits.large_bytes() + limits.small_reserve_bytes() + limits.message_bytes();
        prop_assert!(bytes < limits.memory_bytes, "{} bytes", bytes);
    }
}
