//! Simulates the ways in which nodes enforce a replica's request rate limit together.
//!
//! Calls arrive at random at nodes that all know the limit. Each policy lets some calls
//! through, at once or after a wait. The results are the number of calls that reach the
//! replica in its fullest window and the used fraction of the limit.

use std::sync::Arc;
use std::time::Duration;

use croftrill_scheduler::quota::keeper::ReservationDecision;
use croftrill_scheduler::quota::limits::{
    KeeperRole, LimitKeeper, LimitRequest, ReportedLimit, StandaloneReservations,
};
use croftrill_scheduler::replica::RequestRate;
use croftrill_scheduler::time::Moment;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Window over which a replica counts calls.
pub const WINDOW: Duration = Duration::from_secs(4);
/// Returns the maximum number of calls in a window: one and a half times the limit, plus 5.
pub fn max_calls_per_window(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Maximum delay from a reservation to arrival at the replica: opening a connection over a link of 5 ms.
const MAX_ARRIVAL_DELAY_MS: u64 = 40;
/// Maximum wait that a call accepts.
const MAX_PATIENCE_MS: u64 = 500;
/// Fraction of the calls that are urgent.
const URGENT_FRACTION: f64 = 0.2;
/// Time until a node detects that its keeper does not answer.
const FAILURE_DETECTION_TIME: Duration = Duration::from_millis(300);
/// Time until a lost node is removed from the node lists of all nodes.
const LIST_REMOVAL_TIME: Duration = Duration::from_millis(3600);
/// Maximum time for which the lists of live nodes differ between nodes.
const MAX_LIST_DIVERGENCE: Duration = Duration::from_millis(1300);

/// How nodes enforce the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitPolicy {
    /// Each node uses an equal share of the limit and accrues at most one request.
    EvenShares,
    /// Each node reserves its equal share at fixed times of its own; unused times lapse.
    Standalone,
    /// The given number of nodes, chosen by a hash, share the limit; the others send nothing.
    Chosen(usize),
    /// One node, the keeper, tracks the limit; the others request reservations from it.
    Keeper,
}

impl LimitPolicy {
    /// Returns the name printed in tables.
    pub fn name(self) -> &'static str {
        match self {
            LimitPolicy::EvenShares => "shares",
            LimitPolicy::Standalone => "turns",
            LimitPolicy::Chosen(_) => "chosen",
            LimitPolicy::Keeper => "keeper",
        }
    }
}

/// A failure of the keepers from the tenth to the twentieth second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeeperFailure {
    /// No failure.
    None,
    /// The first keeper is killed and restarts with empty state.
    Killed,
    /// The first keeper freezes and later continues with its old state.
    Frozen,
    /// Every second node cannot reach the first keeper.
    Cut,
    /// The first keeper is missing from the node lists of the second keeper and of every
    /// second node while lists of live nodes differ, so both keepers grant reservations.
    Doubled,
    /// No node can reach a keeper.
    Alone,
}

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct LimitRun {
    /// Number of nodes.
    pub nodes: usize,
    /// Rate limit of the replica, in requests per second.
    pub limit_per_s: f64,
    /// Mean rate at which calls arrive, per second.
    pub demand_per_s: f64,
    /// How the limit is enforced.
    pub policy: LimitPolicy,
    /// The failure of the keepers.
    pub failure: KeeperFailure,
    /// Seed of the random calls.
    pub seed: u64,
    /// Length of the run.
    pub length: Duration,
}

/// Results of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitOutcome {
    /// Number of calls in the fullest window.
    pub fullest_window: usize,
    /// Calls that reached the replica, as a fraction of the limit.
    pub used_fraction: f64,
    /// Mean wait of those calls.
    pub mean_wait_ms: f64,
    /// Requests to keepers per second.
    pub keeper_requests_per_s: f64,
}

/// Start and end of the failure.
const FAILURE_PERIOD: (Duration, Duration) = (Duration::from_secs(10), Duration::from_secs(20));

fn at(elapsed: Duration) -> Moment {
    Moment::from_start(Duration::from_secs(3600) + elapsed)
}

/// State of the nodes and keepers during a run.
struct Fleet {
    run: LimitRun,
    replica: Arc<str>,
    first: LimitKeeper,
    second: LimitKeeper,
    standalone: Vec<StandaloneReservations>,
    accrued: Vec<(Duration, f64)>,
    keeper_requests: usize,
}

/// The instance that decides on the calls of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Decider {
    FirstKeeper,
    SecondKeeper,
    Node,
    Nobody,
}

impl Fleet {
    fn new(run: LimitRun) -> Self {
        Fleet {
            run,
            replica: "r".into(),
            first: keeper(KeeperRole::Primary),
            second: keeper(KeeperRole::Secondary),
            standalone: (0..run.nodes)
                .map(|_| StandaloneReservations::default())
                .collect(),
            accrued: vec![(Duration::ZERO, 0.0); run.nodes],
            keeper_requests: 0,
        }
    }

    /// Returns the instance that decides on a node's calls at the given time.
    fn decider(&self, node: usize, now: Duration) -> Decider {
        let (begin, end) = FAILURE_PERIOD;
        let is_failing = now >= begin && now < end;
        let is_affected = node % 2 == 1;
        match self.run.failure {
            KeeperFailure::Killed | KeeperFailure::Frozen if is_failing => {
                if now < begin + FAILURE_DETECTION_TIME {
                    Decider::Nobody
                } else {
                    Decider::SecondKeeper
                }
            }
            KeeperFailure::Cut if is_failing && is_affected => Decider::SecondKeeper,
            KeeperFailure::Doubled if is_failing && is_affected && now < begin + MAX_LIST_DIVERGENCE => {
                Decider::SecondKeeper
            }
            KeeperFailure::Alone if is_failing => Decider::Node,
            _ => Decider::FirstKeeper,
        }
    }

