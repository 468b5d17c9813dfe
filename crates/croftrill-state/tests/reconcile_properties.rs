//! Whatever happens to machines, models and releases: a coordinator's plans are
//! accepted and come to an end.

mod reconcile_support;

use croftrill_state::cluster::Versioned;
use croftrill_state::configuration::Model;
use croftrill_state::entry::Intent;
use croftrill_state::placement::{AssignmentState, Lifecycle, Node};
use croftrill_state::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use reconcile_support::*;

const FIXED_SEED: u64 = 20_260_102;

#[derive(Clone, Debug)]
enum Event {
    ListNode(u8, bool),
    ListEngine(u8, bool, u64),
    Answers(u8, bool),
    AnnouncesStop(u8),
    PutModel(u8, u32, u32, u32, u64),
    DrainNode(u8),
    DrainEngine(u8),
    Released(u8),
    Pass(u64),
}

fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..6u8, prop::bool::weighted(0.8)).prop_map(|(n, listed)| Event::ListNode(n, listed)),
        (0..8u8, prop::bool::weighted(0.7), 1..3u64).prop_map(|(n, listed, size)| Event::ListEngine(
            n,
            listed,
            size * 20
        )),
        (0..6u8, any::<bool>()).prop_map(|(n, answers)| Event::Answers(n, answers)),
        (0..6u8).prop_map(Event::AnnouncesStop),
        (0..6u8, 0..3u32, 0..3u32, 1..3u32, 1..40u64)
            .prop_map(|(n, min, more, wide, memory)| Event::PutModel(n, min, more, wide, memory)),
        (0..6u8).prop_map(Event::DrainNode),
        (0..8u8).prop_map(Event::DrainEngine),
        (0..8u8).prop_map(Event::Released),
        (0..40_000u64).prop_map(Event::Pass),
    ]
}

impl World {
    fn run(&mut self, event: &Event) {
        match event {
            Event::ListNode(n, true) => self.list_node(node(&format!("node-{n}"), &zone_of(*n))),
            Event::ListNode(n, false) => {
                self.machines.nodes.remove(&NodeId::new(format!("node-{n}")));
            }
            Event::ListEngine(n, true, memory) => {
                let mut engine = engine(&format!("engine-{n}"), &zone_of(*n));
                engine.accelerator_memory_mib = vec![*memory; 2];
                self.list_engine(engine);
            }
            Event::ListEngine(n, false, _) => {
                self.machines
                    .engines
                    .remove(&EngineId::new(format!("engine-{n}")));
            }
            Event::Answers(n, answers) => {
                let id = NodeId::new(format!("node-{n}"));
                self.leaving.remove(&id);
                self.dead.remove(&id);
                if !answers {
                    self.dead.insert(id);
                }
            }
            Event::AnnouncesStop(n) => {
                self.leaving.insert(NodeId::new(format!("node-{n}")));
            }
            Event::PutModel(n, min, more, wide, memory) => {
                let name = format!("model-{n}");
                if self.assignments(&name).is_empty() {
                    self.put_model(Model {
                        accelerators: *wide,
                        ..model(&name, *min, min + more + 1, *memory)
                    });
                }
            }
            Event::DrainNode(n) => {
                let id = NodeId::new(format!("node-{n}"));
                if self.state.nodes.contains_key(&id) {
                    self.confirm(Intent::DrainNode(id));
                }
            }
            Event::DrainEngine(n) => {
                let id = EngineId::new(format!("engine-{n}"));
                if self.state.engines.contains_key(&id) {
                    self.confirm(Intent::DrainEngine(id));
                }
            }
            Event::Released(n) => self.release_one(&EngineId::new(format!("engine-{n}"))),
            Event::Pass(millis) => self.now = self.now + *millis,
        }
    }

    fn release_one(&mut self, engine: &EngineId) {
        let found = self
            .state
            .assignments_on_engine(engine)
            .find(|assignment| assignment.state == AssignmentState::Releasing)
            .cloned();
        if let Some(assignment) = found {
            self.append_released(assignment);
        }
    }

    /// Each move takes its time, and there are few.
    fn check_moves_end(&mut self) {
        self.pass(STEADY_NODE_MILLIS);
        for _ in 0..self.state.engines.len() * 2 {
            self.pass(BETWEEN_MOVES_MILLIS);
        }
        let head = self.state.revision;
        self.pass(10 * BETWEEN_MOVES_MILLIS);
        assert_eq!(self.state.revision, head);
    }

    /// Nothing that takes new work is left where it should not be.
    fn check_settled(&self) {
        let nodes = &self.state.nodes;
        let usable = |id: &NodeId| {
            let node: Option<&Versioned<Node>> = nodes.get(id);
            let takes_part = !self.dead.contains(id) && !self.leaving.contains(id);
            node.is_some_and(|node| node.value.lifecycle == Lifecycle::Live) && takes_part
        };
        let any_usable = nodes.keys().any(usable);
        for engine in self.state.engines.values() {
            let owned = engine.value.owner.as_ref().is_some_and(usable);
            assert!(owned || !any_usable, "{engine:?} has no usable owner");
        }
        for assignment in self.state.all_assignments() {
            let engine = &self.state.engines[&assignment.engine].value;
            let releases = assignment.state == AssignmentState::Releasing;
            assert!(releases || engine.lifecycle == Lifecycle::Live, "{assignment:?}");
        }
    }
}

fn zone_of(index: u8) -> String {
    format!("zone-{}", index % 2)
}

fn config() -> ProptestConfig {
    let mut config = ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    if config.rng_seed == RngSeed::Random {
        config.rng_seed = RngSeed::Fixed(FIXED_SEED);
    }
    config
}

proptest! {
    #![proptest_config(config())]

    /// Every plan is accepted, keeps the invariants of the state (checked after
    /// each entry), and plans come to an end.
    #[test]
    fn plans_are_accepted_and_come_to_an_end(
        events in prop::collection::vec(any_event(), 1..60),
        most_changes in 2..40usize,
    ) {
        let mut world = World::with_most_changes(most_changes);
        for event in &events {
            world.run(event);
            if let Some(change) = world.plan() {
                world.append(change);
            }
        }
        world.settle();
        world.pass(OWNER_DEAD_MILLIS);
        world.check_settled();
        world.check_moves_end();
    }
}
