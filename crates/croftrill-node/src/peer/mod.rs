//! Messages between nodes: binary, in frames with a length.

mod loads;
mod news;

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::catalog::ModelName;
use croftrill_scheduler::demand::{DemandSample, ModelKey};
use croftrill_scheduler::hand_over::{HandOver, Hold, PastLoad, Resignation};
use croftrill_scheduler::interest::Interest;
use croftrill_scheduler::replica::{HeldModel, Holdings, WeightCopies};
use croftrill_scheduler::replica_table::{Arrival, Placement};
use croftrill_scheduler::time::Moment;
use nanoserde::{DeBin, SerBin};

pub(crate) use self::loads::WIRE_LOAD_BYTES;
pub use self::loads::{WireCount, WireLoad, WireLoads};
pub(crate) use self::news::in_parts;
pub use self::news::{DirectoryNews, RevisedChange, WholePart, WireChange, WireListing};
use self::news::{NAME_BYTES, ROW_BYTES};
use crate::crash_wire::WireCrashReport;
use crate::wire::WireList;

/// A service, a model or an adapter, on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Hash, SerBin, DeBin)]
pub struct WireModel {
    /// Service.
    pub service: String,
    /// Model; empty for none.
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

    /// The message form of an interest.
    pub fn from_interest(interest: &Interest) -> Self {
        WireModel {
            service: interest.service.to_string(),
            model: interest.model.as_deref().unwrap_or_default().to_string(),
            adapter: interest.adapter.as_deref().unwrap_or_default().to_string(),
        }
    }

    /// The interest.
    pub fn to_interest(&self) -> Interest {
        Interest {
            service: self.service.as_str().into(),
            model: (!self.model.is_empty()).then(|| self.model.as_str().into()),
            adapter: (!self.adapter.is_empty()).then(|| self.adapter.as_str().into()),
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
    pub fn asked(&self) -> DemandSample {
        DemandSample {
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
    Demand(WireList<DemandItem>),
    /// Requests wait for something that is not held.
    Waiting(WireModel),
    /// First of all, on a link to a relay: the node follows all shards there.
    Follow(WireFollow),
    /// To a relay that tells by interests: what the node's requests ask for, too.
    Want(WireList<WireModel>),
    /// The same: what they have not asked for for long.
    Forget(WireList<WireModel>),
    /// Wanted: the store's changes after this revision.
    Replay(u64),
    /// A report that the sender cannot write to the store itself.
    Crashes(WireCrashReport),
    /// First of all, on a link to a keeper of quotas: the number of their part.
    AskQuotas(u8),
    /// What replicas told of their loads; empty: whoever sends it listens to such news.
    /// Only to nodes whose entries say that they understand it.
    Loads(WireLoads),
}

/// Who begins to follow a relay, and what it knows and wants.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireFollow {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Revision of the store that its view reaches; 0: it has none.
    pub reached: u64,
    /// True if it knows all replicas.
    pub knows_all: bool,
    /// What its requests asked for lately.
    pub interests: WireList<WireModel>,
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
    pub adapters: WireList<String>,
}

/// What the orderer tells of one replica, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WirePlacement {
    /// The replica.
    pub replica: String,
    /// When the incarnation that is meant started, in Unix milliseconds.
    pub started_ms: Option<u64>,
    /// Orders that it has taken.
    pub sequence: u64,
    /// What requests may rely on.
    pub models: WireList<WireHeldModel>,
    /// What is on its way.
    pub arriving: WireList<WireArrival>,
    /// Copies of weights, where they changed. A model that makes way leaves one, which
    /// decides how long whoever asks for it has to wait.
    pub copies: Option<WireCopies>,
}

/// Copies of weights that a replica does not hold, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireCopies {
    /// In its main memory.
    pub in_memory: WireList<String>,
    /// On its disk.
    pub on_disk: WireList<String>,
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
    pub holds: WireList<WireHold>,
    /// Loads that count still.
    pub loads: WireList<WirePastLoad>,
}

impl WireResignation {
    /// The message form. Times are rounded to the safe side.
    pub fn from_resignation(resignation: &Resignation) -> Self {
        let hand_over = &resignation.hand_over;
        let holds = hand_over.holds.iter().map(|hold| WireHold {
            replica: hold.replica.to_string(),
            remaining_ms: hold.remaining.as_millis() as u32 + 1,
        });
        let loads = hand_over.loads.iter().map(|load| WirePastLoad {
            service: load.service.to_string(),
            age_ms: load.age.as_millis() as u32,
        });
        WireResignation {
            fencing_token: resignation.fencing_token,
            record_revision: resignation.record_revision,
            everywhere_ms: hand_over.hold_all.as_millis() as u32 + 1,
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
            hand_over: HandOver {
                hold_all: Duration::from_millis(u64::from(self.everywhere_ms)),
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
    Placements(WireList<WirePlacement>),
    /// What it learned of the store.
    Directory(DirectoryNews),
    /// It is alive and holds the lease.
    Alive,
    /// Its term is over.
    Resigned(WireResignation),
    /// From a relay: which shards' orderers it hears.
    Linked(WireList<bool>),
    /// From a relay, first of all: how much of the replicas it tells.
    Scope(WireScope),
    /// From a relay that tells by interests: replicas that the node must know.
    Replicas(WireReplicas),
    /// The same: replicas that it is not told of any more.
    Forgotten(WireList<String>),
    /// From a relay: the term of an orderer is over.
    RelayedResignation(RelayedResignation),
    /// All that the sender knows of the store, as changes from nothing.
    Whole(WholePart),
    /// The changes that were asked for are not known, nor is the whole.
    HistoryGone,
    /// What replicas told of their loads. Only on links on which such news came.
    Loads(WireLoads),
}

/// How much of the replicas a relay tells its followers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub enum WireScope {
    /// All of them.
    All,
    /// Those that they ask for.
    ByInterest,
}

/// A replica with what it holds, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireReplica {
    /// As listed.
    pub listing: WireListing,
    /// What it holds, if that is known.
    pub placement: Option<WirePlacement>,
}

/// Least time in which some replica could load a model, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireReload {
    /// The model.
    pub model: WireModel,
    /// That time, in milliseconds.
    pub reload_ms: u32,
}

/// Replicas that a follower must know, and what they answer.
#[derive(Debug, Clone, PartialEq, Default, SerBin, DeBin)]
pub struct WireReplicas {
    /// True if it knows no others from now on.
    pub replaces: bool,
    /// Revision of the store that the sender's view reached.
    pub reached: u64,
    /// The replicas.
    pub replicas: WireList<WireReplica>,
    /// Interests that are answered by these and what was told before.
    pub answers: WireList<WireModel>,
    /// Load times of models that changed.
    pub reloads: WireList<WireReload>,
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
    /// The message, encoded.
    pub fn encode(&self) -> Bytes {
        Bytes::from(self.serialize_bin())
    }

