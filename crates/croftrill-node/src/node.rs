//! State and queues that the tasks of one node share.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use croftrill_scheduler::brittle::BrittleReplicas;
use croftrill_scheduler::catalog::Configuration;
use croftrill_scheduler::configuration_exchange::ConfigurationExchange;
use croftrill_scheduler::crash_ledger::CrashLedger;
use croftrill_scheduler::fair_queue::FairQueue;
use croftrill_scheduler::fleet_share::{FleetShare, FleetShareConfig, Share};
use croftrill_scheduler::followed_view::{FollowConfig, FollowedView};
use croftrill_scheduler::hand_over::{ReceivedResignation, Resignation};
use croftrill_scheduler::load_summary;
use croftrill_scheduler::memory_account::MemoryAccount;
use croftrill_scheduler::peer_paths::PeerPaths;
use croftrill_scheduler::quota::keeper::KeeperConfig;
use croftrill_scheduler::replica::ReplicaId;
use croftrill_scheduler::replica_paths::ReplicaPaths;
use croftrill_scheduler::replica_table::ReplicaTable;
use croftrill_scheduler::retry_budget::{self, RetryBudget, RetryBudgetConfig};
use croftrill_scheduler::shard::{Shard, SHARD_COUNT};
use croftrill_scheduler::software_versions::{OwnStreams, SoftwareVersions, VersionRecords};
use croftrill_scheduler::stored_versions::StoredVersions;
use croftrill_scheduler::time::Moment;
use croftrill_scheduler::waiting_requests::{WaitingBounds, WaitingRequests};
use tokio::sync::{broadcast, mpsc, Mutex, Notify};

use crate::answer_budget::AnswerBudget;
use crate::broken_requests::BrokenRequests;
use crate::clock::Clock;
use crate::configuration::FormerConfigurations;
use crate::connection::{ConnectionConfig, ConnectionPool};
use crate::counted_store::CountedStore;
use crate::era_store::EraStore;
use crate::front::STOP_ACCEPT_PERIOD;
use crate::load_updates::{self, LoadUpdates};
use crate::membership::Members;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::orderer_task::OrdererInput;
use crate::peer::{DemandBatch, ToOrderer};
use crate::ports::{Item, Platform};
use crate::quota::Quotas;
use crate::service_places::ServicePlaces;
use crate::settings::NodeSettings;
use crate::step_times::StepTimes;
use crate::stored_streams::StreamSegments;
use crate::stored_versions::RecordLeases;
use crate::tree::{RelayedUpdate, TreeState, Uplink, FOLLOWER_BACKLOG};

/// Lifecycle stage of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// It has no configuration yet.
    Starting,
    /// It accepts requests.
    Ready,
    /// It was asked to stop and finishes the requests in flight.
    Stopping,
}

/// Bounds on the requests that wait at one node for a slot at a full holder. A node of the
/// largest fleet sees a few such requests per second, so 256 cover many seconds of overload.
/// 8 MB of bodies are a fifteenth of a small node's memory.
const WAITING_BOUNDS: WaitingBounds = WaitingBounds {
    requests: 256,
    size_bytes: 8 << 20,
};
/// Capacity of each queue of messages to an orderer, to the relay or to an orderer task.
const ORDERER_QUEUE_CAPACITY: usize = 1024;
/// Maximum size of the read buffer of a connection to a replica, and so of the pieces of a stream and of the
/// head of an answer.
const REPLICA_READ_BUFFER_BYTES: usize = 32 * 1024;

