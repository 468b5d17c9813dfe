//! Orders to one replica that got no answer, and may be carried out in a later life of it.
//!
//! An order names the sequence that it expects. In the life in which it was checked, that is the state
//! against which it was checked, so it fits. A replica that starts again under its id counts from the
//! start: in that life the same sequence is another state. What such an order would take counts as
//! taken there, until the sequence has passed it, its answer has come, or it is too old to be carried
//! out.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::catalog::EngineSpec;
use crate::replica::{Incarnation, Order, OrderOutcome, StartedMs};
use crate::replica_room::RoomUse;
use crate::time::Moment;

/// Time after which an order without an answer is not carried out any more: replicas do so seconds
/// late.
pub const UNANSWERED_ORDER_LIFETIME: Duration = Duration::from_secs(30);

/// The life of a replica that an order was sent to, by its start.
pub type Life = Option<StartedMs>;

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

    /// Returns the room that orders to former lives may take in the life `life`, which is at
    /// `sequence`. Of several that expect the same sequence only one can be carried out. Of those that
    /// are not known, the largest possible one is assumed.
    pub fn room_use(&self, engine: &EngineSpec, life: Life, sequence: u64) -> RoomUse {
        let mut by_sequence: BTreeMap<u64, RoomUse> = BTreeMap::new();
        for order in &self.orders {
            let is_of_former_life = Incarnation::of(life, order.life) == Incarnation::Later;
            if is_of_former_life && order.expected_sequence >= sequence {
                let taken = by_sequence.entry(order.expected_sequence).or_default();
                *taken = taken.max(RoomUse::of_order(engine, &order.order));
            }
        }
        let unknown = self.unknown_until.map(|_| RoomUse::of_largest_order(engine));
        by_sequence.into_values().chain(unknown).sum()
    }
}
