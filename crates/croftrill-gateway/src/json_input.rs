//! The JSON bodies of completions and chat completions, as callers send them.
//! Fields that are not known are ignored, as language-model servers do.

use crate::errors::CallerError;
use croftrill_protocol::attempt::Generation;
use serde::Deserialize;

const DEFAULT_MAX_TOKENS: u32 = 256;
const MOST_STOP_TEXTS: usize = 16;
const HIGHEST_TEMPERATURE: f64 = 2.0;
const THOUSANDTHS: f64 = 1000.0;

/// One text, or several.
#[derive(Deserialize)]
#[serde(untagged)]
enum OneOrMany {
    One(String),
    Many(Vec<String>),
}

/// Fields that both kinds of request share.
#[derive(Deserialize)]
struct CommonFields {
    model: String,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    temperature: Option<f64>,
    #[serde(default)]
    seed: Option<i64>,
    #[serde(default)]
    stop: Option<OneOrMany>,
    #[serde(default)]
    n: Option<u32>,
}

#[derive(Deserialize)]
struct CompletionFields {
    #[serde(flatten)]
    common: CommonFields,
    prompt: OneOrMany,
}

#[derive(Deserialize)]
struct ChatFields {
    #[serde(flatten)]
    common: CommonFields,
    messages: Vec<ChatMessage>,
}

#[derive(Deserialize)]
struct ChatMessage {
    role: String,
    content: ChatContent,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum ChatContent {
    Text(String),
    Parts(Vec<ChatPart>),
}

#[derive(Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
enum ChatPart {
    Text { text: String },
}

/// What a body asks for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct GenerationInput {
    /// The model or adapter, as the caller wrote it.
    pub model: String,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// What to generate.
    pub generation: Generation,
}

/// Reads the body of `POST /v1/completions`.
pub(crate) fn parse_completion(body: &[u8], most_tokens: u32) -> Result<GenerationInput, CallerError> {
    let fields: CompletionFields = parse_json(body)?;
    let prompt = match fields.prompt {
        OneOrMany::One(prompt) => prompt,
        OneOrMany::Many(prompts) => only_prompt(prompts)?,
    };
    fields.common.into_input(prompt, most_tokens)
}

/// Reads the body of `POST /v1/chat/completions`.
pub(crate) fn parse_chat(body: &[u8], most_tokens: u32) -> Result<GenerationInput, CallerError> {
    let fields: ChatFields = parse_json(body)?;
    if fields.messages.is_empty() {
        return Err(CallerError::malformed("messages must not be empty"));
    }
    let prompt = render_chat(&fields.messages);
    fields.common.into_input(prompt, most_tokens)
}

fn parse_json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, CallerError> {
    serde_json::from_slice(body)
        .map_err(|error| CallerError::malformed(format!("the body is not a valid request: {error}")))
}

fn only_prompt(mut prompts: Vec<String>) -> Result<String, CallerError> {
    match (prompts.len(), prompts.pop()) {
        (1, Some(prompt)) => Ok(prompt),
        _ => Err(CallerError::malformed("prompt must be one text")),
    }
}

/// One text in which each message is a paragraph that starts with its role.
fn render_chat(messages: &[ChatMessage]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        match &message.content {
            ChatContent::Text(text) => prompt.push_str(text),
            ChatContent::Parts(parts) => {
                for ChatPart::Text { text } in parts {
                    prompt.push_str(text);
                }
            }
        }
        prompt.push('\n');
    }
    prompt.push_str("assistant: ");
    prompt
}

impl CommonFields {
    fn into_input(self, prompt: String, most_tokens: u32) -> Result<GenerationInput, CallerError> {
        if self.n.is_some_and(|n| n != 1) {
            return Err(CallerError::malformed("n must be 1"));
        }
        let max_tokens = self.checked_max_tokens(most_tokens)?;
        let temperature_thousandths = checked_temperature(self.temperature)?;
        let generation = Generation {
            prompt,
            max_tokens,
            temperature_thousandths,
            // Every 64-bit number is a seed; the sign is a matter of notation.
            seed: self.seed.map(|seed| seed as u64),
            stop: checked_stop(self.stop)?,
        };
        Ok(GenerationInput {
            model: self.model,
            stream: self.stream.unwrap_or(false),
            generation,
        })
    }

    fn checked_max_tokens(&self, most_tokens: u32) -> Result<u32, CallerError> {
        let asked = self.max_tokens.or(self.max_completion_tokens);
        let max_tokens = asked.unwrap_or(DEFAULT_MAX_TOKENS.min(most_tokens));
        if max_tokens == 0 || max_tokens > most_tokens {
            let message = format!("max_tokens must be between 1 and {most_tokens}");
            return Err(CallerError::malformed(message));
        }
        Ok(max_tokens)
    }
}

fn checked_temperature(temperature: Option<f64>) -> Result<u32, CallerError> {
    let temperature = temperature.unwrap_or(1.0);
    if !(0.0..=HIGHEST_TEMPERATURE).contains(&temperature) {
        return Err(CallerError::malformed("temperature must be between 0 and 2"));
    }
    Ok((temperature * THOUSANDTHS).round() as u32)
}

fn checked_stop(stop: Option<OneOrMany>) -> Result<Vec<String>, CallerError> {
    let texts = match stop {
        None => Vec::new(),
        Some(OneOrMany::One(text)) => vec![text],
        Some(OneOrMany::Many(texts)) => texts,
    };
    if texts.len() > MOST_STOP_TEXTS || texts.iter().any(String::is_empty) {
        let message = format!("stop must be at most {MOST_STOP_TEXTS} texts, none of them empty");
        return Err(CallerError::malformed(message));
    }
    Ok(texts)
}
