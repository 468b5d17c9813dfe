//! Requests that are served.

mod support;

use croftrill_gateway::GatewayConfig;
use croftrill_protocol::attempt::AttemptRequest;
use croftrill_state::configuration::PriorityClass;
use croftrill_state::GroupId;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde_json::{json, Value};
use support::owner::{answer_text, Script, ScriptedOwner, ANSWER_TOKENS};
use support::{completion, post, TestGateway, GROUP, MODEL};
use tokio::net::TcpStream;

#[tokio::test]
async fn a_completion_is_answered_whole() {
    let owner = ScriptedOwner::start([]).await;
    let gateway = TestGateway::start(&[&owner.address]).await;
    let answer = gateway.complete(false, &[]).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.headers.contains_key("x-request-id"));
    let document = answer.json();
    assert_eq!(document["object"], "text_completion");
    assert_eq!(document["model"], MODEL);
    assert_eq!(document["choices"][0]["text"], answer_text());
    assert_eq!(document["choices"][0]["finish_reason"], "stop");
    assert_eq!(document["usage"]["completion_tokens"], ANSWER_TOKENS);
    assert_eq!(document["usage"]["prompt_tokens"], 3);
}

#[tokio::test]
async fn a_streamed_completion_ends_with_done() {
    let owner = ScriptedOwner::start([]).await;
    let gateway = TestGateway::start(&[&owner.address]).await;
    let answer = gateway.complete(true, &[]).await;
    assert_eq!(answer.headers["content-type"], "text/event-stream");
    assert_eq!(answer.text(), answer_text());
    let events = answer.events();
    assert_eq!(events.last(), Some(&"[DONE]"));
    let last: Value = serde_json::from_str(events[events.len() - 2]).unwrap();
    assert_eq!(last["choices"][0]["finish_reason"], "stop");
    assert!(gateway
        .metrics()
        .contains("gateway_requests_total{outcome=\"served\",cause=\"\"} 1"));
}

#[tokio::test]
async fn a_chat_is_rendered_and_answered_in_its_own_format() {
    let owner = ScriptedOwner::start([]).await;
    let gateway = TestGateway::start(&[&owner.address]).await;
    let messages = json!([
        {"role": "system", "content": "Be brief."},
        {"role": "user", "content": [{"type": "text", "text": "Where?"}]},
    ]);
    let whole = json!({"model": MODEL, "messages": messages});
    let answer = gateway
        .call(post("/v1/chat/completions", whole.to_string(), &[]))
        .await;
    let document = answer.json();
    assert_eq!(document["object"], "chat.completion");
    assert_eq!(document["choices"][0]["message"]["content"], answer_text());
    let prompt = &owner.seen()[0].generation.prompt;
    assert_eq!(prompt, "system: Be brief.\nuser: Where?\nassistant: ");

    let streamed = json!({"model": MODEL, "messages": messages, "stream": true});
    let answer = gateway
        .call(post("/v1/chat/completions", streamed.to_string(), &[]))
        .await;
    let chunks = answer.events().into_iter().filter(|event| *event != "[DONE]");
    let text: String = chunks
        .map(|event| serde_json::from_str::<Value>(event).unwrap())
        .filter_map(|chunk| {
            chunk["choices"][0]["delta"]["content"]
                .as_str()
                .map(str::to_string)
        })
        .collect();
    assert_eq!(text, answer_text());
}

#[tokio::test]
async fn models_and_adapters_are_listed() {
    let gateway = TestGateway::start(&[]).await;
    let request = Request::get("/v1/models").header("host", "gateway");
    let answer = gateway.call(request.body(Full::new(Bytes::new())).unwrap()).await;
    assert_eq!(answer.json()["data"][0]["id"], MODEL);
}

async fn seen_attempt(headers: &[(&str, &str)]) -> AttemptRequest {
    let owner = ScriptedOwner::start([]).await;
    let gateway = TestGateway::start(&[&owner.address]).await;
    let answer = gateway.complete(false, headers).await;
    assert_eq!(answer.status, StatusCode::OK);
    owner.seen().remove(0)
}

#[tokio::test]
async fn headers_reach_the_owner() {
    let attempt = seen_attempt(&[
        ("x-croftrill-priority", "batch"),
        ("x-croftrill-deadline-ms", "5000"),
        ("x-croftrill-total-deadline-ms", "20000"),
        ("idempotency-key", "alert-17"),
    ])
    .await;
    assert_eq!(attempt.group, GroupId::from(GROUP));
    assert_eq!(attempt.priority, PriorityClass::Batch);
    assert!((1..5000).contains(&attempt.first_token_deadline_millis));
    assert!((5000..20000).contains(&attempt.total_deadline_millis));
    assert_eq!(attempt.unrepeatable.unwrap().as_str(), "alert-17");
}

