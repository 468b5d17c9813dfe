//! Connections to replicas over the node's own path or, if that is cut, over another node.
//!
//! [`connect`] runs a [`PathSearch`] for one connection. [`tunnel`] opens a connection over another
//! node, and [`serve`] is the other end of it. [`monitor`] probes broken paths. The other node only
//! passes bytes on: the request, its charges, limits, retries and deadline stay with the node that
//! took it, and closing the tunnel closes the connection to the replica.

mod control;
pub(crate) mod monitor;
pub(crate) mod serve;
mod tunnel;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use croftrill_scheduler::path_search::{Attempt, PathSearch, PeerAnswer, SearchFailure};
use croftrill_scheduler::peer_paths::PeerCandidate;
use croftrill_scheduler::replica::ReplicaId;
use croftrill_scheduler::replica_paths::PathChoice;
use croftrill_scheduler::replica_table::ReplicaEntry;
use croftrill_scheduler::shard::Shard;
use futures::future::LocalBoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use rand::Rng;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

use self::tunnel::Tunnel;
use crate::connection::{Connection, ConnectionPool};
use crate::membership::MemberEntry;
use crate::metrics::Metrics;
use crate::node::{Node, NodeState};
use crate::ports::Platform;

/// Time for which a search for one connection goes on.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(400);

/// A replica to connect to.
#[derive(Debug, Clone)]
pub(crate) struct PathTarget {
    /// Its id.
    pub(crate) replica: ReplicaId,
    /// Its address, as this node knows it.
    pub(crate) address: SocketAddr,
}

impl PathTarget {
    /// Returns a listed replica as a target, or `None` if its address cannot be read.
    pub(crate) fn of(entry: &ReplicaEntry) -> Option<Self> {
        Some(PathTarget {
            replica: entry.listing.id.clone(),
            address: entry.listing.address.parse().ok()?,
        })
    }
}

/// What a request asks of its connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ConnectOptions {
    /// Whether a connection that was used before may be used.
    pub(crate) may_reuse: bool,
}

/// How another node judges a replica that this node does not reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeerVerdict {
    /// It reaches the replica.
    Reached,
    /// It does not, though it reaches others.
    Down,
    /// No node that was asked could tell.
    Unknown,
    /// There is no other node to ask.
    NobodyToAsk,
}

/// The end of an attempt to connect.
enum Attempted {
    OwnConnected(Connection),
    OwnFailed,
    PeerConnected(SocketAddr, Tunnel),
    PeerAnswered(SocketAddr, PeerAnswer),
}

/// Connects to a replica, by whatever path is the first.
pub(crate) async fn connect<P: Platform>(
    node: &Rc<Node<P>>,
    pool: &ConnectionPool,
    target: &PathTarget,
    options: ConnectOptions,
) -> Result<Connection, SearchFailure> {
    let choice = node.state.borrow().replica_paths.choose(&target.replica);
    if choice == PathChoice::Own && options.may_reuse {
        if let Some(connection) = pool.take_idle(target.address) {
            return Ok(connection);
        }
    }
    let head_start = {
        let state = node.state.borrow();
        state.replica_paths.head_start(choice)
    };
    match search(node, pool, target, choice, head_start).await {
        Ok(connection) => Ok(connection),
        Err(failure) => Err(judge_failure(node, target, choice, failure).await),
    }
}

/// Records a failed search. If no other node could tell, this one tries the replica again and some
/// others: if it reaches these alone, its own path is not the cause.
async fn judge_failure<P: Platform>(
    node: &Rc<Node<P>>,
    target: &PathTarget,
    choice: PathChoice,
    failure: SearchFailure,
) -> SearchFailure {
    let is_open = failure == SearchFailure::NoPath && choice != PathChoice::Tunnel;
    let failure = if is_open && control::reaches_only_others(node, target).await {
        SearchFailure::Down
    } else {
        failure
    };
    tracing::info!(target: "path", event = "no path to a replica", replica = &*target.replica, ?failure);
    if failure == SearchFailure::NoPath {
        record_broken(node, target, false);
    }
    failure
}

