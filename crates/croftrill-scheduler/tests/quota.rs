//! Quotas enforced by keepers: the worst sum of any window, whatever happens to keepers.

use std::sync::Arc;
use std::time::Duration;

use croftrill_scheduler::candidacy::Candidate;
use croftrill_scheduler::quota::keeper::{KeeperConfig, QuotaKeeper, QuotaRequest, ReservationDecision};
use croftrill_scheduler::quota::keepers::{keeper_order, QuotaPartition};
use croftrill_scheduler::tenants::{Quota, QuotaUnit};
use croftrill_scheduler::time::Moment;
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(8);
const CONFIG: KeeperConfig = KeeperConfig {
    window: WINDOW,
    overage: 0.1,
    slack: 110_000.0,
};
const QUOTA: Quota = Quota {
    unit: QuotaUnit::Tokens { default_tokens: 200 },
    rate_per_s: 29_000.0,
    burst: 29_000.0,
};
/// Tokens of a review request.
const COST: u64 = 9_190;

fn at(millis: u64) -> Moment {
    Moment::from_start(Duration::from_millis(3_600_000 + millis))
}

fn keeper(now: Moment) -> QuotaKeeper {
    let mut keeper = QuotaKeeper::new(CONFIG, now);
    keeper.update_quota(&name(), QUOTA, 1, now);
    keeper
}

fn name() -> Arc<str> {
    "t".into()
}

/// A keeper with a full balance that all nodes listen to.
fn full(nodes: usize) -> QuotaKeeper {
    let mut keeper = keeper(at(0));
    keeper.set_listed_nodes(nodes, at(0));
    keeper.set_listeners(nodes, at(0));
    keeper.set_listed_nodes(nodes, at(5_000));
    keeper
}

fn request(cost: u64, patience: Duration) -> QuotaRequest {
    QuotaRequest {
        cost,
        patience,
        is_urgent: false,
    }
}

fn granted(keeper: &mut QuotaKeeper, cost: u64, now: Moment) -> bool {
    let at_once = ReservationDecision::Granted {
        after: Duration::ZERO,
    };
    keeper.reserve("t", request(cost, Duration::ZERO), now) == at_once
}

#[test]
fn reserve_beyond_quota_refused_with_accurate_retry_time() {
    let mut keeper = full(84);
    let mut spent = 0;
    let retry_after = loop {
        match keeper.reserve("t", request(COST, Duration::ZERO), at(5_000)) {
            ReservationDecision::Granted { .. } => spent += COST,
            ReservationDecision::Refused { retry_after, .. } => break retry_after,
        }
    };
    assert!(spent as f64 <= QUOTA.burst + CONFIG.debt());
    assert!(spent as f64 > QUOTA.burst / 2.0 + CONFIG.debt() - COST as f64);
    let then = at(5_000) + retry_after + Duration::from_millis(1);
    assert!(granted(&mut keeper, COST, then));
    assert!(!granted(&mut keeper, COST, then));
}

#[test]
fn reserve_consecutive_refusals_get_increasing_retry_times() {
    let mut keeper = full(1);
    while granted(&mut keeper, COST, at(5_000)) {}
    let mut times = Vec::new();
    for _ in 0..5 {
        match keeper.reserve("t", request(COST, Duration::ZERO), at(5_000)) {
            ReservationDecision::Refused { retry_after, .. } => times.push(retry_after),
            ReservationDecision::Granted { .. } => panic!("granted beyond the quota"),
        }
    }
    assert!(times.windows(2).all(|pair| pair[0] < pair[1]));
}

/// A window of a tenant with unlimited demand uses nearly all that the bounds allow, and never
/// more, even with the debts of two more keepers.
#[test]
fn window_of_one_keeper_uses_allowance() {
    let allowed = (QUOTA.rate_per_s * 8.0 + QUOTA.burst) * (1.0 + CONFIG.overage) + CONFIG.slack;
    let most = CONFIG.window_allowance(&QUOTA) + 3.0 * CONFIG.debt();
    assert!(most <= allowed, "{most} of {allowed}");
    let mut keeper = full(84);
    let mut spent = 0;
    for millis in 5_000..13_000 {
        keeper.set_listed_nodes(84, at(millis));
        while granted(&mut keeper, COST, at(millis)) {
            spent += COST;
        }
    }
    assert!(spent as f64 > 0.75 * allowed, "{spent} of {allowed}");
}

