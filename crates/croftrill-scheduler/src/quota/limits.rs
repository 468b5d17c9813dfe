//! Limits on the requests that all nodes together send to a replica which reported one.
//!
//! One node keeps the limit ([`LimitKeeper`]), and the others request a reservation from it
//! before each send. The balance grows at the rate of the limit and saves little, so that sends
//! are spread over time. When the balance is used up, sends are reserved ahead, but only for a
//! short time, since the next keeper does not know of reservations made at this one.
//!
//! With nodes whose lists agree, and `L` the limit, the worst sum in any time `t` is `L` x `t`
//! plus two savings from the primary keeper, a quarter of `L` x `t` plus two savings from the
//! secondary, and `L` x [`MAX_AHEAD`] once when one keeper replaces the other. For limits of up to
//! ten per second that is 5.5 `L` + 4 in 4 s, where 6 `L` + 5 are promised.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::decision::ReservationDecision;
use crate::replica::{Incarnation, RequestRate, StartedMs};
use crate::time::Moment;

/// Minimum rate regardless of the reported limit, in requests per second over all nodes. Only an
/// answer shows that the limit is lifted, so some requests must continue: one in 4 s.
pub const MIN_RATE_PER_S: f64 = 0.25;
/// Time whose income can be saved while there are no requests; at least one request is saved.
const SAVINGS_PERIOD: Duration = Duration::from_millis(100);
/// Maximum time for which a send is reserved ahead. A request that would wait longer is better
/// refused with a time to retry after, and the next keeper does not know of reservations made at
/// this one.
pub const MAX_AHEAD: Duration = Duration::from_millis(500);
/// Fraction of the limit granted by a secondary keeper, as the primary may still serve other
/// nodes. A replica can take the sum of both for a while. Three quarters of the limit are unused
/// until the primary is removed from the list.
const SECONDARY_LIMIT_FRACTION: f64 = 0.25;
/// Maximum time to retry after: beyond it the limit has probably changed.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Time without requests after which an account is dropped.
const ACCOUNT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Bounds of the fraction of the income that is set aside for urgent requests; see
/// [`super::account`].
const MIN_URGENT_FRACTION: f64 = 0.05;
const MAX_URGENT_FRACTION: f64 = 0.6;
/// Factor on the demand of urgent requests by which income is set aside for them, as they arrive
/// unevenly.
const URGENT_MARGIN: f64 = 1.25;
/// Time constant with which the measured demand of urgent requests decays.
const URGENT_DECAY_S: f64 = 2.0;

/// A replica's limit as a node received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLimit {
    /// Rate that the replica accepts from all nodes together.
    pub rate: RequestRate,
    /// When the answer with this limit arrived.
    pub received_at: Moment,
}

/// A request to send one call to a replica that has a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitRequest {
    /// Time that the call can wait for its reservation.
    pub patience: Duration,
    /// True if no other calls are more urgent.
    pub is_urgent: bool,
}

/// Role of a keeper, by its position in its own list of the keepers of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeeperRole {
    /// The first choice, used by all nodes that can reach it.
    Primary,
    /// Used by nodes that cannot reach the first choice.
    Secondary,
}

impl KeeperRole {
    fn limit_fraction(self) -> f64 {
        match self {
            KeeperRole::Primary => 1.0,
            KeeperRole::Secondary => SECONDARY_LIMIT_FRACTION,
        }
    }
}

/// A token bucket with little capacity for calls of one kind.
#[derive(Debug, Clone, Copy, Default)]
struct TokenBucket {
    /// Calls that may be sent now; negative if calls are reserved ahead.
    balance: f64,
    /// Calls that were refused, less those that could have been granted since.
    refused: f64,
}

impl TokenBucket {
    /// Adds tokens and returns those beyond the capacity.
    fn add(&mut self, tokens: f64, max_savings: f64) -> f64 {
        self.refused = (self.refused - tokens).max(0.0);
        let free_capacity = (max_savings - self.balance).max(0.0);
        self.balance += tokens.min(free_capacity);
        (tokens - free_capacity).max(0.0)
    }

    /// Returns the time until a refused call can be sent, behind those that were refused before.
    fn retry_after(&self, income_per_s: f64) -> Duration {
        self.available_in(income_per_s, self.refused)
    }

    /// Returns the time until a call can be sent, behind `ahead` others.
    fn available_in(&self, income_per_s: f64, ahead: f64) -> Duration {
        let missing = (1.0 + ahead - self.balance).max(0.0);
        let available_in = Duration::try_from_secs_f64(missing / income_per_s.max(f64::MIN_POSITIVE));
        available_in.unwrap_or(MAX_RETRY_AFTER).min(MAX_RETRY_AFTER)
    }
}

