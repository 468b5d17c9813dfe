//! Messages between nodes: binary, in frames with a length.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::catalog::ModelName;
use croftrill_scheduler::demand::{Asked, ModelKey};
use croftrill_scheduler::hand_over::{Hold, Legacy, PastLoad, Resignation};
use croftrill_scheduler::replica::{HeldModel, Holdings, ReplicaListing, ReplicaState, WeightCopies};
use croftrill_scheduler::replica_table::{Arrival, Placement};
use croftrill_scheduler::time::Moment;
use nanoserde::{DeBin, SerBin};

use crate::crash_wire::WireCrashReport;
use crate::tree::MOST_NEWS_BYTES;

/// A model or adapter of a service, on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Hash, SerBin, DeBin)]
pub struct WireModel {
    /// Service.
    pub service: String,
    /// Model.
    pub model: String,
    /// Adapter; empty for none.
    pub adapter: String,
}

impl WireModel {
    /// The message form of a key.
    pub fn from_key(key: &ModelKey) -> Self {
        WireModel {
            service: key.service.to_string(),
            model: key.model.to_string(),
            adapter: key.adapter.as_deref().unwrap_or_default().to_string(),
        }
    }

    /// The key.
    pub fn to_key(&self) -> ModelKey {
        ModelKey {
            service: self.service.as_str().into(),
            model: self.model.as_str().into(),
            adapter: (!self.adapter.is_empty()).then(|| self.adapter.as_str().into()),
        }
    }
}

/// Requests for one model since the last message.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct DemandItem {
    /// What was asked for.
    pub model: WireModel,
    /// Requests.
    pub requests: u32,
    /// Their cost, in tokens.
    pub tokens: u64,
    /// Sum of their objectives, in milliseconds.
    pub objectives_ms: u64,
    /// Requests that a holder served too late: of these, or of earlier ones.
    pub late: u32,
}

impl DemandItem {
    /// What was asked for, as the orderer counts it.
    pub fn asked(&self) -> Asked {
        Asked {
            requests: f64::from(self.requests),
            tokens: self.tokens as f64,
            late: f64::from(self.late),
            objective: Duration::from_millis(self.objectives_ms / u64::from(self.requests.max(1))),
        }
    }
}

/// A message to the orderer.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum ToOrderer {
    /// First of all: the shard, by its number, to whose orderer this link goes.
    Listen(u8),
    /// Requests that arrived at a node.
    Demand(Vec<DemandItem>),
    /// Requests wait for something that is not held.
    Waiting(WireModel),
    /// First of all, on a link to a relay: the node follows all shards there.
    Follow,
    /// Wanted: the store's changes after this revision.
    Replay(u64),
    /// A report that the sender cannot write to the store itself.
    Crashes(WireCrashReport),
    /// First of all, on a link to a keeper of quotas: the number of their part.
    AskQuotas(u8),
}

/// A model on its way, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireArrival {
    /// The model.
    pub model: String,
    /// Milliseconds until it should be ready.
    pub ready_in_ms: u32,
}

/// A model with its adapters, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireHeldModel {
    /// The model.
    pub model: String,
    /// Its adapters that are present.
    pub adapters: Vec<String>,
}

/// What the orderer tells of one replica, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WirePlacement {
    /// The replica.
    pub replica: String,
    /// When the incarnation that is meant started, in Unix milliseconds.
    pub born_ms: Option<u64>,
    /// Orders that it has taken.
    pub sequence: u64,
    /// What requests may rely on.
    pub models: Vec<WireHeldModel>,
    /// What is on its way.
    pub arriving: Vec<WireArrival>,
    /// Copies of weights, where they changed. A model that makes way leaves one, which
    /// decides how long whoever asks for it has to wait.
    pub copies: Option<WireCopies>,
}

/// Copies of weights that a replica does not hold, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireCopies {
    /// In its main memory.
    pub in_memory: Vec<String>,
    /// On its disk.
    pub on_disk: Vec<String>,
}

/// A replica as the directory lists it, without what it holds: of that the
/// orderer tells by itself.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireListing {
    /// Identity of the incarnation.
    pub id: String,
    /// Its service.
    pub service: String,
    /// `IP:PORT`.
    pub address: String,
    /// Zone it runs in.
    pub zone: String,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// True if it is about to leave.
    pub is_draining: bool,
    /// Time it has left, if it is taken away at short notice, in milliseconds.
    pub leaves_in_ms: Option<u64>,
    /// When it started, in Unix milliseconds.
    pub born_ms: Option<u64>,
}

/// What became of one key of the store, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum WireChange {
    /// A replica was listed, or its listing changed.
    Replica(WireListing),
    /// An item was written.
    Written {
        /// Its key.
        key: String,
        /// Its value.
        value: Vec<u8>,
    },
    /// A key was removed.
    Removed {
        /// The key.
        key: String,
    },
}

/// A change of the store, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct RevisedChange {
    /// Store revision of the change.
    pub revision: u64,
    /// What it is.
    pub change: WireChange,
}

