//! Rounds with groups of callers, keys that are removed and restored, and a quota.

use std::time::Duration;

use croftrill_demo::caller::{call, Call, CallOutcome};
use croftrill_http::document::{GroupDocument, QuotaDocument};
use croftrill_scheduler::tenants::KeyDigest;
use croftrill_standin::engine::GroupRun;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::{sleep, Instant};

use crate::checks::{call_over_new_connections, draw_call, CallRecord, RECOVERY_TIMEOUT};
use crate::cluster::{status, Cluster, QUOTA_OVERAGE, QUOTA_SLACK, QUOTA_WINDOW};

/// Name of the group without a quota.
const STEADY: &str = "steady";
/// Keys of that group. Operators remove and restore the second one.
const STEADY_KEYS: [&str; 2] = ["steady-key-1", "steady-key-2"];
/// Name of the group with a quota.
const BOUNDED: &str = "bounded";
const BOUNDED_KEY: &str = "bounded-key";
/// A key that is in no document.
const UNKNOWN_KEY: &str = "nobodys-key";
/// Quota of the bounded group at the start and when lowered, in tokens per second. A request
/// uses some 7 tokens.
const QUOTAS: [f64; 2] = [60.0, 20.0];

/// The kind of caller that sends a request. The attempt id ends with its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallerKind {
    Steady,
    Toggled,
    Bounded,
    Unknown,
    Keyless,
}

impl CallerKind {
    const ALL: [CallerKind; 5] = [
        CallerKind::Steady,
        CallerKind::Toggled,
        CallerKind::Bounded,
        CallerKind::Unknown,
        CallerKind::Keyless,
    ];

    fn draw(random: &mut SmallRng) -> Self {
        match random.random_range(0..10) {
            0..4 => CallerKind::Steady,
            4..6 => CallerKind::Toggled,
            6..8 => CallerKind::Bounded,
            8 => CallerKind::Unknown,
            _ => CallerKind::Keyless,
        }
    }

    fn key(self) -> Option<&'static str> {
        match self {
            CallerKind::Steady => Some(STEADY_KEYS[0]),
            CallerKind::Toggled => Some(STEADY_KEYS[1]),
            CallerKind::Bounded => Some(BOUNDED_KEY),
            CallerKind::Unknown => Some(UNKNOWN_KEY),
            CallerKind::Keyless => None,
        }
    }

    fn group(self) -> Option<&'static str> {
        match self {
            CallerKind::Steady | CallerKind::Toggled => Some(STEADY),
            CallerKind::Bounded => Some(BOUNDED),
            CallerKind::Unknown | CallerKind::Keyless => None,
        }
    }

    fn from_attempt(attempt: &str) -> Self {
        let name = attempt.rsplit('-').next().unwrap_or_default();
        let has_name = |caller_kind: &CallerKind| format!("{caller_kind:?}") == name;
        CallerKind::ALL
            .into_iter()
            .find(has_name)
            .expect("an attempt id ends with the caller's kind")
    }
}

fn digest(key: &str) -> String {
    KeyDigest::of(key.as_bytes()).to_hex()
}

fn quota(tokens_per_second: f64) -> Option<QuotaDocument> {
    Some(QuotaDocument {
        tokens_per_second,
        burst_tokens: tokens_per_second,
    })
}

/// Adds the groups to the document, and waits until it is in force at all nodes.
pub async fn set_up_groups(cluster: &Cluster) {
    cluster.document.borrow_mut().groups = groups();
    publish(cluster);
    wait_until_in_force(cluster, 0).await;
}

fn groups() -> Vec<GroupDocument> {
    vec![
        GroupDocument {
            name: STEADY.to_string(),
            share: 1,
            key_digests: STEADY_KEYS.iter().map(|key| digest(key)).collect(),
            ..GroupDocument::default()
        },
        GroupDocument {
            name: BOUNDED.to_string(),
            share: 1,
            key_digests: vec![digest(BOUNDED_KEY)],
            quota: quota(QUOTAS[0]),
            ..GroupDocument::default()
        },
    ]
}

pub fn publish(cluster: &Cluster) {
    cluster.document.borrow_mut().version += 1;
    cluster.write_document();
}

pub fn toggle_key(cluster: &Cluster) {
    let key = digest(STEADY_KEYS[1]);
    let mut document = cluster.document.borrow_mut();
    let keys = &mut document.groups[0].key_digests;
    if keys.contains(&key) {
        keys.retain(|known| *known != key);
    } else {
        keys.push(key);
    }
    drop(document);
    publish(cluster);
}

pub fn toggle_quota(cluster: &Cluster) {
    let mut document = cluster.document.borrow_mut();
    let present = document.groups[1]
        .quota
        .as_ref()
        .map(|quota| quota.tokens_per_second);
    let is_initial = present == Some(QUOTAS[0]);
    document.groups[1].quota = quota(QUOTAS[usize::from(is_initial)]);
    drop(document);
    publish(cluster);
}

