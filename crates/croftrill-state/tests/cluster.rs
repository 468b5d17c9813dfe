//! The rules by which entries of the revision log are accepted and applied.

mod cluster_support;

use cluster_support::*;
use croftrill_state::cluster::ApplyError;
use croftrill_state::entry::Intent;

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
    apply(&mut state, released("m", "e1")).unwrap();

    let stale = confirm("n2/1", base, vec![], vec![assign(on_demand("m", "e2"))]);
    let outcome = apply(&mut state, stale);

    assert!(
        matches!(outcome, Err(ApplyError::Stale { .. })),
        "outcome {outcome:?}"
    );
}
