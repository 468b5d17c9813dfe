//! Rounds in which replicas get orders late and adapters slowly, and fall if an order is beyond their room.

use std::time::Duration;

use croftrill_demo::caller::{Call, CallOutcome};
use croftrill_standin::engine::LateOrders;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::checks::{self, CallRecord};
use crate::cluster::{Cluster, Conditions, Size};
use crate::faults::Injection;

/// Adapters of each model: more than a replica has slots for.
const ADAPTERS: u32 = 6;
/// Share of requests for an adapter.
const ADAPTER_SHARE: f64 = 0.7;
/// Prefix of the attempt ids of these.
const ADAPTER_ATTEMPT: &str = "a";

pub fn conditions() -> Conditions {
    Conditions {
        adapters: ADAPTERS,
        keeps_ids: true,
        ..Conditions::default()
    }
}

/// Draws a fault. The first ones make adapters slow and orders late.
pub fn injection(random: &mut SmallRng, size: Size, index: usize) -> Injection {
    let node = random.random_range(0..size.nodes);
    let engine = random.random_range(0..size.engines);
    let kind = match index {
        0 => 0,
        1 => 1,
        2 => 2,
        _ => random.random_range(0..8),
    };
    match kind {
        0 => Injection::AdapterTransit(Duration::from_millis(random.random_range(200..3_000))),
        1 => Injection::LateOrders(
            engine,
            LateOrders {
                each: random.random_range(2..4),
                late_by: Duration::from_millis(random.random_range(600..6_000)),
            },
        ),
        2 | 3 => Injection::EndEngine(engine),
        4 | 5 => Injection::Kill(node),
        6 => Injection::Stop(node),
        _ => Injection::KillAllAtOnce(Duration::from_millis(random.random_range(100..800))),
    }
}

/// Sends requests to all nodes in turn, most of them for adapters.
pub async fn call_nodes(cluster: &Cluster, round: Duration, seed: u64) -> Vec<CallRecord> {
    let mut random = SmallRng::seed_from_u64(seed ^ 0xada9);
    let draw = |number: usize| {
        let plain = checks::draw_call(&mut random, format!("m{seed}-{number}"));
        if !random.random_bool(ADAPTER_SHARE) {
            return plain;
        }
        let model = plain.model.split('/').next().unwrap_or_default();
        let adapter = random.random_range(1..=ADAPTERS);
        Call {
            attempt: format!("{ADAPTER_ATTEMPT}{seed}-{number}"),
            model: format!("{model}/a{adapter}"),
            ..plain
        }
    };
    checks::call_over_new_connections(cluster, round, draw).await
}

/// Checks that adapters were served, however slow they were.
pub fn check_adapters_are_served(calls: &[CallRecord], seed: u64) {
    let for_adapters = calls
        .iter()
        .filter(|call| call.attempt.starts_with(ADAPTER_ATTEMPT));
    let (mut all, mut served) = (0, 0);
    for call in for_adapters {
        all += 1;
        served += u32::from(call.outcome == CallOutcome::Complete);
    }
    println!("seed {seed}: {served} of {all} requests for adapters are served");
    assert!(served > 0, "seed {seed}: no adapter is served");
}
