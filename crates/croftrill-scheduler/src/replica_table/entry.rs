//! One replica as a node's table holds it.

use super::own_begun::OwnBegun;
use super::own_word::OwnWord;
use super::{Arrival, Placement};
use crate::capacity::Capacity;
use crate::catalog::{AdapterName, ModelName};
use crate::health::ReplicaHealth;
use crate::replica::{ReplicaListing, ReplicaState};
use crate::time::Moment;

/// One replica in the table.
#[derive(Debug, Clone)]
pub struct ReplicaEntry {
    /// The replica as listed; its holdings are the newest known.
    pub listing: ReplicaListing,
    /// Models on their way, as the orderer told.
    pub arriving: Vec<Arrival>,
    /// Health as answers showed it.
    pub health: ReplicaHealth,
    /// What it told this node of itself.
    pub(super) own_word: OwnWord,
    pub(super) from_orderer: bool,
    pub(super) absent: Vec<(ModelName, Option<AdapterName>)>,
    pub(super) own_sends: u32,
    pub(super) own_tokens: u64,
    /// When the last of this node's requests there began.
    pub(super) own_begun: OwnBegun,
    /// What it can do, as it told in answers.
    pub capacity: Capacity,
    /// False while this node has heard of it just by ways that tell nothing of copies.
    pub(super) knows_copies: bool,
}

impl ReplicaEntry {
    pub(super) fn new(listing: ReplicaListing) -> Self {
        ReplicaEntry {
            listing,
            arriving: Vec::new(),
            health: ReplicaHealth::default(),
            own_word: OwnWord::default(),
            from_orderer: false,
            absent: Vec::new(),
            own_sends: 0,
            own_tokens: 0,
            own_begun: OwnBegun::default(),
            capacity: Capacity::default(),
            knows_copies: true,
        }
    }

    /// The replica after it started again under its identity: just the requests that
    /// this node has there go on counting, as each of them ends once.
    pub(super) fn started_again(&self, listing: ReplicaListing) -> Self {
        ReplicaEntry {
            own_sends: self.own_sends,
            own_tokens: self.own_tokens,
            own_begun: self.own_begun.clone(),
            own_word: self.own_word.of_incarnation(listing.born_ms),
            ..ReplicaEntry::new(listing)
        }
    }

    /// What is known of what it holds.
    pub fn placement(&self) -> Placement {
        Placement {
            replica: self.listing.id.clone(),
            born_ms: self.listing.born_ms,
            usable: self.listing.holdings.clone(),
            arriving: self.arriving.clone(),
            tells_copies: false,
        }
    }

    /// True if it says more of what it holds than its listing does.
    pub(super) fn tells_holdings(&self) -> bool {
        self.from_orderer || !self.listing.holdings.models.is_empty()
    }

    /// True while its orderer's word on what it holds is known.
    pub fn is_told(&self) -> bool {
        self.from_orderer
    }

    /// Whether it leaves, by its listing or by its own word.
    pub fn state(&self) -> ReplicaState {
        if self.own_word.is_leaving() {
            ReplicaState::Draining
        } else {
            self.listing.state
        }
    }

    /// True if the replica does not leave.
    pub fn is_ready(&self) -> bool {
        self.state() == ReplicaState::Ready
    }

    /// Until when it wants nothing from this node, if so.
    pub fn rests_until(&self, now: Moment) -> Option<Moment> {
        self.own_word.rests_until(now)
    }

    /// True if it takes only so many requests from all nodes together.
    pub fn is_limited(&self) -> bool {
        self.own_word.limit().is_some()
    }

    /// True if it takes new requests from this node now.
    pub fn takes_requests(&self, now: Moment) -> bool {
        self.is_ready() && self.rests_until(now).is_none()
    }

    /// True if the model and adapter are usable there, as far as is known.
    pub fn serves(&self, model: &str, adapter: Option<&str>) -> bool {
        let denied = self.absent.iter().any(|(absent_model, absent_adapter)| {
            &**absent_model == model && (absent_adapter.is_none() || absent_adapter.as_deref() == adapter)
        });
        !denied && self.listing.holdings.serves(model, adapter)
    }

    /// Models that it holds or awaits.
    pub fn models(&self) -> impl Iterator<Item = &ModelName> {
        let held = self.listing.holdings.models.iter().map(|held| &held.model);
        held.chain(self.arriving.iter().map(|arrival| &arrival.model))
    }

    /// Models of which it keeps a copy outside its accelerator.
    pub(super) fn copies(&self) -> impl Iterator<Item = &ModelName> {
        let copies = &self.listing.holdings.copies;
        copies.in_memory.iter().chain(&copies.on_disk)
    }

    /// Requests believed to be there: this node's own and the others'.
    pub fn load(&self, now: Moment) -> f64 {
        f64::from(self.own_sends) + self.capacity.others(now)
    }

    /// The same as far as they are likely to run still, by capacity.
    pub fn running_load(&self, now: Moment) -> f64 {
        f64::from(self.own_sends) + self.capacity.others_running(now)
    }

    /// Requests that it runs at the same time.
    pub fn slots(&self) -> u32 {
        self.capacity.slots().unwrap_or(self.listing.slots).max(1)
    }

    /// Own requests that were there already when the replica told its load at `at`.
    pub(super) fn own_sends_at(&self, at: Moment) -> u32 {
        self.own_sends.saturating_sub(self.own_begun.after(at))
    }

    /// Prompt tokens that this node's unanswered requests have there.
    pub fn own_tokens(&self) -> u64 {
        self.own_tokens
    }
}
