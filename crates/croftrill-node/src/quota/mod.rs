//! A node's side of the quotas and limits that all nodes enforce together.
//!
//! [`Quotas`] decides whether a request of a tenant may run, and whether a call may go to
//! a replica that reported a limit ([`limit`]). It queries the keeper of the partition over a
//! link ([`link`]), or this node's own keeper ([`partition_keeper`]) if this node is the keeper or
//! reaches none. Permits for replicas that bear few rejections go the same way ([`permit`],
//! [`permit_keeper`]). It does not depend on requests or the node; what it needs of the fleet comes
//! through [`Fleet`].

mod limit;
mod link;
mod partition_keeper;
mod permit;
mod permit_keeper;
pub mod wire;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use croftrill_scheduler::catalog::Configuration;
use croftrill_scheduler::quota::keeper::{KeeperConfig, QuotaRequest, ReservationDecision};
use croftrill_scheduler::quota::keepers::QuotaPartition;
use croftrill_scheduler::quota::limits::{KeeperRole, StandaloneReservations};
use croftrill_scheduler::quota::wait_slots::WaitSlots;
use croftrill_scheduler::tenants::Quota;
use croftrill_scheduler::time::Moment;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use tokio::sync::{mpsc, oneshot, Notify};

pub use self::limit::{LimitQuery, LimitVerdict};
pub(crate) use self::link::{follow_keeper, serve_listener};
use self::partition_keeper::PartitionKeeper;
pub use self::permit::{Permit, PermitQuery, PermitVerdict};
use self::permit_keeper::Permits;
use self::wire::{ToKeeper, WireQuota, WireQuotaQuery};
use crate::clock::Clock;

/// Maximum wait for a keeper's answer. Over 50 times the round trip between zones; a keeper
/// with an eighth of a core and a full queue takes about 100 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum wait of a request for a link to a keeper: two attempts to connect.
const LINK_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum number of keepers queried for one request: the first one, and those that take over.
const MAX_KEEPERS_QUERIED: usize = 3;

/// The view of the fleet that quotas need.
pub trait Fleet {
    /// Returns the addresses of the nodes that should keep a partition, in order of
    /// preference. Only nodes known to understand queries about limits keep limits.
    fn keepers(&self, partition: QuotaPartition) -> Vec<SocketAddr>;
    /// Returns whether the node at a peer address keeps permits.
    fn keeps_permits(&self, keeper: SocketAddr) -> bool;
    /// Returns the number of nodes that share the quotas: the listed ones, and those that may still
    /// serve although their entries are gone.
    fn sharing_nodes(&self) -> usize;
    /// Returns the newest configuration.
    fn configuration(&self) -> Option<Arc<Configuration>>;
}

/// A query whether a tenant's request may run.
#[derive(Debug, Clone, Copy)]
pub struct QuotaQuery<'a> {
    /// The tenant.
    pub tenant: &'a Arc<str>,
    /// The tenant's quota.
    pub quota: Quota,
    /// Version of the configuration that states the quota.
    pub version: u64,
    /// The requested reservation.
    pub request: QuotaRequest,
}

impl KeeperQuery for QuotaQuery<'_> {
    fn subject(&self) -> &Arc<str> {
        self.tenant
    }

    fn cost(&self) -> u64 {
        self.request.cost
    }

    fn message(&self, id: u64, _now: Moment) -> ToKeeper {
        ToKeeper::ReserveQuota(WireQuotaQuery {
            id,
            tenant: self.tenant.to_string(),
            cost: self.request.cost,
            patience_ms: self.request.patience.as_millis() as u32,
            is_urgent: self.request.is_urgent,
            quota: WireQuota::from_quota(self.quota),
            version: self.version,
        })
    }

    fn reserve_locally(&self, keeper: &mut PartitionKeeper, now: Moment) -> Option<ReservationDecision> {
        let PartitionKeeper::Quotas(keeper) = keeper else {
            return None;
        };
        keeper.update_quota(self.tenant, self.quota, self.version, now);
        Some(keeper.reserve(self.tenant, self.request, now))
    }
}

