//! Requests that are refused before anything is dispatched.

mod support;

use croftrill_gateway::GatewayConfig;
use http::{Request, StatusCode};
use http_body_util::Full;
use hyper::body::Bytes;
use serde_json::json;
use support::owner::ScriptedOwner;
use support::{post, Answer, TestGateway, MODEL};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const MAX_BODY: usize = 4096;

async fn gateway() -> (TestGateway, ScriptedOwner) {
    let owner = ScriptedOwner::start([]).await;
    let config = GatewayConfig {
        max_body_bytes: MAX_BODY,
        most_tokens: 100,
        ..GatewayConfig::default()
    };
    let gateway = TestGateway::start_with(&[&owner.address], config, Vec::new()).await;
    (gateway, owner)
}

fn assert_refused(answer: &Answer, status: StatusCode, cause: &str) {
    assert_eq!(answer.status, status, "{}", answer.body);
    assert_eq!(answer.cause(), cause);
    assert_eq!(answer.execution(), "not_run");
    assert!(answer.headers.contains_key("x-request-id"));
    assert!(!answer.json()["error"]["message"].as_str().unwrap().is_empty());
    assert!(answer.json()["error"]["type"].is_string());
}

#[tokio::test]
async fn malformed_bodies() {
    let (gateway, owner) = gateway().await;
    let bodies = [
        "".to_string(),
        "{".to_string(),
        "[]".to_string(),
        "\u{0}".to_string(),
        json!({"prompt": "x"}).to_string(),
        json!({"model": MODEL}).to_string(),
        json!({"model": MODEL, "prompt": 3}).to_string(),
        json!({"model": MODEL, "prompt": ["a", "b"]}).to_string(),
        json!({"model": MODEL, "prompt": []}).to_string(),
        json!({"model": MODEL, "prompt": "x", "max_tokens": 0}).to_string(),
        json!({"model": MODEL, "prompt": "x", "max_tokens": 101}).to_string(),
        json!({"model": MODEL, "prompt": "x", "max_tokens": -1}).to_string(),
        json!({"model": MODEL, "prompt": "x", "temperature": 2.5}).to_string(),
        json!({"model": MODEL, "prompt": "x", "n": 2}).to_string(),
        json!({"model": MODEL, "prompt": "x", "stop": [""]}).to_string(),
        json!({"model": MODEL, "prompt": "x", "stream": "yes"}).to_string(),
    ];
    for body in bodies {
        let answer = gateway.call(post("/v1/completions", body, &[])).await;
        assert_refused(&answer, StatusCode::BAD_REQUEST, "invalid");
    }
    for body in [
        json!({"model": MODEL, "messages": []}),
        json!({"model": MODEL, "messages": [{"role": "user"}]}),
        json!({"model": MODEL, "messages": [{"role": "user", "content": [{"type": "image"}]}]}),
    ] {
        let answer = gateway
            .call(post("/v1/chat/completions", body.to_string(), &[]))
            .await;
        assert_refused(&answer, StatusCode::BAD_REQUEST, "invalid");
    }
    assert!(owner.seen().is_empty());
    assert_eq!(
        gateway.complete(false, &[]).await.status,
        StatusCode::OK,
        "it goes on"
    );
}

#[tokio::test]
async fn malformed_headers() {
    let (gateway, owner) = gateway().await;
    let long_key = "k".repeat(257);
    let headers = [
        ("x-croftrill-group", ""),
        ("x-croftrill-priority", "urgent"),
        ("x-croftrill-deadline-ms", "0"),
        ("x-croftrill-deadline-ms", "-5"),
        ("x-croftrill-deadline-ms", "soon"),
        ("x-croftrill-total-deadline-ms", "0"),
        ("x-croftrill-unrepeatable", "perhaps"),
        ("idempotency-key", &long_key),
        ("idempotency-key", "\u{e9}"),
    ];
    for header in headers {
        let answer = gateway.complete(false, &[header]).await;
        assert_refused(&answer, StatusCode::BAD_REQUEST, "invalid");
    }
    let twice = [("idempotency-key", "a"), ("idempotency-key", "b")];
    let answer = gateway.complete(false, &twice).await;
    assert_refused(&answer, StatusCode::BAD_REQUEST, "invalid");
    assert!(owner.seen().is_empty());
}

#[tokio::test]
async fn names_that_do_not_exist() {
    let (gateway, owner) = gateway().await;
    let body = json!({"model": "nothing", "prompt": "x"}).to_string();
    let answer = gateway.call(post("/v1/completions", body, &[])).await;
    assert_refused(&answer, StatusCode::NOT_FOUND, "unknown_model");
    let answer = gateway.complete(false, &[("x-croftrill-group", "nobody")]).await;
    assert_refused(&answer, StatusCode::FORBIDDEN, "unknown_group");
    assert!(owner.seen().is_empty());
}

#[tokio::test]
async fn paths_and_methods_that_do_not_exist() {
    let (gateway, _owner) = gateway().await;
    let answer = gateway.call(post("/v1/embeddings", "{}".to_string(), &[])).await;
    assert_refused(&answer, StatusCode::NOT_FOUND, "invalid");
    let request = Request::get("/v1/completions").header("host", "gateway");
    let answer = gateway.call(request.body(Full::new(Bytes::new())).unwrap()).await;
    assert_refused(&answer, StatusCode::METHOD_NOT_ALLOWED, "invalid");
}

#[tokio::test]
async fn a_body_that_says_it_is_too_large() {
    let (gateway, owner) = gateway().await;
    let body = json!({"model": MODEL, "prompt": "x".repeat(MAX_BODY)}).to_string();
    let answer = gateway.call(post("/v1/completions", body, &[])).await;
    assert_refused(&answer, StatusCode::PAYLOAD_TOO_LARGE, "invalid");
    assert!(owner.seen().is_empty());
}

#[tokio::test]
async fn a_body_that_turns_out_too_large() {
    let (gateway, owner) = gateway().await;
    let mut stream = TcpStream::connect(&gateway.address).await.unwrap();
    let head =
        "POST /v1/completions HTTP/1.1\r\nhost: g\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let chunk = format!("{:x}\r\n{}\r\n", MAX_BODY + 1, "x".repeat(MAX_BODY + 1));
    stream.write_all(chunk.as_bytes()).await.unwrap();
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).await.unwrap();
    assert_eq!(&answer, b"HTTP/1.1 413");
    assert!(owner.seen().is_empty());
}

/// A node that has just started knows no group and no model, and must not say
/// that there are none.
#[tokio::test]
async fn a_node_without_a_copy_of_the_log_asks_to_come_back() {
    let (gateway, _owner) = gateway().await;
    gateway.state.store(Default::default());
    let answer = gateway.complete(false, &[]).await;
    assert_refused(&answer, StatusCode::SERVICE_UNAVAILABLE, "no_replica");
    assert!(answer.headers.contains_key("retry-after"));
    let request = Request::get("/v1/models").header("host", "gateway");
    let listed = gateway.call(request.body(Full::default()).unwrap()).await;
    assert_eq!(listed.status, StatusCode::SERVICE_UNAVAILABLE, "{}", listed.body);
}
