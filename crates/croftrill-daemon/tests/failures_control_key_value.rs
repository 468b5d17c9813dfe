//! The key-value service fails: answers lost after the write, outages that
//! begin at any moment, also at a node's start.

mod support;

use croftrill_standin::{expected_answer, KeyValueFaults, ProxyMode};
use croftrill_state::ModelId;
use std::time::Duration;
use support::{eventually, Caller, Cluster, ClusterPlan, Completion, NodeProcess};
use support::{SteadyCallers, MODEL_OPTIONS, SHORT_TIMINGS};

const UNAVAILABLE: i32 = 4;
const NOTHING_CHANGED: &str = "nothing was changed";
/// Shortens what a service that never answers costs; follows the timings.
const SHORT_CALLS: &str = "key_value_timeout_millis = 500\n";
/// Calls a second that three nodes may make, in an outage and after it; half of
/// the rate that the service of the test lets through.
const MOST_CALLS_A_SECOND: f64 = 10.0;
/// Calls that may come at once besides.
const MOST_CALLS_AT_ONCE: f64 = 30.0;

async fn start(plan: ClusterPlan) -> Cluster {
    let plan = ClusterPlan {
        settings: format!("{SHORT_TIMINGS}{SHORT_CALLS}"),
        ..plan
    };
    let cluster = Cluster::start(plan).await;
    cluster.create_model("warm", &MODEL_OPTIONS).await;
    cluster.create_model("idle", &MODEL_OPTIONS).await;
    cluster
}

async fn is_served(gateway: &Caller, model: &str) -> bool {
    let completion = Completion::new(model, "Is anybody there?", 5);
    let answer = gateway.complete(&completion).await;
    let expected = expected_answer(&ModelId::from(model), None, &completion.prompt, None, 5);
    answer.is_served() && answer.text == expected
}

/// An operator learns at once that nothing was changed.
fn check_clear_refusal(cluster: &Cluster, node: &NodeProcess) {
    let create = ["group", "create", "g", "--share", "1", "--yes"];
    let (code, printed) = cluster.operate_for_code(node, &create);
    assert_eq!(code, UNAVAILABLE, "{printed}");
    assert!(printed.contains(NOTHING_CHANGED), "{printed}");
}

/// Waits until the log stood still for a while.
async fn wait_quiet(cluster: &Cluster) {
    eventually("the log stands still", || async {
        let before = cluster.log_changes().await.len();
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        cluster.log_changes().await.len() == before
    })
    .await;
}

/// The answers of the write and of the first attempts to learn about it.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_a_confirmation_leave_one_entry() {
    let cluster = start(ClusterPlan::default()).await;
    wait_quiet(&cluster).await;
    for (lost, group) in [(1, "group-a"), (4, "group-b")] {
        let node = &cluster.nodes[lost % 2];
        let plan = cluster.make_plan(node, &["group", "create", group, "--share", "2"]);
        let before = cluster.log_changes().await.len();
        let faults = KeyValueFaults {
            lose_answers: lost as u32,
            ..KeyValueFaults::default()
        };
        cluster.set_key_value_faults(faults).await;

        let (code, printed) = cluster.operate_for_code(node, &["plan", "confirm", &plan]);
        assert_eq!(code, 0, "{printed}");
        cluster.set_key_value_faults(KeyValueFaults::default()).await;
        let other = &cluster.nodes[(lost + 1) % 2];
        let (code, printed) = cluster.operate_for_code(other, &["plan", "confirm", &plan]);
        assert_eq!(code, 0, "{printed}");

        let changes = cluster.log_changes().await;
        assert_eq!(changes.len(), before + 1, "{:?}", &changes[before..]);
        assert!(changes[before].answer_lost);
    }
    cluster.wait_agreement(&[0, 1]).await;
    cluster.check_log_written_once().await;
}