/// All machines restart, and all callers return at once to a keeper without a balance: 460,000
/// units per second of a tenant with a quota of 832,714. Without grants ahead of time, the
/// requests of the first tenths of a second would be refused.
#[test]
fn reserve_after_restart_waits_instead_of_refusal() {
    let large = Quota {
        rate_per_s: 832_714.0,
        burst: 832_714.0,
        ..QUOTA
    };
    let mut keeper = QuotaKeeper::new(CONFIG, at(0));
    keeper.update_quota(&name(), large, 1, at(0));
    keeper.set_listed_nodes(84, at(0));
    keeper.set_listeners(84, at(0));
    let mut longest = Duration::ZERO;
    for millis in (0..3_000).step_by(20) {
        // Twice the usual demand in the first half second.
        let requests = if millis < 500 { 2 } else { 1 };
        for _ in 0..requests {
            match keeper.reserve("t", request(COST, Duration::from_millis(1_200)), at(millis)) {
                ReservationDecision::Granted { after } => longest = longest.max(after),
                ReservationDecision::Refused { .. } => panic!("refused at {millis} ms"),
            }
        }
    }
    assert!(longest < Duration::from_millis(100), "{longest:?}");
}

/// A tenant requests several times its quota in two kinds of requests, one of which can hardly
/// wait. The patient ones get what is available, in order.
#[test]
fn reserve_ahead_within_patience_and_in_order() {
    let mut keeper = full(84);
    let mut granted_until = Duration::ZERO;
    let (mut patient, mut hasty) = (0, 0);
    for millis in (5_000..13_000).step_by(20) {
        let now = at(millis);
        if let ReservationDecision::Granted { after } =
            keeper.reserve("t", request(COST, Duration::from_millis(1_200)), now)
        {
            patient += 1;
            let runs_at = Duration::from_millis(millis) + after;
            assert!(runs_at >= granted_until, "granted out of order");
            granted_until = runs_at;
        }
        if let ReservationDecision::Granted { .. } =
            keeper.reserve("t", request(COST, Duration::from_millis(120)), now)
        {
            hasty += 1;
        }
    }
    assert!(patient > 4 * hasty, "{patient} and {hasty}");
}

/// A tenant at six times its usual demand. Reviews of 9,190 tokens that can wait used up all
/// income, and alerts of 200 tokens that cannot wait were refused, although all alerts together
/// are a twentieth of the quota.
#[test]
fn reserve_small_requests_beside_waiting_large_ones() {
    let mut keeper = full(84);
    let (mut alerts, mut passed) = (0, 0);
    for millis in 5_000..13_000 {
        let now = at(millis);
        // 60 reviews per second and 8 alerts per second: 1,600 tokens of 29,000.
        if millis % 16 == 0 {
            keeper.reserve("t", request(COST, Duration::from_millis(1_200)), now);
        }
        if millis % 125 == 0 {
            alerts += 1;
            passed += usize::from(granted(&mut keeper, 200, now));
        }
    }
    assert!(passed * 10 >= alerts * 9, "{passed} of {alerts}");
}

/// The keeper of a tenant at several times its quota changes. Grants that the old keeper made
/// ahead run in addition to those of the new one.
#[test]
fn carry_charges_grants_of_former_keeper() {
    let patience = Duration::from_millis(1_200);
    let mut old = full(84);
    let mut ahead = 0;
    while let ReservationDecision::Granted { after } = old.reserve("t", request(COST, patience), at(5_000)) {
        ahead += if after.is_zero() { 0 } else { COST };
    }
    let mut new = keeper(at(5_000));
    new.set_listed_nodes(84, at(5_000));
    new.set_listeners(84, at(5_000));
    new.carry("t", ahead, at(5_000));
    let mut spent = 0;
    for millis in 5_000..6_200 {
        if granted(&mut new, COST, at(millis)) {
            spent += COST;
        }
    }
    let income = CONFIG.window_allowance(&QUOTA) * 1.2 / 8.0;
    assert!(
        (ahead + spent) as f64 <= income + CONFIG.debt(),
        "{ahead} and {spent}"
    );
}

