//! Attempts that fail: what is retried, resumed or refused.

mod support;

use croftrill_gateway::{ClaimDecision, GatewayConfig};
use croftrill_protocol::peer::ClaimResult;
use croftrill_state::outcome::{Refusal, RefusalCause};
use croftrill_state::placement::Lifecycle;
use croftrill_state::retry_budget::RetryBudgetConfig;
use croftrill_state::{ClusterState, EngineId, NodeId};
use http::StatusCode;
use std::sync::Arc;
use std::time::Duration;
use support::owner::{answer_text, Script, ScriptedOwner};
use support::{granted, Answer, TestGateway};
use tokio::net::TcpListener;

const KEY: [(&str, &str); 1] = [("idempotency-key", "alert-17")];

async fn unused_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap().to_string()
}

/// The answer of a gateway whose only owner follows the scripts, and the number
/// of attempts that the owner saw.
async fn answer_of(scripts: &[Script], stream: bool, headers: &[(&str, &str)]) -> (Answer, usize) {
    let owner = ScriptedOwner::start(scripts.to_vec()).await;
    let gateway = TestGateway::start(&[&owner.address]).await;
    let answer = gateway.complete(stream, headers).await;
    (answer, owner.seen().len())
}

#[tokio::test]
async fn a_broken_stream_resumes_and_gives_each_token_once() {
    for stream in [true, false] {
        let scripts = [Script::BreakAt(3), Script::BreakAtOnce, Script::BreakAt(7)];
        let owner = ScriptedOwner::start(scripts).await;
        let gateway = TestGateway::start(&[&owner.address]).await;
        let answer = gateway.complete(stream, &[]).await;
        assert_eq!(answer.text(), answer_text());
        let resumed_at = owner
            .seen()
            .into_iter()
            .map(|attempt| attempt.resume.map_or(0, |resume| resume.tokens));
        assert_eq!(resumed_at.collect::<Vec<_>>(), [0, 3, 3, 7]);
    }
}

#[tokio::test]
async fn doubled_late_and_crossed_events_change_nothing() {
    for stream in [true, false] {
        let scripts = [Script::BreakAt(2), Script::ServeDisordered];
        let (answer, attempts) = answer_of(&scripts, stream, &[]).await;
        assert_eq!(answer.text(), answer_text());
        assert_eq!(attempts, 2);
    }
}

#[tokio::test]
async fn damaged_streams_are_resumed() {
    let (answer, attempts) = answer_of(&[Script::Gap, Script::ShortEnd], true, &[]).await;
    assert_eq!(answer.text(), answer_text());
    assert_eq!(attempts, 3);
}

#[tokio::test]
async fn what_did_not_run_goes_to_the_next_owner() {
    for cause in [
        RefusalCause::QueueFull,
        RefusalCause::NotOwner,
        RefusalCause::LoadTooSlow,
    ] {
        for headers in [&[][..], &KEY[..]] {
            let refusing = ScriptedOwner::start(vec![Script::not_run(cause); 2]).await;
            let serving = ScriptedOwner::start([]).await;
            let gateway = TestGateway::start(&[&refusing.address, &serving.address]).await;
            for _ in 0..2 {
                let answer = gateway.complete(false, headers).await;
                assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
            }
            assert_eq!(serving.seen().len(), 2);
        }
    }
}

#[tokio::test]
async fn an_owner_that_cannot_be_reached_is_passed_over() {
    let serving = ScriptedOwner::start([]).await;
    let unreachable = unused_address().await;
    let gateway = TestGateway::start(&[&unreachable, &serving.address]).await;
    for headers in [&[][..], &KEY[..]] {
        let answer = gateway.complete(false, headers).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
    }
}

