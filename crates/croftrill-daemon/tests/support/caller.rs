//! A caller of the gateway's HTTP API.

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{json, Value};

/// A request for a completion.
#[derive(Clone, Debug)]
pub struct Completion {
    /// The model or adapter.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Most tokens.
    pub max_tokens: u32,
    /// Further headers.
    pub headers: Vec<(String, String)>,
}

impl Completion {
    /// A streaming completion of the group `tests`.
    pub fn new(model: &str, prompt: &str, max_tokens: u32) -> Self {
        Self {
            model: model.to_string(),
            prompt: prompt.to_string(),
            max_tokens,
            headers: vec![("x-croftrill-group".to_string(), "tests".to_string())],
        }
    }

    /// The value of one of its headers.
    pub fn header_value(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(found, _)| found == name)
            .map(|(_, value)| value.as_str())
    }

    /// With a header more.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_string(), value.to_string()));
        self
    }
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status; 0 if there was no answer at all.
    pub status: u16,
    /// All text of the stream.
    pub text: String,
    /// Whether the stream ended with `[DONE]`.
    pub whole: bool,
    /// The error object, of the answer or inside the stream.
    pub error: Option<Value>,
    /// Whether `Retry-After` was set.
    pub retry_after: bool,
}

impl Answer {
    /// The `execution` of the error, such as `not_run`.
    pub fn execution(&self) -> Option<&str> {
        self.error.as_ref()?.get("execution")?.as_str()
    }

    /// The `cause` of the error, such as `duplicate_key`.
    pub fn cause(&self) -> Option<&str> {
        self.error.as_ref()?.get("cause")?.as_str()
    }

    /// Whether it is a whole answer.
    pub fn is_served(&self) -> bool {
        self.status == 200 && self.whole && self.error.is_none()
    }
}

/// A caller beside one gateway.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    address: String,
}

impl Caller {
    /// A caller of the gateway at `ip:port`.
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            address: address.into(),
        }
    }

    /// Asks for a streamed completion and reads it to its end.
    pub async fn complete(&self, completion: &Completion) -> Answer {
        match self.client.request(self.request(completion)).await {
            Ok(response) => read_answer(response).await,
            Err(error) => no_answer(&error.to_string()),
        }
    }

    fn request(&self, completion: &Completion) -> Request<Full<Bytes>> {
        let body = json!({
            "model": completion.model,
            "prompt": completion.prompt,
            "max_tokens": completion.max_tokens,
            "stream": true,
        });
        let mut request = Request::post(format!("http://{}/v1/completions", self.address))
            .header("content-type", "application/json");
        for (name, value) in &completion.headers {
            request = request.header(name, value);
        }
        request
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("the request is well formed")
    }
}

fn no_answer(reason: &str) -> Answer {
    Answer {
        status: 0,
        text: String::new(),
        whole: false,
        error: Some(json!({ "message": reason })),
        retry_after: false,
    }
}

async fn read_answer(response: Response<Incoming>) -> Answer {
    let status = response.status();
    let retry_after = response.headers().contains_key("retry-after");
    let (body, cut) = read_body(response).await;
    let mut answer = if status == StatusCode::OK {
        read_events(&body)
    } else {
        read_error(&body)
    };
    answer.status = status.as_u16();
    answer.retry_after = retry_after;
    answer.whole &= !cut;
    answer
}

async fn read_body(response: Response<Incoming>) -> (String, bool) {
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    loop {
        match body.frame().await {
            None => return (String::from_utf8_lossy(&bytes).into_owned(), false),
            Some(Ok(frame)) => bytes.extend(frame.into_data().unwrap_or_default()),
            Some(Err(_)) => return (String::from_utf8_lossy(&bytes).into_owned(), true),
        }
    }
}

fn read_error(body: &str) -> Answer {
    let value: Value = serde_json::from_str(body).unwrap_or(Value::Null);
    let mut answer = no_answer(body);
    answer.error = value.get("error").cloned().or(answer.error);
    answer
}

fn read_events(body: &str) -> Answer {
    let mut answer = no_answer("");
    answer.error = None;
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            answer.whole = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).unwrap_or(Value::Null);
        if let Some(error) = event.get("error") {
            answer.error = Some(error.clone());
        }
        if let Some(text) = event.pointer("/choices/0/text").and_then(Value::as_str) {
            answer.text.push_str(text);
        }
    }
    answer
}
