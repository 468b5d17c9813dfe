//! What one replica can do: how fast it works, and how much it has to do.
//!
//! Built from what replicas tell in their answers, to this node or to others. Bounded, and
//! aged: an older account never replaces a newer one, and what was told long ago counts less.

use std::time::Duration;

use crate::time::Moment;

/// What a replica tells of its load in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// Requests running there.
    pub running: u32,
    /// Requests waiting there.
    pub waiting: u32,
    /// Requests that it runs at the same time, if told.
    pub slots: Option<u32>,
    /// Time that work takes there at this moment, in hundredths of the usual, if told.
    pub work_time_pct: Option<u32>,
}

impl ReplicaLoad {
    /// Requests running and waiting.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// Work time of a replica that tells none.
const USUAL_WORK_TIME_PCT: u32 = 100;
/// Told work times of which the median counts as the replica's own: enough for a short
/// disturbance not to change it.
const WORK_TIMES_KEPT: usize = 9;
/// Told work times from which a replica's usual speed counts as known.
const WORK_TIMES_NEEDED: usize = 3;
/// Time constant with which a told load loses its meaning.
const LOAD_MEMORY: Duration = Duration::from_millis(700);
/// The same where requests go by capacity: about the time for which a stream runs, as a
/// replica whose requests all end tells nothing more.
const RUNS_MEMORY: Duration = Duration::from_secs(2);
/// Time for which a told work time is taken for the present one.
const WORK_TIME_HOLDS: Duration = Duration::from_millis(600);

/// Classes of speed from zero to the usual one: speeds that differ by less than a class count
/// as the same.
const CLASSES_PER_SPEED: f64 = 20.0;

/// Replicas that usually work about as fast.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SpeedClass(u32);

/// The newest account of a replica's load.
#[derive(Debug, Clone, Copy)]
struct Account {
    load: ReplicaLoad,
    /// Of these requests, those that the node did not send itself.
    others: f64,
    at: Moment,
}

/// What is known of what a replica can do.
#[derive(Debug, Clone, Default)]
pub struct Capacity {
    account: Option<Account>,
    /// The last told work times, in hundredths of the usual; the next one goes to `next`.
    work_times_pct: Vec<u32>,
    next: usize,
    /// Their median: it is asked for at each choice of a replica, and changes seldom.
    median_pct: Option<u32>,
}

impl Capacity {
    /// Takes in what the replica told at `at`, while `own` requests of this node were there.
    /// An account older than the known one changes nothing.
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

    /// The newest account, and when it was given.
    pub fn newest(&self) -> Option<(ReplicaLoad, Moment)> {
        self.account.map(|account| (account.load, account.at))
    }

    /// Requests of other nodes that are believed to be there; for services whose requests
    /// do not go by capacity.
    pub fn others(&self, now: Moment) -> f64 {
        self.fading(LOAD_MEMORY, now)
    }

    /// The same where requests go by capacity: they count for as long as they are likely to
    /// run.
    pub fn others_running(&self, now: Moment) -> f64 {
        self.fading(RUNS_MEMORY, now)
    }

    fn fading(&self, memory: Duration, now: Moment) -> f64 {
        let Some(account) = self.account else { return 0.0 };
        let age = now.since(account.at).as_secs_f64() / memory.as_secs_f64();
        account.others * (-age).exp()
    }

    /// Requests that it runs at the same time, if told.
    pub fn slots(&self) -> Option<u32> {
        self.account.and_then(|account| account.load.slots)
    }

    /// True if the replica tells how long work takes there.
    pub fn tells_work_time(&self) -> bool {
        !self.work_times_pct.is_empty()
    }

    /// How fast it usually works: 1 is the usual speed of a replica, 2 twice that.
    pub fn speed(&self) -> f64 {
        speed_of(self.median_pct.unwrap_or(USUAL_WORK_TIME_PCT))
    }

    /// How fast it usually works; 1 until it told often enough, so that all who heard it
    /// judge it alike.
    pub fn lasting_speed(&self) -> f64 {
        if self.work_times_pct.len() < WORK_TIMES_NEEDED {
            return speed_of(USUAL_WORK_TIME_PCT);
        }
        self.speed()
    }

    /// The class of replicas that usually work about as fast.
    pub fn speed_class(&self) -> SpeedClass {
        SpeedClass((self.lasting_speed() * CLASSES_PER_SPEED).round() as u32)
    }

    /// How fast it works at this moment, as far as that was told lately.
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
