//! A tenant that exceeds its quota: which of its requests run, wait or are refused.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use croftrill_scheduler::quota::keeper::{KeeperConfig, QuotaKeeper, QuotaRequest, ReservationDecision};
use croftrill_scheduler::quota::reservation::{AheadLimits, ReservationWait};
use croftrill_scheduler::quota::wait_slots::WaitSlots;
use croftrill_scheduler::tenants::{Quota, QuotaUnit};
use croftrill_scheduler::time::Moment;
use proptest::prelude::*;

const CONFIG: KeeperConfig = KeeperConfig {
    window: Duration::from_secs(8),
    overage: 0.1,
    slack: 7_500.0,
};
const RATE_PER_S: f64 = 160_000.0;
const QUOTA: Quota = Quota {
    unit: QuotaUnit::Tokens { default_tokens: 200 },
    rate_per_s: RATE_PER_S,
    burst: RATE_PER_S,
};

fn at(micros: u64) -> Moment {
    Moment::from_start(Duration::from_secs(3_600) + Duration::from_micros(micros))
}

/// The requests of one route.
#[derive(Debug, Clone, Copy)]
struct Kind {
    rank: u8,
    /// Time that its callers wait.
    time_ms: u64,
    cost: u64,
    per_s: f64,
}

impl Kind {
    fn time(&self) -> Duration {
        Duration::from_millis(self.time_ms)
    }

    fn demand_per_s(&self) -> f64 {
        self.cost as f64 * self.per_s
    }
}

/// The outcome of the requests of one kind.
#[derive(Debug, Clone, Copy, Default)]
struct Outcome {
    requested: u64,
    granted: u64,
    refused: u64,
    max_attempts: u64,
    longest_wait: Duration,
}

/// A request that is about to request a reservation, for the first time or again.
struct Waiting {
    kind: usize,
    arrived_at: Moment,
    attempts: u64,
    wait: ReservationWait,
}

/// The result of a simulation of a tenant at a keeper that all nodes listen to.
struct Simulation {
    outcomes: Vec<Outcome>,
    /// Times and tokens of the granted requests.
    runs: Vec<(Moment, u64)>,
}

fn simulate(kinds: &[Kind], quota: Quota, seconds: u64) -> Simulation {
    simulate_with(CONFIG, kinds, quota, seconds)
}

fn simulate_with(config: KeeperConfig, kinds: &[Kind], quota: Quota, seconds: u64) -> Simulation {
    let limits = AheadLimits::new(kinds.iter().map(|kind| kind.rank));
    let most_urgent = kinds.iter().map(|kind| kind.rank).min();
    let mut keeper = QuotaKeeper::new(config, at(0));
    let name: Arc<str> = "t".into();
    keeper.update_quota(&name, quota, 1, at(0));
    keeper.set_listed_nodes(60, at(0));
    keeper.set_listeners(60, at(0));
    let mut queue: BTreeMap<(Moment, u64), Waiting> = BTreeMap::new();
    let mut number = 0;
    for (index, kind) in kinds.iter().enumerate() {
        let gap_us = (1_000_000.0 / kind.per_s) as u64;
        for micros in (0..seconds * 1_000_000).step_by(gap_us.max(1) as usize) {
            // Kinds do not arrive at the same moments.
            let arrived_at = at(micros + 137 * index as u64);
            let longest = kind.time();
            let wait = ReservationWait::new(arrived_at, longest, limits.max_ahead(kind.rank));
            let request = Waiting {
                kind: index,
                arrived_at,
                attempts: 0,
                wait,
            };
            queue.insert((arrived_at, number), request);
            number += 1;
        }
    }
    let mut simulation = Simulation {
        outcomes: vec![Outcome::default(); kinds.len()],
        runs: Vec::new(),
    };
    while let Some(((now, _), mut request)) = queue.pop_first() {
        let kind = &kinds[request.kind];
        let outcome = &mut simulation.outcomes[request.kind];
        request.attempts += 1;
        outcome.requested += u64::from(request.attempts == 1);
        outcome.max_attempts = outcome.max_attempts.max(request.attempts);
        let quota_request = QuotaRequest {
            cost: kind.cost,
            patience: request.wait.ahead(now),
            is_urgent: Some(kind.rank) == most_urgent,
        };
        match keeper.reserve("t", quota_request, now) {
            ReservationDecision::Granted { after } => {
                outcome.granted += 1;
                outcome.longest_wait = outcome.longest_wait.max((now + after).since(request.arrived_at));
                simulation.runs.push((now + after, kind.cost));
            }
            ReservationDecision::Refused { retry_after, .. } => match request.wait.pause(retry_after, now) {
                Some(pause) => {
                    queue.insert((now + pause, number), request);
                    number += 1;
                }
                None => outcome.refused += 1,
            },
        }
    }
    simulation
}

