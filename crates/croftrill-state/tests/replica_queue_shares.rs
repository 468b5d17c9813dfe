//! Shares, estimates and refusals of the queue.

#[path = "engine_memory_support/campaign.rs"]
mod campaign;

use croftrill_state::cluster::Target;
use croftrill_state::configuration::PriorityClass;
use croftrill_state::outcome::RefusalCause;
use croftrill_state::replica_queue::*;
use croftrill_state::{AttemptId, GroupId, Instant, ModelId};
use proptest::prelude::*;
use std::collections::BTreeMap;

const FAR: Instant = Instant(1_000_000_000);

fn item(attempt: u64, group: &str, tokens: u32) -> QueueItem {
    QueueItem {
        attempt: AttemptId(attempt),
        target: Target {
            model: ModelId::from("model"),
            adapter: None,
        },
        group: GroupId::from(group),
        priority: PriorityClass::Standard,
        first_token_deadline: FAR,
        total_deadline: FAR,
        work: Work {
            prompt_tokens: 0,
            output_tokens: tokens,
            load_mib: 0,
        },
    }
}

fn queue(config: QueueConfig, weights: &[(&str, u32)]) -> ReplicaQueue {
    let mut queue = ReplicaQueue::new(config);
    let weights = weights
        .iter()
        .map(|(name, weight)| (GroupId::from(*name), *weight));
    queue.set_share_weights(weights.collect());
    queue
}

fn wide() -> QueueConfig {
    QueueConfig {
        capacity: 100_000,
        max_running: u32::MAX,
        ..QueueConfig::default()
    }
}

fn ready(_: &Target) -> Wake {
    Wake::Ready
}

fn pop(queue: &mut ReplicaQueue) -> QueueItem {
    queue.pop_ready(|_| true, Instant(0)).expect("something is ready")
}

fn cost_units() -> impl Strategy<Value = CostUnit> {
    prop_oneof![
        Just(CostUnit::PerRequest),
        Just(CostUnit::PerToken),
        Just(CostUnit::default())
    ]
}

proptest! {
    #![proptest_config(campaign::config(100))]

    /// While all groups have a backlog, what two of them got for their weights
    /// differs by at most two quanta and one item of each.
    #[test]
    fn backlogged_groups_share_by_weight(
        cost in cost_units(),
        quantum in 1..50_000u64,
        weights in proptest::collection::vec(1..8u32, 2..5),
        sizes in proptest::collection::vec(1..400u32, 200),
        pops in 20..150usize,
    ) {
        let names: Vec<String> = (0..weights.len()).map(|n| format!("group-{n}")).collect();
        let named: Vec<(&str, u32)> = names.iter().map(String::as_str).zip(weights.iter().copied()).collect();
        let config = QueueConfig { cost, quantum_units: quantum, ..wide() };
        let mut queue = queue(config, &named);
        let mut attempt = 0;
        for name in &names {
            for size in &sizes {
                attempt += 1;
                queue.push(item(attempt, name, *size), ready, Instant(0)).unwrap();
            }
        }
        let largest = sizes.iter().map(|size| cost.units(&item(0, "", *size).work)).max().unwrap();
        let mut served: BTreeMap<GroupId, u64> = names.iter().map(|n| (GroupId::new(n.clone()), 0)).collect();
        for _ in 0..pops {
            let popped = pop(&mut queue);
            *served.get_mut(&popped.group).unwrap() += cost.units(&popped.work);
            for (a, weight_a) in &named {
                for (b, weight_b) in &named {
                    let (weight_a, weight_b) = (f64::from(*weight_a), f64::from(*weight_b));
                    let share_a = served[&GroupId::from(*a)] as f64 / weight_a;
                    let share_b = served[&GroupId::from(*b)] as f64 / weight_b;
                    let bound = 2.0 * quantum as f64 + largest as f64 / weight_a + largest as f64 / weight_b;
                    prop_assert!((share_a - share_b).abs() <= bound, "{share_a} {share_b} {bound}");
                }
            }
        }
    }

    /// A less urgent class gets its turn however many urgent items come.
    #[test]
    fn batch_progresses_under_a_flood(bound in 1..20u32) {
        let mut queue = queue(QueueConfig { starvation_bound: bound, ..wide() }, &[]);
        let mut batch = item(1, "patient", 10);
        batch.priority = PriorityClass::Batch;
        queue.push(batch, ready, Instant(0)).unwrap();
        let mut pops = 0;
        loop {
            let mut urgent = item(100 + pops, "flood", 10);
            urgent.priority = PriorityClass::Critical;
            queue.push(urgent, ready, Instant(0)).unwrap();
            pops += 1;
            if pop(&mut queue).group == GroupId::from("patient") {
                break;
            }
            prop_assert!(pops <= u64::from(bound));
        }
    }

    /// The combined cost grows with each kind of work, and faster than the
    /// prompt's length.
    #[test]
    fn combined_cost_is_monotonous_and_not_linear(prompt in 1_000..20_000u32, output in 0..4_000u32, load in 0..100_000u64) {
        let cost = CombinedCost { fixed_units: 0, ..CombinedCost::default() };
        let work = Work { prompt_tokens: prompt, output_tokens: output, load_mib: load };
        let units = cost.units(&work);
        let longer = Work { output_tokens: output + 1, ..work };
        prop_assert!(cost.units(&longer) > units);
        let colder = Work { load_mib: load + 1, ..work };
        prop_assert!(cost.units(&colder) > units);
        let prefill = |prompt_tokens| cost.units(&Work { prompt_tokens, ..Work::default() });
        prop_assert!(prefill(2 * prompt) > 2 * prefill(prompt));
    }
}

