//! Interfaces between a node and its platform, as traits with typed messages.
//!
//! An adapter implements them for a platform; tests implement them in memory.
//! All futures run on the node's single thread, so they need not be `Send`.
#![allow(async_fn_in_trait)]

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::capacity::ReplicaLoad;
use croftrill_scheduler::catalog::{AdapterName, Configuration, ModelName};
use croftrill_scheduler::relay_log::retain_last_writes;
use croftrill_scheduler::replica::{
    Order, OrderOutcome, ReplicaId, ReplicaListing, ReplicaReport, ReplicaSignals,
};
use croftrill_scheduler::software_versions::SoftwareVersion;
use http::{request, response, HeaderMap};

use crate::connection::{AnswerProgress, ExchangeError};
use crate::connector::{Connector, TcpConnector};
use crate::store_era::{FormerEra, StoreEra};

/// An item of the key-value store.
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
    /// Returns the key that changed.
    pub fn key(&self) -> &str {
        match self {
            StoreEvent::Written(item) => &item.key,
            StoreEvent::Removed { key, .. } => key,
        }
    }

    /// Returns the store revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            StoreEvent::Written(item) => item.revision,
            StoreEvent::Removed { revision, .. } => *revision,
        }
    }
}

/// Required freshness of the answer to a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Includes all writes that were acknowledged before the call.
    Latest,
    /// May be seconds old, but is cheap for the store.
    MayLag,
}

/// All items under a prefix.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The items.
    pub items: Vec<Item>,
    /// Revision from which a watch misses no change.
    pub revision: u64,
}

impl Snapshot {
    /// Returns the total size of all keys and values, in bytes.
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
    /// Revision from which the next watch continues.
    pub revision: u64,
}

impl Changes {
    /// Drops writes that a later write of the same key replaces. The work of reading and
    /// publishing changes then depends on the number of keys, not on how often they changed.
    pub fn without_replaced(mut self) -> Self {
        retain_last_writes(&mut self.events, |event| match event {
            StoreEvent::Written(item) => Some(&item.key),
            StoreEvent::Removed { .. } => None,
        });
        self
    }
}

/// A write of one key.
#[derive(Debug, Clone)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The new value.
    pub value: Bytes,
    /// Lease with which the key is removed, or 0 if it is bound to none.
    pub lease: u64,
}

/// A key and its expected revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expectation {
    /// The key.
    pub key: String,
    /// Revision of its last change, or 0 if it must be absent.
    pub revision: u64,
}

/// Writes that are applied atomically, and only if all conditions hold.
#[derive(Debug, Clone)]
pub struct ConditionalPut {
    /// Expected revisions of keys.
    pub conditions: Vec<Expectation>,
    /// Writes to apply.
    pub writes: Vec<Write>,
}

/// Outcome of a conditional put.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// The writes were applied.
    Done {
        /// Revision of the change.
        revision: u64,
    },
    /// A condition did not hold.
    Rejected,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The store could not be reached; nothing was done.
    #[error("store cannot be reached")]
    Unreachable,
    /// No answer arrived; the call may have been executed, or may be executed later.
    #[error("no answer from the store")]
    NoAnswer,
    /// The store answered that it did nothing.
    #[error("store is not available")]
    Unavailable,
    /// Too many calls.
    #[error("store is throttling")]
    Throttled,
    /// The store no longer has the requested history; everything must be read again.
    #[error("history is gone")]
    HistoryGone,
    /// The answer exceeds the size limit; everything must be read again.
    #[error("history is too long")]
    HistoryTooLong,
    /// The lease has expired or was ended.
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
            ExchangeError::Broken(_)
            | ExchangeError::CutOff { .. }
            | ExchangeError::TooManyHeads
            | ExchangeError::TimedOut => StoreError::NoAnswer,
            ExchangeError::TooLong => StoreError::HistoryTooLong,
        }
    }
}

/// A request for changes.
#[derive(Debug, Clone, Copy)]
pub struct WatchCall<'a> {
    /// Prefix of the keys.
    pub prefix: &'a str,
    /// Revision after which changes are returned.
    pub after: u64,
    /// Maximum time that the store waits for a change.
    pub wait: Duration,
    /// Maximum size of the answer in bytes; a longer one fails with
    /// [`StoreError::HistoryTooLong`].
    pub max_bytes: u64,
    /// Records how much of the answer has arrived.
    pub arrival: &'a AnswerProgress,
}

