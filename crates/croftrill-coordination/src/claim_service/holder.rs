//! The holder's side: answers claims and hands them over when the ring changes.

use super::peers::ClaimPeers;
use crate::membership_driver::MonotonicClock;
use arc_swap::ArcSwap;
use croftrill_protocol::peer::{
    ClaimHandOver, ClaimOutcome, ClaimRequest, ClaimResult, FinishOutcome, HandOverOutcome,
};
use croftrill_state::claims::{ClaimConfig, ClaimHolder, ClaimRing, ClaimTable};
use croftrill_state::membership::MembershipView;
use croftrill_state::{CellId, ClusterState, IdempotencyKey, NodeId, RequestId};
use futures::{stream, StreamExt};
use log::{info, warn};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Nodes that get records at once.
const CONCURRENT_HAND_OVERS: usize = 8;

/// Pause before a failed hand-over is tried again.
const HAND_OVER_RETRY: Duration = Duration::from_millis(300);

/// Time between two looks at the membership.
const OBSERVE_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of the holder's side.
#[derive(Clone, Debug)]
pub struct ClaimHolderConfig {
    /// The cell whose keys this node shares.
    pub cell: CellId,
    /// Who holds the table.
    pub holder: ClaimHolder,
    /// Settings of claims.
    pub claims: ClaimConfig,
    /// Longest wait for a peer's answer.
    pub call_limit: Duration,
}

struct HeldClaims {
    table: ClaimTable,
    addresses: BTreeMap<NodeId, String>,
}

/// The claims that this node holds.
pub struct ClaimHolderService<P> {
    config: ClaimHolderConfig,
    membership: Arc<ArcSwap<MembershipView>>,
    clock: MonotonicClock,
    peers: Arc<P>,
    held: Mutex<HeldClaims>,
    ring_changed: Notify,
}

impl<P: ClaimPeers> ClaimHolderService<P> {
    /// A holder that knows no ring, and so grants nothing.
    pub fn new(
        config: ClaimHolderConfig,
        membership: Arc<ArcSwap<MembershipView>>,
        clock: MonotonicClock,
        peers: Arc<P>,
    ) -> Self {
        let held = HeldClaims {
            table: ClaimTable::new(config.claims.clone(), config.holder.clone()),
            addresses: BTreeMap::new(),
        };
        Self {
            config,
            membership,
            clock,
            peers,
            held: Mutex::new(held),
            ring_changed: Notify::new(),
        }
    }

    /// Takes a later state. The first one must be caught up with the key-value
    /// service's log since this process started. Call it after each entry: if
    /// two changes of the ring are seen as one, nothing can be handed over.
    pub fn apply_state(&self, state: &ClusterState) {
        let ring = ClaimRing::of_cell(state, &self.config.cell);
        let mut held = self.held();
        if ring.version <= held.table.ring().version {
            return;
        }
        let now = self.clock.now();
        info!(
            "claims: ring changed revision={} nodes={}",
            ring.revision,
            ring.nodes.len()
        );
        held.table.observe_ring(ring, &self.membership.load(), now);
        // Former members stay, for hand-overs that still go to them.
        let present = state.nodes.values().map(|node| &node.value);
        let addresses = present.map(|node| (node.id.clone(), node.peer_address.clone()));
        held.addresses.extend(addresses);
        drop(held);
        self.ring_changed.notify_one();
    }

    /// Answers a claim.
    pub async fn claim(&self, request: ClaimRequest) -> ClaimOutcome {
        let now = self.clock.now();
        let view = self.membership.load();
        self.held().table.claim(&request, &view, now)
    }

    /// Takes the report of a request's end.
    pub async fn finish_claim(
        &self,
        key: IdempotencyKey,
        request: RequestId,
        result: ClaimResult,
    ) -> FinishOutcome {
        let now = self.clock.now();
        self.held().table.finish(&key, request, result, now)
    }

    /// Takes a part of what a former holder knew.
    pub async fn hand_over_claims(&self, part: ClaimHandOver) -> HandOverOutcome {
        let now = self.clock.now();
        self.held().table.receive_hand_over(&part, now)
    }

    /// Whether this node still shares the keys of its cell or owes records.
    pub fn is_needed(&self) -> bool {
        let held = self.held();
        let member = held.table.ring().nodes.contains(&self.config.holder.node);
        member || !held.table.hand_over_targets().is_empty()
    }

    /// For a planned stop: waits until the ring is without this node and all is
    /// handed over. `false` if that did not happen within `limit`.
    pub async fn wait_handed_over(&self, limit: Duration) -> bool {
        let deadline = tokio::time::Instant::now() + limit;
        while self.is_needed() {
            if tokio::time::Instant::now() >= deadline {
                warn!("claims: stopped before all was handed over");
                return false;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        true
    }

    /// Hands over records and learns who knows of changes of the ring, until
    /// `stop`.
    pub async fn run(&self, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.hand_over_for_ever() => {}
            () = self.observe_members_for_ever() => {}
        }
    }

    async fn observe_members_for_ever(&self) {
        let mut interval = tokio::time::interval(OBSERVE_INTERVAL);
        loop {
            interval.tick().await;
            let now = self.clock.now();
            let view = self.membership.load();
            self.held().table.observe_members(&view, now);
        }
    }

    async fn hand_over_for_ever(&self) {
        loop {
            self.hand_over_all().await;
        }
    }

    async fn hand_over_all(&self) {
        let targets = self.held().table.hand_over_targets();
        if targets.is_empty() {
            self.ring_changed.notified().await;
            return;
        }
        stream::iter(targets)
            .for_each_concurrent(CONCURRENT_HAND_OVERS, |target| self.hand_over_to(target))
            .await;
        let unfinished = !self.held().table.hand_over_targets().is_empty();
        if unfinished {
            tokio::time::sleep(HAND_OVER_RETRY).await;
        }
    }

    /// Sends parts to one node until it has all or one fails.
    async fn hand_over_to(&self, target: NodeId) {
        while let Some((address, part)) = self.next_part(&target) {
            let limit = self.config.call_limit;
            let called = self.peers.hand_over_claims(&address, part.clone(), limit).await;
            let Ok(outcome) = called else {
                return;
            };
            self.held().table.take_hand_over_outcome(&target, &part, outcome);
            if outcome == HandOverOutcome::TryLater {
                return;
            }
        }
    }

    fn next_part(&self, target: &NodeId) -> Option<(String, ClaimHandOver)> {
        let now = self.clock.now();
        let mut held = self.held();
        let address = held.addresses.get(target)?.clone();
        let part = held.table.next_hand_over(target, now)?;
        Some((address, part))
    }

    fn held(&self) -> MutexGuard<'_, HeldClaims> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
