//! A log and peers in memory, and a small cluster.
#![allow(dead_code)]

use arc_swap::ArcSwap;
use async_trait::async_trait;
use bytes::Bytes;
use croftrill_operator_api::{
    ChangeLog, FetchedPlan, OperatorApi, OperatorApiConfig, PlanFetcher, ProposeOutcome,
};
use croftrill_state::entry::{Change, LogEntry};
use croftrill_state::placement::{Engine, Lifecycle, Node};
use croftrill_state::{ClusterState, EntryId, FencingToken, NodeId, PlanId, Term};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// How the log behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Works,
    Down,
    /// The change takes effect but its answer is lost.
    LosesAnswers,
}

/// A revision log of one state.
pub struct FakeLog {
    pub state: Arc<ArcSwap<ClusterState>>,
    pub mode: Mutex<Mode>,
    /// Entries that were written, accepted or not.
    pub written: Mutex<usize>,
}

impl FakeLog {
    pub fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
    }

    pub fn apply(&self, change: Change) -> ProposeOutcome {
        let mut written = self.written.lock().unwrap();
        let mut state = ClusterState::clone(&self.state.load());
        let revision = state.revision.next();
        let entry = LogEntry {
            revision,
            entry_id: EntryId(revision.0),
            author: NodeId::from("n1"),
            term: Term(1),
            change,
        };
        *written += 1;
        let outcome = state.apply(&entry);
        self.state.store(Arc::new(state));
        match outcome {
            Ok(()) => ProposeOutcome::Accepted { revision },
            Err(error) => ProposeOutcome::Rejected(error),
        }
    }
}

#[async_trait]
impl ChangeLog for FakeLog {
    async fn propose(&self, change: Change) -> ProposeOutcome {
        let mode = *self.mode.lock().unwrap();
        match mode {
            Mode::Works => self.apply(change),
            Mode::Down => ProposeOutcome::Unavailable {
                retry_after_millis: 1500,
            },
            Mode::LosesAnswers => {
                self.apply(change);
                ProposeOutcome::OutcomeUnknown
            }
        }
    }

    fn is_reachable(&self) -> bool {
        *self.mode.lock().unwrap() != Mode::Down
    }
}

/// Other nodes' APIs by node name.
#[derive(Default)]
pub struct FakePeers {
    pub apis: Mutex<HashMap<String, Arc<OperatorApi>>>,
}

#[async_trait]
impl PlanFetcher for FakePeers {
    async fn fetch_plan(&self, plan: &PlanId) -> FetchedPlan {
        let node = plan.as_str().split('/').next().unwrap_or_default();
        let apis = self.apis.lock().unwrap();
        match apis.get(node).map(|api| api.plan_json(plan)) {
            None => FetchedPlan::Unreachable,
            Some(json) if json.is_empty() => FetchedPlan::Unknown,
            Some(json) => FetchedPlan::Found(json),
        }
    }
}

/// Two nodes' APIs on one log.
pub struct Cluster {
    pub log: Arc<FakeLog>,
    pub peers: Arc<FakePeers>,
    pub first: Arc<OperatorApi>,
    pub second: Arc<OperatorApi>,
}

impl Cluster {
    pub fn new() -> Self {
        Self::with(|_| {})
    }

    /// A cluster whose APIs' limits are adjusted.
    pub fn with(adjust: impl Fn(&mut OperatorApiConfig)) -> Self {
        let state = Arc::new(ArcSwap::from_pointee(ClusterState::default()));
        let log = Arc::new(FakeLog {
            state: state.clone(),
            mode: Mutex::new(Mode::Works),
            written: Mutex::new(0),
        });
        let peers = Arc::new(FakePeers::default());
        let api = |node: &str| {
            let mut config = OperatorApiConfig::new(node.into(), "cell".into());
            adjust(&mut config);
            Arc::new(OperatorApi::new(
                config,
                state.clone(),
                log.clone(),
                peers.clone(),
            ))
        };
        let (first, second) = (api("n1"), api("n2"));
        peers.apis.lock().unwrap().insert("n1".to_string(), first.clone());
        peers
            .apis
            .lock()
            .unwrap()
            .insert("n2".to_string(), second.clone());
        add_machines(&log);
        Self {
            log,
            peers,
            first,
            second,
        }
    }

    pub fn revision(&self) -> u64 {
        self.log.state.load().revision.0
    }
}

fn add_machines(log: &FakeLog) {
    log.apply(Change::ElectCoordinator {
        cell: "cell".into(),
        node: "n1".into(),
    });
    log.apply(Change::Reconcile {
        cell: "cell".into(),
        put_nodes: vec![node("n1", "z1"), node("n2", "z2")],
        remove_nodes: vec![],
        put_engines: vec![engine("e1", "z1"), engine("e2", "z2"), engine("e3", "z1")],
        remove_engines: vec![],
        steps: vec![],
    });
    *log.written.lock().unwrap() = 0;
}

fn node(id: &str, zone: &str) -> Node {
    Node {
        id: id.into(),
        zone: zone.into(),
        cell: "cell".into(),
        peer_address: "127.0.0.1:1".to_string(),
        attempt_address: "127.0.0.1:2".to_string(),
        lifecycle: Lifecycle::Live,
    }
}

fn engine(id: &str, zone: &str) -> Engine {
    Engine {
        id: id.into(),
        zone: zone.into(),
        cell: "cell".into(),
        address: "127.0.0.1:3".to_string(),
        accelerator_memory_mib: vec![80_000; 2],
        max_running: 8,
        owner: None,
        fencing_token: FencingToken(0),
        lifecycle: Lifecycle::Live,
    }
}

/// An answer of the API.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: http::HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("the answer is JSON")
    }

    pub fn read<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body).expect("the answer has its type")
    }
}

/// Sends one request.
pub async fn call(api: &OperatorApi, method: Method, path: &str, body: &str) -> Answer {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .body(Full::new(Bytes::from(body.to_string())))
        .unwrap();
    let response = api.handle(request).await;
    let (parts, body) = response.into_parts();
    Answer {
        status: parts.status,
        headers: parts.headers,
        body: body.collect().await.unwrap().to_bytes(),
    }
}

/// The body of a request for a group with a share.
pub fn group_body(id: &str, share: u32) -> String {
    format!(
        r#"{{"intents":[{{"intent":"put_group","value":{{"id":"{id}","share_weight":{share},"highest_priority":"critical"}}}}]}}"#
    )
}

/// The body of a request for a model.
pub fn model_body(id: &str, min: u32, max: u32) -> String {
    format!(
        r#"{{"intents":[{{"intent":"put_model","value":{{"id":"{id}","version":1,"accelerators":1,"memory_mib_per_accelerator":30000,"checkpoint_mib":28000,"min_replicas":{min},"max_replicas":{max}}}}}]}}"#
    )
}