#[test]
fn idle_share_is_lent_out_and_not_saved_up() {
    let config = QueueConfig {
        cost: CostUnit::PerRequest,
        quantum_units: 1,
        ..wide()
    };
    let mut queue = queue(config, &[("busy", 1), ("late", 1)]);
    for attempt in 0..100 {
        queue.push(item(attempt, "busy", 1), ready, Instant(0)).unwrap();
    }
    for _ in 0..50 {
        assert_eq!(pop(&mut queue).group, GroupId::from("busy"));
    }
    for attempt in 200..250 {
        queue.push(item(attempt, "late", 1), ready, Instant(0)).unwrap();
    }
    let late = (0..20).filter(|_| pop(&mut queue).group == GroupId::from("late"));
    assert_eq!(late.count(), 10);
}

#[test]
fn a_group_is_charged_for_what_it_took() {
    let config = QueueConfig {
        cost: CostUnit::PerToken,
        quantum_units: 10,
        ..wide()
    };
    let mut queue = queue(config, &[("modest", 1), ("exact", 1)]);
    for attempt in 0..400 {
        let group = if attempt % 2 == 0 { "modest" } else { "exact" };
        queue.push(item(attempt, group, 100), ready, Instant(0)).unwrap();
    }
    let mut served: BTreeMap<GroupId, u32> = BTreeMap::new();
    for _ in 0..120 {
        let popped = pop(&mut queue);
        // Every request asks for 100 tokens; one group always takes half.
        let took = if popped.group == GroupId::from("modest") {
            50
        } else {
            100
        };
        let work = Work {
            output_tokens: took,
            ..Work::default()
        };
        queue.finish(popped.attempt, Some(work), Instant(0));
        *served.entry(popped.group).or_default() += took;
    }
    let (modest, exact) = (served[&GroupId::from("modest")], served[&GroupId::from("exact")]);
    assert!(modest.abs_diff(exact) <= 200, "{modest} {exact}");
}

