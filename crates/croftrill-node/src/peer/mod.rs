//! Messages between nodes: binary, in length-delimited frames.

mod configuration;
mod connect;
mod directory_update;
mod loads;
mod versions;

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

pub use self::configuration::{WireBase, WireConfiguration, WireContent, WireHeldVersion};
pub use self::connect::{WireConnect, WireConnectAnswer};
pub(crate) use self::directory_update::in_chunks;
pub use self::directory_update::{
    Audience, DirectoryUpdate, FullViewChunk, RevisedChange, WireChange, WireListing,
};
use self::directory_update::{MAX_ROW_BYTES, NAME_PREFIX_BYTES};
pub(crate) use self::loads::WIRE_LOAD_BYTES;
pub use self::loads::{WireCount, WireLoad, WireLoads};
pub use self::versions::{
    WireLifetimeVersions, WireReplicaVersion, WireServiceVersions, WireStreamRecord, WireStreamVersion,
    WireStreamVersionAnswer, WireVersions,
};
use crate::crash_wire::{WireCrashReport, WirePartReport};
use crate::wire::WireList;

/// A service, a model or an adapter, on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Hash, SerBin, DeBin)]
pub struct WireModel {
    /// The service.
    pub service: String,
    /// The model; empty for none.
    pub model: String,
    /// The adapter; empty for none.
    pub adapter: String,
}

impl WireModel {
    /// Converts a key into its wire form.
    pub fn from_key(key: &ModelKey) -> Self {
        WireModel {
            service: key.service.to_string(),
            model: key.model.to_string(),
            adapter: key.adapter.as_deref().unwrap_or_default().to_string(),
        }
    }

    /// Converts an interest into its wire form.
    pub fn from_interest(interest: &Interest) -> Self {
        WireModel {
            service: interest.service.to_string(),
            model: interest.model.as_deref().unwrap_or_default().to_string(),
            adapter: interest.adapter.as_deref().unwrap_or_default().to_string(),
        }
    }

    /// Returns the interest.
    pub fn to_interest(&self) -> Interest {
        Interest {
            service: self.service.as_str().into(),
            model: (!self.model.is_empty()).then(|| self.model.as_str().into()),
            adapter: (!self.adapter.is_empty()).then(|| self.adapter.as_str().into()),
        }
    }

    /// Returns the key.
    pub fn to_key(&self) -> ModelKey {
        ModelKey {
            service: self.service.as_str().into(),
            model: self.model.as_str().into(),
            adapter: (!self.adapter.is_empty()).then(|| self.adapter.as_str().into()),
        }
    }
}

/// Demand for one model since the last message.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct DemandItem {
    /// The requested model.
    pub model: WireModel,
    /// Number of requests.
    pub requests: u32,
    /// Cost of the requests, in tokens.
    pub tokens: u64,
    /// Sum of the times for which the requests' callers wait, in milliseconds.
    pub caller_times_ms: u64,
    /// Number of requests, of this or earlier messages, that a holder served too late.
    pub late: u32,
}

impl DemandItem {
    /// Returns the demand as the orderer counts it.
    pub fn sample(&self) -> DemandSample {
        DemandSample {
            requests: f64::from(self.requests),
            tokens: self.tokens as f64,
            late: f64::from(self.late),
            caller_time: Duration::from_millis(self.caller_times_ms / u64::from(self.requests.max(1))),
        }
    }
}

/// A message to an orderer, a relay or, as the first one of a link, a keeper.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum ToOrderer {
    /// First message on a link to an orderer: the index of its shard.
    Listen(u8),
    /// Demand of the requests that arrived at a node.
    Demand(WireList<DemandItem>),
    /// Requests wait for a model that no replica holds.
    Waiting(WireModel),
    /// First message on a link to a relay, through which the node follows all shards.
    Follow(WireFollow),
    /// To a relay that publishes by interest: interests that the node's requests add.
    AddInterests(WireList<WireModel>),
    /// To a relay that publishes by interest: interests that the requests no longer need.
    RemoveInterests(WireList<WireModel>),
    /// Requests the store's changes after this revision.
    Replay(u64),
    /// A crash report that the sender cannot write to the store itself.
    Crashes(WireCrashReport),
    /// First message on a link to a keeper of quotas or limits: the index of the partition.
    ListenToKeeper(u8),
    /// Loads that replicas reported. An empty message only subscribes the sender to load
    /// updates. Sent only to nodes whose entries say that they understand it.
    Loads(WireLoads),
    /// First message on a link for one connection to a replica. Sent only to nodes whose entries
    /// say that they understand it.
    Connect(WireConnect),
    /// Spreads the newest configuration; as the first message of a link, its only purpose. Sent only
    /// to nodes whose entries say that they understand it.
    Configuration(WireConfiguration),
    /// First message on a link to a keeper of streams' versions. Sent only to nodes whose entries say
    /// that they understand it.
    StreamVersion(WireStreamVersion),
    /// Requests wait for a model at replicas of one software version, none of which holds it. Sent
    /// only to nodes whose entries say that they understand it.
    WaitingAt(WireVersionWait),
    /// The parts of prompts of a crash report that the sender cannot write to the store itself. Sent
    /// only to nodes whose entries say that they understand it.
    CrashParts(WirePartReport),
}