pub async fn wait_until_in_force(cluster: &Cluster, seed: u64) {
    let until = Instant::now() + RECOVERY_TIMEOUT;
    let newest = cluster.document.borrow().version;
    for (index, node) in cluster.nodes.iter().enumerate() {
        while status(node).await.map(|status| status.configuration_version) != Some(newest) {
            assert!(
                Instant::now() < until,
                "seed {seed}: node {index} does not have the newest document"
            );
            sleep(Duration::from_millis(20)).await;
        }
    }
}

fn draw(random: &mut SmallRng, seed: u64, number: usize) -> Call {
    let caller_kind = CallerKind::draw(random);
    Call {
        key: caller_kind.key().map(str::to_string),
        // Nodes must ignore the group that a caller claims.
        group: Some(STEADY.to_string()),
        ..draw_call(random, format!("t{seed}-{number}-{caller_kind:?}"))
    }
}

/// Sends requests to all nodes in turn, and waits for the last answers.
pub async fn call_nodes(cluster: &Cluster, round: Duration, seed: u64) -> Vec<CallRecord> {
    let mut random = SmallRng::seed_from_u64(seed ^ 0x7e4a);
    call_over_new_connections(cluster, round, |number| draw(&mut random, seed, number)).await
}

/// Waits until every node has the newest document in force, and serves or denies callers
/// accordingly.
pub async fn wait_for_recovery(cluster: &Cluster, seed: u64) {
    wait_until_in_force(cluster, seed).await;
    let until = Instant::now() + RECOVERY_TIMEOUT;
    let is_known = cluster.document.borrow().groups[0]
        .key_digests
        .contains(&digest(STEADY_KEYS[1]));
    for (index, node) in cluster.nodes.iter().enumerate() {
        for caller_kind in CallerKind::ALL {
            let is_allowed =
                caller_kind.group().is_some() && (caller_kind != CallerKind::Toggled || is_known);
            let mut number = 0;
            loop {
                number += 1;
                let mut random = SmallRng::seed_from_u64(number);
                let request = Call {
                    key: caller_kind.key().map(str::to_string),
                    ..draw_call(&mut random, format!("r{seed}-{index}-{number}-{caller_kind:?}"))
                };
                let (outcome, _) = call(node.front, &request).await;
                let is_denied = outcome == CallOutcome::Failed(http::StatusCode::UNAUTHORIZED);
                assert!(
                    is_allowed || is_denied,
                    "seed {seed}: node {index}, {caller_kind:?}: {outcome:?}"
                );
                if !is_allowed || outcome == CallOutcome::Complete {
                    break;
                }
                assert!(
                    Instant::now() < until,
                    "seed {seed}: node {index} does not serve {caller_kind:?}: {outcome:?}"
                );
                sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

/// Checks keys, groups and the quota by what replicas ran.
pub fn check_guarantees(cluster: &Cluster, calls: &[CallRecord], seed: u64) {
    let ledgers = cluster.ledgers();
    let runs: Vec<&GroupRun> = ledgers.iter().flat_map(|ledger| &ledger.group_runs).collect();
    for run in &runs {
        let caller_kind = CallerKind::from_attempt(&run.attempt);
        assert!(
            caller_kind.group().is_some(),
            "seed {seed}: {} ran without a key",
            run.attempt
        );
        assert_eq!(
            run.group.as_deref(),
            caller_kind.group(),
            "seed {seed}: {}",
            run.attempt
        );
    }
    for record in calls
        .iter()
        .filter(|record| CallerKind::from_attempt(&record.attempt).group().is_none())
    {
        assert_ne!(
            record.outcome,
            CallOutcome::Complete,
            "seed {seed}: {}",
            record.attempt
        );
    }
    let bounded: Vec<_> = runs
        .iter()
        .filter(|run| run.group.as_deref() == Some(BOUNDED))
        .collect();
    let allowed = (QUOTAS[0] * QUOTA_WINDOW.as_secs_f64() + QUOTAS[0]) * (1.0 + QUOTA_OVERAGE) + QUOTA_SLACK;
    let max_tokens = bounded.iter().map(|first| {
        let window = first.at_ms..first.at_ms + QUOTA_WINDOW.as_millis() as u64;
        let within = bounded.iter().filter(|run| window.contains(&run.at_ms));
        within.map(|run| run.tokens).sum::<u64>()
    });
    let max_tokens = max_tokens.max().unwrap_or(0);
    println!(
        "seed {seed}: {} runs of the bounded group, at most {max_tokens} of {allowed} tokens",
        bounded.len()
    );
    assert!(
        max_tokens as f64 <= allowed,
        "seed {seed}: {max_tokens} of {allowed} tokens in a window"
    );
}

/// Returns the requests that must be served: those with a key that is never removed, of a
/// group without a quota.
pub fn calls_to_be_served(calls: &[CallRecord]) -> impl Iterator<Item = &CallRecord> {
    calls
        .iter()
        .filter(|record| CallerKind::from_attempt(&record.attempt) == CallerKind::Steady)
}