/// Mutable state of a node.
pub struct NodeState {
    /// The latest configuration.
    pub configuration: Option<Arc<Configuration>>,
    /// The store item that contains it, sent to nodes that receive a full view.
    pub configuration_item: Option<Item>,
    /// Earlier configurations, against which newer ones are encoded for other nodes.
    pub former_configurations: FormerConfigurations,
    /// Which versions of the configuration this node and its peers have.
    pub configuration_exchange: ConfigurationExchange,
    /// When this node's view of the store was last proven complete, by the store or a relay.
    pub view_proven_at: Option<Moment>,
    /// When this node last received something from another node's orderer or from its relay.
    pub uplink_heard_at: Option<Moment>,
    /// All known replicas.
    pub replicas: ReplicaTable,
    /// Software versions of the replicas.
    pub software_versions: SoftwareVersions,
    /// Software versions of streams, by the attempts that began them.
    pub stream_versions: VersionRecords,
    /// At which software versions streams may have begun, as the store keeps it.
    pub stored_versions: StoredVersions,
    /// When this node, as an orderer, last checked whether listed holders are in reach.
    pub(crate) holder_checks: HashMap<ReplicaId, Moment>,
    /// This node's streams whose versions it has told to nobody.
    pub own_streams: OwnStreams,
    /// Replicas that fall over if they must reject too many requests.
    pub brittle_replicas: BrittleReplicas,
    /// This node's own paths to replicas.
    pub replica_paths: ReplicaPaths,
    /// Other nodes, by peer address, that may have a path where this node has none.
    pub peer_paths: PeerPaths<SocketAddr>,
    /// Requests that crash replicas, as observed by all nodes.
    pub crash_ledger: CrashLedger,
    /// Requests that failed at replicas that may have ended.
    pub broken_requests: BrokenRequests,
    /// Requests that were cut off at replicas which lived on, while it is checked whether they still do.
    pub watched_requests: BrokenRequests,
    /// This node's retries.
    pub retry_budget: RetryBudget,
    /// This node's part of the bounds that all nodes share evenly.
    pub fleet_share: FleetShare,
    /// Requests that wait for a slot at this node, by group.
    pub fair_queue: FairQueue,
    /// Requests that wait for a slot at a full holder of their model.
    pub waiting_requests: WaitingRequests,
    /// Demand that has not been reported to the orderers yet.
    pub demand: DemandBatch,
    /// How much of the store's history this node has applied.
    pub directory: FollowedView,
    /// The nodes, and which of them are orderers.
    pub members: Members,
    /// Received resignations of the last orderers, which their successors use.
    pub resignations: BTreeMap<Shard, ReceivedResignation>,
    /// Whether the orderer of each shard is linked, or is this node.
    pub linked: [bool; SHARD_COUNT],
    /// When the last link to a shard's orderer ended.
    pub unlinked_at: [Moment; SHARD_COUNT],
    /// This node's position in the tree of relays.
    pub tree: TreeState,
    /// Lifecycle stage of the node.
    pub lifecycle: Lifecycle,
    /// When the node became ready.
    pub ready_at: Option<Moment>,
}

/// Whether the store answers. A waiting watch cannot distinguish a store without changes from
/// a broken connection. Lease renewals, which are short and regular, can.
#[derive(Debug, Default)]
pub struct StoreReachability {
    is_unreachable: Cell<bool>,
    changed: Notify,
}

impl StoreReachability {
    /// Records the outcome of a short call. While calls fail, and at the first one that
    /// succeeds again, waiting calls are notified to start over.
    pub fn record_call(&self, answered: bool) {
        let was_unreachable = self.is_unreachable.replace(!answered);
        if was_unreachable || !answered {
            self.changed.notify_waiters();
        }
    }

    /// Returns whether the last short call failed.
    pub fn is_unreachable(&self) -> bool {
        self.is_unreachable.get()
    }