/// A tenant exceeds its quota several times with reviews that can wait and with more urgent
/// questions of 1,050 tokens, which are 40 % of the quota together. The questions pass.
#[test]
fn reserve_urgent_requests_before_patient_ones() {
    let mut keeper = full(84);
    let (mut questions, mut passed, mut reviews) = (0, 0, 0);
    for millis in 5_000..15_000 {
        let now = at(millis);
        if millis % 50 == 0 {
            let review = request(COST, Duration::from_millis(1_200));
            reviews += usize::from(matches!(
                keeper.reserve("t", review, now),
                ReservationDecision::Granted { .. }
            ));
        }
        if millis % 90 == 0 {
            let question = QuotaRequest {
                is_urgent: true,
                ..request(1_050, Duration::from_millis(200))
            };
            questions += 1;
            passed += usize::from(matches!(
                keeper.reserve("t", question, now),
                ReservationDecision::Granted { .. }
            ));
        }
    }
    assert!(passed * 10 >= questions * 9, "{passed} of {questions}");
    assert!(reviews > 15, "{reviews}");
}

/// A third of the nodes was cut off from the store for 12 s, and their entries were lost. They
/// continued with a keeper among them, while the other keeper used the whole quota.
#[test]
fn share_retained_after_entries_expire() {
    let mut keeper = keeper(at(0));
    keeper.set_listed_nodes(84, at(0));
    keeper.set_listeners(55, at(0));
    for millis in (500..13_000).step_by(500) {
        keeper.set_listed_nodes(55, at(millis));
        assert!(keeper.share() < 0.7, "at {millis} ms");
    }
    keeper.set_listed_nodes(55, at(30_000));
    assert_eq!(keeper.share(), 1.0);
}

/// A tenant requested six times its quota for seconds, and a fifth of it since. The times to
/// retry after no longer include the earlier demand.
#[test]
fn retry_time_after_surge_follows_balance() {
    let mut keeper = full(84);
    for millis in 5_000..11_000 {
        if millis % 52 == 0 {
            keeper.reserve("t", request(COST, Duration::ZERO), at(millis));
        }
    }
    let mut retry_time = Duration::ZERO;
    for millis in (14_000..18_000).step_by(20) {
        let decision = keeper.reserve("t", request(120, Duration::ZERO), at(millis));
        assert!(
            matches!(decision, ReservationDecision::Granted { .. }),
            "at {millis} ms"
        );
    }
    while let ReservationDecision::Granted { .. } =
        keeper.reserve("t", request(COST, Duration::ZERO), at(18_000))
    {}
    if let ReservationDecision::Refused { retry_after, .. } =
        keeper.reserve("t", request(COST, Duration::ZERO), at(18_000))
    {
        retry_time = retry_after;
    }
    // Two such requests at 0.9 of the income of 32,900 units per second.
    assert!(retry_time < Duration::from_millis(700), "{retry_time:?}");
}

/// Many requests were granted, waited for their model and did not run. The units that they return
/// must not add to the income received in the meantime.
#[test]
fn refund_bounded_by_max_savings() {
    let mut keeper = full(84);
    let mut granted_cost = 0;
    for millis in 5_000..10_000 {
        if granted(&mut keeper, COST, at(millis)) {
            granted_cost += COST;
        }
    }
    for _ in 0..granted_cost / COST {
        keeper.refund("t", COST, at(14_000));
    }
    let mut spent = 0;
    while granted(&mut keeper, COST, at(14_000)) {
        spent += COST;
    }
    assert!(spent as f64 <= QUOTA.burst / 2.0 + CONFIG.debt(), "{spent}");
}

#[test]
fn refund_allows_another_request() {
    let mut keeper = full(10);
    while granted(&mut keeper, COST, at(5_000)) {}
    keeper.refund("t", COST, at(5_000));
    assert!(granted(&mut keeper, COST, at(5_000)));
}

