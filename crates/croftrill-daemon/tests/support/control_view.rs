//! What the control side of a running system shows: nodes' statuses and
//! metrics, the record of the key-value service.

use super::{eventually, Cluster, NodeProcess};
use bytes::Bytes;
use croftrill_standin::control::{CALLS_PATH, FAULTS_PATH, LEDGER_PATH, MODE_PATH};
use croftrill_standin::{
    ChangeKind, ControlClient, KeyValueCalls, KeyValueChange, KeyValueFaults, ProxyMode,
};
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use std::time::{Duration, Instant};

/// Longest wait for a node's answer; a paused node gives none.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);
/// Keys of the log's entries in the key-value service.
const LOG_PREFIX: &str = "croftrill/log/";

/// Settings with short periods, so that failures are noticed soon.
pub const SHORT_TIMINGS: &str = "\
[timings]
lease_millis = 2000
probe_period_millis = 300
machine_list_period_millis = 500
";

/// Options of the tests' models.
pub const MODEL_OPTIONS: [&str; 6] = [
    "--memory-mib",
    "10000",
    "--checkpoint-mib",
    "5000",
    "--max-replicas",
    "4",
];

/// A node's revision at a time.
#[derive(Clone, Copy, Debug)]
pub struct StatusSample {
    /// When the node was asked.
    pub asked_at: Instant,
    /// When it answered.
    pub answered_at: Instant,
    /// The revision that it told.
    pub revision: u64,
}

/// The operators' HTTP of a node, with a limit on each wait.
#[derive(Clone)]
pub struct NodeHttp {
    client: Client<HttpConnector, Full<Bytes>>,
    address: String,
}

