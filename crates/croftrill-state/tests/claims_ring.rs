//! The ring of a cell follows the live nodes in the cluster state.

use croftrill_state::claims::{membership_revision, ClaimRing};
use croftrill_state::cluster::FORMER_MEMBERSHIPS;
use croftrill_state::entry::{Change, Intent, LogEntry};
use croftrill_state::placement::{Lifecycle, Node};
use croftrill_state::{CellId, ClusterState, EntryId, NodeId, PlanId, Revision, Term, ZoneId};

fn node(id: &str, cell: &str, lifecycle: Lifecycle) -> Node {
    Node {
        id: NodeId::from(id),
        zone: ZoneId::from("zone"),
        cell: CellId::from(cell),
        peer_address: "127.0.0.1:1".to_string(),
        attempt_address: "127.0.0.1:2".to_string(),
        lifecycle,
    }
}

fn append(state: &mut ClusterState, term: u64, change: Change) {
    let revision = state.revision.next();
    let entry = LogEntry {
        revision,
        entry_id: EntryId(revision.0),
        author: NodeId::from("a"),
        term: Term(term),
        change,
    };
    state.apply(&entry).expect("the entry is accepted");
}

fn reconcile(state: &mut ClusterState, put_nodes: Vec<Node>, remove_nodes: &[&str]) {
    let change = Change::Reconcile {
        cell: CellId::from("east"),
        put_nodes,
        remove_nodes: remove_nodes.iter().map(|id| NodeId::from(*id)).collect(),
        put_engines: Vec::new(),
        remove_engines: Vec::new(),
        steps: Vec::new(),
    };
    append(state, 1, change);
}

fn state() -> ClusterState {
    let mut state = ClusterState::default();
    let elect = Change::ElectCoordinator {
        cell: CellId::from("east"),
        node: NodeId::from("a"),
    };
    append(&mut state, 1, elect);
    state
}

fn ring(state: &ClusterState, cell: &str) -> (u64, u64, Vec<String>) {
    let ring = ClaimRing::of_cell(state, &CellId::from(cell));
    let nodes = ring.nodes.iter().map(|node| node.to_string()).collect();
    (ring.version, ring.revision.0, nodes)
}

fn names(nodes: &[&str]) -> Vec<String> {
    nodes.iter().map(|node| node.to_string()).collect()
}

#[test]
fn each_change_of_live_nodes_makes_one_ring() {
    let east = CellId::from("east");
    let mut state = state();
    assert_eq!(ring(&state, "east"), (0, 0, Vec::new()));
    let live = |id| node(id, "east", Lifecycle::Live);
    reconcile(&mut state, vec![live("a"), live("b"), live("c")], &[]);
    assert_eq!(ring(&state, "east"), (1, 2, names(&["a", "b", "c"])));
    // A node that changed otherwise is no change of the ring.
    let mut moved = live("b");
    moved.peer_address = "127.0.0.1:3".to_string();
    reconcile(&mut state, vec![moved], &[]);
    assert_eq!(ring(&state, "east"), (1, 2, names(&["a", "b", "c"])));
    reconcile(&mut state, vec![node("c", "east", Lifecycle::Leaving)], &[]);
    assert_eq!(ring(&state, "east"), (2, 4, names(&["a", "b"])));
    // It has left the ring before.
    reconcile(&mut state, Vec::new(), &["c"]);
    assert_eq!(ring(&state, "east"), (2, 4, names(&["a", "b"])));
    reconcile(&mut state, Vec::new(), &["b"]);
    assert_eq!(ring(&state, "east"), (3, 6, names(&["a"])));
    assert_eq!(membership_revision(&state, &east), Revision(6));
}

#[test]
fn a_drain_takes_a_node_out_of_the_ring() {
    let mut state = state();
    let live = |id| node(id, "east", Lifecycle::Live);
    reconcile(&mut state, vec![live("a"), live("b")], &[]);
    let drain = Change::ConfirmPlan {
        plan: PlanId::from("a/1"),
        base: Revision(2),
        intents: vec![Intent::DrainNode(NodeId::from("b"))],
        steps: Vec::new(),
    };
    append(&mut state, 0, drain);
    assert_eq!(ring(&state, "east"), (2, 3, names(&["a"])));
}

#[test]
fn a_node_that_changes_its_cell_changes_both_rings() {
    let mut state = state();
    let live = |id| node(id, "east", Lifecycle::Live);
    reconcile(&mut state, vec![live("a"), live("b")], &[]);
    reconcile(&mut state, vec![node("b", "west", Lifecycle::Live)], &[]);
    assert_eq!(ring(&state, "east"), (2, 3, names(&["a"])));
    assert_eq!(ring(&state, "west"), (1, 3, names(&["b"])));
}

#[test]
fn the_last_rings_are_remembered() {
    let mut state = state();
    for id in ["a", "b", "c", "d", "e", "f", "g"] {
        reconcile(&mut state, vec![node(id, "east", Lifecycle::Live)], &[]);
    }
    let ring = ClaimRing::of_cell(&state, &CellId::from("east"));
    let sizes: Vec<usize> = ring.former.iter().map(|former| former.nodes.len()).collect();
    let revisions: Vec<u64> = ring.former.iter().map(|former| former.revision.0).collect();
    assert_eq!(sizes, vec![3, 4, 5, 6]);
    assert_eq!(revisions, vec![4, 5, 6, 7]);
    assert_eq!(sizes.len(), FORMER_MEMBERSHIPS);
}