/// Whether a tenant's request may run.
#[derive(Debug)]
pub enum QuotaVerdict {
    /// The request may run after this time.
    Granted(Credit, Duration),
    /// The request exceeds the tenant's quota.
    Exceeded {
        /// Time until the balance covers the request.
        retry_after: Duration,
        /// The tenant's balance at the keeper, in units.
        balance: f64,
    },
    /// No keeper was reached, and this node's own share does not cover the request.
    Unreachable,
}

/// The keeper that a node uses for a partition.
#[derive(Debug, Clone)]
enum Uplink {
    /// The node's own keeper.
    Own,
    /// The keeper at the other end of a link.
    Linked(KeeperLink),
    /// No keeper yet.
    Connecting,
}

/// A link to a keeper.
#[derive(Debug, Clone)]
struct KeeperLink {
    messages: mpsc::Sender<ToKeeper>,
    keeps_permits: bool,
}

/// A query to the keeper of a partition.
trait KeeperQuery {
    /// Returns the tenant or replica that the query is about.
    fn subject(&self) -> &Arc<str>;
    /// Returns the requested units.
    fn cost(&self) -> u64;
    /// Returns the message to another node's keeper.
    fn message(&self, id: u64, now: Moment) -> ToKeeper;
    /// Returns the decision of this node's own keeper, or `None` if the keeper is of the other
    /// kind.
    fn reserve_locally(&self, keeper: &mut PartitionKeeper, now: Moment) -> Option<ReservationDecision>;
}

/// A node's state for one partition.
struct PartitionState {
    keeper: RefCell<PartitionKeeper>,
    permits: Permits,
    /// Number of other nodes that listen to this node's keeper.
    listeners: Cell<usize>,
    uplink: RefCell<Uplink>,
    /// True if this node should keep the partition, false if it merely reaches no keeper.
    is_keeper: Cell<bool>,
    /// Queries that are not answered yet, by id.
    pending: RefCell<HashMap<u64, PendingQuery>>,
    next_id: Cell<u64>,
    /// Granted requests whose start time has not come.
    deferred: RefCell<Vec<DeferredGrant>>,
    /// Notified when the uplink changes.
    changed: Notify,
    /// When a limit was last needed.
    limit_needed_at: Cell<Option<Moment>>,
    /// Notified when this node or a listener needs a keeper of limits.
    limit_needed: Notify,
}

/// A granted request that waits for its start time.
struct DeferredGrant {
    subject: Arc<str>,
    cost: u64,
    runs_at: Moment,
}

/// A query that was sent to a keeper.
struct PendingQuery {
    answer: oneshot::Sender<ReservationDecision>,
    subject: Arc<str>,
    kind: PendingKind,
}

/// What is returned if a query is granted after its request has ended.
enum PendingKind {
    Units(u64),
    Permit,
}

/// A node's side of all partitions.
pub struct Quotas {
    partitions: Vec<PartitionState>,
    /// Reservations that this node grants when it reaches no keeper of limits.
    standalone_reservations: RefCell<StandaloneReservations>,
    wait_slots: RefCell<WaitSlots>,
    clock: Clock,
    keepers_lost: Counter,
}

impl Quotas {
    /// Creates the state of a node that knows no keeper yet.
    pub fn new(config: KeeperConfig, clock: Clock, keepers_lost: Counter) -> Rc<Self> {
        let partition = |partition| PartitionState {
            keeper: RefCell::new(PartitionKeeper::new(partition, config, clock.now())),
            permits: Permits::default(),
            listeners: Cell::new(0),
            uplink: RefCell::new(Uplink::Connecting),
            is_keeper: Cell::new(false),
            pending: RefCell::default(),
            next_id: Cell::new(0),
            deferred: RefCell::default(),
            changed: Notify::new(),
            limit_needed_at: Cell::new(None),
            limit_needed: Notify::new(),
        };
        Rc::new(Quotas {
            partitions: QuotaPartition::all().map(partition).collect(),
            standalone_reservations: RefCell::default(),
            wait_slots: RefCell::default(),
            clock,
            keepers_lost,
        })
    }

