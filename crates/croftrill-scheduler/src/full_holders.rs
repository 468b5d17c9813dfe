//! Admission of requests while every holder of their model is full.
//!
//! A request that cannot be served within its caller's time is refused at the first decision, with
//! the time at which a slot should be free. Any other request is served. A replica's queue orders
//! requests by rank, whichever node sent them. So one of the most urgent requests of its service is
//! sent, unless a full replica has already rejected it, and overtakes the less urgent ones there.
//! Any other request waits at its node, where it takes no place in a queue from an urgent request of
//! another node and makes no running stream yield, until a slot is free. It is sent to a replica's
//! queue when that leaves no more time to wait.

use std::time::Duration;

use crate::admission::{retry_after_cooldown, CallerTime, RemainingWork};

/// What is known about a request whose holders are all full.
#[derive(Debug, Clone, Copy)]
pub struct FullRequest {
    /// The time that its caller has left.
    pub time: CallerTime,
    /// What is left to do; it is ready when a holder starts a request that is sent now.
    pub work: RemainingWork,
    /// True if no request of the service is more urgent.
    pub is_most_urgent: bool,
    /// True if other requests of the service are less urgent.
    pub has_less_urgent: bool,
    /// True if a full replica has rejected it.
    pub was_rejected: bool,
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

/// A replica's queue may take longer than expected by this factor.
const QUEUE_TIME_FACTOR: u32 = 2;

impl FullRequest {
    /// Returns whether the request may take a place in a replica's queue before its time runs out.
    fn may_queue(&self) -> bool {
        self.is_most_urgent && !self.was_rejected
    }

    /// Returns whether the request will still be served if it waits, even if the queue then takes
    /// longer than expected.
    fn can_wait_longer(&self) -> bool {
        self.time.allows(&RemainingWork {
            ready_in: self.work.ready_in * QUEUE_TIME_FACTOR,
            ..self.work
        })
    }
}

/// Decides on a request whose holders are all full. `rank` 0 is the most urgent; `unit` is the
/// request's uniform sample from 0 to 1.
pub fn decide_full(request: &FullRequest, rank: u8, unit: f64) -> FullDecision {
    // It overtakes the others, so it starts sooner than expected.
    if request.may_queue() && request.has_less_urgent {
        return FullDecision::Send;
    }
    if !request.time.allows(&request.work) {
        let retry_after = retry_after_cooldown(request.work.ready_in, rank, unit);
        return FullDecision::Refuse {
            come_back_after: retry_after.min(request.time.max_retry_after()),
        };
    }
    if request.may_queue() || !request.can_wait_longer() {
        return FullDecision::Send;
    }
    FullDecision::Wait
}
