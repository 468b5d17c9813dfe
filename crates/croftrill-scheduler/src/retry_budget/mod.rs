//! One node's share of the retry budget: sends beyond a request's first.

mod history;

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use self::history::ServiceHistory;
pub use self::history::{WindowCounts, SEND_DELAY_ALLOWANCE};
use crate::catalog::ServiceName;
use crate::fleet_share::Share;
use crate::time::Moment;

/// Fraction of the common budget that nodes use. The remainder covers requests that nodes and
/// callers count differently, and parts below one retry that are rounded up.
pub const SAFETY_FACTOR: f64 = 0.9;

/// Bounds of the budget, which apply to all nodes together.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudgetConfig {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed per window in addition.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Fraction of ratio and slack that is used; see [`SAFETY_FACTOR`].
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
    /// The share by which this part was determined.
    pub share: Share,
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
/// [`crate::fleet_share`] tells how the parts of the slack are kept from adding up to more.
#[derive(Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    /// Differs between nodes.
    rounding_seed: u64,
    services: HashMap<ServiceName, ServiceHistory>,
}

impl RetryBudget {
    /// Creates the unused budget of the node with this name.
    pub fn new(config: RetryBudgetConfig, node: &str) -> Self {
        RetryBudget {
            config,
            rounding_seed: xxh3_64_with_seed(node.as_bytes(), 0),
            services: HashMap::new(),
        }
    }

    /// Records a request to a service.
    pub fn record_request(&mut self, service: &ServiceName, now: Moment) {
        self.history(service, now).record_request(now);
    }

    /// Takes a retry from the budget, unless a window would exceed its bound. `share` is this
    /// node's present share of the slack.
    pub fn take(&mut self, service: &ServiceName, share: Share, now: Moment) -> RetryDecision {
        let config = self.config;
        let slack = share.of(config.slack);
        let rounding = self.rounding(service, share);
        let history = self.history(service, now);
        let allowed = |window: &WindowCounts| config.safety * (config.ratio * window.mean_requests + slack);
        let room = |window: &WindowCounts| allowed(window) - window.retries as f64;
        let window = history
            .windows(now)
            .min_by(|one, other| room(one).total_cmp(&room(other)))
            .expect("at least the window that ends now");
        let is_granted = room(&window) + rounding >= 1.0;
        if is_granted {
            history.record_retry(now);
        }
        RetryDecision {
            is_granted,
            window,
            allowed: allowed(&window),
            slack,
            share,
        }
    }

    /// Returns what is added to this node's part before it is rounded down to whole retries.
    ///
    /// In a fleet so large that a part of the slack is below one retry, most nodes would never use
    /// theirs, nor the fraction of the ratio. So the nodes round at different points, spread evenly
    /// from 0 to 1: about as many round up as the fractions add up to. The points are fixed, as a
    /// node that chose anew could round up each time.
    fn rounding(&self, service: &ServiceName, share: Share) -> f64 {
        let part = self.config.safety * self.config.slack / share.nodes.max(1) as f64;
        if part >= 1.0 {
            return 0.0;
        }
        xxh3_64_with_seed(service.as_bytes(), self.rounding_seed) as f64 / u64::MAX as f64
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
