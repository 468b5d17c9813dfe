//! The calling side of peer calls: a small pool of connections.

use super::codec::ClientCodec;
use super::traffic::PeerTraffic;
use crate::connection_pool::{Connection, ConnectionPool};
use croftrill_protocol::peer::PeerClient;
use log::debug;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tarpc::{client, context};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;

/// Why there is no connection to a peer.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The connection could not be made.
    #[error("cannot connect to peer {address}: {source}")]
    Connect {
        /// The peer.
        address: String,
        /// Why.
        source: io::Error,
    },
    /// The connection was not made in time.
    #[error("peer {address} did not accept a connection in time")]
    TimedOut {
        /// The peer.
        address: String,
    },
}

/// Settings of the connections.
#[derive(Clone, Debug)]
pub struct PeerClientsConfig {
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// A connection that nobody asked for during this time is closed.
    pub idle_limit: Duration,
}

impl Default for PeerClientsConfig {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(2),
            idle_limit: Duration::from_secs(60),
        }
    }
}

/// Connections to peers, one for each address, made on demand.
pub struct PeerClients {
    config: PeerClientsConfig,
    pool: ConnectionPool<PeerClient>,
    traffic: Arc<PeerTraffic>,
}

impl PeerClients {
    /// No connection yet.
    pub fn new(config: PeerClientsConfig) -> Self {
        let pool = ConnectionPool::new(config.idle_limit);
        Self {
            config,
            pool,
            traffic: Arc::default(),
        }
    }

    /// A client of the peer at `ip:port`. A call that gets no answer ends at the
    /// deadline of its context; the caller should then [`discard`] the
    /// connection, since the peer may be half-open.
    ///
    /// [`discard`]: PeerClients::discard
    pub async fn client(&self, address: &str) -> Result<PeerClient, PeerError> {
        let connection = self.pool.get(address, || self.connect(address)).await?;
        Ok(connection.client)
    }

    /// Forgets the connection to a peer; the next use makes a new one.
    pub fn discard(&self, address: &str) {
        self.pool.discard(address);
    }

    /// Counts the frames of all connections.
    pub fn traffic(&self) -> &Arc<PeerTraffic> {
        &self.traffic
    }

    /// Open connections and connects under way.
    pub fn connections(&self) -> usize {
        self.pool.len()
    }

    async fn connect(&self, address: &str) -> Result<Connection<PeerClient>, PeerError> {
        let connected = timeout(self.config.connect_timeout, TcpStream::connect(address)).await;
        let stream = connected
            .map_err(|_| PeerError::TimedOut {
                address: address.to_string(),
            })?
            .and_then(|stream| stream.set_nodelay(true).map(|()| stream))
            .map_err(|source| PeerError::Connect {
                address: address.to_string(),
                source,
            })?;
        let transport = Framed::new(stream, ClientCodec::counted(self.traffic.clone()));
        let new_client = PeerClient::new(client::Config::default(), transport);
        let closed = CancellationToken::new();
        let ended = closed.clone().drop_guard();
        let dispatch = new_client.dispatch;
        let address = address.to_string();
        tokio::spawn(async move {
            let _ended = ended;
            if let Err(error) = dispatch.await {
                debug!("peer: connection broken address={address} error={error}");
            }
        });
        Ok(Connection {
            client: new_client.client,
            closed,
        })
    }
}

/// The context of a call that must be answered within `limit`.
pub fn call_context(limit: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}
