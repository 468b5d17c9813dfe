//! The parts on the traffic threads: the gateway, the owner, the attempt service.

use crate::gateway_claims::CellClaims;
use crate::owner_ports::{CoordinatorPermits, HttpEngines};
use crate::peer_calls::PeerCalls;
use croftrill_coordination::claim_service::{ClaimClient, ClaimClientConfig};
use croftrill_coordination::load_permits::LoadPermitClient;
use croftrill_coordination::replication::Replica;
use croftrill_gateway::{ClassDeadlines, Gateway, GatewayConfig};
use croftrill_owner::{OwnerConfig, OwnerService};
use croftrill_protocol::attempt::{AttemptEvent, AttemptRequest};
use croftrill_settings::{Deadlines, Settings};
use croftrill_transport::attempt_client::{AttemptClientConfig, AttemptClients};
use croftrill_transport::attempt_server::{AttemptHandler, AttemptServer};
use futures::stream::BoxStream;
use prometheus_client::registry::Registry;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// The running traffic parts.
pub struct Traffic {
    /// The owner service.
    pub owner: OwnerService,
    gateway: JoinHandle<()>,
    gateway_stop: CancellationToken,
    attempts: JoinHandle<()>,
    attempts_stop: CancellationToken,
}

impl Traffic {
    /// Starts all parts on the present runtime.
    pub fn start(
        settings: &Settings,
        replica: &Arc<Replica>,
        callers: TcpListener,
        attempts: TcpListener,
        registry: &mut Registry,
    ) -> Traffic {
        let calls = Arc::new(PeerCalls::new());
        let owner = start_owner(settings, replica, &calls, registry);
        let gateway = make_gateway(settings, replica, &calls, registry);
        let gateway_stop = CancellationToken::new();
        let attempts_stop = CancellationToken::new();
        let handler: Arc<dyn AttemptHandler> = Arc::new(OwnerAttempts(owner.clone()));
        Traffic {
            owner,
            gateway: tokio::spawn(gateway.serve(callers, gateway_stop.clone())),
            gateway_stop,
            attempts: tokio::spawn(AttemptServer::serve(attempts, handler, attempts_stop.clone())),
            attempts_stop,
        }
    }

    /// A planned stop: takes nothing new, finishes what it has.
    pub async fn drain(self) {
        self.gateway_stop.cancel();
        let drained = self.owner.drain().await;
        log::info!("daemon: owner drained outcome={drained:?}");
        self.attempts_stop.cancel();
        let _ = self.gateway.await;
        let _ = self.attempts.await;
    }
}

/// The owner service behind the attempt service.
struct OwnerAttempts(OwnerService);

impl AttemptHandler for OwnerAttempts {
    fn handle(&self, request: AttemptRequest) -> BoxStream<'static, AttemptEvent> {
        self.0.handle(request)
    }
}

fn start_owner(
    settings: &Settings,
    replica: &Arc<Replica>,
    calls: &Arc<PeerCalls>,
    registry: &mut Registry,
) -> OwnerService {
    let permits = LoadPermitClient::new(replica.clone(), calls.clone(), settings.node.cell.clone());
    OwnerService::new(
        owner_config(settings),
        replica.published(),
        replica.new_heads(),
        Arc::new(HttpEngines),
        Arc::new(CoordinatorPermits(permits)),
        registry,
    )
}

fn owner_config(settings: &Settings) -> OwnerConfig {
    let mut config = OwnerConfig::new(settings.node.id.clone());
    config.queue.capacity = settings.limits.queue_length;
    config.drain_bound_millis = settings.timings.drain.as_millis() as u64;
    config
}

fn make_gateway(
    settings: &Settings,
    replica: &Arc<Replica>,
    calls: &Arc<PeerCalls>,
    registry: &mut Registry,
) -> Arc<Gateway> {
    let claims = ClaimClientConfig::new(
        settings.node.cell.clone(),
        crate::claim_start::claim_config(settings),
    );
    let claims = ClaimClient::new(claims, replica.published(), calls.clone());
    Gateway::new(
        gateway_config(settings),
        replica.published(),
        Arc::new(AttemptClients::new(AttemptClientConfig::default())),
        Arc::new(CellClaims(claims)),
        registry,
    )
}

fn class_deadlines(deadlines: &Deadlines) -> ClassDeadlines {
    ClassDeadlines {
        critical_millis: deadlines.critical.as_millis() as u64,
        interactive_millis: deadlines.interactive.as_millis() as u64,
        standard_millis: deadlines.standard.as_millis() as u64,
        batch_millis: deadlines.batch.as_millis() as u64,
    }
}

fn gateway_config(settings: &Settings) -> GatewayConfig {
    let limits = &settings.limits;
    let mut config = GatewayConfig {
        max_body_bytes: limits.body_bytes,
        default_first_token_deadlines: class_deadlines(&limits.deadlines),
        longest_deadline_millis: limits.deadlines.longest.as_millis() as u64,
        most_attempts: limits.attempts,
        ..GatewayConfig::default()
    };
    config.retry_budget.retries_per_thousand_successes = limits.retry_budget_percent * 10;
    config
}
