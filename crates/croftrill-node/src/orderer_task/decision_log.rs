//! Log lines and metric labels of the orderer's decisions and orders.

use croftrill_scheduler::orderer::Decision;
use croftrill_scheduler::replica::{Order, OrderOutcome};

use crate::metrics::Metrics;

pub(super) fn log_decision(metrics: &Metrics, decision: &Decision) {
    match decision {
        Decision::Goal {
            replica,
            model,
            reason,
            holders,
            source,
        } => {
            tracing::info!(target: "placement", decision = "load", replica = &**replica, model = &**model,
                ?reason, holders, ?source);
        }
        Decision::Evict {
            replica,
            model,
            value,
            holders,
        } => {
            tracing::info!(target: "placement", decision = "make way", replica = &**replica,
                model = &**model, value_per_second = *value, holders);
        }
        Decision::UncountedRoom {
            replica,
            sequence,
            reported,
            counted,
            in_transit,
        } => {
            Metrics::count(&metrics.reports, "room", "more_than_counted");
            tracing::info!(target: "order", event = "a replica reports more than is counted",
                replica = &**replica, sequence, %reported, %counted, in_transit);
        }
    }
}

pub(super) fn order_kind(order: &Order) -> &'static str {
    match order {
        Order::LoadModel(_) => "load_model",
        Order::UnloadModel(_) => "unload_model",
        Order::LoadAdapter(..) => "load_adapter",
        Order::UnloadAdapter(..) => "unload_adapter",
    }
}

pub(super) fn outcome_name(outcome: OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Accepted => "accepted",
        OrderOutcome::AlreadyHolds => "already_holds",
        OrderOutcome::Conflict => "conflict",
        OrderOutcome::Fenced => "fenced",
        OrderOutcome::OtherIncarnation => "other_incarnation",
        OrderOutcome::Rejected => "rejected",
        OrderOutcome::Unknown => "unknown",
    }
}
