//! What a node needs of its surroundings, as traits with typed messages.
//!
//! An adapter implements them for a platform; tests implement them in memory.
//! All futures stay on the node's one thread, so none must be `Send`.
#![allow(async_fn_in_trait)]

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::capacity::ReplicaLoad;
use croftrill_scheduler::catalog::{AdapterName, Configuration, ModelName};
use croftrill_scheduler::relay_log::retain_last_writes;
use croftrill_scheduler::replica::{
    Order, OrderOutcome, ReplicaId, ReplicaListing, ReplicaReport, ReplicaSignals,
};
use http::{request, response, HeaderMap};

use crate::connection::{Arrival, ExchangeError};
use crate::store_era::{FormerEra, StoreEra};

/// One item of the key-value store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Bytes,
    /// Store revision of its last change.
    pub revision: u64,
}

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreEvent {
    /// The item was written.
    Written(Item),
    /// A key was removed.
    Removed {
        /// The key.
        key: String,
        /// Store revision of its removal.
        revision: u64,
    },
}

impl StoreEvent {
    /// The key that changed.
    pub fn key(&self) -> &str {
        match self {
            StoreEvent::Written(item) => &item.key,
            StoreEvent::Removed { key, .. } => key,
        }
    }

    /// Store revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            StoreEvent::Written(item) => item.revision,
            StoreEvent::Removed { revision, .. } => *revision,
        }
    }
}

/// How new the answer to a read must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// All that was acknowledged before the call.
    Latest,
    /// Possibly seconds old; costs the store little.
    MayLag,
}

/// All items under a prefix.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The items.
    pub items: Vec<Item>,
    /// Revision from which a watch misses nothing.
    pub revision: u64,
}

impl Snapshot {
    /// Size of all keys and values, in bytes.
    pub fn size_bytes(&self) -> u64 {
        let sizes = self.items.iter().map(|item| item.key.len() + item.value.len());
        sizes.sum::<usize>() as u64
    }
}

/// Changes since a revision.
#[derive(Debug, Clone, Default)]
pub struct Changes {
    /// The changes in order.
    pub events: Vec<StoreEvent>,
    /// Revision from which the next watch goes on.
    pub revision: u64,
}

impl Changes {
    /// Without writes that a later one of the same key replaces: what a node has
    /// to read, and to tell others, goes by what holds and not by how often it
    /// changed.
    pub fn without_replaced(mut self) -> Self {
        retain_last_writes(&mut self.events, |event| match event {
            StoreEvent::Written(item) => Some(&item.key),
            StoreEvent::Removed { .. } => None,
        });
        self
    }
}

/// One key's new value.
#[derive(Debug, Clone)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The new value.
    pub value: Bytes,
    /// Lease that the key goes with; 0: it stays.
    pub lease: u64,
}

/// A key and the revision at which it must stand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expectation {
    /// The key.
    pub key: String,
    /// Its expected revision; 0: it is absent.
    pub revision: u64,
}

/// Writes that are done all or not at all, and only if every condition holds.
#[derive(Debug, Clone)]
pub struct ConditionalPut {
    /// What must hold.
    pub conditions: Vec<Expectation>,
    /// What is written.
    pub writes: Vec<Write>,
}

/// What became of a conditional put.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// It was done, at this revision.
    Done {
        /// Revision of the change.
        revision: u64,
    },
    /// The condition did not hold.
    Rejected,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// It could not be reached; nothing was done.
    #[error("store cannot be reached")]
    Unreachable,
    /// No answer came; the call may have been done, or may be done later.
    #[error("no answer from the store")]
    NoAnswer,
    /// The store said that it did nothing.
    #[error("store is not available")]
    Unavailable,
    /// Too many calls.
    #[error("store is throttling")]
    Throttled,
    /// The asked-for history is gone; read everything again.
    #[error("history is gone")]
    HistoryGone,
    /// The asked-for history is longer than wanted; read everything again.
    #[error("history is too long")]
    HistoryTooLong,
    /// The lease is over.
    #[error("no such lease")]
    NoSuchLease,
    /// The answer could not be understood.
    #[error("unexpected answer: {0}")]
    Protocol(String),
}

impl From<FormerEra> for StoreError {
    fn from(_: FormerEra) -> Self {
        StoreError::NoAnswer
    }
}

