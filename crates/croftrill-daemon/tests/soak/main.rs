//! A randomized soak: real daemons as processes, faults from outside.
//!
//! Each round draws faults from its seed, lets them meet calls, mends them, and
//! checks the promises from what callers and replicas saw:
//!
//! - a call runs at most once, and one that was refused never;
//! - a success is the whole answer to that very call, from one run;
//! - no replica gets an older token after a newer one, or a load that does not fit;
//! - the configuration never goes back, and the newest is in force afterwards;
//! - no key reaches a replica, nobody without one is served, a group is named rightly,
//!   and the tokens of a group stay within its quota;
//! - a request that crashes replicas reaches no more than it may;
//! - a replica that told a node that it leaves, or wants rest, gets nothing more from it;
//! - a replica that named a limit gets no more than it may from the nodes that it told;
//! - a request that waits at a node that is asked to stop gets an answer;
//! - afterwards every node serves every model.
//!
//! Some callers keep their connections until the process behind them is gone.
//!
//! `CROFTRILL_SOAK_ROUNDS` and `CROFTRILL_SOAK_SEED` choose other rounds than the
//! continuous integration's, `CROFTRILL_SOAK_NODES` and `CROFTRILL_SOAK_ENGINES`
//! other sizes, `CROFTRILL_SOAK_OLDER` the program of another build, which seeds from two
//! millions on replace by this one and back, `CROFTRILL_SOAK_LOGS` a directory for the nodes' logs. Seeds that ever failed stand in `seeds.txt`, with how their
//! faults are drawn.

mod checks;
mod cluster;
mod faults;
mod limits;
mod suspendable;
mod tenants;
mod uneven;
mod words;

use std::time::Duration;

use cluster::{Cluster, Conditions, Program, Size, USUAL_SIZE};
use faults::Mix;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use tokio::task::LocalSet;

/// Rounds of the continuous integration: one of each mix, as the seed divided by
/// four tells.
const USUAL_ROUNDS: u64 = 4;
/// Seed of its first round.
const USUAL_SEED: u64 = 2026;
/// From this seed on all rounds are of the mix of words.
const FIRST_SEED_OF_WORDS: u64 = 1_000_000;
/// From this seed on they are of the mix of builds, which needs another build.
const FIRST_SEED_OF_BUILDS: u64 = 2_000_000;
/// From this seed on they are of the mix of restores.
const FIRST_SEED_OF_RESTORES: u64 = 3_000_000;
/// Seed of the continuous integration's round of that mix.
const USUAL_SEED_OF_RESTORES: u64 = FIRST_SEED_OF_RESTORES + USUAL_SEED;
/// Seed of the continuous integration's round of the mix of words.
const USUAL_SEED_OF_WORDS: u64 = FIRST_SEED_OF_WORDS + USUAL_SEED;
/// From this seed on they are of the mix of limits.
const FIRST_SEED_OF_LIMITS: u64 = 4_000_000;
/// Seed of the continuous integration's round of that mix.
const USUAL_SEED_OF_LIMITS: u64 = FIRST_SEED_OF_LIMITS + USUAL_SEED;
/// From this seed on they are of the mix of uneven replicas.
const FIRST_SEED_OF_UNEVEN: u64 = 5_000_000;
/// Seed of the continuous integration's round of that mix.
const USUAL_SEED_OF_UNEVEN: u64 = FIRST_SEED_OF_UNEVEN + USUAL_SEED;
/// Time in which calls and faults meet.
const ROUND: Duration = Duration::from_secs(6);
/// The same where replicas name limits, which hold after 3 s in any 4 s.
const ROUND_OF_LIMITS: Duration = Duration::from_secs(14);

/// Fewest replicas of a round with requests that crash them: there are always some
/// left, and without any bound on them more would end than may.
const LEAST_CRASHING_ENGINES: usize = 6;

/// Fewest replicas of a round in which some leave, want rest or name a limit: their models
/// have holders besides.
const LEAST_SPEAKING_ENGINES: usize = 4;

fn number(variable: &str, usual: u64) -> u64 {
    std::env::var(variable)
        .ok()
        .and_then(|value| value.parse().ok())
        .unwrap_or(usual)
}

/// Seeds that failed once, with how their faults are drawn.
fn kept_seeds() -> Vec<(u64, Mix)> {
    include_str!("seeds.txt")
        .lines()
        .filter(|line| !line.starts_with('#'))
        .map(|line| {
            let mut words = line.split_whitespace();
            let seed = words.next().and_then(|seed| seed.parse().ok());
            let mix = match words.next() {
                Some("few") => Mix::Few,
                Some("series") => Mix::Series,
                Some("crashes") => Mix::Crashes,
                Some("tenants") => Mix::Tenants,
                Some("words") => Mix::Words,
                Some("restores") => Mix::Restores,
                Some("limits") => Mix::Limits,
                Some("uneven") => Mix::Uneven,
                other => panic!("seeds.txt: {other:?} is no mix"),
            };
            (seed.expect("a seed"), mix)
        })
        .collect()
}

