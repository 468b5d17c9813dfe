//! Asks a node whether it is ready.

use super::{eventually, Process};
use bytes::Bytes;
use http_body_util::Empty;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

/// Waits until a node has a copy of the log. One that is listed as a machine
/// before cannot tell its own start from a restart, and then knows no key's
/// history for a whole window.
pub async fn wait_ready(node: &Process) {
    let address = node.address("operators");
    let uri: http::Uri = format!("http://{address}/readyz")
        .parse()
        .expect("a valid address");
    let client: Client<HttpConnector, Empty<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    eventually("the node has a copy of the log", || async {
        let answer = client.get(uri.clone()).await;
        answer.is_ok_and(|answer| answer.status().is_success())
    })
    .await;
}