impl From<ExchangeError> for StoreError {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::Connect(_) | ExchangeError::NotSent => StoreError::Unreachable,
            ExchangeError::Broken(_) | ExchangeError::TimedOut => StoreError::NoAnswer,
            ExchangeError::TooLong => StoreError::HistoryTooLong,
        }
    }
}

/// A question for what changed.
#[derive(Debug, Clone, Copy)]
pub struct WatchCall<'a> {
    /// Prefix of the keys.
    pub prefix: &'a str,
    /// Revision after which changes are told.
    pub after: u64,
    /// Longest wait of the store for a change.
    pub wait: Duration,
    /// Most bytes of the answer; a longer one fails with
    /// [`StoreError::HistoryTooLong`].
    pub most_bytes: u64,
    /// Shows what has arrived of the answer.
    pub arrival: &'a Arrival,
}

/// A linearizable key-value store with revisions, leases and watches.
///
/// A store that counts eras notes that of each answer ([`StoreEra::note`]); an answer of a
/// former one counts as none. Revisions are the store's own.
pub trait KeyValueStore {
    /// Era of the store, as its answers told it.
    fn era(&self) -> &StoreEra;
    /// Reads all items whose key begins with `prefix`; each part of the answer must
    /// begin within `limit`, and is then waited for as long as it arrives.
    async fn range(
        &self,
        prefix: &str,
        freshness: Freshness,
        limit: Duration,
    ) -> Result<Snapshot, StoreError>;
    /// Waits for changes.
    async fn watch(&self, call: WatchCall<'_>) -> Result<Changes, StoreError>;
    /// A revision that the store has reached: cheap, and possibly seconds old.
    async fn reached_revision(&self) -> Result<u64, StoreError>;

    /// Writes under a condition.
    async fn put(&self, put: ConditionalPut) -> Result<PutOutcome, StoreError>;
    /// Asks for a lease; answers its number.
    async fn grant_lease(&self, time_to_live: Duration) -> Result<u64, StoreError>;
    /// Renews a lease.
    async fn renew_lease(&self, lease: u64) -> Result<(), StoreError>;
    /// Ends a lease; its keys go with it.
    async fn end_lease(&self, lease: u64) -> Result<(), StoreError>;
}

/// What an item of the store means to the node.
#[derive(Debug, Clone)]
pub enum Record {
    /// The operators' configuration.
    Configuration(Arc<Configuration>),
    /// A replica as listed.
    Replica(ReplicaListing),
    /// A value that should be one of these but cannot be read.
    Malformed(String),
    /// Something else: a node's own item, or nothing that concerns it.
    Other,
}

/// Reads the store's items.
pub trait RecordReader {
    /// What an item means.
    fn read(&self, item: &Item) -> Record;
    /// The key of the operators' configuration.
    fn configuration_key(&self) -> &str;
    /// Prefix of the replicas' keys.
    fn replica_prefix(&self) -> &str;
    /// The replica that a key stands for.
    fn replica_of(&self, key: &str) -> Option<ReplicaId>;
}

/// Where an order or question goes.
#[derive(Debug, Clone)]
pub struct EngineAddress {
    /// The incarnation that is meant.
    pub replica: ReplicaId,
    /// Its address.
    pub address: SocketAddr,
}

/// An order with its authority.
#[derive(Debug, Clone)]
pub struct FencedOrder {
    /// What to do.
    pub order: Order,
    /// Name of the node that orders.
    pub holder: String,
    /// Fencing token of its lease.
    pub fencing_token: u64,
    /// Number of orders that the replica must have taken before.
    pub expected_sequence: u64,
}

/// Orders and questions to model replicas.
pub trait EngineControl {
    /// Sends an order.
    async fn order(&self, target: &EngineAddress, order: &FencedOrder) -> EngineAnswer<OrderOutcome>;
    /// Asks for a report; `None` if none came.
    async fn report(&self, target: &EngineAddress) -> EngineAnswer<Option<ReplicaReport>>;
}

/// What a replica answered to an order or a question, and what it said of itself with it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineAnswer<T> {
    /// The answer, or that none came.
    pub answer: T,
    /// Nothing, if none came.
    pub word: ReplicaSignals,
}

