//! Requests that all nodes together send to a replica that named a limit.
//!
//! One node keeps the limit ([`LimitKeeper`]); the others ask it before each send. Its
//! balance gains what the limit allows and saves little, so that calls to the replica are
//! spread over time. Beyond that a place is booked ahead, for a short time only: what was
//! booked at one keeper is not known to the next one.
//!
//! The worst sum in any time `t`, with `L` the limit, over nodes whose lists agree:
//! `L` x `t` and two savings from the first keeper, a quarter of `L` x `t` and two savings
//! from the second, and once `L` x [`MOST_AHEAD`] where one follows the other. With limits
//! of up to ten a second that is 5.5 `L` + 4 in 4 s, where 6 `L` + 5 are promised.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::ruling::Ruling;
use crate::replica::{BornMs, Incarnation, RequestRate};
use crate::time::Moment;

/// Least rate, in requests a second, whatever a replica names: only an answer tells that
/// its need is over, so somebody has to go on asking. One in 4 s over all nodes.
pub const LEAST_PER_S: f64 = 0.25;
/// Time whose gain is saved up while nobody asks, one request at least.
const SAVED_FOR: Duration = Duration::from_millis(100);
/// Longest time for which a place is booked ahead. A request that waits longer is better
/// refused with a time; and a keeper that follows another does not know of its bookings.
pub const MOST_AHEAD: Duration = Duration::from_millis(500);
/// Part of the limit at a keeper that is not the first of its list: the first may be there
/// all the same, for other nodes. Both together stay under what a replica bears for a
/// while; until the list says that the first is gone, three quarters are lost.
const SECOND_PART: f64 = 0.25;
/// Longest time to come back that is told: beyond it a limit has changed more likely than
/// not.
const LONGEST_RETURN: Duration = Duration::from_secs(60);
/// Time without a question after which an account is dropped.
const ACCOUNT_MEMORY: Duration = Duration::from_secs(60);
/// Part of the gain that is kept for urgent requests, at least and at most: see
/// [`super::account`].
const LEAST_URGENT_PART: f64 = 0.05;
const MOST_URGENT_PART: f64 = 0.6;
/// What is kept for urgent requests, in what they asked for: they come unevenly.
const URGENT_MARGIN: f64 = 1.25;
/// Time constant of what urgent requests ask for.
const URGENT_MEMORY_S: f64 = 2.0;

/// A limit as a node heard it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NamedLimit {
    /// Requests that the replica takes from all nodes together.
    pub rate: RequestRate,
    /// When the answer came that named it.
    pub heard_at: Moment,
}

/// What a call wants of a replica's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitWant {
    /// Time for which it can wait for its turn.
    pub patience: Duration,
    /// True if no other calls are more urgent.
    pub is_urgent: bool,
}

/// Place of a keeper in its own list of those that may keep a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// The first: all ask it who reach it.
    First,
    /// Asked by nodes that do not reach the first.
    Second,
}

impl Standing {
    fn part(self) -> f64 {
        match self {
            Standing::First => 1.0,
            Standing::Second => SECOND_PART,
        }
    }
}

/// Places for calls of one kind, as a balance that never saves much.
#[derive(Debug, Clone, Copy, Default)]
struct Lane {
    /// Places that may be taken now; below zero: as many are booked ahead.
    balance: f64,
    /// Calls that were refused, less those that have had their turn since.
    refused: f64,
}

impl Lane {
    /// Gains places; answers those beyond what is saved.
    fn gain(&mut self, places: f64, most_saved: f64) -> f64 {
        self.refused = (self.refused - places).max(0.0);
        let room = (most_saved - self.balance).max(0.0);
        self.balance += places.min(room);
        (places - room).max(0.0)
    }

    /// Time until a call has its turn, behind `ahead` others.
    fn turn_in(&self, gain_per_s: f64, ahead: f64) -> Duration {
        let missing = (1.0 + ahead - self.balance).max(0.0);
        let turn_in = Duration::try_from_secs_f64(missing / gain_per_s.max(f64::MIN_POSITIVE));
        turn_in.unwrap_or(LONGEST_RETURN).min(LONGEST_RETURN)
    }
}

