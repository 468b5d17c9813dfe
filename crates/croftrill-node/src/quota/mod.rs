//! A node's part in the quotas and limits that all nodes keep together.
//!
//! [`Quotas`] answers whether a request of a tenant may run, and whether a call may go to
//! a replica that named a limit ([`limit`]): it asks the keeper of the part over a link
//! ([`link`]), or this node's own keeper ([`part_keeper`]) where this node is the one, or
//! can reach none. It knows nothing of requests and of the node around it; what it needs
//! of the fleet comes by [`Fleet`].

mod limit;
mod link;
mod part_keeper;
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

pub use self::limit::{LimitAsk, LimitVerdict};
pub(crate) use self::link::{follow_keeper, serve_listener};
use self::part_keeper::PartKeeper;
use self::wire::{ToKeeper, WireAsk, WireQuota};
use crate::clock::Clock;

/// Longest wait for a keeper's answer. Over 50 times the round trip between zones;
/// a keeper with an eighth of a core that has a full queue takes some 100 ms.
const ANSWER_LIMIT: Duration = Duration::from_millis(300);
/// Longest wait of a request for a link to a keeper: two attempts to connect.
const LINK_PATIENCE: Duration = Duration::from_millis(900);
/// Keepers that one request asks, at most: after the first the one that takes over.
const MOST_ASKED: usize = 3;

/// What the quotas need to know of the fleet.
pub trait Fleet {
    /// Addresses of the nodes that should keep a part, the first choice first. Limits are
    /// kept by nodes that are known to understand questions about them.
    fn keepers(&self, part: QuotaPartition) -> Vec<SocketAddr>;
    /// Number of nodes that are listed.
    fn listed(&self) -> usize;
    /// The newest configuration.
    fn configuration(&self) -> Option<Arc<Configuration>>;
}

/// A request that wants to run.
#[derive(Debug, Clone, Copy)]
pub struct QuotaAsk<'a> {
    /// Its tenant.
    pub tenant: &'a Arc<str>,
    /// The tenant's quota.
    pub quota: Quota,
    /// Version of the configuration that tells it.
    pub version: u64,
    /// What it wants.
    pub want: QuotaRequest,
}

impl Question for QuotaAsk<'_> {
    fn subject(&self) -> &Arc<str> {
        self.tenant
    }

    fn cost(&self) -> u64 {
        self.want.cost
    }

    fn message(&self, id: u64, _now: Moment) -> ToKeeper {
        ToKeeper::Ask(WireAsk {
            id,
            tenant: self.tenant.to_string(),
            cost: self.want.cost,
            patience_ms: self.want.patience.as_millis() as u32,
            is_urgent: self.want.is_urgent,
            quota: WireQuota::from_quota(self.quota),
            version: self.version,
        })
    }

    fn ask_here(&self, keeper: &mut PartKeeper, now: Moment) -> Option<ReservationDecision> {
        let PartKeeper::Quotas(keeper) = keeper else {
            return None;
        };
        keeper.update_quota(self.tenant, self.quota, self.version, now);
        Some(keeper.reserve(self.tenant, self.want, now))
    }
}

/// Whether a request may run.
#[derive(Debug)]
pub enum QuotaVerdict {
    /// It may, after this time.
    Granted(Credit, Duration),
    /// It is beyond the tenant's quota.
    Beyond {
        /// Time until the balance pays for it.
        retry_after: Duration,
        /// The tenant's balance at the keeper, in units.
        balance: f64,
    },
    /// No keeper was reached, and this node's own part does not pay for it.
    Unreachable,
}

/// Whom a node asks about a part.
#[derive(Debug, Clone)]
enum Uplink {
    /// Its own keeper.
    Own,
    /// The keeper at the other end of a link.
    Linked(mpsc::Sender<ToKeeper>),
    /// Nobody yet.
    Connecting,
}

/// What a node asks of the keeper of a part.
trait Question {
    /// The tenant or replica that it is about.
    fn subject(&self) -> &Arc<str>;
    /// Units that it wants.
    fn cost(&self) -> u64;
    /// The message to a keeper elsewhere.
    fn message(&self, id: u64, now: Moment) -> ToKeeper;
    /// The decision of this node's own keeper.
    fn ask_here(&self, keeper: &mut PartKeeper, now: Moment) -> Option<ReservationDecision>;
}

