//! Engines that crash, freeze or become unreachable while they generate.

mod support;

use croftrill_standin::{EngineFaults, ProxyMode};
use std::time::Duration;
use support::{
    eventually, quick_plan, wait_streaming, warm_up, Burst, Caller, Cluster, ClusterPlan, Fate,
    Reconciliation, Sent, TWO_REPLICAS,
};

const MODEL: &str = "tender-review";
const STREAMS: usize = 6;
/// Tokens of a stream that takes some tenths of a second.
const TOKENS: u32 = 300;
/// What a caller may wait beyond its deadline, on a machine that is busy.
const GRACE: Duration = Duration::from_secs(3);

async fn start(plan: ClusterPlan) -> (Cluster, Reconciliation, Vec<Caller>) {
    let cluster = Cluster::start(plan).await;
    cluster.create_model(MODEL, &TWO_REPLICAS).await;
    let callers = cluster.nodes.iter().map(|node| node.caller()).collect();
    (cluster, Reconciliation::default(), callers)
}

fn crash_after(tokens: u32) -> EngineFaults {
    EngineFaults {
        crash_after_tokens: Some(tokens),
        ..EngineFaults::default()
    }
}

fn assert_served(sent: &[Sent]) {
    for request in sent {
        assert_eq!(request.fate(), Fate::Served, "{request:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_resumes_what_may_be_repeated_and_doubles_nothing_else() {
    let (cluster, record, callers) = start(quick_plan(2, 2)).await;
    let crashing = warm_up(&cluster, &record, &callers[0], MODEL).await;
    let half = STREAMS as u32 * TOKENS;
    cluster.engines[crashing].set_faults(crash_after(half)).await;

    let repeatable = Burst::new(MODEL, "repeatable", STREAMS, TOKENS);
    let once = Burst::new(MODEL, "once", STREAMS, TOKENS).unrepeatable();
    let (repeatable, once) = tokio::join!(repeatable.send(&record, &callers), once.send(&record, &callers));

    assert_served(&repeatable);
    let counts = record.check(&cluster).await;
    assert!(counts.resumed > 0, "{counts}");
    let lost = once.iter().filter(|sent| sent.fate() == Fate::Unknown).count();
    assert!(lost > 0, "the crash cut no unrepeatable stream: {once:?}");
    assert_eq!(cluster.engines[crashing].ledger().await.crashes, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn two_crashes_in_a_row_still_give_each_token_once() {
    let (cluster, record, callers) = start(quick_plan(2, 2)).await;
    warm_up(&cluster, &record, &callers[0], MODEL).await;
    for engine in &cluster.engines {
        engine.set_faults(crash_after(STREAMS as u32 * TOKENS / 3)).await;
    }

    let repeatable = Burst::new(MODEL, "repeatable", STREAMS, TOKENS);
    assert_served(&repeatable.send(&record, &callers).await);

    record.check(&cluster).await;
    for ledger in cluster.ledgers().await {
        assert_eq!(ledger.crashes, 1);
    }
}

/// Streams while an engine stops answering in some way: those with a short
/// deadline are answered by it, those with a long one resume elsewhere.
async fn stop_answering<F, E>(plan: ClusterPlan, fault: F, mend: E)
where
    F: AsyncFnOnce(&Cluster, usize),
    E: AsyncFnOnce(&Cluster, usize),
{
    const DEADLINE: Duration = Duration::from_secs(3);
    let (cluster, record, callers) = start(plan).await;
    let silent = warm_up(&cluster, &record, &callers[0], MODEL).await;
    let deadline = DEADLINE.as_millis().to_string();
    let patient = Burst::new(MODEL, "patient", STREAMS, 2 * TOKENS);
    let hasty = Burst::new(MODEL, "hasty", STREAMS, 2 * TOKENS)
        .header("x-croftrill-total-deadline-ms", &deadline)
        .unrepeatable();
    let late = Burst::new(MODEL, "late", STREAMS, TOKENS).header("x-croftrill-deadline-ms", &deadline);
    let cut = async {
        wait_streaming(&cluster, silent, "patient", 1).await;
        fault(&cluster, silent).await;
        late.send(&record, &callers).await
    };

    let (patient, hasty, late) = tokio::join!(
        patient.send(&record, &callers),
        hasty.send(&record, &callers),
        cut
    );

    assert_served(&patient);
    for request in hasty.iter().chain(&late) {
        // A first token in time leaves the answer its own, long deadline.
        let in_time = request.waited < DEADLINE + GRACE || request.fate() == Fate::Served;
        assert!(in_time, "{request:?}");
    }
    mend(&cluster, silent).await;
    let counts = record.check(&cluster).await;
    assert!(counts.resumed > 0, "{counts}");
    eventually("the engine serves again", || async {
        let sent = record.sent().len();
        let probe = Burst::new(MODEL, &format!("probe {sent}"), 2, 5)
            .send(&record, &callers)
            .await;
        probe.iter().all(|request| request.fate() == Fate::Served)
    })
    .await;
    record.check(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_engine_holds_no_request_beyond_its_deadline() {
    let set = async |cluster: &Cluster, engine: usize, freeze: bool| {
        let faults = EngineFaults {
            freeze,
            ..EngineFaults::default()
        };
        cluster.engines[engine].set_faults(faults).await;
    };
    stop_answering(
        quick_plan(2, 2),
        async |cluster, engine| set(cluster, engine, true).await,
        async |cluster, engine| set(cluster, engine, false).await,
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_half_open_connection_holds_no_request_beyond_its_deadline() {
    let plan = ClusterPlan {
        engine_proxies: true,
        ..quick_plan(2, 2)
    };
    stop_answering(
        plan,
        async |cluster, engine| cluster.engines[engine].set_proxy_mode(ProxyMode::HalfOpen).await,
        async |cluster, engine| cluster.engines[engine].set_proxy_mode(ProxyMode::Pass).await,
    )
    .await;
}
