//! Load of the replicas of each service, and how evenly it is spread, as a node knows it.

use std::collections::BTreeMap;

use crate::capacity::ReplicaLoad;
use crate::catalog::ServiceName;
use crate::load_news::LONGEST_AGE;
use crate::replica_table::{ReplicaEntry, ReplicaTable};
use crate::time::Moment;

/// Speed, relative to the usual speed of replicas, below which a replica counts as slow,
/// whatever its own usual speed is. Corresponds to the smallest change of work time that nodes
/// publish.
const SLOW_SPEED: f64 = 0.8;

/// The load of a replica, with the figures that put it in proportion.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JudgedLoad {
    /// The latest reported load.
    pub load: ReplicaLoad,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// When the load was reported.
    pub at: Moment,
    /// Usual speed.
    pub speed: f64,
    /// Current speed.
    pub speed_now: f64,
}

impl JudgedLoad {
    /// Returns the load of a replica, or `None` if none was reported.
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

    /// Returns whether all of its slots are taken, or requests wait there.
    pub fn is_full(&self) -> bool {
        self.load.waiting > 0 || self.load.running >= self.slots
    }

    /// Returns whether its current speed is well below the usual speed of replicas.
    pub fn is_slow(&self) -> bool {
        self.speed_now < SLOW_SPEED
    }

    fn free(&self) -> u32 {
        self.slots.saturating_sub(self.load.requests())
    }
}

/// The load of those replicas of a service that reported theirs recently.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServiceLoad {
    /// Number of these replicas.
    pub replicas: u32,
    /// Number of their running and waiting requests.
    pub requests: u32,
    /// Number of requests at the busiest replica.
    pub busiest: u32,
    /// Number of free slots.
    pub free: u32,
    /// Number of full replicas.
    pub full: u32,
    /// Number of slow replicas.
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

    /// Returns the requests of the busiest replica as a multiple of the mean, or 1 if there are no
    /// requests.
    pub fn spread(&self) -> f64 {
        if self.requests == 0 {
            return 1.0;
        }
        f64::from(self.busiest) * f64::from(self.replicas) / f64::from(self.requests)
    }
}

/// Returns the load of each service's ready replicas.
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