#[tokio::test]
async fn a_full_queue_without_another_engine_is_refused_at_once() {
    let (answer, attempts) = answer_of(&[Script::not_run(RefusalCause::QueueFull)], true, &[]).await;
    assert_eq!(answer.status, StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(answer.headers["retry-after"], "3");
    assert_eq!(answer.cause(), "queue_full");
    assert_eq!(answer.execution(), "not_run");
    assert_eq!(answer.json()["error"]["retry_after_ms"], 2500);
    assert_eq!(attempts, 1);
}

/// An engine that restarts refuses for a while; that costs it nothing.
#[tokio::test]
async fn what_did_not_run_does_not_count_against_the_limit_of_attempts() {
    let mut scripts = vec![Script::BreakAt(3)];
    scripts.extend(vec![Script::not_run(RefusalCause::EngineFailed); 4]);
    let owner = ScriptedOwner::start(scripts).await;
    let config = GatewayConfig {
        most_attempts: 2,
        ..GatewayConfig::default()
    };
    let gateway = TestGateway::start_with(&[&owner.address], config, Vec::new()).await;
    let answer = gateway.complete(true, &[]).await;
    assert_eq!(answer.text(), answer_text());
    assert_eq!(owner.seen().len(), 6);
}

#[tokio::test]
async fn an_owner_that_stays_away_is_given_up_truthfully() {
    let unreachable = unused_address().await;
    let config = GatewayConfig {
        most_attempts: 4,
        ..GatewayConfig::default()
    };
    let gateway = TestGateway::start_with(&[&unreachable], config, Vec::new()).await;
    let answer = gateway.complete(true, &KEY).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(answer.cause(), "owner_unreachable");
    assert_eq!(answer.execution(), "not_run");
}

#[tokio::test]
async fn without_an_active_engine_the_refusal_is_immediate() {
    let owner = ScriptedOwner::start([]).await;
    let gateway = TestGateway::start(&[&owner.address]).await;
    let mut state = ClusterState::clone(&gateway.state.load());
    let node = state.nodes.get_mut(&NodeId::from("node-0")).unwrap();
    node.value.lifecycle = Lifecycle::Leaving;
    gateway.state.store(Arc::new(state));
    let answer = gateway.complete(false, &[]).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.cause(), "no_replica");
    assert_eq!(answer.execution(), "not_run");
    assert!(owner.seen().is_empty());
}

#[tokio::test]
async fn an_unrepeatable_request_is_not_dispatched_again_once_it_may_have_run() {
    let scripts = [
        Script::BreakAtOnce,
        Script::BreakAt(0),
        Script::BreakAt(3),
        Script::Gap,
        Script::may_have_run(RefusalCause::EngineFailed),
        Script::may_have_run(RefusalCause::NotOwner),
    ];
    for script in scripts {
        for stream in [true, false] {
            let owner = ScriptedOwner::start([script.clone()]).await;
            let other = ScriptedOwner::start([script.clone()]).await;
            let mut gateway = TestGateway::start(&[&owner.address, &other.address]).await;
            let answer = gateway.complete(stream, &KEY).await;
            assert_eq!(owner.seen().len() + other.seen().len(), 1, "{script:?}");
            if answer.status == StatusCode::OK {
                assert_eq!(answer.last_error()["execution"], "may_have_run");
            } else {
                assert_eq!(answer.execution(), "may_have_run");
                assert!(answer.headers.contains_key("retry-after"));
            }
            let (key, result) = gateway.finished_claims.recv().await.unwrap();
            assert_eq!(key.as_str(), "alert-17");
            assert_eq!(result, ClaimResult::Unknown);
        }
    }
}

#[tokio::test]
async fn an_unrepeatable_request_that_the_engine_refused_may_be_tried_again() {
    let refusal = Refusal::not_run(RefusalCause::EngineFailed, 100);
    let (answer, attempts) = answer_of(&[Script::RefuseAfterStart(refusal)], false, &KEY).await;
    assert_eq!(answer.text(), answer_text());
    assert_eq!(attempts, 2);
}

#[tokio::test]
async fn a_stream_that_cannot_go_on_ends_with_an_error_and_without_done() {
    let scripts = [Script::BreakAt(4), Script::not_run(RefusalCause::QueueFull)];
    let (answer, _) = answer_of(&scripts, true, &[]).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert!(!answer.body.contains("[DONE]"));
    assert_eq!(answer.last_error()["cause"], "queue_full");
    assert_eq!(answer.last_error()["execution"], "may_have_run");
}