/// A queue with one slot that learned that a token takes 10 ms.
fn learned_queue(capacity: usize) -> ReplicaQueue {
    let config = QueueConfig {
        capacity,
        max_running: 1,
        cost: CostUnit::PerToken,
        quantum_units: 10,
        ..QueueConfig::default()
    };
    let mut queue = queue(config, &[]);
    queue.push(item(1, "teacher", 10), ready, Instant(0)).unwrap();
    let popped = queue.pop_ready(|_| true, Instant(0)).unwrap();
    queue.first_token(popped.attempt, Instant(10));
    queue.finish(popped.attempt, Some(popped.work), Instant(100));
    queue
}

#[test]
fn what_cannot_be_served_in_time_is_refused_at_once_with_a_useful_time() {
    let mut queue = learned_queue(100);
    let now = Instant(100);
    for attempt in 10..20 {
        queue.push(item(attempt, "flood", 10), ready, now).unwrap();
    }
    queue.pop_ready(|_| true, now).unwrap();
    let mut tight = item(30, "flood", 10);
    tight.first_token_deadline = now + 500;
    let refusal = queue.push(tight.clone(), ready, now).unwrap_err();
    assert_eq!(refusal.cause, RefusalCause::DeadlineTooShort);
    // Nine wait and half of one runs: 950 ms, and 10 ms to the first token.
    assert!((300..=600).contains(&refusal.retry_after_millis), "{refusal:?}");
    // The same deadline is met for a group that does not flood.
    tight.attempt = AttemptId(31);
    tight.group = GroupId::from("modest");
    queue.push(tight, ready, now).unwrap();
}

#[test]
fn an_item_is_given_up_as_soon_as_the_load_is_known_to_take_too_long() {
    let mut queue = learned_queue(100);
    let now = Instant(100);
    let mut cold = item(2, "group", 10);
    cold.first_token_deadline = now + 5_000;
    queue.push(cold, |_| Wake::In(1_000), now).unwrap();
    assert_eq!(queue.expire(now + 10, |_| Wake::In(2_000)), []);
    let refused = queue.expire(now + 20, |_| Wake::In(60_000));
    assert_eq!(refused[0].1.cause, RefusalCause::LoadTooSlow);
    assert_eq!(refused[0].1.retry_after_millis, 60_000);
}

#[test]
fn what_waits_for_a_load_does_not_delay_what_is_ready() {
    let mut queue = learned_queue(100);
    let now = Instant(100);
    let wake = |target: &Target| match target.model.as_str() {
        "cold" => Wake::In(1_000),
        _ => Wake::Ready,
    };
    for attempt in 10..30 {
        let mut cold = item(attempt, "flood", 10);
        cold.target.model = ModelId::from("cold");
        queue.push(cold, wake, now).unwrap();
    }
    let mut warm = item(50, "modest", 10);
    warm.first_token_deadline = now + 150;
    queue.push(warm, wake, now).unwrap();
}

#[test]
fn what_was_learned_fades_when_nothing_is_learned_any_more() {
    let mut queue = learned_queue(100);
    let mut tight = item(2, "group", 10);
    tight.total_deadline = Instant(100) + 50;
    let refusal = queue.push(tight.clone(), ready, Instant(100)).unwrap_err();
    assert_eq!(refusal.cause, RefusalCause::DeadlineTooShort);
    let later = Instant(600_000);
    tight.total_deadline = later + 50;
    queue.push(tight, ready, later).unwrap();
}

#[test]
fn in_a_full_queue_the_flooding_group_gives_way() {
    let mut queue = learned_queue(10);
    let now = Instant(100);
    for attempt in 10..20 {
        queue.push(item(attempt, "flood", 10), ready, now).unwrap();
    }
    let refusal = queue.push(item(20, "flood", 10), ready, now).unwrap_err();
    assert_eq!(refusal.cause, RefusalCause::QueueFull);
    let displaced = queue.push(item(21, "modest", 10), ready, now).unwrap();
    assert_eq!(displaced.unwrap().0.group, GroupId::from("flood"));
    let mut urgent = item(22, "flood", 10);
    urgent.priority = PriorityClass::Critical;
    let displaced = queue.push(urgent, ready, now).unwrap().unwrap();
    assert_eq!(displaced.0.priority, PriorityClass::Standard);
}
