//! A fleet of nodes that share a retry budget, in simulated time.
//!
//! The store lists the nodes under leases. Each node has its own, possibly old, view of that
//! list. Callers send requests to nodes whether or not the store lists them, and nodes ask for
//! as many retries as their budgets grant.

use std::collections::{BTreeMap, BTreeSet};

use super::node::{Node, Process};

/// Bounds of the budget, as deployments set them.
pub const RATIO: f64 = 0.2;
pub const SLACK: f64 = 54.0;
pub const WINDOW_MS: u64 = 10_000;
/// Time to live of a node's entry, and the interval of its renewals.
pub const LEASE_MS: u64 = 3_600;
const RENEWAL_MS: u64 = 1_200;
/// Interval at which the fleet is simulated.
pub const TICK_MS: u64 = 50;
/// Longest time between two updates of a view by a node that can get them.
const MAX_VIEW_INTERVAL_MS: u64 = 1_500;
/// Longest time from the grant of a retry until it arrives at the replica.
const MAX_SEND_DELAY_MS: u64 = 250;

/// What happens to the fleet.
#[derive(Debug, Clone)]
pub enum Event {
    /// The process is killed and starts again after a while.
    Kill { node: usize, down_ms: u64 },
    /// The process stands still.
    Freeze { node: usize, for_ms: u64 },
    /// The process ends its entry and starts again after a while.
    Restart { node: usize, down_ms: u64 },
    /// The node ends its entry and does not return.
    Leave { node: usize },
    /// A node with a new name is added.
    Add,
    /// The store turns some nodes away.
    RefuseStore {
        share: f64,
        for_ms: u64,
        /// Their entries are removed at once.
        revoke: bool,
        /// They get no updates of their views from other nodes either.
        cut: bool,
    },
    /// The store answers nobody.
    StoreDown { for_ms: u64, leases_run: bool },
    /// All processes are killed and start again.
    KillAll { down_ms: u64 },
    /// Callers move: each node gets another share of the load.
    MoveLoad,
    /// The load is multiplied for a while.
    Burst { factor: f64, for_ms: u64 },
    /// Replicas fail each request for a while.
    Fail { for_ms: u64 },
}

/// Deterministic pseudo-random numbers (SplitMix64).
pub struct Random(pub u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound.max(1)
    }
}

/// Counts events by tick.
#[derive(Default)]
struct RunningCount {
    /// Number of events in each tick.
    ticks: Vec<u32>,
}

impl RunningCount {
    fn add(&mut self, at_ms: u64) {
        let tick = (at_ms / TICK_MS) as usize;
        if self.ticks.len() <= tick {
            self.ticks.resize(tick + 1, 0);
        }
        self.ticks[tick] += 1;
    }

    /// Returns the number of events in the window whose last tick is at `until_ms`.
    fn in_window_until(&self, until_ms: u64) -> u32 {
        let end = (until_ms / TICK_MS + 1) as usize;
        let first = end.saturating_sub((WINDOW_MS / TICK_MS) as usize);
        let len = self.ticks.len();
        self.ticks[first.min(len)..end.min(len)].iter().sum()
    }
}

/// A fleet to simulate.
#[derive(Debug, Clone, Copy)]
pub struct FleetSpec {
    pub nodes: usize,
    /// Requests per second of all nodes together.
    pub load_per_s: f64,
    /// Time at which callers begin, in milliseconds.
    pub load_from: u64,
    /// Fraction of the budget that nodes use.
    pub safety: f64,
    pub seed: u64,
}

/// The simulated fleet.
pub struct Fleet {
    spec: FleetSpec,
    now: u64,
    random: Random,
    nodes: Vec<Node>,
    /// Expiry times of the entries in the store, by name.
    entries: BTreeMap<String, u64>,
    store_down_until: u64,
    leases_stopped_until: u64,
    bursts: Vec<(u64, f64)>,
    fails_until: u64,
    /// Requests until each tick.
    requests: RunningCount,
    /// Arrivals of retries until each tick.
    arrivals: RunningCount,
}

