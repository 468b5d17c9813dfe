//! One attempt to run a request: a gateway's order to an owner node and the
//! stream of events that comes back.
//!
//! Carried over HTTP/2: the request body is one encoded [`AttemptRequest`]; the
//! response body is a sequence of frames, each a 4-byte big-endian length and
//! one encoded [`AttemptEvent`]. Every message stands behind its checksum
//! (`croftrill_state::checked_message`). Closing the stream cancels the attempt.

use croftrill_state::cluster::Target;
use croftrill_state::configuration::PriorityClass;
use croftrill_state::outcome::Refusal;
use croftrill_state::{AttemptId, EngineId, FencingToken, GroupId, IdempotencyKey, RequestId, Revision};
use nanoserde::{DeBin, SerBin};

/// Path of the attempt service.
pub const ATTEMPT_PATH: &str = "/internal/attempt";
/// Largest attempt request accepted, in bytes.
pub const MAX_ATTEMPT_BYTES: usize = 8 * 1024 * 1024;

/// What the caller asked the model for, as passed on to the engine.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct Generation {
    /// The prompt (a chat is rendered to one text by the gateway).
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Sampling temperature in thousandths.
    pub temperature_thousandths: u32,
    /// Sampling seed, if the caller gave one.
    pub seed: Option<u64>,
    /// Texts at which generation stops.
    pub stop: Vec<String>,
}

/// Where a broken stream goes on.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ResumePoint {
    /// Tokens that the caller already has.
    pub tokens: u32,
    /// Their text.
    pub text: String,
}

/// One attempt.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct AttemptRequest {
    /// The caller's request.
    pub request: RequestId,
    /// This attempt.
    pub attempt: AttemptId,
    /// Model and adapter.
    pub target: Target,
    /// The engine whose queue it should pass.
    pub engine: EngineId,
    /// The owner's token as the gateway knows it.
    pub fencing_token: FencingToken,
    /// The log revision that the gateway routed by.
    pub revision: Revision,
    /// Who is charged.
    pub group: GroupId,
    /// Its class.
    pub priority: PriorityClass,
    /// Milliseconds left until the caller's deadline for the first token.
    pub first_token_deadline_millis: u64,
    /// Milliseconds left until the caller's deadline for the whole answer.
    pub total_deadline_millis: u64,
    /// Set if the request must run at most once; the gateway holds the claim.
    pub unrepeatable: Option<IdempotencyKey>,
    /// Set if the attempt goes on with a broken stream.
    pub resume: Option<ResumePoint>,
    /// What to generate.
    pub generation: Generation,
}

/// Why generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum FinishReason {
    /// The model stopped by itself or at a stop text.
    Stop,
    /// `max_tokens` was reached.
    Length,
}

/// Load of an engine's queue, sent with replies so that gateways need no gossip.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct QueueLoad {
    /// Requests waiting.
    pub waiting: u32,
    /// Requests running on the engine.
    pub running: u32,
    /// Estimated wait of a new request, in milliseconds.
    pub estimated_wait_millis: u32,
}

/// Events of an attempt, in order: `Accepted`, then `Started`, `Tokens`…,
/// `Finished`; or `Refused` instead of any of them.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum AttemptEvent {
    /// The owner queued it.
    Accepted {
        /// The attempt.
        attempt: AttemptId,
        /// Load of the queue.
        load: QueueLoad,
    },
    /// It was handed to the engine; from here on it may have run.
    Started {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Some tokens.
    Tokens {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens of the whole answer before these.
        offset: u32,
        /// Tokens in `text`.
        count: u32,
        /// Their text.
        text: String,
    },
    /// The answer is whole.
    Finished {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens of the whole answer.
        tokens: u32,
        /// Tokens of the prompt.
        prompt_tokens: u32,
        /// Why it ended.
        reason: FinishReason,
        /// Load of the queue.
        load: QueueLoad,
    },
    /// It was not served.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// Why, and whether it ran.
        refusal: Refusal,
        /// Load of the queue.
        load: QueueLoad,
    },
}

impl AttemptEvent {
    /// The attempt that the event belongs to.
    pub fn attempt(&self) -> AttemptId {
        match self {
            AttemptEvent::Accepted { attempt, .. }
            | AttemptEvent::Started { attempt }
            | AttemptEvent::Tokens { attempt, .. }
            | AttemptEvent::Finished { attempt, .. }
            | AttemptEvent::Refused { attempt, .. } => *attempt,
        }
    }
}
