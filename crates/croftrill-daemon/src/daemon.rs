//! One running daemon.

use crate::control::{Control, ControlInput};
use crate::control_metrics::ControlMetrics;
use crate::control_thread::ControlThread;
use crate::listeners::Listeners;
use crate::operator_ports::{PeerPlans, ReplicaLog};
use crate::operator_server::OperatorServer;
use crate::peer_calls::PeerCalls;
use crate::peer_parts::{OwnAttempts, OwnPlans};
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
/// Longest time that a node goes on serving at a planned stop, for another one
/// to take its engines.
const RELIEF_LIMIT: Duration = Duration::from_secs(5);
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
            attempts: Arc::new(OwnAttempts(traffic.owner.clone())),
            plans: Arc::new(OwnPlans(operators)),
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

    /// A planned stop: tells the others, serves until they took its engines,
    /// finishes all requests, hands over. Fails if something had to be cut off.
    pub async fn stop(self) -> anyhow::Result<()> {
        log::info!("daemon: stopping");
        self.operator_server.leaving.store(true, Ordering::Relaxed);
        self.control.announce_stop();
        let relieved = self.control.wait_relieved(RELIEF_LIMIT).await;
        if !relieved {
            log::warn!("daemon: nobody took over in time limit={RELIEF_LIMIT:?}");
        }
        self.traffic.drain().await;
        // Without a successor in the log there is nobody to hand claims to.
        if let Some(claims) = self.control.claims.0.get().filter(|_| relieved) {
            claims.wait_handed_over(HAND_OVER_LIMIT).await;
        }
        let whole = self.control_thread.stop().await;
        anyhow::ensure!(whole, "some control tasks did not end at the planned stop");
        log::info!("daemon: stopped");
        Ok(())
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
