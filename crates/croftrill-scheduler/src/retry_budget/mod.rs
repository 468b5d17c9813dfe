//! One node's share of the retry budget: sends beyond a request's first.

mod history;

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use self::history::ServiceHistory;
pub use self::history::WindowCounts;

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
    /// This node's requests and retries in the window that has the least room, without the new
    /// retry.
    pub window: WindowCounts,
    /// Number of retries that this window allows.
    pub allowed: f64,
    /// This node's part of the slack.
    pub slack: f64,
    /// Number of nodes that share the slack.
    pub sharing_nodes: usize,
}

/// Limits one node's retries of each service over a sliding window.
///
/// The common bound allows, in each window, the slack and the ratio of the requests in that window,
/// the one before it or the one half a window before it, whichever holds most. Which of them holds
/// most is known only over all nodes, so each node uses the mean of its own three counts: the
/// means of all nodes add up to the mean of the common counts, which is at most the largest.
///
/// Invariant: in each window, this node's retries are at most `safety` x (`ratio` x that mean +
/// `slack` / nodes). So the retries of all nodes keep the common bound, however requests move
/// between nodes and over time, as long as the parts of the slack add up to at most the slack.
/// `safety` covers requests that nodes and callers count differently.
///
/// Two rules keep the shares of the slack from adding up to more than the slack. A process uses
/// no slack until a window has passed since it started, as the previous process on the same
/// machine may have used it. And `nodes` is the highest count of the last window, as entries of
/// live nodes expire while the store is unavailable.
#[derive(Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    services: HashMap<ServiceName, ServiceHistory>,
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
        self.history(service, now).record_request(now);
    }

    /// Takes a retry from the budget, unless a window would exceed its bound.
    pub fn take(&mut self, service: &ServiceName, now: Moment) -> RetryDecision {
        let config = self.config;
        let slack = self.slack(now);
        let sharing_nodes = self.sharing_nodes();
        let history = self.history(service, now);
        let allowed = |window: &WindowCounts| config.safety * (config.ratio * window.mean_requests + slack);
        let room = |window: &WindowCounts| allowed(window) - window.retries as f64;
        let least = history
            .windows(now)
            .min_by(|one, other| room(one).total_cmp(&room(other)));
        let window = least.unwrap_or_default();
        let is_granted = room(&window) >= 1.0;
        if is_granted {
            history.record_retry(now);
        }
        RetryDecision {
            is_granted,
            window,
            allowed: allowed(&window),
            slack,
            sharing_nodes,
        }
    }

    fn history(&mut self, service: &ServiceName, now: Moment) -> &mut ServiceHistory {
        if !self.services.contains_key(service) {
            self.services.retain(|_, history| !history.is_over(now));
        }
        let window = self.config.window;
        let history = self.services.entry(service.clone());
        history.or_insert_with(|| ServiceHistory::new(window, now))
    }
}
