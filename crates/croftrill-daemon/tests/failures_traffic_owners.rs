//! Owner nodes that are killed or paused while requests stream and queue.

mod support;

use croftrill_standin::engine::peak_replicas;
use std::time::Duration;
use support::{
    eventually, quick_plan, wait_served, wait_streaming, warm_up, Burst, Caller, Cluster, ClusterPlan, Fate,
    Reconciliation, TWO_REPLICAS,
};

const MODEL: &str = "ledger-summary";
const NODES: usize = 3;
const STREAMS: usize = 6;
/// Tokens of a stream that takes more than a second.
const TOKENS: u32 = 1_500;

/// Two engines with different owners: they are listed only when the coordinator
/// has heard from the other nodes, so that it spreads them.
async fn start(plan: ClusterPlan) -> (Cluster, Reconciliation) {
    let mut cluster = Cluster::start(plan).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    for name in ["engine-0", "engine-1"] {
        cluster.start_engine(name).await;
    }
    cluster.wait_ready().await;
    let first = cluster.owner_of(0, &cluster.nodes[0]).await;
    let second = cluster.owner_of(1, &cluster.nodes[0]).await;
    assert_ne!(first, second, "the engines have one owner");
    cluster.create_model(MODEL, &TWO_REPLICAS).await;
    (cluster, Reconciliation::default())
}

/// Callers beside all nodes but one.
fn callers_without(cluster: &Cluster, index: usize) -> Vec<Caller> {
    let mut callers: Vec<Caller> = cluster.nodes.iter().map(|node| node.caller()).collect();
    callers.remove(index);
    callers
}

async fn owner_of(cluster: &Cluster, engine: usize) -> usize {
    let owner = cluster.owner_of(engine, &cluster.nodes[0]).await;
    owner.expect("an owner")
}

/// The engine that holds the loaded model, and its owner.
async fn warm_engine(cluster: &Cluster, record: &Reconciliation) -> (usize, usize) {
    let any = cluster.nodes[0].caller();
    let engine = warm_up(cluster, record, &any, MODEL).await;
    (engine, owner_of(cluster, engine).await)
}

/// Streams that a failure meets: those that may be repeated and those that may
/// not.
fn long_streams() -> (Burst<'static>, Burst<'static>) {
    let repeatable = Burst::new(MODEL, "repeatable", STREAMS, TOKENS);
    let once = Burst::new(MODEL, "once", STREAMS, TOKENS).unrepeatable();
    (repeatable, once)
}

async fn wait_owner(cluster: &Cluster, engine: usize, former: usize) {
    let asked = &cluster.nodes[(former + 1) % NODES];
    eventually("another node owns the engine", || async {
        let owner = cluster.owner_of(engine, asked).await;
        owner.is_some_and(|owner| owner != former)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_killed_in_mid_stream_doubles_nothing() {
    let (mut cluster, record) = start(quick_plan(NODES, 0)).await;
    let (engine, owner) = warm_engine(&cluster, &record).await;
    let callers = callers_without(&cluster, owner);
    let (repeatable, once) = long_streams();
    let kill = async {
        wait_streaming(&cluster, engine, "repeatable", STREAMS).await;
        wait_streaming(&cluster, engine, "once", STREAMS).await;
    };
    let sending = async { tokio::join!(repeatable.send(&record, &callers), once.send(&record, &callers)) };
    tokio::pin!(sending);
    tokio::select! {
        _ = &mut sending => panic!("the streams ended before the kill"),
        () = kill => {}
    }
    cluster.nodes[owner].process.kill();
    let (repeatable, once) = sending.await;

    for request in &repeatable {
        assert_eq!(request.fate(), Fate::Served, "{request:?}");
    }
    for request in &once {
        assert_eq!(request.fate(), Fate::Unknown, "{request:?}");
    }
    wait_owner(&cluster, engine, owner).await;
    wait_served(&record, &callers[0], MODEL, "after the kill").await;
    record.check(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_killed_in_mid_load_leaves_no_request_without_an_answer() {
    // A load takes two seconds.
    let plan = ClusterPlan {
        weight_store_flags: vec!["--mib-per-second".to_string(), "10000".to_string()],
        ..quick_plan(NODES, 0)
    };
    let (mut cluster, record) = start(plan).await;
    // Any gateway may be the owner's own: it is found when the load began.
    let all: Vec<Caller> = cluster.nodes.iter().map(|node| node.caller()).collect();
    let repeatable = Burst::new(MODEL, "repeatable", 3 * STREAMS, 20);
    let once = Burst::new(MODEL, "once", 3 * STREAMS, 20).unrepeatable();
    let sending = async { tokio::join!(repeatable.send(&record, &all), once.send(&record, &all)) };
    tokio::pin!(sending);
    let loading = eventually("a load is under way", || async {
        cluster
            .ledgers()
            .await
            .iter()
            .any(|ledger| !ledger.loads.is_empty())
    });
    tokio::select! {
        _ = &mut sending => panic!("the requests ended before the load began"),
        () = loading => {}
    }
    let ledgers = cluster.ledgers().await;
    let engine = ledgers.iter().position(|ledger| !ledger.loads.is_empty());
    let engine = engine.expect("a load is under way");
    let owner = owner_of(&cluster, engine).await;
    cluster.nodes[owner].process.kill();
    let (repeatable, _) = sending.await;

    // Those of the killed node's own gateway have no answer.
    let through_others = repeatable
        .iter()
        .enumerate()
        .filter(|(index, _)| index % NODES != owner);
    for (_, request) in through_others {
        assert_eq!(request.fate(), Fate::Served, "{request:?}");
    }
    wait_owner(&cluster, engine, owner).await;
    let callers = callers_without(&cluster, owner);
    wait_served(&record, &callers[0], MODEL, "after the kill").await;
    record.check(&cluster).await;
    let peaks = peak_replicas(&cluster.ledgers().await);
    assert!(peaks.values().all(|peak| *peak <= 2), "{peaks:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_paused_past_its_takeover_changes_nothing_when_it_goes_on() {
    let (cluster, record) = start(quick_plan(NODES, 0)).await;
    let (engine, owner) = warm_engine(&cluster, &record).await;
    let callers = callers_without(&cluster, owner);
    let (repeatable, once) = long_streams();
    let pause = async {
        wait_streaming(&cluster, engine, "repeatable", 1).await;
        cluster.nodes[owner].process.pause();
        wait_owner(&cluster, engine, owner).await;
        wait_served(&record, &callers[0], MODEL, "while paused").await;
        cluster.nodes[owner].process.resume();
    };
    let (repeatable, _, ()) = tokio::join!(
        repeatable.send(&record, &callers),
        once.send(&record, &callers),
        pause
    );
    for request in &repeatable {
        assert_eq!(request.fate(), Fate::Served, "{request:?}");
    }
    // The former owner wakes with whatever it had queued.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let own_caller = cluster.nodes[owner].caller();
    wait_served(&record, &own_caller, MODEL, "through the former owner").await;
    record.check(&cluster).await;
}
