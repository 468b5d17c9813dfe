//! Answers in the formats that language-model clients know: one JSON document,
//! or server-sent events that end with `[DONE]`. A stream that cannot be
//! finished ends with an error event and without `[DONE]`.

use crate::dispatch::{AnswerEvent, AnswerSummary};
use crate::errors::CallerError;
use croftrill_protocol::attempt::FinishReason;
use croftrill_state::outcome::{Refusal, RefusalCause};
use croftrill_state::{ClusterState, RequestId};
use croftrill_transport::http_server::{json_answer, HttpBody};
use futures::stream;
use http::header::{HeaderValue, CACHE_CONTROL, CONTENT_TYPE};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Bytes, Frame};
use serde_json::{json, Value};
use std::convert::Infallible;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;

const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";
/// When to come back after a fault of the gateway itself, in milliseconds.
const INTERNAL_RETRY_AFTER_MILLIS: u64 = 1000;

/// Which of the two interfaces the caller uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Interface {
    Completions,
    Chat,
}

/// How the answer to one request is written.
#[derive(Clone, Debug)]
pub(crate) struct AnswerFormat {
    interface: Interface,
    id: String,
    model: String,
    created: u64,
}

impl AnswerFormat {
    pub fn new(interface: Interface, request: RequestId, model: String) -> Self {
        let prefix = match interface {
            Interface::Completions => "cmpl",
            Interface::Chat => "chatcmpl",
        };
        Self {
            interface,
            id: format!("{prefix}-{request}"),
            model,
            created: unix_seconds(),
        }
    }

    /// The whole answer as one document.
    pub async fn whole(
        &self,
        mut events: mpsc::Receiver<AnswerEvent>,
    ) -> Result<Response<HttpBody>, CallerError> {
        let mut text = String::new();
        loop {
            match next_event(&mut events).await {
                AnswerEvent::Text(part) => text.push_str(&part),
                AnswerEvent::Failed(refusal) => return Err(CallerError::refused(refusal)),
                AnswerEvent::Finished(summary) => {
                    let document = self.document(&text, summary);
                    return Ok(json_answer(StatusCode::OK, document.to_string()));
                }
            }
        }
    }

    /// The answer as a stream. It begins when the first text is there, so that
    /// an earlier failure has its own status code.
    pub async fn streamed(
        self,
        mut events: mpsc::Receiver<AnswerEvent>,
    ) -> Result<Response<HttpBody>, CallerError> {
        let first = match next_event(&mut events).await {
            AnswerEvent::Failed(refusal) => return Err(CallerError::refused(refusal)),
            first => first,
        };
        let writer = StreamWriter {
            format: self,
            events,
            next: Some(first),
            ended: false,
        };
        let frames = stream::unfold(writer, |mut writer| async move {
            let bytes = writer.next_bytes().await?;
            Some((Ok::<Frame<Bytes>, Infallible>(Frame::data(bytes)), writer))
        });
        let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        Ok(response)
    }

    fn document(&self, text: &str, summary: AnswerSummary) -> Value {
        let finish_reason = reason_name(summary.reason);
        let (object, choice) = match self.interface {
            Interface::Completions => (
                "text_completion",
                json!({"index": 0, "text": text, "logprobs": null, "finish_reason": finish_reason}),
            ),
            Interface::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": finish_reason,
                }),
            ),
        };
        let mut document = self.envelope(object, choice);
        document["usage"] = usage(summary);
        document
    }

    fn text_chunk(&self, text: &str) -> Value {
        self.chunk(
            json!({"index": 0, "text": text, "logprobs": null, "finish_reason": null}),
            json!({
                "index": 0,
                "delta": {"role": "assistant", "content": text},
                "finish_reason": null,
            }),
        )
    }

    fn last_chunk(&self, summary: AnswerSummary) -> Value {
        let reason = reason_name(summary.reason);
        let mut chunk = self.chunk(
            json!({"index": 0, "text": "", "logprobs": null, "finish_reason": reason}),
            json!({"index": 0, "delta": {}, "finish_reason": reason}),
        );
        chunk["usage"] = usage(summary);
        chunk
    }

    fn chunk(&self, completion_choice: Value, chat_choice: Value) -> Value {
        match self.interface {
            Interface::Completions => self.envelope("text_completion", completion_choice),
            Interface::Chat => self.envelope("chat.completion.chunk", chat_choice),
        }
    }

    fn envelope(&self, object: &str, choice: Value) -> Value {
        json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        })
    }
}

/// Writes the server-sent events of one answer.
struct StreamWriter {
    format: AnswerFormat,
    events: mpsc::Receiver<AnswerEvent>,
    next: Option<AnswerEvent>,
    ended: bool,
}

impl StreamWriter {
    async fn next_bytes(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        let event = match self.next.take() {
            Some(event) => event,
            None => next_event(&mut self.events).await,
        };
        Some(match event {
            AnswerEvent::Text(text) => server_sent_event(&self.format.text_chunk(&text).to_string()),
            AnswerEvent::Finished(summary) => {
                self.ended = true;
                let last = self.format.last_chunk(summary).to_string();
                let mut bytes = server_sent_event(&last).to_vec();
                bytes.extend_from_slice(DONE_EVENT);
                Bytes::from(bytes)
            }
            AnswerEvent::Failed(refusal) => {
                self.ended = true;
                server_sent_event(&CallerError::refused(refusal).json())
            }
        })
    }
}

/// The next event. If the request ended without a last event, the gateway is at
/// fault, and nobody can say whether the request ran.
async fn next_event(events: &mut mpsc::Receiver<AnswerEvent>) -> AnswerEvent {
    events.recv().await.unwrap_or_else(|| {
        let cause = RefusalCause::EngineFailed;
        AnswerEvent::Failed(Refusal::may_have_run(cause, INTERNAL_RETRY_AFTER_MILLIS))
    })
}

fn server_sent_event(json: &str) -> Bytes {
    Bytes::from(format!("data: {json}\n\n"))
}

fn reason_name(reason: FinishReason) -> &'static str {
    match reason {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
    }
}

fn usage(summary: AnswerSummary) -> Value {
    json!({
        "prompt_tokens": summary.prompt_tokens,
        "completion_tokens": summary.tokens,
        "total_tokens": u64::from(summary.prompt_tokens) + u64::from(summary.tokens),
    })
}

/// The list of models and adapters.
pub(crate) fn model_list(state: &ClusterState) -> Value {
    let served = state.models.keys().filter(|model| !state.is_retiring(model));
    let models = served.map(|model| model.as_str());
    let adapters = state.adapters.keys().map(|adapter| adapter.as_str());
    let entries: Vec<Value> = models
        .chain(adapters)
        .map(|name| json!({"id": name, "object": "model", "created": 0, "owned_by": "croftrill"}))
        .collect();
    json!({"object": "list", "data": entries})
}

fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map(|elapsed| elapsed.as_secs())
        .unwrap_or(0)
}