    /// Updates the roles of the keepers to what their node lists show at the given time.
    fn update_keeper_roles(&mut self, now: Duration) {
        let (begin, end) = FAILURE_PERIOD;
        let is_failing = now >= begin && now < end;
        let is_first_lost = match self.run.failure {
            KeeperFailure::Killed | KeeperFailure::Frozen => is_failing && now >= begin + LIST_REMOVAL_TIME,
            KeeperFailure::Doubled => is_failing && now < begin + MAX_LIST_DIVERGENCE,
            _ => false,
        };
        let role = if is_first_lost {
            KeeperRole::Primary
        } else {
            KeeperRole::Secondary
        };
        self.second.set_role(role, at(now));
        if self.run.failure == KeeperFailure::Killed && is_failing {
            self.first = keeper(KeeperRole::Primary);
        }
    }

    fn request_reservation(
        &mut self,
        node: usize,
        now: Duration,
        request: LimitRequest,
        random: &mut SmallRng,
    ) -> Option<Duration> {
        match self.run.policy {
            LimitPolicy::EvenShares => self.take_accrued(node, self.run.nodes, now),
            LimitPolicy::Chosen(count) if node < count => {
                self.take_accrued(node, count.min(self.run.nodes), now)
            }
            LimitPolicy::Chosen(_) => None,
            LimitPolicy::Standalone => self.reserve_standalone(node, now, request, random),
            LimitPolicy::Keeper => self.request_from_keeper(node, now, request, random),
        }
    }

    fn request_from_keeper(
        &mut self,
        node: usize,
        now: Duration,
        request: LimitRequest,
        random: &mut SmallRng,
    ) -> Option<Duration> {
        self.update_keeper_roles(now);
        let limit = ReportedLimit {
            rate: rate(self.run.limit_per_s),
            received_at: at(Duration::ZERO),
        };
        let keeper = match self.decider(node, now) {
            Decider::FirstKeeper => &mut self.first,
            Decider::SecondKeeper => &mut self.second,
            Decider::Node => return self.reserve_standalone(node, now, request, random),
            Decider::Nobody => return None,
        };
        self.keeper_requests += 1;
        granted_delay(keeper.reserve(&self.replica, None, limit, request, at(now)))
    }

    fn reserve_standalone(
        &mut self,
        node: usize,
        now: Duration,
        request: LimitRequest,
        random: &mut SmallRng,
    ) -> Option<Duration> {
        let (rate, nodes, unit) = (rate(self.run.limit_per_s), self.run.nodes, random.random());
        let reservations = &mut self.standalone[node];
        granted_delay(reservations.reserve(&self.replica, rate, nodes, unit, request.patience, at(now)))
    }

    /// Uses an accrued request of a node that shares the limit equally among `sharers` nodes.
    fn take_accrued(&mut self, node: usize, sharers: usize, now: Duration) -> Option<Duration> {
        let (since, accrued) = &mut self.accrued[node];
        let gained = (now - *since).as_secs_f64() * self.run.limit_per_s / sharers as f64;
        *accrued = (*accrued + gained).min(1.0);
        *since = now;
        (*accrued >= 1.0).then(|| {
            *accrued -= 1.0;
            Duration::ZERO
        })
    }
}

fn keeper(role: KeeperRole) -> LimitKeeper {
    let mut keeper = LimitKeeper::new();
    keeper.set_role(role, at(Duration::ZERO));
    keeper
}

fn rate(per_s: f64) -> RequestRate {
    RequestRate::from_millis_per_s((per_s * 1000.0) as u64)
}

fn granted_delay(decision: ReservationDecision) -> Option<Duration> {
    match decision {
        ReservationDecision::Granted { after } => Some(after),
        ReservationDecision::Refused { .. } => None,
    }
}

/// Simulates a run.
pub fn simulate(run: LimitRun) -> LimitOutcome {
    let mut random = SmallRng::seed_from_u64(run.seed);
    let mut fleet = Fleet::new(run);
    let mut now = Duration::ZERO;
    let mut reached: Vec<Duration> = Vec::new();
    let mut waited = Duration::ZERO;
    loop {
        let pause_s = -random.random_range(f64::MIN_POSITIVE..1.0).ln() / run.demand_per_s;
        now += Duration::from_secs_f64(pause_s);
        if now >= run.length {
            break;
        }
        let node = random.random_range(0..run.nodes);
        let request = LimitRequest {
            patience: Duration::from_millis(random.random_range(0..MAX_PATIENCE_MS)),
            is_urgent: random.random_bool(URGENT_FRACTION),
        };
        if let Some(after) = fleet.request_reservation(node, now, request, &mut random) {
            waited += after;
            let arrival_delay = Duration::from_millis(random.random_range(0..MAX_ARRIVAL_DELAY_MS));
            reached.push(now + after + arrival_delay);
        }
    }
    reached.sort_unstable();
    LimitOutcome {
        fullest_window: fullest_window(&reached),
        used_fraction: reached.len() as f64 / (run.limit_per_s * run.length.as_secs_f64()),
        mean_wait_ms: waited.as_secs_f64() * 1000.0 / reached.len().max(1) as f64,
        keeper_requests_per_s: fleet.keeper_requests as f64 / run.length.as_secs_f64(),
    }
}

/// Returns the number of calls in the fullest window.
fn fullest_window(reached: &[Duration]) -> usize {
    let in_window = |(index, begin): (usize, &Duration)| {
        let end = *begin + WINDOW;
        reached[index..].iter().take_while(|at| **at < end).count()
    };
    reached.iter().enumerate().map(in_window).max().unwrap_or(0)
}
