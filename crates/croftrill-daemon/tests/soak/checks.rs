//! Sends requests during a round and checks the guarantees by their outcomes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use croftrill_demo::caller::{call, call_over, persistent_connections, Call, CallOutcome};
use croftrill_standin::engine::{Ledger, CRASH_PROMPT_PREFIX};
use futures::future::join_all;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

use crate::cluster::{status, Cluster, MODELS};
use crate::faults::{CrashingRequest, PlannedFault};

/// Time between two requests.
const CALL_INTERVAL: Duration = Duration::from_millis(25);
/// Deadline of a request.
const DEADLINE: Duration = Duration::from_secs(4);
/// Maximum time from the end of the faults until every node serves every model.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(40);

/// A request and its outcome.
#[derive(Debug, Clone)]
pub struct CallRecord {
    pub attempt: String,
    pub outcome: CallOutcome,
    pub elapsed: Duration,
    /// Time from the start of the round until it was sent.
    pub started_after: Duration,
}

const DEFAULT_PROMPT: &str = "a question";
/// Maximum number of replicas that one request may crash: three, and one to which a copy was
/// already on its way.
const MAX_CRASHED_REPLICAS: usize = 4;

/// Sends the same crashing request `crash.times` times, to the nodes in turn.
pub async fn send_crashing_request(cluster: &Cluster, crash: &CrashingRequest, seed: u64) {
    let calls = (0..crash.times).map(|number| async move {
        sleep(crash.interval * number).await;
        let drawn = Call {
            attempt: crash.attempt(seed, number),
            model: MODELS[crash.number % MODELS.len()].to_string(),
            prompt: format!("{CRASH_PROMPT_PREFIX}{}", crash.number),
            events: 8,
            deadline: DEADLINE,
            group: None,
            key: None,
        };
        let node = &cluster.nodes[(crash.number + number as usize) % cluster.nodes.len()];
        // The ledgers show which replicas crashed; the answer does not matter.
        let _ = call(node.front, &drawn).await;
    });
    join_all(calls).await;
}

/// Checks how many replicas each crashing request crashed.
pub fn check_crashes_are_bounded(cluster: &Cluster, plan: &[PlannedFault], seed: u64) {
    let ledgers = cluster.ledgers();
    for crash in plan.iter().filter_map(PlannedFault::crash) {
        let attempts: Vec<String> = (0..crash.times)
            .map(|number| crash.attempt(seed, number))
            .collect();
        // Copies that start at the same replica crash it together, so the number of runs is
        // no measure.
        let started_there =
            |ledger: &&Ledger| attempts.iter().any(|attempt| ledger.runs.contains_key(attempt));
        let crashed_replicas = ledgers.iter().filter(started_there).count();
        println!(
            "seed {seed}: crashing request {}: {crashed_replicas} replicas, {} calls",
            crash.number, crash.times
        );
        assert!(
            crashed_replicas <= MAX_CRASHED_REPLICAS,
            "seed {seed}: {crashed_replicas} replicas were crashed by {crash:?}"
        );
    }
}

pub fn draw_call(random: &mut SmallRng, attempt: String) -> Call {
    let model = MODELS[random.random_range(0..MODELS.len())];
    let adapter = if random.random_bool(0.2) { "/a1" } else { "" };
    Call {
        attempt,
        model: format!("{model}{adapter}"),
        prompt: DEFAULT_PROMPT.to_string(),
        events: random.random_range(2..12),
        deadline: DEADLINE,
        group: None,
        key: None,
    }
}

/// Time between two requests over a persistent connection.
const PERSISTENT_CALL_INTERVAL: Duration = Duration::from_millis(60);
/// Maximum number of nodes that get a caller with a persistent connection.
const MAX_PERSISTENT_CALLERS: usize = 8;

/// Sends requests to all nodes for the time `round`, over new connections and over
/// persistent ones that last until the node's process is gone. Waits for the last answers.
pub async fn call_nodes(cluster: &Cluster, round: Duration, seed: u64) -> Vec<CallRecord> {
    let persistent_callers = cluster.nodes.iter().take(MAX_PERSISTENT_CALLERS).enumerate();
    let persistent_callers = persistent_callers
        .map(|(index, node)| call_over_persistent_connection(node.front, round, seed, index));
    let mut random = SmallRng::seed_from_u64(seed ^ 0xca11);
    let over_new_connections = call_over_new_connections(cluster, round, |number| {
        draw_call(&mut random, format!("s{seed}-{number}"))
    });
    let (mut records, persistent) = tokio::join!(over_new_connections, join_all(persistent_callers));
    records.extend(persistent.into_iter().flatten());
    records
}

/// Sends one request after the other over a connection that is reused while it lasts.
async fn call_over_persistent_connection(
    front: SocketAddr,
    round: Duration,
    seed: u64,
    index: usize,
) -> Vec<CallRecord> {
    let mut random = SmallRng::seed_from_u64(seed ^ 0xcee9 ^ index as u64);
    let pool = persistent_connections();
    let round_started_at = Instant::now();
    let until = round_started_at + round;
    let mut records = Vec::new();
    while Instant::now() < until {
        let drawn = draw_call(&mut random, format!("k{seed}-{index}-{}", records.len()));
        let started_after = round_started_at.elapsed();
        let (outcome, elapsed) = call_over(&pool, front, &drawn).await;
        records.push(CallRecord {
            attempt: drawn.attempt,
            outcome,
            elapsed,
            started_after,
        });
        sleep(PERSISTENT_CALL_INTERVAL).await;
    }
    records
}

