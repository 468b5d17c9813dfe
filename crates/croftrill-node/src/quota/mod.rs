//! A node's part in the quotas that all nodes keep together.
//!
//! [`Quotas`] answers whether a request of a tenant may run: it asks the keeper of
//! the tenant's part over a link ([`link`]), or this node's own [`QuotaKeeper`]
//! where this node is the keeper, or can reach none. It knows nothing of requests
//! and of the node around it; what it needs of the fleet comes by [`Fleet`].

mod link;
pub mod wire;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use croftrill_scheduler::catalog::Configuration;
use croftrill_scheduler::quota::keeper::{KeeperConfig, QuotaKeeper, Ruling, Want};
use croftrill_scheduler::quota::keepers::QuotaPart;
use croftrill_scheduler::tenants::Quota;
use croftrill_scheduler::time::Moment;
use prometheus_client::metrics::counter::Counter;
use tokio::sync::{mpsc, oneshot, Notify};

pub(crate) use self::link::{follow_keeper, serve_listener};
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
    /// Addresses of the nodes that should keep a part, the first choice first.
    fn keepers(&self, part: QuotaPart) -> Vec<SocketAddr>;
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
    pub want: Want,
}

/// Whether a request may run.
#[derive(Debug)]
pub enum QuotaVerdict {
    /// It may, after this time.
    Granted(Credit, Duration),
    /// It is beyond the tenant's quota.
    Beyond {
        /// Time until the balance pays for it.
        again_after: Duration,
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

/// A node's side of one part.
struct Part {
    keeper: RefCell<QuotaKeeper>,
    /// Other nodes that listen to this node's keeper.
    listeners: Cell<usize>,
    uplink: RefCell<Uplink>,
    /// True if this node should keep the part, and does not just find no keeper.
    is_keeper: Cell<bool>,
    /// Questions that are not answered yet.
    asked: RefCell<HashMap<u64, Question>>,
    next_id: Cell<u64>,
    /// What was granted ahead and is still to run.
    ahead: RefCell<Vec<GrantAhead>>,
    /// Told when the uplink changes.
    changed: Notify,
}

/// A request that waits for its turn.
struct GrantAhead {
    tenant: Arc<str>,
    cost: u64,
    runs_at: Moment,
}

/// A question on its way to a keeper and back.
struct Question {
    answer: oneshot::Sender<Ruling>,
    tenant: Arc<str>,
    cost: u64,
}

/// The quotas as one node sees them.
pub struct Quotas {
    parts: Vec<Part>,
    clock: Clock,
    keepers_lost: Counter,
}

impl Quotas {
    /// A node that knows no keeper yet.
    pub fn new(config: KeeperConfig, clock: Clock, keepers_lost: Counter) -> Rc<Self> {
        let part = |_| Part {
            keeper: RefCell::new(QuotaKeeper::new(config, clock.now())),
            listeners: Cell::new(0),
            uplink: RefCell::new(Uplink::Connecting),
            is_keeper: Cell::new(false),
            asked: RefCell::default(),
            next_id: Cell::new(0),
            ahead: RefCell::default(),
            changed: Notify::new(),
        };
        Rc::new(Quotas {
            parts: QuotaPart::all().map(part).collect(),
            clock,
            keepers_lost,
        })
    }

    /// Asks whether a request may run; answers by `until`.
    pub async fn ask(self: &Rc<Self>, ask: QuotaAsk<'_>, until: Moment) -> QuotaVerdict {
        let part = QuotaPart::of_tenant(ask.tenant);
        let give_up = until.min(self.clock.now() + LINK_PATIENCE);
        for _ in 0..MOST_ASKED {
            let Some(uplink) = self.linked_uplink(part, give_up).await else {
                break;
            };
            let ruling = match &uplink {
                Uplink::Linked(link) => self.ask_linked(part, link, &ask).await,
                Uplink::Own | Uplink::Connecting => Some(self.ask_own(part, &ask)),
            };
            if let Some(ruling) = ruling {
                return self.verdict(part, &ask, ruling);
            }
            if self.clock.now() >= give_up {
                break;
            }
        }
        QuotaVerdict::Unreachable
    }

    /// The uplink of a part once there is one; `None` if none comes in time.
    async fn linked_uplink(&self, part: QuotaPart, give_up: Moment) -> Option<Uplink> {
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

    fn ask_own(&self, part: QuotaPart, ask: &QuotaAsk<'_>) -> Ruling {
        let now = self.clock.now();
        let mut keeper = self.parts[part.index()].keeper.borrow_mut();
        keeper.learn(ask.tenant, ask.quota, ask.version, now);
        keeper.ask(ask.tenant, ask.want, now)
    }

    /// The keeper's ruling; `None` if it did not answer, and is given up.
    async fn ask_linked(
        &self,
        part: QuotaPart,
        link: &mpsc::Sender<ToKeeper>,
        ask: &QuotaAsk<'_>,
    ) -> Option<Ruling> {
        let state = &self.parts[part.index()];
        let id = state.next_id.get();
        state.next_id.set(id + 1);
        let (answer, answered) = oneshot::channel();
        let question = Question {
            answer,
            tenant: ask.tenant.clone(),
            cost: ask.want.cost,
        };
        state.asked.borrow_mut().insert(id, question);
        let message = ToKeeper::Ask(WireAsk {
            id,
            tenant: ask.tenant.to_string(),
            cost: ask.want.cost,
            patience_ms: ask.want.patience.as_millis() as u32,
            is_urgent: ask.want.is_urgent,
            quota: WireQuota::from_quota(ask.quota),
            version: ask.version,
        });
        let limit = self.clock.now() + ANSWER_LIMIT;
        let answer = match link.try_send(message) {
            Ok(()) => self.clock.timeout_at(limit, answered).await.ok(),
            Err(_) => None,
        };
        match answer {
            Some(Ok(ruling)) => Some(ruling),
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
    fn give_up_link(&self, part: QuotaPart, link: &mpsc::Sender<ToKeeper>) {
        let uplink = self.parts[part.index()].uplink.borrow().clone();
        if matches!(uplink, Uplink::Linked(present) if present.same_channel(link)) {
            self.set_uplink(part, Uplink::Connecting, false);
        }
    }

    fn verdict(self: &Rc<Self>, part: QuotaPart, ask: &QuotaAsk<'_>, ruling: Ruling) -> QuotaVerdict {
        let is_own = matches!(*self.parts[part.index()].uplink.borrow(), Uplink::Own);
        let is_alone = is_own && !self.parts[part.index()].is_keeper.get();
        match ruling {
            Ruling::Granted { after } => {
                self.note_ahead(part, ask, after);
                let credit = Credit {
                    quotas: self.clone(),
                    part,
                    tenant: ask.tenant.clone(),
                    cost: ask.want.cost,
                    is_spent: Cell::new(false),
                };
                QuotaVerdict::Granted(credit, after)
            }
            // Another node may have what this one's small part lacks.
            Ruling::Refused { .. } if is_alone => QuotaVerdict::Unreachable,
            Ruling::Refused { again_after, balance } => QuotaVerdict::Beyond { again_after, balance },
        }
    }

    /// A request waits for its turn: until then it counts wherever this node asks.
    fn note_ahead(&self, part: QuotaPart, ask: &QuotaAsk<'_>, after: Duration) {
        if after.is_zero() {
            return;
        }
        let now = self.clock.now();
        let mut ahead = self.parts[part.index()].ahead.borrow_mut();
        ahead.retain(|grant| grant.runs_at > now);
        ahead.push(GrantAhead {
            tenant: ask.tenant.clone(),
            cost: ask.want.cost,
            runs_at: now + after,
        });
    }

    /// Units of each tenant that were granted ahead and are still to run.
    fn granted_ahead(&self, part: QuotaPart) -> HashMap<Arc<str>, u64> {
        let now = self.clock.now();
        let mut sums: HashMap<Arc<str>, u64> = HashMap::new();
        let ahead = self.parts[part.index()].ahead.borrow();
        for grant in ahead.iter().filter(|grant| grant.runs_at > now) {
            *sums.entry(grant.tenant.clone()).or_default() += grant.cost;
        }
        sums
    }

    /// From now on this node's own keeper rules.
    fn take_own_uplink(&self, part: QuotaPart, is_keeper: bool) {
        self.set_uplink(part, Uplink::Own, is_keeper);
        let now = self.clock.now();
        let mut keeper = self.parts[part.index()].keeper.borrow_mut();
        for (tenant, cost) in self.granted_ahead(part) {
            keeper.carry(&tenant, cost, now);
        }
    }

    /// What was granted goes back.
    fn give_back(&self, part: QuotaPart, tenant: &Arc<str>, cost: u64) {
        let part = &self.parts[part.index()];
        match &*part.uplink.borrow() {
            Uplink::Own => part.keeper.borrow_mut().give_back(tenant, cost, self.clock.now()),
            Uplink::Linked(link) => {
                let tenant = tenant.to_string();
                // Left out where too many wait: the tenant has so much less.
                if link.try_send(ToKeeper::GiveBack { tenant, cost }).is_err() {
                    tracing::debug!(target: "quota", event = "credit could not go back", cost);
                }
            }
            Uplink::Connecting => {}
        }
    }

    fn set_uplink(&self, part: QuotaPart, uplink: Uplink, is_keeper: bool) {
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

    /// What the fleet looks like now.
    fn look(&self, part: QuotaPart, fleet: &dyn Fleet) {
        let now = self.clock.now();
        let mut keeper = self.parts[part.index()].keeper.borrow_mut();
        keeper.count_listed(fleet.listed(), now);
        if let Some(configuration) = fleet.configuration() {
            let of_part = configuration
                .tenants
                .iter()
                .filter(|tenant| QuotaPart::of_tenant(&tenant.name) == part);
            keeper.learn_all(of_part, configuration.version, now);
        }
    }

    /// Balance of each tenant whose quota this node keeps, in units.
    pub fn balances(&self) -> Vec<(Arc<str>, f64)> {
        let kept = self.parts.iter().filter(|part| part.is_keeper.get());
        let mut balances = Vec::new();
        for part in kept {
            let keeper = part.keeper.borrow();
            balances.extend(keeper.balances().map(|(name, balance)| (name.clone(), balance)));
        }
        balances
    }
}

/// What a tenant paid for one request. It goes back unless the request ran, or may have.
pub struct Credit {
    quotas: Rc<Quotas>,
    part: QuotaPart,
    tenant: Arc<str>,
    cost: u64,
    is_spent: Cell<bool>,
}

impl std::fmt::Debug for Credit {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut shown = formatter.debug_struct("Credit");
        shown
            .field("tenant", &self.tenant)
            .field("cost", &self.cost)
            .finish()
    }
}

impl Credit {
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
            self.quotas.give_back(self.part, &self.tenant, self.cost);
        }
    }
}
