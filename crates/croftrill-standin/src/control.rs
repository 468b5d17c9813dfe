//! A client of the control paths, for tests that run stand-ins as processes.

use anyhow::{ensure, Result};
use bytes::Bytes;
use http::{header, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Path of the faults of each stand-in but the machine list and the proxy.
pub const FAULTS_PATH: &str = "/control/faults";
/// Path of the ledger of each stand-in but the machine list and the proxy.
pub const LEDGER_PATH: &str = "/control/ledger";
/// Path of the counts of calls of the key-value service.
pub const CALLS_PATH: &str = "/control/calls";
/// Path of the changes of the machine list.
pub const MACHINES_PATH: &str = "/control/machines";
/// Path of the mode of the proxy.
pub const MODE_PATH: &str = "/control/mode";

/// Calls the control paths of one stand-in.
pub struct ControlClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: String,
}

impl ControlClient {
    /// A client of the stand-in at an address (`ip:port`).
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            address: address.into(),
        }
    }

    /// Reads, for instance, a ledger.
    pub async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A> {
        let bytes = self.call(Method::GET, path, Bytes::new()).await?;
        Ok(serde_json::from_slice(&bytes)?)
    }

    /// Posts, for instance, faults.
    pub async fn post<Q: Serialize>(&self, path: &str, body: &Q) -> Result<()> {
        let bytes = serde_json::to_vec(body)?;
        self.call(Method::POST, path, bytes.into()).await?;
        Ok(())
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))?;
        let response = self.client.request(request).await?;
        let status = response.status();
        let bytes = response.into_body().collect().await?.to_bytes();
        ensure!(
            status.is_success(),
            "status {status}: {}",
            String::from_utf8_lossy(&bytes)
        );
        Ok(bytes)
    }
}
