//! The sockets of a daemon, bound before anything starts, so that the addresses
//! are known and a taken port is found at once.

use anyhow::Context;
use croftrill_settings::ListenAddresses;
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Tries to find one free port for both TCP and UDP when port 0 was asked for.
const SHARED_PORT_ATTEMPTS: u32 = 20;

/// Bound sockets. The probe socket (UDP) is bound later, by the membership
/// driver, at the same port as `peers`.
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For operators, health and metrics.
    pub operators: std::net::TcpListener,
    /// For peers' calls.
    pub peers: std::net::TcpListener,
    /// For attempts of gateways.
    pub attempts: TcpListener,
}

impl Listeners {
    /// Binds all sockets.
    pub async fn bind(addresses: &ListenAddresses) -> anyhow::Result<Listeners> {
        Ok(Listeners {
            callers: bind_tcp("callers", addresses.callers).await?,
            operators: into_std(bind_tcp("operators", addresses.operators).await?)?,
            peers: into_std(bind_peers(addresses.peers).await?)?,
            attempts: bind_tcp("attempts", addresses.attempts).await?,
        })
    }
}

async fn bind_tcp(name: &str, address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("listen.{name} cannot bind {address}"))
}

/// Binds the peers' TCP port such that the UDP port of the same number is free.
async fn bind_peers(address: SocketAddr) -> anyhow::Result<TcpListener> {
    for _ in 0..SHARED_PORT_ATTEMPTS {
        let listener = bind_tcp("peers", address).await?;
        let bound = listener.local_addr()?;
        if address.port() != 0 || std::net::UdpSocket::bind(bound).is_ok() {
            return Ok(listener);
        }
    }
    anyhow::bail!("listen.peers finds no port that is free for both TCP and UDP")
}

/// A listener of the control thread is handed over as a standard one, since it
/// belongs to another runtime.
fn into_std(listener: TcpListener) -> anyhow::Result<std::net::TcpListener> {
    listener.into_std().context("a socket cannot be handed over")
}
