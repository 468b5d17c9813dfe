//! Orders of the ledger's orderer, and what their outcomes say of the replica.

use std::time::Duration;

use super::{LedgerChange, Pending, Progress, ReplicaLedger};
use crate::replica::{Order, OrderOutcome};
use crate::time::Moment;

impl ReplicaLedger {
    /// Records that an order is being sent. Returns the sequence that the order must name.
    pub fn begin_order(&mut self, order: Order, now: Moment) -> u64 {
        self.pending = Some(Pending {
            order,
            sent_at: now,
            progress: Progress::Sent,
        });
        self.holdings.sequence
    }

    /// Records the outcome of the pending order. `expected_in` is the time until its
    /// effect if it was accepted.
    pub fn record_outcome(
        &mut self,
        outcome: OrderOutcome,
        expected_in: Duration,
        now: Moment,
    ) -> LedgerChange {
        let Some(mut pending) = self.pending.take() else {
            return LedgerChange::None;
        };
        match outcome {
            OrderOutcome::Accepted if matches!(pending.order, Order::LoadAdapter(..)) => {
                self.holdings.sequence += 1;
                self.own_adapters.extend(pending.order.model_adapter());
                self.begin_transit(&pending.order, now + expected_in, now);
                LedgerChange::Done(pending.order)
            }
            OrderOutcome::Accepted => {
                self.holdings.sequence += 1;
                self.forget_own_adapter(&pending.order);
                pending.progress = Progress::Accepted {
                    expected_at: now + expected_in,
                };
                self.next_report_at = now + expected_in.max(self.config.poll_interval);
                self.pending = Some(pending);
                LedgerChange::Holdings
            }
            OrderOutcome::AlreadyHolds => {
                self.complete_at_once(&pending.order, now);
                LedgerChange::Done(pending.order)
            }
            OrderOutcome::Unknown => {
                self.forget_own_adapter(&pending.order);
                pending.progress = Progress::Unknown { since: now };
                self.next_report_at = now + self.config.report_lag;
                self.pending = Some(pending);
                LedgerChange::None
            }
            OrderOutcome::Conflict | OrderOutcome::Fenced | OrderOutcome::Rejected => {
                self.require_report(now + self.config.report_lag);
                LedgerChange::Failed(pending.order)
            }
            OrderOutcome::OtherIncarnation => {
                self.require_report(now + self.config.idle_poll_interval);
                LedgerChange::Failed(pending.order)
            }
        }
    }

    /// Counts the adapter at once, so that no later order uses its room.
    pub(super) fn begin_transit(&mut self, order: &Order, expected_at: Moment, now: Moment) {
        self.apply(order);
        if let Some(adapter) = order.model_adapter() {
            self.in_transit
                .begin(adapter, self.holdings.sequence, expected_at, now);
        }
        self.await_arrivals_if_needed();
    }

    /// Applies an order whose effect the replica had or reached at once.
    fn complete_at_once(&mut self, order: &Order, now: Moment) {
        match order {
            Order::UnloadAdapter(..) => self.complete_adapter_unload(order, now),
            Order::LoadAdapter(..) => self.begin_transit(order, now, now),
            Order::LoadModel(_) | Order::UnloadModel(_) => self.apply(order),
        }
    }

    /// Applies an unload of an adapter that was done at once. The replica counts a step of the sequence only
    /// if it had the adapter, and the sequence must never be ahead of the replica's: an order that names a
    /// later one could be carried out in a state against which it was not checked.
    fn complete_adapter_unload(&mut self, order: &Order, now: Moment) {
        let next_sequence = self.holdings.sequence + 1;
        let is_in_transit = self.in_transit.note_unload(order, next_sequence);
        let was_present = self.forget_own_adapter(order) && !is_in_transit;
        if was_present {
            self.holdings.sequence = next_sequence;
        } else {
            self.require_report(now + self.config.report_lag);
        }
        if !is_in_transit {
            self.apply(order);
        }
    }

    /// Forgets that the adapter of an unload is one of this ledger's own. Returns true if it was.
    fn forget_own_adapter(&mut self, order: &Order) -> bool {
        match order {
            Order::UnloadAdapter(..) => order
                .model_adapter()
                .is_some_and(|adapter| self.own_adapters.remove(&adapter)),
            Order::UnloadModel(model) => {
                self.own_adapters.retain(|adapter| adapter.model != *model);
                false
            }
            Order::LoadModel(_) | Order::LoadAdapter(..) => false,
        }
    }
}
