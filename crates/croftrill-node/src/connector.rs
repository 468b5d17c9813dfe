//! Opens TCP connections to replicas, and configures sockets.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Opens TCP connections. The platform may replace it, for example by one whose paths fail.
pub trait Connector {
    /// Connects to an address. The caller limits the time.
    fn connect(&self, address: SocketAddr) -> LocalBoxFuture<'static, io::Result<TcpStream>>;
}

/// Opens connections through the operating system.
#[derive(Debug, Default)]
pub struct TcpConnector;

impl Connector for TcpConnector {
    fn connect(&self, address: SocketAddr) -> LocalBoxFuture<'static, io::Result<TcpStream>> {
        Box::pin(TcpStream::connect(address))
    }
}

/// Configures a socket: disables the delay of small writes and closes the connection if
/// the peer is lost without a reset. A limit of `None` uses the operating system's default.
pub(crate) fn configure_socket(stream: &TcpStream, silence_limit: Option<Duration>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let Some(limit) = silence_limit else { return Ok(()) };
    let socket = SockRef::from(stream);
    // Probes an idle connection after half of the limit and then at intervals, which have a
    // resolution of one second. The user timeout alone decides when the connection is given up:
    // at the first probe that is due after the limit, however many were lost before.
    let min_time = Duration::from_secs(1);
    let keep_alive = TcpKeepalive::new()
        .with_time(min_time.max(limit / 2))
        .with_interval(min_time.max(limit / 4));
    socket.set_tcp_keepalive(&keep_alive)?;
    socket.set_tcp_user_timeout(Some(limit))
}