/// The write takes effect, its answer is lost and the service is away from then
/// on: the operator is told that the outcome is unknown, and learns it by
/// confirming again.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_outcome_is_learned_by_confirming_again() {
    let cluster = start(ClusterPlan::default()).await;
    wait_quiet(&cluster).await;
    let node = &cluster.nodes[0];
    let plan = cluster.make_plan(node, &["group", "create", "group-a", "--share", "2"]);
    let before = cluster.log_changes().await.len();

    let faults = KeyValueFaults {
        lose_answers: 1,
        outage_follows: true,
        ..KeyValueFaults::default()
    };
    cluster.set_key_value_faults(faults).await;
    let (code, printed) = cluster.operate_for_code(node, &["plan", "confirm", &plan]);
    assert_eq!(code, UNAVAILABLE, "{printed}");
    assert!(!printed.contains(NOTHING_CHANGED), "{printed}");
    cluster.set_key_value_outage(false).await;

    eventually("the confirmation succeeds", || async {
        cluster.operate_for_code(node, &["plan", "confirm", &plan]).0 == 0
    })
    .await;
    let (code, printed) = cluster.operate_for_code(&cluster.nodes[1], &["plan", "confirm", &plan]);
    assert_eq!(code, 0, "{printed}");
    assert!(cluster.log_changes().await[before].answer_lost);
    let groups = cluster.nodes[1]
        .http()
        .json("/v1/groups")
        .await
        .expect("the groups");
    let created = groups.as_array().expect("a list").iter();
    assert_eq!(created.filter(|group| group["id"] == "group-a").count(), 1);
    cluster.wait_agreement(&[0, 1]).await;
    cluster.check_log_written_once().await;
}

/// Everything that must go on in an outage, with the coordinator killed in it and
/// started again on its name.
#[tokio::test(flavor = "multi_thread")]
async fn outage_leaves_traffic_untouched_and_nodes_restart_in_it() {
    let mut cluster = start(ClusterPlan {
        nodes: 3,
        engines: 3,
        key_value_flags: ["--rate", "20", "--burst", "20"].map(String::from).to_vec(),
        ..ClusterPlan::default()
    })
    .await;
    cluster.wait_agreement(&[0, 1, 2]).await;
    for node in &cluster.nodes {
        assert!(is_served(&node.caller(), "warm").await);
    }
    let revision = cluster.nodes[0].http().sample().await.expect("a status").revision;
    let killed = cluster.coordinator_seen_by(0).await.expect("a coordinator");

    cluster.set_key_value_outage(true).await;
    let calls_before = cluster.key_value_calls().await;
    let began = std::time::Instant::now();
    let gateways = vec![cluster.nodes[0].caller(), cluster.nodes[1].caller()];
    let steady = SteadyCallers::start(gateways, "warm", 5);
    for node in &cluster.nodes {
        assert!(is_served(&node.caller(), "idle").await, "an idle model wakes");
        check_clear_refusal(&cluster, node);
    }
    // Longer than any lease.
    tokio::time::sleep(Duration::from_secs(3)).await;
    for (completion, answer) in steady.stop().await {
        assert!(answer.is_served(), "{completion:?}: {answer:?}");
    }

    cluster.nodes[killed].process.kill();
    cluster.restart_node(killed);
    cluster.wait_node_ready(killed).await;
    let restarted = cluster.nodes[killed].http().sample().await.expect("a status");
    assert!(restarted.revision >= revision, "{restarted:?} before {revision}");
    for model in ["warm", "idle"] {
        let gateway = cluster.nodes[killed].caller();
        eventually("the restarted node serves", || is_served(&gateway, model)).await;
    }
    check_clear_refusal(&cluster, &cluster.nodes[killed]);

    let outage_seconds = began.elapsed().as_secs_f64();
    let calls_in_outage = cluster.key_value_calls().await.all() - calls_before.all();
    cluster.set_key_value_outage(false).await;
    let ended = std::time::Instant::now();
    let calls_before = cluster.key_value_calls().await;
    eventually("operators go on", || async {
        cluster
            .operate_for_code(
                &cluster.nodes[0],
                &["group", "create", "g", "--share", "1", "--yes"],
            )
            .0
            == 0
    })
    .await;
    cluster.wait_one_coordinator(&[0, 1, 2]).await;
    cluster.wait_agreement(&[0, 1, 2]).await;
    let calls_after = cluster.key_value_calls().await;
    let recovery_seconds = ended.elapsed().as_secs_f64();
    let calls_in_recovery = calls_after.all() - calls_before.all();
    let figures = format!(
        "outage {outage_seconds:.1} s: {calls_in_outage} calls; \
         recovery {recovery_seconds:.1} s: {calls_in_recovery} calls"
    );
    println!("{figures}");
    let allowed = |seconds: f64| (MOST_CALLS_AT_ONCE + MOST_CALLS_A_SECOND * seconds) as u64;
    assert!(calls_in_outage <= allowed(outage_seconds), "{figures}");
    assert!(calls_in_recovery <= allowed(recovery_seconds), "{figures}");
    cluster.check_log_written_once().await;
}

