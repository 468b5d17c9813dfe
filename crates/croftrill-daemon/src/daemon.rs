//! Starts a node over the product's own wire.

use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::Context;
use croftrill_http::own_platform::OwnPlatform;
use croftrill_node::clock::Clock;
use croftrill_node::node::Node;
use croftrill_node::runtime::{self, Running};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::operator_api;
use crate::settings::Settings;

/// A node that runs, with the addresses it really listens on.
pub struct Daemon {
    /// The node.
    pub node: Rc<Node<OwnPlatform>>,
    /// The settings, with free ports filled in.
    pub settings: Settings,
    running: Running<OwnPlatform>,
}

impl Daemon {
    /// Starts a node; must run within a `LocalSet`. Ports of 0 are replaced by free ones.
    pub async fn start(settings: Settings) -> anyhow::Result<Self> {
        Self::start_with_clock(settings, Clock::start()).await
    }

    /// As [`Daemon::start`], with a clock of its own.
    pub async fn start_with_clock(mut settings: Settings, clock: Clock) -> anyhow::Result<Self> {
        let front = TcpListener::bind(settings.listen).await.context("listen")?;
        let peer = TcpListener::bind(settings.peer).await.context("peer")?;
        let operator = TcpListener::bind(settings.operator).await.context("operator")?;
        settings.listen = front.local_addr()?;
        settings.peer = peer.local_addr()?;
        settings.operator = operator.local_addr()?;
        let platform = OwnPlatform::new(settings.store);
        let (node, queues) = Node::with_clock(settings.node_settings(), platform, clock);
        tracing::info!(target: "node", event = "start", name = settings.name, listen = %settings.listen,
            operator = %settings.operator, version = env!("CARGO_PKG_VERSION"));
        // Tells this process from a former one of the same name; no order is read from it.
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

    /// Stops the node within its grace.
    pub async fn stop(self) {
        self.running.stop().await;
    }
}