/// The balance of one replica's limit.
#[derive(Debug, Clone)]
struct Account {
    started_ms: Option<StartedMs>,
    limit: ReportedLimit,
    non_urgent: TokenBucket,
    urgent: TokenBucket,
    /// Urgent calls requested, decaying with [`URGENT_DECAY_S`].
    urgent_demand: f64,
    settled_at: Moment,
    last_request_at: Moment,
}

impl Account {
    /// Creates an account without a balance, as a former keeper may just have used it.
    fn new(started_ms: Option<StartedMs>, limit: ReportedLimit, now: Moment) -> Self {
        Account {
            started_ms,
            limit,
            non_urgent: TokenBucket::default(),
            urgent: TokenBucket::default(),
            urgent_demand: 0.0,
            settled_at: now,
            last_request_at: now,
        }
    }

    /// Applies a limit received by a node if it is newer than the known one.
    fn update_limit(&mut self, started_ms: Option<StartedMs>, limit: ReportedLimit) {
        let is_newer = match Incarnation::of(started_ms, self.started_ms) {
            Incarnation::Earlier => false,
            Incarnation::Later => true,
            Incarnation::Same => limit.received_at > self.limit.received_at,
        };
        if is_newer {
            self.limit = limit;
            self.started_ms = started_ms.or(self.started_ms);
        }
    }

    fn income_per_s(&self, role: KeeperRole) -> f64 {
        self.limit.rate.per_s().max(MIN_RATE_PER_S) * role.limit_fraction()
    }

    /// Returns the fraction of the income to set aside for urgent calls. Otherwise the other
    /// calls would use all of it, as those that can wait longest reserve first.
    fn urgent_fraction(&self, income_per_s: f64) -> f64 {
        let demand_per_s = self.urgent_demand / URGENT_DECAY_S;
        let needed = URGENT_MARGIN * demand_per_s / income_per_s;
        needed.clamp(MIN_URGENT_FRACTION, MAX_URGENT_FRACTION)
    }

    fn settle(&mut self, role: KeeperRole, now: Moment) {
        let elapsed_s = now.since(self.settled_at).as_secs_f64();
        self.settled_at = self.settled_at.max(now);
        let income_per_s = self.income_per_s(role);
        let max_savings = max_savings(income_per_s);
        let tokens = income_per_s * elapsed_s;
        let for_urgent = tokens * self.urgent_fraction(income_per_s);
        let surplus = self.urgent.add(for_urgent, max_savings);
        self.non_urgent.add(tokens - for_urgent + surplus, max_savings);
        self.urgent_demand *= (-elapsed_s / URGENT_DECAY_S).exp();
    }

    fn reserve(&mut self, request: LimitRequest, role: KeeperRole, now: Moment) -> ReservationDecision {
        self.last_request_at = now;
        if request.is_urgent {
            self.urgent_demand += 1.0;
        }
        let income_per_s = self.income_per_s(role);
        let urgent_per_s = income_per_s * self.urgent_fraction(income_per_s);
        let non_urgent_per_s = income_per_s - urgent_per_s;
        let patience = request.patience.min(MAX_AHEAD);
        if request.is_urgent {
            let after = self.urgent.available_in(urgent_per_s, 0.0);
            if after <= patience && after <= self.non_urgent.available_in(non_urgent_per_s, 0.0) {
                self.urgent.balance -= 1.0;
                return ReservationDecision::Granted { after };
            }
        }
        let after = self.non_urgent.available_in(non_urgent_per_s, 0.0);
        if after <= patience {
            self.non_urgent.balance -= 1.0;
            return ReservationDecision::Granted { after };
        }
        let mut retry_after = self.non_urgent.retry_after(non_urgent_per_s);
        let mut bucket = &mut self.non_urgent;
        // An urgent call may use either bucket.
        let by_urgent = self.urgent.retry_after(urgent_per_s);
        if request.is_urgent && by_urgent <= retry_after {
            retry_after = by_urgent;
            bucket = &mut self.urgent;
        }
        bucket.refused += 1.0;
        ReservationDecision::Refused {
            retry_after,
            balance: self.non_urgent.balance + self.urgent.balance,
        }
    }

    /// Returns the reservation of a call that was not sent. The balance may have grown in the
    /// meantime, and stays within what can be saved.
    fn refund(&mut self, role: KeeperRole) {
        let max_savings = max_savings(self.income_per_s(role));
        self.non_urgent.add(1.0, max_savings);
    }
}

