//! The search for a connection to one replica: over the node's own path and over other nodes.
//!
//! Attempts are staggered: the next one starts if those before it are not answered soon, and the
//! first connection that comes up is used. Nothing is sent before, so any number of attempts may
//! be given up.

use std::collections::VecDeque;
use std::time::Duration;

use crate::replica_paths::PathChoice;
use crate::time::Moment;

/// Time that a node gets to answer before the next one is asked, too: some round trips and the
/// connection to the replica.
const PEER_HEAD_START: Duration = Duration::from_millis(25);
/// Maximum number of nodes that are asked at the same time.
const MAX_PENDING_PEERS: usize = 4;
/// Maximum number of nodes that one search asks. If nine of ten nodes have no path, one of these
/// has one in 97 of 100 searches.
const MAX_PEERS: usize = 32;

/// An attempt to connect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt<K> {
    /// Over the node's own path.
    Own,
    /// Over another node.
    Peer(K),
    /// None yet: the caller lists the nodes that may be asked, with [`PathSearch::offer_peers`].
    /// Most searches end before they need them.
    ListPeers,
}

/// Answer of another node to the question for a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerAnswer {
    /// It is connected to the replica.
    Connected,
    /// It cannot connect to the replica, and reaches others.
    Down,
    /// It cannot connect to the replica and cannot tell why. It may reach others.
    NotReached,
    /// It reaches no replica itself.
    NoPath,
    /// It carries no more connections now.
    Busy,
    /// It did not answer.
    Unanswered,
}

/// Why a search ended without a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearchFailure {
    /// Another node, which reaches replicas, cannot connect to this one.
    Down,
    /// The own path is broken, and no node that was asked offers one.
    NoPath,
    /// There is no other node to ask, so the replica and the path to it are not told apart.
    OwnPathFailed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnAttempt {
    NotStarted,
    Pending,
    Failed,
    /// The own path is known to be broken.
    Omitted,
}

/// The state of a search.
#[derive(Debug)]
pub struct PathSearch<K> {
    own: OwnAttempt,
    /// Nodes that were not asked yet; `None` before they are listed.
    peers: Option<VecDeque<K>>,
    pending_peers: usize,
    has_peers: bool,
    /// When the next node may be asked.
    next_peer_at: Moment,
    is_down: bool,
}

impl<K: Copy> PathSearch<K> {
    /// Starts a search.
    pub fn new(choice: PathChoice, head_start: Duration, now: Moment) -> Self {
        let own = match choice {
            PathChoice::Own | PathChoice::Suspect => OwnAttempt::NotStarted,
            PathChoice::Tunnel => OwnAttempt::Omitted,
        };
        PathSearch {
            own,
            has_peers: false,
            peers: None,
            pending_peers: 0,
            next_peer_at: now + head_start,
            is_down: false,
        }
    }

    /// Returns an attempt to start now, if one is due. The caller repeats this until there is none.
    pub fn next_attempt(&mut self, now: Moment) -> Option<Attempt<K>> {
        if self.own == OwnAttempt::NotStarted {
            self.own = OwnAttempt::Pending;
            return Some(Attempt::Own);
        }
        if now < self.next_peer_at || self.pending_peers >= MAX_PENDING_PEERS || self.is_down {
            return None;
        }
        let Some(peers) = &mut self.peers else {
            return Some(Attempt::ListPeers);
        };
        let peer = peers.pop_front()?;
        self.pending_peers += 1;
        self.next_peer_at = now + PEER_HEAD_START;
        Some(Attempt::Peer(peer))
    }

    /// Lists the nodes that may be asked, in order.
    pub fn offer_peers(&mut self, peers: Vec<K>) {
        self.has_peers = !peers.is_empty();
        self.peers = Some(peers.into_iter().take(MAX_PEERS).collect());
    }

    /// Returns when the next attempt is due, if nothing is answered before.
    pub fn next_attempt_at(&self) -> Option<Moment> {
        let may_ask = !self.is_exhausted() && self.pending_peers < MAX_PENDING_PEERS;
        may_ask.then_some(self.next_peer_at)
    }

    /// Records that the own path failed.
    pub fn record_own_failure(&mut self, now: Moment) {
        self.own = OwnAttempt::Failed;
        self.next_peer_at = self.next_peer_at.min(now);
    }

    /// Records an answer other than a connection.
    pub fn record_answer(&mut self, answer: PeerAnswer, now: Moment) {
        self.pending_peers = self.pending_peers.saturating_sub(1);
        self.next_peer_at = self.next_peer_at.min(now);
        self.is_down |= answer == PeerAnswer::Down;
    }

    /// Returns why the search has failed, or `None` if it continues.
    pub fn failure(&self) -> Option<SearchFailure> {
        if self.is_down {
            return Some(SearchFailure::Down);
        }
        let own_pending = matches!(self.own, OwnAttempt::NotStarted | OwnAttempt::Pending);
        if own_pending || self.pending_peers > 0 || !self.is_exhausted() {
            return None;
        }
        Some(self.failure_at_limit())
    }

    /// Returns whether all nodes were asked.
    fn is_exhausted(&self) -> bool {
        self.peers.as_ref().is_some_and(VecDeque::is_empty)
    }

    /// Returns why the search has failed if it ends now, as its time is over.
    pub fn failure_at_limit(&self) -> SearchFailure {
        if self.own == OwnAttempt::Omitted || self.has_peers {
            SearchFailure::NoPath
        } else {
            SearchFailure::OwnPathFailed
        }
    }
}