    /// Returns whether a request may run; decides by `until` at the latest.
    pub async fn reserve(self: &Rc<Self>, query: QuotaQuery<'_>, until: Moment) -> QuotaVerdict {
        let partition = QuotaPartition::of_tenant(query.tenant);
        let deadline = until.min(self.clock.now() + LINK_TIMEOUT);
        match self.query_keeper(partition, &query, deadline).await {
            Some(decision) => self.verdict(partition, &query, decision),
            None => QuotaVerdict::Unreachable,
        }
    }

    /// Returns a slot for a tenant's request that waits before its next query, or `None` if
    /// too many wait. The gauge `waiting_gauge` counts the waiting requests.
    pub fn wait_slot(self: &Rc<Self>, tenant: &Arc<str>, waiting_gauge: &Gauge) -> Option<WaitSlot> {
        if !self.wait_slots.borrow_mut().enter(tenant) {
            return None;
        }
        waiting_gauge.inc();
        Some(WaitSlot {
            quotas: self.clone(),
            tenant: tenant.clone(),
            waiting_gauge: waiting_gauge.clone(),
        })
    }

    /// Returns the decision of the first keeper that answers by `deadline`.
    async fn query_keeper(
        &self,
        partition: QuotaPartition,
        query: &impl KeeperQuery,
        deadline: Moment,
    ) -> Option<ReservationDecision> {
        for _ in 0..MAX_KEEPERS_QUERIED {
            let decision = match self.linked_uplink(partition, deadline).await? {
                Uplink::Linked(link) => self.query_linked(partition, &link, query).await,
                Uplink::Own | Uplink::Connecting => {
                    let keeper = &self.partitions[partition.index()].keeper;
                    return query.reserve_locally(&mut keeper.borrow_mut(), self.clock.now());
                }
            };
            if decision.is_some() || self.clock.now() >= deadline {
                return decision;
            }
        }
        None
    }

    /// Waits until the partition has an uplink and returns it, or `None` at `deadline`.
    async fn linked_uplink(&self, partition: QuotaPartition, deadline: Moment) -> Option<Uplink> {
        let partition = &self.partitions[partition.index()];
        loop {
            let changed = partition.changed.notified();
            let uplink = partition.uplink.borrow().clone();
            if !matches!(uplink, Uplink::Connecting) {
                return Some(uplink);
            }
            self.clock.timeout_at(deadline, changed).await.ok()?;
        }
    }

    /// Returns the decision of a linked keeper. If it does not answer in time, gives up the
    /// link and returns `None`.
    async fn query_linked(
        &self,
        partition: QuotaPartition,
        link: &KeeperLink,
        query: &impl KeeperQuery,
    ) -> Option<ReservationDecision> {
        let state = &self.partitions[partition.index()];
        let id = state.next_id.get();
        state.next_id.set(id + 1);
        let (answer, answered) = oneshot::channel();
        let pending = PendingQuery {
            answer,
            subject: query.subject().clone(),
            kind: PendingKind::Units(query.cost()),
        };
        state.pending.borrow_mut().insert(id, pending);
        let message = query.message(id, self.clock.now());
        let deadline = self.clock.now() + ANSWER_TIMEOUT;
        let answer = match link.messages.try_send(message) {
            Ok(()) => self.clock.timeout_at(deadline, answered).await.ok(),
            Err(_) => None,
        };
        match answer {
            Some(Ok(decision)) => Some(decision),
            // The link ended and dropped its pending queries.
            Some(Err(_)) => None,
            None => {
                self.give_up_link(partition, link);
                None
            }
        }
    }

