//! Hand-overs that this node still owes to new holders.

use super::message::{ClaimHandOver, ClaimRecord, HandOverEnd, HandOverOutcome};
use super::records::Claim;
use crate::identifiers::{IdempotencyKey, NodeId, Revision};
use crate::time::Instant;

/// Records in one part of a hand-over.
pub const HAND_OVER_PART: usize = 500;

/// The records that one node gets by one change of the ring.
#[derive(Debug)]
pub(super) struct OutgoingHandOver {
    pub(super) target: NodeId,
    pub(super) from_revision: Revision,
    pub(super) to_revision: Revision,
    pub(super) complete: bool,
    pub(super) records: Vec<(IdempotencyKey, Claim)>,
    pub(super) started_at: Instant,
    pub(super) progress: Progress,
}

/// How far a hand-over is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Progress {
    /// The receiving process; 0 until it is known.
    instance: u64,
    /// Records that the receiver has.
    sent: usize,
    /// Whether the last part was sent, answered or not.
    end_sent: bool,
    /// Whether nothing more is to be sent.
    pub(super) over: bool,
}

impl OutgoingHandOver {
    /// The next part to send.
    pub(super) fn next_part(&mut self, from: &NodeId, now: Instant) -> ClaimHandOver {
        let rest = &self.records[self.progress.sent..];
        let asking = self.progress.instance == 0;
        let count = if asking { 0 } else { rest.len().min(HAND_OVER_PART) };
        let last = !asking && count == rest.len();
        let records = rest[..count]
            .iter()
            .map(|(key, claim)| ClaimRecord {
                key: key.clone(),
                request: claim.request,
                result: claim.result,
                age_millis: now.millis_since(claim.changed_at),
            })
            .collect();
        // From here on the receiver may use it, even if its answer is lost.
        self.progress.end_sent |= last;
        ClaimHandOver {
            from: from.clone(),
            from_revision: self.from_revision,
            to_revision: self.to_revision,
            to_instance: self.progress.instance,
            records,
            end: last.then_some(HandOverEnd {
                total: self.records.len() as u64,
                complete: self.complete,
            }),
        }
    }

    /// Takes the receiver's answer to a part.
    pub(super) fn take_outcome(&mut self, part: &ClaimHandOver, outcome: HandOverOutcome) {
        match outcome {
            HandOverOutcome::Recorded => {
                self.progress.sent += part.records.len();
                self.progress.over = part.end.is_some();
            }
            HandOverOutcome::OtherInstance { instance } => self.restart_with(instance),
            HandOverOutcome::Incomplete => self.progress.sent = 0,
            HandOverOutcome::TryLater => {}
            HandOverOutcome::Rejected => self.progress.over = true,
        }
    }

    fn restart_with(&mut self, instance: u64) {
        // The process before may have granted keys after it got the end, and
        // took that knowledge with it.
        if self.progress.end_sent {
            self.progress.over = true;
            return;
        }
        self.progress.instance = instance;
        self.progress.sent = 0;
    }
}
