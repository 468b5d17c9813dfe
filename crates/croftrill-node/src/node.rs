//! What the parts of one node share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use croftrill_scheduler::catalog::Configuration;
use croftrill_scheduler::crash_ledger::CrashLedger;
use croftrill_scheduler::fair_queue::FairQueue;
use croftrill_scheduler::followed_view::{FollowConfig, FollowedView};
use croftrill_scheduler::hand_over::{ReceivedResignation, Resignation};
use croftrill_scheduler::load_summary;
use croftrill_scheduler::quota::keeper::KeeperConfig;
use croftrill_scheduler::replica_table::ReplicaTable;
use croftrill_scheduler::retry_budget::{RetryBudget, RetryBudgetConfig};
use croftrill_scheduler::shard::{Shard, SHARD_COUNT};
use croftrill_scheduler::time::Moment;
use croftrill_scheduler::waiting_requests::{WaitingBounds, WaitingRequests};
use tokio::sync::{broadcast, mpsc, Mutex, Notify};

use crate::broken_requests::BrokenRequests;
use crate::clock::Clock;
use crate::connection::{ConnectionConfig, ConnectionPool};
use crate::counted_store::CountedStore;
use crate::era_store::EraStore;
use crate::front::STOP_LINGER;
use crate::load_updates::{self, LoadUpdates};
use crate::membership::Members;
use crate::metrics::Metrics;
use crate::orderer_task::OrdererInput;
use crate::peer::{DemandBatch, ToOrderer};
use crate::ports::{Item, Platform};
use crate::quota::Quotas;
use crate::settings::NodeSettings;
use crate::step_times::StepTimes;
use crate::tree::{RelayedUpdate, TreeState, Uplink, FOLLOWER_BACKLOG};

/// Where a node is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// It has no configuration yet.
    Starting,
    /// It takes requests.
    Ready,
    /// It was asked to stop and finishes what it has.
    Stopping,
}

/// Part of the common retry budget that is used; the rest covers requests that
/// the nodes and the platform count differently.
const RETRY_SAFETY: f64 = 0.8;
/// Requests that wait at one node for a place at a full holder, at most: a node of the
/// largest fleet has a few a second, so these are many seconds of a crowd; 8 MB of bodies
/// are a fifteenth of a small node's memory.
const WAITING_BOUNDS: WaitingBounds = WaitingBounds {
    requests: 256,
    size_bytes: 8 << 20,
};
/// Messages to the orderer that may wait to be sent.
const ORDERER_QUEUE: usize = 1024;

/// State that changes.
pub struct NodeState {
    /// The newest configuration.
    pub configuration: Option<Arc<Configuration>>,
    /// The item that holds it, for nodes that are told everything at once.
    pub configuration_item: Option<Item>,
    /// All known replicas.
    pub replicas: ReplicaTable,
    /// Requests that crash replicas, as all nodes saw.
    pub crash_ledger: CrashLedger,
    /// Requests that broke at replicas that may have ended.
    pub broken_requests: BrokenRequests,
    /// This node's share of the retry budget.
    pub retry_budget: RetryBudget,
    /// Requests that wait for a place, by group.
    pub fair_queue: FairQueue,
    /// Requests that wait for a place at a full holder of their model.
    pub waiting_requests: WaitingRequests,
    /// Demand that the orderer has not been told yet.
    pub demand: DemandBatch,
    /// How far this node knows the store's history.
    pub directory: FollowedView,
    /// The nodes, and who gives orders.
    pub members: Members,
    /// What the last orderers left to their successors, where this node heard of it.
    pub resignations: BTreeMap<Shard, ReceivedResignation>,
    /// Shards whose orderer is linked, or is this node.
    pub linked: [bool; SHARD_COUNT],
    /// When the last link to a shard's orderer ended.
    pub unlinked_at: [Moment; SHARD_COUNT],
    /// This node's part in the tree of relays.
    pub tree: TreeState,
    /// Where the node is in its life.
    pub lifecycle: Lifecycle,
    /// When it began to take requests.
    pub ready_at: Option<Moment>,
}

/// Whether the store answers. A watch that waits cannot tell a quiet store from
/// a dead path; renewals, which are short and regular, can.
#[derive(Debug, Default)]
pub struct StorePath {
    is_lost: Cell<bool>,
    changed: Notify,
}

impl StorePath {
    /// A short call ended. While calls fail, and at the first that succeeds
    /// again, calls that wait are told to begin anew.
    pub fn call_ended(&self, answered: bool) {
        let was_lost = self.is_lost.replace(!answered);
        if was_lost || !answered {
            self.changed.notify_waiters();
        }
    }