    /// Messages with these placements, encoded.
    pub fn encode_placements(placements: &[Placement], now: Moment) -> Vec<Bytes> {
        let wire = placements
            .iter()
            .map(|placement| WirePlacement::from_placement(placement, now));
        let parts = WirePlacement::in_parts(wire.collect());
        let messages = parts.into_iter().map(|part| FromOrderer::Placements(part.into()));
        messages.map(|message| message.encode()).collect()
    }
}

impl WireReplica {
    /// Bytes that it takes in a message, about.
    pub fn size_bytes(&self) -> usize {
        let placement = self.placement.as_ref().map_or(0, WirePlacement::size_bytes);
        self.listing.name_bytes() + ROW_BYTES + placement
    }
}

fn strings(names: &[ModelName]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

fn names(strings: &[String]) -> Vec<ModelName> {
    strings.iter().map(|name| name.as_str().into()).collect()
}

impl WirePlacement {
    /// Placements in parts that fit into messages.
    pub fn in_parts(placements: Vec<WirePlacement>) -> Vec<Vec<WirePlacement>> {
        in_parts(placements, WirePlacement::size_bytes, |_, _| true)
    }

    /// Bytes that it takes in a message, about.
    pub fn size_bytes(&self) -> usize {
        let held = self.models.iter().map(|held| {
            let adapters = held.adapters.iter().map(|adapter| adapter.len() + NAME_BYTES);
            held.model.len() + 2 * NAME_BYTES + adapters.sum::<usize>()
        });
        let arriving = self
            .arriving
            .iter()
            .map(|arrival| arrival.model.len() + 2 * NAME_BYTES);
        let copies = self
            .copies
            .iter()
            .flat_map(|copies| copies.in_memory.iter().chain(&copies.on_disk));
        let copies = copies.map(|model| model.len() + NAME_BYTES);
        let names: usize = held.chain(arriving).chain(copies).sum();
        self.replica.len() + names + ROW_BYTES
    }

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
            started_ms: placement.started_ms,
            sequence: placement.usable.sequence,
            models: models.collect(),
            arriving: arriving.collect(),
            copies: placement.includes_copies.then(|| WireCopies {
                in_memory: strings(&placement.usable.copies.in_memory).into(),
                on_disk: strings(&placement.usable.copies.on_disk).into(),
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
        let includes_copies = copies.is_some();
        let usable = Holdings {
            sequence: self.sequence,
            models: models.collect(),
            copies: copies.unwrap_or_default(),
        };
        Placement {
            replica: self.replica.as_str().into(),
            started_ms: self.started_ms,
            usable,
            arriving: arriving.collect(),
            includes_copies,
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
