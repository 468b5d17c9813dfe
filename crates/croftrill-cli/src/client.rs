//! Client of a node's operator API.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use croftrill_node::connection::{ConnectionConfig, ConnectionPool};
use http::{Method, Request, Response};
use http_body_util::Full;

/// Maximum time to wait for a response.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends one request to a node; must run within a `LocalSet`.
pub async fn call(
    node: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> anyhow::Result<Response<Bytes>> {
    let pool = ConnectionPool::new(ConnectionConfig::default());
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", node.to_string())
        .body(Full::new(body))?;
    pool.exchange(node, request, CALL_TIMEOUT)
        .await
        .with_context(|| format!("node {node}"))
}
