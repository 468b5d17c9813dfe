//! Which failures of an attempt another attempt may mend. Pure.

use croftrill_state::outcome::RefusalCause;

/// What may follow a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Nothing; the failure is the answer.
    GiveUp,
    /// Another engine may do better; the same one would not.
    OtherEngine,
    /// Another engine, or after a pause the same one.
    AnyEngine,
}

/// What may follow a failure of a request that may be repeated.
pub fn next_step(cause: RefusalCause) -> NextStep {
    match cause {
        RefusalCause::Invalid
        | RefusalCause::DeadlineExpired
        | RefusalCause::DuplicateKey
        | RefusalCause::KeyHistoryUnknown
        | RefusalCause::RetryBudgetExhausted => NextStep::GiveUp,
        // An owner may know another revision than the gateway.
        RefusalCause::UnknownModel | RefusalCause::UnknownGroup => NextStep::OtherEngine,
        RefusalCause::QueueFull
        | RefusalCause::DeadlineTooShort
        | RefusalCause::NoReplica
        | RefusalCause::LoadTooSlow => NextStep::OtherEngine,
        RefusalCause::NotOwner
        | RefusalCause::Leaving
        | RefusalCause::EngineFailed
        | RefusalCause::OwnerUnreachable => NextStep::AnyEngine,
    }
}

/// Whether a refusal shows that the engine does not hold the model now.
pub fn shows_not_loaded(cause: RefusalCause) -> bool {
    matches!(
        cause,
        RefusalCause::NoReplica
            | RefusalCause::LoadTooSlow
            | RefusalCause::NotOwner
            | RefusalCause::Leaving
            | RefusalCause::EngineFailed
            | RefusalCause::OwnerUnreachable
            | RefusalCause::UnknownModel
    )
}
