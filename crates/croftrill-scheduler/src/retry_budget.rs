//! One node's share of the budget for sends beyond a request's first.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::catalog::ServiceName;
use crate::time::Moment;

/// Bounds of the budget, as they hold for all nodes together.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudgetConfig {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed in a window besides.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Part of ratio and slack that is used, for requests that nodes count differently.
    pub safety: f64,
}

#[derive(Debug, Default)]
struct ServiceWindow {
    requests: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

/// Repeats of one node, by service, over a sliding window.
///
/// Invariant: whenever a repeat is taken, this node's repeats of the last window
/// are at most `safety` x (`ratio` x its requests of that window + `slack` /
/// nodes). Summed over the nodes, the repeats of any window stay under the slack
/// and the ratio of the requests of that window and the one before it; `safety`
/// is for what lies between this and the common bound.
///
/// Two things keep the parts of the slack from adding up to more than the whole:
/// a process uses none before a window has passed since it began, as the former
/// one of the same machine may have used it, and `nodes` is the highest count of
/// the last window, as entries of living nodes lapse while the store is away.
#[derive(Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    services: HashMap<ServiceName, ServiceWindow>,
    begun: Moment,
    node_counts: VecDeque<(Moment, usize)>,
}

impl RetryBudget {
    /// An unused budget of a process that began at `begun`.
    pub fn new(config: RetryBudgetConfig, begun: Moment) -> Self {
        RetryBudget {
            config,
            services: HashMap::new(),
            begun,
            node_counts: VecDeque::new(),
        }
    }

    /// So many nodes share the budget now.
    pub fn count_nodes(&mut self, nodes: usize, now: Moment) {
        let window = self.config.window;
        self.node_counts.retain(|(seen, _)| now.since(*seen) <= window);
        match self.node_counts.back_mut() {
            Some((seen, count)) if *count == nodes => *seen = now,
            _ => self.node_counts.push_back((now, nodes)),
        }
    }

    /// This node's part of the slack.
    fn slack(&self, now: Moment) -> f64 {
        if now.since(self.begun) <= self.config.window {
            return 0.0;
        }
        let most_nodes = self.node_counts.iter().map(|(_, count)| *count).max();
        self.config.slack / most_nodes.unwrap_or(1).max(1) as f64
    }

    /// Counts a request for a service.
    pub fn request(&mut self, service: &ServiceName, now: Moment) {
        let window = self.services.entry(service.clone()).or_default();
        window.requests.push_back(now);
        drop_before(&mut window.requests, now, self.config.window);
    }

    /// Takes one repeat from the budget; false if it is used up.
    pub fn take(&mut self, service: &ServiceName, now: Moment) -> bool {
        let config = self.config;
        let slack = self.slack(now);
        let window = self.services.entry(service.clone()).or_default();
        drop_before(&mut window.requests, now, config.window);
        drop_before(&mut window.repeats, now, config.window);
        let allowed = config.safety * (config.ratio * window.requests.len() as f64 + slack);
        if window.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        window.repeats.push_back(now);
        true
    }
}

fn drop_before(moments: &mut VecDeque<Moment>, now: Moment, window: Duration) {
    while moments.front().is_some_and(|moment| now.since(*moment) > window) {
        moments.pop_front();
    }
}