/// A node's side of one part.
struct Part {
    keeper: RefCell<PartKeeper>,
    /// Other nodes that listen to this node's keeper.
    listeners: Cell<usize>,
    uplink: RefCell<Uplink>,
    /// True if this node should keep the part, and does not just find no keeper.
    is_keeper: Cell<bool>,
    /// Questions that are not answered yet.
    asked: RefCell<HashMap<u64, Asked>>,
    next_id: Cell<u64>,
    /// What was granted ahead and is still to run.
    ahead: RefCell<Vec<GrantAhead>>,
    /// Told when the uplink changes.
    changed: Notify,
    /// When a limit was last asked for.
    limit_asked_at: Cell<Option<Moment>>,
    /// Told when a keeper of limits is wanted, here or by a listener.
    limit_wanted: Notify,
}

/// A request that waits for its turn.
struct GrantAhead {
    subject: Arc<str>,
    cost: u64,
    runs_at: Moment,
}

/// A question on its way to a keeper and back.
struct Asked {
    answer: oneshot::Sender<ReservationDecision>,
    subject: Arc<str>,
    cost: u64,
}

/// The quotas as one node sees them.
pub struct Quotas {
    parts: Vec<Part>,
    /// This node's turns where it reaches no keeper of limits.
    standalone_reservations: RefCell<StandaloneReservations>,
    wait_slots: RefCell<WaitSlots>,
    clock: Clock,
    keepers_lost: Counter,
}

impl Quotas {
    /// A node that knows no keeper yet.
    pub fn new(config: KeeperConfig, clock: Clock, keepers_lost: Counter) -> Rc<Self> {
        let part = |part| Part {
            keeper: RefCell::new(PartKeeper::new(part, config, clock.now())),
            listeners: Cell::new(0),
            uplink: RefCell::new(Uplink::Connecting),
            is_keeper: Cell::new(false),
            asked: RefCell::default(),
            next_id: Cell::new(0),
            ahead: RefCell::default(),
            changed: Notify::new(),
            limit_asked_at: Cell::new(None),
            limit_wanted: Notify::new(),
        };
        Rc::new(Quotas {
            parts: QuotaPartition::all().map(part).collect(),
            standalone_reservations: RefCell::default(),
            wait_slots: RefCell::default(),
            clock,
            keepers_lost,
        })
    }

    /// Asks whether a request may run; answers by `until`.
    pub async fn ask(self: &Rc<Self>, ask: QuotaAsk<'_>, until: Moment) -> QuotaVerdict {
        let part = QuotaPartition::of_tenant(ask.tenant);
        let give_up = until.min(self.clock.now() + LINK_PATIENCE);
        match self.ask_keeper(part, &ask, give_up).await {
            Some(decision) => self.verdict(part, &ask, decision),
            None => QuotaVerdict::Unreachable,
        }
    }

    /// A place for a request of a tenant that waits to ask again; `None`: too many wait.
    /// `shown` counts those that wait.
    pub fn wait_slot(self: &Rc<Self>, tenant: &Arc<str>, shown: &Gauge) -> Option<WaitSlot> {
        if !self.wait_slots.borrow_mut().enter(tenant) {
            return None;
        }
        shown.inc();
        Some(WaitSlot {
            quotas: self.clone(),
            tenant: tenant.clone(),
            shown: shown.clone(),
        })
    }

    /// The decision of whichever keeper answers by `give_up`.
    async fn ask_keeper(
        &self,
        part: QuotaPartition,
        question: &impl Question,
        give_up: Moment,
    ) -> Option<ReservationDecision> {
        for _ in 0..MOST_ASKED {
            let decision = match self.linked_uplink(part, give_up).await? {
                Uplink::Linked(link) => self.ask_linked(part, &link, question).await,
                Uplink::Own | Uplink::Connecting => {
                    let keeper = &self.parts[part.index()].keeper;
                    return question.ask_here(&mut keeper.borrow_mut(), self.clock.now());
                }
            };
            if decision.is_some() || self.clock.now() >= give_up {
                return decision;
            }
        }
        None
    }