impl Simulation {
    /// Returns the tokens used between two times.
    fn used(&self, from_s: u64, to_s: u64) -> f64 {
        let span = at(from_s * 1_000_000)..at(to_s * 1_000_000);
        let within = self.runs.iter().filter(|(when, _)| span.contains(when));
        within.map(|(_, cost)| *cost as f64).sum()
    }
}

/// Drafts of the most urgent rank, checks of the next, and batches and bookings of the last.
/// Batches can wait for seconds, bookings cannot.
fn mix(times: f64) -> [Kind; 4] {
    [
        Kind {
            rank: 0,
            time_ms: 500,
            cost: 1_000,
            per_s: 20.0 * times,
        },
        Kind {
            rank: 1,
            time_ms: 500,
            cost: 430,
            per_s: 25.0 * times,
        },
        Kind {
            rank: 2,
            time_ms: 5_000,
            cost: 1_000,
            per_s: 30.0 * times,
        },
        Kind {
            rank: 2,
            time_ms: 100,
            cost: 200,
            per_s: 20.0 * times,
        },
    ]
}

#[test]
fn reserve_beyond_quota_refuses_least_urgent_rank() {
    // Drafts and checks demand 0.8 of the quota, all kinds together 1.7.
    let kinds = mix(4.0);
    let urgent = kinds[0].demand_per_s() + kinds[1].demand_per_s();
    assert!(urgent < 0.8 * RATE_PER_S);
    let [drafts, checks, batches, bookings] = simulate(&kinds, QUOTA, 12).outcomes[..] else {
        unreachable!()
    };
    assert_eq!(drafts.refused, 0);
    assert_eq!(checks.refused, 0);
    assert!(batches.refused > 0);
    // Bookings have no time to wait, and use a twelfth.
    assert!(bookings.refused * 20 <= bookings.requested, "{bookings:?}");
}

#[test]
fn reserve_urgent_beyond_quota_leaves_a_tenth_to_others() {
    let mut kinds = mix(4.0);
    kinds[0].per_s = 3.0 * RATE_PER_S / kinds[0].cost as f64;
    let outcomes = simulate(&kinds, QUOTA, 16).outcomes;
    let used = |index: usize| outcomes[index].granted as f64 * kinds[index].cost as f64;
    let others: f64 = (1..4).map(used).sum();
    let all = others + used(0);
    assert!(others >= 0.08 * all, "{others} of {all}");
    assert!(used(0) >= 0.8 * all, "{} of {all}", used(0));
}

