//! The rules by which entries of the revision log are accepted and applied.

mod cluster_support;

use cluster_support::*;
use croftrill_state::cluster::{ApplyError, REMEMBERED_DELETIONS};
use croftrill_state::entry::Intent;
use croftrill_state::placement::{AssignmentState, Lifecycle};
use croftrill_state::Revision;

#[test]
fn a_stale_plan_does_not_resurrect_a_deleted_object() {
    let mut state = small_cluster(1);
    apply_plan(&mut state, vec![Intent::PutGroup(group("g", 1))], vec![]).unwrap();
    let base = state.revision;
    apply_plan(&mut state, vec![Intent::DeleteGroup("g".into())], vec![]).unwrap();

    let stale = confirm("n2/1", base, vec![Intent::PutGroup(group("g", 9))], vec![]);
    let outcome = apply(&mut state, stale);

    assert!(
        matches!(outcome, Err(ApplyError::Stale { .. })),
        "outcome {outcome:?}"
    );
    assert!(!state.groups.contains_key(&"g".into()));
}

#[test]
fn a_stale_plan_does_not_place_a_model_whose_placement_was_released() {
    let mut state = small_cluster(2);
    let put = Intent::PutModel(model("m", 0, 1));
    apply_plan(&mut state, vec![put], vec![assign(on_demand("m", "e1"))]).unwrap();
    apply_plan(&mut state, vec![], vec![release("m", "e1")]).unwrap();
    let base = state.revision;
    apply_released(&mut state, "m", "e1").unwrap();

    let stale = confirm("n2/1", base, vec![], vec![assign(on_demand("m", "e2"))]);
    let outcome = apply(&mut state, stale);

    assert!(
        matches!(outcome, Err(ApplyError::Stale { .. })),
        "outcome {outcome:?}"
    );
}

#[test]
fn forgotten_deletions_make_old_plans_stale() {
    let mut state = small_cluster(1);
    apply_plan(&mut state, vec![Intent::PutGroup(group("first", 1))], vec![]).unwrap();
    let base = state.revision;
    apply_plan(&mut state, vec![Intent::DeleteGroup("first".into())], vec![]).unwrap();
    for number in 0..=REMEMBERED_DELETIONS {
        let id = format!("g{number}");
        apply_plan(&mut state, vec![Intent::PutGroup(group(&id, 1))], vec![]).unwrap();
        apply_plan(&mut state, vec![Intent::DeleteGroup(id.as_str().into())], vec![]).unwrap();
    }
    assert_eq!(state.tombstones.len(), REMEMBERED_DELETIONS);

    let stale = confirm("n2/1", base, vec![Intent::PutGroup(group("first", 9))], vec![]);
    let outcome = apply(&mut state, stale);

    assert!(
        matches!(outcome, Err(ApplyError::Stale { .. })),
        "outcome {outcome:?}"
    );
}

#[test]
fn a_plan_is_confirmed_once() {
    let mut state = small_cluster(1);
    let plan = confirm(
        "n1/1",
        state.revision,
        vec![Intent::PutGroup(group("g", 1))],
        vec![],
    );
    apply(&mut state, plan.clone()).unwrap();
    let first = state.revision;
    let second = apply(&mut state, plan);
    assert_eq!(
        second,
        Err(ApplyError::AlreadyConfirmed {
            plan: "n1/1".into(),
            at: first
        })
    );
}

#[test]
fn a_deleted_model_is_not_served_but_kept_until_released() {
    let mut state = small_cluster(2);
    let put = Intent::PutModel(model("m", 0, 1));
    apply_plan(&mut state, vec![put], vec![assign(resident("m", "e1", &[0]))]).unwrap();
    let delete = Intent::DeleteModel("m".into());
    assert!(apply_plan(&mut state, vec![delete.clone()], vec![]).is_err());

    apply_plan(&mut state, vec![delete], vec![release("m", "e1")]).unwrap();
    assert_eq!(state.resolve("m"), None);
    assert!(state.is_retiring(&"m".into()));
    let engine = state.engines[&"e1".into()].value.clone();
    assert_eq!(
        state.free_beside_residents(&engine).unwrap()[0],
        ACCELERATOR_MIB - 30_000
    );

    apply_released(&mut state, "m", "e1").unwrap();
    assert!(state.models.is_empty());
    assert!(!state.is_retiring(&"m".into()));
    assert_eq!(state.free_beside_residents(&engine).unwrap()[0], ACCELERATOR_MIB);
}