    /// Completes when a waiting call should start over.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}

/// A node of the serving system.
pub struct Node<P: Platform> {
    /// Its settings.
    pub settings: NodeSettings,
    /// The platform that it runs on.
    pub platform: P,
    /// Its clock, which continues during suspensions of the machine.
    pub clock: Clock,
    /// Mutable state; never borrowed across an await.
    pub state: RefCell<NodeState>,
    /// Notified when the view of replicas or the configuration changes.
    pub view_changed: Notify,
    /// Notified when there may be something to send about the configuration.
    pub configuration_exchanged: Notify,
    /// Notified when relayed changes become trusted or stop being trusted, and when this node
    /// gains or loses an orderer's lease.
    pub relay_changed: Notify,
    /// Notified when a request finds no replica with its model, which a replica of an
    /// unreachable orderer may hold.
    pub holdings_needed: Notify,
    terms_held: Cell<usize>,
    /// Notified when an own path to a replica was found broken.
    pub path_check_needed: Notify,
    /// Number of links that other nodes opened for the configuration alone.
    pub served_probes: Cell<usize>,
    /// Number of other nodes' connections to replicas that this node carries.
    pub carried_tunnels: Cell<usize>,
    /// Notified when it is known whether a replica at which requests failed has ended.
    pub crash_judged: Notify,
    /// Notified when this node's report of requests that crash replicas should be written.
    pub crash_report_changed: Notify,
    /// Notified when a replica says that it bears few rejections.
    pub rejections_heard: Notify,
    /// Notified when the node is asked to stop.
    pub stop_requested: Notify,
    /// Notified when a request ends, so that a waiting one may start.
    pub admission_slot_freed: Notify,
    /// Notified when a slot at a replica may have become free.
    pub replica_slot_freed: Notify,
    /// Whether the store answers, judged by renewals of the lease of the node's entry.
    pub store_reachability: StoreReachability,
    /// Connections for requests that may be retried, and for orders and reports.
    pub pool: ConnectionPool,
    /// Connections that are not ended when the peer is silent, for requests that must not be
    /// interrupted for that reason alone.
    pub patient_pool: ConnectionPool,
    /// The quotas of tenants, and their keepers.
    pub quotas: Rc<Quotas>,
    /// Observed loads of replicas, to be published to other nodes.
    pub load_news: LoadUpdates,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// When it last handed each shard over to a stronger node.
    pub handed_over_at: [Cell<Option<Moment>>; SHARD_COUNT],
    /// Time that the thread spends on long steps.
    pub step_times: Rc<StepTimes>,
    /// Number of requests being served.
    pub in_flight: Cell<usize>,
    /// When the node was asked to stop.
    stop_requested_at: Cell<Option<Moment>>,
    /// Held while this node tries to become an orderer. It tries one shard at a time, so that
    /// each attempt sees the leases that the node holds already.
    pub acquisition_lock: Mutex<()>,
    /// Updates for the nodes that follow this one.
    pub followers: broadcast::Sender<RelayedUpdate>,
    to_orderers: Vec<mpsc::Sender<ToOrderer>>,
    to_relay: mpsc::Sender<ToOrderer>,
    orderer_inboxes: Vec<mpsc::Sender<OrdererInput>>,
    /// How much the answers may hold that are read whole.
    pub(crate) answer_budget: AnswerBudget,
    /// What bodies, answers and streams hold.
    pub(crate) memory: Memory,
    /// The memory of large messages of other nodes while they arrive.
    pub(crate) message_memory: Memory,
    /// The requests of each service.
    pub(crate) service_places: ServicePlaces,
    /// Leases of the records of software versions.
    pub(crate) record_leases: RecordLeases,
    /// Versions of streams at the store.
    pub(crate) stream_segments: StreamSegments,
}

/// Receiving ends of a node's queues for one shard, for the tasks that drain them.
pub struct ShardQueues {
    /// The shard.
    pub shard: Shard,
    /// Messages for its present orderer, local or remote.
    pub to_orderer: mpsc::Receiver<ToOrderer>,
    /// Events for this node's own orderer task.
    pub orderer_inbox: mpsc::Receiver<OrdererInput>,
}

/// Receiving ends of a node's queues.
pub struct NodeQueues {
    /// Receiving ends for each shard.
    pub shards: Vec<ShardQueues>,
    /// Messages for the relay that the node follows.
    pub to_relay: mpsc::Receiver<ToOrderer>,
}

impl<P: Platform> Node<P> {
    /// Creates a node without a configuration.
    pub fn new(settings: NodeSettings, platform: P) -> (Rc<Self>, NodeQueues) {
        Self::with_clock(settings, platform, Clock::start())
    }

