//! Settings and faults of the engine stand-in.

use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};

/// Settings of the stand-in. Speeds are in MiB a second.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Where to listen.
    pub listen: SocketAddr,
    /// Memory of each accelerator, in MiB.
    pub accelerator_memory_mib: Vec<u64>,
    /// Requests that run at once.
    pub max_running: u32,
    /// Requests that wait inside the engine; more are refused.
    pub max_waiting: u32,
    /// Time of one token, in microseconds.
    pub token_interval_micros: u64,
    /// Prompt tokens that are prefilled a second.
    pub prefill_tokens_per_second: f64,
    /// Blocks of 64 prompt bytes that the prefix cache keeps.
    pub prefix_cache_blocks: usize,
    /// Checkpoints kept in the machine's memory, in MiB.
    pub memory_cache_mib: u64,
    /// Checkpoints kept on the machine's disk, in MiB.
    pub disk_cache_mib: u64,
    /// Speed of loads from memory.
    pub memory_mib_per_second: f64,
    /// Speed of loads from disk.
    pub disk_mib_per_second: f64,
    /// Speed of remote loads if there is no weight store.
    pub remote_mib_per_second: f64,
    /// Address (`ip:port`) of the weight store.
    pub weight_store: Option<String>,
    /// Time of the load of an adapter, in milliseconds.
    pub adapter_load_millis: u64,
    /// Time between load reports, in milliseconds.
    pub load_report_interval_millis: u64,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            accelerator_memory_mib: vec![80_000; 8],
            max_running: 16,
            max_waiting: 16,
            token_interval_micros: 1_000,
            prefill_tokens_per_second: 100_000.0,
            prefix_cache_blocks: 4096,
            memory_cache_mib: 400_000,
            disk_cache_mib: 2_000_000,
            memory_mib_per_second: 1_000_000.0,
            disk_mib_per_second: 300_000.0,
            remote_mib_per_second: 100_000.0,
            weight_store: None,
            adapter_load_millis: 20,
            load_report_interval_millis: 500,
        }
    }
}

/// Faults in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// The engine crashes, once, when it has generated so many more tokens.
    pub crash_after_tokens: Option<u32>,
    /// After a crash it closes connections for so long, in milliseconds.
    pub restart_after_millis: u64,
    /// It answers nothing and generates nothing.
    pub freeze: bool,
    /// So many loads of models fail at their end.
    pub fail_next_loads: u32,
    /// Loads take so many times longer.
    pub slow_load_factor: f64,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            crash_after_tokens: None,
            restart_after_millis: 500,
            freeze: false,
            fail_next_loads: 0,
            slow_load_factor: 1.0,
        }
    }
}
