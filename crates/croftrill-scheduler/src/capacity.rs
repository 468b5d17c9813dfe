//! Capacity of a replica: how fast it works, and how loaded it is.
//!
//! Derived from the loads that replicas report in responses to this node or to others. The
//! state is bounded, an older sample never replaces a newer one, and samples lose weight as
//! they age.

use std::time::Duration;

use crate::time::Moment;

/// The load that a replica reports in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of requests that it runs concurrently, if reported.
    pub slots: Option<u32>,
    /// Current work time as a percentage of the usual one, if reported.
    pub work_time_pct: Option<u32>,
}

impl ReplicaLoad {
    /// Returns the number of running and waiting requests.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// Work time of a replica that reports none.
const USUAL_WORK_TIME_PCT: u32 = 100;
/// Number of reported work times whose median is the replica's usual one: enough for a short
/// disturbance not to change it.
const WORK_TIMES_KEPT: usize = 9;
/// Number of reported work times from which on a replica's usual speed counts as known.
const WORK_TIMES_NEEDED: usize = 3;
/// Time constant with which a reported load decays.
const LOAD_MEMORY: Duration = Duration::from_millis(700);
/// Time constant for requests that are routed by capacity: about the duration of a stream. A
/// replica whose requests have all ended sends no more reports, so its load has to decay.
const RUNS_MEMORY: Duration = Duration::from_secs(2);
/// Time for which a reported work time counts as the current one.
const WORK_TIME_HOLDS: Duration = Duration::from_millis(600);

/// Number of speed classes between zero and the usual speed. Speeds of the same class count as
/// equal.
const CLASSES_PER_SPEED: f64 = 20.0;

/// A class of replicas that usually work at about the same speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SpeedClass(u32);

/// The newest load sample of a replica.
#[derive(Debug, Clone, Copy)]
struct Account {
    load: ReplicaLoad,
    /// The requests among these that this node did not send itself.
    others: f64,
    at: Moment,
}

/// The known capacity and load of a replica.
#[derive(Debug, Clone, Default)]
pub struct Capacity {
    account: Option<Account>,
    /// The latest reported work times, as percentages. A ring buffer once it is full, with the
    /// oldest at `next`.
    work_times_pct: Vec<u32>,
    next: usize,
    /// Median of the work times. Cached, as each choice of a replica uses it and it rarely changes.
    median_pct: Option<u32>,
}

impl Capacity {
    /// Records a load that the replica reported at `at`, when `own` requests of this node were
    /// there. Ignores samples that are older than the known one.
    pub fn hear(&mut self, load: ReplicaLoad, own: u32, at: Moment) {
        if self.account.is_some_and(|known| at < known.at) {
            return;
        }
        let others = f64::from(load.requests()) - f64::from(own);
        self.account = Some(Account {
            load,
            others: others.max(0.0),
            at,
        });
        if let Some(pct) = load.work_time_pct {
            self.keep_work_time(pct.max(1));
        }
    }

    fn keep_work_time(&mut self, pct: u32) {
        if self.work_times_pct.len() < WORK_TIMES_KEPT {
            self.work_times_pct.push(pct);
        } else {
            self.work_times_pct[self.next] = pct;
            self.next = (self.next + 1) % WORK_TIMES_KEPT;
        }
        let mut known = self.work_times_pct.clone();
        known.sort_unstable();
        self.median_pct = known.get(known.len() / 2).copied();
    }

    /// Returns the newest sample and when it was reported.
    pub fn newest(&self) -> Option<(ReplicaLoad, Moment)> {
        self.account.map(|account| (account.load, account.at))
    }

    /// Returns the estimated number of other nodes' requests there, for services whose requests
    /// are not routed by capacity.
    pub fn others(&self, now: Moment) -> f64 {
        self.fading(LOAD_MEMORY, now)
    }

    /// Returns the estimated number of other nodes' requests there, for services whose requests
    /// are routed by capacity: requests count for as long as they are likely to run.
    pub fn others_running(&self, now: Moment) -> f64 {
        self.fading(RUNS_MEMORY, now)
    }

    fn fading(&self, memory: Duration, now: Moment) -> f64 {
        let Some(account) = self.account else { return 0.0 };
        let age = now.since(account.at).as_secs_f64() / memory.as_secs_f64();
        account.others * (-age).exp()
    }

    /// Returns the number of requests that it runs concurrently, if reported.
    pub fn slots(&self) -> Option<u32> {
        self.account.and_then(|account| account.load.slots)
    }

    /// Returns whether the replica reports its work time.
    pub fn tells_work_time(&self) -> bool {
        !self.work_times_pct.is_empty()
    }

    /// Returns the replica's usual speed, relative to the usual speed of replicas.
    pub fn speed(&self) -> f64 {
        speed_of(self.median_pct.unwrap_or(USUAL_WORK_TIME_PCT))
    }

    /// Returns the replica's usual speed, or 1 until it has reported enough work times for nodes
    /// that received different reports to agree.
    pub fn lasting_speed(&self) -> f64 {
        if self.work_times_pct.len() < WORK_TIMES_NEEDED {
            return speed_of(USUAL_WORK_TIME_PCT);
        }
        self.speed()
    }

    /// Returns the class of replicas that usually work at about this replica's speed.
    pub fn speed_class(&self) -> SpeedClass {
        SpeedClass((self.lasting_speed() * CLASSES_PER_SPEED).round() as u32)
    }

    /// Returns the replica's current speed if it was reported recently, else its usual speed.
    pub fn speed_now(&self, now: Moment) -> f64 {
        let fresh = self
            .account
            .filter(|account| now.since(account.at) <= WORK_TIME_HOLDS)
            .and_then(|account| account.load.work_time_pct);
        fresh.map_or_else(|| self.speed(), |pct| speed_of(pct.max(1)))
    }
}

fn speed_of(work_time_pct: u32) -> f64 {
    f64::from(USUAL_WORK_TIME_PCT) / f64::from(work_time_pct)
}