/// Sends requests to all nodes in turn for the time `round`, each over a new connection.
/// Waits for the last answers. `draw` returns the request with a number.
pub async fn call_over_new_connections(
    cluster: &Cluster,
    round: Duration,
    draw: impl FnMut(usize) -> Call,
) -> Vec<CallRecord> {
    call_chosen_nodes(cluster, round, |number, _| number, draw).await
}

/// As [`call_over_new_connections`], to the nodes that `node_of` returns for the number of a request
/// and the time from the start; the nodes are counted on from the last to the first.
pub async fn call_chosen_nodes(
    cluster: &Cluster,
    round: Duration,
    node_of: impl Fn(usize, Duration) -> usize,
    mut draw: impl FnMut(usize) -> Call,
) -> Vec<CallRecord> {
    let records = Rc::new(RefCell::new(Vec::new()));
    let round_started_at = Instant::now();
    let until = round_started_at + round;
    let mut tasks = Vec::new();
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let drawn = draw(number);
        let started_after = round_started_at.elapsed();
        let node = node_of(number, started_after) % cluster.nodes.len();
        let (front, records) = (cluster.nodes[node].front, records.clone());
        tasks.push(spawn_local(async move {
            let (outcome, elapsed) = call(front, &drawn).await;
            records.borrow_mut().push(CallRecord {
                attempt: drawn.attempt,
                outcome,
                elapsed,
                started_after,
            });
        }));
        sleep(CALL_INTERVAL).await;
    }
    for task in tasks {
        task.await.expect("the task of a request does not panic");
    }
    records.take()
}

/// Waits until every node serves every model, and checks that the newest document is in
/// force. All nodes are asked for a model at once: the replicas hold fewer models than there are, so
/// each node in turn would have each model loaded again. The second pass, in reverse, asks for models
/// that made way in the first one.
pub async fn wait_for_recovery(cluster: &Cluster, seed: u64) {
    let until = Instant::now() + RECOVERY_TIMEOUT;
    for (pass, models) in [MODELS.to_vec(), MODELS.iter().rev().copied().collect()]
        .iter()
        .enumerate()
    {
        for model in models {
            let nodes = 0..cluster.nodes.len();
            let served = nodes.map(|index| {
                let attempt = format!("r{seed}-{index}-{model}-{pass}");
                wait_until_served(cluster, index, model, attempt, until)
            });
            join_all(served).await;
        }
    }
    let newest = cluster.document.borrow().version;
    for (index, node) in cluster.nodes.iter().enumerate() {
        let reported_version = status(node).await.map(|status| status.configuration_version);
        assert_eq!(
            reported_version,
            Some(newest),
            "seed {seed}: node {index} does not have the newest document"
        );
    }
}

/// Waits until a node serves a model.
async fn wait_until_served(cluster: &Cluster, index: usize, model: &str, attempt: String, until: Instant) {
    for number in 1.. {
        let request = Call {
            attempt: format!("{attempt}-{number}"),
            model: model.to_string(),
            prompt: DEFAULT_PROMPT.to_string(),
            events: 2,
            deadline: DEADLINE,
            group: None,
            key: None,
        };
        let (outcome, _) = call(cluster.nodes[index].front, &request).await;
        if outcome == CallOutcome::Complete {
            return;
        }
        assert!(
            Instant::now() < until,
            "{attempt}: node {index} does not serve {model}: {outcome:?}"
        );
        sleep(Duration::from_millis(100)).await;
    }
}

/// Checks the guarantees by what callers and replicas observed.
pub fn check_guarantees(cluster: &Cluster, calls: &[CallRecord], seed: u64) {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for ledger in cluster.ledgers() {
        assert!(
            ledger.violations.is_empty(),
            "seed {seed}: {:?}",
            ledger.violations
        );
        for (attempt, count) in ledger.runs {
            *runs.entry(attempt).or_default() += count;
        }
    }
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for record in calls {
        let count = runs.get(&record.attempt).copied().unwrap_or(0);
        let name = match &record.outcome {
            CallOutcome::Complete => "complete",
            CallOutcome::Refused { .. } => "refused",
            CallOutcome::Failed(_) => "failed",
            CallOutcome::Broken => "broken",
            CallOutcome::NotSent => "not sent",
            CallOutcome::Wrong(what) => panic!("seed {seed}: {} got {what}", record.attempt),
        };
        *counts.entry(name).or_default() += 1;
        assert!(count <= 1, "seed {seed}: {} ran {count} times", record.attempt);
        match record.outcome {
            CallOutcome::Complete => {
                assert_eq!(
                    count, 1,
                    "seed {seed}: {} is complete but never ran",
                    record.attempt
                )
            }
            CallOutcome::Refused { .. } | CallOutcome::NotSent => {
                assert_eq!(count, 0, "seed {seed}: {} was refused but ran", record.attempt);
            }
            _ => {}
        }
    }
    println!("seed {seed}: {} calls, {counts:?}", calls.len());
}

/// Checks that at least a fifth of the calls that may be served are complete.
pub fn check_enough_are_complete<'a>(calls: impl Iterator<Item = &'a CallRecord>, seed: u64) {
    let (mut all, mut complete) = (0, 0);
    for record in calls {
        all += 1;
        complete += usize::from(record.outcome == CallOutcome::Complete);
    }
    assert!(
        complete * 5 >= all,
        "seed {seed}: only {complete} of {all} calls are complete"
    );
}