#[test]
fn a_model_can_be_created_again_while_its_old_replica_is_released() {
    let mut state = small_cluster(2);
    let put = Intent::PutModel(model("m", 0, 1));
    apply_plan(&mut state, vec![put.clone()], vec![assign(on_demand("m", "e1"))]).unwrap();
    apply_plan(
        &mut state,
        vec![Intent::DeleteModel("m".into())],
        vec![release("m", "e1")],
    )
    .unwrap();

    let active = vec![assign(on_demand("m", "e2"))];
    assert!(apply_plan(&mut state, vec![put.clone()], active).is_err());
    apply_plan(&mut state, vec![put], vec![assign(waiting("m", "e2", "e1"))]).unwrap();
    apply_released(&mut state, "m", "e1").unwrap();

    let replica = state.assignment(&"m".into(), &"e2".into()).unwrap();
    assert_eq!(replica.state, AssignmentState::Active);
}

#[test]
fn a_releasing_replica_holds_the_memory_it_was_loaded_with() {
    let mut state = small_cluster(1);
    let put = Intent::PutModel(model("m", 0, 1));
    apply_plan(&mut state, vec![put], vec![assign(resident("m", "e1", &[0]))]).unwrap();
    let mut grown = model("m", 0, 1);
    grown.memory_mib_per_accelerator = 2 * ACCELERATOR_MIB;
    let grow = Intent::PutModel(grown);

    assert!(apply_plan(&mut state, vec![grow.clone()], vec![]).is_err());
    apply_plan(&mut state, vec![grow], vec![release("m", "e1")]).unwrap();

    assert_eq!(state.releasing_memory(&"m".into(), &"e1".into()), 30_000);
    assert_eq!(state.check(), Ok(()));
}

#[test]
fn lowering_the_most_replicas_lets_the_surplus_drain() {
    let mut state = small_cluster(4);
    let put = |most| vec![Intent::PutModel(model("m", 0, most))];
    let three = ["e1", "e2", "e3"].map(|engine| assign(on_demand("m", engine)));
    apply_plan(&mut state, put(3), three.to_vec()).unwrap();

    assert!(apply_plan(&mut state, put(1), vec![release("m", "e1")]).is_err());
    apply_plan(&mut state, put(1), vec![release("m", "e1"), release("m", "e2")]).unwrap();
    assert_eq!(state.decided_replicas(&"m".into()), 3);

    let swap = vec![release("m", "e3"), assign(on_demand("m", "e4"))];
    assert!(
        apply_plan(&mut state, vec![], swap).is_err(),
        "a fourth replica at once"
    );
}

#[test]
fn replicas_that_wait_become_active_one_for_each_release() {
    let mut state = small_cluster(4);
    let put = vec![Intent::PutModel(model("m", 0, 2))];
    let two = ["e1", "e2"].map(|engine| assign(on_demand("m", engine)));
    apply_plan(&mut state, put, two.to_vec()).unwrap();
    let both_wait_for_one = vec![
        release("m", "e1"),
        release("m", "e2"),
        assign(waiting("m", "e3", "e1")),
        assign(waiting("m", "e4", "e1")),
    ];
    apply_plan(&mut state, vec![], both_wait_for_one).unwrap();

    apply_released(&mut state, "m", "e1").unwrap();
    assert_eq!(state.decided_replicas(&"m".into()), 2);
    apply_released(&mut state, "m", "e2").unwrap();

    let active = state
        .assignments_of_model(&"m".into())
        .filter(|a| a.state == AssignmentState::Active);
    assert_eq!(active.count(), 2);
}

