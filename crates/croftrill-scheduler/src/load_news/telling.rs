//! Which accounts all nodes are told: those that say something new, as far as a bound on
//! bytes allows.

use std::collections::HashMap;
use std::time::Duration;

use super::{Hearing, LoadAccount, LoadKey, LONGEST_AGE, MOST_REPLICAS};
use crate::capacity::ReplicaLoad;
use crate::time::Moment;

/// Least change of a replica's requests that is told.
const LEAST_REQUESTS: u32 = 2;
/// The change must also be more than one part in so many of its slots.
const SLOT_PARTS: u32 = 10;
/// The time that work takes may change by one part in so many without being told.
const WORK_TIME_PARTS: u32 = 5;
/// Time after which a replica at work is told of again, changed or not: less than what an
/// account takes to lose its meaning, or it would be taken for one with less to do.
const TOLD_AGAIN: Duration = Duration::from_millis(500);
/// Time for which bytes that were not used are kept.
const BURST: Duration = Duration::from_millis(500);

/// How much is told.
#[derive(Debug, Clone, Copy)]
pub struct TellingConfig {
    /// Bytes of accounts a second, to each listener.
    pub bytes_per_s: u32,
    /// Most bytes of one account.
    pub account_bytes: u32,
}

/// What is known of a replica, and was told of it.
#[derive(Debug, Clone, Copy)]
struct Known {
    newest: LoadAccount,
    /// The account that was told last, and when.
    told: Option<(LoadAccount, Moment)>,
}

impl Known {
    fn is_due(&self, now: Moment) -> bool {
        if now.since(self.newest.at) >= LONGEST_AGE {
            return false;
        }
        let Some((told, told_at)) = self.told else {
            return true;
        };
        let load = self.newest.load;
        let is_newer = self.newest.at > told.at;
        let is_again = load.requests() > 0 && now.since(told_at) >= TOLD_AGAIN;
        is_newer && (is_again || differs(told.load, load))
    }
}

/// True if what is known of a replica changed so much that others would decide otherwise.
fn differs(told: ReplicaLoad, load: ReplicaLoad) -> bool {
    let change = told.requests().abs_diff(load.requests());
    let is_part_of_slots = change.saturating_mul(SLOT_PARTS) > load.slots.unwrap_or(0);
    let requests_differ = change >= LEAST_REQUESTS && is_part_of_slots;
    let work_time_differs = match (told.work_time_pct, load.work_time_pct) {
        (Some(told), Some(now)) => told.abs_diff(now).saturating_mul(WORK_TIME_PARTS) > told,
        (told, now) => told != now,
    };
    requests_differ || work_time_differs || is_full(told) != is_full(load)
}

fn is_full(load: ReplicaLoad) -> bool {
    load.waiting > 0 || load.slots.is_some_and(|slots| load.running >= slots)
}

/// Accounts of replicas, with what was told of them.
#[derive(Debug)]
pub struct LoadTelling {
    config: TellingConfig,
    replicas: HashMap<LoadKey, Known>,
    /// Bytes that may be told now.
    allowance: f64,
    counted_at: Moment,
}

/// What is told now.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Due {
    /// Accounts to tell.
    pub accounts: Vec<LoadAccount>,
    /// Those that have to wait.
    pub left_out: usize,
}

impl LoadTelling {
    /// Nothing is known yet.
    pub fn new(config: TellingConfig, now: Moment) -> Self {
        LoadTelling {
            config,
            replicas: HashMap::new(),
            allowance: 0.0,
            counted_at: now,
        }
    }

    /// An account was heard.
    pub fn hear(&mut self, account: LoadAccount, now: Moment) -> Hearing {
        if now.since(account.at) >= LONGEST_AGE {
            return Hearing::Old;
        }
        let is_full = self.replicas.len() >= MOST_REPLICAS;
        match self.replicas.get_mut(&account.key) {
            Some(known) if known.newest.at >= account.at => Hearing::Old,
            Some(known) => {
                known.newest = account;
                Hearing::Kept
            }
            None if is_full => Hearing::LeftOut,
            None => {
                let known = Known {
                    newest: account,
                    told: None,
                };
                self.replicas.insert(account.key, known);
                Hearing::Kept
            }
        }
    }

    /// Replicas of which something is known.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// True if nothing is known.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Takes what is told now: what was told longest ago goes first.
    pub fn take_due(&mut self, now: Moment) -> Due {
        self.earn(now);
        self.replicas
            .retain(|_, known| now.since(known.newest.at) < LONGEST_AGE);
        let due = self.replicas.values_mut().filter(|known| known.is_due(now));
        let mut due: Vec<&mut Known> = due.collect();
        due.sort_by_key(|known| (known.told.map(|(_, at)| at), known.newest.key));
        let account_bytes = f64::from(self.config.account_bytes);
        let room = (self.allowance / account_bytes) as usize;
        let told = room.min(due.len());
        self.allowance -= told as f64 * account_bytes;
        let accounts = due.iter_mut().take(told).map(|known| {
            known.told = Some((known.newest, now));
            known.newest
        });
        Due {
            accounts: accounts.collect(),
            left_out: due.len() - told,
        }
    }

    fn earn(&mut self, now: Moment) {
        let rate = f64::from(self.config.bytes_per_s);
        let earned = rate * now.since(self.counted_at).as_secs_f64();
        self.allowance = (self.allowance + earned).min(rate * BURST.as_secs_f64());
        self.counted_at = self.counted_at.max(now);
    }
}
