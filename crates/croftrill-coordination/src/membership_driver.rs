//! Runs the membership state machine: a UDP socket and a timer.
//!
//! The driver runs on the control runtime. Others read immutable snapshots from
//! the [`MembershipHandle`]; they are at most one period old, and renewed at
//! once when a member's health changes.

mod clock;
mod traffic;

pub use clock::MonotonicClock;
pub use traffic::{ProbeTraffic, ProbeTrafficCounts, DATAGRAM_HEADER_BYTES};

use arc_swap::ArcSwap;
use croftrill_state::membership::{
    LocalMember, Membership, MembershipAction, MembershipConfig, MembershipEvent, MembershipView, Probe,
    MAX_DATAGRAM_BYTES,
};
use croftrill_state::{Instant, NodeId, Revision};
use log::{debug, info, warn};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

/// Events that may wait for the reader; more are dropped, since the snapshot
/// and later probes tell the same.
const EVENT_CAPACITY: usize = 1024;

/// Settings of the driver.
#[derive(Clone, Debug)]
pub struct MembershipDriverConfig {
    /// Where to bind the socket; port 0 takes a free one.
    pub bind: SocketAddr,
    /// Who this node is. An empty address stands for the bound one.
    pub local: LocalMember,
    /// `ip:port` of nodes to start from.
    pub seeds: Vec<String>,
    /// Decides the random choices.
    pub random_seed: u64,
    /// Settings of the protocol.
    pub membership: MembershipConfig,
    /// Time between two ticks.
    pub tick: Duration,
}

/// Why the driver cannot start.
#[derive(Debug, Error)]
pub enum MembershipDriverError {
    /// The socket cannot be bound.
    #[error("cannot bind the probe socket to {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
}

enum Command {
    ListMembers(Vec<(NodeId, String)>),
    NewHead(Revision),
    CaughtUp,
    Leave,
}

/// Access to the membership from the rest of the node.
#[derive(Clone)]
pub struct MembershipHandle {
    view: Arc<ArcSwap<MembershipView>>,
    commands: mpsc::UnboundedSender<Command>,
    traffic: Arc<ProbeTraffic>,
    address: String,
}

impl MembershipHandle {
    /// The latest snapshot.
    pub fn view(&self) -> Arc<MembershipView> {
        self.view.load_full()
    }

    /// Where the latest snapshot is published.
    pub fn shared_view(&self) -> Arc<ArcSwap<MembershipView>> {
        self.view.clone()
    }

    /// What membership has cost so far.
    pub fn traffic(&self) -> ProbeTrafficCounts {
        self.traffic.counts()
    }

    /// `ip:port` that the others reach this node at.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Replaces the members that the cluster state lists.
    pub fn list_members(&self, members: Vec<(NodeId, String)>) {
        self.command(Command::ListMembers(members));
    }

    /// This node applied the log up to this revision.
    pub fn new_head(&self, head: Revision) {
        self.command(Command::NewHead(head));
    }

    /// This process has applied all that the key-value service's log had at some
    /// time since the process started. Until then it counts for no one's
    /// majority.
    pub fn set_caught_up(&self) {
        self.command(Command::CaughtUp);
    }

    /// Announces that this node stops on purpose. It goes on answering probes
    /// until the driver is stopped.
    pub fn leave(&self) {
        self.command(Command::Leave);
    }

    fn command(&self, command: Command) {
        if self.commands.send(command).is_err() {
            debug!("membership: command after the driver stopped");
        }
    }
}

/// The socket, the timer and the state machine.
pub struct MembershipDriver {
    socket: UdpSocket,
    clock: MonotonicClock,
    membership: Membership,
    view: Arc<ArcSwap<MembershipView>>,
    commands: mpsc::UnboundedReceiver<Command>,
    events: mpsc::Sender<MembershipEvent>,
    traffic: Arc<ProbeTraffic>,
    tick: Duration,
    period_millis: u64,
    published_at: Instant,
}

