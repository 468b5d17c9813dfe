//! A fault-injecting TCP proxy. Its mode is set in the process or by
//! `POST /control/mode` on its control address, and applies at once to present
//! and new connections.

use crate::control::MODE_PATH;
use crate::server::{self, not_found, ok, read_json, ConnectionCutter, Handler};
use crate::server::{HandlerResult, RunningServer};
use http::Request;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, DropGuard};

/// Bytes forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// Pause before the next try to listen again.
const LISTEN_PAUSE: Duration = Duration::from_millis(20);

/// Settings of the proxy.
#[derive(Clone, Debug)]
pub struct ProxyConfig {
    /// Where to listen.
    pub listen: SocketAddr,
    /// Where to listen for control calls.
    pub control_listen: SocketAddr,
    /// Where to connect to.
    pub upstream: SocketAddr,
}

impl ProxyConfig {
    /// A proxy on free ports of the loopback address.
    pub fn new(upstream: SocketAddr) -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            listen: any,
            control_listen: any,
            upstream,
        }
    }
}

/// What the proxy does with connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "mode")]
pub enum ProxyMode {
    /// Forwards.
    #[default]
    Pass,
    /// Forwards each chunk, in both directions, after a delay.
    Delay {
        /// The delay.
        millis: u64,
    },
    /// Resets present connections and refuses new ones.
    Cut,
    /// Accepts, and drops what is sent in both directions.
    HalfOpen,
    /// Forwards requests and drops what comes back.
    DropReplies,
}

/// A running proxy; stops when dropped.
pub struct RunningProxy {
    address: SocketAddr,
    control: RunningServer,
    mode: watch::Sender<ProxyMode>,
    _stop: DropGuard,
}

impl RunningProxy {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where it takes control calls.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Sets the mode. `Cut` takes effect a moment later: new connections may
    /// still be accepted, and then reset.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }
}

/// Starts a proxy.
pub async fn start(config: ProxyConfig) -> io::Result<RunningProxy> {
    let listener = listen(config.listen)?;
    let address = listener.local_addr()?;
    let mode = watch::Sender::new(ProxyMode::Pass);
    let control = Arc::new(Control { mode: mode.clone() });
    let control = server::start(config.control_listen, control, ConnectionCutter::new()).await?;
    let stop = CancellationToken::new();
    let forwarder = Forwarder {
        address,
        upstream: config.upstream,
        mode: mode.subscribe(),
        stop: stop.clone(),
    };
    tokio::spawn(stop.clone().run_until_cancelled_owned(forwarder.run(listener)));
    Ok(RunningProxy {
        address,
        control,
        mode,
        _stop: stop.drop_guard(),
    })
}

struct Control {
    mode: watch::Sender<ProxyMode>,
}

impl Control {
    async fn answer(&self, request: Request<Incoming>) -> HandlerResult {
        if request.uri().path() != MODE_PATH {
            return Ok(not_found());
        }
        self.mode.send_replace(read_json(request).await?);
        Ok(ok(&()))
    }
}

impl Handler for Control {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        self.answer(request).await
    }
}

struct Forwarder {
    address: SocketAddr,
    upstream: SocketAddr,
    mode: watch::Receiver<ProxyMode>,
    stop: CancellationToken,
}

impl Forwarder {
    async fn run(mut self, mut listener: TcpListener) {
        loop {
            self.accept_until_cut(&listener).await;
            drop(listener);
            if self.mode.wait_for(|mode| *mode != ProxyMode::Cut).await.is_err() {
                return;
            }
            listener = listen_again(self.address).await;
        }
    }

    async fn accept_until_cut(&self, listener: &TcpListener) {
        let mut mode = self.mode.clone();
        loop {
            tokio::select! {
                _ = mode.wait_for(|mode| *mode == ProxyMode::Cut) => return,
                accepted = listener.accept() => {
                    if let Ok((client, _)) = accepted {
                        let connection = forward(client, self.upstream, self.mode.clone());
                        tokio::spawn(self.stop.clone().run_until_cancelled_owned(connection));
                    }
                }
            }
        }
    }
}

/// Forwards one connection until both ends have closed it or the mode is `Cut`.
async fn forward(mut client: TcpStream, upstream: SocketAddr, mode: watch::Receiver<ProxyMode>) {
    let Ok(mut server) = TcpStream::connect(upstream).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let is_cut = {
        let mut cut = mode.clone();
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        let requests = copy(client_read, server_write, mode.clone(), Direction::Request);
        let replies = copy(server_read, client_write, mode, Direction::Reply);
        tokio::select! {
            _ = cut.wait_for(|mode| *mode == ProxyMode::Cut) => true,
            _ = futures::future::try_join(requests, replies) => false,
        }
    };
    if is_cut {
        // Closing such a socket resets the connection instead of ending it.
        let _ = client.set_zero_linger();
        let _ = server.set_zero_linger();
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Reply,
}

async fn copy<R, W>(
    mut from: R,
    mut to: W,
    mode: watch::Receiver<ProxyMode>,
    direction: Direction,
) -> io::Result<()>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut chunk).await?;
        if length == 0 {
            return to.shutdown().await;
        }
        let present = *mode.borrow();
        if let ProxyMode::Delay { millis } = present {
            tokio::time::sleep(Duration::from_millis(millis)).await;
        }
        let drops_replies = present == ProxyMode::DropReplies && direction == Direction::Reply;
        if !drops_replies && present != ProxyMode::HalfOpen {
            to.write_all(&chunk[..length]).await?;
        }
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn listen_again(address: SocketAddr) -> TcpListener {
    loop {
        match listen(address) {
            Ok(listener) => return listener,
            Err(error) => log::warn!("proxy: cannot listen again address={address} error={error}"),
        }
        tokio::time::sleep(LISTEN_PAUSE).await;
    }
}