    /// Creates a node without a configuration that uses the given clock.
    pub fn with_clock(settings: NodeSettings, platform: P, clock: Clock) -> (Rc<Self>, NodeQueues) {
        let (mut to_orderers, mut orderer_inboxes) = (Vec::new(), Vec::new());
        let mut shards = Vec::new();
        for shard in Shard::all() {
            let (to_orderer, to_orderer_queue) = mpsc::channel(ORDERER_QUEUE_CAPACITY);
            let (orderer_inbox, orderer_queue) = mpsc::channel(ORDERER_QUEUE_CAPACITY);
            to_orderers.push(to_orderer);
            orderer_inboxes.push(orderer_inbox);
            shards.push(ShardQueues {
                shard,
                to_orderer: to_orderer_queue,
                orderer_inbox: orderer_queue,
            });
        }
        let (to_relay, to_relay_queue) = mpsc::channel(ORDERER_QUEUE_CAPACITY);
        let bounds = &settings.bounds;
        let keeper_config = KeeperConfig {
            window: bounds.quota_window,
            overage: bounds.quota_overage,
            slack: bounds.quota_slack,
        };
        let metrics = Metrics::new();
        let quotas = Quotas::new(keeper_config, clock.clone(), metrics.quota_keepers_lost.clone());
        let budget_config = RetryBudgetConfig {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
            safety: retry_budget::SAFETY_FACTOR,
        };
        let share_config = FleetShareConfig {
            confirmation_lifetime: settings.pace.membership_lease,
            window: bounds.retry_window + retry_budget::SEND_DELAY_ALLOWANCE,
        };
        let fleet_share = FleetShare::new(share_config, settings.is_first_start);
        let mut replicas = ReplicaTable::new();
        if settings.callers_compete {
            replicas.route_all_by_capacity();
        }
        let state = NodeState {
            configuration: None,
            configuration_item: None,
            former_configurations: FormerConfigurations::default(),
            configuration_exchange: ConfigurationExchange::default(),
            view_proven_at: None,
            uplink_heard_at: None,
            replicas,
            software_versions: SoftwareVersions::new(settings.is_first_start),
            stream_versions: VersionRecords::default(),
            stored_versions: StoredVersions::default(),
            holder_checks: HashMap::new(),
            own_streams: OwnStreams::default(),
            brittle_replicas: BrittleReplicas::default(),
            replica_paths: ReplicaPaths::default(),
            peer_paths: PeerPaths::default(),
            crash_ledger: CrashLedger::default(),
            broken_requests: BrokenRequests::default(),
            watched_requests: BrokenRequests::default(),
            retry_budget: RetryBudget::new(budget_config, &settings.identity.name),
            fleet_share,
            fair_queue: FairQueue::new(settings.max_concurrent_requests.unwrap_or(usize::MAX)),
            waiting_requests: WaitingRequests::new(WAITING_BOUNDS),
            demand: DemandBatch::default(),
            directory: FollowedView::new(FollowConfig {
                proof_lifetime: settings.pace.relay_lifetime,
            }),
            members: Members::default(),
            resignations: BTreeMap::new(),
            linked: [false; SHARD_COUNT],
            unlinked_at: [clock.now(); SHARD_COUNT],
            tree: TreeState::default(),
            lifecycle: Lifecycle::Starting,
            ready_at: None,
        };
        let limits = settings.limits;
        let in_flight_bytes = metrics.in_flight_bytes.clone();
        let memory = Memory::new(MemoryAccount::new(limits), clock.clone(), in_flight_bytes);
        let message_bytes = metrics.message_bytes.clone();
        let message_memory = Memory::new(MemoryAccount::for_messages(limits), clock.clone(), message_bytes);
        let service_places = ServicePlaces::new(limits.max_requests_of_service());
        let to_replicas = ConnectionConfig {
            max_idle_total: limits.max_idle_replica_connections(),
            max_read_buffer_bytes: REPLICA_READ_BUFFER_BYTES,
            ..ConnectionConfig::default()
        };
        let patient = ConnectionConfig {
            silence_limit: None,
            ..to_replicas
        };
        let connector = platform.connector();
        let node = Node {
            settings,
            platform,
            clock,
            state: RefCell::new(state),
            view_changed: Notify::new(),
            configuration_exchanged: Notify::new(),
            relay_changed: Notify::new(),
            holdings_needed: Notify::new(),
            terms_held: Cell::new(0),
            path_check_needed: Notify::new(),
            served_probes: Cell::new(0),
            carried_tunnels: Cell::new(0),
            crash_judged: Notify::new(),
            crash_report_changed: Notify::new(),
            rejections_heard: Notify::new(),
            acquisition_lock: Mutex::new(()),
            stop_requested: Notify::new(),
            admission_slot_freed: Notify::new(),
            replica_slot_freed: Notify::new(),
            store_reachability: StoreReachability::default(),
            pool: ConnectionPool::with_connector(to_replicas, connector.clone()),
            patient_pool: ConnectionPool::with_connector(patient, connector),
            quotas,
            load_news: LoadUpdates::default(),
            metrics,
            handed_over_at: Default::default(),
            step_times: Rc::default(),
            in_flight: Cell::new(0),
            stop_requested_at: Cell::new(None),
            followers: broadcast::channel(FOLLOWER_BACKLOG).0,
            to_orderers,
            to_relay,
            orderer_inboxes,
            answer_budget: AnswerBudget::shared(memory.clone()),
            memory,
            message_memory,
            service_places,
            record_leases: RecordLeases::default(),
            stream_segments: StreamSegments::default(),
        };
        let queues = NodeQueues {
            shards,
            to_relay: to_relay_queue,
        };
        (Rc::new(node), queues)
    }

    /// Returns the lifecycle stage of the node.
    pub fn lifecycle(&self) -> Lifecycle {
        self.state.borrow().lifecycle
    }

    /// Returns the latest configuration.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.state.borrow().configuration.clone()
    }

    /// Returns whether this node's view was proven to be complete a short time ago. What changed since an
    /// older proof is not known, though other nodes may act on it.
    pub(crate) fn has_proven_view(&self, state: &NodeState) -> bool {
        let proven_at = state.view_proven_at.unwrap_or_default();
        self.clock.now().since(proven_at) <= self.settings.pace.relay_lifetime
    }

    /// Returns this node's present share of the bounds that all nodes divide evenly.
    pub fn share(&self) -> Share {
        let state = self.state.borrow();
        let listed = state.members.node_count();
        state.fleet_share.share(listed, self.clock.now())
    }

