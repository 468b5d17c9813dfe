//! The evidence against one suspect, and whether its requests may be sent.

use std::collections::BTreeSet;
use std::time::Duration;

use super::suspect_id::{EndedReplica, PartHash};
use crate::time::Moment;

/// Number of blamed ends at which a request is refused: users accept that three replicas
/// end under one request.
const BLAMED_ENDS_TO_REFUSE: usize = 3;
/// Total number of ends at which a request is refused, whichever other requests were there.
/// Two crashing requests that always run together would shield one another, and users
/// accept three sends after the third end.
const TOTAL_ENDS_TO_REFUSE: usize = 5;
/// Number of ends at which a request is held back if it alone had the most ends at these
/// replicas. A crash costs all streams of a replica, while two independent ends within the
/// first seconds of both runs of an innocent request are rare.
pub(super) const ENDS_TO_HOLD: usize = 2;
/// Number of moments of blamed ends at which the requests with a part are held back.
pub(super) const MOMENTS_TO_HOLD_PART: usize = 3;
/// The same if this node saw requests with the part answered. It may have become the cause since, so
/// it is only a weaker suspect.
const MOMENTS_TO_HOLD_ANSWERED_PART: usize = 5;
/// Number of ends up to which a part is tried to tell it from others that ran at just the same
/// replicas: users accept three sends more after the fifth end, and one may be under way.
const ENDS_TO_TELL_APART: usize = 7;
/// Number of ends from which on the requests with a part are refused: users accept three sends more
/// after the fifth end.
const PART_ENDS_TO_REFUSE: usize = 8;
/// Time after its newest end until a part that is blamed is tried again by one request.
const FIRST_RETRIAL_DELAY: Duration = Duration::from_secs(60);
/// Factor by which each further end lengthens this time.
const RETRIAL_DELAY_FACTOR: u32 = 4;
/// How long such a request is held back, so that an innocent one is served eventually. Twice
/// the longest time that callers of the known routes wait (15 s): a crashing request that its
/// caller keeps retrying ends no third replica meanwhile.
pub const HOLD_DURATION: Duration = Duration::from_secs(30);
/// Maximum number of requests that had just started at an ended replica for which each is
/// sent one at a time. Of more requests each is hardly suspect, and they would cause many
/// store calls: a rack of full replicas leaves hundreds of requests.
const MAX_STARTED_FOR_ONE_AT_A_TIME: usize = 8;

/// Whether a request may be sent, by one suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be sent.
    Free,
    /// The request may be sent unless another copy of it has just been sent.
    OneAtATime,
    /// A request with the part may be sent if it is known that no other one runs.
    Retrial,
    /// The request may be sent after this time.
    Held(Duration),
    /// The request is not sent any more.
    Refused,
}

/// Merged evidence of all reports against one suspect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// Replicas that ended under the suspect, without those of which it was cleared.
    pub ends: BTreeSet<EndedReplica>,
    /// Number of these replicas at which no other suspect ranked higher.
    pub blamed: usize,
    /// Number of moments at which the replicas ended that count as blamed.
    pub blamed_moments: usize,
    /// Number of these replicas at which every other suspect ranked lower.
    pub alone: usize,
    /// Minimum over these replicas of the number of requests that had just started there.
    pub fewest_started: usize,
    /// When the newest end became known to this node.
    pub known_at: Moment,
    /// Other parts that ran at just these replicas, so that any of them may be the cause.
    pub company: Vec<PartHash>,
}

impl Suspect {
    /// Returns the verdict on requests, if the suspect is a request.
    pub(super) fn verdict_on_request(&self, now: Moment) -> Verdict {
        if self.blamed >= BLAMED_ENDS_TO_REFUSE || self.ends.len() >= TOTAL_ENDS_TO_REFUSE {
            return Verdict::Refused;
        }
        let held_for = now.since(self.known_at);
        if self.alone >= ENDS_TO_HOLD && held_for < HOLD_DURATION {
            return Verdict::Held(HOLD_DURATION - held_for);
        }
        if self.ends.len() >= ENDS_TO_HOLD || self.fewest_started <= MAX_STARTED_FOR_ONE_AT_A_TIME {
            return Verdict::OneAtATime;
        }
        Verdict::Free
    }

    /// Returns the verdict on the requests that hold the suspect, if that is a part.
    pub(super) fn verdict_on_part(&self, was_answered: bool, now: Moment) -> Verdict {
        let moments_to_hold = if was_answered {
            MOMENTS_TO_HOLD_ANSWERED_PART
        } else {
            MOMENTS_TO_HOLD_PART
        };
        if self.blamed_moments < moments_to_hold {
            return Verdict::Free;
        }
        self.verdict_on_blamed_part(now)
    }

    /// Returns whether a prompt with these parts tells the suspect, a part, from its company.
    pub(super) fn is_told_apart_by(&self, prompt: &[PartHash]) -> bool {
        let mut company = self.company.iter();
        self.ends.len() < ENDS_TO_TELL_APART && company.any(|other| !prompt.contains(other))
    }

    fn verdict_on_blamed_part(&self, now: Moment) -> Verdict {
        if self.ends.len() >= PART_ENDS_TO_REFUSE {
            return Verdict::Refused;
        }
        let further_ends = self.ends.len().saturating_sub(MOMENTS_TO_HOLD_PART) as u32;
        let delay = FIRST_RETRIAL_DELAY * RETRIAL_DELAY_FACTOR.pow(further_ends);
        let held_for = now.since(self.known_at);
        if held_for < delay {
            return Verdict::Held(delay - held_for);
        }
        Verdict::Retrial
    }
}