#[test]
fn the_machine_list_does_not_undo_a_drain() {
    let mut state = small_cluster(1);
    let drains = vec![Intent::DrainEngine("e1".into()), Intent::DrainNode("n1".into())];
    apply_plan(&mut state, drains, vec![]).unwrap();
    let drained_at = state.revision;

    let listed = reconcile(vec![node("n1", "z1")], vec![engine("e1", "z1", 2)]);
    apply(&mut state, listed).unwrap();

    assert_eq!(state.engines[&"e1".into()].value.lifecycle, Lifecycle::Leaving);
    assert_eq!(state.nodes[&"n1".into()].value.lifecycle, Lifecycle::Leaving);
    assert_eq!(state.engines[&"e1".into()].changed_at, drained_at);
}

#[test]
fn a_releasing_replica_is_not_assigned_again_before_it_is_released() {
    let mut state = small_cluster(1);
    let put = Intent::PutModel(model("m", 0, 1));
    apply_plan(&mut state, vec![put], vec![assign(resident("m", "e1", &[0]))]).unwrap();
    apply_plan(&mut state, vec![], vec![release("m", "e1")]).unwrap();
    let again = vec![assign(on_demand("m", "e1"))];
    assert!(apply_plan(&mut state, vec![], again.clone()).is_err());
    apply_released(&mut state, "m", "e1").unwrap();
    apply_plan(&mut state, vec![], again).unwrap();
}

#[test]
fn a_report_of_the_first_release_does_not_end_the_second() {
    let mut state = small_cluster(1);
    let put = Intent::PutModel(model("m", 0, 1));
    apply_plan(&mut state, vec![put], vec![assign(on_demand("m", "e1"))]).unwrap();
    apply_plan(&mut state, vec![], vec![release("m", "e1")]).unwrap();
    let first = present_release(&state, "m", "e1");
    apply(&mut state, first.clone()).unwrap();
    apply_plan(&mut state, vec![], vec![assign(on_demand("m", "e1"))]).unwrap();
    apply_plan(&mut state, vec![], vec![release("m", "e1")]).unwrap();

    let outcome = apply(&mut state, first);

    assert!(
        matches!(outcome, Err(ApplyError::Invalid(_))),
        "outcome {outcome:?}"
    );
    let second = state.assignment(&"m".into(), &"e1".into());
    assert_eq!(
        second.map(|found| &found.state),
        Some(&AssignmentState::Releasing)
    );
    apply_released(&mut state, "m", "e1").unwrap();
    assert_eq!(state.all_assignments().count(), 0);
}

#[test]
fn only_the_revision_of_the_release_names_it() {
    let mut state = small_cluster(1);
    let put = Intent::PutModel(model("m", 0, 1));
    apply_plan(&mut state, vec![put], vec![assign(on_demand("m", "e1"))]).unwrap();
    let assigned_at = state.revision;
    assert_eq!(state.release_revision(&"m".into(), &"e1".into()), None);
    assert!(apply(&mut state, released("m", "e1", assigned_at)).is_err());
    apply_plan(&mut state, vec![], vec![release("m", "e1")]).unwrap();
    let released_at = state.revision;
    // A second step to release it begins no second release.
    apply_plan(&mut state, vec![], vec![release("m", "e1")]).unwrap();
    assert_eq!(
        state.release_revision(&"m".into(), &"e1".into()),
        Some(released_at)
    );
    for wrong in [
        Revision(0),
        assigned_at,
        released_at.next(),
        state.revision.next(),
    ] {
        assert!(apply(&mut state, released("m", "e1", wrong)).is_err());
    }
    apply(&mut state, released("m", "e1", released_at)).unwrap();
    assert_eq!(state.release_revision(&"m".into(), &"e1".into()), None);
    assert!(apply(&mut state, released("m", "e1", released_at)).is_err());
}
