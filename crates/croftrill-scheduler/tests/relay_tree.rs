//! Tests that in a large fleet a few strong nodes of each zone relay to the others.

use croftrill_scheduler::relay_tree::{place, TreeNode, TreePlace};
use proptest::prelude::*;

const ZONES: [&str; 3] = ["a", "b", "c"];

fn names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("n{index}")).collect()
}

/// Creates a node in one of three zones; every tenth node is strong.
fn node<'a>(index: usize, name: &'a str, orderers: &[usize]) -> TreeNode<'a> {
    TreeNode {
        name,
        zone: ZONES[index % ZONES.len()],
        processor_millicores: if index % 10 == 0 { 500 } else { 120 },
        is_orderer: orderers.contains(&index),
    }
}

fn fleet<'a>(names: &'a [String], orderers: &[usize]) -> Vec<TreeNode<'a>> {
    let nodes = names.iter().enumerate();
    nodes.map(|(index, name)| node(index, name, orderers)).collect()
}

fn places<'a>(nodes: &[TreeNode<'a>]) -> Vec<TreePlace<'a>> {
    nodes
        .iter()
        .map(|own| place(*own, nodes.iter().copied()))
        .collect()
}

#[test]
fn place_in_a_small_fleet_is_direct() {
    let names = names(32);
    let nodes = fleet(&names, &[]);
    assert!(places(&nodes).iter().all(|place| *place == TreePlace::Direct));
}

#[test]
fn place_of_an_orderer_is_direct() {
    let names = names(90);
    let nodes = fleet(&names, &[10]);
    assert_eq!(places(&nodes)[10], TreePlace::Direct);
}

#[test]
fn place_of_an_unknown_node_counts_it_in_its_zone() {
    let names = names(90);
    let nodes = fleet(&names, &[]);
    let newcomer = TreeNode {
        name: "newcomer",
        zone: "a",
        processor_millicores: 120,
        is_orderer: false,
    };
    assert!(matches!(
        place(newcomer, nodes.iter().copied()),
        TreePlace::Below(_)
    ));
}

proptest! {
    /// Every follower follows relays of its own zone that have the role of a relay by their
    /// own computation, so no two nodes follow each other. No relay has far more followers
    /// than its share of the zone.
    #[test]
    fn place_below_names_relays_of_the_zone(count in 33usize..400, orderers in prop::collection::vec(0usize..400, 0..4)) {
        let names = names(count);
        let nodes = fleet(&names, &orderers);
        let places = places(&nodes);
        let relay_of = |name: &str| nodes.iter().position(|node| node.name == name).expect("a node");
        let mut followers = vec![0usize; count];
        for (own, place) in nodes.iter().zip(&places) {
            let TreePlace::Below(relays) = place else { continue };
            prop_assert!(relays.len() >= 2);
            for name in relays {
                let index = relay_of(name);
                prop_assert_eq!(nodes[index].zone, own.zone);
                prop_assert_eq!(&places[index], &TreePlace::Relay);
            }
            followers[relay_of(relays[0])] += 1;
        }
        prop_assert!(followers.iter().all(|followers| *followers <= 48));
    }
}
