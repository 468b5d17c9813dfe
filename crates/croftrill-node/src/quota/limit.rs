//! Questions about limits that replicas named.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use croftrill_scheduler::quota::keeper::ReservationDecision;
use croftrill_scheduler::quota::keepers::QuotaPartition;
use croftrill_scheduler::quota::limits::{LimitRequest, ReportedLimit};
use croftrill_scheduler::replica::StartedMs;
use croftrill_scheduler::time::Moment;
use rand::Rng;

use super::part_keeper::PartKeeper;
use super::wire::{ToKeeper, WireLimitAsk};
use super::{Credit, Question, Quotas, Uplink, ANSWER_LIMIT, LINK_PATIENCE};

/// Time after its last question for which a node keeps its link to a keeper of limits: a
/// link costs a message a second, and a new one a few milliseconds of the next request.
const WANTED_FOR: Duration = Duration::from_secs(10);

/// A call that wants to go to a replica that named a limit.
#[derive(Debug, Clone, Copy)]
pub struct LimitAsk<'a> {
    /// The replica.
    pub replica: &'a Arc<str>,
    /// When the incarnation started that named it.
    pub started_ms: Option<StartedMs>,
    /// The limit as this node heard it.
    pub limit: ReportedLimit,
    /// What the call wants.
    pub want: LimitRequest,
    /// Number of nodes that are listed.
    pub nodes: usize,
}

/// Whether the call may go.
#[derive(Debug)]
pub enum LimitVerdict {
    /// It may, after this time. The place goes back unless the credit is spent; a turn of
    /// this node alone has none.
    Granted(Option<Credit>, Duration),
    /// The replica takes no more now.
    Refused {
        /// Time until it would be this call's turn, of all nodes' calls.
        retry_after: Duration,
    },
}

impl Question for LimitAsk<'_> {
    fn subject(&self) -> &Arc<str> {
        self.replica
    }

    fn cost(&self) -> u64 {
        1
    }

    fn message(&self, id: u64, now: Moment) -> ToKeeper {
        ToKeeper::AskLimit(WireLimitAsk {
            id,
            replica: self.replica.to_string(),
            started_ms: self.started_ms,
            limit_millis_per_s: self.limit.rate.millis_per_s(),
            heard_ms_ago: now.since(self.limit.received_at).as_millis() as u64,
            patience_ms: self.want.patience.as_millis() as u32,
            is_urgent: self.want.is_urgent,
        })
    }

    fn ask_here(&self, keeper: &mut PartKeeper, now: Moment) -> Option<ReservationDecision> {
        let PartKeeper::Limits(keeper) = keeper else {
            return None;
        };
        Some(keeper.reserve(self.replica, self.started_ms, self.limit, self.want, now))
    }
}

impl Quotas {
    /// Asks whether a call may go to a replica that named a limit. Where no keeper is
    /// reached in the time that the call has, this node's own turns decide.
    pub async fn ask_limit(self: &Rc<Self>, ask: LimitAsk<'_>) -> LimitVerdict {
        let part = QuotaPartition::of_replica(ask.replica);
        let now = self.clock.now();
        let state = &self.parts[part.index()];
        state.limit_asked_at.set(Some(now));
        state.limit_wanted.notify_one();
        let give_up = now + ask.want.patience.clamp(ANSWER_LIMIT, LINK_PATIENCE);
        let decision = if self.is_alone(part) {
            None
        } else {
            self.ask_keeper(part, &ask, give_up).await
        };
        let Some(decision) = decision else {
            return self.own_turn(&ask);
        };
        match decision {
            ReservationDecision::Granted { after } => {
                LimitVerdict::Granted(Some(self.granted(part, &ask, after)), after)
            }
            ReservationDecision::Refused { retry_after, .. } => LimitVerdict::Refused { retry_after },
        }
    }

    /// True if this node reaches no keeper of the part, and is none.
    fn is_alone(&self, part: QuotaPartition) -> bool {
        let state = &self.parts[part.index()];
        matches!(*state.uplink.borrow(), Uplink::Own) && !state.is_keeper.get()
    }

    fn own_turn(&self, ask: &LimitAsk<'_>) -> LimitVerdict {
        let unit = rand::rng().random_range(0.0..1.0);
        let mut turns = self.standalone_reservations.borrow_mut();
        let now = self.clock.now();
        match turns.reserve(
            ask.replica,
            ask.limit.rate,
            ask.nodes,
            unit,
            ask.want.patience,
            now,
        ) {
            ReservationDecision::Granted { after } => LimitVerdict::Granted(None, after),
            ReservationDecision::Refused { retry_after, .. } => LimitVerdict::Refused { retry_after },
        }
    }

    /// True if calls lately asked for a limit of the part.
    pub(super) fn is_limit_wanted(&self, part: QuotaPartition) -> bool {
        let asked_at = self.parts[part.index()].limit_asked_at.get();
        asked_at.is_some_and(|asked_at| self.clock.now().since(asked_at) < WANTED_FOR)
    }
}
