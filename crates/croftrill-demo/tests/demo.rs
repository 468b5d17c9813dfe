//! The demo as a new user meets it.

use bytes::Bytes;
use croftrill_demo::{DemoConfig, DemoSystem};
use croftrill_standin::expected_answer;
use croftrill_state::ModelId;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

#[tokio::test(flavor = "multi_thread")]
async fn printed_request_is_answered_whole() {
    let system = DemoSystem::start(DemoConfig::default())
        .await
        .expect("the demo starts");
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let body = r#"{"model":"bid-review","prompt":"Review the bid.","max_tokens":32}"#;
    let request = Request::post(format!("http://{}/v1/completions", system.callers()))
        .header("X-Croftrill-Group", "demo")
        .body(Full::new(Bytes::from(body)))
        .expect("the request is well formed");

    let response = client.request(request).await.expect("the gateway answers");

    assert_eq!(response.status(), 200);
    let bytes = response
        .into_body()
        .collect()
        .await
        .expect("the answer ends")
        .to_bytes();
    let text = String::from_utf8_lossy(&bytes);
    let expected = expected_answer(&ModelId::from("bid-review"), None, "Review the bid.", None, 32);
    assert!(text.contains(&expected), "{text}");
    system.stop().await;
}
