//! One HTTP client of one service: sends JSON, and tells a request that was
//! never sent from one whose answer is missing.

use bytes::Bytes;
use http::header::{HeaderValue, ETAG, IF_NONE_MATCH};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::error::Error;
use std::time::Duration;

/// Time to connect, unless configured.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time of a whole call, unless configured.
const DEFAULT_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle connections are closed after this time.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest answer taken, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Where a service listens and how long to wait for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpEndpoint {
    /// `ip:port`.
    pub address: String,
    /// Longest time to connect. Should be well below `call_timeout`, since only
    /// a failed connection is known to have had no effect.
    pub connect_timeout: Duration,
    /// Longest time of a whole call.
    pub call_timeout: Duration,
}

impl HttpEndpoint {
    /// An endpoint with the default times.
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            address: address.into(),
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
            call_timeout: DEFAULT_CALL_TIMEOUT,
        }
    }
}

/// Why there is no answer.
#[derive(Clone, Debug)]
pub(crate) enum CallError {
    /// The request was not sent.
    NotSent(String),
    /// It may have been sent; the answer is missing.
    Unanswered(String),
}

impl CallError {
    /// The message for people.
    pub(crate) fn into_message(self) -> String {
        match self {
            CallError::NotSent(message) | CallError::Unanswered(message) => message,
        }
    }
}

/// A whole answer.
pub(crate) struct Answer {
    /// Its status.
    pub(crate) status: StatusCode,
    /// The version of what was read, if the service tells one.
    pub(crate) etag: Option<HeaderValue>,
    body: Bytes,
}

impl Answer {
    /// Decodes the body.
    pub(crate) fn decode<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|error| format!("status {}: {error}", self.status))
    }

    /// Length of the body, in bytes.
    pub(crate) fn body_bytes(&self) -> usize {
        self.body.len()
    }

    /// The status and the body, for a message.
    pub(crate) fn describe(&self) -> String {
        let text = String::from_utf8_lossy(&self.body);
        format!("status {}: {text}", self.status)
    }
}

/// A client of one service.
pub(crate) struct HttpCaller {
    client: Client<HttpConnector, Full<Bytes>>,
    endpoint: HttpEndpoint,
}

impl HttpCaller {
    /// Makes a client; connects only with the first call.
    pub(crate) fn new(endpoint: HttpEndpoint) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(endpoint.connect_timeout));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
            .build(connector);
        Self { client, endpoint }
    }

    /// GETs a path.
    pub(crate) async fn get(&self, path: &str) -> Result<Answer, CallError> {
        self.get_if_changed(path, None).await
    }

    /// GETs a path unless it still has a known version; a service that keeps
    /// versions then answers 304 without a body.
    pub(crate) async fn get_if_changed(
        &self,
        path: &str,
        known: Option<HeaderValue>,
    ) -> Result<Answer, CallError> {
        let mut request = self.request(Method::GET, path, Bytes::new())?;
        if let Some(etag) = known {
            request.headers_mut().insert(IF_NONE_MATCH, etag);
        }
        self.whole_answer(request, self.endpoint.call_timeout).await
    }

    /// POSTs a body as JSON.
    pub(crate) async fn post<T: Serialize>(&self, path: &str, body: &T) -> Result<Answer, CallError> {
        self.post_waiting(path, body, Duration::ZERO).await
    }

    /// POSTs a body as JSON; the service may take some time beyond the usual.
    pub(crate) async fn post_waiting<T: Serialize>(
        &self,
        path: &str,
        body: &T,
        extra: Duration,
    ) -> Result<Answer, CallError> {
        let request = self.request(Method::POST, path, encode(body)?)?;
        self.whole_answer(request, self.endpoint.call_timeout + extra)
            .await
    }

    /// POSTs a body as JSON and returns with the head of the answer.
    pub(crate) async fn post_streaming<T: Serialize>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<Response<Incoming>, CallError> {
        let request = self.request(Method::POST, path, encode(body)?)?;
        let answer = self.send(request);
        within(self.endpoint.call_timeout, answer).await
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Result<Request<Full<Bytes>>, CallError> {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.endpoint.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| CallError::NotSent(error.to_string()))
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, CallError> {
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() || was_canceled(&error) {
                CallError::NotSent(describe(&error))
            } else {
                CallError::Unanswered(describe(&error))
            }
        })
    }

    async fn whole_answer(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        let answer = async {
            let response = self.send(request).await?;
            read_answer(response).await
        };
        within(timeout, answer).await
    }
}

/// Reads the rest of an answer.
pub(crate) async fn read_answer(response: Response<Incoming>) -> Result<Answer, CallError> {
    let status = response.status();
    let etag = response.headers().get(ETAG).cloned();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    match body.collect().await {
        Ok(collected) => Ok(Answer {
            status,
            etag,
            body: collected.to_bytes(),
        }),
        Err(error) => Err(CallError::Unanswered(error.to_string())),
    }
}

fn encode<T: Serialize>(body: &T) -> Result<Bytes, CallError> {
    match serde_json::to_vec(body) {
        Ok(bytes) => Ok(bytes.into()),
        Err(error) => Err(CallError::NotSent(error.to_string())),
    }
}

async fn within<T>(
    timeout: Duration,
    call: impl std::future::Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    match tokio::time::timeout(timeout, call).await {
        Ok(result) => result,
        Err(_) => Err(CallError::Unanswered(format!(
            "no answer in {} ms",
            timeout.as_millis()
        ))),
    }
}

/// hyper reports `canceled` only for a request that was never begun on its
/// connection.
fn was_canceled(error: &(dyn Error + 'static)) -> bool {
    let mut next = Some(error);
    while let Some(cause) = next {
        if let Some(cause) = cause.downcast_ref::<hyper::Error>() {
            return cause.is_canceled();
        }
        next = cause.source();
    }
    false
}

fn describe(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut next = error.source();
    while let Some(cause) = next {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        next = cause.source();
    }
    text
}
