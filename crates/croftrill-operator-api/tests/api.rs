//! The intent API, asked in one process.

mod support;

use croftrill_protocol::operator::{ApiError, ConfirmOutcome, ModelListing, Plan, PlanAction, Status};
use croftrill_state::configuration::Group;
use croftrill_state::Revision;
use http::{Method, StatusCode};
use std::time::Duration;
use support::*;

async fn make_plan(api: &croftrill_operator_api::OperatorApi, body: &str) -> Plan {
    let answer = call(api, Method::POST, "/v1/plans", body).await;
    assert_eq!(answer.status, StatusCode::CREATED, "{answer:?}");
    answer.read()
}

fn path(plan: &Plan, more: &str) -> String {
    format!("/v1/plans/{}{more}", plan.id.as_str().replace('/', "%2F"))
}

async fn confirm(api: &croftrill_operator_api::OperatorApi, plan: &Plan) -> (StatusCode, ConfirmOutcome) {
    let answer = call(api, Method::POST, &path(plan, "/confirm"), "").await;
    (answer.status, answer.read())
}

#[tokio::test]
async fn a_plan_changes_nothing_until_it_is_confirmed() {
    let cluster = Cluster::new();
    let before = cluster.revision();
    let plan = make_plan(&cluster.first, &model_body("m", 1, 2)).await;
    assert_eq!(cluster.revision(), before);
    assert!(matches!(
        plan.actions[..],
        [PlanAction::Load { .. }, PlanAction::Allow { .. }]
    ));

    let shown = call(&cluster.first, Method::GET, &path(&plan, ""), "").await;
    assert_eq!(shown.read::<Plan>(), plan);

    let (status, outcome) = confirm(&cluster.first, &plan).await;
    assert_eq!(status, StatusCode::OK);
    let revision = Revision(before + 1);
    assert_eq!(outcome, ConfirmOutcome::Confirmed { revision });

    let listed = call(&cluster.first, Method::GET, "/v1/models/configured", "").await;
    let listed: Vec<ModelListing> = listed.read();
    assert_eq!(listed.len(), 1);
    assert_eq!(listed[0].assignments.len(), 2);
    assert!(!listed[0].retiring);
}

#[tokio::test]
async fn confirming_twice_and_through_two_nodes_takes_effect_once() {
    let cluster = Cluster::new();
    let plan = make_plan(&cluster.first, &group_body("g", 1)).await;
    let (_, through_other) = confirm(&cluster.second, &plan).await;
    let (_, again) = confirm(&cluster.first, &plan).await;
    let (_, third) = confirm(&cluster.second, &plan).await;

    assert!(matches!(through_other, ConfirmOutcome::Confirmed { .. }));
    assert_eq!(again, through_other);
    assert_eq!(third, through_other);
    assert_eq!(*cluster.log.written.lock().unwrap(), 1);
}

#[tokio::test]
async fn a_plan_survives_its_maker_once_another_node_fetched_it() {
    let cluster = Cluster::new();
    let plan = make_plan(&cluster.first, &group_body("g", 1)).await;
    call(&cluster.second, Method::GET, &path(&plan, ""), "").await;
    cluster.peers.apis.lock().unwrap().clear();

    let (status, _) = confirm(&cluster.second, &plan).await;
    assert_eq!(status, StatusCode::OK);
}

#[tokio::test]
async fn a_plan_of_a_node_that_is_gone_cannot_be_confirmed_now() {
    let cluster = Cluster::new();
    let plan = make_plan(&cluster.first, &group_body("g", 1)).await;
    cluster.peers.apis.lock().unwrap().clear();

    let (status, outcome) = confirm(&cluster.second, &plan).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    let ConfirmOutcome::Unavailable { reason, .. } = outcome else {
        panic!("unexpected outcome: {outcome:?}");
    };
    assert!(reason.contains("node n1"), "{reason}");
}