async fn round(seed: u64, mix: Mix, size: Size) {
    let mut random = SmallRng::seed_from_u64(seed);
    let (program, size) = match mix {
        Mix::Crashes => (Program::Suspendable, size.with_engines(LEAST_CRASHING_ENGINES)),
        Mix::Words | Mix::Limits | Mix::Uneven => {
            (Program::Daemon, size.with_engines(LEAST_SPEAKING_ENGINES))
        }
        Mix::Builds => (Program::Older, size),
        Mix::Few | Mix::Series | Mix::Tenants | Mix::Restores => (Program::Daemon, size),
    };
    let conditions = match mix {
        Mix::Uneven => uneven::conditions(seed),
        _ => Conditions::default(),
    };
    let cluster = Cluster::start(&format!("{seed}"), size, program, conditions).await;
    match mix {
        Mix::Tenants => tenants::begin(&cluster).await,
        Mix::Uneven => uneven::begin(&cluster, seed).await,
        _ => {}
    }
    let plan = faults::draw(&mut random, mix, size);
    println!("seed {seed} {mix:?}: {plan:?}");
    let length = if mix == Mix::Limits {
        ROUND_OF_LIMITS
    } else {
        ROUND
    };
    let played = async {
        let faults = faults::play(&cluster, &plan, length, seed);
        let calls = match mix {
            Mix::Tenants => tokio::join!(tenants::call_for(&cluster, length, seed), faults).0,
            Mix::Uneven => tokio::join!(uneven::call_for(&cluster, length, seed), faults).0,
            _ => tokio::join!(checks::call_for(&cluster, length, seed), faults).0,
        };
        cluster.mend().await;
        if mix == Mix::Tenants {
            tenants::recovery(&cluster, seed).await;
            return calls;
        }
        checks::recovery(&cluster, seed).await;
        calls
    };
    let calls = tokio::select! {
        calls = played => calls,
        () = cluster.crash_engines() => unreachable!("it goes on"),
    };
    checks::promises(&cluster, &calls, seed);
    if mix == Mix::Tenants {
        tenants::promises(&cluster, &calls, seed);
        checks::enough_are_whole(tenants::owed(&calls), seed);
    } else {
        checks::enough_are_whole(calls.iter(), seed);
    }
    checks::crashes_are_bounded(&cluster, &plan, seed);
    words::are_heeded(&cluster, &plan, seed);
    limits::are_kept(&cluster, &plan, seed);
    if mix == Mix::Uneven {
        uneven::promises(&cluster, &plan, &calls, seed);
    }
    cluster.stop().await;
}

fn size() -> Size {
    let nodes = number("CROFTRILL_SOAK_NODES", USUAL_SIZE.nodes as u64);
    let engines = number("CROFTRILL_SOAK_ENGINES", USUAL_SIZE.engines as u64);
    Size {
        nodes: nodes as usize,
        engines: engines as usize,
    }
}

#[test]
fn promises_hold_under_random_faults() {
    let first = number("CROFTRILL_SOAK_SEED", USUAL_SEED);
    let rounds = number("CROFTRILL_SOAK_ROUNDS", USUAL_ROUNDS);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let mix_of = |seed: u64| match seed % 4 {
        _ if seed >= FIRST_SEED_OF_UNEVEN => Mix::Uneven,
        _ if seed >= FIRST_SEED_OF_LIMITS => Mix::Limits,
        _ if seed >= FIRST_SEED_OF_RESTORES => Mix::Restores,
        _ if seed >= FIRST_SEED_OF_BUILDS => Mix::Builds,
        _ if seed >= FIRST_SEED_OF_WORDS => Mix::Words,
        0 => Mix::Few,
        1 => Mix::Series,
        2 => Mix::Crashes,
        _ => Mix::Tenants,
    };
    let drawn = (first..first + rounds).map(|seed| (seed, mix_of(seed)));
    // Rounds of these mixes are drawn by hand, without the usual ones before them.
    let is_usual = first < FIRST_SEED_OF_WORDS;
    let mut usual = if is_usual { kept_seeds() } else { Vec::new() };
    if is_usual {
        usual.push((USUAL_SEED_OF_WORDS, Mix::Words));
        usual.push((USUAL_SEED_OF_RESTORES, Mix::Restores));
        usual.push((USUAL_SEED_OF_LIMITS, Mix::Limits));
        usual.push((USUAL_SEED_OF_UNEVEN, Mix::Uneven));
    }
    for (seed, mix) in usual {
        LocalSet::new().block_on(&runtime, round(seed, mix, USUAL_SIZE));
    }
    for (seed, mix) in drawn {
        LocalSet::new().block_on(&runtime, round(seed, mix, size()));
    }
}