/// A model that requests wait for at replicas of one software version.
#[derive(Debug, Clone, PartialEq, Eq, Hash, SerBin, DeBin)]
pub struct WireVersionWait {
    /// The model.
    pub model: WireModel,
    /// The version.
    pub version: String,
}

/// A node that starts to follow a relay, with the state of its view and its interests.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireFollow {
    /// Name of the node.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// Revision of the store that its view reaches; 0 if it has no view.
    pub reached: u64,
    /// True if it knows all replicas.
    pub knows_all: bool,
    /// Interests of its recent requests.
    pub interests: WireList<WireModel>,
}

/// A model that a replica is loading, on the wire.
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
    /// The loaded adapters.
    pub adapters: WireList<String>,
}

/// The state of one replica that the orderer publishes, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WirePlacement {
    /// The replica.
    pub replica: String,
    /// When the incarnation started, in Unix milliseconds.
    pub started_ms: Option<u64>,
    /// Number of orders that it has accepted.
    pub sequence: u64,
    /// Models that requests may use.
    pub models: WireList<WireHeldModel>,
    /// Models that are being loaded.
    pub arriving: WireList<WireArrival>,
    /// Copies of weights, if they changed. An evicted model leaves one, which determines how
    /// long requests for it wait.
    pub copies: Option<WireCopies>,
}

/// Copies of weights that a replica does not hold, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireCopies {
    /// Models with a copy in main memory.
    pub in_memory: WireList<String>,
    /// Models with a copy on disk.
    pub on_disk: WireList<String>,
}

/// A replica to which a successor must not send orders yet, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireHold {
    /// The replica.
    pub replica: String,
    /// Time for which no other node may send orders to it, in milliseconds.
    pub remaining_ms: u32,
}

/// A load from the weight store that still counts against the ceiling, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WirePastLoad {
    /// The service.
    pub service: String,
    /// How long ago the load started, in milliseconds.
    pub age_ms: u32,
}

/// The state that an orderer hands over to its successor, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireResignation {
    /// Fencing token of the term.
    pub fencing_token: u64,
    /// Store revision of the record that authorized the term's orders.
    pub record_revision: u64,
    /// Time for which no other node may send orders to any replica, in milliseconds.
    pub hold_all_ms: u32,
    /// Replicas to which others must not send orders yet.
    pub holds: WireList<WireHold>,
    /// Loads that still count.
    pub loads: WireList<WirePastLoad>,
}

impl WireResignation {
    /// Converts a resignation into its wire form. Remaining times are rounded up and ages down,
    /// so that a successor waits long enough.
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
            hold_all_ms: hand_over.hold_all.as_millis() as u32 + 1,
            holds: holds.collect(),
            loads: loads.collect(),
        }
    }

    /// Returns the resignation.
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
                hold_all: Duration::from_millis(u64::from(self.hold_all_ms)),
                holds: holds.collect(),
                loads: loads.collect(),
            },
        }
    }
}

/// A message from an orderer or a relay.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum FromOrderer {
    /// State of some replicas.
    Placements(WireList<WirePlacement>),
    /// Changes of the store.
    Directory(DirectoryUpdate),
    /// The orderer is alive and holds the lease.
    Alive,
    /// The orderer's term ended.
    Resigned(WireResignation),
    /// From a relay: for each shard, whether the orderer is reachable.
    Linked(WireList<bool>),
    /// First message from a relay: which replicas it publishes.
    Scope(WireScope),
    /// From a relay that publishes by interest: replicas that the node must know.
    Replicas(WireReplicas),
    /// From a relay that publishes by interest: replicas that it no longer publishes.
    Forgotten(WireList<String>),
    /// From a relay: the term of an orderer ended.
    RelayedResignation(RelayedResignation),
    /// The sender's full view of the store, as changes from an empty view.
    FullView(FullViewChunk),
    /// The sender has neither the requested changes nor a full view.
    HistoryUnavailable,
    /// Loads that replicas reported. Sent only on links that received such a message.
    Loads(WireLoads),
    /// Spreads the newest configuration. Sent only on links that received such a message.
    Configuration(WireConfiguration),
    /// Software versions of replicas. Sent only on links whose peer exchanges configurations.
    Versions(WireVersions),
}

/// Which replicas a relay publishes to a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub enum WireScope {
    /// All replicas.
    All,
    /// Replicas that fit the follower's interests.
    ByInterest,
}

/// A replica with its placement, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireReplica {
    /// Listing of the replica.
    pub listing: WireListing,
    /// Placement of the replica, if known.
    pub placement: Option<WirePlacement>,
}

/// Minimum time in which any replica could load a model, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireReload {
    /// The model.
    pub model: WireModel,
    /// The time, in milliseconds.
    pub reload_ms: u32,
}

