//! At most one grant of a key within the window, under arbitrary changes of the
//! ring, crashes, pauses, partitions, lost and late messages.

mod claims_simulation;

use claims_simulation::World;
use croftrill_state::claims::ClaimResult;
use proptest::prelude::*;
use std::collections::BTreeSet;

const NODES: usize = 5;
const KEYS: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    Claim(usize, usize, bool),
    ClaimAgain(usize, usize, bool),
    Finish(usize, ClaimResult, bool),
    ChangeRing(usize, BTreeSet<usize>),
    Apply(BTreeSet<usize>),
    HandOver(usize, usize, bool, bool),
    HandOverAll,
    Replay(u8, usize),
    Crash(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Partition(Vec<u8>),
    Heal,
    Wait(u64),
}

fn result() -> impl Strategy<Value = ClaimResult> {
    prop_oneof![
        Just(ClaimResult::Finished),
        Just(ClaimResult::NotRun),
        Just(ClaimResult::Unknown),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    let lost = || prop::bool::weighted(0.2);
    prop_oneof![
        20 => (0..KEYS, 0usize..3, lost()).prop_map(|(key, behind, lost)| Step::Claim(key, behind, lost)),
        4 => (any::<usize>(), 0usize..3, lost()).prop_map(|(r, behind, lost)| Step::ClaimAgain(r, behind, lost)),
        6 => (any::<usize>(), result(), lost()).prop_map(|(r, result, lost)| Step::Finish(r, result, lost)),
        5 => (node.clone(), prop::collection::btree_set(0..NODES, 1..NODES))
            .prop_map(|(author, nodes)| Step::ChangeRing(author, nodes)),
        8 => prop::collection::btree_set(0..NODES, 1..NODES).prop_map(Step::Apply),
        2 => Just(Step::Apply((0..NODES).collect())),
        4 => (node.clone(), node.clone(), lost(), lost())
            .prop_map(|(from, to, part, reply)| Step::HandOver(from, to, part, reply)),
        5 => Just(Step::HandOverAll),
        3 => (any::<u8>(), any::<usize>()).prop_map(|(kind, index)| Step::Replay(kind, index)),
        2 => node.clone().prop_map(Step::Crash),
        3 => node.clone().prop_map(Step::Restart),
        2 => node.clone().prop_map(Step::Pause),
        3 => node.prop_map(Step::Resume),
        1 => prop::collection::vec(0u8..2, NODES).prop_map(Step::Partition),
        2 => Just(Step::Heal),
        8 => prop_oneof![3 => 10u64..100, 2 => 100u64..500, 2 => 500u64..1_500].prop_map(Step::Wait),
    ]
}

fn perform(world: &mut World, step: Step) {
    match step {
        Step::Claim(key, behind, lost) => world.claim_new(key, behind, lost),
        Step::ClaimAgain(request, behind, lost) => world.claim_again(request, behind, lost),
        Step::Finish(request, result, lost) => world.finish(request, result, lost),
        Step::ChangeRing(author, nodes) => world.change_ring(author, nodes),
        Step::Apply(nodes) => nodes.into_iter().for_each(|node| world.apply_next(node)),
        Step::HandOver(from, to, part_lost, reply_lost) => world.hand_over(from, to, part_lost, reply_lost),
        Step::HandOverAll => hand_over_all(world),
        Step::Replay(kind, index) => world.replay(kind, index),
        Step::Crash(node) => world.crash(node),
        Step::Restart(node) => world.restart(node),
        Step::Pause(node) => world.pause(node),
        Step::Resume(node) => world.resume(node),
        Step::Partition(sides) => world.partition(&sides),
        Step::Heal => world.partition(&[0; NODES]),
        Step::Wait(millis) => world.wait(millis),
    }
}

fn hand_over_all(world: &mut World) {
    for _ in 0..3 {
        for from in 0..NODES {
            for to in 0..NODES {
                world.hand_over(from, to, false, false);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x636c_6169),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_key_is_granted_to_at_most_one_request_within_the_window(
        members in prop::collection::btree_set(0..NODES, 1..NODES),
        steps in prop::collection::vec(step(), 1..150),
    ) {
        let members: Vec<usize> = members.into_iter().collect();
        let mut world = World::new(NODES, &members);
        for step in steps {
            perform(&mut world, step);
            prop_assert!(world.violations.is_empty(), "{:?}", world.violations);
        }
    }
}

/// The property above is worth nothing if its worlds hardly grant anything.
#[test]
fn the_worlds_grant_keys_before_and_after_changes_of_the_ring() {
    let mut world = World::new(NODES, &[0, 1, 2]);
    for round in 0..20 {
        for key in 0..KEYS {
            world.claim_new(key, 0, false);
            world.finish(round * KEYS + key, ClaimResult::NotRun, false);
        }
        let nodes = (0..NODES).filter(|node| (node + round) % 3 != 0).collect();
        world.change_ring(round % NODES, nodes);
        (0..NODES).for_each(|node| world.apply_next(node));
        hand_over_all(&mut world);
        world.wait(100);
    }
    assert_eq!(world.violations, Vec::<String>::new());
    // Every holder hands over all that it knows, so no key is ever refused.
    assert_eq!(world.granted, 20 * KEYS);
    assert!(world.granted_after_change >= 19 * KEYS);
}

#[test]
fn a_holder_that_restarted_does_not_grant_again() {
    let mut world = World::new(NODES, &[0, 1, 2]);
    for number in 0..KEYS {
        world.claim_new(number, 0, false);
    }
    assert_eq!(world.granted, KEYS);
    for node in 0..NODES {
        world.crash(node);
        world.restart(node);
    }
    world.wait(50);
    for number in 0..KEYS {
        world.claim_new(number, 0, false);
    }
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.granted, KEYS);
}
