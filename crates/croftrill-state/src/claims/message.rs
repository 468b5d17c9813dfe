//! Messages about claims, between gateways and holders.

use crate::identifiers::{IdempotencyKey, NodeId, RequestId, Revision};
use nanoserde::{DeBin, SerBin};

/// Asks the holder of a key for the right to run an unrepeatable request.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ClaimRequest {
    /// The key.
    pub key: IdempotencyKey,
    /// The request that claims it. Asking again with the same one is safe until
    /// its end was reported, and never after.
    pub request: RequestId,
    /// The revision of the ring by which the holder was chosen.
    pub revision: Revision,
}

/// The holder's answer.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum ClaimOutcome {
    /// The request, and no other, may be dispatched, once.
    Granted,
    /// Another request holds the key and runs or ran, or this request already
    /// reported its end.
    Taken {
        /// The request that holds the key.
        by: RequestId,
        /// Whether it is known to have finished.
        finished: bool,
    },
    /// The holder may not know the key's history; it must not run.
    HistoryUnknown {
        /// Until the holder knows, in milliseconds.
        retry_after_millis: u64,
    },
    /// The caller chose the holder by another ring; whoever is behind should
    /// catch up to the other's revision and the caller ask again.
    WrongHolder {
        /// The revision of the holder's ring.
        revision: Revision,
    },
}

/// How a claimed request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum ClaimResult {
    /// It ran and its answer is whole.
    Finished,
    /// It provably did not run; the key is free for other requests.
    NotRun,
    /// Nobody can say whether it ran; the key stays taken.
    Unknown,
}

/// What became of the report of a claim's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum FinishOutcome {
    /// Recorded, or nothing to record.
    Recorded,
    /// This node does not hold the key now; ask the holder again later.
    NotHolder,
}

/// A key and what its holder knows of it; moved when the holder changes.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ClaimRecord {
    /// The key.
    pub key: IdempotencyKey,
    /// The request that claimed it.
    pub request: RequestId,
    /// Its end, if known.
    pub result: Option<ClaimResult>,
    /// Milliseconds since the grant or the report of its end, the later one.
    pub age_millis: u64,
}

/// Moves records of keys to their new holder after a change of the ring.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ClaimHandOver {
    /// The former holder.
    pub from: NodeId,
    /// The ring by which it held the keys.
    pub from_revision: Revision,
    /// The ring by which the receiver holds them.
    pub to_revision: Revision,
    /// The receiving process; 0 to ask for it.
    pub to_instance: u64,
    /// A part of the records.
    pub records: Vec<ClaimRecord>,
    /// Set on the last part.
    pub end: Option<HandOverEnd>,
}

/// The end of a hand-over.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct HandOverEnd {
    /// Distinct keys in all parts.
    pub total: u64,
    /// Whether the former holder knew the whole history of its keys.
    pub complete: bool,
}

/// The new holder's answer to a part of a hand-over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum HandOverOutcome {
    /// The part is recorded.
    Recorded,
    /// The part was meant for another process; the receiving one is this.
    OtherInstance {
        /// The receiving process.
        instance: u64,
    },
    /// Parts before this one are missing; start again.
    Incomplete,
    /// The receiver has not learned of the ring yet.
    TryLater,
    /// The receiver cannot use it: it does not know the change of rings, or has
    /// no room.
    Rejected,
}
