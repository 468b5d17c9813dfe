//! Starts a node that uses Croftrill's own protocols for the store and the replicas.

use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::Context;
use croftrill_http::native_platform::NativePlatform;
use croftrill_node::clock::Clock;
use croftrill_node::connector::{Connector, TcpConnector};
use croftrill_node::node::Node;
use croftrill_node::runtime::{self, Running};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::operator_api;
use crate::settings::Settings;

/// What a node uses of its machine, which tests replace.
pub struct Environment {
    /// Its clock.
    pub clock: Clock,
    /// Opens its connections to replicas.
    pub connector: Rc<dyn Connector>,
}

impl Default for Environment {
    fn default() -> Self {
        Environment {
            clock: Clock::start(),
            connector: Rc::new(TcpConnector),
        }
    }
}

/// A running node and the addresses that it is bound to.
pub struct Daemon {
    /// The running node.
    pub node: Rc<Node<NativePlatform>>,
    /// Settings in which each port 0 is replaced by the port that was bound.
    pub settings: Settings,
    running: Running<NativePlatform>,
}

impl Daemon {
    /// Starts a node; must run within a `LocalSet`. A port of 0 binds a free port.
    pub async fn start(settings: Settings) -> anyhow::Result<Self> {
        Self::start_in(settings, Environment::default()).await
    }

    /// Starts a node like [`Daemon::start`], but in the given environment.
    pub async fn start_in(mut settings: Settings, environment: Environment) -> anyhow::Result<Self> {
        let front = TcpListener::bind(settings.listen)
            .await
            .context("cannot bind the `listen` address")?;
        let peer = TcpListener::bind(settings.peer)
            .await
            .context("cannot bind the `peer` address")?;
        let operator = TcpListener::bind(settings.operator)
            .await
            .context("cannot bind the `operator` address")?;
        settings.listen = front.local_addr()?;
        settings.peer = peer.local_addr()?;
        settings.operator = operator.local_addr()?;
        let platform = NativePlatform::with_connector(settings.store, environment.connector);
        let (node, queues) = Node::with_clock(settings.node_settings(), platform, environment.clock);
        tracing::info!(target: "node", event = "start", name = settings.name, listen = %settings.listen,
            operator = %settings.operator, version = env!("CARGO_PKG_VERSION"));
        // Distinguishes this process from an earlier one of the same name. Incarnations are not
        // ordered.
        let incarnation = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_nanos() as u64);
        let running = runtime::start(&node, queues, front, peer, incarnation);
        spawn_local(operator_api::serve(node.clone(), operator));
        Ok(Daemon {
            node,
            settings,
            running,
        })
    }

    /// Stops the node within its configured grace period.
    pub async fn stop(self) {
        self.running.stop().await;
    }
}