impl Fleet {
    /// Returns a fleet that starts for the first time.
    pub fn new(spec: FleetSpec) -> Self {
        let mut fleet = Fleet {
            spec,
            now: 0,
            random: Random(spec.seed),
            nodes: Vec::new(),
            entries: BTreeMap::new(),
            store_down_until: 0,
            leases_stopped_until: 0,
            bursts: Vec::new(),
            fails_until: 0,
            requests: RunningCount::default(),
            arrivals: RunningCount::default(),
        };
        for _ in 0..spec.nodes {
            fleet.add_node(true);
        }
        fleet
    }

    fn add_node(&mut self, is_first_start: bool) {
        let name = format!("zone-{}/node-{}", self.nodes.len() % 3, self.nodes.len());
        self.nodes.push(Node {
            process: Some(Process::start(&name, self.spec.safety, is_first_start)),
            name,
            starts_at: None,
            frozen_until: 0,
            refused_until: 0,
            cut_until: 0,
            renew_at: self.now,
            update_at: self.now,
            view: BTreeSet::new(),
            weight: 1.0,
        });
    }

    /// Applies an event at the present time.
    pub fn apply(&mut self, event: &Event) {
        let now = self.now;
        let count = self.nodes.len();
        match *event {
            Event::Kill { node, down_ms } => self.stop(node % count, Some(down_ms), false),
            Event::Restart { node, down_ms } => self.stop(node % count, Some(down_ms), true),
            Event::Leave { node } => self.stop(node % count, None, true),
            Event::Freeze { node, for_ms } => {
                let view_delay = self.random.below(MAX_VIEW_INTERVAL_MS);
                let node = &mut self.nodes[node % count];
                node.frozen_until = now + for_ms;
                // It serves before it gets a new view.
                node.update_at = now + for_ms + view_delay;
            }
            Event::Add => self.add_node(false),
            Event::KillAll { down_ms } => {
                for node in 0..count {
                    if self.nodes[node].process.is_some() {
                        self.stop(node, Some(down_ms), false);
                    }
                }
            }
            Event::RefuseStore {
                share,
                for_ms,
                revoke,
                cut,
            } => self.refuse_store(share, for_ms, revoke, cut),
            Event::StoreDown { for_ms, leases_run } => {
                self.store_down_until = now + for_ms;
                if !leases_run {
                    self.leases_stopped_until = now + for_ms;
                }
            }
            Event::MoveLoad => {
                for node in &mut self.nodes {
                    node.weight = self.random.unit().powi(3);
                }
            }
            Event::Burst { factor, for_ms } => self.bursts.push((now + for_ms, factor)),
            Event::Fail { for_ms } => self.fails_until = self.fails_until.max(now + for_ms),
        }
    }

    fn refuse_store(&mut self, share: f64, for_ms: u64, revoke: bool, cut: bool) {
        for index in 0..self.nodes.len() {
            if self.random.unit() >= share {
                continue;
            }
            let node = &mut self.nodes[index];
            node.refused_until = self.now + for_ms;
            if cut {
                node.cut_until = self.now + for_ms;
            }
            if revoke {
                self.entries.remove(&node.name);
            }
        }
    }

    fn stop(&mut self, index: usize, down_ms: Option<u64>, ends_entry: bool) {
        let node = &mut self.nodes[index];
        if node.process.take().is_none() {
            return;
        }
        node.starts_at = down_ms.map(|down_ms| self.now + down_ms);
        node.frozen_until = 0;
        let reaches_store = node.refused_until <= self.now && self.store_down_until <= self.now;
        if ends_entry && reaches_store {
            self.entries.remove(&node.name);
        }
    }

    /// Simulates the time until `until` (in milliseconds). Checks the rule at each step.
    pub fn run(&mut self, until: u64) -> Result<(), String> {
        while self.now < until {
            self.step();
            self.check()?;
        }
        Ok(())
    }

