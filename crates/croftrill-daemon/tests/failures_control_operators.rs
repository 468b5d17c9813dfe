//! Operators: stale plans, and configuration that is in force everywhere within
//! the promised time and never reverts.

mod support;

use serde_json::Value;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{Cluster, ClusterPlan, NodeHttp, NodeProcess, StatusSample, MODEL_OPTIONS, SHORT_TIMINGS};
use tokio::task::JoinHandle;

const STALE: i32 = 3;
/// A confirmed change is in force on every node within this time.
const IN_FORCE_EVERYWHERE: Duration = Duration::from_secs(4);

async fn start(nodes: usize) -> Cluster {
    let plan = ClusterPlan {
        nodes,
        settings: SHORT_TIMINGS.to_string(),
        ..ClusterPlan::default()
    };
    let cluster = Cluster::start(plan).await;
    cluster.create_model("tender-review", &MODEL_OPTIONS).await;
    cluster
}

/// Confirms two plans at the same time, each through a node; codes and output.
fn confirm_both(cluster: &Cluster, plans: [(usize, &str); 2]) -> [(i32, String); 2] {
    std::thread::scope(|scope| {
        let [first, second] = plans.map(|(index, plan)| {
            let node = &cluster.nodes[index];
            scope
                .spawn(move || cluster.operate_for_code(node, &["plan", "confirm", plan, "--output", "json"]))
        });
        [first, second].map(|confirmation| confirmation.join().expect("the client ran"))
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_plans_for_one_object_exactly_one_wins() {
    let cluster = start(3).await;
    cluster.wait_agreement(&[0, 1, 2]).await;
    for round in 0..4_usize {
        let shares = [100 + 2 * round, 101 + 2 * round].map(|share| share.to_string());
        let plans = [0, 1].map(|index| {
            let change = ["group", "update", "tests", "--share", &shares[index]];
            cluster.make_plan(&cluster.nodes[index], &change)
        });
        // Through the plan's own node, or both through nodes that must fetch it.
        let through = [round % 3, (round + 1) % 3];
        let outcomes = confirm_both(&cluster, [(through[0], &plans[0]), (through[1], &plans[1])]);

        let winner = usize::from(outcomes[0].0 != 0);
        let loser = 1 - winner;
        assert_eq!(outcomes[winner].0, 0, "{outcomes:?}");
        assert_eq!(outcomes[loser].0, STALE, "{outcomes:?}");
        cluster.wait_agreement(&[0, 1, 2]).await;
        assert_eq!(share_at(&cluster, 2).await, shares[winner]);

        let refused: Value = serde_json::from_str(&outcomes[loser].1).expect("JSON");
        let fresh = refused["fresh"]["id"].as_str().expect("a fresh plan").to_string();
        let (code, printed) = cluster.operate_for_code(&cluster.nodes[2], &["plan", "confirm", &fresh]);
        assert_eq!(code, 0, "{printed}");
        cluster.wait_agreement(&[0, 1, 2]).await;
        assert_eq!(share_at(&cluster, 0).await, shares[loser]);
    }
    cluster.check_log_written_once().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_plans_for_different_objects_both_win() {
    let cluster = start(2).await;
    cluster.wait_agreement(&[0, 1]).await;
    for round in 0..4 {
        let names = [format!("left-{round}"), format!("right-{round}")];
        let plans = [0, 1].map(|index| {
            let change = ["group", "create", &names[index], "--share", "1"];
            cluster.make_plan(&cluster.nodes[index], &change)
        });
        let outcomes = confirm_both(&cluster, [(0, &plans[0]), (1, &plans[1])]);
        assert_eq!((outcomes[0].0, outcomes[1].0), (0, 0), "{outcomes:?}");
    }
    cluster.wait_agreement(&[0, 1]).await;
    cluster.check_log_written_once().await;
}

async fn share_at(cluster: &Cluster, index: usize) -> String {
    let groups = cluster.nodes[index]
        .http()
        .json("/v1/groups")
        .await
        .expect("the groups");
    let groups = groups.as_array().expect("a list");
    let tests = groups
        .iter()
        .find(|group| group["id"] == "tests")
        .expect("the group");
    tests["share_weight"].to_string()
}

/// Asks one process of a node for its revision until it is stopped.
struct Poller {
    stop: Arc<AtomicBool>,
    samples: JoinHandle<Vec<StatusSample>>,
    /// The least revision of all running nodes when the process started.
    started_after: u64,
}

impl Poller {
    fn start(node: NodeHttp, started_after: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let samples = tokio::spawn(async move {
            let mut samples = Vec::new();
            while !stopped.load(Ordering::Relaxed) {
                if !samples.is_empty() || node.is_ready().await {
                    samples.extend(node.sample().await);
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            samples
        });
        Self {
            stop,
            samples,
            started_after,
        }
    }

    async fn stop(self) -> (u64, Vec<StatusSample>) {
        self.stop.store(true, Ordering::Relaxed);
        let samples = self.samples.await.expect("the poller does not panic");
        (self.started_after, samples)
    }
}

/// Changes the share through a node; the revision that it is in force from. A
/// node that has not heard of the last change refuses the plan made there, and
/// the fresh one is confirmed.
fn change_share(cluster: &Cluster, node: &NodeProcess, share: &str) -> u64 {
    let update = [
        "group", "update", "tests", "--share", share, "--yes", "--output", "json",
    ];
    let (code, printed) = cluster.operate_for_code(node, &update);
    let answer: Value = serde_json::from_str(&printed).expect("JSON");
    if code == 0 {
        return confirmed_revision(&answer["confirmation"]);
    }
    assert_eq!(code, STALE, "{printed}");
    let fresh = answer.pointer("/confirmation/fresh/id").and_then(Value::as_str);
    let fresh = fresh.expect("a fresh plan");
    let confirm = ["plan", "confirm", fresh, "--output", "json"];
    let (code, printed) = cluster.operate_for_code(node, &confirm);
    assert_eq!(code, 0, "{printed}");
    confirmed_revision(&serde_json::from_str(&printed).expect("JSON"))
}

fn confirmed_revision(confirmation: &Value) -> u64 {
    confirmation["revision"].as_u64().expect("a revision")
}

async fn least_revision(cluster: &Cluster, nodes: &[usize]) -> u64 {
    let mut least = u64::MAX;
    for &index in nodes {
        let sample = cluster.nodes[index].http().sample().await.expect("a status");
        least = least.min(sample.revision);
    }
    least
}

/// Thirty changes through all nodes, while nodes are killed and start again.
/// Checked from the record: each process's revision never goes down, a process
/// is ready only with what was in force everywhere before it started, and each
/// confirmed change is in force in time.
#[tokio::test(flavor = "multi_thread")]
async fn changes_are_in_force_in_time_and_never_revert() {
    const NODES: usize = 3;
    const CHANGES: usize = 30;
    let mut cluster = start(NODES).await;
    cluster.wait_agreement(&[0, 1, 2]).await;
    let base = least_revision(&cluster, &[0, 1, 2]).await;
    let mut running: Vec<Option<Poller>> = (0..NODES)
        .map(|index| Some(Poller::start(cluster.nodes[index].http(), base)))
        .collect();
    let mut ended = Vec::new();
    let mut confirmed: Vec<(Instant, u64)> = Vec::new();
    let mut killed = None;

    for change in 0..CHANGES {
        match change % 10 {
            2 => {
                let index = (change / 10) % NODES;
                ended.push(running[index].take().expect("it runs").stop().await);
                cluster.nodes[index].process.kill();
                killed = Some(index);
            }
            7 => {
                let index = killed.take().expect("one was killed");
                let others: Vec<usize> = (0..NODES).filter(|&other| other != index).collect();
                let least = least_revision(&cluster, &others).await;
                cluster.restart_node(index);
                running[index] = Some(Poller::start(cluster.nodes[index].http(), least));
                cluster.wait_node_ready(index).await;
            }
            _ => {}
        }
        let through = (0..NODES).map(|offset| (change + offset) % NODES);
        let through = through.into_iter().find(|&index| running[index].is_some());
        let node = &cluster.nodes[through.expect("some node runs")];
        let share = (1_000 + change).to_string();
        let revision = change_share(&cluster, node, &share);
        confirmed.push((Instant::now(), revision));
    }
    tokio::time::sleep(IN_FORCE_EVERYWHERE + Duration::from_millis(500)).await;
    for poller in running.into_iter().flatten() {
        ended.push(poller.stop().await);
    }

    let mut checked = 0;
    for (started_after, samples) in &ended {
        let first = samples.first().expect("each process was asked");
        assert!(
            first.revision >= *started_after,
            "{first:?} before {started_after}"
        );
        for pair in samples.windows(2) {
            assert!(pair[0].revision <= pair[1].revision, "{pair:?}");
        }
        for sample in samples {
            let due = confirmed
                .iter()
                .filter(|(at, _)| *at + IN_FORCE_EVERYWHERE <= sample.asked_at);
            for (at, revision) in due {
                assert!(
                    sample.revision >= *revision,
                    "{sample:?} lacks {revision} of {at:?}"
                );
                checked += 1;
            }
        }
    }
    assert!(checked >= CHANGES * NODES, "{checked} checks");
    cluster.wait_agreement(&[0, 1, 2]).await;
    cluster.check_log_written_once().await;
}