/// What the orderer relays of the store: the changes of a span of revisions, but
/// for those that tell the other nodes nothing.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct DirectoryNews {
    /// Revision after which the span begins.
    pub after: u64,
    /// Last revision that it covers.
    pub reached: u64,
    /// How long ago the store showed that this is everything, in milliseconds.
    pub proof_age_ms: u32,
    /// When it was sent, by the sender's steady clock, in milliseconds.
    pub sent_at_ms: u64,
    /// The changes, in order.
    pub changes: Vec<RevisedChange>,
}

/// A replica at which a successor must not order yet, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireHold {
    /// The replica.
    pub replica: String,
    /// Time for which no other machine may order there, in milliseconds.
    pub remaining_ms: u32,
}

/// A load from the weight store that counts still, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WirePastLoad {
    /// The service.
    pub service: String,
    /// How long ago it began, in milliseconds.
    pub age_ms: u32,
}

/// What an orderer leaves to its successor, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireResignation {
    /// Fencing token of the term.
    pub fencing_token: u64,
    /// Store revision of the record under which the term could order.
    pub record_revision: u64,
    /// Time for which no other machine may order anywhere, in milliseconds.
    pub everywhere_ms: u32,
    /// Replicas at which others must not order yet.
    pub holds: Vec<WireHold>,
    /// Loads that count still.
    pub loads: Vec<WirePastLoad>,
}

impl WireResignation {
    /// The message form. Times are rounded to the safe side.
    pub fn from_resignation(resignation: &Resignation) -> Self {
        let legacy = &resignation.legacy;
        let holds = legacy.holds.iter().map(|hold| WireHold {
            replica: hold.replica.to_string(),
            remaining_ms: hold.remaining.as_millis() as u32 + 1,
        });
        let loads = legacy.loads.iter().map(|load| WirePastLoad {
            service: load.service.to_string(),
            age_ms: load.age.as_millis() as u32,
        });
        WireResignation {
            fencing_token: resignation.fencing_token,
            record_revision: resignation.record_revision,
            everywhere_ms: legacy.everywhere.as_millis() as u32 + 1,
            holds: holds.collect(),
            loads: loads.collect(),
        }
    }

    /// The resignation.
    pub fn into_resignation(self) -> Resignation {
        let holds = self.holds.into_iter().map(|hold| Hold {
            replica: hold.replica.into(),
            remaining: Duration::from_millis(u64::from(hold.remaining_ms)),
        });
        let loads = self.loads.into_iter().map(|load| PastLoad {
            service: load.service.into(),
            age: Duration::from_millis(u64::from(load.age_ms)),
        });
        Resignation {
            fencing_token: self.fencing_token,
            record_revision: self.record_revision,
            legacy: Legacy {
                everywhere: Duration::from_millis(u64::from(self.everywhere_ms)),
                holds: holds.collect(),
                loads: loads.collect(),
            },
        }
    }
}

/// A message from the orderer.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum FromOrderer {
    /// What it knows of some replicas.
    Placements(Vec<WirePlacement>),
    /// What it learned of the store.
    Directory(DirectoryNews),
    /// It is alive and holds the lease.
    Alive,
    /// Its term is over.
    Resigned(WireResignation),
    /// From a relay: which shards' orderers it hears.
    Linked(Vec<bool>),
    /// From a relay: the term of an orderer is over.
    RelayedResignation(RelayedResignation),
    /// All that the sender knows of the store, as changes from nothing.
    Whole(DirectoryNews),
    /// The changes that were asked for are not known, nor is the whole.
    HistoryGone,
}

/// A resignation that a relay passes on, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct RelayedResignation {
    /// Number of the orderer's shard.
    pub shard: u8,
    /// Address of the orderer for other nodes.
    pub orderer: String,
    /// What it left.
    pub resignation: WireResignation,
}

impl FromOrderer {
    /// The message with placements, encoded.
    pub fn encode_placements(placements: &[Placement], now: Moment) -> Bytes {
        let wire = placements
            .iter()
            .map(|placement| WirePlacement::from_placement(placement, now));
        Bytes::from(FromOrderer::Placements(wire.collect()).serialize_bin())
    }
}

impl DirectoryNews {
    /// Sets when the view that the changes lead to was proven complete, and when
    /// the message leaves.
    pub fn stamp(&mut self, proven_at: Moment, now: Moment) {
        self.proof_age_ms = now.since(proven_at).as_millis() as u32;
        self.sent_at_ms = now.since(Moment::default()).as_millis() as u64;
    }

    /// Bytes that the changes take in a message, about.
    pub fn size_bytes(&self) -> usize {
        let changes = self.changes.iter();
        changes.map(|revised| revised.change.size_bytes()).sum()
    }

    /// Leaves out changes that are too large for one message: a span that begins
    /// where it ends is a gap to whoever has not got so far.
    pub fn limit(&mut self) {
        if self.size_bytes() > MOST_NEWS_BYTES {
            self.after = self.reached;
            self.changes.clear();
        }
    }
}

