//! The rules of the log under arbitrary sequences of entries: valid and
//! invalid ones, stale bases, wrong terms and entries out of order.

mod cluster_support;

use cluster_support::*;
use croftrill_state::cluster::{ApplyError, Versioned};
use croftrill_state::configuration::Model;
use croftrill_state::entry::{Change, Intent, LogEntry, PlacementStep};
use croftrill_state::placement::{Assignment, AssignmentState, Lifecycle, Residency};
use croftrill_state::planner::{self, EngineFacts};
use croftrill_state::{ClusterState, EngineId, ModelId, Revision, Term};
use nanoserde::{DeBin, SerBin};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::collections::BTreeMap;

/// Where the change of a generated entry comes from.
#[derive(Clone, Debug)]
enum Source {
    /// Anything, mostly rejected.
    Raw(Change),
    /// What the planner offers for some intents.
    Planned(Vec<Intent>),
    /// The report of a confirmed unload of one of the releasing replicas.
    Released(prop::sample::Index),
    /// A report for one of the releasing replicas that names another release:
    /// this long before the present one, or after it.
    OtherRelease(prop::sample::Index, i64),
    /// A step for one of the present assignments.
    Assigned(prop::sample::Index, Rework),
}

/// What a plan does with one present assignment.
#[derive(Clone, Debug)]
enum Rework {
    Release,
    Residency(Residency),
    MoveTo(String),
}

/// An entry of a generated sequence.
#[derive(Clone, Debug)]
struct Step {
    source: Source,
    /// How far the plan's base lies behind the present revision.
    base_lag: u64,
    /// Added to the right revision; other than 0 is out of order.
    revision_skew: u64,
    /// Added to the right term.
    term_skew: u64,
}

fn config(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_202),
        ..Config::default()
    }
}

fn name(kind: &'static str, most: u32) -> impl Strategy<Value = String> {
    (1..=most).prop_map(move |number| format!("{kind}{number}"))
}

fn any_model() -> impl Strategy<Value = Model> {
    let sizes = prop_oneof![Just(20_000_u64), Just(45_000), Just(90_000)];
    (name("m", 3), 1..=2_u32, sizes, 0..=2_u32, 1..=3_u32).prop_map(
        |(id, accelerators, memory, min_replicas, max_replicas)| Model {
            accelerators,
            memory_mib_per_accelerator: memory,
            ..model(&id, min_replicas, max_replicas)
        },
    )
}

fn any_intent() -> impl Strategy<Value = Intent> {
    prop_oneof![
        6 => any_model().prop_map(Intent::PutModel),
        2 => name("m", 3).prop_map(|id| Intent::DeleteModel(ModelId::new(id))),
        1 => (name("g", 2), 1..=3_u32).prop_map(|(id, share)| Intent::PutGroup(group(&id, share))),
        1 => name("g", 2).prop_map(|id| Intent::DeleteGroup(id.as_str().into())),
        1 => (name("a", 2), name("m", 3)).prop_map(|(id, base)| Intent::PutAdapter(adapter(&id, &base))),
        1 => name("a", 2).prop_map(|id| Intent::DeleteAdapter(id.as_str().into())),
        1 => name("e", 3).prop_map(|id| Intent::DrainEngine(id.as_str().into())),
        1 => name("n", 3).prop_map(|id| Intent::DrainNode(id.as_str().into())),
    ]
}

/// Two intents for the same object.
fn any_rivals() -> impl Strategy<Value = (Intent, Intent)> {
    let put_model = any_model().prop_map(Intent::PutModel);
    let model = prop_oneof![put_model, Just(Intent::DeleteModel("m1".into()))];
    let group = prop_oneof![
        (1..=3_u32).prop_map(|share| Intent::PutGroup(group("g1", share))),
        Just(Intent::DeleteGroup("g1".into())),
    ];
    let adapter = prop_oneof![
        name("m", 3).prop_map(|base| Intent::PutAdapter(adapter("a1", &base))),
        Just(Intent::DeleteAdapter("a1".into())),
    ];
    let model = model.prop_map(|intent| match intent {
        Intent::PutModel(model) => Intent::PutModel(Model {
            id: "m1".into(),
            ..model
        }),
        other => other,
    });
    let drain_engine = Just(Intent::DrainEngine("e1".into()));
    let drain_node = Just(Intent::DrainNode("n1".into()));
    prop_oneof![
        (model.clone(), model),
        (group.clone(), group),
        (adapter.clone(), adapter),
        (drain_engine.clone(), drain_engine),
        (drain_node.clone(), drain_node),
    ]
}

