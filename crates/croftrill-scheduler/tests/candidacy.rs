//! Tests which node becomes the orderer of a shard.

use croftrill_scheduler::candidacy::{should_hand_on, Candidacy, Candidate};
use croftrill_scheduler::shard::{OrderScope, Shard, SHARD_COUNT};

fn node(name: &str, processor_millicores: u32) -> Candidate<'_> {
    Candidate {
        name,
        processor_millicores,
    }
}

fn place(own: Candidate<'_>, shard: Shard, nodes: &[Candidate<'_>]) -> u32 {
    let candidacy = Candidacy {
        shard,
        own,
        terms_held: 0,
        last_orderer: None,
    };
    candidacy.place_in_line(nodes.iter().copied())
}

/// Guards against weak orderers: a node with an eighth of a core held two shards, had no
/// processor time left, and applied a configuration more than 3 s late.
#[test]
fn place_in_line_puts_processor_time_first() {
    let nodes = [node("weak-1", 120), node("strong", 500), node("weak-2", 120)];
    for shard in Shard::all() {
        assert_eq!(place(nodes[1], shard, &nodes), 1);
        assert!(place(nodes[0], shard, &nodes) > 1);
    }
}

#[test]
fn should_hand_on_only_to_a_node_with_much_more_processor_time() {
    let others = [node("weak", 120), node("strong", 500)];
    assert!(should_hand_on(node("own", 120), others.into_iter()));
    assert!(!should_hand_on(node("own", 300), others.into_iter()));
    assert!(!should_hand_on(node("own", 120), others.into_iter().take(1)));
    assert!(!should_hand_on(node("own", 0), std::iter::empty()));
}

#[test]
fn place_in_line_differs_between_nodes_and_shards() {
    let names: Vec<String> = (0..40).map(|index| format!("n{index}")).collect();
    let nodes: Vec<Candidate<'_>> = names.iter().map(|name| node(name, 250)).collect();
    let first = |shard| nodes.iter().position(|own| place(*own, shard, &nodes) == 1);
    let firsts: Vec<Option<usize>> = Shard::all().map(first).collect();
    assert!(firsts.iter().all(Option::is_some));
    assert!(firsts.iter().any(|other| other != &firsts[0]), "{firsts:?}");
}

#[test]
fn place_in_line_holder_lets_others_pass_and_last_orderer_goes_at_once() {
    let nodes = [node("a", 250), node("b", 250)];
    let shard = Shard::from_index(0).expect("a shard");
    let mut candidacy = Candidacy {
        shard,
        own: nodes[0],
        terms_held: 0,
        last_orderer: Some("a"),
    };
    assert_eq!(candidacy.place_in_line(nodes.iter().copied()), 0);
    candidacy.terms_held = 1;
    assert!(candidacy.place_in_line(nodes.iter().copied()) > 2);
}

#[test]
fn has_turn_goes_from_the_home_shard_to_the_next() {
    let home = "r1".into();
    let patience = std::time::Duration::from_millis(400);
    let home_shard = Shard::of_replica("r1").index();
    for shard in Shard::all() {
        let steps = (shard.index() + SHARD_COUNT - home_shard) % SHARD_COUNT;
        let scope = OrderScope::One(shard);
        let due = patience * steps as u32;
        assert!(scope.has_turn(Some(&home), due, patience));
        if steps > 0 {
            let early = due - std::time::Duration::from_millis(1);
            assert!(!scope.has_turn(Some(&home), early, patience));
        }
    }
    let zero = std::time::Duration::ZERO;
    assert!(OrderScope::Everything.has_turn(Some(&home), zero, patience));
}
