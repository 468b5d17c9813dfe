//! The owner's side of attempts.
//!
//! Each accepted attempt's events are one response body. When the gateway
//! cancels, or its connection is lost, the handler's stream is dropped.

use crate::event_frames;
use crate::http_server::{self, read_body, text_answer, BodyError, HttpBody, HttpServerConfig};
use bytes::Bytes;
use croftrill_protocol::attempt::{AttemptEvent, AttemptRequest, ATTEMPT_PATH, MAX_ATTEMPT_BYTES};
use croftrill_state::checked_message;
use futures::stream::BoxStream;
use futures::StreamExt;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use log::warn;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// A gateway that vanished without closing its connections is noticed after
/// this time. It is longer than gateways keep idle connections, because the
/// server's pings cannot be confined to connections with open streams, and
/// pings on all idle connections of many gateways would cost too much.
const PING_INTERVAL: Duration = Duration::from_secs(60);
/// Longest wait for the request of an attempt.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// What the owner does with an attempt.
pub trait AttemptHandler: Send + Sync + 'static {
    /// Runs an attempt. The stream must end with `Finished` or `Refused`; if it
    /// is dropped earlier, the gateway gave the attempt up.
    fn handle(&self, request: AttemptRequest) -> BoxStream<'static, AttemptEvent>;
}

/// Serves attempts.
pub struct AttemptServer;

impl AttemptServer {
    /// Serves until the token is cancelled, then finishes the streams that run.
    pub async fn serve(listener: TcpListener, handler: Arc<dyn AttemptHandler>, shutdown: CancellationToken) {
        let config = HttpServerConfig {
            ping_interval: PING_INTERVAL,
            ..HttpServerConfig::default()
        };
        Self::serve_with(listener, handler, config, shutdown).await;
    }

    /// The same with other settings; HTTP/2 is spoken in any case.
    pub async fn serve_with(
        listener: TcpListener,
        handler: Arc<dyn AttemptHandler>,
        config: HttpServerConfig,
        shutdown: CancellationToken,
    ) {
        let config = HttpServerConfig {
            http2_only: true,
            ..config
        };
        let service = service_fn(move |request| {
            let handler = handler.clone();
            async move { Ok::<_, Infallible>(respond(request, handler).await) }
        });
        http_server::serve(listener, service, config, shutdown).await;
    }
}

async fn respond(request: Request<Incoming>, handler: Arc<dyn AttemptHandler>) -> Response<HttpBody> {
    if request.method() != Method::POST || request.uri().path() != ATTEMPT_PATH {
        return text_answer(StatusCode::NOT_FOUND, "no such path");
    }
    let attempt = match read_attempt(request).await {
        Ok(attempt) => attempt,
        Err((status, reason)) => {
            warn!(
                "attempt: request refused status={} reason={reason}",
                status.as_u16()
            );
            return text_answer(status, reason);
        }
    };
    let events = handler.handle(attempt);
    let frames =
        events.map(|event| Ok::<Frame<Bytes>, Infallible>(Frame::data(event_frames::encode(&event))));
    Response::new(StreamBody::new(frames).boxed_unsync())
}

/// Nothing that fails here has reached the handler.
async fn read_attempt(request: Request<Incoming>) -> Result<AttemptRequest, (StatusCode, String)> {
    let body = read_body(request.into_body(), MAX_ATTEMPT_BYTES, REQUEST_TIMEOUT)
        .await
        .map_err(|error| (body_status(&error), error.to_string()))?;
    checked_message::decode(&body).map_err(|error| (StatusCode::BAD_REQUEST, error.to_string()))
}

fn body_status(error: &BodyError) -> StatusCode {
    match error {
        BodyError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::TimedOut => StatusCode::REQUEST_TIMEOUT,
        BodyError::Broken(_) => StatusCode::BAD_REQUEST,
    }
}
