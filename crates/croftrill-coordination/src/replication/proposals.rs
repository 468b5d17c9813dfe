//! Proposing changes to the log.

use super::Replica;
use crate::revision_log::AppendOutcome;
use croftrill_state::cluster::ApplyError;
use croftrill_state::entry::{Change, LogEntry};
use croftrill_state::{EntryId, Revision, Term};

/// When to come back after too many lost races, in milliseconds.
const CONTENDED_RETRY_MILLIS: u64 = 1_000;

/// Result of a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposeOutcome {
    /// In force from this revision on.
    Applied(Revision),
    /// It has no effect: the state at its revision does not allow it.
    Rejected(ApplyError),
    /// It has no effect: it was made for one state and another entry came first.
    Stale {
        /// The present head.
        head: Revision,
    },
    /// The service refused or was not reached; the change has no effect.
    Unavailable {
        /// When to try again, in milliseconds.
        retry_after_millis: u64,
    },
    /// The change may be in force, or come into force.
    OutcomeUnknown,
}

/// Result of one offer of an entry.
enum Offer {
    Done(ProposeOutcome),
    Again,
}

impl Replica {
    /// Appends a change, at the first revision that nobody else takes. `term`
    /// is this node's term as coordinator, 0 if it is not one.
    pub async fn propose(&self, change: Change, term: Term) -> ProposeOutcome {
        let _turn = self.proposing.lock().await;
        let mut refreshed = false;
        for _ in 0..self.config.propose_attempts {
            let state = self.state();
            let entry = self.next_entry(state.revision, change.clone(), term);
            if let Err(error) = state.after(&entry) {
                // Our copy may only be behind: look once before saying no.
                if refreshed || !self.refresh(state.revision).await {
                    return ProposeOutcome::Rejected(error);
                }
                refreshed = true;
                continue;
            }
            match self.offer(&entry).await {
                Offer::Done(outcome) => return outcome,
                Offer::Again => {}
            }
        }
        ProposeOutcome::Unavailable {
            retry_after_millis: CONTENDED_RETRY_MILLIS,
        }
    }

    /// Appends a change that was made for the state at `base` and makes sense
    /// directly after it only.
    pub async fn propose_at(&self, base: Revision, change: Change, term: Term) -> ProposeOutcome {
        let _turn = self.proposing.lock().await;
        let state = self.state();
        if state.revision != base {
            return ProposeOutcome::Stale { head: state.revision };
        }
        let entry = self.next_entry(base, change, term);
        if let Err(error) = state.after(&entry) {
            return ProposeOutcome::Rejected(error);
        }
        match self.offer(&entry).await {
            Offer::Done(outcome) => outcome,
            Offer::Again => ProposeOutcome::Stale { head: self.head() },
        }
    }

    fn next_entry(&self, base: Revision, change: Change, term: Term) -> LogEntry {
        LogEntry {
            revision: base.next(),
            entry_id: EntryId(rand::random()),
            author: self.config.node.clone(),
            term,
            change,
        }
    }

    async fn offer(&self, entry: &LogEntry) -> Offer {
        match self.log.append(entry).await {
            AppendOutcome::Appended => {
                self.apply_entries(std::slice::from_ref(entry));
                Offer::Done(ProposeOutcome::Applied(entry.revision))
            }
            AppendOutcome::LostRace(winner) => {
                self.apply_entries(std::slice::from_ref(&*winner));
                // There may be many more; one listing brings them all.
                self.refresh(winner.revision).await;
                Offer::Again
            }
            AppendOutcome::Compacted { may_have_effect } => {
                self.refresh(entry.revision).await;
                if may_have_effect {
                    return Offer::Done(ProposeOutcome::OutcomeUnknown);
                }
                Offer::Again
            }
            AppendOutcome::Unavailable { retry_after_millis } => {
                Offer::Done(ProposeOutcome::Unavailable { retry_after_millis })
            }
            AppendOutcome::OutcomeUnknown => Offer::Done(ProposeOutcome::OutcomeUnknown),
        }
    }

    /// Reads the log; whether the head is later than `seen` afterwards.
    async fn refresh(&self, seen: Revision) -> bool {
        if let Err(error) = self.catch_up_from_log().await {
            log::debug!("log: not refreshed error=\"{error}\"");
        }
        self.head() > seen
    }
}