    /// Gives up a link whose keeper does not answer. The link's task ends once all senders of
    /// queries are dropped.
    fn give_up_link(&self, partition: QuotaPartition, link: &KeeperLink) {
        let uplink = self.partitions[partition.index()].uplink.borrow().clone();
        if matches!(uplink, Uplink::Linked(present) if present.messages.same_channel(&link.messages)) {
            self.set_uplink(partition, Uplink::Connecting, false);
        }
    }

    fn verdict(
        self: &Rc<Self>,
        partition: QuotaPartition,
        query: &QuotaQuery<'_>,
        decision: ReservationDecision,
    ) -> QuotaVerdict {
        let is_own = matches!(*self.partitions[partition.index()].uplink.borrow(), Uplink::Own);
        let is_standalone = is_own && !self.partitions[partition.index()].is_keeper.get();
        match decision {
            ReservationDecision::Granted { after } => {
                QuotaVerdict::Granted(self.granted(partition, query, after), after)
            }
            // Another node may grant what this node's small share does not cover.
            ReservationDecision::Refused { .. } if is_standalone => QuotaVerdict::Unreachable,
            ReservationDecision::Refused { retry_after, balance } => {
                QuotaVerdict::Exceeded { retry_after, balance }
            }
        }
    }

    /// Returns the credit of a granted query, whose request may run `after` that time.
    fn granted(
        self: &Rc<Self>,
        partition: QuotaPartition,
        query: &impl KeeperQuery,
        after: Duration,
    ) -> Credit {
        self.record_deferred_grant(partition, query, after);
        Credit {
            quotas: self.clone(),
            partition,
            subject: query.subject().clone(),
            cost: query.cost(),
            is_spent: Cell::new(false),
        }
    }

    /// Records a granted request that has to wait. Until it runs, it counts at every keeper
    /// that this node uses.
    fn record_deferred_grant(&self, partition: QuotaPartition, query: &impl KeeperQuery, after: Duration) {
        if after.is_zero() {
            return;
        }
        let now = self.clock.now();
        let mut deferred = self.partitions[partition.index()].deferred.borrow_mut();
        deferred.retain(|grant| grant.runs_at > now);
        deferred.push(DeferredGrant {
            subject: query.subject().clone(),
            cost: query.cost(),
            runs_at: now + after,
        });
    }

    /// Returns the units of each tenant or replica that were granted and have not run yet.
    fn deferred_units(&self, partition: QuotaPartition) -> HashMap<Arc<str>, u64> {
        let now = self.clock.now();
        let mut sums: HashMap<Arc<str>, u64> = HashMap::new();
        let deferred = self.partitions[partition.index()].deferred.borrow();
        for grant in deferred.iter().filter(|grant| grant.runs_at > now) {
            *sums.entry(grant.subject.clone()).or_default() += grant.cost;
        }
        sums
    }

    /// Switches to this node's own keeper.
    fn set_own_uplink(&self, partition: QuotaPartition, is_keeper: bool) {
        self.set_uplink(partition, Uplink::Own, is_keeper);
        let now = self.clock.now();
        let mut keeper = self.partitions[partition.index()].keeper.borrow_mut();
        for (subject, cost) in self.deferred_units(partition) {
            keeper.carry(&subject, cost, now);
        }
    }

    /// Refunds granted units.
    fn refund(&self, partition: QuotaPartition, subject: &Arc<str>, cost: u64) {
        let partition = &self.partitions[partition.index()];
        match &*partition.uplink.borrow() {
            Uplink::Own => partition
                .keeper
                .borrow_mut()
                .refund(subject, cost, self.clock.now()),
            Uplink::Linked(link) => {
                let subject = subject.to_string();
                // Dropped if the queue is full: the tenant or replica loses these units.
                if link
                    .messages
                    .try_send(ToKeeper::Refund { subject, cost })
                    .is_err()
                {
                    tracing::debug!(target: "quota", event = "credit could not be refunded", cost);
                }
            }
            Uplink::Connecting => {}
        }
    }