impl<T> EngineAnswer<T> {
    /// No answer came, so it said nothing of itself.
    pub fn without_word(answer: T) -> Self {
        EngineAnswer {
            answer,
            word: ReplicaSignals::default(),
        }
    }
}

/// A part of a prompt that requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part.
    pub hash: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// What the headers of a request tell.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestFacts {
    /// The caller's id of this attempt.
    pub id: String,
    /// Time that the caller will wait.
    pub deadline: Option<Duration>,
    /// The model, if one is named.
    pub model: Option<ModelName>,
    /// An adapter of it.
    pub adapter: Option<AdapterName>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub output_tokens: u64,
    /// Parts of the prompt in order.
    pub parts: Vec<PromptPart>,
    /// The event after which a stream goes on.
    pub last_event_id: Option<String>,
    /// Tokens that the request counts for against a quota, if it tells any.
    pub metered_tokens: Option<u64>,
    /// The group of callers that the request counts for: the tenant whose key it
    /// shows, or where no keys are needed the one that it names.
    pub group: Option<String>,
}

/// Address from which a caller's connection comes; the front sets it as an extension
/// of each request. For the log: it does not tell who the caller is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerAddress(pub IpAddr);

/// Why a request's headers cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BadRequest {
    /// No id.
    #[error("the request has no attempt id")]
    NoId,
    /// A header's value cannot be read.
    #[error("header {0} cannot be read")]
    Header(&'static str),
    /// The body cannot be read.
    #[error("the body cannot be read: {0}")]
    Body(String),
}

/// What the system adds to a request for a replica.
#[derive(Debug, Clone)]
pub struct Forwarding<'a> {
    /// The incarnation that may run it.
    pub replica: &'a str,
    /// Time that is left.
    pub time_left: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: Option<u8>,
    /// The tenant whose key the caller showed.
    pub tenant: Option<&'a str>,
    /// The event after which the stream goes on.
    pub resume_after: Option<&'a str>,
}

/// Whether a replica ran the request that it answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// It says that it did not and will not.
    NotExecuted,
    /// It did, or may have.
    Executed,
}

/// What the head of a replica's answer tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerFacts {
    /// True if it answers this request and not another.
    pub is_ours: bool,
    /// True if it carries the replica's signature.
    pub is_signed: bool,
    /// True if its body is the replica's own bytes, without an encoding.
    pub is_plain: bool,
    /// Whether the request ran.
    pub execution: Execution,
    /// True if it tells that the replica is another incarnation or lacks the model.
    pub is_misdirected: bool,
    /// Its load, if told.
    pub load: Option<ReplicaLoad>,
    /// What else the replica says of itself.
    pub word: ReplicaSignals,
}

/// How requests and answers are written on the wire.
pub trait Dialect {
    /// Word before the key in a caller's `Authorization`.
    fn key_scheme(&self) -> &'static str;
    /// Reads a request's headers.
    fn request_facts(&self, head: &request::Parts) -> Result<RequestFacts, BadRequest>;
    /// Adds what the body tells, in dialects that put the model there.
    fn read_body(&self, _facts: &mut RequestFacts, _body: &Bytes) -> Result<(), BadRequest> {
        Ok(())
    }
    /// The JSON answer to a call that the node answers by itself.
    fn own_answer(&self, _head: &request::Parts, _configuration: &Configuration) -> Option<String> {
        None
    }
    /// Sets the system's own headers of a request for a replica.
    fn forward(&self, headers: &mut HeaderMap, forwarding: &Forwarding<'_>);
    /// Reads the head of a replica's answer to the request with that id.
    fn answer_facts(&self, id: &str, head: &response::Parts) -> AnswerFacts;
}

/// A platform: the implementations that a node runs on.
pub trait Platform: 'static {
    /// The store.
    type Store: KeyValueStore;
    /// Reader of its items.
    type Records: RecordReader;
    /// Orders to replicas.
    type Engine: EngineControl;
    /// The wire of requests.
    type Dialect: Dialect;
    /// The store.
    fn store(&self) -> &Self::Store;
    /// Reader of its items.
    fn records(&self) -> &Self::Records;
    /// Orders to replicas.
    fn engine(&self) -> &Self::Engine;
    /// The wire of requests.
    fn dialect(&self) -> &Self::Dialect;
}
