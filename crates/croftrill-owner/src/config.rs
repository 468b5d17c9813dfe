//! Settings of the owner service.

use croftrill_state::engine_memory::MemoryConfig;
use croftrill_state::replica_queue::QueueConfig;
use croftrill_state::NodeId;

/// Settings of the owner service.
#[derive(Clone, Debug)]
pub struct OwnerConfig {
    /// This node.
    pub node: NodeId,
    /// Settings of each engine's queue; `max_running` is taken from the engine.
    pub queue: QueueConfig,
    /// Settings of each engine's memory decisions.
    pub memory: MemoryConfig,
    /// Longest wait for the log entry that a gateway routed by, in milliseconds.
    pub catch_up_millis: u64,
    /// Longest wait for the answer to an order or inventory, in milliseconds.
    pub engine_call_timeout_millis: u64,
    /// Longest wait for the coordinator's answer about a load, in milliseconds;
    /// then the local rate decides.
    pub permit_timeout_millis: u64,
    /// Shortest pause between inventories while a load or unload is under way,
    /// in milliseconds.
    pub inventory_poll_millis: u64,
    /// Longest pause between inventories while a load is under way whose
    /// expected end is far, in milliseconds.
    pub inventory_poll_max_millis: u64,
    /// Pause between inventories while requests of a former owner run, in
    /// milliseconds.
    pub others_poll_millis: u64,
    /// Pause between inventories otherwise, in milliseconds.
    pub inventory_refresh_millis: u64,
    /// First pause after an engine could not be reached, in milliseconds.
    pub engine_backoff_millis: u64,
    /// Longest such pause, in milliseconds.
    pub engine_backoff_max_millis: u64,
    /// First pause between reports of a release, in milliseconds.
    pub report_retry_millis: u64,
    /// Time to come back that a refusal names after a change of owner, in
    /// milliseconds.
    pub not_owner_retry_millis: u64,
    /// Time to come back that a refusal names while leaving, in milliseconds.
    pub leaving_retry_millis: u64,
    /// Pause between two loads that no coordinator permitted, in milliseconds;
    /// it doubles with each, up to `local_load_max_spacing_millis`.
    pub local_load_spacing_millis: u64,
    /// Longest such pause, in milliseconds.
    pub local_load_max_spacing_millis: u64,
    /// Longest time that a drain waits for work to end, in milliseconds.
    pub drain_bound_millis: u64,
    /// Whether a dispatched request is cut when its first token is late, unless
    /// it is unrepeatable: then a late answer is better than an outcome that
    /// nobody knows. Its total deadline always cuts it.
    pub cut_late_first_token: bool,
}

impl OwnerConfig {
    /// Defaults for a node.
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            queue: QueueConfig::default(),
            memory: MemoryConfig::default(),
            catch_up_millis: 500,
            engine_call_timeout_millis: 5_000,
            permit_timeout_millis: 1_000,
            inventory_poll_millis: 50,
            inventory_poll_max_millis: 1_000,
            others_poll_millis: 1_000,
            inventory_refresh_millis: 30_000,
            engine_backoff_millis: 250,
            engine_backoff_max_millis: 10_000,
            report_retry_millis: 200,
            not_owner_retry_millis: 100,
            leaving_retry_millis: 100,
            local_load_spacing_millis: 1_000,
            local_load_max_spacing_millis: 16_000,
            drain_bound_millis: 60_000,
            cut_late_first_token: true,
        }
    }
}