/// A key is remembered for at least the longest deadline, so nothing may run
/// for longer.
#[tokio::test]
async fn no_deadline_is_longer_than_the_longest_also_if_the_caller_names_none() {
    let owner = ScriptedOwner::start([]).await;
    let config = GatewayConfig {
        longest_deadline_millis: 30_000,
        ..GatewayConfig::default()
    };
    let gateway = TestGateway::start_with(&[&owner.address], config, Vec::new()).await;
    let long = [("x-croftrill-total-deadline-ms", "90000")];
    for headers in [&[][..], &long] {
        let answer = gateway.complete(false, headers).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    for attempt in owner.seen() {
        assert!(attempt.total_deadline_millis <= 30_000);
        assert!(attempt.first_token_deadline_millis <= 30_000);
    }
}

#[tokio::test]
async fn a_class_above_the_group_s_own_is_lowered_to_it() {
    let attempt = seen_attempt(&[("x-croftrill-priority", "critical")]).await;
    assert_eq!(attempt.priority, PriorityClass::Interactive);
}

#[tokio::test]
async fn unrepeatable_without_a_key_gets_one() {
    let first = seen_attempt(&[("x-croftrill-unrepeatable", "true")]).await;
    let second = seen_attempt(&[("x-croftrill-unrepeatable", "true")]).await;
    assert!(first.unrepeatable.is_some());
    assert_ne!(first.unrepeatable, second.unrepeatable);
    let repeatable = seen_attempt(&[]).await;
    assert_eq!(repeatable.unrepeatable, None);
}

#[tokio::test]
async fn a_default_group_serves_callers_that_name_none() {
    let owner = ScriptedOwner::start([]).await;
    let config = GatewayConfig {
        default_group: Some(GroupId::from(GROUP)),
        ..GatewayConfig::default()
    };
    let gateway = TestGateway::start_with(&[&owner.address], config, Vec::new()).await;
    let answer = gateway.complete(false, &[("x-croftrill-group", "")]).await;
    assert_eq!(answer.status, StatusCode::OK);
}

#[tokio::test]
async fn a_caller_that_hangs_up_cancels_its_attempt() {
    for stream in [true, false] {
        let owner = ScriptedOwner::start([Script::HangAt(2)]).await;
        let mut gateway = TestGateway::start(&[&owner.address]).await;
        let key = [("idempotency-key", "k")];
        if stream {
            let response = gateway.send(completion(true, &key)).await;
            let mut body = response.into_body();
            body.frame().await.unwrap().unwrap();
            drop(body);
        } else {
            let call = gateway.call(completion(false, &key));
            tokio::select! {
                _ = call => panic!("the answer is never whole"),
                () = async { while owner.seen().is_empty() { tokio::task::yield_now().await } } => {}
            }
        }
        owner.cancelled().await;
        let (_, result) = gateway.finished_claims.recv().await.unwrap();
        assert_eq!(result, croftrill_protocol::peer::ClaimResult::Unknown);
    }
}

#[tokio::test]
async fn shutdown_finishes_answers_that_run() {
    let owner = ScriptedOwner::start([]).await;
    let gateway = TestGateway::start(&[&owner.address]).await;
    let response = gateway.send(completion(true, &[])).await;
    gateway.shutdown.cancel();
    let answer = support::Answer::read(response).await;
    assert_eq!(answer.text(), answer_text());
    gateway.task.await.unwrap();
}

#[tokio::test]
async fn callers_may_speak_http_2() {
    let owner = ScriptedOwner::start([]).await;
    let gateway = TestGateway::start(&[&owner.address]).await;
    let stream = TcpStream::connect(&gateway.address).await.unwrap();
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.unwrap();
    tokio::spawn(connection);
    let mut request = completion(true, &[]);
    request.headers_mut().remove("host");
    *request.uri_mut() = "http://gateway/v1/completions".parse().unwrap();
    let response = sender.send_request(request).await.unwrap();
    let answer = support::Answer::read(response).await;
    assert_eq!(answer.text(), answer_text());
}

#[tokio::test]
async fn a_request_that_names_no_deadline_gets_the_one_of_its_class() {
    for (class, millis) in [("interactive", 15_000), ("standard", 60_000), ("batch", 600_000)] {
        let attempt = seen_attempt(&[("x-croftrill-priority", class)]).await;
        let expected = millis / 2..millis;
        let told = attempt.first_token_deadline_millis;
        assert!(expected.contains(&told), "{class}: {told}");
    }
}
