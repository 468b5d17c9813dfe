//! Adapters in transit to one replica: they take room until a report shows what became of them.

use crate::replica::{ModelAdapter, ReplicaReport};
use crate::time::Moment;

use super::LedgerConfig;

/// When an adapter in transit arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Arrival {
    /// At this time.
    ExpectedAt(Moment),
    /// It should have arrived, but no report has shown it yet.
    Assumed {
        /// Time at which it should have arrived.
        since: Moment,
    },
    /// A report from after the expected time did not show it as present.
    Late,
}

/// An adapter whose load was accepted, and that no report has shown as present.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Transit {
    adapter: ModelAdapter,
    /// Sequence of the replica once it had accepted the load.
    sequence: u64,
    accepted_at: Moment,
    arrival: Arrival,
    /// Sequence of the replica if it counted an order to unload the adapter.
    unloaded_at_sequence: Option<u64>,
}

impl Transit {
    /// Returns true if requests may rely on the adapter.
    pub(super) fn is_usable(&self) -> bool {
        matches!(self.arrival, Arrival::Assumed { .. })
    }

    /// Returns true if a report that does not say what is in transit shows that the adapter is gone.
    fn is_gone_by_silence(&self, report: &ReplicaReport, now: Moment, config: &LedgerConfig) -> bool {
        let is_unloaded = |sequence| report.holdings.sequence >= sequence;
        self.unloaded_at_sequence.is_some_and(is_unloaded)
            || now.since(self.accepted_at) >= config.min_order_timeout
    }
}

/// The adapters in transit to a replica.
#[derive(Debug, Clone, Default)]
pub(super) struct Transits(Vec<Transit>);

impl Transits {
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    pub(super) fn get(&self, model: &str, adapter: &str) -> Option<&Transit> {
        let is_same =
            |transit: &&Transit| &*transit.adapter.model == model && &*transit.adapter.adapter == adapter;
        self.0.iter().find(is_same)
    }

    pub(super) fn to_adapters(&self) -> Vec<ModelAdapter> {
        self.0.iter().map(|transit| transit.adapter.clone()).collect()
    }

    /// Returns those that requests may not rely on yet.
    pub(super) fn unusable(&self) -> Vec<ModelAdapter> {
        let unusable = self.0.iter().filter(|transit| !transit.is_usable());
        unusable.map(|transit| transit.adapter.clone()).collect()
    }

    /// Returns true if one of them takes longer than expected.
    pub(super) fn any_late(&self) -> bool {
        self.0.iter().any(|transit| transit.arrival == Arrival::Late)
    }

    /// Records that the load of an adapter was accepted, after which the replica was at `sequence`.
    pub(super) fn begin(&mut self, adapter: ModelAdapter, sequence: u64, expected_at: Moment, now: Moment) {
        self.0.retain(|transit| transit.adapter != adapter);
        self.0.push(Transit {
            adapter,
            sequence,
            accepted_at: now,
            arrival: Arrival::ExpectedAt(expected_at),
            unloaded_at_sequence: None,
        });
    }

    /// Notes that the replica answered an order to unload the adapter, after which it is at `sequence`
    /// if it had the adapter. Returns true if the adapter is in transit.
    pub(super) fn note_unload(&mut self, model: &str, adapter: &str, sequence: u64) -> bool {
        let mut transits = self.0.iter_mut();
        let transit =
            transits.find(|transit| &*transit.adapter.model == model && &*transit.adapter.adapter == adapter);
        match transit {
            Some(transit) => {
                transit.unloaded_at_sequence = Some(sequence);
                true
            }
            None => false,
        }
    }

    /// Marks those that should have arrived by now. Returns true if there are any.
    pub(super) fn mark_arrivals(&mut self, now: Moment) -> bool {
        let mut any = false;
        for transit in &mut self.0 {
            if let Arrival::ExpectedAt(at) = transit.arrival {
                if at <= now {
                    transit.arrival = Arrival::Assumed { since: at };
                    any = true;
                }
            }
        }
        any
    }

    /// Removes those that a report shows as present. It may be older than what is known, but not than
    /// their loads.
    pub(super) fn mark_present(&mut self, report: &ReplicaReport) {
        self.0.retain(|transit| {
            let ModelAdapter { model, adapter } = &transit.adapter;
            let is_newer = report.holdings.sequence >= transit.sequence;
            !(is_newer && report.holdings.serves(model, Some(adapter)))
        });
    }

    /// Applies a report of the newest known sequence. `is_recent` tells of a moment whether the report
    /// may be older.
    pub(super) fn update(
        &mut self,
        report: &ReplicaReport,
        is_recent: impl Fn(Moment) -> bool,
        now: Moment,
        config: &LedgerConfig,
    ) {
        let served = |adapter: &ModelAdapter| report.holdings.serves(&adapter.model, Some(&adapter.adapter));
        self.0.retain(|transit| !served(&transit.adapter));
        match &report.in_transit {
            Some(told) => {
                self.0.retain(|transit| told.contains(&transit.adapter));
                self.add_unknown(told, report.holdings.sequence, now, config);
            }
            None => self
                .0
                .retain(|transit| !transit.is_gone_by_silence(report, now, config)),
        }
        for transit in &mut self.0 {
            match transit.arrival {
                Arrival::Assumed { since } if !is_recent(since) => transit.arrival = Arrival::Late,
                _ => {}
            }
        }
    }

    /// Returns when the first of them arrives or should have arrived, if there are any.
    pub(super) fn first_arrival(&self) -> Option<Moment> {
        let arrivals = self.0.iter().map(|transit| match transit.arrival {
            Arrival::ExpectedAt(at) | Arrival::Assumed { since: at } => at,
            Arrival::Late => transit.accepted_at,
        });
        arrivals.min()
    }

    /// Adds those of a report that are not known, as another orderer ordered them.
    fn add_unknown(&mut self, told: &[ModelAdapter], sequence: u64, now: Moment, config: &LedgerConfig) {
        for adapter in told {
            if self.0.iter().all(|transit| transit.adapter != *adapter) {
                self.begin(adapter.clone(), sequence, now + config.poll_interval, now);
            }
        }
    }
}