#[test]
fn update_quota_applies_immediately() {
    let mut keeper = full(10);
    let lower = Quota {
        rate_per_s: 1_000.0,
        burst: 1_000.0,
        ..QUOTA
    };
    keeper.update_quota(&name(), lower, 2, at(5_000));
    let mut spent = 0;
    while granted(&mut keeper, COST, at(5_000)) {
        spent += COST;
    }
    assert!(spent as f64 <= lower.burst + CONFIG.debt());
    // An older version, sent by a node that lags behind, changes nothing.
    keeper.update_quota(&name(), QUOTA, 1, at(5_000));
    assert!(!granted(&mut keeper, COST, at(6_000)));
    let higher = Quota {
        rate_per_s: 900_000.0,
        burst: 900_000.0,
        ..QUOTA
    };
    keeper.update_quota(&name(), higher, 3, at(6_000));
    assert!(granted(&mut keeper, COST, at(6_100)));
}

#[test]
fn new_keeper_without_balance_grants_only_its_share() {
    let mut alone = keeper(at(0));
    alone.set_listed_nodes(84, at(0));
    alone.set_listeners(1, at(0));
    let mut spent = 0;
    for millis in 0..8_000 {
        alone.set_listed_nodes(84, at(millis));
        if granted(&mut alone, 100, at(millis)) {
            spent += 100;
        }
    }
    let own_share = (CONFIG.window_allowance(&QUOTA) + CONFIG.debt()) / 84.0;
    assert!(spent as f64 <= own_share, "{spent} of {own_share}");
}

#[test]
fn set_listeners_drops_savings_of_idle_keeper() {
    let mut keeper = full(10);
    keeper.set_listeners(0, at(5_000));
    keeper.set_listeners(10, at(5_100));
    let mut spent = 0;
    while granted(&mut keeper, COST, at(5_100)) {
        spent += COST;
    }
    assert!(spent as f64 <= CONFIG.debt());
}

#[test]
fn keeper_order_by_processor_time_is_stable() {
    let nodes: Vec<(String, u32)> = (0..40)
        .map(|index| (format!("n{index}"), if index % 10 == 0 { 500 } else { 120 }))
        .collect();
    fn candidate<'a>(node: &&'a (String, u32)) -> Candidate<'a> {
        Candidate {
            name: &node.0,
            processor_millicores: node.1,
        }
    }
    for partition in QuotaPartition::all() {
        let all = keeper_order(partition, nodes.iter(), candidate);
        assert!(all[..4].iter().all(|node| node.1 == 500));
        let rest = keeper_order(
            partition,
            nodes.iter().filter(|node| node.0 != all[0].0),
            candidate,
        );
        assert_eq!(all[1..], rest[..]);
    }
}

/// Faults of the nodes and keepers of a fleet.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// The node loses its keeper and moves to another one, or to itself.
    Moves { node: usize, to: usize },
    /// As above, and the old keeper notices only later.
    MovesSilently { node: usize, to: usize },
    /// The keeper's process restarts, and its listeners return.
    Restarts { keeper: usize },
}

const NODES: usize = 12;
/// Keepers that the nodes may choose; each node may also be its own keeper.
const KEEPERS: usize = NODES;
/// Time in milliseconds after which a keeper notices that a listener became silent.
const SILENCE_MS: u64 = 3_000;

fn fault() -> impl Strategy<Value = (u64, Fault)> {
    let node_and_keeper = (0..NODES, 0..KEEPERS);
    let kind = prop_oneof![
        node_and_keeper
            .clone()
            .prop_map(|(node, to)| Fault::Moves { node, to }),
        node_and_keeper.prop_map(|(node, to)| Fault::MovesSilently { node, to }),
        (0..KEEPERS).prop_map(|keeper| Fault::Restarts { keeper }),
    ];
    (0u64..20_000, kind)
}

/// A fleet in which every node sends as many requests as it can.
struct Fleet {
    keepers: Vec<QuotaKeeper>,
    /// The keeper of each node.
    choice: Vec<usize>,
    /// Keepers that still count a listener that left, and until when.
    stale_listeners: Vec<(usize, u64)>,
    grants: Vec<(u64, u64)>,
    /// Grants ahead of time: node, cost and when the request runs.
    ahead: Vec<(usize, u64, u64)>,
    /// Start times of keepers.
    started: Vec<u64>,
    silences: Vec<u64>,
}

impl Fleet {
    fn new() -> Self {
        Fleet {
            keepers: (0..KEEPERS).map(|_| keeper(at(0))).collect(),
            choice: vec![0; NODES],
            stale_listeners: Vec::new(),
            grants: Vec::new(),
            ahead: Vec::new(),
            started: vec![0],
            silences: Vec::new(),
        }
    }

