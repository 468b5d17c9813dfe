//! Whose turn it is to become coordinator.
//!
//! While the present coordinator seems alive, only a few candidates look at the
//! lease, and seldom. When it is gone, the live members of the cell try one
//! after the other, in the order of rendezvous hashing, so that the rate of
//! attempts is the same at any number of nodes.

use super::isolation::is_isolated;
use super::lease::{CoordinatorLease, LeaseError};
use super::{CoordinatorConfig, CoordinatorParts};
use crate::replication::Backoff;
use croftrill_state::placement::Lifecycle;
use croftrill_state::{rendezvous, ClusterState, NodeId};
use std::time::Duration;
use tokio::time::Instant;

/// How often a candidate looks at membership and the log, in milliseconds.
const LOOK_MILLIS: u64 = 500;

/// How often a candidate asks for a lease that is held by a node that seems
/// dead, in the time of one lease.
const LOOKS_PER_LEASE: u64 = 4;

/// What a candidate should do.
enum Turn {
    /// The coordinator seems alive and others watch it.
    Idle,
    /// The coordinator seems alive; look at the lease now and then.
    Watch,
    /// There is no coordinator; try after this many others.
    TryAfter(usize),
}

/// One node's candidacy.
pub(super) struct Candidacy<'a> {
    config: &'a CoordinatorConfig,
    parts: &'a CoordinatorParts,
    vacant_since: Option<Instant>,
    next_look: Instant,
    backoff: Backoff,
}

impl<'a> Candidacy<'a> {
    pub(super) fn new(config: &'a CoordinatorConfig, parts: &'a CoordinatorParts) -> Self {
        Self {
            config,
            parts,
            vacant_since: None,
            next_look: Instant::now() + parts.replica.random().jittered(config.lease_look_millis),
            backoff: Backoff::new(config.rank_delay_millis, config.longest_backoff_millis),
        }
    }

    /// Waits for this node's turn and tries to take the lease once.
    pub(super) async fn next_lease(&mut self) -> Option<CoordinatorLease> {
        tokio::time::sleep(self.parts.replica.random().jittered(LOOK_MILLIS)).await;
        match self.turn() {
            Turn::Idle => {
                self.vacant_since = None;
                None
            }
            Turn::Watch => {
                self.vacant_since = None;
                self.try_when_due(self.next_look).await
            }
            Turn::TryAfter(rank) => {
                let since = *self.vacant_since.get_or_insert_with(Instant::now);
                let delay = self.config.rank_delay_millis * rank as u64 + self.isolated_delay();
                self.try_when_due(since + Duration::from_millis(delay)).await
            }
        }
    }

    /// A coordinator that lost its role lets others try first.
    pub(super) async fn pause_after_term(&mut self) {
        self.vacant_since = None;
        self.backoff.pause(self.parts.replica.random()).await;
    }

    async fn try_when_due(&mut self, due: Instant) -> Option<CoordinatorLease> {
        if Instant::now() < due {
            return None;
        }
        let taken = CoordinatorLease::take(
            self.parts.service.clone(),
            &self.config.cell,
            self.parts.replica.node(),
            self.parts.replica.random().unique(),
            self.config.lease.clone(),
        );
        match taken.await {
            Ok(lease) => {
                self.backoff.reset();
                Some(lease)
            }
            Err(LeaseError::Held(by)) => {
                log::debug!("coordinator: lease held cell={} by={by}", self.config.cell);
                self.backoff.reset();
                self.look_later();
                None
            }
            Err(LeaseError::Service(error)) => {
                log::debug!("coordinator: lease not taken error=\"{error}\"");
                self.backoff.pause(self.parts.replica.random()).await;
                None
            }
        }
    }

    /// Both a watcher and a candidate that found the lease held start over. The
    /// candidates wait a part of the lease's length, so that only the first few
    /// of them ask before it ends.
    fn look_later(&mut self) {
        let now = Instant::now();
        self.next_look = now
            + self
                .parts
                .replica
                .random()
                .jittered(self.config.lease_look_millis);
        let pause = self.config.lease.ttl_millis / LOOKS_PER_LEASE;
        self.vacant_since = Some(now + Duration::from_millis(pause));
    }

    fn isolated_delay(&self) -> u64 {
        let state = self.parts.replica.state();
        let members = self.parts.members.as_ref();
        if is_isolated(&state, &self.config.cell, members) {
            return self.config.isolated_delay_millis;
        }
        0
    }

    fn turn(&self) -> Turn {
        let state = self.parts.replica.state();
        let node = self.parts.replica.node();
        if !may_coordinate(&state, self.config, node) {
            return Turn::Idle;
        }
        let present = state.coordinators.get(&self.config.cell);
        let seated = present
            .map(|coordinator| &coordinator.node)
            .filter(|holder| *holder != node && self.parts.members.is_alive(holder));
        let rank = self.rank(&state, seated);
        match seated {
            None => Turn::TryAfter(rank),
            Some(_) if rank < self.config.watching_candidates => Turn::Watch,
            Some(_) => Turn::Idle,
        }
    }

    /// How many live members of the cell go first.
    fn rank(&self, state: &ClusterState, seated: Option<&NodeId>) -> usize {
        let alive = self.parts.members.alive();
        let candidates = alive
            .iter()
            .filter(|id| Some(*id) != seated)
            .filter(|id| may_coordinate(state, self.config, id));
        let key = format!("coordinator/{}", self.config.cell);
        let node = self.parts.replica.node();
        rendezvous::ranked(&key, candidates)
            .into_iter()
            .position(|id| id == node)
            .unwrap_or(alive.len())
    }
}

/// A node that the log does not know yet may; it is how a log begins.
fn may_coordinate(state: &ClusterState, config: &CoordinatorConfig, id: &NodeId) -> bool {
    state.nodes.get(id).is_none_or(|versioned| {
        let node = &versioned.value;
        node.cell == config.cell && node.lifecycle == Lifecycle::Live
    })
}
