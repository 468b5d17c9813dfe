//! What happens to a request while every holder of its model is full.
//!
//! A replica's own queue ranks what lies in it, whichever node sent it; so a request that
//! ranks before others of its service goes there and passes them, unless a full replica has
//! turned it away already. Others queue there as long as they can still be in time. One
//! that has time to spare waits at its node instead: it takes no place before an urgent
//! request of another node, and makes no running stream give way. One that will be late
//! takes only a place that is free, so that it makes no other one late. What cannot be
//! served while its caller waits is refused at its first look, with the time at which a
//! place should be free.

use std::time::Duration;

use crate::admission::{return_after_rest, LONGEST_HOLD, RETURN_PART};

/// What is known of a request that finds all holders full.
#[derive(Debug, Clone, Copy)]
pub struct FullRequest {
    /// Time since the request arrived.
    pub waited: Duration,
    /// Expected time until a holder begins to run what is sent there now.
    pub starts_in: Duration,
    /// Expected time from then to the first event.
    pub first_event_after: Duration,
    /// The route's objective.
    pub objective: Duration,
    /// Time from arrival to when the caller or the route ends it.
    pub patience: Duration,
    /// Time that is left of the caller's deadline.
    pub left: Duration,
    /// True if no request of the service is more urgent.
    pub is_most_urgent: bool,
    /// True if it is the most urgent, others of the service are less so, and no replica was
    /// sent it yet: it passes the others in a replica's queue.
    pub passes_others: bool,
}

/// What to do with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FullDecision {
    /// Send it: it queues at the replica, by its rank.
    Send,
    /// Wait at the node for a free place.
    Wait,
    /// Refuse it now; the caller should come back after this time.
    Refuse {
        /// Time after which a place should be free for it.
        come_back_after: Duration,
    },
}

/// One part in so many of a request's objective is kept for a replica's queue: it goes there
/// before it has less time left.
const KEPT_FOR_QUEUE: u32 = 4;

impl FullRequest {
    /// When its first event would come if it were sent now, counted from its arrival.
    fn served_at(&self) -> Duration {
        self.waited + self.starts_in + self.first_event_after
    }

    /// True if more urgent requests may go first and it is still in time.
    fn can_spare_a_wait(&self) -> bool {
        !self.is_most_urgent && self.served_at() + self.objective / KEPT_FOR_QUEUE < self.objective
    }
}

/// Decides about a request whose holders are all full. `rank`: 0 is the most urgent;
/// `unit`: of this request, evenly spread from 0 to 1.
pub fn decide_full(request: &FullRequest, rank: u8, unit: f64) -> FullDecision {
    let is_in_time = request.served_at() <= request.objective;
    if request.passes_others || (is_in_time && !request.can_spare_a_wait()) {
        return FullDecision::Send;
    }
    let longest_hold = request.patience.mul_f64(LONGEST_HOLD);
    if request.waited + request.starts_in <= longest_hold {
        return FullDecision::Wait;
    }
    FullDecision::Refuse {
        come_back_after: return_after_rest(request.starts_in, rank, unit).min(request.left / RETURN_PART),
    }
}
