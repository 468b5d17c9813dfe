//! Rounds in which replicas fall over if they must reject too many requests.

use std::time::Duration;

use croftrill_standin::engine_state::EngineConfig;

use crate::cluster::{Cluster, Conditions};

/// Slots of each replica: few, so that some replicas are full at times.
const SLOTS: usize = 2;
const EVENT_INTERVAL: Duration = Duration::from_millis(25);
/// Falls that are allowed in a round, beside a tenth of the replicas.
const MAX_FALLS: u32 = 2;

pub fn conditions() -> Conditions {
    Conditions {
        engine: |_| EngineConfig {
            slots: SLOTS,
            event_interval: EVENT_INTERVAL,
            ..EngineConfig::default()
        },
        ..Conditions::default()
    }
}

/// Checks how often replicas fell over.
pub fn check_falls_are_bounded(cluster: &Cluster, seed: u64) {
    let falls: u32 = cluster.ledgers().iter().map(|ledger| ledger.falls).sum();
    let replicas = cluster.engines.borrow().len() as u32;
    println!("seed {seed}: {falls} falls");
    assert!(
        falls <= MAX_FALLS + replicas / 10,
        "seed {seed}: {falls} falls of {replicas} replicas"
    );
}
