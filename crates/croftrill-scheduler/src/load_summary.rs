//! How full and how evenly used the replicas of each service are, as a node knows it.

use std::collections::BTreeMap;

use crate::capacity::ReplicaLoad;
use crate::catalog::ServiceName;
use crate::load_news::LONGEST_AGE;
use crate::replica_table::{ReplicaEntry, ReplicaTable};
use crate::time::Moment;

/// A replica that works at less than this part of the usual speed of replicas, whatever its
/// own usual one is, counts as slow: by as much as a change of work time that nodes tell
/// each other.
const SLOW_SPEED: f64 = 0.8;

/// The load of one replica, with what it is judged by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JudgedLoad {
    /// What it told last.
    pub load: ReplicaLoad,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// When it told that.
    pub at: Moment,
    /// How fast it usually works.
    pub speed: f64,
    /// How fast it works now.
    pub speed_now: f64,
}

impl JudgedLoad {
    /// The load of a replica; `None` if nothing was told.
    pub fn of(entry: &ReplicaEntry, now: Moment) -> Option<Self> {
        let (load, at) = entry.capacity.newest()?;
        Some(JudgedLoad {
            load,
            slots: load.slots.unwrap_or(entry.listing.slots),
            at,
            speed: entry.capacity.speed(),
            speed_now: entry.capacity.speed_now(now),
        })
    }

    /// True if it runs all that it can, or requests wait there.
    pub fn is_full(&self) -> bool {
        self.load.waiting > 0 || self.load.running >= self.slots
    }

    /// True if it works at well under the usual speed of replicas now.
    pub fn is_slow(&self) -> bool {
        self.speed_now < SLOW_SPEED
    }

    fn free(&self) -> u32 {
        self.slots.saturating_sub(self.load.requests())
    }
}

/// The load of a service's replicas of which something was told lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServiceLoad {
    /// These replicas.
    pub replicas: u32,
    /// Their requests, running and waiting.
    pub requests: u32,
    /// Those of the busiest.
    pub busiest: u32,
    /// Places of them that are free.
    pub free: u32,
    /// Full replicas.
    pub full: u32,
    /// Slow replicas.
    pub slow: u32,
}

impl ServiceLoad {
    fn add(&mut self, judged: &JudgedLoad) {
        let requests = judged.load.requests();
        self.replicas += 1;
        self.requests = self.requests.saturating_add(requests);
        self.busiest = self.busiest.max(requests);
        self.free = self.free.saturating_add(judged.free());
        self.full += u32::from(judged.is_full());
        self.slow += u32::from(judged.is_slow());
    }

    /// Requests of the busiest replica, in times of the mean; 1 where there are none.
    pub fn spread(&self) -> f64 {
        if self.requests == 0 {
            return 1.0;
        }
        f64::from(self.busiest) * f64::from(self.replicas) / f64::from(self.requests)
    }
}

/// The load of each service's ready replicas.
pub fn by_service(table: &ReplicaTable, now: Moment) -> BTreeMap<ServiceName, ServiceLoad> {
    let mut services: BTreeMap<ServiceName, ServiceLoad> = BTreeMap::new();
    for entry in table.iter().filter(|entry| entry.is_ready()) {
        let Some(judged) = JudgedLoad::of(entry, now) else {
            continue;
        };
        if now.since(judged.at) < LONGEST_AGE {
            let service = entry.listing.service.clone();
            services.entry(service).or_default().add(&judged);
        }
    }
    services
}
