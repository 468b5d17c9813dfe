//! The callers' API: the completions API that language-model clients commonly use.
//!
//! The body names the model as `model` or `model/adapter`. Headers carry the id of
//! the attempt, the deadline and the group.

use std::time::Duration;

use bytes::Bytes;
use croftrill_node::load_header::parse_load;
use croftrill_node::ports::{
    AnswerFacts, BadRequest, Dialect, Execution, Forwarding, PromptPart, RequestFacts,
};
use croftrill_scheduler::catalog::Configuration;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{request, response, StatusCode};
use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::engine_wire::{replica_signals, INCARNATION_HEADER, LOAD_HEADER, NOT_EXECUTED_HEADER};

/// Id of the attempt, repeated in the response.
pub const ATTEMPT_HEADER: &str = "croftrill-attempt";
/// Time for which the caller waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "croftrill-deadline-ms";
/// Group to which the request is charged.
pub const GROUP_HEADER: &str = "croftrill-group";
/// Id of the event after which a stream goes on.
pub const LAST_EVENT_HEADER: &str = "last-event-id";
/// The caller's attempt that brought the first event of the stream that a request goes on with.
pub const RESUMED_ATTEMPT_HEADER: &str = "croftrill-resumed-attempt";
/// Priority of the request; 0 is the most urgent.
pub const PRIORITY_HEADER: &str = "croftrill-priority";
/// Request headers that only the node may set; the caller's values are removed.
const SYSTEM_ONLY: [&str; 3] = [
    // The incarnation that may execute the request: a replica refuses any other value.
    INCARNATION_HEADER,
    // The priority among the requests of all callers.
    PRIORITY_HEADER,
    // The caller's secret must not reach a replica.
    "authorization",
];
/// Lists the models that callers may request.
const MODELS_PATH: &str = "/v1/models";
/// Bytes per token for estimates of a prompt's length.
pub const BYTES_PER_TOKEN: u64 = 4;
/// Length of the prefix by which prompts with a common start are recognized, in bytes.
const SHARED_PREFIX_BYTES: usize = 256;
/// Output tokens assumed for a request that sets no maximum.
const DEFAULT_OUTPUT_TOKENS: u64 = 256;

#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    messages: Vec<Message>,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

/// Returns the parts of a prompt: the messages, and the prompt itself. Of one that is all there is, the
/// beginning, which other requests may share.
fn prompt_parts(completion: &CompletionBody) -> Vec<PromptPart> {
    if completion.messages.is_empty() {
        let prompt = completion.prompt.as_bytes();
        return vec![prompt_part(&prompt[..prompt.len().min(SHARED_PREFIX_BYTES)])];
    }
    let messages = completion
        .messages
        .iter()
        .map(|message| message.content.as_bytes());
    let prompt = Some(completion.prompt.as_bytes()).filter(|prompt| !prompt.is_empty());
    messages.chain(prompt).map(prompt_part).collect()
}

fn prompt_part(content: &[u8]) -> PromptPart {
    PromptPart {
        hash: xxh3_64(content),
        tokens: content.len() as u64 / BYTES_PER_TOKEN,
    }
}

/// Returns the models and adapters that callers may request.
fn model_list(configuration: &Configuration) -> serde_json::Value {
    let engines = configuration
        .services()
        .filter_map(|service| service.engine.as_ref());
    let mut names: Vec<String> = engines
        .flat_map(|engine| engine.models.values())
        .flat_map(|model| {
            let adapters = (1..=model.adapter_count).map(|number| format!("{}/a{number}", model.name));
            std::iter::once(model.name.to_string())
                .chain(adapters)
                .collect::<Vec<_>>()
        })
        .collect();
    names.sort();
    let models: Vec<_> = names
        .into_iter()
        .map(|id| serde_json::json!({"id": id, "object": "model"}))
        .collect();
    serde_json::json!({"object": "list", "data": models})
}

