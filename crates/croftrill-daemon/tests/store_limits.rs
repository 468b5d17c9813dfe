//! The limits of the weight store, asked while a node starts.

use async_trait::async_trait;
use croftrill_coordination::peer_service::{AttemptCanceller, PlanSource};
use croftrill_coordination::replication::{Replica, ReplicaConfig};
use croftrill_coordination::revision_log::{RevisionLog, RevisionLogConfig};
use croftrill_daemon::store_limits::ask_until_known;
use croftrill_daemon::{Control, ControlInput, ControlTasks, PeerCalls};
use croftrill_platform::http::{HttpEndpoint, HttpKeyValueService, HttpMachineList};
use croftrill_platform::weight_store::{WeightStore, WeightStoreError, WeightStoreLimits};
use croftrill_protocol::peer::ReportOutcome;
use croftrill_settings::{Overrides, Settings};
use croftrill_state::{AttemptId, NodeId, PlanId};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Ends a test that would hang.
const HANGING: Duration = Duration::from_secs(20);

/// A store that never answers.
struct SilentStore;

#[async_trait]
impl WeightStore for SilentStore {
    async fn limits(&self) -> Result<WeightStoreLimits, WeightStoreError> {
        std::future::pending().await
    }
}

/// A store that cannot be asked at first.
struct RecoveringStore {
    failures_left: AtomicU32,
}

const LIMITS: WeightStoreLimits = WeightStoreLimits {
    loads_per_second_thousandths: 7_000,
    concurrent_loads: 3,
    running_loads: 0,
};

#[async_trait]
impl WeightStore for RecoveringStore {
    async fn limits(&self) -> Result<WeightStoreLimits, WeightStoreError> {
        let left = self.failures_left.load(Ordering::Relaxed);
        if left == 0 {
            return Ok(LIMITS);
        }
        self.failures_left.store(left - 1, Ordering::Relaxed);
        Err(WeightStoreError("down".to_string()))
    }
}

/// Stands for the traffic parts.
struct Nothing;

#[async_trait]
impl AttemptCanceller for Nothing {
    async fn cancel(&self, _attempt: AttemptId) -> ReportOutcome {
        ReportOutcome::Recorded
    }
}

#[async_trait]
impl PlanSource for Nothing {
    async fn plan_json(&self, _plan: &PlanId) -> String {
        "plan".to_string()
    }
}

/// A port that takes connections and never answers.
fn silent_listener() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port")
}

/// A listener whose port is free for UDP too.
fn peer_listener() -> TcpListener {
    loop {
        let listener = silent_listener();
        let address = listener.local_addr().expect("an address");
        if std::net::UdpSocket::bind(address).is_ok() {
            listener.set_nonblocking(true).expect("a socket of the runtime");
            return listener;
        }
    }
}

fn settings(peers: SocketAddr, platform: SocketAddr) -> Settings {
    let unused = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let endpoint = Some(croftrill_settings::HttpEndpoint { address: platform });
    let overrides = Overrides {
        node_id: Some("node-1".to_string()),
        zone: Some("zone".to_string()),
        cell: Some("cell".to_string()),
        listen_callers: Some(unused),
        listen_operators: Some(unused),
        listen_peers: Some(peers),
        listen_attempts: Some(unused),
        key_value: endpoint,
        machine_list: endpoint,
        weight_store: endpoint,
        ..Overrides::default()
    };
    Settings::load("test", "", &overrides).expect("valid settings")
}

#[tokio::test]
async fn a_silent_store_does_not_hold_up_the_service_for_peers() {
    let platform = silent_listener();
    let platform_address = platform.local_addr().expect("an address");
    let listener = peer_listener();
    let peers = listener.local_addr().expect("an address");
    let endpoint = || HttpEndpoint::new(platform_address.to_string());
    let key_value = Arc::new(HttpKeyValueService::new(endpoint()));
    let log = RevisionLog::new(key_value.clone(), RevisionLogConfig::default());
    let input = ControlInput {
        settings: settings(peers, platform_address),
        replica: Arc::new(Replica::new(ReplicaConfig::new(NodeId::from("node-1")), log)),
        key_value,
        machines: Arc::new(HttpMachineList::new(endpoint())),
        weight_store: Arc::new(SilentStore),
        attempts: Arc::new(Nothing),
        plans: Arc::new(Nothing),
        calls: Arc::new(PeerCalls::new()),
        peer_listener: listener,
    };
    let tasks = ControlTasks::default();
    let started = tokio::time::timeout(HANGING, Control::start(input, tasks.clone())).await;
    started.expect("started without the store").expect("started");

    let calls = PeerCalls::new();
    let plan = calls
        .fetch_plan(&peers.to_string(), &PlanId::from("node-1/1"))
        .await;
    assert_eq!(plan.expect("an answer to a peer"), "plan");
    tasks.stop.cancel();
}

#[tokio::test(start_paused = true)]
async fn the_limits_are_asked_again_until_they_are_known() {
    let store = RecoveringStore {
        failures_left: AtomicU32::new(20),
    };
    assert_eq!(ask_until_known(&store).await, LIMITS);
    assert_eq!(store.failures_left.load(Ordering::Relaxed), 0);
}
