//! Arbitrary sequences of events against an engine that keeps the truth: what
//! it holds, which orders are on their way, and what is in use.

mod engine_memory_support;

use croftrill_state::cluster::Target;
use croftrill_state::engine_memory::*;
use croftrill_state::placement::{AssignmentState, Residency};
use croftrill_state::{EngineId, Instant};
use engine_memory_support::*;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Event {
    AssignOnDemand(usize),
    AssignResident(usize, u32),
    AssignWaiting(usize),
    Release(usize),
    /// The log records the releases that the owner may report.
    RecordReleases,
    Unassign(usize),
    NewVersion(usize),
    NewAdapterVersion(usize),
    Demand(usize, bool, u64),
    Withdraw(usize, bool),
    ComeBack(usize),
    Use(usize, bool),
    EndUse(usize),
    Decide,
    /// The order reaches the engine, and its answer comes back.
    Deliver(usize),
    /// The order reaches the engine; its answer is lost.
    DeliverLosingAnswer(usize),
    /// The order does not reach the engine, and that is known.
    Undelivered(usize),
    /// The answer counts as lost; the order arrives later.
    DelayOrder(usize),
    /// A delayed order arrives.
    ArriveLate(usize),
    GiveUp(usize),
    AskInventory,
    TakeInventory(usize),
    LoadsFinish,
    LoadFails(usize),
    EngineRestarts,
    OwnerChanges,
    FormerOwnersRequestsEnd,
    Pass(u64),
    /// The model or adapter is assigned and woken without failures.
    Wake(usize, bool),
    /// An inventory is asked for and answered at once.
    Look,
}

fn event() -> impl Strategy<Value = Event> {
    let model = 0..MODELS;
    prop_oneof![
        6 => model.clone().prop_map(Event::AssignOnDemand),
        2 => (model.clone(), 0..ACCELERATORS as u32).prop_map(|(m, a)| Event::AssignResident(m, a)),
        1 => model.clone().prop_map(Event::AssignWaiting),
        2 => model.clone().prop_map(Event::Release),
        2 => Just(Event::RecordReleases),
        1 => model.clone().prop_map(Event::Unassign),
        1 => model.clone().prop_map(Event::NewVersion),
        1 => model.clone().prop_map(Event::NewAdapterVersion),
        6 => (model.clone(), any::<bool>(), 0..20_000u64).prop_map(|(m, a, d)| Event::Demand(m, a, d)),
        2 => (model.clone(), any::<bool>()).prop_map(|(m, a)| Event::Withdraw(m, a)),
        1 => model.clone().prop_map(Event::ComeBack),
        5 => (model.clone(), any::<bool>()).prop_map(|(m, a)| Event::Use(m, a)),
        4 => any::<usize>().prop_map(Event::EndUse),
        10 => Just(Event::Decide),
        10 => any::<usize>().prop_map(Event::Deliver),
        2 => any::<usize>().prop_map(Event::DeliverLosingAnswer),
        2 => any::<usize>().prop_map(Event::Undelivered),
        2 => any::<usize>().prop_map(Event::DelayOrder),
        2 => any::<usize>().prop_map(Event::ArriveLate),
        1 => any::<usize>().prop_map(Event::GiveUp),
        6 => Just(Event::AskInventory),
        6 => any::<usize>().prop_map(Event::TakeInventory),
        4 => Just(Event::LoadsFinish),
        1 => model.clone().prop_map(Event::LoadFails),
        1 => Just(Event::EngineRestarts),
        1 => Just(Event::OwnerChanges),
        2 => Just(Event::FormerOwnersRequestsEnd),
        4 => (0..3_000u64).prop_map(Event::Pass),
        6 => (model.clone(), any::<bool>()).prop_map(|(m, a)| Event::Wake(m, a)),
        4 => Just(Event::Look),
    ]
}