/// What is left of one replica's limit.
#[derive(Debug, Clone)]
struct Account {
    born_ms: Option<BornMs>,
    limit: NamedLimit,
    usual: Lane,
    urgent: Lane,
    /// Urgent calls that asked, fading with [`URGENT_MEMORY_S`].
    urgent_asked: f64,
    settled_at: Moment,
    asked_at: Moment,
}

impl Account {
    /// An account without places: those of a former keeper may just have been taken.
    fn new(born_ms: Option<BornMs>, limit: NamedLimit, now: Moment) -> Self {
        Account {
            born_ms,
            limit,
            usual: Lane::default(),
            urgent: Lane::default(),
            urgent_asked: 0.0,
            settled_at: now,
            asked_at: now,
        }
    }

    /// A node told what it heard of the replica: the newest holds.
    fn learn(&mut self, born_ms: Option<BornMs>, limit: NamedLimit) {
        let is_newer = match Incarnation::of(born_ms, self.born_ms) {
            Incarnation::Earlier => false,
            Incarnation::Later => true,
            Incarnation::Same => limit.heard_at > self.limit.heard_at,
        };
        if is_newer {
            self.limit = limit;
            self.born_ms = born_ms.or(self.born_ms);
        }
    }

    fn gain_per_s(&self, standing: Standing) -> f64 {
        self.limit.rate.per_s().max(LEAST_PER_S) * standing.part()
    }

    /// Part of the gain that is kept for urgent calls. Others would else take all of it,
    /// as those that can wait longest book first.
    fn urgent_part(&self, gain_per_s: f64) -> f64 {
        let asked_per_s = self.urgent_asked / URGENT_MEMORY_S;
        let wanted = URGENT_MARGIN * asked_per_s / gain_per_s;
        wanted.clamp(LEAST_URGENT_PART, MOST_URGENT_PART)
    }

    fn settle(&mut self, standing: Standing, now: Moment) {
        let elapsed_s = now.since(self.settled_at).as_secs_f64();
        self.settled_at = self.settled_at.max(now);
        let gain_per_s = self.gain_per_s(standing);
        let most_saved = (gain_per_s * SAVED_FOR.as_secs_f64()).max(1.0);
        let places = gain_per_s * elapsed_s;
        let for_urgent = places * self.urgent_part(gain_per_s);
        let unwanted = self.urgent.gain(for_urgent, most_saved);
        self.usual.gain(places - for_urgent + unwanted, most_saved);
        self.urgent_asked *= (-elapsed_s / URGENT_MEMORY_S).exp();
    }

    fn ask(&mut self, want: LimitWant, standing: Standing, now: Moment) -> Ruling {
        self.asked_at = now;
        if want.is_urgent {
            self.urgent_asked += 1.0;
        }
        let gain_per_s = self.gain_per_s(standing);
        let urgent_per_s = gain_per_s * self.urgent_part(gain_per_s);
        let usual_per_s = gain_per_s - urgent_per_s;
        let patience = want.patience.min(MOST_AHEAD);
        if want.is_urgent {
            let after = self.urgent.turn_in(urgent_per_s, 0.0);
            if after <= patience && after <= self.usual.turn_in(usual_per_s, 0.0) {
                self.urgent.balance -= 1.0;
                return Ruling::Granted { after };
            }
        }
        let after = self.usual.turn_in(usual_per_s, 0.0);
        if after <= patience {
            self.usual.balance -= 1.0;
            return Ruling::Granted { after };
        }
        let (lane, lane_per_s) = if want.is_urgent {
            (&mut self.urgent, urgent_per_s)
        } else {
            (&mut self.usual, usual_per_s)
        };
        let again_after = lane.turn_in(lane_per_s, lane.refused);
        lane.refused += 1.0;
        Ruling::Refused {
            again_after,
            balance: self.usual.balance + self.urgent.balance,
        }
    }