    fn count(&mut self, now: u64) {
        self.stale_listeners.retain(|(_, until)| *until > now);
        for index in 0..KEEPERS {
            let own = self.choice.iter().filter(|choice| **choice == index).count();
            let stale_listeners = self
                .stale_listeners
                .iter()
                .filter(|(keeper, _)| *keeper == index)
                .count();
            self.keepers[index].set_listed_nodes(NODES, at(now));
            self.keepers[index].set_listeners(own + stale_listeners, at(now));
        }
    }

    fn inject(&mut self, fault: Fault, now: u64) {
        self.started.push(now);
        match fault {
            Fault::Moves { node, to } => self.choice[node] = to,
            Fault::MovesSilently { node, to } => {
                self.stale_listeners.push((self.choice[node], now + SILENCE_MS));
                self.silences.push(now);
                self.choice[node] = to;
            }
            Fault::Restarts { keeper: index } => {
                self.keepers[index] = keeper(at(now));
                self.stale_listeners
                    .retain(|(listened_to, _)| *listened_to != index);
            }
        }
        self.count(now);
        self.carry(fault, now);
    }

    /// Carries over the grants of nodes that moved to another keeper, or whose keeper restarted.
    fn carry(&mut self, fault: Fault, now: u64) {
        self.ahead.retain(|(_, _, runs_at)| *runs_at > now);
        for (node, cost, _) in &self.ahead {
            let comes = match fault {
                Fault::Moves { node: moved, .. } | Fault::MovesSilently { node: moved, .. } => moved == *node,
                Fault::Restarts { keeper } => self.choice[*node] == keeper,
            };
            if comes {
                self.keepers[self.choice[*node]].carry("t", *cost, at(now));
            }
        }
    }

    fn reserve_all(&mut self, request: QuotaRequest, now: u64) {
        for node in 0..NODES {
            let keeper = &mut self.keepers[self.choice[node]];
            if let ReservationDecision::Granted { after } = keeper.reserve("t", request, at(now)) {
                let runs_at = now + after.as_millis() as u64;
                self.grants.push((runs_at, request.cost));
                self.ahead.push((node, request.cost, runs_at));
            }
        }
    }

    /// Returns the maximum units of a window by the keeper's invariant.
    fn bound(&self, from: u64, to: u64) -> f64 {
        let within = |moments: &[u64], before: u64| {
            let relevant = moments.iter().filter(|at| **at + before >= from && **at <= to);
            relevant.count() as f64
        };
        let keepers = within(&self.started, 0).min(KEEPERS as f64 * 3.0);
        let silent_s = SILENCE_MS as f64 / 1000.0;
        let twice = within(&self.silences, SILENCE_MS) * silent_s / NODES as f64;
        let per_s = CONFIG.window_allowance(&QUOTA) / WINDOW.as_secs_f64();
        CONFIG.window_allowance(&QUOTA)
            + per_s * twice * WINDOW.as_secs_f64()
            + QUOTA.burst * twice
            + (keepers + 1.0) * CONFIG.debt()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]
    #[test]
    fn window_with_unlimited_demand_within_bound(
        mut faults in prop::collection::vec(fault(), 0..8),
        cost in prop_oneof![Just(200u64), Just(2_000), Just(COST)],
        patience_ms in prop_oneof![Just(0u64), Just(120), Just(1_200)],
        urgent_cost in prop::option::of(100u64..4_000),
    ) {
        let patience = Duration::from_millis(patience_ms);
        faults.sort_by_key(|(when, _)| *when);
        let mut fleet = Fleet::new();
        let mut faults = faults.into_iter().peekable();
        for now in (0..24_000).step_by(50) {
            while let Some((_, fault)) = faults.next_if(|(when, _)| *when <= now) {
                fleet.inject(fault, now);
            }
            fleet.count(now);
            fleet.reserve_all(request(cost, patience), now);
            if let Some(cost) = urgent_cost {
                let urgent = QuotaRequest { is_urgent: true, ..request(cost, Duration::from_millis(240)) };
                fleet.reserve_all(urgent, now);
            }
        }
        let window = WINDOW.as_millis() as u64;
        for from in (0..16_000).step_by(500) {
            let to = from + window;
            let within = fleet.grants.iter().filter(|(when, _)| (from..=to).contains(when));
            let sum: u64 = within.map(|(_, cost)| *cost).sum();
            let bound = fleet.bound(from, to);
            prop_assert!(sum as f64 <= bound, "{sum} of {bound} from {from}");
        }
    }