/// A small tenant, for which one review is a third of a second of its quota. The more urgent rank
/// is refused no more often than the less urgent one.
#[test]
fn reserve_large_requests_refused_by_rank() {
    let quota = Quota {
        rate_per_s: 29_000.0,
        burst: 29_000.0,
        ..QUOTA
    };
    for (times, slack) in [
        (1.3, 110_000.0),
        (2.0, 110_000.0),
        (4.0, 110_000.0),
        (1.3, 7_500.0),
        (2.0, 7_500.0),
        (4.0, 7_500.0),
    ] {
        let config = KeeperConfig { slack, ..CONFIG };
        let per_s = |part: f64, cost: u64| part * times * quota.rate_per_s / cost as f64;
        let kinds = [
            Kind {
                rank: 0,
                time_ms: 500,
                cost: 1_050,
                per_s: per_s(0.15, 1_050),
            },
            Kind {
                rank: 1,
                time_ms: 3_000,
                cost: 9_190,
                per_s: per_s(0.35, 9_190),
            },
            Kind {
                rank: 2,
                time_ms: 800,
                cost: 9_180,
                per_s: per_s(0.48, 9_180),
            },
            Kind {
                rank: 2,
                time_ms: 150,
                cost: 200,
                per_s: per_s(0.02, 200),
            },
        ];
        let outcomes = simulate_with(config, &kinds, quota, 40).outcomes;
        let refused = |index: usize| outcomes[index].refused as f64 / outcomes[index].requested as f64;
        let shares = [refused(0), refused(1), refused(2)];
        assert!(
            shares[0] <= shares[1] && shares[1] <= shares[2],
            "{times} {slack} {shares:?}"
        );
        // Up to twice the usual demand, the first two ranks stay within the quota.
        assert!(times > 2.0 || shares[1] <= 0.1, "{times} {slack} {shares:?}");
    }
}

#[test]
fn reserve_one_rank_waits_instead_of_refusal() {
    // Hardly less than the income, without savings at the start.
    let kinds = [Kind {
        rank: 3,
        time_ms: 5_000,
        cost: 1_000,
        per_s: 170.0,
    }];
    let outcome = simulate(&kinds, QUOTA, 4).outcomes[0];
    assert_eq!(outcome.refused, 0);
    assert!(outcome.max_attempts <= 4, "{outcome:?}");
}

#[test]
fn window_with_high_demand_uses_four_fifths_of_quota() {
    let nominal = QUOTA.rate_per_s * 8.0 + QUOTA.burst;
    for times in [4.0, 8.0, 20.0] {
        let used = simulate(&mix(times), QUOTA, 20).used(8, 16);
        assert!(used >= 0.8 * nominal, "{used} of {nominal} at {times}");
    }
    let patient_only = [Kind {
        rank: 2,
        per_s: 300.0,
        ..mix(1.0)[2]
    }];
    let used = simulate(&patient_only, QUOTA, 20).used(8, 16);
    assert!(used >= 0.8 * nominal, "{used} of {nominal}");
}

#[test]
fn ahead_limits_shrink_with_rank() {
    let limits = AheadLimits::new([2, 0, 1, 2].into_iter());
    let max_ahead = |rank| limits.max_ahead(rank);
    assert_eq!(max_ahead(0), Duration::from_millis(500));
    assert_eq!(max_ahead(1), Duration::from_millis(125));
    assert_eq!(max_ahead(2), Duration::from_micros(31_250));
}

/// Of two requests of one rank the one that has no time to request again goes further ahead, and none
/// goes as far as one of the rank before.
#[test]
fn ahead_shrinks_with_time_left() {
    let limits = AheadLimits::new([0, 1].into_iter());
    let ahead = |rank, time_ms| {
        let wait = ReservationWait::new(at(0), Duration::from_millis(time_ms), limits.max_ahead(rank));
        wait.ahead(at(0))
    };
    assert!(ahead(1, 120) > ahead(1, 5_000));
    assert!(ahead(0, 5_000) > ahead(1, 120));
    assert_eq!(
        ahead(1, 5_000),
        ahead(1, 50_000),
        "the same for all that can request again"
    );
}