fn without_retries() -> GatewayConfig {
    GatewayConfig {
        retry_budget: RetryBudgetConfig {
            retries_per_thousand_successes: 0,
            floor_per_second: 0,
            most_saved: 0,
        },
        ..GatewayConfig::default()
    }
}

#[tokio::test]
async fn a_refusal_that_nothing_follows_costs_no_retry() {
    let owner = ScriptedOwner::start([Script::not_run(RefusalCause::QueueFull)]).await;
    let gateway = TestGateway::start_with(&[&owner.address], without_retries(), Vec::new()).await;
    let answer = gateway.complete(false, &[]).await;
    assert_eq!(answer.cause(), "queue_full");
}

/// The engine has no owner for a while after its owner failed.
#[tokio::test]
async fn a_broken_stream_waits_for_the_engine_s_next_owner() {
    let mut scripts = vec![Script::BreakAt(4)];
    scripts.resize(10, Script::not_run(RefusalCause::NotOwner));
    let failing = ScriptedOwner::start(scripts).await;
    let next = ScriptedOwner::start([]).await;
    let gateway = TestGateway::start(&[&failing.address]).await;
    let response = gateway.send(support::completion(true, &[])).await;
    let mut state = ClusterState::clone(&gateway.state.load());
    let engine = state.engines.get_mut(&EngineId::from("engine-0")).unwrap();
    engine.value.owner = None;
    state.revision = state.revision.next();
    gateway.state.store(Arc::new(state.clone()));
    let node = state.nodes.get_mut(&NodeId::from("node-0")).unwrap();
    node.value.attempt_address = next.address.clone();
    let engine = state.engines.get_mut(&EngineId::from("engine-0")).unwrap();
    engine.value.owner = Some(NodeId::from("node-0"));
    tokio::time::sleep(Duration::from_millis(300)).await;
    gateway.state.store(Arc::new(state));
    let answer = Answer::read(response).await;
    assert_eq!(answer.text(), answer_text());
    assert_eq!(next.seen().len(), 1);
}

#[tokio::test]
async fn retries_stop_when_the_budget_is_used_up() {
    let owner = ScriptedOwner::start(vec![Script::BreakAtOnce; 3]).await;
    let gateway = TestGateway::start_with(&[&owner.address], without_retries(), Vec::new()).await;
    let answer = gateway.complete(false, &[]).await;
    assert_eq!(answer.cause(), "retry_budget_exhausted");
    assert_eq!(answer.execution(), "may_have_run");
    assert_eq!(owner.seen().len(), 1);
}

#[tokio::test]
async fn attempts_for_one_request_are_bounded() {
    let config = GatewayConfig {
        most_attempts: 3,
        ..GatewayConfig::default()
    };
    let owner = ScriptedOwner::start(vec![Script::BreakAtOnce; 10]).await;
    let gateway = TestGateway::start_with(&[&owner.address], config, Vec::new()).await;
    let answer = gateway.complete(false, &[]).await;
    assert_eq!(answer.cause(), "owner_unreachable");
    assert_eq!(owner.seen().len(), 3);
}

#[tokio::test]
async fn the_first_token_s_deadline_cancels_a_silent_attempt() {
    let owner = ScriptedOwner::start([Script::HangAt(0)]).await;
    let mut gateway = TestGateway::start(&[&owner.address]).await;
    let headers = [KEY[0], ("x-croftrill-deadline-ms", "100")];
    let answer = gateway.complete(true, &headers).await;
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(answer.cause(), "deadline_expired");
    assert_eq!(answer.execution(), "may_have_run");
    owner.cancelled().await;
    let (_, result) = gateway.finished_claims.recv().await.unwrap();
    assert_eq!(result, ClaimResult::Unknown);
}

