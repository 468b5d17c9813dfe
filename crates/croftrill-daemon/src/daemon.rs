//! One running daemon.

use crate::control::{Control, ControlInput};
use crate::control_metrics::ControlMetrics;
use crate::control_thread::ControlThread;
use crate::listeners::Listeners;
use crate::operator_ports::{PeerPlans, ReplicaLog};
use crate::operator_server::OperatorServer;
use crate::peer_calls::PeerCalls;
use crate::traffic::Traffic;
use croftrill_coordination::replication::{Replica, ReplicaConfig};
use croftrill_coordination::revision_log::{RevisionLog, RevisionLogConfig};
use croftrill_operator_api::{OperatorApi, OperatorApiConfig};
use croftrill_platform::http::{HttpEndpoint, HttpKeyValueService, HttpMachineList, HttpWeightStore};
use croftrill_settings::Settings;
use prometheus_client::registry::Registry;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::net::TcpListener;

/// Prefix of every metric's name.
const METRICS_PREFIX: &str = "croftrill";
/// Longest wait for the claims to reach their new holders at a planned stop.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(10);

/// The addresses that a daemon listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonAddresses {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP for operators, health and metrics.
    pub operators: SocketAddr,
    /// Peers' calls (TCP) and probes (UDP).
    pub peers: SocketAddr,
    /// Attempts of gateways.
    pub attempts: SocketAddr,
}

/// A running daemon.
pub struct Daemon {
    addresses: DaemonAddresses,
    traffic: Traffic,
    control: Control,
    control_thread: ControlThread,
    operator_server: Arc<OperatorServer>,
}

impl Daemon {
    /// Starts all parts. Traffic parts run on the present runtime.
    pub async fn start(settings: Settings) -> anyhow::Result<Daemon> {
        let listeners = Listeners::bind(&settings.listen).await?;
        let addresses = DaemonAddresses {
            callers: listeners.callers.local_addr()?,
            operators: listeners.operators.local_addr()?,
            peers: listeners.peers.local_addr()?,
            attempts: listeners.attempts.local_addr()?,
        };
        let key_value = Arc::new(HttpKeyValueService::new(key_value_endpoint(&settings)));
        let log = RevisionLog::new(key_value.clone(), RevisionLogConfig::default());
        let replica = Arc::new(Replica::new(ReplicaConfig::new(settings.node.id.clone()), log));
        let mut registry = Registry::with_prefix(METRICS_PREFIX);
        let traffic = Traffic::start(
            &settings,
            &replica,
            listeners.callers,
            listeners.attempts,
            &mut registry,
        );
        let calls = Arc::new(PeerCalls::new());
        let operators = make_operator_api(&settings, &replica, &calls);
        let operator_server = Arc::new(OperatorServer {
            operators: operators.clone(),
            control_metrics: ControlMetrics::register(&mut registry),
            registry,
            replica: replica.clone(),
            control: OnceLock::new(),
            leaving: AtomicBool::new(false),
        });
        let input = ControlInput {
            machines: Arc::new(HttpMachineList::new(endpoint(settings.platform.machine_list))),
            weight_store: Arc::new(HttpWeightStore::new(endpoint(settings.platform.weight_store))),
            settings,
            replica,
            key_value,
            owner: traffic.owner.clone(),
            operators,
            calls,
            peer_listener: listeners.peers,
        };
        let server = operator_server.clone();
        let operator_listener = listeners.operators;
        let (control_thread, control) = ControlThread::start(move |tasks| async move {
            let listener = TcpListener::from_std(operator_listener)?;
            tasks.spawn(server.serve(listener, tasks.stop.clone()));
            Control::start(input, tasks).await
        })
        .await?;
        let _ = operator_server.control.set(control.clone());
        log::info!(
            "daemon: started callers={} operators={} peers={} attempts={}",
            addresses.callers,
            addresses.operators,
            addresses.peers,
            addresses.attempts
        );
        Ok(Daemon {
            addresses,
            traffic,
            control,
            control_thread,
            operator_server,
        })
    }

    /// Where it listens.
    pub fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// A planned stop: tells the others, finishes all requests, hands over.
    pub async fn stop(self) {
        log::info!("daemon: stopping");
        self.operator_server.leaving.store(true, Ordering::Relaxed);
        self.control.membership.leave();
        self.traffic.drain().await;
        if let Some(claims) = self.control.claims.0.get() {
            claims.wait_handed_over(HAND_OVER_LIMIT).await;
        }
        self.control_thread.stop().await;
        log::info!("daemon: stopped");
    }
}

fn make_operator_api(
    settings: &Settings,
    replica: &Arc<Replica>,
    calls: &Arc<PeerCalls>,
) -> Arc<OperatorApi> {
    let config = OperatorApiConfig::new(settings.node.id.clone(), settings.node.cell.clone());
    Arc::new(OperatorApi::new(
        config,
        replica.published(),
        Arc::new(ReplicaLog::new(replica.clone())),
        Arc::new(PeerPlans {
            replica: replica.clone(),
            calls: calls.clone(),
        }),
    ))
}

fn key_value_endpoint(settings: &Settings) -> HttpEndpoint {
    HttpEndpoint {
        call_timeout: settings.timings.key_value_timeout,
        ..endpoint(settings.platform.key_value)
    }
}

fn endpoint(configured: croftrill_settings::HttpEndpoint) -> HttpEndpoint {
    HttpEndpoint::new(configured.address.to_string())
}
