//! Puts the whole answer of one caller's request together from the events of
//! its attempts.
//!
//! Invariants:
//! - the text is always a prefix of the answer, and every token is in it once;
//! - only events of the live attempt have an effect, so that late and crossed
//!   replies of earlier or foreign attempts are dropped;
//! - after a gap, a conflict or the end, no attempt is live.

use crate::identifiers::AttemptId;

/// What the caller already has, from which another attempt goes on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Tokens.
    pub tokens: u32,
    /// Their text.
    pub text: String,
}

/// Some tokens of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenChunk {
    /// Tokens of the whole answer before these.
    pub offset: u32,
    /// Tokens in `text`.
    pub count: u32,
    /// Their text.
    pub text: String,
}

/// What became of some tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TokenOutcome {
    /// These are new and go to the caller.
    New {
        /// Tokens.
        count: u32,
        /// Their text.
        text: String,
    },
    /// The caller has them all already.
    Duplicate,
    /// The attempt is not the live one.
    NotLive,
    /// Tokens are missing before these. The attempt is given up.
    Gap {
        /// Tokens that the caller has.
        have: u32,
        /// The offset of the event.
        found: u32,
    },
    /// They contradict what the caller has. The attempt is given up.
    Conflict,
}

/// What became of the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishOutcome {
    /// The answer is whole.
    Whole,
    /// The attempt is not the live one.
    NotLive,
    /// The attempt ended with another number of tokens than the caller has. It
    /// is given up.
    WrongLength {
        /// Tokens that the caller has.
        have: u32,
        /// Tokens of the attempt.
        found: u32,
    },
}

/// The end of one chunk in the text.
#[derive(Clone, Copy, Debug)]
struct Boundary {
    tokens: u32,
    bytes: usize,
}

/// The answer of one request as far as it is known.
#[derive(Clone, Debug, Default)]
pub struct StreamAssembly {
    text: String,
    tokens: u32,
    boundaries: Vec<Boundary>,
    live: Option<AttemptId>,
    finished: bool,
}

impl StreamAssembly {
    /// An empty answer without an attempt.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes an attempt the only live one. Returns what it must go on from, or
    /// `None` if it starts at the beginning.
    ///
    /// # Panics
    /// If the answer is whole: there is nothing left to ask for.
    pub fn begin_attempt(&mut self, attempt: AttemptId) -> Option<Progress> {
        assert!(!self.finished, "no attempt may follow a whole answer");
        self.live = Some(attempt);
        if self.tokens == 0 {
            return None;
        }
        Some(Progress {
            tokens: self.tokens,
            text: self.text.clone(),
        })
    }

    /// Gives the live attempt up; its later events are dropped.
    pub fn end_attempt(&mut self) {
        self.live = None;
    }

    /// Whether events of this attempt have an effect.
    pub fn is_live(&self, attempt: AttemptId) -> bool {
        self.live == Some(attempt)
    }

    /// Whether the answer is whole.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Tokens that the caller has.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Text that the caller has.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Takes tokens of an attempt.
    pub fn accept_tokens(&mut self, attempt: AttemptId, chunk: &TokenChunk) -> TokenOutcome {
        if !self.is_live(attempt) {
            return TokenOutcome::NotLive;
        }
        let Some(end) = chunk.offset.checked_add(chunk.count) else {
            return self.conflict();
        };
        if chunk.count == 0 && !chunk.text.is_empty() {
            // Text without a token could not be told from its duplicate.
            return self.conflict();
        }
        if chunk.offset > self.tokens {
            self.live = None;
            return TokenOutcome::Gap {
                have: self.tokens,
                found: chunk.offset,
            };
        }
        if end <= self.tokens {
            return TokenOutcome::Duplicate;
        }
        self.append(chunk, end)
    }

    /// Takes the end of an attempt, whose whole answer has `tokens` tokens.
    pub fn accept_finish(&mut self, attempt: AttemptId, tokens: u32) -> FinishOutcome {
        if !self.is_live(attempt) {
            return FinishOutcome::NotLive;
        }
        self.live = None;
        if tokens != self.tokens {
            return FinishOutcome::WrongLength {
                have: self.tokens,
                found: tokens,
            };
        }
        self.finished = true;
        FinishOutcome::Whole
    }

    /// Appends a chunk of which the caller may have the first tokens.
    fn append(&mut self, chunk: &TokenChunk, end: u32) -> TokenOutcome {
        let Some(known) = self.text_from(chunk.offset) else {
            return self.conflict();
        };
        let Some(text) = chunk.text.strip_prefix(known).map(str::to_string) else {
            return self.conflict();
        };
        let count = end - self.tokens;
        self.text.push_str(&text);
        self.tokens = end;
        self.boundaries.push(Boundary {
            tokens: end,
            bytes: self.text.len(),
        });
        TokenOutcome::New { count, text }
    }

    /// The text after the first `tokens` tokens; `None` if no chunk ended there,
    /// since then nobody knows where that is in the text.
    fn text_from(&self, tokens: u32) -> Option<&str> {
        if tokens == 0 {
            return Some(&self.text);
        }
        let index = self
            .boundaries
            .binary_search_by_key(&tokens, |boundary| boundary.tokens)
            .ok()?;
        Some(&self.text[self.boundaries[index].bytes..])
    }

    fn conflict(&mut self) -> TokenOutcome {
        self.live = None;
        TokenOutcome::Conflict
    }
}
