//! What a model answers: a pure function of model, adapter, prompt and seed, so
//! that tests know the whole answer and a resumed stream goes on exactly.

use croftrill_state::{AdapterId, ModelId};
use xxhash_rust::xxh3::{xxh3_64_with_seed, Xxh3};

/// Each token is one of these words and two digits.
const WORDS: [&str; 16] = [
    "amber", "basin", "cedar", "delta", "ember", "fjord", "grove", "heath", "inlet", "juniper", "kelp",
    "lagoon", "meadow", "north", "orchard", "pine",
];
/// No answer ends by itself before so many tokens.
const SHORTEST_ANSWER_TOKENS: u64 = 2048;
/// Answers are up to so many tokens longer.
const ANSWER_TOKENS_SPREAD: u64 = 2048;
/// Bytes of a prompt for one token.
const BYTES_PER_TOKEN: usize = 4;

/// The answer to one prompt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Answer {
    hash: u64,
}

impl Answer {
    pub(super) fn new(model: &ModelId, adapter: Option<&AdapterId>, prompt: &str, seed: Option<u64>) -> Self {
        let mut hasher = Xxh3::new();
        let adapter = adapter.map(AdapterId::as_str).unwrap_or_default();
        for field in [model.as_str(), adapter, prompt] {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        hasher.update(&seed.unwrap_or_default().to_le_bytes());
        Self {
            hash: hasher.digest(),
        }
    }

    /// The text of the token at an index.
    pub(super) fn token(&self, index: u32) -> String {
        let hash = xxh3_64_with_seed(&index.to_le_bytes(), self.hash);
        let word = WORDS[(hash % WORDS.len() as u64) as usize];
        let digits = (hash >> 32) % 100;
        format!("{word}{digits:02} ")
    }

    /// Tokens after which it ends by itself.
    pub(super) fn natural_tokens(&self) -> u32 {
        (SHORTEST_ANSWER_TOKENS + self.hash % ANSWER_TOKENS_SPREAD) as u32
    }
}

/// The whole answer of the stand-in engine, if no stop text ends it earlier.
/// A missing seed counts as 0.
pub fn expected_answer(
    model: &ModelId,
    adapter: Option<&AdapterId>,
    prompt: &str,
    seed: Option<u64>,
    max_tokens: u32,
) -> String {
    let answer = Answer::new(model, adapter, prompt, seed);
    let tokens = max_tokens.min(answer.natural_tokens());
    (0..tokens).map(|index| answer.token(index)).collect()
}

/// Tokens of a prompt.
pub(super) fn prompt_tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(BYTES_PER_TOKEN).max(1) as u32
}