#[tokio::test]
async fn of_two_rival_plans_one_wins_and_the_other_is_told_why() {
    let cluster = Cluster::new();
    let first = make_plan(&cluster.first, &group_body("g", 1)).await;
    let second = make_plan(&cluster.second, &group_body("g", 2)).await;
    let (won, _) = confirm(&cluster.first, &first).await;
    let (lost, outcome) = confirm(&cluster.second, &second).await;

    assert_eq!((won, lost), (StatusCode::OK, StatusCode::CONFLICT));
    let ConfirmOutcome::Stale {
        reason,
        fresh: Some(fresh),
    } = outcome
    else {
        panic!("unexpected outcome: {outcome:?}");
    };
    assert!(reason.starts_with("group g changed at revision"), "{reason}");
    assert_eq!(fresh.base.0, cluster.revision());
    assert_eq!(*cluster.log.written.lock().unwrap(), 1);

    let (status, _) = confirm(&cluster.second, &fresh).await;
    assert_eq!(status, StatusCode::OK);
    let groups: Vec<Group> = call(&cluster.first, Method::GET, "/v1/groups", "").await.read();
    assert_eq!(groups[0].share_weight, 2);
}

#[tokio::test]
async fn a_stale_plan_whose_intent_is_void_has_no_fresh_one() {
    let cluster = Cluster::new();
    let create = make_plan(&cluster.first, &group_body("g", 1)).await;
    confirm(&cluster.first, &create).await;
    let delete = r#"{"intents":[{"intent":"delete_group","value":"g"}]}"#;
    let first = make_plan(&cluster.first, delete).await;
    let second = make_plan(&cluster.second, delete).await;
    confirm(&cluster.first, &first).await;
    let (_, outcome) = confirm(&cluster.second, &second).await;

    let ConfirmOutcome::Stale { reason, fresh: None } = outcome else {
        panic!("unexpected outcome: {outcome:?}");
    };
    assert!(reason.contains("group g: does not exist"), "{reason}");
}

#[tokio::test]
async fn an_outage_is_told_and_changes_nothing() {
    let cluster = Cluster::new();
    let plan = make_plan(&cluster.first, &group_body("g", 1)).await;
    cluster.log.set(Mode::Down);
    let before = cluster.revision();
    let answer = call(&cluster.first, Method::POST, &path(&plan, "/confirm"), "").await;

    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.headers["retry-after"], "2");
    let ConfirmOutcome::Unavailable { reason, .. } = answer.read() else {
        panic!("unexpected answer: {answer:?}");
    };
    assert!(reason.contains("nothing was changed"), "{reason}");
    assert_eq!(cluster.revision(), before);
    let status: Status = call(&cluster.first, Method::GET, "/v1/status", "").await.read();
    assert!(!status.key_value_reachable);

    cluster.log.set(Mode::Works);
    let (status, _) = confirm(&cluster.first, &plan).await;
    assert_eq!(status, StatusCode::OK);
}

#[tokio::test]
async fn a_lost_answer_is_resolved_by_confirming_again() {
    let cluster = Cluster::new();
    let plan = make_plan(&cluster.first, &group_body("g", 1)).await;
    cluster.log.set(Mode::LosesAnswers);
    let (status, outcome) = confirm(&cluster.first, &plan).await;
    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(outcome, ConfirmOutcome::OutcomeUnknown);

    cluster.log.set(Mode::Works);
    let (status, _) = confirm(&cluster.first, &plan).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(*cluster.log.written.lock().unwrap(), 1);
}

#[tokio::test]
async fn every_finding_of_the_intents_is_answered() {
    let cluster = Cluster::new();
    let body = r#"{"intents":[
        {"intent":"put_group","value":{"id":"g","share_weight":0,"highest_priority":"batch"}},
        {"intent":"delete_adapter","value":"none"}]}"#;
    let answer = call(&cluster.first, Method::POST, "/v1/plans", body).await;
    assert_eq!(answer.status, StatusCode::UNPROCESSABLE_ENTITY);
    let error: ApiError = answer.read();
    assert_eq!(
        error.findings,
        [
            "group g: share_weight is 0; it must be at least 1",
            "adapter none: does not exist"
        ]
    );
}

