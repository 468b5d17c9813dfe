//! Loads that a replica told, and which of the requests there permits account for.

use std::collections::HashMap;
use std::time::Duration;

use super::PermitId;
use crate::time::Moment;

/// Time by which a report usually comes later than what it tells of.
pub(super) const REPORT_DELAY: Duration = Duration::from_millis(50);

/// A permit that is out.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeldPermit {
    pub(super) granted_at: Moment,
    /// When the replica certainly has ended the request.
    pub(super) ends_by: Moment,
    /// When the start of its answer was reported, and when at the latest it ran.
    pub(super) started: Option<StartedRun>,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct StartedRun {
    pub(super) reported_at: Moment,
    pub(super) runs_from: Moment,
}

/// A load that a replica told, with the permits whose requests certainly were part of it.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadSample {
    /// The replica told it between these two.
    pub(super) after: Moment,
    pub(super) before: Moment,
    pub(super) requests: u32,
    pub(super) accounted: u32,
    /// When the started requests were counted that were still out.
    pub(super) counted_at: Option<Moment>,
}

impl LoadSample {
    /// Returns whether a request that ran for all of this time was part of the load.
    fn is_within(&self, runs_from: Moment, runs_until: Moment) -> bool {
        runs_from <= self.after && self.before <= runs_until
    }

    /// Counts the requests that had started and are still out.
    pub(super) fn count_started(&mut self, held: &HashMap<PermitId, HeldPermit>, now: Moment) {
        if self.counted_at.is_some() || now.since(self.before) < REPORT_DELAY {
            return;
        }
        self.counted_at = Some(now);
        let started = held.values().filter_map(|permit| permit.started);
        self.accounted += started.filter(|run| run.runs_from <= self.after).count() as u32;
    }

    /// Counts a request that has ended, unless it was counted.
    pub(super) fn count_ended(&mut self, permit: &HeldPermit, runs_from: Moment, runs_until: Moment) {
        let is_counted = permit.started.zip(self.counted_at);
        let is_counted = is_counted.is_some_and(|(run, counted_at)| run.reported_at <= counted_at);
        if !is_counted && self.is_within(runs_from, runs_until) {
            self.accounted += 1;
        }
    }
}
