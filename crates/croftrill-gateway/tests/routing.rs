//! The choice of an engine.

use croftrill_gateway::load_table::{LoadTable, LOADED_BELIEF_MILLIS};
use croftrill_gateway::routing::{order, Candidate};
use croftrill_protocol::attempt::QueueLoad;
use croftrill_state::{EngineId, FencingToken, Instant, ModelId, NodeId};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::BTreeSet;

const NOW: Instant = Instant(100_000);

fn engines(count: usize) -> Vec<Candidate> {
    (0..count)
        .map(|index| Candidate {
            engine: EngineId::new(format!("engine-{index}")),
            owner: NodeId::new(format!("node-{index}")),
            attempt_address: String::new(),
            fencing_token: FencingToken(1),
        })
        .collect()
}

fn model() -> ModelId {
    ModelId::from("model")
}

fn engine(index: usize) -> EngineId {
    EngineId::new(format!("engine-{index}"))
}

fn wait(millis: u32) -> QueueLoad {
    QueueLoad {
        estimated_wait_millis: millis,
        ..QueueLoad::default()
    }
}

/// The first choices of many requests.
fn first_choices(candidates: &[Candidate], loads: &LoadTable, now: Instant) -> BTreeSet<EngineId> {
    let mut random = SmallRng::seed_from_u64(1);
    (0..100)
        .map(|_| {
            order(candidates.to_vec(), &model(), loads, now, &mut random)
                .remove(0)
                .engine
        })
        .collect()
}

#[test]
fn gateways_that_know_nothing_meet_at_one_engine() {
    let mut candidates = engines(8);
    let loads = LoadTable::default();
    let choices = first_choices(&candidates, &loads, NOW);
    assert_eq!(choices.len(), 1);
    candidates.reverse();
    assert_eq!(first_choices(&candidates, &loads, NOW), choices);
    candidates.retain(|candidate| choices.contains(&candidate.engine) || candidate.engine == engine(0));
    assert_eq!(
        first_choices(&candidates, &loads, NOW),
        choices,
        "losing others moves nothing"
    );
}

#[test]
fn a_loaded_replica_goes_before_a_cold_one() {
    let candidates = engines(8);
    let mut loads = LoadTable::default();
    let cold_choice = first_choices(&candidates, &loads, NOW);
    let loaded = (0..8)
        .map(engine)
        .find(|engine| !cold_choice.contains(engine))
        .unwrap();
    loads.record_loaded(&model(), &loaded, NOW);
    let expected = BTreeSet::from([loaded.clone()]);
    assert_eq!(first_choices(&candidates, &loads, NOW), expected);
    let later = NOW + LOADED_BELIEF_MILLIS;
    assert_eq!(
        first_choices(&candidates, &loads, later),
        cold_choice,
        "old knowledge is not believed"
    );
    loads.forget_loaded(&model(), &loaded);
    assert_eq!(first_choices(&candidates, &loads, NOW), cold_choice);
}

#[test]
fn of_two_loaded_replicas_the_shorter_wait_wins() {
    let candidates = engines(2);
    let mut loads = LoadTable::default();
    for index in 0..2 {
        loads.record_loaded(&model(), &engine(index), NOW);
    }
    loads.record_load(&engine(0), wait(500), NOW);
    loads.record_load(&engine(1), wait(200), NOW);
    assert_eq!(
        first_choices(&candidates, &loads, NOW),
        BTreeSet::from([engine(1)])
    );
    let drained = NOW + 600;
    let both = BTreeSet::from([engine(0), engine(1)]);
    assert_eq!(
        first_choices(&candidates, &loads, drained),
        both,
        "an old wait has passed"
    );
    loads.attempt_started(&engine(1));
    assert_eq!(
        first_choices(&candidates, &loads, drained),
        BTreeSet::from([engine(0)])
    );
    loads.attempt_ended(&engine(1));
    assert_eq!(first_choices(&candidates, &loads, drained), both);
}

#[test]
fn the_longest_wait_of_many_is_never_the_first_choice() {
    let candidates = engines(5);
    let mut loads = LoadTable::default();
    for index in 0..5 {
        loads.record_loaded(&model(), &engine(index), NOW);
        loads.record_load(&engine(index), wait(100 * index as u32), NOW);
    }
    let choices = first_choices(&candidates, &loads, NOW);
    assert!(!choices.contains(&engine(4)));
    assert!(choices.len() > 1, "not all gateways crowd at the best one");
}

#[test]
fn every_candidate_is_tried_once() {
    let candidates = engines(6);
    let mut loads = LoadTable::default();
    loads.record_loaded(&model(), &engine(2), NOW);
    loads.record_loaded(&model(), &engine(3), NOW);
    let mut random = SmallRng::seed_from_u64(2);
    let ordered = order(candidates.clone(), &model(), &loads, NOW, &mut random);
    let all: BTreeSet<EngineId> = ordered.iter().map(|candidate| candidate.engine.clone()).collect();
    assert_eq!(ordered.len(), candidates.len());
    assert_eq!(all.len(), candidates.len());
}

#[test]
fn engines_that_are_gone_are_forgotten() {
    let mut loads = LoadTable::default();
    loads.record_load(&engine(0), wait(500), NOW);
    loads.record_loaded(&model(), &engine(0), NOW);
    loads.retain_engines(|_| false);
    assert!(!loads.is_known_loaded(&model(), &engine(0), NOW));
    assert_eq!(loads.expected_wait(&engine(0), NOW).millis, 0);
}