/// Asks other nodes whether they reach a replica to which this node cannot connect.
pub(crate) async fn ask_peers<P: Platform>(node: &Rc<Node<P>>, target: &PathTarget) -> PeerVerdict {
    if peers_to_ask(node).is_empty() {
        return PeerVerdict::NobodyToAsk;
    }
    let pool = &node.patient_pool;
    match search(node, pool, target, PathChoice::Tunnel, Duration::ZERO).await {
        Ok(_) => PeerVerdict::Reached,
        Err(SearchFailure::Down) => PeerVerdict::Down,
        Err(SearchFailure::NoPath | SearchFailure::OwnPathFailed) => PeerVerdict::Unknown,
    }
}

/// Returns whether this node lost its paths to most of a shard's replicas, while other nodes reach
/// them.
pub(crate) fn is_cut_off<P: Platform>(node: &Node<P>, shard: Shard) -> bool {
    is_cut_off_in(&node.state.borrow(), shard)
}

/// As [`is_cut_off`], by the node's state.
pub(crate) fn is_cut_off_in(state: &NodeState, shard: Shard) -> bool {
    let is_of_shard = |id: &str| Shard::of_replica(id) == shard;
    let count = || {
        let entries = state.replicas.iter();
        entries.filter(|entry| is_of_shard(&entry.listing.id)).count()
    };
    state.replica_paths.is_cut_off_from(is_of_shard, count)
}

async fn search<P: Platform>(
    node: &Rc<Node<P>>,
    pool: &ConnectionPool,
    target: &PathTarget,
    choice: PathChoice,
    head_start: Duration,
) -> Result<Connection, SearchFailure> {
    let started_at = node.clock.now();
    let mut search = PathSearch::new(choice, head_start, started_at);
    let mut attempts: FuturesUnordered<LocalBoxFuture<'_, Attempted>> = FuturesUnordered::new();
    let mut has_own_failed = choice == PathChoice::Tunnel;
    loop {
        let now = node.clock.now();
        while let Some(attempt) = search.next_attempt(now) {
            match attempt {
                Attempt::ListPeers => search.offer_peers(peers_to_ask(node)),
                Attempt::Own => attempts.push(Box::pin(dial_own(node, pool, target))),
                Attempt::Peer(peer) => attempts.push(Box::pin(dial_over(node, pool, target, peer))),
            }
        }
        if let Some(failure) = search.failure() {
            return Err(failure);
        }
        let limit = started_at + SEARCH_TIMEOUT;
        let wake_at = search.next_attempt_at().map_or(limit, |at| at.min(limit));
        let Ok(ended) = node.clock.timeout_at(wake_at, attempts.next()).await else {
            if node.clock.now() >= limit {
                return Err(search.failure_at_limit());
            }
            continue;
        };
        let now = node.clock.now();
        match ended {
            Some(Attempted::OwnConnected(connection)) => {
                let time = now.since(started_at);
                record_own_connection(node, target, Some(time));
                return Ok(connection);
            }
            Some(Attempted::OwnFailed) => {
                has_own_failed = true;
                search.record_own_failure(now);
            }
            Some(Attempted::PeerConnected(peer, tunnel)) => {
                record_answer(node, peer, PeerAnswer::Connected);
                record_tunnel(node, target, peer, has_own_failed, now.since(started_at));
                // The handshake over an open tunnel sends nothing.
                return tunnel.into_connection(pool, target.address).await;
            }
            Some(Attempted::PeerAnswered(peer, answer)) => {
                record_answer(node, peer, answer);
                search.record_answer(answer, now);
            }
            // All attempts that were started have ended; others are due later.
            None => node.clock.sleep_until(wake_at).await,
        }
    }
}

/// Opens a connection over the node's own path.
async fn dial<P: Platform>(node: &Node<P>, address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let connecting = node.platform.connector().connect(address);
    timeout(limit, connecting).await?
}