    /// The uplink of a part once there is one; `None` if none comes in time.
    async fn linked_uplink(&self, part: QuotaPartition, give_up: Moment) -> Option<Uplink> {
        let part = &self.parts[part.index()];
        loop {
            let changed = part.changed.notified();
            let uplink = part.uplink.borrow().clone();
            if !matches!(uplink, Uplink::Connecting) {
                return Some(uplink);
            }
            self.clock.timeout_at(give_up, changed).await.ok()?;
        }
    }

    /// The keeper's decision; `None` if it did not answer, and is given up.
    async fn ask_linked(
        &self,
        part: QuotaPartition,
        link: &mpsc::Sender<ToKeeper>,
        question: &impl Question,
    ) -> Option<ReservationDecision> {
        let state = &self.parts[part.index()];
        let id = state.next_id.get();
        state.next_id.set(id + 1);
        let (answer, answered) = oneshot::channel();
        let asked = Asked {
            answer,
            subject: question.subject().clone(),
            cost: question.cost(),
        };
        state.asked.borrow_mut().insert(id, asked);
        let message = question.message(id, self.clock.now());
        let limit = self.clock.now() + ANSWER_LIMIT;
        let answer = match link.try_send(message) {
            Ok(()) => self.clock.timeout_at(limit, answered).await.ok(),
            Err(_) => None,
        };
        match answer {
            Some(Ok(decision)) => Some(decision),
            // The link ended, and its questions with it.
            Some(Err(_)) => None,
            None => {
                self.give_up_link(part, link);
                None
            }
        }
    }

    /// The keeper at the other end of a link does not answer. Its task sees that
    /// nobody can ask over it any more.
    fn give_up_link(&self, part: QuotaPartition, link: &mpsc::Sender<ToKeeper>) {
        let uplink = self.parts[part.index()].uplink.borrow().clone();
        if matches!(uplink, Uplink::Linked(present) if present.same_channel(link)) {
            self.set_uplink(part, Uplink::Connecting, false);
        }
    }

    fn verdict(
        self: &Rc<Self>,
        part: QuotaPartition,
        ask: &QuotaAsk<'_>,
        decision: ReservationDecision,
    ) -> QuotaVerdict {
        let is_own = matches!(*self.parts[part.index()].uplink.borrow(), Uplink::Own);
        let is_alone = is_own && !self.parts[part.index()].is_keeper.get();
        match decision {
            ReservationDecision::Granted { after } => {
                QuotaVerdict::Granted(self.granted(part, ask, after), after)
            }
            // Another node may have what this one's small part lacks.
            ReservationDecision::Refused { .. } if is_alone => QuotaVerdict::Unreachable,
            ReservationDecision::Refused { retry_after, balance } => {
                QuotaVerdict::Beyond { retry_after, balance }
            }
        }
    }

    /// What a granted question holds; it may be used `after` that time.
    fn granted(self: &Rc<Self>, part: QuotaPartition, question: &impl Question, after: Duration) -> Credit {
        self.note_ahead(part, question, after);
        Credit {
            quotas: self.clone(),
            part,
            subject: question.subject().clone(),
            cost: question.cost(),
            is_spent: Cell::new(false),
        }
    }

    /// A request waits for its turn: until then it counts wherever this node asks.
    fn note_ahead(&self, part: QuotaPartition, question: &impl Question, after: Duration) {
        if after.is_zero() {
            return;
        }
        let now = self.clock.now();
        let mut ahead = self.parts[part.index()].ahead.borrow_mut();
        ahead.retain(|grant| grant.runs_at > now);
        ahead.push(GrantAhead {
            subject: question.subject().clone(),
            cost: question.cost(),
            runs_at: now + after,
        });
    }

    /// Units of each tenant or replica that were granted ahead and are still to run.
    fn granted_ahead(&self, part: QuotaPartition) -> HashMap<Arc<str>, u64> {
        let now = self.clock.now();
        let mut sums: HashMap<Arc<str>, u64> = HashMap::new();
        let ahead = self.parts[part.index()].ahead.borrow();
        for grant in ahead.iter().filter(|grant| grant.runs_at > now) {
            *sums.entry(grant.subject.clone()).or_default() += grant.cost;
        }
        sums
    }

