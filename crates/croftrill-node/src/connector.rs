//! Opens TCP connections to replicas.

use std::io;
use std::net::SocketAddr;

use futures::future::LocalBoxFuture;
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