fn apply(world: &mut World, event: Event) {
    match event {
        Event::AssignOnDemand(number) => world.assign(number, Residency::OnDemand, AssignmentState::Active),
        Event::AssignResident(number, first) => {
            let accelerators = accelerators_from(first, spec(number).accelerators);
            let residency = Residency::Resident { accelerators };
            world.assign(number, residency, AssignmentState::Active);
        }
        Event::AssignWaiting(number) => {
            let state = AssignmentState::WaitingFor {
                engine: EngineId::from("other"),
            };
            world.assign(number, Residency::OnDemand, state);
        }
        Event::Release(number) => world.release(number),
        Event::RecordReleases => world.record_releases(),
        Event::Unassign(number) => world.unassign(number),
        Event::NewVersion(number) => world.new_version(number),
        Event::NewAdapterVersion(number) => world.new_adapter_version(number),
        Event::Demand(number, adapter, slack) => world.demand(target(number, adapter), slack),
        Event::Withdraw(number, adapter) => world.withdraw(&target(number, adapter)),
        Event::ComeBack(number) => world.come_back(&target(number, false)),
        Event::Use(number, adapter) => world.start_use(&target(number, adapter)),
        Event::EndUse(number) => world.end_use(number),
        Event::Decide => world.decide(),
        Event::Deliver(number) => world.deliver(number, Delivery::Answered),
        Event::DeliverLosingAnswer(number) => world.deliver(number, Delivery::AnswerLost),
        Event::Undelivered(number) => world.deliver(number, Delivery::Undelivered),
        Event::DelayOrder(number) => world.deliver(number, Delivery::Delayed),
        Event::ArriveLate(number) => world.arrive_late(number),
        Event::GiveUp(number) => world.give_up(number),
        Event::AskInventory => world.ask_inventory(),
        Event::TakeInventory(number) => world.take_inventory(number),
        Event::LoadsFinish => world.loads_finish(),
        Event::LoadFails(number) => world.load_fails(number),
        Event::EngineRestarts => world.engine_restarts(),
        Event::OwnerChanges => world.owner_changes(),
        Event::FormerOwnersRequestsEnd => world.former_owners_requests_end(),
        Event::Pass(millis) => world.pass(millis),
        Event::Wake(number, adapter) => {
            world.assign(number, Residency::OnDemand, AssignmentState::Active);
            world.wake(&target(number, adapter));
        }
        Event::Look => world.look(),
    }
    world.check();
}

fn policies() -> impl Strategy<Value = EvictionPolicy> {
    prop_oneof![
        Just(EvictionPolicy::ExpectedWakeCost),
        Just(EvictionPolicy::LeastRecentlyUsed)
    ]
}

proptest! {
    #![proptest_config(campaign::config(300))]

    /// Checked after every event: memory is never overcommitted, nothing is
    /// loaded without an active assignment, nothing in use is unloaded, and
    /// what the engine holds is accounted for. At the end, with the failures
    /// over, the residents are loaded, what is no longer assigned is gone, and
    /// each on-demand model can still be woken.
    #[test]
    fn memory_stays_within_what_was_decided(
        eviction in policies(),
        events in proptest::collection::vec(event(), 1..200),
    ) {
        let mut world = World::new(eviction);
        for event in events {
            apply(&mut world, event);
        }
        world.settle();
        world.check_settled();
        for number in 0..MODELS {
            world.check_can_wake(&Target { adapter: None, ..target(number, false) });
        }
    }
}

#[test]
fn nothing_is_decided_before_the_engine_told_what_it_holds() {
    let mut world = World::new(EvictionPolicy::default());
    world.forget_inventory();
    world.assign(0, Residency::OnDemand, AssignmentState::Active);
    world.demand(target(0, false), 10_000);
    assert_eq!(world.memory.decide(&world.demands(), Instant(0)), []);
}

#[test]
fn a_delayed_load_stays_reserved_until_an_inventory_asked_for_after_it_can_have_arrived() {
    let mut world = World::new(EvictionPolicy::default());
    let events = [
        Event::AssignOnDemand(0),
        Event::Demand(0, false, 10_000),
        Event::Decide,
        Event::DelayOrder(0),
        Event::Pass(693),
        Event::AskInventory,
        Event::ArriveLate(0),
        Event::Pass(1_307),
        Event::TakeInventory(0),
    ];
    for event in events {
        apply(&mut world, event);
    }
}

#[test]
fn a_delayed_unload_does_not_hit_the_next_replica() {
    let mut world = World::new(EvictionPolicy::default());
    let events = [
        Event::Wake(5, false),
        Event::Unassign(5),
        Event::Demand(5, true, 10_000),
        Event::Decide,
        Event::EngineRestarts,
        Event::DelayOrder(0),
        Event::AssignOnDemand(5),
        Event::Wake(0, false),
        Event::ArriveLate(0),
        Event::Use(5, false),
    ];
    for event in events {
        apply(&mut world, event);
    }
}