    /// A call that was granted did not leave.
    fn give_back(&mut self) {
        self.usual.balance += 1.0;
    }
}

/// The limits that one node keeps for all.
#[derive(Debug)]
pub struct LimitKeeper {
    standing: Standing,
    accounts: HashMap<Arc<str>, Account>,
}

impl LimitKeeper {
    /// A keeper without accounts.
    pub fn new() -> Self {
        LimitKeeper {
            standing: Standing::Second,
            accounts: HashMap::new(),
        }
    }

    /// Its place in its own list.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Its place in its own list is this from now on.
    pub fn stand(&mut self, standing: Standing, now: Moment) {
        if standing == self.standing {
            return;
        }
        for account in self.accounts.values_mut() {
            account.settle(self.standing, now);
        }
        self.standing = standing;
    }

    /// A call wants to go to a replica of which its node heard this limit, at the
    /// incarnation that started at `born_ms`.
    pub fn ask(
        &mut self,
        replica: &Arc<str>,
        born_ms: Option<BornMs>,
        limit: NamedLimit,
        want: LimitWant,
        now: Moment,
    ) -> Ruling {
        if !self.accounts.contains_key(replica) {
            self.accounts
                .retain(|_, account| now.since(account.asked_at) < ACCOUNT_MEMORY);
        }
        let account = self.accounts.entry(replica.clone());
        let account = account.or_insert_with(|| Account::new(born_ms, limit, now));
        account.settle(self.standing, now);
        account.learn(born_ms, limit);
        account.ask(want, self.standing, now)
    }

    /// So many calls were granted by another keeper and are still to leave.
    pub fn carry(&mut self, replica: &str, calls: u64, now: Moment) {
        if let Some(account) = self.accounts.get_mut(replica) {
            account.settle(self.standing, now);
            account.usual.balance -= calls as f64;
        }
    }

    /// A call that was granted did not leave.
    pub fn give_back(&mut self, replica: &str, now: Moment) {
        if let Some(account) = self.accounts.get_mut(replica) {
            account.settle(self.standing, now);
            account.give_back();
        }
    }
}

impl Default for LimitKeeper {
    fn default() -> Self {
        Self::new()
    }
}

/// Turns of a node that reaches no keeper: its even part of the limit, at fixed times that
/// differ between nodes. A turn that is not taken lapses, so however many nodes are alone
/// and for however long, they do not save up what they then send together.
#[derive(Debug, Default)]
pub struct LoneTurns {
    turns: HashMap<Arc<str>, Turn>,
}

#[derive(Debug, Clone, Copy)]
struct Turn {
    interval: Duration,
    next: Moment,
}

impl LoneTurns {
    /// A call wants to go to a replica with this limit, of `nodes` nodes in all. `unit`:
    /// drawn evenly from 0 to 1.
    pub fn ask(
        &mut self,
        replica: &Arc<str>,
        rate: RequestRate,
        nodes: usize,
        unit: f64,
        patience: Duration,
        now: Moment,
    ) -> Ruling {
        let part_per_s = rate.per_s().max(LEAST_PER_S) / nodes.max(1) as f64;
        let interval = Duration::from_secs_f64(1.0 / part_per_s);
        self.turns.retain(|_, turn| now.since(turn.next) < ACCOUNT_MEMORY);
        let drawn = Turn {
            interval,
            next: now + interval.mul_f64(unit),
        };
        let turn = self.turns.entry(replica.clone()).or_insert(drawn);
        if turn.interval != interval {
            *turn = drawn;
        }
        let missed = now.since(turn.next).as_secs_f64() / interval.as_secs_f64();
        turn.next = turn.next + interval.mul_f64(missed.ceil());
        let after = turn.next.since(now);
        if after > patience.min(MOST_AHEAD) {
            let again_after = after.min(LONGEST_RETURN);
            let balance = 0.0;
            return Ruling::Refused { again_after, balance };
        }
        turn.next = turn.next + interval;
        Ruling::Granted { after }
    }
}