#[tokio::test]
async fn the_total_deadline_ends_a_stream_with_an_error() {
    let owner = ScriptedOwner::start([Script::HangAt(5)]).await;
    let gateway = TestGateway::start(&[&owner.address]).await;
    let headers = [("x-croftrill-total-deadline-ms", "300")];
    let answer = gateway.complete(true, &headers).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert!(!answer.body.contains("[DONE]"));
    assert_eq!(answer.last_error()["cause"], "deadline_expired");
    assert_eq!(answer.last_error()["execution"], "may_have_run");
    owner.cancelled().await;
}

/// The answer and the claim's end, if one was told, for one claim decision.
async fn with_decision(
    decision: ClaimDecision,
    scripts: &[Script],
    headers: &[(&str, &str)],
) -> (Answer, usize, Option<ClaimResult>) {
    let owner = ScriptedOwner::start(scripts.to_vec()).await;
    let config = GatewayConfig::default();
    let mut gateway = TestGateway::start_with(&[&owner.address], config, vec![decision]).await;
    let answer = gateway.complete(false, headers).await;
    gateway.shutdown.cancel();
    gateway.task.await.unwrap();
    let finished = gateway.finished_claims.try_recv().ok();
    (answer, owner.seen().len(), finished.map(|(_, result)| result))
}

#[tokio::test]
async fn a_claim_is_finished_as_the_request_ended() {
    let (answer, _, result) = with_decision(granted(), &[], &KEY).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(result, Some(ClaimResult::Finished));
    let refusing = [Script::not_run(RefusalCause::QueueFull)];
    let (answer, _, result) = with_decision(granted(), &refusing, &KEY).await;
    assert_eq!(answer.execution(), "not_run");
    assert_eq!(result, Some(ClaimResult::NotRun));
}

#[tokio::test]
async fn without_a_granted_claim_nothing_is_dispatched() {
    let decisions = [
        (ClaimDecision::Taken { finished: true }, "duplicate_key"),
        (ClaimDecision::Taken { finished: false }, "duplicate_key"),
        (
            ClaimDecision::HistoryUnknown {
                retry_after_millis: 60_000,
            },
            "key_history_unknown",
        ),
        (
            ClaimDecision::Unavailable {
                retry_after_millis: 60_000,
            },
            "key_history_unknown",
        ),
    ];
    for (decision, cause) in decisions {
        let (answer, attempts, _) = with_decision(decision, &[], &KEY).await;
        assert_eq!(attempts, 0);
        assert_eq!(answer.cause(), cause);
        assert_eq!(
            answer.execution(),
            "may_have_run",
            "an earlier request may have run"
        );
    }
}

/// Nobody else can know a key that the gateway made, so no holder is asked.
#[tokio::test]
async fn a_key_that_the_gateway_made_needs_no_claim() {
    let refusing = ClaimDecision::HistoryUnknown {
        retry_after_millis: 60_000,
    };
    let own_key = [("x-croftrill-unrepeatable", "true")];
    let (answer, attempts, result) = with_decision(refusing, &[], &own_key).await;
    assert!(answer.status.is_success());
    assert_eq!(attempts, 1);
    assert_eq!(result, None, "no claim was asked for");
}

/// A gateway that was paused after its grant: meanwhile the key may have become
/// free for others.
#[tokio::test]
async fn a_grant_that_is_too_old_dispatches_nothing() {
    let old = ClaimDecision::Granted {
        dispatch_before: tokio::time::Instant::now(),
    };
    let (answer, attempts, result) = with_decision(old, &[], &KEY).await;
    assert_eq!(attempts, 0);
    assert_eq!(answer.cause(), "key_history_unknown");
    assert_eq!(answer.execution(), "may_have_run", "a later request may have run");
    assert_eq!(result, Some(ClaimResult::Unknown));
}

#[tokio::test]
async fn a_claim_whose_answer_is_unknown_is_given_back() {
    let decision = ClaimDecision::Unavailable {
        retry_after_millis: 1500,
    };
    let (answer, _, result) = with_decision(decision, &[], &KEY).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.headers["retry-after"], "2");
    assert_eq!(result, Some(ClaimResult::NotRun));
    let (_, _, result) = with_decision(ClaimDecision::Taken { finished: false }, &[], &KEY).await;
    assert_eq!(result, None, "another request's claim is left alone");
}
