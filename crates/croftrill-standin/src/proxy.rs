//! TCP proxy that injects faults between two processes.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout};

/// Faults that the proxy injects into existing and new connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// Forwards everything.
    #[default]
    None,
    /// Delays each chunk.
    Delay(Duration),
    /// Closes all connections, new ones as soon as they are accepted.
    Reset,
    /// Forwards nothing in either direction, but leaves connections open.
    Silence,
    /// Forwards from callers to the upstream, but not back.
    NoAnswers,
    /// Closes existing connections, and answers the first request of each new one with this HTTP
    /// status.
    Refuse(u16),
}

/// Maximum size of a forwarded chunk.
const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// A proxy in front of one upstream address.
pub struct Proxy {
    address: Option<SocketAddr>,
    upstream: Cell<SocketAddr>,
    accept_task: RefCell<Option<JoinHandle<()>>>,
    fault: Cell<Fault>,
    changed: Notify,
    accepted_connections: Cell<u64>,
    /// Connections with a lower number never forward anything again.
    silenced_below: Cell<u64>,
}

/// Direction of forwarded data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

impl Proxy {
    /// Starts a proxy on a listener; must run within a `LocalSet`.
    pub fn start(listener: TcpListener, upstream: SocketAddr) -> Rc<Self> {
        let proxy = Rc::new(Proxy {
            address: listener.local_addr().ok(),
            upstream: Cell::new(upstream),
            accept_task: RefCell::default(),
            fault: Cell::new(Fault::None),
            changed: Notify::new(),
            accepted_connections: Cell::new(0),
            silenced_below: Cell::new(0),
        });
        let accept_task = spawn_local(proxy.clone().accept(listener));
        proxy.accept_task.replace(Some(accept_task));
        proxy
    }

    /// Simulates the end of the upstream process: resets all connections and refuses new ones.
    pub fn end(&self) {
        self.set(Fault::Reset);
        if let Some(accept_task) = self.accept_task.take() {
            accept_task.abort();
        }
    }

    /// Listens again on the same address, in front of a new upstream. Waits for a connection that
    /// took the port meanwhile.
    ///
    /// Returns an error if the address cannot be bound in time.
    pub async fn restart(self: &Rc<Self>, upstream: SocketAddr) -> std::io::Result<()> {
        let address = self.address.ok_or(std::io::ErrorKind::AddrNotAvailable)?;
        let bound = timeout(RESTART_TIMEOUT, async {
            loop {
                match TcpListener::bind(address).await {
                    Err(error) if error.kind() == ErrorKind::AddrInUse => sleep(RESTART_INTERVAL).await,
                    bound => return bound,
                }
            }
        });
        let listener = bound.await??;
        self.upstream.set(upstream);
        self.set(Fault::None);
        let accept_task = spawn_local(self.clone().accept(listener));
        self.accept_task.replace(Some(accept_task));
        Ok(())
    }

    /// Returns the listen address, if the operating system reported it.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Sets the fault for existing and new connections.
    pub fn set(&self, fault: Fault) {
        self.fault.set(fault);
        self.changed.notify_waiters();
    }

    /// Stops forwarding on all existing connections and leaves them open. New ones work.
    pub fn silence_existing(&self) {
        self.silenced_below.set(self.accepted_connections.get());
        self.changed.notify_waiters();
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        while let Ok((caller, _)) = listener.accept().await {
            if self.fault.get() == Fault::Reset {
                let _ = caller.set_zero_linger();
                continue;
            }
            if let Fault::Refuse(status) = self.fault.get() {
                spawn_local(refuse(caller, status));
                continue;
            }
            spawn_local(self.clone().connect(caller));
        }
    }

    async fn connect(self: Rc<Self>, caller: TcpStream) {
        let number = self.accepted_connections.get();
        self.accepted_connections.set(number + 1);
        let Ok(upstream) = TcpStream::connect(self.upstream.get()).await else {
            return;
        };
        let _ = caller.set_nodelay(true);
        let _ = upstream.set_nodelay(true);
        let (mut caller_read, mut caller_write) = caller.into_split();
        let (mut upstream_read, mut upstream_write) = upstream.into_split();
        let ended = tokio::select! {
            ended = self.forward(number, &mut caller_read, &mut upstream_write, Direction::Request) => ended,
            ended = self.forward(number, &mut upstream_read, &mut caller_write, Direction::Answer) => ended,
        };
        if ended == Ended::Reset {
            let _ = caller_write.as_ref().set_zero_linger();
            let _ = upstream_write.as_ref().set_zero_linger();
            // A write half that is dropped closes its direction first.
            caller_write.forget();
            upstream_write.forget();
        }
    }

    /// Forwards chunks until either side ends or a fault cuts the connection.
    async fn forward(
        &self,
        number: u64,
        from: &mut OwnedReadHalf,
        to: &mut OwnedWriteHalf,
        direction: Direction,
    ) -> Ended {
        let mut chunk = vec![0; MAX_CHUNK_BYTES];
        loop {
            let read = tokio::select! {
                read = from.read(&mut chunk) => read,
                () = self.wait_for_reset() => return Ended::Reset,
            };
            let Ok(read) = read else {
                return Ended::Reset;
            };
            if read == 0 {
                return Ended::Closed;
            }
            let is_forwarded =
                self.may_forward(number, direction).await && to.write_all(&chunk[..read]).await.is_ok();
            if !is_forwarded {
                return Ended::Reset;
            }
        }
    }

    /// Waits until a chunk may be forwarded. Returns false if the connection must be cut.
    async fn may_forward(&self, number: u64, direction: Direction) -> bool {
        loop {
            let changed = self.changed.notified();
            if number < self.silenced_below.get() {
                return std::future::pending().await;
            }
            match (self.fault.get(), direction) {
                (Fault::None, _) | (Fault::NoAnswers, Direction::Request) => return true,
                (Fault::Delay(time), _) => {
                    sleep(time).await;
                    return true;
                }
                (Fault::Reset | Fault::Refuse(_), _) => return false,
                (Fault::Silence, _) | (Fault::NoAnswers, Direction::Answer) => changed.await,
            }
        }
    }

    async fn wait_for_reset(&self) {
        loop {
            let changed = self.changed.notified();
            if matches!(self.fault.get(), Fault::Reset | Fault::Refuse(_)) {
                return;
            }
            changed.await;
        }
    }
}

/// Maximum time to wait for a port that a connection has taken.
const RESTART_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two attempts to listen on it.
const RESTART_INTERVAL: Duration = Duration::from_millis(50);

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ended {
    Closed,
    Reset,
}

/// Answers the first request of a connection with a status and closes it.
async fn refuse(mut caller: TcpStream, status: u16) {
    let mut request = vec![0; MAX_CHUNK_BYTES];
    let answer = format!("HTTP/1.1 {status} Refused\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
    // The caller may be gone before it sends or reads anything.
    if caller.read(&mut request).await.is_ok() {
        let _ = caller.write_all(answer.as_bytes()).await;
    }
}