/// Reads and writes requests and responses of the completions API.
#[derive(Debug, Default)]
pub struct Completions;

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .map(str::trim)
}

fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

impl Dialect for Completions {
    fn key_scheme(&self) -> &'static str {
        "Bearer"
    }

    fn request_facts(&self, head: &request::Parts) -> Result<RequestFacts, BadRequest> {
        let id = header_text(&head.headers, ATTEMPT_HEADER)
            .filter(|id| !id.is_empty())
            .ok_or(BadRequest::NoId)?;
        let deadline = match header_text(&head.headers, DEADLINE_HEADER) {
            None => None,
            Some(value) => {
                let millis = value.parse().map_err(|_| BadRequest::Header(DEADLINE_HEADER))?;
                Some(Duration::from_millis(millis))
            }
        };
        let group = header_text(&head.headers, GROUP_HEADER).map(str::to_string);
        Ok(RequestFacts {
            id: id.to_string(),
            deadline,
            group,
            last_event_id: header_text(&head.headers, LAST_EVENT_HEADER).map(str::to_string),
            resumed_attempt: header_text(&head.headers, RESUMED_ATTEMPT_HEADER).map(str::to_string),
            ..RequestFacts::default()
        })
    }

    fn read_body(&self, facts: &mut RequestFacts, body: &Bytes) -> Result<(), BadRequest> {
        let completion: CompletionBody =
            serde_json::from_slice(body).map_err(|error| BadRequest::Body(error.to_string()))?;
        let (model, adapter) = match completion.model.split_once('/') {
            Some((model, adapter)) => (model, Some(adapter.into())),
            None => (completion.model.as_str(), None),
        };
        facts.parts = prompt_parts(&completion);
        let messages: String = completion
            .messages
            .iter()
            .map(|message| message.content.as_str())
            .collect();
        let prompt = completion.prompt + &messages;
        facts.model = Some(model.into());
        facts.adapter = adapter;
        facts.prompt_tokens = prompt.len() as u64 / BYTES_PER_TOKEN;
        facts.output_tokens = completion.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS);
        facts.metered_tokens = Some(facts.prompt_tokens + facts.output_tokens);
        Ok(())
    }

    fn local_answer(&self, head: &request::Parts, configuration: &Configuration) -> Option<String> {
        let is_list_request = head.method == http::Method::GET && head.uri.path() == MODELS_PATH;
        is_list_request.then(|| model_list(configuration).to_string())
    }

    fn forward(&self, headers: &mut HeaderMap, forwarding: &Forwarding<'_>) {
        for name in SYSTEM_ONLY {
            headers.remove(name);
        }
        set_header(headers, INCARNATION_HEADER, forwarding.replica);
        set_header(
            headers,
            DEADLINE_HEADER,
            &forwarding.time_left.as_millis().to_string(),
        );
        if let Some(priority) = forwarding.priority {
            set_header(headers, PRIORITY_HEADER, &priority.to_string());
        }
        if let Some(tenant) = forwarding.tenant {
            set_header(headers, GROUP_HEADER, tenant);
        }
        if let Some(last) = forwarding.resume_after {
            set_header(headers, LAST_EVENT_HEADER, last);
        }
    }

    fn answer_facts(&self, id: &str, head: &response::Parts) -> AnswerFacts {
        let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        let not_executed = is_misdirected || head.headers.contains_key(NOT_EXECUTED_HEADER);
        let is_ours = header_text(&head.headers, ATTEMPT_HEADER) == Some(id);
        AnswerFacts {
            is_ours,
            is_signed: is_ours,
            is_plain: !head.headers.contains_key(http::header::CONTENT_ENCODING),
            execution: if not_executed {
                Execution::NotExecuted
            } else {
                Execution::Executed
            },
            is_misdirected,
            load: header_text(&head.headers, LOAD_HEADER).and_then(parse_load),
            signals: replica_signals(head.status, &head.headers),
        }
    }
}
