//! The physical side of a run: times that can be worked out by hand.

use croftrill_bench::identifiers::{EngineIndex, Micros, RequestIndex, MILLISECOND, SECOND};
use croftrill_bench::policy::{LoadDone, Policy};
use croftrill_bench::scenario::Scenario;
use croftrill_bench::simulation::{simulate, CheckpointSource, EventQueue, World};
use croftrill_bench::workload::Workload;
use croftrill_state::outcome::{Refusal, RefusalCause};

/// Loads the models of the first requests on engine 0 at once, and serves.
struct LoadAllAtOnce {
    loads: usize,
    waiting: Vec<RequestIndex>,
    done: Vec<LoadDone>,
}

impl Policy for &mut LoadAllAtOnce {
    type Message = ();

    fn name(&self) -> &str {
        "load-all-at-once"
    }

    fn start(&mut self, world: &mut World<'_, ()>) {
        for model in 0..self.loads {
            let engine = EngineIndex(model);
            world
                .start_load(engine, croftrill_bench::identifiers::ModelIndex(model))
                .unwrap();
        }
    }

    fn arrived(&mut self, world: &mut World<'_, ()>, request: RequestIndex) {
        self.waiting.push(request);
        let refusal = Refusal::not_run(RefusalCause::DeadlineExpired, 0);
        world.refuse(request, &refusal);
    }

    fn message(&mut self, _world: &mut World<'_, ()>, _message: ()) {}

    fn loaded(&mut self, _world: &mut World<'_, ()>, done: LoadDone) {
        self.done.push(done);
    }

    fn finished(&mut self, _world: &mut World<'_, ()>, _request: RequestIndex, _engine: EngineIndex) {}
}

fn scenario(slowdowns: &str) -> Scenario {
    let text = include_str!("../workloads/granite-ledger.toml");
    let start = text.find("slowdowns = [").unwrap();
    let end = start + text[start..].find("\n]").unwrap() + 2;
    let text = format!("{}{slowdowns}{}", &text[..start], &text[end..]);
    let text = text.replace("initial_disk_part = 0.15", "initial_disk_part = 0.0");
    let text = text.replace("checkpoint_part = 0.8", "checkpoint_part = 0.0");
    Scenario::parse(&text).unwrap()
}

fn durations(slowdowns: &str, loads: usize, checkpoint_mib: u64) -> Vec<Micros> {
    let scenario = scenario(slowdowns);
    let mut workload = Workload::generate(&scenario, 1, SECOND);
    for model in &mut workload.models {
        model.checkpoint_mib = checkpoint_mib;
    }
    let mut policy = LoadAllAtOnce {
        loads,
        waiting: Vec::new(),
        done: Vec::new(),
    };
    let run = simulate(&scenario, &workload, &mut policy, &mut |_| {});
    assert_eq!(run.lost, 0);
    assert!(policy
        .done
        .iter()
        .all(|done| done.source == CheckpointSource::Remote));
    policy
        .done
        .iter()
        .map(|done| done.duration / MILLISECOND)
        .collect()
}

#[test]
fn events_come_in_the_order_of_time_then_of_scheduling() {
    let mut queue = EventQueue::default();
    for (time, event) in [(5, "c"), (1, "a"), (5, "d"), (2, "b")] {
        queue.push(time, event);
    }
    let order: Vec<&str> = std::iter::from_fn(|| queue.pop())
        .map(|(_, event)| event)
        .collect();
    assert_eq!(order, ["a", "b", "c", "d"]);
}

#[test]
fn a_lone_load_runs_at_full_speed() {
    // 6500 MiB at 6500 MiB/s, and 900 ms that do not depend on size.
    assert_eq!(durations("", 1, 6500), [1900]);
}

#[test]
fn the_store_starts_loads_at_its_rate() {
    assert_eq!(durations("", 3, 6500), [1900, 2233, 2566]);
}

#[test]
fn a_slow_store_is_slow_only_while_it_is() {
    // Half a second at a quarter of the speed moves an eighth of the load.
    let slow = "slowdowns = [{ from_second = 0, to_second = 2, factor = 4.0 }]";
    assert_eq!(durations(slow, 1, 6500), [2000 + 500 + 900]);
}

#[test]
fn more_loads_than_the_store_has_slots_share_its_bandwidth() {
    // With 12 long loads at once, 6 slots' bandwidth is shared by up to 12.
    let all = durations("", 12, 65_000);
    assert_eq!(all.len(), 12);
    assert!(
        all[0] > 10_900,
        "the first load is slowed by the others: {}",
        all[0]
    );
    // 12 * 65000 MiB take 20 s at the whole bandwidth; at both ends fewer than
    // 6 loads run, which wastes some of it.
    let last = all[11];
    assert!((20_900..23_000).contains(&last), "{all:?}");
}
