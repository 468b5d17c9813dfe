//! A randomized soak: real daemons as processes, faults from outside.
//!
//! Each round draws faults from its seed, lets them meet calls, mends them, and
//! checks the promises from what callers and replicas saw:
//!
//! - a call runs at most once, and one that was refused never;
//! - a success is the whole answer to that very call, from one run;
//! - no replica gets an older token after a newer one, or a load that does not fit;
//! - the configuration never goes back, and the newest is in force afterwards;
//! - afterwards every node serves every model.
//!
//! `CROFTRILL_SOAK_ROUNDS` and `CROFTRILL_SOAK_SEED` choose other rounds than the
//! continuous integration's; seeds that ever failed stand in `seeds.txt`.

mod checks;
mod cluster;
mod faults;

use std::time::Duration;

use cluster::Cluster;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use tokio::task::LocalSet;

/// Rounds of the continuous integration.
const USUAL_ROUNDS: u64 = 2;
/// Seed of its first round.
const USUAL_SEED: u64 = 2026;
/// Time in which calls and faults meet.
const ROUND: Duration = Duration::from_secs(6);

fn number(variable: &str, usual: u64) -> u64 {
    std::env::var(variable)
        .ok()
        .and_then(|value| value.parse().ok())
        .unwrap_or(usual)
}

/// Seeds that failed once, with what was wrong.
fn kept_seeds() -> Vec<u64> {
    include_str!("seeds.txt")
        .lines()
        .filter(|line| !line.starts_with('#'))
        .filter_map(|line| line.split_whitespace().next()?.parse().ok())
        .collect()
}

async fn round(seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut cluster = Cluster::start(&format!("{seed}")).await;
    let plan = faults::draw(&mut random);
    println!("seed {seed}: {plan:?}");
    let calls = checks::call_for(&cluster, ROUND, seed);
    let (calls, ()) = tokio::join!(calls, faults::play(&cluster, &plan, ROUND));
    cluster.mend().await;
    checks::recovery(&mut cluster, seed).await;
    checks::promises(&cluster, &calls, seed);
    cluster.stop().await;
}

#[test]
fn promises_hold_under_random_faults() {
    let first = number("CROFTRILL_SOAK_SEED", USUAL_SEED);
    let rounds = number("CROFTRILL_SOAK_ROUNDS", USUAL_ROUNDS);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    for seed in kept_seeds().into_iter().chain(first..first + rounds) {
        LocalSet::new().block_on(&runtime, round(seed));
    }
}