/// A linearizable key-value store with revisions, leases and watches.
///
/// An implementation for a store with eras records the era of each answer
/// ([`StoreEra::record`]); an answer of an earlier era counts as no answer. Revisions are the
/// store's own.
pub trait KeyValueStore {
    /// Returns the era of the store, as reported in its answers.
    fn era(&self) -> &StoreEra;
    /// Reads all items whose key begins with `prefix`. Each chunk of the answer must begin to
    /// arrive within `limit`, and may then take longer as long as data arrives.
    async fn range(
        &self,
        prefix: &str,
        freshness: Freshness,
        limit: Duration,
    ) -> Result<Snapshot, StoreError>;
    /// Waits for changes.
    async fn watch(&self, call: WatchCall<'_>) -> Result<Changes, StoreError>;
    /// Returns a revision that the store has reached. The call is cheap, but the revision may be
    /// seconds old.
    async fn reached_revision(&self) -> Result<u64, StoreError>;

    /// Applies writes if their conditions hold.
    async fn put(&self, put: ConditionalPut) -> Result<PutOutcome, StoreError>;
    /// Requests a lease and returns its id.
    async fn grant_lease(&self, time_to_live: Duration) -> Result<u64, StoreError>;
    /// Renews a lease.
    async fn renew_lease(&self, lease: u64) -> Result<(), StoreError>;
    /// Ends a lease, which removes its keys.
    async fn end_lease(&self, lease: u64) -> Result<(), StoreError>;
}

/// Decoded item of the store.
#[derive(Debug, Clone)]
pub enum Record {
    /// The operators' configuration.
    Configuration(Arc<Configuration>),
    /// The listing of a replica.
    Replica {
        /// The listing.
        listing: ReplicaListing,
        /// The version of the replica's software, if the platform has such.
        software_version: Option<SoftwareVersion>,
    },
    /// A configuration or listing that cannot be decoded, with the reason.
    Malformed(String),
    /// Any other item, such as one that nodes write about themselves.
    Other,
}

/// Decodes the platform's items of the store.
pub trait RecordReader {
    /// Decodes an item.
    fn read(&self, item: &Item) -> Record;
    /// Returns the key of the operators' configuration.
    fn configuration_key(&self) -> &str;
    /// Returns the prefix of the keys of replicas.
    fn replica_prefix(&self) -> &str;
    /// Returns the replica whose listing is stored under a key.
    fn replica_of(&self, key: &str) -> Option<ReplicaId>;
}

/// Recipient of an order or a report request.
#[derive(Debug, Clone)]
pub struct EngineAddress {
    /// The addressed incarnation of the replica.
    pub replica: ReplicaId,
    /// Its address.
    pub address: SocketAddr,
}

/// An order with the lease that authorizes it.
#[derive(Debug, Clone)]
pub struct FencedOrder {
    /// The order.
    pub order: Order,
    /// Name of the node that sends the order and holds the lease.
    pub holder: String,
    /// Fencing token of its lease.
    pub fencing_token: u64,
    /// Number of orders that the replica must have accepted before.
    pub expected_sequence: u64,
}

/// Sends orders and report requests to replicas.
pub trait EngineControl {
    /// Sends an order.
    async fn order(&self, target: &EngineAddress, order: &FencedOrder) -> EngineAnswer<OrderOutcome>;
    /// Requests a report; the answer is `None` if none arrived.
    async fn report(&self, target: &EngineAddress) -> EngineAnswer<Option<ReplicaReport>>;
}

/// Answer of a replica to an order or a report request, with the signals that it contained.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineAnswer<T> {
    /// The answer, or a value that stands for a missing one.
    pub answer: T,
    /// Signals of the replica; empty if no answer arrived.
    pub signals: ReplicaSignals,
}

impl<T> EngineAnswer<T> {
    /// Creates an answer without signals, as no response arrived.
    pub fn without_signals(answer: T) -> Self {
        EngineAnswer {
            answer,
            signals: ReplicaSignals::default(),
        }
    }
}

/// A part of a prompt that several requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part.
    pub hash: u64,
    /// Number of tokens of the part.
    pub tokens: u64,
}