fn any_residency() -> impl Strategy<Value = Residency> {
    prop_oneof![
        Just(Residency::OnDemand),
        vec(0..=2_u32, 1..=2).prop_map(|accelerators| Residency::Resident { accelerators }),
    ]
}

fn any_assignment_state() -> impl Strategy<Value = AssignmentState> {
    prop_oneof![
        6 => Just(AssignmentState::Active),
        2 => name("e", 3).prop_map(|engine| AssignmentState::WaitingFor { engine: engine.as_str().into() }),
        1 => Just(AssignmentState::Releasing),
    ]
}

fn any_step() -> impl Strategy<Value = PlacementStep> {
    let any_assign = (
        name("m", 3),
        name("e", 3),
        any_residency(),
        any_assignment_state(),
    )
        .prop_map(|(model, engine, residency, state)| {
            assign(Assignment {
                residency,
                state,
                ..on_demand(&model, &engine)
            })
        });
    prop_oneof![
        4 => any_assign,
        2 => (name("m", 3), name("e", 3)).prop_map(|(model, engine)| release(&model, &engine)),
        1 => (name("e", 3), name("n", 3)).prop_map(|(engine, owner)| PlacementStep::SetOwner {
            engine: engine.as_str().into(),
            owner: owner.as_str().into(),
        }),
    ]
}

fn any_reconcile() -> impl Strategy<Value = Change> {
    let lifecycle = prop_oneof![Just(Lifecycle::Live), Just(Lifecycle::Leaving)];
    let put = vec((name("e", 3), lifecycle), 0..=2);
    let remove = vec(name("e", 3), 0..=1);
    let remove_nodes = vec(name("n", 3), 0..=1);
    let steps = vec(any_step(), 0..=1);
    (put, remove, remove_nodes, steps).prop_map(|(put, remove, remove_nodes, steps)| {
        let put_engines = put.into_iter().map(|(id, lifecycle)| {
            let mut machine = engine(&id, "z1", 2);
            machine.lifecycle = lifecycle;
            machine
        });
        Change::Reconcile {
            cell: CELL.into(),
            put_nodes: vec![node("n1", "z1"), node("n2", "z2")],
            remove_nodes: remove_nodes.iter().map(|id| id.as_str().into()).collect(),
            put_engines: put_engines.collect(),
            remove_engines: remove.iter().map(|id| id.as_str().into()).collect(),
            steps,
        }
    })
}

fn any_change() -> impl Strategy<Value = Change> {
    let plan = (0..30_u32, vec(any_intent(), 0..=2), vec(any_step(), 0..=3));
    let plan = plan
        .prop_map(|(number, intents, steps)| confirm(&format!("n1/{number:x}"), Revision(0), intents, steps));
    prop_oneof![
        8 => plan,
        4 => (name("m", 3), name("e", 3), 0..=40_u64)
            .prop_map(|(model, engine, release)| released(&model, &engine, Revision(release))),
        2 => any_reconcile(),
        1 => name("n", 3).prop_map(|node| Change::ElectCoordinator {
            cell: CELL.into(),
            node: node.as_str().into(),
        }),
    ]
}

fn any_source() -> impl Strategy<Value = Source> {
    let rework = prop_oneof![
        Just(Rework::Release),
        any_residency().prop_map(Rework::Residency),
        name("e", 3).prop_map(Rework::MoveTo),
    ];
    prop_oneof![
        3 => any_change().prop_map(Source::Raw),
        3 => vec(any_intent(), 1..=2).prop_map(Source::Planned),
        2 => any::<prop::sample::Index>().prop_map(Source::Released),
        1 => (any::<prop::sample::Index>(), prop_oneof![-20..=-1_i64, 1..=3_i64])
            .prop_map(|(index, distance)| Source::OtherRelease(index, distance)),
        2 => (any::<prop::sample::Index>(), rework)
            .prop_map(|(index, rework)| Source::Assigned(index, rework)),
    ]
}

fn any_sequence() -> impl Strategy<Value = Vec<Step>> {
    let revision_skew = prop_oneof![19 => Just(0_u64), 1 => 1..=2_u64];
    let lag = prop_oneof![6 => Just(0_u64), 1 => 1..=4_u64];
    let term_skew = prop_oneof![6 => Just(0_u64), 1 => 1..=2_u64];
    let step = (any_source(), lag, revision_skew, term_skew);
    let step = step.prop_map(|(source, base_lag, revision_skew, term_skew)| Step {
        source,
        base_lag,
        revision_skew,
        term_skew,
    });
    vec(step, 1..60)
}