    /// Ends when a waiting call should begin anew.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}

/// One node.
pub struct Node<P: Platform> {
    /// Its settings.
    pub settings: NodeSettings,
    /// The platform that it runs on.
    pub platform: P,
    /// Its clock, which goes on in suspensions.
    pub clock: Clock,
    /// State that changes; never borrowed across an await.
    pub state: RefCell<NodeState>,
    /// Told whenever the view of replicas or the configuration changes.
    pub view_changed: Notify,
    /// Told whenever what the orderer relays begins or ends to be believed, and
    /// when this node gets or loses the orderer's lease.
    pub relay_changed: Notify,
    /// Told when a request lacks a model, which a replica of an unheard orderer may hold.
    pub holdings_wanted: Notify,
    terms_held: Cell<usize>,
    /// Told when it is known whether a replica at which requests broke has ended.
    pub crash_judged: Notify,
    /// Told when this node's report of requests that crash replicas should be written.
    pub crash_report_changed: Notify,
    /// Told when the node is asked to stop.
    pub stop_requested: Notify,
    /// Told when a request leaves, so that a waiting one may start.
    pub place_freed: Notify,
    /// Told when a place at a replica may have become free.
    pub room_changed: Notify,
    /// Whether the store answers, as renewals of the node's own lease show.
    pub store_path: StorePath,
    /// Connections for requests that may be repeated, and for orders and reports.
    pub pool: ConnectionPool,
    /// Connections for requests that must not be ended for mere silence.
    pub patient_pool: ConnectionPool,
    /// The quotas of tenants, and their keepers.
    pub quotas: Rc<Quotas>,
    /// What it heard of replicas' loads, and tells on.
    pub load_news: LoadUpdates,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// When it last handed each shard on to stronger nodes.
    pub handed_on_at: [Cell<Option<Moment>>; SHARD_COUNT],
    /// What the thread is busy with.
    pub step_times: Rc<StepTimes>,
    /// Requests being served.
    pub in_flight: Cell<usize>,
    /// When the node was asked to stop.
    stop_asked: Cell<Option<Moment>>,
    /// Held while this node tries to become an orderer: one shard at a time, so
    /// that it sees what it holds already.
    pub acquiring: Mutex<()>,
    /// News for the nodes that follow this one.
    pub followers: broadcast::Sender<RelayedUpdate>,
    to_orderers: Vec<mpsc::Sender<ToOrderer>>,
    to_relay: mpsc::Sender<ToOrderer>,
    orderer_inboxes: Vec<mpsc::Sender<OrdererInput>>,
}

/// Receiving ends of a node's queues for one shard, for the tasks that drain them.
pub struct ShardQueues {
    /// The shard.
    pub shard: Shard,
    /// Messages for its present orderer, wherever that is.
    pub to_orderer: mpsc::Receiver<ToOrderer>,
    /// Events for this node's own orderer task.
    pub orderer_inbox: mpsc::Receiver<OrdererInput>,
}

/// Receiving ends of a node's queues.
pub struct NodeQueues {
    /// Those of each shard.
    pub shards: Vec<ShardQueues>,
    /// Messages for the relay that the node follows.
    pub to_relay: mpsc::Receiver<ToOrderer>,
}

impl<P: Platform> Node<P> {
    /// A node without a configuration.
    pub fn new(settings: NodeSettings, platform: P) -> (Rc<Self>, NodeQueues) {
        Self::with_clock(settings, platform, Clock::start())
    }

    /// A node without a configuration, with a clock of its own.
    pub fn with_clock(settings: NodeSettings, platform: P, clock: Clock) -> (Rc<Self>, NodeQueues) {
        let (mut to_orderers, mut orderer_inboxes) = (Vec::new(), Vec::new());
        let mut shards = Vec::new();
        for shard in Shard::all() {
            let (to_orderer, to_orderer_queue) = mpsc::channel(ORDERER_QUEUE);
            let (orderer_inbox, orderer_queue) = mpsc::channel(ORDERER_QUEUE);
            to_orderers.push(to_orderer);
            orderer_inboxes.push(orderer_inbox);
            shards.push(ShardQueues {
                shard,
                to_orderer: to_orderer_queue,
                orderer_inbox: orderer_queue,
            });
        }
        let (to_relay, to_relay_queue) = mpsc::channel(ORDERER_QUEUE);
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
            safety: RETRY_SAFETY,
        };
        let budget_begun = if settings.is_first_start {
            Moment::default()
        } else {
            clock.now()
        };
        let retry_budget = RetryBudget::new(budget_config, budget_begun);
        let mut replicas = ReplicaTable::new();
        if settings.callers_compete {
            replicas.route_all_by_capacity();
        }
        let state = NodeState {
            configuration: None,
            configuration_item: None,
            replicas,
            crash_ledger: CrashLedger::default(),
            broken_requests: BrokenRequests::default(),
            retry_budget,
            fair_queue: FairQueue::new(settings.most_in_service.unwrap_or(usize::MAX)),
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
        let patient = ConnectionConfig {
            silence_limit: None,
            ..ConnectionConfig::default()
        };
        let node = Node {
            settings,
            platform,
            clock,
            state: RefCell::new(state),
            view_changed: Notify::new(),
            relay_changed: Notify::new(),
            holdings_wanted: Notify::new(),
            terms_held: Cell::new(0),
            crash_judged: Notify::new(),
            crash_report_changed: Notify::new(),
            acquiring: Mutex::new(()),
            stop_requested: Notify::new(),
            place_freed: Notify::new(),
            room_changed: Notify::new(),
            store_path: StorePath::default(),
            pool: ConnectionPool::new(ConnectionConfig::default()),
            patient_pool: ConnectionPool::new(patient),
            quotas,
            load_news: LoadUpdates::default(),
            metrics,
            handed_on_at: Default::default(),
            step_times: Rc::default(),
            in_flight: Cell::new(0),
            stop_asked: Cell::new(None),
            followers: broadcast::channel(FOLLOWER_BACKLOG).0,
            to_orderers,
            to_relay,
            orderer_inboxes,
        };
        let queues = NodeQueues {
            shards,
            to_relay: to_relay_queue,
        };
        (Rc::new(node), queues)
    }

