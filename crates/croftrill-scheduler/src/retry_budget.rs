//! One node's share of the retry budget: sends beyond a request's first.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::catalog::ServiceName;
use crate::time::Moment;

/// Bounds of the budget, which apply to all nodes together.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudgetConfig {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed per window in addition.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Fraction of ratio and slack that is used, to allow for requests that nodes count
    /// differently.
    pub safety: f64,
}

/// The answer to a request for a retry, with the inputs that it depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryDecision {
    /// Whether the retry was granted.
    pub is_granted: bool,
    /// This node's requests in the last window.
    pub requests: usize,
    /// This node's retries in the last window, without this one.
    pub retries: usize,
    /// Number of retries that the window allows.
    pub allowed: f64,
    /// This node's part of the slack.
    pub slack: f64,
    /// Number of nodes that share the slack.
    pub sharing_nodes: usize,
}

#[derive(Debug, Default)]
struct ServiceWindow {
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

/// Limits one node's retries of each service over a sliding window.
///
/// Invariant: whenever a retry is granted, this node's retries in the last window are at most
/// `safety` x (`ratio` x its requests in that window + `slack` / nodes). Summed over the nodes,
/// the retries in any window stay within the slack plus the ratio of the requests in that window
/// and the one before it. `safety` covers the difference between this and the common bound.
///
/// Two rules keep the shares of the slack from adding up to more than the slack. A process uses
/// no slack until a window has passed since it started, as the previous process on the same
/// machine may have used it. And `nodes` is the highest count of the last window, as entries of
/// live nodes expire while the store is unavailable.
#[derive(Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    services: HashMap<ServiceName, ServiceWindow>,
    started_at: Moment,
    node_counts: VecDeque<(Moment, usize)>,
}

impl RetryBudget {
    /// Creates an unused budget for a process started at this time.
    pub fn new(config: RetryBudgetConfig, started_at: Moment) -> Self {
        RetryBudget {
            config,
            services: HashMap::new(),
            started_at,
            node_counts: VecDeque::new(),
        }
    }

    /// Sets the number of nodes that share the budget.
    pub fn set_node_count(&mut self, nodes: usize, now: Moment) {
        let window = self.config.window;
        self.node_counts.retain(|(seen, _)| now.since(*seen) <= window);
        match self.node_counts.back_mut() {
            Some((seen, count)) if *count == nodes => *seen = now,
            _ => self.node_counts.push_back((now, nodes)),
        }
    }

    /// Returns the number of nodes that share the slack.
    fn sharing_nodes(&self) -> usize {
        let max_nodes = self.node_counts.iter().map(|(_, count)| *count).max();
        max_nodes.unwrap_or(1).max(1)
    }

    /// Returns this node's share of the slack.
    fn slack(&self, now: Moment) -> f64 {
        if now.since(self.started_at) <= self.config.window {
            return 0.0;
        }
        self.config.slack / self.sharing_nodes() as f64
    }

    /// Records a request to a service.
    pub fn record_request(&mut self, service: &ServiceName, now: Moment) {
        let window = self.services.entry(service.clone()).or_default();
        window.requests.push_back(now);
        drop_before(&mut window.requests, now, self.config.window);
    }

    /// Takes a retry from the budget, unless the budget is used up.
    pub fn take(&mut self, service: &ServiceName, now: Moment) -> RetryDecision {
        let config = self.config;
        let slack = self.slack(now);
        let sharing_nodes = self.sharing_nodes();
        let window = self.services.entry(service.clone()).or_default();
        drop_before(&mut window.requests, now, config.window);
        drop_before(&mut window.retries, now, config.window);
        let (requests, retries) = (window.requests.len(), window.retries.len());
        let allowed = config.safety * (config.ratio * requests as f64 + slack);
        let is_granted = retries as f64 + 1.0 <= allowed;
        if is_granted {
            window.retries.push_back(now);
        }
        RetryDecision {
            is_granted,
            requests,
            retries,
            allowed,
            slack,
            sharing_nodes,
        }
    }
}

fn drop_before(moments: &mut VecDeque<Moment>, now: Moment, window: Duration) {
    while moments.front().is_some_and(|moment| now.since(*moment) > window) {
        moments.pop_front();
    }
}
