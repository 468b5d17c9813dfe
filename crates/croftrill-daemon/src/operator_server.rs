//! HTTP for operators: the intent API, health, readiness and metrics.

use crate::control::Control;
use crate::control_metrics::ControlMetrics;
use bytes::Bytes;
use croftrill_coordination::replication::Replica;
use croftrill_operator_api::OperatorApi;
use croftrill_state::Revision;
use croftrill_transport::http_server::{self, HttpBody, HttpServerConfig};
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// The process runs.
const HEALTH_PATH: &str = "/healthz";
/// The node serves callers: it has a copy of the log and is not leaving.
const READINESS_PATH: &str = "/readyz";
/// Metrics in the Prometheus text format.
const METRICS_PATH: &str = "/metrics";
/// Media type of the Prometheus text format.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// What the server answers from.
pub struct OperatorServer {
    /// The intent API.
    pub operators: Arc<OperatorApi>,
    /// All metrics.
    pub registry: Registry,
    /// Those of them that are set when scraped.
    pub control_metrics: ControlMetrics,
    /// The node's copy of the log.
    pub replica: Arc<Replica>,
    /// The control parts, once started.
    pub control: OnceLock<Control>,
    /// Set by a planned stop.
    pub leaving: AtomicBool,
}

impl OperatorServer {
    /// Serves until `stop`.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, stop: CancellationToken) {
        let service = service_fn(move |request| {
            let server = self.clone();
            async move { Ok::<_, Infallible>(server.answer(request).await) }
        });
        http_server::serve(listener, service, HttpServerConfig::default(), stop).await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<HttpBody> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, HEALTH_PATH) => http_server::text_answer(StatusCode::OK, "alive\n"),
            (&Method::GET, READINESS_PATH) => self.readiness(),
            (&Method::GET, METRICS_PATH) => self.metrics(),
            _ => self.operators.handle(request).await.map(boxed),
        }
    }

    fn readiness(&self) -> Response<HttpBody> {
        if self.leaving.load(Ordering::Relaxed) {
            return http_server::text_answer(StatusCode::SERVICE_UNAVAILABLE, "leaving\n");
        }
        if self.replica.head() == Revision(0) {
            return http_server::text_answer(StatusCode::SERVICE_UNAVAILABLE, "no copy of the log yet\n");
        }
        http_server::text_answer(StatusCode::OK, "ready\n")
    }

    fn metrics(&self) -> Response<HttpBody> {
        self.control_metrics.update(&self.replica, self.control.get());
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::error!("daemon: metrics not encoded error={error}");
            return http_server::text_answer(
                StatusCode::INTERNAL_SERVER_ERROR,
                "metrics cannot be encoded\n",
            );
        }
        http_server::answer(StatusCode::OK, METRICS_TYPE, text)
    }
}

fn boxed(body: http_body_util::Full<Bytes>) -> HttpBody {
    body.boxed_unsync()
}
