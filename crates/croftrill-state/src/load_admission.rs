//! Admission of model loads to the rate-limited weight store.
//!
//! The coordinator of a cell owns one [`LoadAdmission`]. Owners ask it before
//! they order a load that reads from the store, ask again while they are told
//! to wait, and report the end of the load.
//!
//! Invariants:
//! - at most `concurrent_loads` leased permits exist at any time;
//! - in any window of `w` milliseconds at most `1 + w * rate` loads are granted;
//! - among the askers that still ask, the most urgent deadline goes first, and
//!   an asker that has waited for `most_wait_millis` goes before every new one,
//!   so that none starves;
//! - a permit whose report is lost ends with its lease;
//! - loads that read nothing from the store pass at once and are not counted.

mod config;
mod schedule;
mod store_speed;
mod token_bucket;

pub use config::LoadAdmissionConfig;

use crate::identifiers::{EngineId, ModelId};
use crate::time::Instant;
use schedule::Schedule;
use std::collections::BTreeMap;
use store_speed::{RunningEvidence, StoreSpeed};
use token_bucket::TokenBucket;

/// An asker whose deadline cannot be met asks again after at least this long,
/// in milliseconds: by then it has refused the request, and perhaps asks for
/// one that can wait longer.
const LEAST_RETRY_OUT_OF_TIME_MILLIS: u64 = 20;

/// The answer to a request for a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// Start now and report the end.
    Granted {
        /// Expected duration at the store's present speed, in milliseconds; 0
        /// if nothing is read from the store. May be longer than the deadline
        /// when the load serves to measure the store.
        expected_millis: u64,
    },
    /// Ask again. If `expected_millis` is longer than the deadline, the load
    /// cannot help the request that waits for it.
    Wait {
        /// When to ask again, in milliseconds.
        retry_after_millis: u64,
        /// Expected time until the load would be done, in milliseconds.
        expected_millis: u64,
    },
}

/// Identifies a load: one model on one engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LoadKey {
    engine: EngineId,
    model: ModelId,
}

/// A load that holds a permit.
#[derive(Clone, Debug)]
struct RunningLoad {
    remote_mib: u64,
    started: Instant,
    /// When its owner last asked for it, which its lease counts from.
    renewed: Instant,
}

/// A load whose owner was told to ask again.
#[derive(Clone, Debug)]
struct WaitingLoad {
    remote_mib: u64,
    deadline: Instant,
    first_asked: Instant,
    /// Its owner no longer wants it if it has not asked again until then.
    forget_after: Instant,
}

/// Admits loads to the weight store. See the module's documentation.
#[derive(Clone, Debug)]
pub struct LoadAdmission {
    config: LoadAdmissionConfig,
    bucket: TokenBucket,
    speed: StoreSpeed,
    running: BTreeMap<LoadKey, RunningLoad>,
    waiting: BTreeMap<LoadKey, WaitingLoad>,
    created: Instant,
    /// Whether loads that an earlier coordinator granted may still run.
    earlier_coordinator: bool,
    /// When a load's end last told the store's speed.
    last_measured: Option<Instant>,
}

impl LoadAdmission {
    /// The first coordinator of a cell: no loads run and the store is free.
    pub fn new(config: LoadAdmissionConfig, now: Instant) -> Self {
        let bucket = TokenBucket::full(config.loads_per_second_thousandths, now);
        Self::with_bucket(config, bucket, now, false)
    }

    /// A coordinator that took over: unknown loads may still run, so it starts
    /// without tokens and with a concurrency of 1.
    pub fn after_takeover(config: LoadAdmissionConfig, now: Instant) -> Self {
        let bucket = TokenBucket::empty(config.loads_per_second_thousandths, now);
        Self::with_bucket(config, bucket, now, true)
    }

    fn with_bucket(
        config: LoadAdmissionConfig,
        bucket: TokenBucket,
        now: Instant,
        earlier_coordinator: bool,
    ) -> Self {
        let speed = StoreSpeed::new(config.initial_mib_per_second, config.fixed_load_millis);
        Self {
            config,
            bucket,
            speed,
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            created: now,
            earlier_coordinator,
            last_measured: None,
        }
    }

