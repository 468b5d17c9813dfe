//! Rounds in which replicas fall over if they must reject too many requests.

use std::time::Duration;

use croftrill_standin::engine_state::EngineConfig;
use rand::rngs::SmallRng;
use rand::SeedableRng;

use crate::checks::{self, CallRecord};
use crate::cluster::{Cluster, Conditions};

/// Slots of each replica: few, so that some replicas are full at times.
pub const SLOTS: usize = 2;
const EVENT_INTERVAL: Duration = Duration::from_millis(25);
/// Time for which callers that move stay at a node.
const STAY: Duration = Duration::from_millis(1300);
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

/// Calls nodes as [`checks::call_nodes`], but in rounds with odd seeds all callers without a
/// connection come to one node, and move to another one each [`STAY`].
pub async fn call_nodes(cluster: &Cluster, length: Duration, seed: u64) -> Vec<CallRecord> {
    if seed % 2 == 0 {
        return checks::call_nodes(cluster, length, seed).await;
    }
    let mut random = SmallRng::seed_from_u64(seed ^ 0xca11);
    let node_of = |_, elapsed: Duration| (elapsed.as_millis() / STAY.as_millis()) as usize;
    let draw = |number| checks::draw_call(&mut random, format!("s{seed}-{number}"));
    checks::call_chosen_nodes(cluster, length, node_of, draw).await
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