/// Requests of a tenant above its quota wait as long as they can; other tenants still get slots.
#[test]
fn wait_slots_of_busy_tenant_leave_some_to_others() {
    let mut waiting = WaitSlots::default();
    let tenants: Vec<Arc<str>> = (0..16).map(|index| format!("t{index}").into()).collect();
    let mut taken = Vec::new();
    for tenant in &tenants[..3] {
        let mut own = 0;
        while waiting.enter(tenant) {
            own += 1;
        }
        taken.push(own);
    }
    assert!(taken[0] >= 200, "{taken:?}");
    for tenant in &tenants[3..] {
        assert!(waiting.enter(tenant));
    }
    assert!(waiting.count() <= 512);
    for _ in 0..taken[0] {
        waiting.leave(&tenants[0]);
    }
    assert!(waiting.enter(&tenants[1]));
}

proptest! {
    #[test]
    fn wait_slots_bounded_and_released(
        steps in prop::collection::vec((0usize..4, prop::bool::weighted(0.7)), 0..3_000),
    ) {
        let mut waiting = WaitSlots::default();
        let tenants: Vec<Arc<str>> = (0..4).map(|index| format!("t{index}").into()).collect();
        let mut held = [0usize; 4];
        for (tenant, enters) in steps {
            if enters {
                held[tenant] += usize::from(waiting.enter(&tenants[tenant]));
            } else if held[tenant] > 0 {
                waiting.leave(&tenants[tenant]);
                held[tenant] -= 1;
            }
            prop_assert_eq!(waiting.count(), held.iter().sum::<usize>());
            prop_assert!(waiting.count() <= 512);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]
    /// Whatever the other kinds demand, urgent requests that are within the quota by themselves
    /// are all granted within their patience.
    #[test]
    fn reserve_urgent_within_quota_never_refused(
        urgent_part in 0.05f64..0.8,
        urgent_cost in 100u64..4_000,
        urgent_time_ms in 300u64..3_000,
        others in prop::collection::vec((1u8..4, 20u64..10_000, 50u64..4_000, 0.1f64..4.0), 1..4),
    ) {
        let of_part = |part: f64, cost: u64| part * RATE_PER_S / cost as f64;
        let mut kinds = vec![Kind {
            rank: 0,
            time_ms: urgent_time_ms,
            cost: urgent_cost,
            per_s: of_part(urgent_part, urgent_cost),
        }];
        kinds.extend(others.iter().map(|(rank, time_ms, cost, part)| Kind {
            rank: *rank,
            time_ms: *time_ms,
            cost: *cost,
            per_s: of_part(*part, *cost),
        }));
        let simulation = simulate(&kinds, QUOTA, 6);
        prop_assert_eq!(simulation.outcomes[0].refused, 0, "{:?}", simulation.outcomes);
        for (kind, outcome) in kinds.iter().zip(&simulation.outcomes) {
            prop_assert_eq!(outcome.granted + outcome.refused, outcome.requested);
            let longest = kind.time();
            prop_assert!(outcome.longest_wait <= longest, "{:?} of {:?}", outcome.longest_wait, longest);
        }
    }

    /// The same for each rank: hardly any request is refused if the rank and those before it are
    /// within the quota together, however much the others demand.
    #[test]
    fn reserve_rank_within_quota_rarely_refused(
        parts in (0.05f64..0.4, 0.05f64..0.35),
        costs in (100u64..4_000, 100u64..4_000, 100u64..4_000),
        times_ms in (300u64..3_000, 300u64..3_000, 100u64..6_000),
        last_part in 0.3f64..5.0,
    ) {
        let kind = |rank, part: f64, cost: u64, time_ms| Kind {
            rank,
            time_ms,
            cost,
            per_s: part * RATE_PER_S / cost as f64,
        };
        let kinds = [
            kind(0, parts.0, costs.0, times_ms.0),
            kind(1, parts.1, costs.1, times_ms.1),
            kind(2, last_part, costs.2, times_ms.2),
        ];
        let outcomes = simulate(&kinds, QUOTA, 6).outcomes;
        prop_assert_eq!(outcomes[0].refused, 0, "{:?}", outcomes);
        prop_assert!(outcomes[1].refused * 20 <= outcomes[1].requested, "{:?}", outcomes);
    }
}