    #[test]
    fn window_without_faults_serves_requests_within_quota(
        gaps in prop::collection::vec(1u64..900, 30..120),
    ) {
        // Requests at half of the rate on average. Each one that a plain token bucket of the same
        // rate and burst would allow is granted.
        let mut keeper = full(84);
        let mut balance = QUOTA.burst;
        let mut now = 5_000;
        for gap in gaps {
            now += gap;
            balance = (balance + QUOTA.rate_per_s * gap as f64 / 1000.0).min(QUOTA.burst);
            let is_within_quota = balance >= COST as f64;
            keeper.set_listed_nodes(84, at(now));
            let is_granted = granted(&mut keeper, COST, at(now));
            if is_within_quota {
                balance -= COST as f64;
                prop_assert!(is_granted);
            } else if is_granted {
                balance -= COST as f64;
            }
        }
    }
}

/// Quotas, bounds and slacks of any size, including no slack at all.
fn any_bounds() -> impl Strategy<Value = (KeeperConfig, Quota)> {
    let overage = prop_oneof![Just(0.0), 0.01f64..0.5];
    let slack = prop_oneof![Just(0.0), 100.0f64..200_000.0];
    let burst_s = prop_oneof![Just(0.0), 0.05f64..4.0];
    (2u64..12, overage, slack, 500.0f64..300_000.0, burst_s).prop_map(
        |(window_s, overage, slack, rate_per_s, burst_s)| {
            let config = KeeperConfig {
                window: Duration::from_secs(window_s),
                overage,
                slack,
            };
            let quota = Quota {
                rate_per_s,
                burst: rate_per_s * burst_s,
                ..QUOTA
            };
            (config, quota)
        },
    )
}

/// A kind of request: cost, interval in milliseconds, patience in milliseconds, and whether it is
/// urgent.
fn any_kind() -> impl Strategy<Value = (u64, u64, u64, bool)> {
    (50u64..4_000, 2u64..60, 0u64..2_500, any::<bool>())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]
    /// Tenants above their quota: urgent and patient requests together are several times the
    /// quota, and the patient ones can wait for seconds.
    #[test]
    fn window_of_urgent_and_patient_requests_within_quota(
        (config, quota) in any_bounds(),
        kinds in prop::collection::vec(any_kind(), 1..4),
        idle_ms in 0u64..6_000,
    ) {
        let mut keeper = QuotaKeeper::new(config, at(0));
        keeper.update_quota(&name(), quota, 1, at(0));
        keeper.set_listed_nodes(10, at(0));
        keeper.set_listeners(10, at(0));
        let mut runs: Vec<(u64, u64, u64)> = Vec::new();
        for now in idle_ms..idle_ms + 16_000 {
            for (cost, gap_ms, patience_ms, is_urgent) in &kinds {
                if now % gap_ms != 0 {
                    continue;
                }
                let request = QuotaRequest { cost: *cost, patience: Duration::from_millis(*patience_ms), is_urgent: *is_urgent };
                if let ReservationDecision::Granted { after } = keeper.reserve("t", request, at(now)) {
                    runs.push((now, now + after.as_micros().div_ceil(1000) as u64, *cost));
                }
            }
        }
        let window = config.window.as_millis() as u64;
        let nominal = quota.rate_per_s * config.window.as_secs_f64() + quota.burst;
        // A grant's time is sent to requests in whole milliseconds.
        let rounding = quota.rate_per_s * 0.002 + 1.0;
        let allowed = nominal * (1.0 + config.overage) + config.slack + rounding;
        for from in (idle_ms..idle_ms + 16_000).step_by(100) {
            let within = runs.iter().filter(|(sent, runs_at, _)| *sent >= from && *runs_at <= from + window);
            let sum: u64 = within.map(|(_, _, cost)| *cost).sum();
            prop_assert!(sum as f64 <= allowed, "{} of {} from {}", sum, allowed, from);
        }
    }
}
