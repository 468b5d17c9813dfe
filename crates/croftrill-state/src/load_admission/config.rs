//! Settings of load admission.

/// Limits of the weight store and how to keep them.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadAdmissionConfig {
    /// Loads that the store starts a second, in thousandths.
    pub loads_per_second_thousandths: u64,
    /// Loads at once that still run at full speed.
    pub concurrent_loads: u32,
    /// Speed of one load before any was reported, in MiB a second.
    pub initial_mib_per_second: u64,
    /// Part of each load's duration that does not depend on its size, in
    /// milliseconds.
    pub fixed_load_millis: u64,
    /// A lease lasts this many times the expected duration of its load.
    pub lease_factor: u32,
    /// Shortest lease, in milliseconds.
    pub least_lease_millis: u64,
    /// Longest lease, in milliseconds. An owner renews its lease by asking
    /// again for the same load.
    pub most_lease_millis: u64,
    /// How late after its `retry_after_millis` a waiting asker may ask again
    /// and still keep its place, in milliseconds.
    pub ask_grace_millis: u64,
    /// Longest `retry_after_millis` told to a waiting asker.
    pub most_retry_millis: u64,
    /// After this wait an asker goes before any newer one, in milliseconds.
    pub most_wait_millis: u64,
    /// Without news of the store's speed for this long, one load is granted
    /// though it seems too slow for its deadline, in milliseconds.
    pub probe_interval_millis: u64,
    /// How long the loads of an earlier coordinator may still run, in
    /// milliseconds. A new coordinator raises its concurrency from 1 to the
    /// limit over this time.
    pub takeover_millis: u64,
}

impl Default for LoadAdmissionConfig {
    fn default() -> Self {
        Self {
            loads_per_second_thousandths: 3000,
            concurrent_loads: 6,
            initial_mib_per_second: 2048,
            fixed_load_millis: 0,
            lease_factor: 4,
            least_lease_millis: 10_000,
            most_lease_millis: 120_000,
            ask_grace_millis: 100,
            most_retry_millis: 250,
            most_wait_millis: 30_000,
            probe_interval_millis: 5_000,
            takeover_millis: 10_000,
        }
    }
}
