//! What the parts of one node share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use croftrill_scheduler::catalog::Configuration;
use croftrill_scheduler::fair_queue::FairQueue;
use croftrill_scheduler::followed_view::{FollowConfig, FollowedView};
use croftrill_scheduler::hand_over::{HeardResignation, Resignation};
use croftrill_scheduler::replica_table::ReplicaTable;
use croftrill_scheduler::retry_budget::{RetryBudget, RetryBudgetConfig};
use tokio::sync::{mpsc, Notify};
use tokio::time::Instant;

use crate::clock::Clock;
use crate::connection::{ConnectionConfig, ConnectionPool};
use crate::counted_store::CountedStore;
use crate::front::STOP_LINGER;
use crate::membership::Members;
use crate::metrics::Metrics;
use crate::orderer_task::OrdererInput;
use crate::peer::{DemandBatch, ToOrderer};
use crate::ports::Platform;
use crate::settings::NodeSettings;

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
/// Messages to the orderer that may wait to be sent.
const ORDERER_QUEUE: usize = 1024;

/// State that changes.
pub struct NodeState {
    /// The newest configuration.
    pub configuration: Option<Arc<Configuration>>,
    /// All known replicas.
    pub replicas: ReplicaTable,
    /// This node's share of the retry budget.
    pub retry_budget: RetryBudget,
    /// Requests that wait for a place, by group.
    pub fair_queue: FairQueue,
    /// Demand that the orderer has not been told yet.
    pub demand: DemandBatch,
    /// How far this node knows the store's history.
    pub directory: FollowedView,
    /// The nodes, and who gives orders.
    pub members: Members,
    /// What the last orderer left to its successor, if this node heard of it.
    pub resignation: Option<HeardResignation>,
    /// Where the node is in its life.
    pub lifecycle: Lifecycle,
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
    /// Its steady clock.
    pub clock: Clock,
    /// State that changes; never borrowed across an await.
    pub state: RefCell<NodeState>,
    /// Told whenever the view of replicas or the configuration changes.
    pub view_changed: Notify,
    /// Told whenever what the orderer relays begins or ends to be believed, and
    /// when this node gets or loses the orderer's lease.
    pub relay_changed: Notify,
    gives_orders: Cell<bool>,
    /// Told when the node is asked to stop.
    pub stop_requested: Notify,
    /// Told when a request leaves, so that a waiting one may start.
    pub place_freed: Notify,
    /// Whether the store answers, as renewals of the node's own lease show.
    pub store_path: StorePath,
    /// Connections for requests that may be repeated, and for orders and reports.
    pub pool: ConnectionPool,
    /// Connections for requests that must not be ended for mere silence.
    pub patient_pool: ConnectionPool,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Requests being served.
    pub in_flight: Cell<usize>,
    /// When the node was asked to stop.
    stop_asked: Cell<Option<Instant>>,
    to_orderer: mpsc::Sender<ToOrderer>,
    orderer_inbox: mpsc::Sender<OrdererInput>,
}

/// Receiving ends of a node's queues, for the tasks that drain them.
pub struct NodeQueues {
    /// Messages for the present orderer, wherever it is.
    pub to_orderer: mpsc::Receiver<ToOrderer>,
    /// Events for this node's own orderer task.
    pub orderer_inbox: mpsc::Receiver<OrdererInput>,
}

impl<P: Platform> Node<P> {
    /// A node without a configuration.
    pub fn new(settings: NodeSettings, platform: P) -> (Rc<Self>, NodeQueues) {
        let (to_orderer, to_orderer_queue) = mpsc::channel(ORDERER_QUEUE);
        let (orderer_inbox, orderer_queue) = mpsc::channel(ORDERER_QUEUE);
        let bounds = &settings.bounds;
        let retry_budget = RetryBudget::new(RetryBudgetConfig {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
            safety: RETRY_SAFETY,
        });
        let state = NodeState {
            configuration: None,
            replicas: ReplicaTable::new(),
            retry_budget,
            fair_queue: FairQueue::new(settings.most_in_service.unwrap_or(usize::MAX)),
            demand: DemandBatch::default(),
            directory: FollowedView::new(FollowConfig {
                proof_lifetime: settings.pace.relay_lifetime,
            }),
            members: Members::default(),
            resignation: None,
            lifecycle: Lifecycle::Starting,
        };
        let patient = ConnectionConfig {
            silence_limit: None,
            ..ConnectionConfig::default()
        };
        let node = Node {
            settings,
            platform,
            clock: Clock::start(),
            state: RefCell::new(state),
            view_changed: Notify::new(),
            relay_changed: Notify::new(),
            gives_orders: Cell::new(false),
            stop_requested: Notify::new(),
            place_freed: Notify::new(),
            store_path: StorePath::default(),
            pool: ConnectionPool::new(ConnectionConfig::default()),
            patient_pool: ConnectionPool::new(patient),
            metrics: Metrics::new(),
            in_flight: Cell::new(0),
            stop_asked: Cell::new(None),
            to_orderer,
            orderer_inbox,
        };
        let queues = NodeQueues {
            to_orderer: to_orderer_queue,
            orderer_inbox: orderer_queue,
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

    /// The store; every call is counted.
    pub fn store(&self) -> CountedStore<'_, P::Store> {
        CountedStore::new(self.platform.store(), &self.metrics)
    }

    /// True while this node holds the orderer's lease.
    pub fn gives_orders(&self) -> bool {
        self.gives_orders.get()
    }

    /// This node got or lost the orderer's lease.
    pub fn set_gives_orders(&self, gives_orders: bool) {
        self.gives_orders.set(gives_orders);
        self.metrics.is_orderer.set(i64::from(gives_orders));
        self.relay_changed.notify_waiters();
    }

    /// The orderer's term is over: what it left is kept for whoever follows.
    pub fn hear_resignation(&self, resignation: Resignation) {
        let heard_at = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.members.resigned();
        state.resignation = Some(HeardResignation {
            resignation,
            heard_at,
        });
        drop(state);
        self.view_changed.notify_waiters();
    }

    /// A message for the present orderer; left out if too many wait.
    pub fn tell_orderer(&self, message: ToOrderer) {
        if self.to_orderer.try_send(message).is_err() {
            self.metrics.messages_left_out.inc();
        }
    }

    /// An event for this node's own orderer task.
    pub fn inform_orderer_task(&self, input: OrdererInput) {
        // Lost events are made up for: the task reads the whole table on every sync.
        let _ = self.orderer_inbox.try_send(input);
    }

    /// The queue of this node's own orderer task.
    pub fn orderer_inbox(&self) -> mpsc::Sender<OrdererInput> {
        self.orderer_inbox.clone()
    }

    /// True once the node, asked to stop, takes no new requests any more.
    pub fn refuses_new(&self) -> bool {
        self.stop_asked
            .get()
            .is_some_and(|asked| asked.elapsed() >= STOP_LINGER)
    }

    /// Begins to stop: not ready any more, gives no orders, takes what still comes.
    pub fn begin_stop(&self) {
        let mut state = self.state.borrow_mut();
        if state.lifecycle == Lifecycle::Stopping {
            return;
        }
        state.lifecycle = Lifecycle::Stopping;
        drop(state);
        self.stop_asked.set(Some(Instant::now()));
        tracing::info!(target: "node", event = "stop requested", in_flight = self.in_flight.get());
        self.stop_requested.notify_waiters();
    }
}
