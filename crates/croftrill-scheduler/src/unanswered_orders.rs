//! Orders to one replica that got no answer, and may be carried out in a later life of it.
//!
//! An order names the sequence that it expects. In the life in which it was checked, that is the state
//! against which it was checked, so it fits. A replica that starts again under its id counts from the
//! start: in that life the same sequence is another state. What such an order would take counts as
//! taken there, until the sequence has reached it, its answer has come, or it is too old to be carried
//! out. One that expects the present sequence was counted by the order that led there, and the next
//! order, which names the same, can only be carried out in its place.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::catalog::EngineSpec;
use crate::replica::{Holdings, Incarnation, Order, OrderOutcome, StartedMs};
use crate::replica_room::RoomUse;
use crate::time::Moment;

/// Time after which an order without an answer is not carried out any more: replicas do so seconds
/// late.
pub const UNANSWERED_ORDER_LIFETIME: Duration = Duration::from_secs(15);

/// Difference that is allowed for between the times of day of a replica and of a node.
pub const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(5);

/// The life of a replica that an order was sent to, by its start.
pub type Life = Option<StartedMs>;

/// What is known of orders that other machines sent before this orderer took over, in Unix
/// milliseconds of the replicas' clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OthersOrders {
    /// Time since which such orders may have been sent that can still be carried out.
    sent_since_ms: StartedMs,
    /// Time since which this node surely knows of all lives of all replicas.
    lives_known_since_ms: StartedMs,
}

impl OthersOrders {
    /// Creates what is known at a node whose time of day is `unix_time`, and which has known all replicas
    /// for `known_for`.
    pub fn before(unix_time: Duration, known_for: Duration) -> Self {
        let sent_since = unix_time.saturating_sub(UNANSWERED_ORDER_LIFETIME + MAX_CLOCK_DIFFERENCE);
        let lives_known_since = unix_time.saturating_sub(known_for) + MAX_CLOCK_DIFFERENCE;
        OthersOrders {
            sent_since_ms: sent_since.as_millis() as u64,
            lives_known_since_ms: lives_known_since.as_millis() as u64,
        }
    }

    /// Returns true if such orders to a former life may be carried out in the life that started at
    /// `started_ms`. `has_former_life` is true if one is known.
    pub fn may_reach(&self, started_ms: StartedMs, has_former_life: bool) -> bool {
        let may_have_former_life = has_former_life || started_ms <= self.lives_known_since_ms;
        started_ms >= self.sent_since_ms && may_have_former_life
    }
}

#[derive(Debug, Clone)]
struct UnansweredOrder {
    order: Order,
    expected_sequence: u64,
    life: Life,
    sent_at: Moment,
    /// True until the order has an outcome, be it that no answer came.
    is_in_flight: bool,
}

/// Orders to one replica that got no answer.
#[derive(Debug, Clone, Default)]
pub struct UnansweredOrders {
    orders: Vec<UnansweredOrder>,
    /// Time until which orders of others may be carried out that are not known here.
    unknown_until: Option<Moment>,
}

impl UnansweredOrders {
    /// Records that an order is being sent.
    pub fn record_sent(&mut self, order: Order, expected_sequence: u64, life: Life, now: Moment) {
        self.orders.push(UnansweredOrder {
            order,
            expected_sequence,
            life,
            sent_at: now,
            is_in_flight: true,
        });
    }

    /// Records the outcome of the order that was sent to this life last.
    pub fn record_outcome(&mut self, life: Life, outcome: OrderOutcome) {
        let is_it = |order: &UnansweredOrder| order.is_in_flight && order.life == life;
        let Some(index) = self.orders.iter().position(is_it) else {
            return;
        };
        if outcome == OrderOutcome::Unknown {
            self.orders[index].is_in_flight = false;
        } else {
            self.orders.remove(index);
        }
    }

    /// Notes that the replica may get orders until `until` that others sent to a former life of it.
    pub fn assume_unknown_until(&mut self, until: Moment) {
        self.unknown_until = self.unknown_until.max(Some(until));
    }

    /// Removes what can have no effect any more.
    pub fn prune(&mut self, now: Moment) {
        self.orders
            .retain(|order| now.since(order.sent_at) < UNANSWERED_ORDER_LIFETIME);
        self.unknown_until = self.unknown_until.filter(|until| now < *until);
    }

    /// Returns true if nothing is known or assumed.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty() && self.unknown_until.is_none()
    }

    /// Returns the room that orders to former lives may take beside `holdings` and the next order in the
    /// life `life`. Of several that expect the same sequence only one can be carried out, and one whose effect is there
    /// already takes nothing. Of those that are not known, one of the largest is assumed, as far as the
    /// replica can load any model beside it.
    pub fn room_use(&self, engine: &EngineSpec, life: Life, holdings: &Holdings) -> RoomUse {
        if self.is_empty() {
            return RoomUse::default();
        }
        let mut by_sequence: BTreeMap<u64, RoomUse> = BTreeMap::new();
        for order in &self.orders {
            let is_of_former_life = Incarnation::of(life, order.life) == Incarnation::Later;
            let is_possible = is_of_former_life && order.expected_sequence > holdings.sequence;
            if is_possible && !order.order.holds_in(holdings) {
                let taken = by_sequence.entry(order.expected_sequence).or_default();
                *taken = taken.max(RoomUse::of_order(engine, &order.order));
            }
        }
        let unknown = self.unknown_until.map(|_| {
            let largest = RoomUse::of_largest_order(engine);
            largest.min(largest.left_beside(engine))
        });
        by_sequence.into_values().chain(unknown).sum()
    }
}