    /// Changes the limits of the store, as it tells them.
    pub fn set_limits(&mut self, now: Instant, loads_per_second_thousandths: u64, concurrent_loads: u32) {
        self.config.loads_per_second_thousandths = loads_per_second_thousandths;
        self.config.concurrent_loads = concurrent_loads;
        self.bucket.set_rate(loads_per_second_thousandths, now);
    }

    /// Asks for a load of `remote_mib` from the store, wanted within
    /// `deadline_millis`. To be repeated while the answer is `Wait`; asking for
    /// a load that runs already renews its lease.
    pub fn request(
        &mut self,
        now: Instant,
        engine: &EngineId,
        model: &ModelId,
        remote_mib: u64,
        deadline_millis: u64,
    ) -> Permit {
        if remote_mib == 0 {
            return Permit::Granted { expected_millis: 0 };
        }
        self.expire(now);
        let key = load_key(engine, model);
        if let Some(permit) = self.renew(now, &key) {
            return permit;
        }
        let waiting = self.waiting_load(now, &key, remote_mib, deadline_millis);
        let place = self.place(now, &key, &waiting);
        if place.grantable {
            return self.grant(now, key, remote_mib);
        }
        if place.done_after_millis > deadline_millis {
            self.waiting.remove(&key);
        } else {
            let forget_after = now + place.retry_after_millis + self.config.ask_grace_millis;
            self.waiting.insert(
                key,
                WaitingLoad {
                    forget_after,
                    ..waiting
                },
            );
        }
        Permit::Wait {
            retry_after_millis: place.retry_after_millis,
            expected_millis: place.done_after_millis,
        }
    }

    /// Records the end of a load that was granted; a permit that was not used
    /// is given back with `remote_mib` 0.
    pub fn finish(
        &mut self,
        now: Instant,
        engine: &EngineId,
        model: &ModelId,
        remote_mib: u64,
        duration_millis: u64,
        succeeded: bool,
    ) {
        self.running.remove(&load_key(engine, model));
        if succeeded && remote_mib > 0 {
            self.speed.observe(remote_mib, duration_millis);
            self.last_measured = Some(now);
        }
    }

    /// Withdraws an asker that no longer wants its load.
    pub fn withdraw(&mut self, engine: &EngineId, model: &ModelId) {
        self.waiting.remove(&load_key(engine, model));
    }

    /// Expected duration of a load that would start now, in milliseconds.
    pub fn expected_millis(&self, now: Instant, remote_mib: u64) -> u64 {
        self.speed.expected_millis(remote_mib, &self.evidence(now))
    }

    /// Loads that hold a permit.
    pub fn running_loads(&self) -> usize {
        self.running.len()
    }

    /// Askers that wait for a permit.
    pub fn waiting_loads(&self) -> usize {
        self.waiting.len()
    }

    fn expire(&mut self, now: Instant) {
        let evidence = self.evidence(now);
        let config = &self.config;
        let speed = &self.speed;
        self.running.retain(|_, load| {
            let expected = speed.expected_millis(load.remote_mib, &evidence);
            let lease = expected
                .saturating_mul(u64::from(config.lease_factor))
                .clamp(config.least_lease_millis, config.most_lease_millis);
            now.millis_since(load.renewed) < lease
        });
        self.waiting.retain(|_, load| now <= load.forget_after);
    }

    fn evidence(&self, now: Instant) -> Vec<RunningEvidence> {
        self.running
            .values()
            .map(|load| RunningEvidence {
                remote_mib: load.remote_mib,
                elapsed_millis: now.millis_since(load.started),
                overtaken: self.last_measured.is_some_and(|at| at > load.started),
            })
            .collect()
    }

    fn renew(&mut self, now: Instant, key: &LoadKey) -> Option<Permit> {
        let load = self.running.get_mut(key)?;
        load.renewed = now;
        let remote_mib = load.remote_mib;
        Some(Permit::Granted {
            expected_millis: self.expected_millis(now, remote_mib),
        })
    }