    fn step(&mut self) {
        self.now += TICK_MS;
        self.expire_entries();
        for index in 0..self.nodes.len() {
            if self.nodes[index].starts_at.is_some_and(|start| start <= self.now) {
                self.start(index);
            }
        }
        let load_per_tick = self.load_per_tick();
        let is_running = |index: &usize| self.nodes[*index].is_running(self.now);
        let running: Vec<usize> = (0..self.nodes.len()).filter(is_running).collect();
        let weights: f64 = running.iter().map(|index| self.nodes[*index].weight).sum();
        for index in running {
            self.renew(index);
            self.update_view(index);
            let share = self.nodes[index].weight / weights.max(f64::MIN_POSITIVE);
            let mean = load_per_tick * share;
            let requests = mean as usize + usize::from(self.random.unit() < mean.fract());
            for _ in 0..requests {
                self.serve(index);
            }
        }
    }

    fn expire_entries(&mut self) {
        let now = self.now;
        if self.leases_stopped_until > now {
            for expiry in self.entries.values_mut() {
                *expiry += TICK_MS;
            }
        }
        self.entries.retain(|_, expiry| *expiry > now);
    }

    /// Returns the present number of requests per tick of all nodes together.
    fn load_per_tick(&self) -> f64 {
        if self.now < self.spec.load_from {
            return 0.0;
        }
        let present = self.bursts.iter().filter(|(until, _)| *until > self.now);
        let factor: f64 = present.map(|(_, factor)| factor).product();
        self.spec.load_per_s * factor * TICK_MS as f64 / 1000.0
    }

    fn start(&mut self, index: usize) {
        let view_delay = self.random.below(MAX_VIEW_INTERVAL_MS);
        let node = &mut self.nodes[index];
        node.process = Some(Process::start(&node.name, self.spec.safety, false));
        node.starts_at = None;
        node.view.clear();
        node.renew_at = self.now;
        node.update_at = self.now + view_delay;
    }

    fn renew(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let reaches_store = node.refused_until <= self.now && self.store_down_until <= self.now;
        if node.renew_at <= self.now {
            node.renew_at = self.now + RENEWAL_MS;
            if reaches_store {
                self.entries.insert(node.name.clone(), self.now + LEASE_MS);
            }
        }
    }

    /// Gives the node the present list, from the store or from another node that reads it.
    fn update_view(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let is_cut = node.cut_until > now || self.store_down_until > now;
        if is_cut || node.update_at > now {
            return;
        }
        node.update_at = now + 1 + self.random.below(MAX_VIEW_INTERVAL_MS);
        let listed: BTreeSet<String> = self.entries.keys().cloned().collect();
        node.observe(listed, now);
    }

    /// Serves one request. While replicas fail, it wants all the retries that a route may allow.
    fn serve(&mut self, index: usize) {
        let now = self.now;
        self.requests.add(now);
        let node = &mut self.nodes[index];
        node.record_request(now);
        if now > self.fails_until {
            return;
        }
        for _ in 0..3 {
            if !self.nodes[index].takes_retry(now) {
                return;
            }
            let delay = self.random.below(MAX_SEND_DELAY_MS / TICK_MS + 1) * TICK_MS;
            self.arrivals.add(now + delay);
        }
    }

    /// Checks the rule in the window that ends now: arrivals beyond the first of their request
    /// are at most the ratio of the requests in this window, the one before it or the one half a
    /// window before it, and the slack.
    fn check(&self) -> Result<(), String> {
        let shifts = [0, WINDOW_MS / 2, WINDOW_MS];
        let requests = shifts.map(|ago_ms| self.requests.in_window_until(self.now.saturating_sub(ago_ms)));
        let arrivals = self.arrivals.in_window_until(self.now);
        let most = requests.into_iter().fold(0, u32::max);
        let allowed = RATIO * f64::from(most) + SLACK;
        if f64::from(arrivals) > allowed {
            return Err(format!(
                "{arrivals} arrivals beyond the first in the window until {} ms, for {requests:?} requests; \
                 allowed {allowed:.1}",
                self.now
            ));
        }
        Ok(())
    }
}