    /// From now on this node's own keeper rules.
    fn take_own_uplink(&self, part: QuotaPartition, is_keeper: bool) {
        self.set_uplink(part, Uplink::Own, is_keeper);
        let now = self.clock.now();
        let mut keeper = self.parts[part.index()].keeper.borrow_mut();
        for (subject, cost) in self.granted_ahead(part) {
            keeper.carry(&subject, cost, now);
        }
    }

    /// What was granted goes back.
    fn refund(&self, part: QuotaPartition, subject: &Arc<str>, cost: u64) {
        let part = &self.parts[part.index()];
        match &*part.uplink.borrow() {
            Uplink::Own => part.keeper.borrow_mut().refund(subject, cost, self.clock.now()),
            Uplink::Linked(link) => {
                let tenant = subject.to_string();
                // Left out where too many wait: the tenant or replica has so much less.
                if link.try_send(ToKeeper::GiveBack { tenant, cost }).is_err() {
                    tracing::debug!(target: "quota", event = "credit could not go back", cost);
                }
            }
            Uplink::Connecting => {}
        }
    }

    fn set_uplink(&self, part: QuotaPartition, uplink: Uplink, is_keeper: bool) {
        let part = &self.parts[part.index()];
        part.uplink.replace(uplink);
        part.is_keeper.set(is_keeper);
        part.asked.borrow_mut().clear();
        self.count_listeners(part);
        part.changed.notify_waiters();
    }

    /// This node counts as one of its keeper's listeners while it asks no other.
    fn count_listeners(&self, part: &Part) {
        let is_own = matches!(*part.uplink.borrow(), Uplink::Own);
        let listeners = part.listeners.get() + usize::from(is_own);
        part.keeper
            .borrow_mut()
            .set_listeners(listeners, self.clock.now());
    }

    /// What the fleet looks like now. `own`: this node's address.
    fn look(&self, part: QuotaPartition, fleet: &dyn Fleet, own: SocketAddr) {
        let now = self.clock.now();
        let mut keeper = self.parts[part.index()].keeper.borrow_mut();
        let keeper = match &mut *keeper {
            PartKeeper::Quotas(keeper) => keeper,
            PartKeeper::Limits(keeper) => {
                let is_first = fleet.keepers(part).first() == Some(&own);
                let role = if is_first {
                    KeeperRole::Primary
                } else {
                    KeeperRole::Secondary
                };
                return keeper.set_role(role, now);
            }
        };
        keeper.set_listed_nodes(fleet.listed(), now);
        if let Some(configuration) = fleet.configuration() {
            let of_part = configuration
                .tenants
                .iter()
                .filter(|tenant| QuotaPartition::of_tenant(&tenant.name) == part);
            keeper.update_quotas(of_part, configuration.version, now);
        }
    }

    /// Balance of each tenant whose quota this node keeps, in units.
    pub fn balances(&self) -> Vec<(Arc<str>, f64)> {
        let kept = self.parts.iter().filter(|part| part.is_keeper.get());
        let mut balances = Vec::new();
        for part in kept {
            balances.extend(part.keeper.borrow().balances());
        }
        balances
    }
}

/// A place of a request that waits to ask again.
pub struct WaitSlot {
    quotas: Rc<Quotas>,
    tenant: Arc<str>,
    shown: Gauge,
}

impl Drop for WaitSlot {
    fn drop(&mut self) {
        self.quotas.wait_slots.borrow_mut().leave(&self.tenant);
        self.shown.dec();
    }
}

/// What a tenant paid for one request, or one request's place at a replica that named a
/// limit. It goes back unless the request ran, or may have.
pub struct Credit {
    quotas: Rc<Quotas>,
    part: QuotaPartition,
    subject: Arc<str>,
    cost: u64,
    is_spent: Cell<bool>,
}

impl std::fmt::Debug for Credit {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut shown = formatter.debug_struct("Credit");
        shown
            .field("subject", &self.subject)
            .field("cost", &self.cost)
            .finish()
    }
}

impl Credit {
    /// Units that it counts for.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// The request was sent: it may run.
    pub fn spend(&self) {
        self.is_spent.set(true);
    }

    /// The request provably did not run anywhere.
    pub fn unspend(&self) {
        self.is_spent.set(false);
    }
}

impl Drop for Credit {
    fn drop(&mut self) {
        if !self.is_spent.get() {
            self.quotas.refund(self.part, &self.subject, self.cost);
        }
    }
}