impl NodeHttp {
    /// Of the node at `ip:port`.
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            address: address.into(),
        }
    }

    /// The status code and body of a path; `None` without an answer.
    pub async fn get(&self, path: &str) -> Option<(u16, String)> {
        tokio::time::timeout(ANSWER_LIMIT, self.ask(path)).await.ok()?
    }

    async fn ask(&self, path: &str) -> Option<(u16, String)> {
        let request = Request::get(format!("http://{}{path}", self.address))
            .body(Full::default())
            .ok()?;
        let response = self.client.request(request).await.ok()?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    }

    /// A JSON answer.
    pub async fn json(&self, path: &str) -> Option<Value> {
        let (_, body) = self.get(path).await?;
        serde_json::from_str(&body).ok()
    }

    /// The system as the node sees it.
    pub async fn status(&self) -> Option<Value> {
        self.json("/v1/status").await
    }

    /// Whether the node says that it is ready.
    pub async fn is_ready(&self) -> bool {
        self.get("/readyz").await.is_some_and(|(status, _)| status == 200)
    }

    /// The node's revision now.
    pub async fn sample(&self) -> Option<StatusSample> {
        let asked_at = Instant::now();
        let status = self.status().await?;
        Some(StatusSample {
            asked_at,
            answered_at: Instant::now(),
            revision: status["revision"].as_u64()?,
        })
    }

    /// The value of a metric without labels.
    pub async fn metric(&self, name: &str) -> Option<f64> {
        let (_, text) = self.get("/metrics").await?;
        let line = text.lines().find(|line| {
            let rest = line.strip_prefix(name);
            rest.is_some_and(|rest| rest.starts_with(' '))
        })?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

impl NodeProcess {
    /// Its operators' HTTP.
    pub fn http(&self) -> NodeHttp {
        NodeHttp::new(self.operators())
    }

    /// Sets the mode of the proxy before the key-value service.
    pub async fn set_key_value_mode(&self, mode: ProxyMode) {
        let proxy = self.key_value_proxy.as_ref().expect("the plan asks for proxies");
        let control = ControlClient::new(proxy.address("control"));
        control
            .post(MODE_PATH, &mode)
            .await
            .expect("the proxy takes a mode");
    }
}

impl Cluster {
    /// Sets the faults of the key-value service.
    pub async fn set_key_value_faults(&self, faults: KeyValueFaults) {
        self.key_value_control
            .post(FAULTS_PATH, &faults)
            .await
            .expect("the key-value service takes faults");
    }

    /// Begins or ends an outage of the key-value service.
    pub async fn set_key_value_outage(&self, outage: bool) {
        let faults = KeyValueFaults {
            outage,
            ..KeyValueFaults::default()
        };
        self.set_key_value_faults(faults).await;
    }

    /// Every change of the key-value service.
    pub async fn key_value_ledger(&self) -> Vec<KeyValueChange> {
        self.key_value_control.get(LEDGER_PATH).await.expect("the ledger")
    }

    /// How often the key-value service was called.
    pub async fn key_value_calls(&self) -> KeyValueCalls {
        self.key_value_control.get(CALLS_PATH).await.expect("the calls")
    }

    /// Changes of the log's entries, in order.
    pub async fn log_changes(&self) -> Vec<KeyValueChange> {
        let mut changes = self.key_value_ledger().await;
        changes.retain(|change| change.key.starts_with(LOG_PREFIX));
        changes
    }

    /// Requires that each revision was written once, in order, by a creation.
    pub async fn check_log_written_once(&self) {
        for (index, change) in self.log_changes().await.iter().enumerate() {
            assert_eq!(change.kind, ChangeKind::Created, "{change:?}");
            assert_eq!(change.key, format!("{LOG_PREFIX}{:020}", index + 1), "{change:?}");
        }
    }

    /// The exit code of the operators' client and what it printed.
    pub fn operate_for_code(&self, node: &NodeProcess, arguments: &[&str]) -> (i32, String) {
        let output = self.operate(node, arguments);
        let printed = [&output.stdout[..], &output.stderr[..]].concat();
        let code = output.status.code().expect("the client is not killed");
        (code, String::from_utf8_lossy(&printed).into_owned())
    }

    /// Makes a plan without confirming it; its identifier.
    pub fn make_plan(&self, node: &NodeProcess, arguments: &[&str]) -> String {
        let arguments = [arguments, &["--output", "json"]].concat();
        let (code, printed) = self.operate_for_code(node, &arguments);
        assert_eq!(code, 0, "{printed}");
        let plan: Value = serde_json::from_str(&printed).expect("a plan is JSON");
        plan["id"].as_str().expect("a plan has an id").to_string()
    }

    /// The index of the node that the node at `witness` takes for coordinator.
    pub async fn coordinator_seen_by(&self, witness: usize) -> Option<usize> {
        let status = self.nodes[witness].http().status().await?;
        let name = status["coordinator"].as_str()?.to_string();
        self.nodes.iter().position(|node| node.id.as_str() == name)
    }

    /// Waits until the node at `witness` sees another coordinator than `former`;
    /// the new one.
    pub async fn wait_other_coordinator(&self, witness: usize, former: usize) -> usize {
        eventually("another node coordinates", || async {
            let seen = self.coordinator_seen_by(witness).await;
            seen.is_some_and(|seen| seen != former)
        })
        .await;
        let seen = self.coordinator_seen_by(witness).await;
        seen.expect("a running node tells the coordinator")
    }

    /// Waits until all named nodes tell the same of everything.
    pub async fn wait_agreement(&self, nodes: &[usize]) {
        eventually("all nodes tell the same", || async {
            let mut told = Vec::new();
            for &index in nodes {
                told.push(self.told_by(index).await);
            }
            told.iter().all(|one| one.is_some() && *one == told[0])
        })
        .await;
    }

    async fn told_by(&self, index: usize) -> Option<Vec<Value>> {
        let http = self.nodes[index].http();
        let mut status = http.status().await?;
        for own in ["node", "key_value_reachable"] {
            status.as_object_mut()?.remove(own);
        }
        let mut told = vec![status];
        for path in ["/v1/groups", "/v1/models/configured", "/v1/adapters"] {
            told.push(http.json(path).await?);
        }
        Some(told)
    }

    /// Owners of all engines, as a node sees them.
    pub async fn owners_seen_by(&self, witness: usize) -> Vec<Option<String>> {
        let status = self.nodes[witness].http().status().await.unwrap_or_default();
        let engines = status["engines"].as_array().cloned().unwrap_or_default();
        let owners = engines
            .iter()
            .map(|engine| engine["owner"].as_str().map(String::from));
        owners.collect()
    }

    /// Waits until every engine has an owner that is not among `without`.
    pub async fn wait_owned_without(&self, witness: usize, without: &[usize]) {
        let without: Vec<&str> = without
            .iter()
            .map(|&index| self.nodes[index].id.as_str())
            .collect();
        eventually("every engine has another owner", || async {
            let owners = self.owners_seen_by(witness).await;
            owners.len() == self.engines.len()
                && owners
                    .iter()
                    .all(|owner| owner.as_deref().is_some_and(|owner| !without.contains(&owner)))
        })
        .await;
    }

    /// Waits until a process that was told to stop has ended; whether it ended
    /// successfully.
    pub async fn wait_node_ended(&mut self, index: usize) -> bool {
        const LOOKS: u32 = 600;
        for _ in 0..LOOKS {
            if let Some(success) = self.nodes[index].process.ended() {
                return success;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("the process never ended");
    }

    /// Waits until a node is ready.
    pub async fn wait_node_ready(&self, index: usize) {
        let http = self.nodes[index].http();
        eventually("the node is ready", || http.is_ready()).await;
    }

    /// Waits until the metrics of the named nodes show exactly one coordinator.
    pub async fn wait_one_coordinator(&self, nodes: &[usize]) {
        eventually("one node holds the role", || async {
            let mut holders = 0.0;
            for &index in nodes {
                let held = self.nodes[index].http().metric("croftrill_coordinating").await;
                holders += held.unwrap_or(f64::NAN);
            }
            holders == 1.0
        })
        .await;
    }
}
