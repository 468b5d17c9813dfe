//! A gateway on loopback in front of scripted owners.

#![allow(dead_code)]

pub mod owner;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use croftrill_gateway::{ClaimAuthority, ClaimDecision, Gateway, GatewayConfig};
use croftrill_protocol::peer::ClaimResult;
use croftrill_state::cluster::{ClusterState, Versioned};
use croftrill_state::configuration::{Group, Model, PriorityClass};
use croftrill_state::placement::{Assignment, AssignmentState, Engine, Lifecycle, Node, Residency};
use croftrill_state::{
    CellId, EngineId, FencingToken, GroupId, IdempotencyKey, ModelId, NodeId, RequestId, Revision, ZoneId,
};
use croftrill_transport::attempt_client::{AttemptClientConfig, AttemptClients};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use prometheus_client::encoding::text;
use prometheus_client::registry::Registry;
use serde_json::{json, Value};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

pub const MODEL: &str = "lookup";
pub const GROUP: &str = "clerks";

/// Grants what the test says and records what it was told.
pub struct TestClaims {
    decisions: Mutex<Vec<ClaimDecision>>,
    finished: mpsc::UnboundedSender<(IdempotencyKey, ClaimResult)>,
}

#[async_trait]
impl ClaimAuthority for TestClaims {
    async fn claim(&self, _key: &IdempotencyKey, _request: RequestId) -> ClaimDecision {
        let mut decisions = self.decisions.lock().unwrap();
        if decisions.is_empty() {
            return granted();
        }
        decisions.remove(0)
    }

    async fn finish(&self, key: &IdempotencyKey, _request: RequestId, result: ClaimResult) {
        self.finished.send((key.clone(), result)).unwrap();
    }
}

/// A grant that is in force much longer than any test.
pub fn granted() -> ClaimDecision {
    ClaimDecision::Granted {
        dispatch_before: Instant::now() + Duration::from_secs(600),
    }
}

pub struct TestGateway {
    pub address: String,
    pub state: Arc<ArcSwap<ClusterState>>,
    pub finished_claims: mpsc::UnboundedReceiver<(IdempotencyKey, ClaimResult)>,
    pub shutdown: CancellationToken,
    pub task: JoinHandle<()>,
    registry: Registry,
}

impl TestGateway {
    /// A gateway whose owners are at these addresses, one engine each.
    pub async fn start(owners: &[&str]) -> Self {
        Self::start_with(owners, GatewayConfig::default(), Vec::new()).await
    }

    pub async fn start_with(owners: &[&str], config: GatewayConfig, decisions: Vec<ClaimDecision>) -> Self {
        let state = Arc::new(ArcSwap::from_pointee(cluster(owners)));
        let attempts = Arc::new(AttemptClients::new(AttemptClientConfig::default()));
        let (sender, finished_claims) = mpsc::unbounded_channel();
        let claims = Arc::new(TestClaims {
            decisions: Mutex::new(decisions),
            finished: sender,
        });
        let mut registry = Registry::default();
        let gateway = Gateway::new(config, state.clone(), attempts, claims, &mut registry);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let shutdown = CancellationToken::new();
        let task = tokio::spawn(gateway.serve(listener, shutdown.clone()));
        Self {
            address,
            state,
            finished_claims,
            shutdown,
            task,
            registry,
        }
    }

    /// Sends a request and returns the answer as it begins.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Response<Incoming> {
        let stream = TcpStream::connect(&self.address).await.unwrap();
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(connection);
        sender.send_request(request).await.unwrap()
    }

    /// Sends a request and returns the whole answer.
    pub async fn call(&self, request: Request<Full<Bytes>>) -> Answer {
        Answer::read(self.send(request).await).await
    }

    /// Posts a completion with some headers.
    pub async fn complete(&self, stream: bool, headers: &[(&str, &str)]) -> Answer {
        self.call(completion(stream, headers)).await
    }

    pub fn metrics(&self) -> String {
        let mut encoded = String::new();
        text::encode(&mut encoded, &self.registry).unwrap();
        encoded
    }
}

/// A whole HTTP answer.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
}