#[tokio::test]
async fn bad_requests_are_refused_with_the_usual_codes() {
    let cluster = Cluster::with(|config| config.max_body_bytes = 100);
    let long = "x".repeat(101);
    let cases = [
        (Method::POST, "/v1/plans", "{", StatusCode::BAD_REQUEST),
        (
            Method::POST,
            "/v1/plans",
            r#"{"intents":[]}"#,
            StatusCode::UNPROCESSABLE_ENTITY,
        ),
        (
            Method::POST,
            "/v1/plans",
            long.as_str(),
            StatusCode::PAYLOAD_TOO_LARGE,
        ),
        (Method::GET, "/v1/plans", "", StatusCode::METHOD_NOT_ALLOWED),
        (Method::GET, "/v1/plans/n1%2Fff", "", StatusCode::NOT_FOUND),
        (
            Method::POST,
            "/v1/plans/n1%2Fff/confirm",
            "",
            StatusCode::NOT_FOUND,
        ),
        (Method::GET, "/v1/plans/nonsense", "", StatusCode::NOT_FOUND),
        (Method::GET, "/v1/plans/%FF%2Fff", "", StatusCode::NOT_FOUND),
        (Method::GET, "/elsewhere", "", StatusCode::NOT_FOUND),
    ];
    for (method, path, body, expected) in cases {
        let answer = call(&cluster.first, method.clone(), path, body).await;
        assert_eq!(answer.status, expected, "{method} {path}: {answer:?}");
        assert!(answer.json().is_object());
    }
    assert_eq!(*cluster.log.written.lock().unwrap(), 0);
}

#[tokio::test]
async fn the_oldest_plan_makes_room() {
    let cluster = Cluster::with(|config| config.max_plans = 2);
    let first = make_plan(&cluster.first, &group_body("a", 1)).await;
    let second = make_plan(&cluster.first, &group_body("b", 1)).await;
    let third = make_plan(&cluster.first, &group_body("c", 1)).await;

    let (status, outcome) = confirm(&cluster.first, &first).await;
    assert_eq!(
        (status, outcome),
        (StatusCode::NOT_FOUND, ConfirmOutcome::Unknown)
    );
    for plan in [second, third] {
        assert_eq!(confirm(&cluster.first, &plan).await.0, StatusCode::OK);
    }
}

#[tokio::test(start_paused = true)]
async fn a_plan_expires_but_a_confirmed_one_is_remembered() {
    let cluster = Cluster::with(|config| config.plan_lifetime = Duration::from_secs(60));
    let confirmed = make_plan(&cluster.first, &group_body("a", 1)).await;
    let expiring = make_plan(&cluster.first, &group_body("b", 1)).await;
    let (_, outcome) = confirm(&cluster.first, &confirmed).await;
    tokio::time::advance(Duration::from_secs(61)).await;

    assert_eq!(
        confirm(&cluster.first, &expiring).await.1,
        ConfirmOutcome::Unknown
    );
    assert_eq!(confirm(&cluster.first, &confirmed).await.1, outcome);
}

#[tokio::test]
async fn status_lists_nodes_engines_and_their_models() {
    let cluster = Cluster::new();
    let plan = make_plan(&cluster.first, &model_body("m", 0, 3)).await;
    confirm(&cluster.first, &plan).await;
    let status: Status = call(&cluster.second, Method::GET, "/v1/status", "").await.read();

    assert_eq!(status.node, "n2");
    assert_eq!(status.coordinator.as_deref(), Some("n1"));
    assert_eq!(status.nodes.len(), 2);
    assert_eq!(status.engines.len(), 3);
    assert!(status.engines.iter().all(|engine| engine.models == ["m".into()]));
}