    /// Where the node is in its life.
    pub fn lifecycle(&self) -> Lifecycle {
        self.state.borrow().lifecycle
    }

    /// The newest configuration.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.state.borrow().configuration.clone()
    }

    /// The store, by points; every call is counted.
    pub fn store(&self) -> CountedStore<'_, EraStore<'_, P::Store>> {
        CountedStore::new(EraStore::new(self.platform.store()), &self.metrics)
    }

    /// True while this node holds an orderer's lease.
    pub fn gives_orders(&self) -> bool {
        self.terms_held.get() > 0
    }

    /// Number of shards whose orderer this node is.
    pub fn terms_held(&self) -> usize {
        self.terms_held.get()
    }

    /// This node became the orderer of one more shard.
    pub fn term_began(&self) {
        self.set_terms_held(self.terms_held.get() + 1);
    }

    /// This node is the orderer of one shard less.
    pub fn term_ended(&self) {
        self.set_terms_held(self.terms_held.get() - 1);
    }

    fn set_terms_held(&self, count: usize) {
        self.terms_held.set(count);
        self.metrics.is_orderer.set(count as i64);
        self.relay_changed.notify_waiters();
    }

    /// The term of the orderer at `peer` is over: what it left is kept for
    /// whoever follows.
    pub fn hear_resignation(&self, shard: Shard, peer: SocketAddr, resignation: Resignation) {
        let received_at = self.clock.now();
        let heard = ReceivedResignation {
            resignation,
            received_at,
        };
        let mut state = self.state.borrow_mut();
        state.members.resigned(shard, peer);
        state.resignations.insert(shard, heard);
        drop(state);
        self.view_changed.notify_waiters();
    }

    /// A message for all present orderers; left out where too many wait.
    pub fn tell_orderers(&self, message: &ToOrderer) {
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

    /// A message for the present orderer of a shard, as long as this node hears the
    /// orderers by links of its own; left out where too many wait.
    pub fn tell_orderer(&self, shard: Shard, message: ToOrderer) {
        if self.to_orderers[shard.index()].try_send(message).is_err() {
            self.metrics.messages_left_out.inc();
        }
    }

    /// An event for all of this node's own orderer tasks.
    pub fn inform_orderer_tasks(&self, input: impl Fn() -> OrdererInput) {
        if !self.gives_orders() {
            return;
        }
        for inbox in &self.orderer_inboxes {
            // Lost events are made up for: the task reads the whole table on every sync.
            let _ = inbox.try_send(input());
        }
    }

    /// The metrics as text.
    pub fn metrics_text(&self) -> String {
        let services = if load_updates::is_active(self) {
            load_summary::by_service(&self.state.borrow().replicas, self.clock.now())
        } else {
            BTreeMap::new()
        };
        self.metrics.set_service_loads(&services);
        self.metrics.text()
    }

    /// The queue of this node's own orderer task of a shard.
    pub fn orderer_inbox(&self, shard: Shard) -> mpsc::Sender<OrdererInput> {
        self.orderer_inboxes[shard.index()].clone()
    }

    /// When the node was asked to stop, if it was.
    pub fn stop_asked_at(&self) -> Option<Moment> {
        self.stop_asked.get()
    }

    /// True once the node, asked to stop, takes no new requests any more.
    pub fn refuses_new(&self) -> bool {
        self.stop_asked
            .get()
            .is_some_and(|asked| self.clock.now().since(asked) >= STOP_LINGER)
    }

    /// Begins to stop: not ready any more, gives no orders, takes what still comes.
    pub fn begin_stop(&self) {
        let mut state = self.state.borrow_mut();
        if state.lifecycle == Lifecycle::Stopping {
            return;
        }
        state.lifecycle = Lifecycle::Stopping;
        drop(state);
        self.stop_asked.set(Some(self.clock.now()));
        tracing::info!(target: "node", event = "stop requested", in_flight = self.in_flight.get());
        self.stop_requested.notify_waiters();
    }
}