    fn waiting_load(
        &self,
        now: Instant,
        key: &LoadKey,
        remote_mib: u64,
        deadline_millis: u64,
    ) -> WaitingLoad {
        let first_asked = self.waiting.get(key).map_or(now, |load| load.first_asked);
        WaitingLoad {
            remote_mib,
            deadline: now + deadline_millis,
            first_asked,
            forget_after: now,
        }
    }

    /// The deadline decides, except that an asker counts as due at the latest
    /// when its longest wait ends.
    fn urgency(&self, load: &WaitingLoad) -> Instant {
        load.deadline.min(load.first_asked + self.config.most_wait_millis)
    }

    fn place(&self, now: Instant, key: &LoadKey, asker: &WaitingLoad) -> Place {
        let mut schedule = self.schedule(now);
        let rank = (self.urgency(asker), asker.first_asked, key);
        let mut ahead: Vec<_> = self
            .waiting
            .iter()
            .filter(|(other, _)| *other != key)
            .map(|(other, load)| ((self.urgency(load), load.first_asked, other), load.remote_mib))
            .filter(|(other_rank, _)| *other_rank < rank)
            .collect();
        ahead.sort();
        for (_, remote_mib) in ahead {
            schedule.add(self.expected_millis(now, remote_mib));
        }
        let duration = self.expected_millis(now, asker.remote_mib);
        let start_after_millis = schedule.add(duration);
        let done_after_millis = start_after_millis + duration;
        let in_time = now + done_after_millis <= asker.deadline;
        let least_retry_millis = if in_time {
            1
        } else {
            LEAST_RETRY_OUT_OF_TIME_MILLIS
        };
        Place {
            grantable: start_after_millis == 0 && (in_time || self.probe_is_due(now)),
            retry_after_millis: start_after_millis.clamp(least_retry_millis, self.config.most_retry_millis),
            done_after_millis,
        }
    }

    /// Without it, an estimate that is too slow would never be corrected: no
    /// load would seem worth starting.
    fn probe_is_due(&self, now: Instant) -> bool {
        let quiet_since = self.last_measured.unwrap_or(self.created);
        self.running.is_empty() && now.millis_since(quiet_since) >= self.config.probe_interval_millis
    }

    fn schedule(&self, now: Instant) -> Schedule {
        let evidence = self.evidence(now);
        let remaining = self
            .running
            .values()
            .map(|load| {
                let expected = self.speed.expected_millis(load.remote_mib, &evidence);
                remaining_millis(expected, now.millis_since(load.started))
            })
            .collect();
        Schedule::new(
            remaining,
            self.allowed_loads(now),
            self.bucket.millis_until_token(now),
            self.bucket.millis_per_token(),
        )
    }

    fn allowed_loads(&self, now: Instant) -> usize {
        let limit = u64::from(self.config.concurrent_loads);
        let since = now.millis_since(self.created);
        if !self.earlier_coordinator || since >= self.config.takeover_millis {
            return limit as usize;
        }
        let raised = limit * since / self.config.takeover_millis;
        raised.clamp(1, limit.max(1)) as usize
    }

    fn grant(&mut self, now: Instant, key: LoadKey, remote_mib: u64) -> Permit {
        let expected_millis = self.expected_millis(now, remote_mib);
        self.bucket.take(now);
        self.waiting.remove(&key);
        let load = RunningLoad {
            remote_mib,
            started: now,
            renewed: now,
        };
        self.running.insert(key, load);
        Permit::Granted { expected_millis }
    }
}

/// Where an asker stands among the waiting.
struct Place {
    grantable: bool,
    retry_after_millis: u64,
    done_after_millis: u64,
}

/// An overdue load gives no sign of its end; a quarter of its expected time is
/// assumed to be left.
fn remaining_millis(expected: u64, elapsed: u64) -> u64 {
    expected.saturating_sub(elapsed).max(expected / 4).max(1)
}

fn load_key(engine: &EngineId, model: &ModelId) -> LoadKey {
    LoadKey {
        engine: engine.clone(),
        model: model.clone(),
    }
}
