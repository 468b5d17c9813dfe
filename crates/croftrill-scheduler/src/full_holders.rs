//! Admission of requests while every holder of their model is full.
//!
//! A replica's queue orders requests by rank, whichever node sent them. So a request that is more
//! urgent than others of its service is sent and overtakes them there, unless a full replica has
//! already rejected it. Other requests are sent as long as they can still meet their objective. A
//! request with time to spare waits at its node instead, where it neither takes a slot ahead of
//! an urgent request of another node nor makes a running stream yield. A request that will be
//! late only takes a free slot, so that it makes no other request late. A request that cannot be
//! served within its caller's patience is refused at the first decision, with the time at which a
//! slot should be free.

use std::time::Duration;

use crate::admission::{retry_after_cooldown, RETRY_DIVISOR};

/// What is known about a request whose holders are all full.
#[derive(Debug, Clone, Copy)]
pub struct FullRequest {
    /// Time since the request arrived.
    pub waited: Duration,
    /// Expected time until a holder starts a request that is sent now.
    pub starts_in: Duration,
    /// Expected time from then to the first event.
    pub first_event_after: Duration,
    /// The route's objective.
    pub objective: Duration,
    /// Time from arrival until the caller or the route ends the request.
    pub patience: Duration,
    /// Time left until the caller's deadline.
    pub left: Duration,
    /// True if no request of the service is more urgent.
    pub is_most_urgent: bool,
    /// True if it is among the most urgent requests of the service, others are less urgent, and
    /// it was not sent to a replica yet: it overtakes the others in a replica's queue.
    pub overtakes_others: bool,
}

/// The decision on such a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FullDecision {
    /// Send it; the replica queues it by rank.
    Send,
    /// Wait at the node for a free slot.
    Wait,
    /// Refuse it now; the caller should retry after this time.
    Refuse {
        /// Time after which a slot should be free for it.
        come_back_after: Duration,
    },
}

/// Maximum fraction of the caller's patience for which a request is held.
const MAX_HOLD_FRACTION: f64 = 0.45;
/// A request is sent before the time left of its objective falls below the objective divided by
/// this, which leaves that time for a replica's queue.
const QUEUE_MARGIN_DIVISOR: u32 = 4;

impl FullRequest {
    /// Returns the time from arrival to the first event if the request were sent now.
    fn served_at(&self) -> Duration {
        self.waited + self.starts_in + self.first_event_after
    }

    /// Returns true if more urgent requests may go first and this one still meets its objective.
    fn can_wait_at_node(&self) -> bool {
        !self.is_most_urgent && self.served_at() + self.objective / QUEUE_MARGIN_DIVISOR < self.objective
    }
}

/// Decides on a request whose holders are all full. `rank` 0 is the most urgent; `unit` is the
/// request's uniform sample from 0 to 1.
pub fn decide_full(request: &FullRequest, rank: u8, unit: f64) -> FullDecision {
    let is_in_time = request.served_at() <= request.objective;
    if request.overtakes_others || (is_in_time && !request.can_wait_at_node()) {
        return FullDecision::Send;
    }
    let max_hold = request.patience.mul_f64(MAX_HOLD_FRACTION);
    if request.waited + request.starts_in <= max_hold {
        return FullDecision::Wait;
    }
    FullDecision::Refuse {
        come_back_after: retry_after_cooldown(request.starts_in, rank, unit)
            .min(request.left / RETRY_DIVISOR),
    }
}