/// Replicas that a follower must know, and the interests that they answer.
#[derive(Debug, Clone, PartialEq, Default, SerBin, DeBin)]
pub struct WireReplicas {
    /// True if the follower must drop all other replicas.
    pub replaces: bool,
    /// Revision of the store that the sender's view reaches.
    pub reached: u64,
    /// The replicas.
    pub replicas: WireList<WireReplica>,
    /// Interests that are answered by these and previously sent replicas.
    pub answers: WireList<WireModel>,
    /// Load times of models, where they changed.
    pub reloads: WireList<WireReload>,
}

/// A resignation that a relay passes on, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct RelayedResignation {
    /// Index of the orderer's shard.
    pub shard: u8,
    /// Peer address of the orderer.
    pub orderer: String,
    /// The resignation.
    pub resignation: WireResignation,
}

impl FromOrderer {
    /// Encodes the message.
    pub fn encode(&self) -> Bytes {
        Bytes::from(self.serialize_bin())
    }

    /// Encodes messages with these placements.
    pub fn encode_placements(placements: &[Placement], now: Moment) -> Vec<Bytes> {
        let wire = placements
            .iter()
            .map(|placement| WirePlacement::from_placement(placement, now));
        let chunks = WirePlacement::in_chunks(wire.collect());
        let messages = chunks
            .into_iter()
            .map(|chunk| FromOrderer::Placements(chunk.into()));
        messages.map(|message| message.encode()).collect()
    }
}

impl WireReplica {
    /// Returns the approximate size in a message.
    pub fn size_bytes(&self) -> usize {
        let placement = self.placement.as_ref().map_or(0, WirePlacement::size_bytes);
        self.listing.name_bytes() + MAX_ROW_BYTES + placement
    }
}

fn strings(names: &[ModelName]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

fn names(strings: &[String]) -> Vec<ModelName> {
    strings.iter().map(|name| name.as_str().into()).collect()
}

impl WirePlacement {
    /// Splits placements into chunks that fit into messages.
    pub fn in_chunks(placements: Vec<WirePlacement>) -> Vec<Vec<WirePlacement>> {
        in_chunks(placements, WirePlacement::size_bytes, |_, _| true)
    }

    /// Returns the approximate size in a message.
    pub fn size_bytes(&self) -> usize {
        let held = self.models.iter().map(|held| {
            let adapters = held
                .adapters
                .iter()
                .map(|adapter| adapter.len() + NAME_PREFIX_BYTES);
            held.model.len() + 2 * NAME_PREFIX_BYTES + adapters.sum::<usize>()
        });
        let arriving = self
            .arriving
            .iter()
            .map(|arrival| arrival.model.len() + 2 * NAME_PREFIX_BYTES);
        let copies = self
            .copies
            .iter()
            .flat_map(|copies| copies.in_memory.iter().chain(&copies.on_disk));
        let copies = copies.map(|model| model.len() + NAME_PREFIX_BYTES);
        let names: usize = held.chain(arriving).chain(copies).sum();
        self.replica.len() + names + MAX_ROW_BYTES
    }

    /// Converts a placement into its wire form.
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

    /// Returns the placement.
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

/// Demand for one model that has not been sent yet.
#[derive(Debug, Default)]
struct DemandCounts {
    requests: u32,
    tokens: u64,
    caller_times_ms: u64,
    late: u32,
}

/// Demand that has not been sent yet.
#[derive(Debug, Default)]
pub struct DemandBatch {
    items: BTreeMap<ModelKey, DemandCounts>,
}

impl DemandBatch {
    /// Counts a request, its cost, and the time for which its caller waits.
    pub fn add(&mut self, key: ModelKey, tokens: u64, caller_time: Duration) {
        let counts = self.items.entry(key).or_default();
        counts.requests += 1;
        counts.tokens += tokens;
        counts.caller_times_ms += caller_time.as_millis() as u64;
    }

    /// Counts a request that a replica holding its model served too late.
    pub fn add_late(&mut self, key: ModelKey) {
        self.items.entry(key).or_default().late += 1;
    }

    /// Adds the demand that another node counted.
    pub fn merge(&mut self, item: &DemandItem) {
        let counts = self.items.entry(item.model.to_key()).or_default();
        counts.requests += item.requests;
        counts.tokens += item.tokens;
        counts.caller_times_ms += item.caller_times_ms;
        counts.late += item.late;
    }

    /// Takes the counted demand as a message, or `None` if there is none.
    pub fn take(&mut self) -> Option<ToOrderer> {
        if self.items.is_empty() {
            return None;
        }
        let items = std::mem::take(&mut self.items)
            .into_iter()
            .map(|(key, counts)| DemandItem {
                model: WireModel::from_key(&key),
                requests: counts.requests,
                tokens: counts.tokens,
                caller_times_ms: counts.caller_times_ms,
                late: counts.late,
            });
        Some(ToOrderer::Demand(items.collect()))
    }
}