/// Properties of a request, read from its headers and in some dialects from its body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestFacts {
    /// The caller's id of this attempt.
    pub id: String,
    /// Time that the caller is willing to wait.
    pub deadline: Option<Duration>,
    /// The requested model, if any.
    pub model: Option<ModelName>,
    /// The requested adapter of the model, if any.
    pub adapter: Option<AdapterName>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of tokens of the answer.
    pub output_tokens: u64,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// Id of the event after which a stream resumes.
    pub last_event_id: Option<String>,
    /// The caller's attempt that brought the first event of the stream that this one resumes.
    pub resumed_attempt: Option<String>,
    /// Number of tokens that count against a quota, if the request declares it.
    pub metered_tokens: Option<u64>,
    /// The group of callers that the request belongs to: the tenant whose key it presents or,
    /// where no keys are required, the group that it names.
    pub group: Option<String>,
}

/// Remote address of a caller's connection, which the front sets as an extension of each
/// request. It is only used in the log, as it does not identify the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerAddress(pub IpAddr);

/// Why a request's headers cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BadRequest {
    /// The attempt id is missing.
    #[error("the request has no attempt id")]
    NoId,
    /// The value of a header is malformed.
    #[error("header {0} cannot be read")]
    Header(&'static str),
    /// The body is malformed.
    #[error("the body cannot be read: {0}")]
    Body(String),
}

/// Data that the system adds to a request for a replica.
#[derive(Debug, Clone)]
pub struct Forwarding<'a> {
    /// The incarnation that may execute the request.
    pub replica: &'a str,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Priority, of which 0 is the most urgent.
    pub priority: Option<u8>,
    /// The tenant whose key the caller presented.
    pub tenant: Option<&'a str>,
    /// Id of the event after which the stream resumes.
    pub resume_after: Option<&'a str>,
}

/// Whether a replica executed the request that it answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// The replica states that it did not and will not.
    NotExecuted,
    /// The replica did, or may have.
    Executed,
}

/// Properties of a replica's answer, read from its head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerFacts {
    /// True if it answers this request rather than another one.
    pub is_ours: bool,
    /// True if it carries the replica's signature.
    pub is_signed: bool,
    /// True if its body is the replica's own bytes, without an encoding.
    pub is_plain: bool,
    /// Whether the replica executed the request.
    pub execution: Execution,
    /// True if it states that the replica is another incarnation or lacks the model.
    pub is_misdirected: bool,
    /// The replica's load, if reported.
    pub load: Option<ReplicaLoad>,
    /// Other signals of the replica.
    pub signals: ReplicaSignals,
}

/// Wire format of requests and answers.
pub trait Dialect {
    /// Returns the scheme before the key in a caller's `Authorization` header.
    fn key_scheme(&self) -> &'static str;
    /// Reads a request's headers.
    fn request_facts(&self, head: &request::Parts) -> Result<RequestFacts, BadRequest>;
    /// Adds what the body contains, in dialects that name the model there.
    fn read_body(&self, _facts: &mut RequestFacts, _body: &Bytes) -> Result<(), BadRequest> {
        Ok(())
    }
    /// Returns the JSON answer to a call that the node answers without a replica.
    fn local_answer(&self, _head: &request::Parts, _configuration: &Configuration) -> Option<String> {
        None
    }
    /// Sets the system's own headers of a request for a replica.
    fn forward(&self, headers: &mut HeaderMap, forwarding: &Forwarding<'_>);
    /// Reads the head of a replica's answer to the request `id`.
    fn answer_facts(&self, id: &str, head: &response::Parts) -> AnswerFacts;
}

/// The implementations of a platform's interfaces that a node uses.
pub trait Platform: 'static {
    /// The store.
    type Store: KeyValueStore;
    /// Decoder of the store's items.
    type Records: RecordReader;
    /// Sender of orders to replicas.
    type Engine: EngineControl;
    /// Wire format of requests.
    type Dialect: Dialect;
    /// Returns the store.
    fn store(&self) -> &Self::Store;
    /// Returns the decoder of the store's items.
    fn records(&self) -> &Self::Records;
    /// Returns the sender of orders to replicas.
    fn engine(&self) -> &Self::Engine;
    /// Returns the wire format of requests.
    fn dialect(&self) -> &Self::Dialect;
    /// Returns what opens connections to replicas.
    fn connector(&self) -> Rc<dyn Connector> {
        Rc::new(TcpConnector)
    }
}