    /// Returns the store, with revisions as points of its history ([`crate::store_era`]).
    /// Each call is counted in the metrics.
    pub fn store(&self) -> CountedStore<'_, EraStore<'_, P::Store>> {
        CountedStore::new(EraStore::new(self.platform.store()), &self.metrics)
    }

    /// Returns whether this node is the orderer of any shard.
    pub fn gives_orders(&self) -> bool {
        self.terms_held.get() > 0
    }

    /// Returns the number of shards whose orderer this node is.
    pub fn terms_held(&self) -> usize {
        self.terms_held.get()
    }

    /// Records that this node became the orderer of one more shard.
    pub fn record_term_start(&self) {
        self.set_terms_held(self.terms_held.get() + 1);
    }

    /// Records that this node is the orderer of one shard less.
    pub fn record_term_end(&self) {
        self.set_terms_held(self.terms_held.get() - 1);
    }

    fn set_terms_held(&self, count: usize) {
        self.terms_held.set(count);
        self.metrics.is_orderer.set(count as i64);
        self.relay_changed.notify_waiters();
    }

    /// Records that the term of the orderer at `peer` is over. Its resignation is stored for
    /// the node that becomes orderer next.
    pub fn record_resignation(&self, shard: Shard, peer: SocketAddr, resignation: Resignation) {
        let received_at = self.clock.now();
        let received = ReceivedResignation {
            resignation,
            received_at,
        };
        let mut state = self.state.borrow_mut();
        state.members.apply_resignation(shard, peer);
        state.resignations.insert(shard, received);
        drop(state);
        self.view_changed.notify_waiters();
    }

    /// Sends a message to all present orderers. It is dropped and counted where a queue is
    /// full or the node has no uplink.
    pub fn send_to_orderers(&self, message: &ToOrderer) {
        let queues = match self.state.borrow().tree.uplink {
            Uplink::Orderers => self.to_orderers.as_slice(),
            Uplink::Relay(_) => std::slice::from_ref(&self.to_relay),
            Uplink::Nobody => {
                self.metrics.messages_left_out.inc();
                return;
            }
        };
        for queue in queues {
            if queue.try_send(message.clone()).is_err() {
                self.metrics.messages_left_out.inc();
            }
        }
    }

    /// Sends a message to the present orderer of a shard, for nodes that have their own links
    /// to the orderers. It is dropped and counted if the queue is full.
    pub fn send_to_orderer(&self, shard: Shard, message: ToOrderer) {
        if self.to_orderers[shard.index()].try_send(message).is_err() {
            self.metrics.messages_left_out.inc();
        }
    }

    /// Sends an event to all of this node's own orderer tasks.
    pub fn notify_orderer_tasks(&self, input: impl Fn() -> OrdererInput) {
        if !self.gives_orders() {
            return;
        }
        for inbox in &self.orderer_inboxes {
            // Lost events do no harm, as the task reads the full table on every sync.
            let _ = inbox.try_send(input());
        }
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn metrics_text(&self) -> String {
        let services = if load_updates::is_active(self) {
            load_summary::by_service(&self.state.borrow().replicas, self.clock.now())
        } else {
            BTreeMap::new()
        };
        self.metrics.set_service_loads(&services);
        self.metrics.text()
    }

    /// Returns the queue of this node's own orderer task of a shard.
    pub fn orderer_inbox(&self, shard: Shard) -> mpsc::Sender<OrdererInput> {
        self.orderer_inboxes[shard.index()].clone()
    }

    /// Returns when the node was asked to stop, if it was.
    pub fn stop_requested_at(&self) -> Option<Moment> {
        self.stop_requested_at.get()
    }

    /// Returns whether the node rejects new requests, which begins [`STOP_ACCEPT_PERIOD`] after it
    /// was asked to stop.
    pub fn rejects_new_requests(&self) -> bool {
        self.stop_requested_at
            .get()
            .is_some_and(|asked| self.clock.now().since(asked) >= STOP_ACCEPT_PERIOD)
    }

    /// Starts to stop the node: it is no longer ready and gives no orders, but still accepts
    /// requests for [`STOP_ACCEPT_PERIOD`].
    pub fn begin_stop(&self) {
        let mut state = self.state.borrow_mut();
        if state.lifecycle == Lifecycle::Stopping {
            return;
        }
        state.lifecycle = Lifecycle::Stopping;
        drop(state);
        self.stop_requested_at.set(Some(self.clock.now()));
        tracing::info!(target: "node", event = "stop requested", in_flight = self.in_flight.get());
        self.stop_requested.notify_waiters();
    }
}