impl Answer {
    pub async fn read(response: Response<Incoming>) -> Self {
        let (parts, body) = response.into_parts();
        let bytes = body.collect().await.unwrap().to_bytes();
        Self {
            status: parts.status,
            headers: parts.headers,
            body: String::from_utf8(bytes.to_vec()).unwrap(),
        }
    }

    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap()
    }

    /// The data of each server-sent event.
    pub fn events(&self) -> Vec<&str> {
        self.body
            .split_terminator("\n\n")
            .map(|event| event.strip_prefix("data: ").expect("an event has data"))
            .collect()
    }

    /// The text of a streamed or whole completion.
    pub fn text(&self) -> String {
        if !self.body.starts_with("data: ") {
            return self.json()["choices"][0]["text"].as_str().unwrap().to_string();
        }
        let chunks = self.events().into_iter().filter(|event| *event != "[DONE]");
        chunks
            .map(|event| serde_json::from_str::<Value>(event).unwrap())
            .filter_map(|chunk| chunk["choices"][0]["text"].as_str().map(str::to_string))
            .collect()
    }

    pub fn cause(&self) -> String {
        self.json()["error"]["cause"].as_str().unwrap().to_string()
    }

    pub fn execution(&self) -> String {
        self.json()["error"]["execution"].as_str().unwrap().to_string()
    }

    /// The error event that ends a broken stream.
    pub fn last_error(&self) -> Value {
        let last = self.events().pop().unwrap().to_string();
        let value: Value = serde_json::from_str(&last).unwrap();
        value["error"].clone()
    }
}

pub fn completion(stream: bool, headers: &[(&str, &str)]) -> Request<Full<Bytes>> {
    let body = json!({"model": MODEL, "prompt": "where", "stream": stream, "max_tokens": 100});
    post("/v1/completions", body.to_string(), headers)
}

pub fn post(path: &str, body: String, headers: &[(&str, &str)]) -> Request<Full<Bytes>> {
    let mut builder = Request::post(path).header("host", "gateway");
    if !headers.iter().any(|(name, _)| *name == "x-croftrill-group") {
        builder = builder.header("x-croftrill-group", GROUP);
    }
    for (name, value) in headers.iter().filter(|(_, value)| !value.is_empty()) {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::new(Bytes::from(body))).unwrap()
}

fn versioned<T>(value: T) -> Versioned<T> {
    Versioned {
        changed_at: Revision(1),
        value,
    }
}

/// One model, and one node and engine for each owner.
pub fn cluster(owners: &[&str]) -> ClusterState {
    let mut state = ClusterState {
        revision: Revision(1),
        ..ClusterState::default()
    };
    let group = Group {
        id: GroupId::from(GROUP),
        share_weight: 1,
        highest_priority: PriorityClass::Interactive,
    };
    state.groups.insert(group.id.clone(), versioned(group));
    let model = Model {
        id: ModelId::from(MODEL),
        version: 1,
        accelerators: 1,
        memory_mib_per_accelerator: 1,
        checkpoint_mib: 1,
        min_replicas: 0,
        max_replicas: owners.len().max(1) as u32,
    };
    state.models.insert(model.id.clone(), versioned(model));
    for (index, address) in owners.iter().enumerate() {
        add_owner(&mut state, index, address);
    }
    state
}

fn add_owner(state: &mut ClusterState, index: usize, attempt_address: &str) {
    let node = Node {
        id: NodeId::new(format!("node-{index}")),
        zone: ZoneId::from("zone"),
        cell: CellId::from("cell"),
        peer_address: String::new(),
        attempt_address: attempt_address.to_string(),
        lifecycle: Lifecycle::Live,
    };
    let engine = Engine {
        id: EngineId::new(format!("engine-{index}")),
        zone: ZoneId::from("zone"),
        cell: CellId::from("cell"),
        address: String::new(),
        accelerator_memory_mib: vec![1],
        max_running: 1,
        owner: Some(node.id.clone()),
        fencing_token: FencingToken(1),
        lifecycle: Lifecycle::Live,
    };
    let assignment = Assignment {
        model: ModelId::from(MODEL),
        engine: engine.id.clone(),
        residency: Residency::OnDemand,
        state: AssignmentState::Active,
    };
    let of_model = state.assignments.entry(ModelId::from(MODEL)).or_default();
    of_model.insert(engine.id.clone(), versioned(assignment));
    state.nodes.insert(node.id.clone(), versioned(node));
    state.engines.insert(engine.id.clone(), versioned(engine));
}
