//! Adapters in transit to one replica: they take room until a report shows what became of them.

use std::time::Duration;

use crate::replica::{ModelAdapter, Order, ReplicaReport};
use crate::time::Moment;

use super::LedgerConfig;

/// Whether requests may rely on an adapter in transit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Arrival {
    /// Not before the expected time.
    Expected,
    /// Yes: the expected time has passed, and no report has shown otherwise.
    Assumed,
    /// Not before a report shows it as present.
    AwaitsReport,
}

/// An adapter whose load was accepted, and that no report has shown as present.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Transit {
    adapter: ModelAdapter,
    /// Sequence of the replica once it had accepted the load.
    sequence: u64,
    accepted_at: Moment,
    expected_at: Moment,
    arrival: Arrival,
    /// Sequence of the replica if it counted an order to unload the adapter.
    unloaded_at_sequence: Option<u64>,
}

impl Transit {
    /// Returns true if requests may rely on the adapter.
    pub(super) fn is_usable(&self) -> bool {
        self.arrival == Arrival::Assumed
    }

    fn is_of(&self, model: &str, adapter: &str) -> bool {
        &*self.adapter.model == model && &*self.adapter.adapter == adapter
    }

    /// Returns true if the report shows the adapter as present. It may be older than what is known, but
    /// not than the load.
    fn is_present_in(&self, report: &ReplicaReport) -> bool {
        let ModelAdapter { model, adapter } = &self.adapter;
        report.holdings.sequence >= self.sequence && report.holdings.serves(model, Some(adapter))
    }

    /// Returns true if a report of the newest sequence shows that the adapter will not arrive.
    fn is_gone_in(&self, report: &ReplicaReport, now: Moment, config: &LedgerConfig) -> bool {
        match &report.in_transit {
            Some(told) => !told.contains(&self.adapter),
            None => {
                let is_unloaded = |sequence| report.holdings.sequence >= sequence;
                self.unloaded_at_sequence.is_some_and(is_unloaded)
                    || now.since(self.accepted_at) >= config.min_order_timeout
            }
        }
    }
}

/// A report with the time at which it was requested.
#[derive(Clone, Copy)]
pub(super) struct RequestedReport<'a> {
    pub(super) report: &'a ReplicaReport,
    pub(super) requested_at: Moment,
    /// Maximum age of the report at that time.
    pub(super) lag: Duration,
}

impl RequestedReport<'_> {
    /// Returns true if the report surely shows the state of `moment` or later.
    fn is_from_after(&self, moment: Moment) -> bool {
        self.requested_at.since(moment) >= self.lag
    }
}

/// The adapters in transit to a replica.
#[derive(Debug, Clone, Default)]
pub(super) struct Transits {
    transits: Vec<Transit>,
    /// True while adapters take longer than expected: requests then rely on reports alone.
    are_slow: bool,
}

impl Transits {
    pub(super) fn len(&self) -> usize {
        self.transits.len()
    }

    pub(super) fn get(&self, model: &str, adapter: &str) -> Option<&Transit> {
        self.transits.iter().find(|transit| transit.is_of(model, adapter))
    }

    pub(super) fn adapters(&self) -> impl Iterator<Item = &ModelAdapter> {
        self.transits.iter().map(|transit| &transit.adapter)
    }

    /// Returns those that requests may not rely on yet.
    pub(super) fn unusable(&self) -> Vec<ModelAdapter> {
        let unusable = self.transits.iter().filter(|transit| !transit.is_usable());
        unusable.map(|transit| transit.adapter.clone()).collect()
    }

    /// Returns true if requests rely on one of them only once a report shows it as present.
    pub(super) fn any_awaits_report(&self) -> bool {
        let mut transits = self.transits.iter();
        transits.any(|transit| transit.arrival == Arrival::AwaitsReport)
    }

    /// Returns when the first of them should arrive or have arrived, if there are any.
    pub(super) fn first_arrival(&self) -> Option<Moment> {
        self.transits.iter().map(|transit| transit.expected_at).min()
    }

    /// Records that the load of an adapter was accepted, after which the replica was at `sequence`.
    pub(super) fn begin(&mut self, adapter: ModelAdapter, sequence: u64, expected_at: Moment, now: Moment) {
        self.transits.retain(|transit| transit.adapter != adapter);
        let arrival = if self.are_slow {
            Arrival::AwaitsReport
        } else {
            Arrival::Expected
        };
        self.transits.push(Transit {
            adapter,
            sequence,
            accepted_at: now,
            expected_at,
            arrival,
            unloaded_at_sequence: None,
        });
    }

    /// Notes that the replica answered an order to unload the adapter, after which it is at `sequence`
    /// if it had the adapter. Returns true if the adapter is in transit.
    pub(super) fn note_unload(&mut self, order: &Order, sequence: u64) -> bool {
        let unloaded = order.model_adapter();
        let mut transits = self.transits.iter_mut();
        let Some(transit) = transits.find(|transit| Some(&transit.adapter) == unloaded.as_ref()) else {
            return false;
        };
        transit.unloaded_at_sequence = Some(sequence);
        true
    }

    /// Marks those that should have arrived by now. Returns true if there are any.
    pub(super) fn mark_arrivals(&mut self, now: Moment) -> bool {
        let is_due =
            |transit: &&mut Transit| transit.arrival == Arrival::Expected && transit.expected_at <= now;
        let due = self.transits.iter_mut().filter(is_due);
        let marked = due.map(|transit| transit.arrival = Arrival::Assumed);
        marked.count() > 0
    }

    /// Removes those that a report shows as present.
    pub(super) fn mark_present(&mut self, requested: RequestedReport<'_>) {
        let is_present = |transit: &Transit| transit.is_present_in(requested.report);
        let mut present = self.transits.iter().filter(|transit| is_present(transit));
        if present.any(|transit| !requested.is_from_after(transit.expected_at)) {
            self.are_slow = false;
        }
        self.transits.retain(|transit| !is_present(transit));
    }

    /// Applies a report of the newest sequence.
    pub(super) fn update(&mut self, requested: RequestedReport<'_>, now: Moment, config: &LedgerConfig) {
        let report = requested.report;
        self.mark_present(requested);
        self.transits
            .retain(|transit| !transit.is_gone_in(report, now, config));
        for transit in &mut self.transits {
            if requested.is_from_after(transit.expected_at) {
                transit.arrival = Arrival::AwaitsReport;
                self.are_slow = true;
            }
        }
        // Another orderer ordered those that are not known.
        for adapter in report.in_transit.iter().flatten() {
            if self.get(&adapter.model, &adapter.adapter).is_none() {
                let expected_at = now + config.poll_interval;
                self.begin(adapter.clone(), report.holdings.sequence, expected_at, now);
            }
        }
    }
}