    fn set_uplink(&self, partition: QuotaPartition, uplink: Uplink, is_keeper: bool) {
        let partition = &self.partitions[partition.index()];
        partition.uplink.replace(uplink);
        partition.is_keeper.set(is_keeper);
        partition.pending.borrow_mut().clear();
        self.count_listeners(partition);
        partition.changed.notify_waiters();
    }

    /// Updates the keeper's number of listeners. This node counts as one while it uses its own
    /// keeper.
    fn count_listeners(&self, partition: &PartitionState) {
        let is_own = matches!(*partition.uplink.borrow(), Uplink::Own);
        let listeners = partition.listeners.get() + usize::from(is_own);
        partition
            .keeper
            .borrow_mut()
            .set_listeners(listeners, self.clock.now());
    }

    /// Updates this node's keeper from the fleet. `own` is this node's address.
    fn update_keeper(&self, partition: QuotaPartition, fleet: &dyn Fleet, own: SocketAddr) {
        let now = self.clock.now();
        let state = &self.partitions[partition.index()];
        let mut keeper = state.keeper.borrow_mut();
        let keeper = match &mut *keeper {
            PartitionKeeper::Quotas(keeper) => keeper,
            PartitionKeeper::Limits(keeper) => {
                let is_first = fleet.keepers(partition).first() == Some(&own);
                let role = if is_first {
                    KeeperRole::Primary
                } else {
                    KeeperRole::Secondary
                };
                state.permits.set_role(role);
                return keeper.set_role(role, now);
            }
        };
        keeper.set_listed_nodes(fleet.sharing_nodes(), now);
        if let Some(configuration) = fleet.configuration() {
            let of_partition = configuration
                .tenants
                .iter()
                .filter(|tenant| QuotaPartition::of_tenant(&tenant.name) == partition);
            keeper.update_quotas(of_partition, configuration.version, now);
        }
    }

    /// Returns the balance of each tenant whose quota this node keeps, in units.
    pub fn balances(&self) -> Vec<(Arc<str>, f64)> {
        let own = self
            .partitions
            .iter()
            .filter(|partition| partition.is_keeper.get());
        let mut balances = Vec::new();
        for partition in own {
            balances.extend(partition.keeper.borrow().balances());
        }
        balances
    }
}

/// A slot of a request that waits before its next query.
pub struct WaitSlot {
    quotas: Rc<Quotas>,
    tenant: Arc<str>,
    waiting_gauge: Gauge,
}

impl Drop for WaitSlot {
    fn drop(&mut self) {
        self.quotas.wait_slots.borrow_mut().leave(&self.tenant);
        self.waiting_gauge.dec();
    }
}

/// The units granted to one request of a tenant, or the reservation of one call to a replica
/// that reported a limit. Dropping it refunds the units unless the request ran or may have run.
pub struct Credit {
    quotas: Rc<Quotas>,
    partition: QuotaPartition,
    subject: Arc<str>,
    cost: u64,
    is_spent: Cell<bool>,
}

impl std::fmt::Debug for Credit {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut debug = formatter.debug_struct("Credit");
        debug
            .field("subject", &self.subject)
            .field("cost", &self.cost)
            .finish()
    }
}

impl Credit {
    /// Returns the granted units.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Marks the credit as spent, because the request was sent and may run.
    pub fn spend(&self) {
        self.is_spent.set(true);
    }

    /// Marks the credit as not spent, because the request provably did not run anywhere.
    pub fn unspend(&self) {
        self.is_spent.set(false);
    }
}

impl Drop for Credit {
    fn drop(&mut self) {
        if !self.is_spent.get() {
            self.quotas.refund(self.partition, &self.subject, self.cost);
        }
    }
}
