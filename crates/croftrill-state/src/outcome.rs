//! What a caller learns about a request that was not served.

use nanoserde::{DeBin, SerBin};
use serde::{Deserialize, Serialize};

/// Whether a refused or failed request had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, SerBin, DeBin, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No engine ever started it. Must hold before this is said: no attempt of
    /// the request was handed to an engine, or the engine itself refused it.
    NotRun,
    /// An engine may have started it; nobody can say.
    MayHaveRun,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, SerBin, DeBin, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCause {
    /// No such model or adapter.
    UnknownModel,
    /// No such group.
    UnknownGroup,
    /// The request is malformed.
    Invalid,
    /// The queue has no room.
    QueueFull,
    /// By the present estimate the answer would come after the deadline.
    DeadlineTooShort,
    /// The deadline passed while it waited.
    DeadlineExpired,
    /// No engine may hold the model now.
    NoReplica,
    /// The model is not loaded and cannot be loaded in time.
    LoadTooSlow,
    /// This node is not, or is no longer, the owner of the engine.
    NotOwner,
    /// The node or engine is leaving.
    Leaving,
    /// The engine failed or was cut off.
    EngineFailed,
    /// The owner node could not be reached.
    OwnerUnreachable,
    /// The idempotency key was used before.
    DuplicateKey,
    /// Whether the idempotency key was used before cannot be told now.
    KeyHistoryUnknown,
    /// The retries that the request may cost are used up.
    RetryBudgetExhausted,
}

/// A final answer that is not the model's.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the request had an effect.
    pub execution: Execution,
    /// Why it was refused.
    pub cause: RefusalCause,
    /// When it makes sense to come back, in milliseconds from now.
    pub retry_after_millis: u64,
}

impl Refusal {
    /// A refusal of a request that no engine has started.
    pub fn not_run(cause: RefusalCause, retry_after_millis: u64) -> Self {
        Self {
            execution: Execution::NotRun,
            cause,
            retry_after_millis,
        }
    }

    /// A failure after which nobody can say whether the request ran.
    pub fn may_have_run(cause: RefusalCause, retry_after_millis: u64) -> Self {
        Self {
            execution: Execution::MayHaveRun,
            cause,
            retry_after_millis,
        }
    }
}