fn change_of(state: &ClusterState, source: &Source) -> Change {
    let plan = format!("n1/{:x}", state.revision.0);
    let nothing = || confirm(&plan, Revision(0), vec![], vec![]);
    match source {
        Source::Raw(change) => change.clone(),
        Source::Planned(intents) => {
            let planned = planner::plan(state, &EngineFacts::default(), intents);
            let steps = planned.map_or(vec![], |planned| planned.steps);
            confirm(&plan, Revision(0), intents.clone(), steps)
        }
        Source::Released(index) => report_of(state, index, 0).unwrap_or_else(nothing),
        Source::OtherRelease(index, distance) => report_of(state, index, *distance).unwrap_or_else(nothing),
        Source::Assigned(index, rework) => {
            let present: Vec<&Assignment> = state.all_assignments().collect();
            if present.is_empty() {
                return nothing();
            }
            let chosen: &Assignment = present[index.index(present.len())];
            confirm(&plan, Revision(0), vec![], rework_steps(chosen, rework))
        }
    }
}

/// A report for one of the releasing replicas, whose revision lies so far from
/// that of the present release.
fn report_of(state: &ClusterState, index: &prop::sample::Index, distance: i64) -> Option<Change> {
    let by_engine = state.assignments.values().flat_map(|found| found.values());
    let releasing: Vec<&Versioned<Assignment>> = by_engine
        .filter(|found| found.value.state == AssignmentState::Releasing)
        .collect();
    if releasing.is_empty() {
        return None;
    }
    let chosen = releasing[index.index(releasing.len())];
    let release = Revision(chosen.changed_at.0.saturating_add_signed(distance));
    Some(released(
        chosen.value.model.as_str(),
        chosen.value.engine.as_str(),
        release,
    ))
}

fn rework_steps(assignment: &Assignment, rework: &Rework) -> Vec<PlacementStep> {
    let (model, engine) = (assignment.model.as_str(), assignment.engine.as_str());
    match rework {
        Rework::Release => vec![release(model, engine)],
        Rework::Residency(residency) => vec![assign(Assignment {
            residency: residency.clone(),
            ..assignment.clone()
        })],
        Rework::MoveTo(other) => vec![release(model, engine), assign(waiting(model, other, engine))],
    }
}

fn entry_of(state: &ClusterState, step: &Step) -> LogEntry {
    let mut change = change_of(state, &step.source);
    if let Change::ConfirmPlan { base, .. } = &mut change {
        *base = Revision(state.revision.0.saturating_sub(step.base_lag));
    }
    let electing = matches!(change, Change::ElectCoordinator { .. });
    let mut entry = entry(Revision(state.revision.next().0 + step.revision_skew), change);
    let present = state.coordinators[&CELL.into()].term.0;
    entry.term = Term(present + u64::from(electing) + step.term_skew);
    entry
}

/// What engines may hold, kept apart from the code under test: a replica may
/// be loaded from the moment its assignment is active until its release is
/// confirmed or its engine is gone. A release is confirmed by a report that
/// names the entry by which it began, and by nothing else.
#[derive(Default)]
struct Ledger {
    /// Releases that are not over, and the entries by which they began.
    releasing: BTreeMap<(ModelId, EngineId), Revision>,
    held: BTreeMap<(ModelId, EngineId), Residency>,
    memory_mib: BTreeMap<(ModelId, EngineId), u64>,
}

impl Ledger {
    /// Requires that a report was accepted exactly if it names a release under
    /// way, and that no other entry ended one.
    fn follow_releases(
        &mut self,
        state: &ClusterState,
        entry: &LogEntry,
        outcome: &Result<(), ApplyError>,
    ) -> Result<(), TestCaseError> {
        let mut ended = None;
        if let Change::Released {
            model,
            engine,
            release,
        } = &entry.change
        {
            let key = (model.clone(), engine.clone());
            let names_present = self.releasing.get(&key) == Some(release);
            let out_of_order = matches!(outcome, Err(ApplyError::OutOfOrder { .. }));
            prop_assert!(
                out_of_order || outcome.is_ok() == names_present,
                "{:?}: {:?}",
                entry,
                outcome
            );
            ended = outcome.is_ok().then_some(key);
        }
        let mut now = BTreeMap::new();
        for assignment in state.all_assignments() {
            if assignment.state == AssignmentState::Releasing {
                let key = (assignment.model.clone(), assignment.engine.clone());
                let began = self.releasing.get(&key).copied();
                now.insert(key, began.unwrap_or(entry.revision));
            }
        }
        for key in self.releasing.keys() {
            let engine_is_gone = !state.engines.contains_key(&key.1);
            prop_assert!(
                now.contains_key(key) != (engine_is_gone || ended.as_ref() == Some(key)),
                "release of {:?} after {:?}",
                key,
                entry
            );
        }
        self.releasing = now;
        Ok(())
    }