async fn dial_own<P: Platform>(node: &Node<P>, pool: &ConnectionPool, target: &PathTarget) -> Attempted {
    match pool.dial(target.address).await {
        Ok(connection) => Attempted::OwnConnected(connection),
        Err(error) => {
            tracing::info!(target: "path", event = "no connection to a replica",
                replica = &*target.replica, %error);
            Metrics::count(&node.metrics.replica_paths, "own path", "not connected");
            Attempted::OwnFailed
        }
    }
}

async fn dial_over<P: Platform>(
    node: &Rc<Node<P>>,
    pool: &ConnectionPool,
    target: &PathTarget,
    peer: SocketAddr,
) -> Attempted {
    match tunnel::open(node, peer, target, pool.silence_limit()).await {
        Ok(tunnel) => Attempted::PeerConnected(peer, tunnel),
        Err(answer) => Attempted::PeerAnswered(peer, answer),
    }
}

/// Returns the nodes that may be asked for a path, in order.
fn peers_to_ask<P: Platform>(node: &Node<P>) -> Vec<SocketAddr> {
    let own = &node.settings.identity.name;
    let state = node.state.borrow();
    let others = state.members.nodes();
    let others = others.filter(|member| member.name != *own && member.supports_tunnels());
    let candidates = others.filter_map(|member| {
        Some(PeerCandidate {
            key: MemberEntry::peer_address(member)?,
            processor_millicores: member.processor_millicores,
        })
    });
    let salt = rand::rng().random();
    state.peer_paths.order(candidates, salt, node.clock.now())
}

fn record_answer<P: Platform>(node: &Node<P>, peer: SocketAddr, answer: PeerAnswer) {
    Metrics::count(&node.metrics.replica_paths, "asked", answer_name(answer));
    let now = node.clock.now();
    node.state
        .borrow_mut()
        .peer_paths
        .record_answer(peer, answer, now);
}

fn answer_name(answer: PeerAnswer) -> &'static str {
    match answer {
        PeerAnswer::Connected => "connected",
        PeerAnswer::Down => "down",
        PeerAnswer::NotReached => "not reached",
        PeerAnswer::NoPath => "no path",
        PeerAnswer::Busy => "busy",
        PeerAnswer::Unanswered => "unanswered",
    }
}

/// Records that a replica was reached over the node's own path.
pub(crate) fn record_own_connection<P: Platform>(
    node: &Node<P>,
    target: &PathTarget,
    connect_time: Option<Duration>,
) {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    if let Some(time) = connect_time {
        state.replica_paths.record_connect_time(time);
    }
    if state.replica_paths.record_reached(&target.replica, now) {
        let broken = state.replica_paths.broken_count();
        node.metrics.replicas_out_of_reach.set(broken as i64);
        tracing::info!(target: "path", event = "own path works again", replica = &*target.replica, broken);
    }
}

/// Records that another node connected this one to a replica. If the own path had not failed by
/// then, it is only slow.
fn record_tunnel<P: Platform>(
    node: &Rc<Node<P>>,
    target: &PathTarget,
    peer: SocketAddr,
    has_own_failed: bool,
    took: Duration,
) {
    tracing::info!(target: "path", event = "connected over another node", replica = &*target.replica, %peer,
        has_own_failed, took_ms = took.as_millis() as u64);
    if has_own_failed {
        record_broken(node, target, true);
    } else {
        node.state.borrow_mut().replica_paths.record_trouble();
        spawn_local(monitor::check_overtaken(node.clone(), target.clone()));
    }
}

fn record_broken<P: Platform>(node: &Node<P>, target: &PathTarget, is_confirmed: bool) {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    let is_new = state
        .replica_paths
        .record_broken(&target.replica, is_confirmed, now);
    let broken = state.replica_paths.broken_count();
    drop(state);
    if is_new {
        node.metrics.replicas_out_of_reach.set(broken as i64);
        tracing::warn!(target: "path", event = "own path is broken", replica = &*target.replica, is_confirmed, broken);
        node.path_check_needed.notify_one();
    }
}