/// Returns the reservations that can be saved.
fn max_savings(income_per_s: f64) -> f64 {
    (income_per_s * SAVINGS_PERIOD.as_secs_f64()).max(1.0)
}

/// The limits that one node keeps for all nodes.
#[derive(Debug)]
pub struct LimitKeeper {
    role: KeeperRole,
    accounts: HashMap<Arc<str>, Account>,
}

impl LimitKeeper {
    /// Creates a keeper without accounts.
    pub fn new() -> Self {
        LimitKeeper {
            role: KeeperRole::Secondary,
            accounts: HashMap::new(),
        }
    }

    /// Returns this keeper's role.
    pub fn role(&self) -> KeeperRole {
        self.role
    }

    /// Sets this keeper's role.
    pub fn set_role(&mut self, role: KeeperRole, now: Moment) {
        if role == self.role {
            return;
        }
        for account in self.accounts.values_mut() {
            account.settle(self.role, now);
        }
        self.role = role;
    }

    /// Decides on a call to a replica. `limit` is the limit that the calling node received from
    /// the incarnation started at `started_ms`.
    pub fn reserve(
        &mut self,
        replica: &Arc<str>,
        started_ms: Option<StartedMs>,
        limit: ReportedLimit,
        request: LimitRequest,
        now: Moment,
    ) -> ReservationDecision {
        if !self.accounts.contains_key(replica) {
            self.accounts
                .retain(|_, account| now.since(account.last_request_at) < ACCOUNT_IDLE_TIMEOUT);
        }
        let account = self.accounts.entry(replica.clone());
        let account = account.or_insert_with(|| Account::new(started_ms, limit, now));
        account.settle(self.role, now);
        account.update_limit(started_ms, limit);
        account.reserve(request, self.role, now)
    }

    /// Charges calls that another keeper granted and that are still to be sent.
    pub fn carry(&mut self, replica: &str, calls: u64, now: Moment) {
        if let Some(account) = self.accounts.get_mut(replica) {
            account.settle(self.role, now);
            account.non_urgent.balance -= calls as f64;
        }
    }

    /// Returns the reservation of a call that was not sent.
    pub fn refund(&mut self, replica: &str, now: Moment) {
        if let Some(account) = self.accounts.get_mut(replica) {
            account.settle(self.role, now);
            account.refund(self.role);
        }
    }
}

impl Default for LimitKeeper {
    fn default() -> Self {
        Self::new()
    }
}

/// Reservations of a node that cannot reach a keeper: an even share of the limit, at fixed times
/// that differ between nodes. A reservation that is not used expires, so nodes cannot save up a
/// burst, no matter how many are standalone and for how long.
#[derive(Debug, Default)]
pub struct StandaloneReservations {
    schedules: HashMap<Arc<str>, SendSchedule>,
}

#[derive(Debug, Clone, Copy)]
struct SendSchedule {
    interval: Duration,
    next: Moment,
}

impl StandaloneReservations {
    /// Decides on a call to a replica with this limit, shared evenly by `nodes` nodes. `unit` is
    /// drawn uniformly from 0 to 1.
    pub fn reserve(
        &mut self,
        replica: &Arc<str>,
        rate: RequestRate,
        nodes: usize,
        unit: f64,
        patience: Duration,
        now: Moment,
    ) -> ReservationDecision {
        let share_per_s = rate.per_s().max(MIN_RATE_PER_S) / nodes.max(1) as f64;
        let interval = Duration::from_secs_f64(1.0 / share_per_s);
        self.schedules
            .retain(|_, schedule| now.since(schedule.next) < ACCOUNT_IDLE_TIMEOUT);
        let drawn = SendSchedule {
            interval,
            next: now + interval.mul_f64(unit),
        };
        let schedule = self.schedules.entry(replica.clone()).or_insert(drawn);
        if schedule.interval != interval {
            *schedule = drawn;
        }
        let missed = now.since(schedule.next).as_secs_f64() / interval.as_secs_f64();
        schedule.next = schedule.next + interval.mul_f64(missed.ceil());
        let after = schedule.next.since(now);
        if after > patience.min(MAX_AHEAD) {
            let retry_after = after.min(MAX_RETRY_AFTER);
            let balance = 0.0;
            return ReservationDecision::Refused { retry_after, balance };
        }
        schedule.next = schedule.next + interval;
        ReservationDecision::Granted { after }
    }
}