impl MembershipDriver {
    /// Binds the socket. Nothing is sent before [`run`](Self::run).
    pub async fn bind(
        config: MembershipDriverConfig,
        clock: MonotonicClock,
    ) -> Result<(Self, MembershipHandle, mpsc::Receiver<MembershipEvent>), MembershipDriverError> {
        let (socket, bound) = bind_socket(config.bind).await?;
        let mut local = config.local;
        if local.address.is_empty() {
            local.address = bound.to_string();
        }
        let address = local.address.clone();
        let now = clock.now();
        let period_millis = config.membership.period_millis;
        let membership = Membership::new(config.membership, local, config.seeds, config.random_seed, now);
        let view = Arc::new(ArcSwap::from_pointee(membership.view(now)));
        let (command_sender, commands) = mpsc::unbounded_channel();
        let (events, event_receiver) = mpsc::channel(EVENT_CAPACITY);
        let traffic = Arc::new(ProbeTraffic::default());
        let handle = MembershipHandle {
            view: view.clone(),
            commands: command_sender,
            traffic: traffic.clone(),
            address,
        };
        let driver = Self {
            socket,
            clock,
            membership,
            view,
            commands,
            events,
            traffic,
            tick: config.tick,
            period_millis,
            published_at: now,
        };
        Ok((driver, handle, event_receiver))
    }

    /// Probes until `stop`.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut ticks = tokio::time::interval(self.tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        // One byte more than allowed, to notice a datagram that was cut off.
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            // The order matters: after a pause the tick notices it before any
            // datagram that waited in the socket counts as heard.
            let actions = tokio::select! {
                biased;
                () = stop.cancelled() => return,
                _ = ticks.tick() => self.membership.tick(self.clock.now()),
                Some(command) = self.commands.recv() => self.obey(command),
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, _)) => self.receive(&buffer[..length]),
                    Err(error) => {
                        debug!("membership: receive failed error={error}");
                        Vec::new()
                    }
                },
            };
            self.perform(actions).await;
        }
    }

    fn obey(&mut self, command: Command) -> Vec<MembershipAction> {
        let now = self.clock.now();
        match command {
            Command::ListMembers(members) => {
                self.membership.list_members(members, now);
                self.publish(now);
                Vec::new()
            }
            Command::NewHead(head) => {
                let actions = self.membership.new_head(head, now);
                self.publish(now);
                actions
            }
            Command::CaughtUp => {
                self.membership.set_caught_up();
                Vec::new()
            }
            Command::Leave => self.membership.leave(),
        }
    }

    fn receive(&mut self, datagram: &[u8]) -> Vec<MembershipAction> {
        self.traffic.count_received(datagram.len());
        match Probe::decode(datagram) {
            Ok(probe) => self.membership.receive(probe, self.clock.now()),
            Err(error) => {
                self.traffic.count_dropped();
                debug!(
                    "membership: datagram dropped bytes={} error={error}",
                    datagram.len()
                );
                Vec::new()
            }
        }
    }

    async fn perform(&mut self, actions: Vec<MembershipAction>) {
        let mut changed = false;
        for action in actions {
            match action {
                MembershipAction::Send { to, probe } => self.send(&to, &probe).await,
                MembershipAction::Report(event) => {
                    changed |= !matches!(event, MembershipEvent::HeadSeen { .. });
                    self.report(event);
                }
            }
        }
        let now = self.clock.now();
        if changed || now.millis_since(self.published_at) >= self.period_millis {
            self.publish(now);
        }
    }

    async fn send(&self, to: &str, probe: &Probe) {
        let Ok(address) = to.parse::<SocketAddr>() else {
            warn!("membership: address is not ip:port address={to}");
            return;
        };
        let datagram = probe.encode();
        self.traffic.count_sent(datagram.len());
        if let Err(error) = self.socket.send_to(&datagram, address).await {
            debug!("membership: send failed to={to} error={error}");
        }
    }

    fn report(&self, event: MembershipEvent) {
        match &event {
            MembershipEvent::HealthChanged { node, health } => {
                info!("membership: member changed node={node} health={health:?}");
            }
            MembershipEvent::PauseDetected { millis } => {
                warn!("membership: this process was paused millis={millis}");
            }
            MembershipEvent::HeadSeen { .. } => {}
        }
        if self.events.try_send(event).is_err() {
            debug!("membership: event dropped");
        }
    }

    fn publish(&mut self, now: Instant) {
        self.published_at = now;
        self.view.store(Arc::new(self.membership.view(now)));
    }
}

async fn bind_socket(address: SocketAddr) -> Result<(UdpSocket, SocketAddr), MembershipDriverError> {
    let failed = |source| MembershipDriverError::Bind { address, source };
    let socket = UdpSocket::bind(address).await.map_err(failed)?;
    let bound = socket.local_addr().map_err(failed)?;
    Ok((socket, bound))
}
