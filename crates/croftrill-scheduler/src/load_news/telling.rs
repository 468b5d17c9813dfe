//! Selection of the load samples to publish to all nodes: those that would change decisions,
//! within a limit on bytes.

use std::collections::HashMap;
use std::time::Duration;

use super::{Hearing, LoadAccount, LoadKey, LONGEST_AGE, MOST_REPLICAS};
use crate::capacity::ReplicaLoad;
use crate::time::Moment;

/// Smallest change of a replica's number of requests that is published.
const LEAST_REQUESTS: u32 = 2;
/// The change must also exceed the replica's slots divided by this.
const SLOT_PARTS: u32 = 10;
/// A change of work time is published if it exceeds the published work time divided by this.
const WORK_TIME_PARTS: u32 = 5;
/// Time after which the load of a replica with requests is published again, changed or not.
/// Shorter than the time in which a sample fades, as the replica would otherwise be assumed to
/// have fewer requests than it has.
const TOLD_AGAIN: Duration = Duration::from_millis(500);
/// Time for which unused bytes accumulate.
const BURST: Duration = Duration::from_millis(500);

/// Limits on published samples.
#[derive(Debug, Clone, Copy)]
pub struct TellingConfig {
    /// Bytes of samples per second, for each receiver.
    pub bytes_per_s: u32,
    /// Maximum size of an encoded sample.
    pub account_bytes: u32,
}

/// The newest sample of a replica and the last published one.
#[derive(Debug, Clone, Copy)]
struct Known {
    newest: LoadAccount,
    /// The last published sample, and when it was published.
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

/// Returns whether the load changed so much that other nodes would decide differently.
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

/// Newest and published samples of replicas.
#[derive(Debug)]
pub struct LoadTelling {
    config: TellingConfig,
    replicas: HashMap<LoadKey, Known>,
    /// Bytes that may be published now.
    allowance: f64,
    counted_at: Moment,
}

/// The samples to publish now.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Due {
    /// Samples to publish.
    pub accounts: Vec<LoadAccount>,
    /// Number of samples that have to wait.
    pub left_out: usize,
}

impl LoadTelling {
    /// Creates a publisher without samples.
    pub fn new(config: TellingConfig, now: Moment) -> Self {
        LoadTelling {
            config,
            replicas: HashMap::new(),
            allowance: 0.0,
            counted_at: now,
        }
    }

    /// Records a sample.
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

    /// Returns the number of replicas of which a sample is stored.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Returns whether no sample is stored.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Returns the samples to publish now, least recently published replicas first.
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
