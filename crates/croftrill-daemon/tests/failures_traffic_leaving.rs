//! Machines that leave: no new work after a few seconds, and nothing is cut.

mod support;

use croftrill_standin::engine::RunRecord;
use croftrill_standin::MachineChange;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use support::{
    eventually, quick_plan, wait_streaming, warm_up, Burst, Caller, Cluster, ClusterPlan, Fate,
    Reconciliation, TWO_REPLICAS,
};

const MODEL: &str = "permit-check";
const STREAMS: usize = 6;
/// Tokens of a stream that outlasts the whole leaving.
const TOKENS: u32 = 2_000;
/// Lag of the machine list.
const LAG_MILLIS: u64 = 1_000;
/// No new work starts so long after the platform or an operator said that a
/// machine leaves: the lag, a reading of the list, an entry of the log on its
/// way, and a grace for a busy machine.
const BOUND_MILLIS: u64 = LAG_MILLIS + 300 + 4_000;

/// Nine seconds of each stream.
fn slow_plan() -> ClusterPlan {
    ClusterPlan {
        engine_flags: vec!["--token-interval-micros".to_string(), "4500".to_string()],
        machine_list_lag_millis: LAG_MILLIS,
        ..quick_plan(3, 2)
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.expect("the clock is after 1970").as_millis() as u64
}

/// What leaves.
struct Leaver {
    engine: usize,
    owner: usize,
}

/// Long streams on one engine, and short requests all the time, while `leave`
/// is carried out. Returns the runs that began on the engine after the bound.
async fn runs_after<L>(cluster: &Cluster, record: &Reconciliation, leave: L) -> (Leaver, Vec<RunRecord>)
where
    L: AsyncFnOnce(&Leaver),
{
    let first = cluster.nodes[0].caller();
    let engine = warm_up(cluster, record, &first, MODEL).await;
    let owner = cluster
        .owner_of(engine, &cluster.nodes[0])
        .await
        .expect("an owner");
    let leaver = Leaver { engine, owner };
    let callers: Vec<Caller> = (0..cluster.nodes.len())
        .filter(|index| *index != owner)
        .map(|index| cluster.nodes[index].caller())
        .collect();
    // An unrepeatable stream that was cut could not be whole.
    let streams = Burst::new(MODEL, "stream", STREAMS, TOKENS).unrepeatable();
    let others = async {
        wait_streaming(cluster, engine, "stream", STREAMS).await;
        leave(&leaver).await;
        let said_at = unix_millis();
        let mut round = 0;
        while unix_millis() < said_at + BOUND_MILLIS + 1_500 {
            let tag = format!("short {round}");
            Burst::new(MODEL, &tag, 4, 5).send(record, &callers).await;
            round += 1;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        said_at
    };
    let (streams, said_at) = tokio::join!(streams.send(record, &callers), others);
    for stream in &streams {
        assert_eq!(stream.fate(), Fate::Served, "a stream was cut: {stream:?}");
    }
    let counts = record.check(cluster).await;
    assert_eq!(counts.resumed, 0, "{counts}");
    let last_served = record
        .sent()
        .iter()
        .rev()
        .take(4)
        .all(|sent| sent.fate() == Fate::Served);
    assert!(last_served, "the others do not serve: {:?}", record.sent().last());
    let ledger = cluster.engines[engine].ledger().await;
    let late = ledger
        .runs
        .into_iter()
        .filter(|run| run.accepted_at_millis > said_at + BOUND_MILLIS);
    (leaver, late.collect())
}

async fn start() -> (Cluster, Reconciliation) {
    let cluster = Cluster::start(slow_plan()).await;
    cluster.create_model(MODEL, &TWO_REPLICAS).await;
    (cluster, Reconciliation::default())
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_marked_as_leaving_gets_no_new_work_and_keeps_its_streams() {
    let (cluster, record) = start().await;
    let (_, late) = runs_after(&cluster, &record, async |leaver| {
        let name = cluster.engines[leaver.engine].id.to_string();
        cluster.change_machine(MachineChange::MarkLeaving { name }).await;
    })
    .await;
    assert!(late.is_empty(), "{late:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_engine_gets_no_new_work_and_keeps_its_streams() {
    let (cluster, record) = start().await;
    let (_, late) = runs_after(&cluster, &record, async |leaver| {
        let name = cluster.engines[leaver.engine].id.to_string();
        cluster.operate_successfully(&cluster.nodes[0], &["drain", "engine", &name, "--yes"]);
    })
    .await;
    assert!(late.is_empty(), "{late:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_node_gives_its_engine_away_and_keeps_its_streams() {
    let (cluster, record) = start().await;
    let (leaver, late) = runs_after(&cluster, &record, async |leaver| {
        let name = cluster.nodes[leaver.owner].id.to_string();
        cluster.operate_successfully(&cluster.nodes[0], &["drain", "node", &name, "--yes"]);
    })
    .await;
    assert_no_run_by_former_owner(&cluster, &leaver, &late).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_terminated_node_gives_its_engine_away_and_keeps_its_streams() {
    let (mut cluster, record) = start().await;
    let (leaver, late) = runs_after(&cluster, &record, async |leaver| {
        cluster.nodes[leaver.owner].process.terminate();
    })
    .await;
    assert_no_run_by_former_owner(&cluster, &leaver, &late).await;
    assert!(cluster.nodes[leaver.owner].process.wait_success());
}

/// A coordinator that stops would hold its role, and its own engines, for as long
/// as its last stream takes.
#[tokio::test(flavor = "multi_thread")]
async fn a_terminated_coordinator_gives_its_role_away_before_its_streams_end() {
    let (mut cluster, record) = start().await;
    let first = cluster.nodes[0].caller();
    let engine = warm_up(&cluster, &record, &first, MODEL).await;
    let status = cluster.status(&cluster.nodes[0]).await.expect("a status");
    let former = status["coordinator"].as_str().expect("a coordinator").to_string();
    let place = cluster.nodes.iter().position(|node| node.id.as_str() == former);
    let place = place.expect("it is one of the nodes");
    let asked = &cluster.nodes[(place + 1) % cluster.nodes.len()];

    let own_caller = [cluster.nodes[place].caller()];
    let streams = Burst::new(MODEL, "stream", STREAMS, TOKENS).unrepeatable();
    let streaming = streams.send(&record, &own_caller);
    tokio::pin!(streaming);
    let successor = async {
        wait_streaming(&cluster, engine, "stream", STREAMS).await;
        cluster.nodes[place].process.terminate();
        eventually("another node coordinates", || async {
            let status = cluster.status(asked).await.unwrap_or_default();
            status["coordinator"]
                .as_str()
                .is_some_and(|present| present != former)
        })
        .await;
    };
    tokio::select! {
        _ = &mut streaming => panic!("the streams ended before the role was given away"),
        () = successor => {}
    }
    for stream in &streaming.await {
        assert_eq!(stream.fate(), Fate::Served, "a stream was cut: {stream:?}");
    }
    record.check(&cluster).await;
    assert!(cluster.nodes[place].process.wait_success());
}

/// Runs after the bound carry a higher token than those before.
async fn assert_no_run_by_former_owner(cluster: &Cluster, leaver: &Leaver, late: &[RunRecord]) {
    let asked = (leaver.owner + 1) % cluster.nodes.len();
    let owner = cluster.owner_of(leaver.engine, &cluster.nodes[asked]).await;
    assert!(owner.is_some_and(|owner| owner != leaver.owner), "{owner:?}");
    let ledger = cluster.engines[leaver.engine].ledger().await;
    let streams = ledger.runs.iter().filter(|run| run.prompt.starts_with("stream"));
    let former = streams
        .map(|run| run.fencing_token)
        .max()
        .expect("the streams ran");
    for run in late {
        assert!(run.fencing_token > former, "{run:?}");
    }
}
