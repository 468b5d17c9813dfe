//! The same idempotency key through several gateways: at most one run each,
//! whatever happens to the nodes that hold the claims.

mod support;

use croftrill_state::{rendezvous, NodeId};
use futures::future::join_all;
use std::collections::BTreeSet;
use support::{quick_plan, warm_up, Caller, Cluster, Completion, Fate, Reconciliation, Sent, TWO_REPLICAS};

const MODEL: &str = "clause-lookup";
const NODES: usize = 3;
const KEYS: usize = 30;

struct Keys<'a> {
    record: &'a Reconciliation,
    prefix: &'a str,
    count: usize,
}

impl Keys<'_> {
    fn name(&self, key: usize) -> String {
        format!("{}-{key}", self.prefix)
    }

    /// Sends each key through each caller at once; the answers of each key.
    async fn send(&self, round: &str, callers: &[Caller]) -> Vec<Vec<Sent>> {
        let keys = (0..self.count).map(|key| {
            let requests = callers.iter().enumerate().map(move |(gateway, caller)| {
                let name = self.name(key);
                let prompt = format!("{round} of {name} through {gateway}");
                let completion = Completion::new(MODEL, &prompt, 20).header("idempotency-key", &name);
                self.record.send(caller, completion)
            });
            join_all(requests)
        });
        join_all(keys).await
    }

    /// The node that holds a key while no node has left.
    fn holder(&self, key: usize, cluster: &Cluster) -> usize {
        let names: Vec<NodeId> = cluster.nodes.iter().map(|node| node.id.clone()).collect();
        let holder = rendezvous::highest(&self.name(key), &names).expect("there are nodes");
        names
            .iter()
            .position(|name| name == holder)
            .expect("it is one of them")
    }
}

async fn start() -> (Cluster, Reconciliation, Vec<Caller>) {
    let cluster = Cluster::start(quick_plan(NODES, 2)).await;
    cluster.create_model(MODEL, &TWO_REPLICAS).await;
    let record = Reconciliation::default();
    let callers: Vec<Caller> = cluster.nodes.iter().map(|node| node.caller()).collect();
    warm_up(&cluster, &record, &callers[0], MODEL).await;
    (cluster, record, callers)
}

fn served(answers: &[Sent]) -> usize {
    answers.iter().filter(|sent| sent.fate() == Fate::Served).count()
}

/// A node that owns no engine, so that its end leaves the engines alone.
async fn node_without_engine(cluster: &Cluster) -> usize {
    let mut owners = BTreeSet::new();
    for engine in 0..cluster.engines.len() {
        owners.extend(cluster.owner_of(engine, &cluster.nodes[0]).await);
    }
    (0..NODES)
        .find(|node| !owners.contains(node))
        .expect("there are more nodes than engines")
}

fn without<T: Clone>(all: &[T], index: usize) -> Vec<T> {
    let mut rest = all.to_vec();
    rest.remove(index);
    rest
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_through_all_gateways_at_once_runs_once_and_never_again() {
    let (mut cluster, record, callers) = start().await;
    let keys = Keys {
        record: &record,
        prefix: "alert",
        count: KEYS,
    };

    for answers in keys.send("first", &callers).await {
        assert_eq!(served(&answers), 1, "{answers:?}");
    }
    for answers in keys.send("second", &callers).await {
        assert_eq!(served(&answers), 0, "{answers:?}");
        assert!(answers
            .iter()
            .all(|sent| sent.answer.cause() == Some("duplicate_key")));
    }
    record.check(&cluster).await;

    let killed = node_without_engine(&cluster).await;
    cluster.nodes[killed].process.kill();
    let rest = without(&callers, killed);
    for answers in keys.send("after the kill", &rest).await {
        assert_eq!(served(&answers), 0, "{answers:?}");
    }
    let counts = record.check(&cluster).await;
    assert_eq!(counts.runs, KEYS + 1, "one run for each key and the warm-up");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_holder_killed_under_claims_lets_no_key_run_twice() {
    let (mut cluster, record, callers) = start().await;
    let killed = node_without_engine(&cluster).await;
    let keys = Keys {
        record: &record,
        prefix: "order",
        count: KEYS,
    };
    let held = (0..KEYS)
        .filter(|key| keys.holder(*key, &cluster) == killed)
        .count();
    assert!(held > 0, "the killed node holds a key");
    let rest = without(&callers, killed);

    let kill = async {
        tokio::time::sleep(std::time::Duration::from_millis(15)).await;
        cluster.nodes[killed].process.kill();
    };
    tokio::join!(keys.send("under the kill", &rest), kill);
    for round in ["soon after", "later"] {
        keys.send(round, &rest).await;
        tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    }

    record.check(&cluster).await;
}

/// A paused holder takes claims only after its gateways gave them up: the grants
/// that it sends then are lost answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_holder_paused_under_claims_lets_no_key_run_twice() {
    let (cluster, record, callers) = start().await;
    let paused = node_without_engine(&cluster).await;
    let rest = without(&callers, paused);
    let keys = Keys {
        record: &record,
        prefix: "permit",
        count: KEYS,
    };

    cluster.nodes[paused].process.pause();
    let resume = async {
        tokio::time::sleep(std::time::Duration::from_millis(2_500)).await;
        cluster.nodes[paused].process.resume();
    };
    let (under, ()) = tokio::join!(keys.send("under the pause", &rest), resume);
    for (key, answers) in under.iter().enumerate() {
        if keys.holder(key, &cluster) != paused {
            assert_eq!(served(answers), 1, "another holder was not paused: {answers:?}");
        }
    }
    keys.send("after the pause", &callers).await;

    record.check(&cluster).await;
}
