//! A replica as a node's table stores it.

use super::replica_signals::KnownSignals;
use super::send_times::SendTimes;
use super::{Arrival, Placement};
use crate::capacity::Capacity;
use crate::catalog::{AdapterName, ModelName};
use crate::health::ReplicaHealth;
use crate::replica::{ReplicaListing, ReplicaState};
use crate::time::Moment;

/// A replica in the table.
#[derive(Debug, Clone)]
pub struct ReplicaEntry {
    /// The replica as listed, with the newest known holdings.
    pub listing: ReplicaListing,
    /// Models that are being loaded or are about to be, as published by the orderer.
    pub arriving: Vec<Arrival>,
    /// Health, as observed in responses.
    pub health: ReplicaHealth,
    /// Signals that it sent to this node.
    pub(super) signals: KnownSignals,
    pub(super) from_orderer: bool,
    pub(super) absent: Vec<(ModelName, Option<AdapterName>)>,
    pub(super) own_sends: u32,
    pub(super) own_tokens: u64,
    /// When the latest of this node's requests there started.
    pub(super) send_times: SendTimes,
    /// Capacity and load, as reported in responses.
    pub capacity: Capacity,
    /// Whether it was listed before with an earlier start.
    pub(super) has_former_life: bool,
    /// False while all sources that this node has for the replica carry no weight copies.
    pub(super) knows_copies: bool,
}

impl ReplicaEntry {
    pub(super) fn new(listing: ReplicaListing) -> Self {
        ReplicaEntry {
            listing,
            arriving: Vec::new(),
            health: ReplicaHealth::default(),
            signals: KnownSignals::default(),
            from_orderer: false,
            absent: Vec::new(),
            own_sends: 0,
            own_tokens: 0,
            send_times: SendTimes::default(),
            capacity: Capacity::default(),
            has_former_life: false,
            knows_copies: true,
        }
    }

    /// Returns the entry after the replica restarted under its identity. Carries over this node's
    /// own requests, as each of them still ends once, and signals unless they are of an earlier
    /// incarnation.
    pub(super) fn started_again(&self, listing: ReplicaListing) -> Self {
        ReplicaEntry {
            own_sends: self.own_sends,
            own_tokens: self.own_tokens,
            send_times: self.send_times.clone(),
            signals: self.signals.of_incarnation(listing.started_ms),
            has_former_life: true,
            ..ReplicaEntry::new(listing)
        }
    }

    /// Returns whether the replica started again under its id, as far as this node knows.
    pub fn has_former_life(&self) -> bool {
        self.has_former_life
    }

    /// Returns what is known of the replica's holdings.
    pub fn placement(&self) -> Placement {
        Placement {
            replica: self.listing.id.clone(),
            started_ms: self.listing.started_ms,
            usable: self.listing.holdings.clone(),
            arriving: self.arriving.clone(),
            includes_copies: false,
        }
    }

    /// Returns whether anything is known of its holdings.
    pub(super) fn has_known_holdings(&self) -> bool {
        self.from_orderer || !self.listing.holdings.models.is_empty()
    }

    /// Returns whether the holdings come from an orderer's placement.
    pub fn has_orderer_placement(&self) -> bool {
        self.from_orderer
    }

    /// Returns the replica's state by its listing and its own signals.
    pub fn state(&self) -> ReplicaState {
        if self.signals.is_leaving() {
            ReplicaState::Draining
        } else {
            self.listing.state
        }
    }

    /// Returns whether the replica is not about to leave.
    pub fn is_ready(&self) -> bool {
        self.state() == ReplicaState::Ready
    }

    /// Returns when the replica's cooldown for this node ends, if one is active.
    pub fn cooldown_until(&self, now: Moment) -> Option<Moment> {
        self.signals.cooldown_until(now)
    }

    /// Returns whether it limits the requests that it accepts from all nodes together.
    pub fn is_limited(&self) -> bool {
        self.signals.limit().is_some()
    }

    /// Returns whether it accepts new requests from this node now.
    pub fn takes_requests(&self, now: Moment) -> bool {
        self.is_ready() && self.cooldown_until(now).is_none()
    }

    /// Returns whether this node could connect to it when it last tried, as far as it did recently.
    pub fn is_in_reach(&self, now: Moment) -> bool {
        !self.health.is_unreachable(now)
    }

    /// Returns when a model that it is loading should be ready there.
    pub(super) fn arrival(&self, model: &str) -> Option<Moment> {
        let arriving = self.arriving.iter();
        let arriving = arriving.filter(|arrival| &*arrival.model == model);
        arriving.map(|arrival| arrival.ready_at).min()
    }

    /// Returns whether the model and adapter are usable there, as far as is known. It may be out of
    /// reach all the same.
    pub fn serves(&self, model: &str, adapter: Option<&str>) -> bool {
        let denied = self.absent.iter().any(|(absent_model, absent_adapter)| {
            &**absent_model == model && (absent_adapter.is_none() || absent_adapter.as_deref() == adapter)
        });
        !denied && self.listing.holdings.serves(model, adapter)
    }

    /// Returns the models that it holds or is about to.
    pub fn models(&self) -> impl Iterator<Item = &ModelName> {
        let held = self.listing.holdings.models.iter().map(|held| &held.model);
        held.chain(self.arriving.iter().map(|arrival| &arrival.model))
    }

    /// Returns the models of which it stores a copy outside its accelerator.
    pub(super) fn copies(&self) -> impl Iterator<Item = &ModelName> {
        let copies = &self.listing.holdings.copies;
        copies.in_memory.iter().chain(&copies.on_disk)
    }

    /// Returns the estimated number of requests there, of this node and of others.
    pub fn load(&self, now: Moment) -> f64 {
        f64::from(self.own_sends) + self.capacity.others(now)
    }

    /// Returns the estimated number of requests that are likely to be running still, for services
    /// that are routed by capacity.
    pub fn running_load(&self, now: Moment) -> f64 {
        f64::from(self.own_sends) + self.capacity.others_running(now)
    }

    /// Returns the number of requests that it runs concurrently.
    pub fn slots(&self) -> u32 {
        self.capacity.slots().unwrap_or(self.listing.slots).max(1)
    }

    /// Returns how many of this node's requests had started when the replica reported its load
    /// at `at`.
    pub(super) fn own_sends_at(&self, at: Moment) -> u32 {
        self.own_sends.saturating_sub(self.send_times.count_after(at))
    }

    /// Returns how many of this node's requests there started after `at`, as far as is recorded.
    pub fn own_sends_since(&self, at: Moment) -> u32 {
        self.send_times.count_after(at)
    }

    /// Returns the prompt tokens of this node's requests there that have no first token yet.
    pub fn own_tokens(&self) -> u64 {
        self.own_tokens
    }
}