    /// Compares the state with the ledger and takes over what changed.
    fn follow(&mut self, state: &ClusterState) -> Result<(), TestCaseError> {
        let mut now = BTreeMap::new();
        for assignment in state.all_assignments() {
            if !matches!(assignment.state, AssignmentState::WaitingFor { .. }) {
                let key = (assignment.model.clone(), assignment.engine.clone());
                now.insert(key, assignment.clone());
            }
        }
        for (key, assignment) in &now {
            if !self.held.contains_key(key) {
                self.require_room_for_new(state, &key.0, &now)?;
            }
            let known = self.memory_mib.contains_key(key);
            if assignment.state == AssignmentState::Active || !known {
                let memory = state.models[&key.0].value.memory_mib_per_accelerator;
                self.memory_mib.insert(key.clone(), memory);
            }
        }
        self.memory_mib.retain(|key, _| now.contains_key(key));
        self.held = now
            .into_iter()
            .map(|(key, found)| (key, found.residency))
            .collect();
        self.require_memory(state)
    }

    fn require_room_for_new(
        &self,
        state: &ClusterState,
        model: &ModelId,
        now: &BTreeMap<(ModelId, EngineId), Assignment>,
    ) -> Result<(), TestCaseError> {
        let replicas = now.keys().filter(|(held, _)| held == model).count();
        let most = state.models[model].value.max_replicas as usize;
        prop_assert!(
            replicas <= most,
            "model {model} got a replica beyond its {most}: {replicas}"
        );
        Ok(())
    }

    fn require_memory(&self, state: &ClusterState) -> Result<(), TestCaseError> {
        let mut used: BTreeMap<(EngineId, u32), u64> = BTreeMap::new();
        for (key, residency) in &self.held {
            if let Residency::Resident { accelerators } = residency {
                for accelerator in accelerators {
                    *used.entry((key.1.clone(), *accelerator)).or_default() += self.memory_mib[key];
                }
            }
        }
        for ((engine, accelerator), memory) in used {
            let capacity = state.engines[&engine].value.accelerator_memory_mib[accelerator as usize];
            prop_assert!(
                memory <= capacity,
                "engine {engine} accelerator {accelerator}: {memory} MiB"
            );
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(config(400))]

    #[test]
    fn invariants_hold_and_rejected_entries_change_nothing(steps in any_sequence()) {
        let mut state = small_cluster(3);
        let mut ledger = Ledger::default();
        for step in steps {
            let entry = entry_of(&state, &step);
            let before = state.clone();
            let outcome = state.apply(&entry);
            match &outcome {
                Ok(()) => prop_assert_eq!(state.revision, entry.revision),
                Err(ApplyError::OutOfOrder { .. }) => prop_assert_eq!(&state, &before),
                Err(_) => {
                    let mut expected = before.clone();
                    expected.revision = entry.revision;
                    prop_assert_eq!(&state, &expected);
                }
            }
            prop_assert_eq!(state.check(), Ok(()), "after {:?}: {:?}", entry, outcome);
            ledger.follow_releases(&state, &entry, &outcome)?;
            ledger.follow(&state)?;
        }
    }

    #[test]
    fn every_node_comes_to_the_same_state(steps in any_sequence()) {
        let mut first = small_cluster(3);
        let mut second = ClusterState::deserialize_bin(&first.serialize_bin()).expect("a snapshot is read");
        for step in steps {
            let entry = entry_of(&first, &step);
            let outcomes = (first.apply(&entry), second.apply(&entry));
            prop_assert_eq!(&outcomes.0, &outcomes.1);
            second = ClusterState::deserialize_bin(&second.serialize_bin()).expect("a snapshot is read");
            prop_assert_eq!(&first, &second);
        }
    }

    #[test]
    fn of_two_plans_for_one_object_exactly_one_wins(
        steps in any_sequence(),
        (first, second) in any_rivals(),
    ) {
        let mut state = small_cluster(3);
        for step in steps {
            let entry = entry_of(&state, &step);
            let _ = state.apply(&entry);
        }
        let base = state.revision;
        let first = confirm("n1/aaaa", base, vec![first], vec![]);
        let second = confirm("n2/bbbb", base, vec![second], vec![]);
        prop_assume!(state.after(&entry(base.next(), first.clone())).is_ok());

        prop_assert_eq!(apply(&mut state, first), Ok(()));
        let outcome = apply(&mut state, second);
        prop_assert!(matches!(outcome, Err(ApplyError::Stale { .. })), "{:?}", outcome);
    }
}
