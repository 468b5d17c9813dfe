//! Proposing changes to the log.

use super::Replica;
use crate::revision_log::AppendOutcome;
use croftrill_state::cluster::ApplyError;
use croftrill_state::entry::{Change, LogEntry};
use croftrill_state::{EntryId, Revision, Term};
use std::time::Duration;

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

/// What is left of the time that one proposal waits for the rate limit.
struct Patience {
    left_millis: u64,
}

impl Patience {
    /// Waits as long as the service asks for, or tells that it is too long.
    async fn wait(&mut self, asked_millis: u64) -> bool {
        let pause = asked_millis.max(1);
        if pause > self.left_millis {
            return false;
        }
        self.left_millis -= pause;
        tokio::time::sleep(Duration::from_millis(pause)).await;
        true
    }
}

impl Replica {
    /// Appends a change, at the first revision that nobody else takes. `term`
    /// is this node's term as coordinator, 0 if it is not one. The log is read
    /// first: while the service is away nothing is offered, so that the refusal
    /// is certain.
    pub async fn propose(&self, change: Change, term: Term) -> ProposeOutcome {
        let _turn = self.proposing.lock().await;
        let mut refreshed = false;
        let mut patience = Patience {
            left_millis: self.config.propose_patience_millis,
        };
        if let Err(retry_after_millis) = self.read_patiently(&mut patience).await {
            return ProposeOutcome::Unavailable { retry_after_millis };
        }
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
                Offer::Done(ProposeOutcome::Unavailable { retry_after_millis }) => {
                    if !patience.wait(retry_after_millis).await {
                        return ProposeOutcome::Unavailable { retry_after_millis };
                    }
                }
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

    /// Reads the log; when to come back if it cannot be read, in milliseconds.
    async fn read_patiently(&self, patience: &mut Patience) -> Result<(), u64> {
        loop {
            let Err(error) = self.catch_up_from_log().await else {
                return Ok(());
            };
            let retry_after_millis = self.log.retry_after_read(&error);
            if !patience.wait(retry_after_millis).await {
                log::debug!("log: nothing proposed, log not read error=\"{error}\"");
                return Err(retry_after_millis);
            }
        }
    }

    fn next_entry(&self, base: Revision, change: Change, term: Term) -> LogEntry {
        LogEntry {
            revision: base.next(),
            entry_id: EntryId(self.random.unique()),
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