/// All nodes start again while the service is away: nobody has a copy, nobody
/// pretends to, and all comes back with the service.
#[tokio::test(flavor = "multi_thread")]
async fn whole_system_restarted_in_an_outage_waits_for_the_log() {
    let mut cluster = start(ClusterPlan::default()).await;
    cluster.wait_agreement(&[0, 1]).await;
    let revision = cluster.nodes[0].http().sample().await.expect("a status").revision;
    cluster.set_key_value_outage(true).await;
    for index in 0..2 {
        cluster.nodes[index].process.kill();
    }
    for index in 0..2 {
        cluster.restart_node(index);
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    for node in &cluster.nodes {
        assert!(!node.http().is_ready().await, "ready without a copy of the log");
        let answer = node
            .caller()
            .complete(&Completion::new("warm", "Anybody?", 5))
            .await;
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.retry_after, "{answer:?}");
    }
    cluster.set_key_value_outage(false).await;
    for index in 0..2 {
        cluster.wait_node_ready(index).await;
        let sample = cluster.nodes[index].http().sample().await.expect("a status");
        assert!(sample.revision >= revision, "{sample:?} before {revision}");
        let gateway = cluster.nodes[index].caller();
        eventually("the node serves", || is_served(&gateway, "warm")).await;
    }
    cluster.check_log_written_once().await;
}

/// The service takes connections and never answers.
#[tokio::test(flavor = "multi_thread")]
async fn silent_service_is_like_an_outage() {
    let cluster = start(ClusterPlan {
        key_value_proxies: true,
        ..ClusterPlan::default()
    })
    .await;
    cluster.wait_agreement(&[0, 1]).await;
    for node in &cluster.nodes {
        assert!(is_served(&node.caller(), "warm").await);
    }
    for node in &cluster.nodes {
        node.set_key_value_mode(ProxyMode::HalfOpen).await;
    }
    let gateways = cluster.nodes.iter().map(|node| node.caller()).collect();
    let steady = SteadyCallers::start(gateways, "warm", 5);
    for node in &cluster.nodes {
        assert!(is_served(&node.caller(), "idle").await, "an idle model wakes");
        check_clear_refusal(&cluster, node);
    }
    for (completion, answer) in steady.stop().await {
        assert!(answer.is_served(), "{completion:?}: {answer:?}");
    }
    for node in &cluster.nodes {
        node.set_key_value_mode(ProxyMode::Pass).await;
    }
    eventually("operators go on", || async {
        let create = ["group", "create", "h", "--share", "1", "--yes"];
        cluster.operate_for_code(&cluster.nodes[0], &create).0 == 0
    })
    .await;
    cluster.wait_one_coordinator(&[0, 1]).await;
    cluster.wait_agreement(&[0, 1]).await;
    cluster.check_log_written_once().await;
}

/// Nothing can be moved in an outage; the node ends all the same, and its next
/// process serves what it owned.
#[tokio::test(flavor = "multi_thread")]
async fn node_told_to_stop_in_an_outage_ends_and_comes_back() {
    let mut cluster = start(ClusterPlan::default()).await;
    cluster.wait_agreement(&[0, 1]).await;
    cluster.set_key_value_outage(true).await;
    let long = Completion::new("warm", "Tell the long story.", 500);
    let run = {
        let (caller, long) = (cluster.nodes[1].caller(), long.clone());
        tokio::spawn(async move { caller.complete(&long).await })
    };
    eventually("the long run has begun", || async {
        let ledgers = cluster.ledgers().await;
        let mut runs = ledgers.iter().flat_map(|ledger| &ledger.runs);
        runs.any(|run| run.tokens > 0)
    })
    .await;
    cluster.nodes[1].process.terminate();
    let answer = run.await.expect("the caller does not panic");
    assert!(answer.is_served(), "{answer:?}");
    assert!(cluster.wait_node_ended(1).await, "the process failed");
    cluster.restart_node(1);
    cluster.wait_node_ready(1).await;
    for node in &cluster.nodes {
        let gateway = node.caller();
        eventually("the node serves", || is_served(&gateway, "idle")).await;
    }
    cluster.set_key_value_outage(false).await;
    cluster.wait_one_coordinator(&[0, 1]).await;
    cluster.wait_agreement(&[0, 1]).await;
    cluster.check_log_written_once().await;
}