impl WireListing {
    /// The message form of a listing.
    pub fn from_listing(listing: &ReplicaListing) -> Self {
        WireListing {
            id: listing.id.to_string(),
            service: listing.service.to_string(),
            address: listing.address.to_string(),
            zone: listing.zone.to_string(),
            slots: listing.slots,
            is_draining: listing.state == ReplicaState::Draining,
            leaves_in_ms: listing.leaves_in.map(|left| left.as_millis() as u64),
            born_ms: listing.born_ms,
        }
    }

    /// The listing, with these holdings.
    pub fn into_listing(self, holdings: Holdings) -> ReplicaListing {
        let state = if self.is_draining {
            ReplicaState::Draining
        } else {
            ReplicaState::Ready
        };
        ReplicaListing {
            id: self.id.into(),
            service: self.service.into(),
            address: self.address.into(),
            zone: self.zone.into(),
            slots: self.slots,
            state,
            leaves_in: self.leaves_in_ms.map(Duration::from_millis),
            born_ms: self.born_ms,
            holdings,
        }
    }
}

impl WireChange {
    /// Bytes that it takes in a message, about.
    pub fn size_bytes(&self) -> usize {
        match self {
            WireChange::Replica(listing) => {
                listing.id.len() + listing.service.len() + listing.address.len() + listing.zone.len()
            }
            WireChange::Written { key, value } => key.len() + value.len(),
            WireChange::Removed { key } => key.len(),
        }
    }
}

fn strings(names: &[ModelName]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

fn names(strings: &[String]) -> Vec<ModelName> {
    strings.iter().map(|name| name.as_str().into()).collect()
}

impl WirePlacement {
    /// The message form of a placement.
    pub fn from_placement(placement: &Placement, now: Moment) -> Self {
        let models = placement.usable.models.iter().map(|held| WireHeldModel {
            model: held.model.to_string(),
            adapters: held.adapters.iter().map(ToString::to_string).collect(),
        });
        let arriving = placement.arriving.iter().map(|arrival| WireArrival {
            model: arrival.model.to_string(),
            ready_in_ms: arrival.ready_at.since(now).as_millis() as u32,
        });
        WirePlacement {
            replica: placement.replica.to_string(),
            born_ms: placement.born_ms,
            sequence: placement.usable.sequence,
            models: models.collect(),
            arriving: arriving.collect(),
            copies: placement.tells_copies.then(|| WireCopies {
                in_memory: strings(&placement.usable.copies.in_memory),
                on_disk: strings(&placement.usable.copies.on_disk),
            }),
        }
    }

    /// The placement.
    pub fn to_placement(&self, now: Moment) -> Placement {
        let models = self.models.iter().map(|held| HeldModel {
            model: held.model.as_str().into(),
            adapters: held
                .adapters
                .iter()
                .map(|adapter| adapter.as_str().into())
                .collect(),
        });
        let arriving = self.arriving.iter().map(|arrival| Arrival {
            model: arrival.model.as_str().into(),
            ready_at: now + Duration::from_millis(u64::from(arrival.ready_in_ms)),
        });
        let copies = self.copies.as_ref().map(|copies| WeightCopies {
            in_memory: names(&copies.in_memory),
            on_disk: names(&copies.on_disk),
        });
        let tells_copies = copies.is_some();
        let usable = Holdings {
            sequence: self.sequence,
            models: models.collect(),
            copies: copies.unwrap_or_default(),
        };
        Placement {
            replica: self.replica.as_str().into(),
            born_ms: self.born_ms,
            usable,
            arriving: arriving.collect(),
            tells_copies,
        }
    }
}

/// Requests for one model that were not told yet.
#[derive(Debug, Default)]
struct Counted {
    requests: u32,
    tokens: u64,
    objectives_ms: u64,
    late: u32,
}

/// Demand that has not been told yet.
#[derive(Debug, Default)]
pub struct DemandBatch {
    items: BTreeMap<ModelKey, Counted>,
}

impl DemandBatch {
    /// Counts a request, its cost, and the time within which it earns full credit.
    pub fn add(&mut self, key: ModelKey, tokens: u64, objective: Duration) {
        let counted = self.items.entry(key).or_default();
        counted.requests += 1;
        counted.tokens += tokens;
        counted.objectives_ms += objective.as_millis() as u64;
    }

    /// A request was served too late by a replica that held its model.
    pub fn add_late(&mut self, key: ModelKey) {
        self.items.entry(key).or_default().late += 1;
    }

    /// Adds what another node counted.
    pub fn merge(&mut self, item: &DemandItem) {
        let counted = self.items.entry(item.model.to_key()).or_default();
        counted.requests += item.requests;
        counted.tokens += item.tokens;
        counted.objectives_ms += item.objectives_ms;
        counted.late += item.late;
    }

    /// Takes what was counted, as a message; `None` if there is nothing.
    pub fn take(&mut self) -> Option<ToOrderer> {
        if self.items.is_empty() {
            return None;
        }
        let items = std::mem::take(&mut self.items)
            .into_iter()
            .map(|(key, counted)| DemandItem {
                model: WireModel::from_key(&key),
                requests: counted.requests,
                tokens: counted.tokens,
                objectives_ms: counted.objectives_ms,
                late: counted.late,
            });
        Some(ToOrderer::Demand(items.collect()))
    }
}
