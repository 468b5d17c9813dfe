//! Load permits: the cell's coordinator decides which loads may read from the
//! weight store now.
//!
//! A permit protects the store's speed, not the promises about memory and
//! replica counts; those follow from the log. So the node that the log names as
//! coordinator serves permits also while its lease cannot be renewed, and an
//! owner that reaches no coordinator falls back to a slow rate of its own.

mod client;
mod simple_admission;

pub use client::LoadPermitClient;
pub use simple_admission::{SimpleAdmission, SimpleAdmissionConfig};

use crate::replication::Replica;
use croftrill_protocol::peer::{LoadPermit, LoadPermitRequest, LoadReport, ReportOutcome};
use croftrill_state::{CellId, Instant};
use std::sync::{Arc, Mutex, PoisonError};

/// Decides which loads may start. Pure: the time is passed in.
pub trait LoadAdmission: Send {
    /// Decides on a request. The same engine and model asking again is the
    /// same load.
    fn request(&mut self, now: Instant, request: &LoadPermitRequest) -> LoadPermit;

    /// Takes in the end of a load.
    fn finish(&mut self, now: Instant, report: &LoadReport);
}

/// The coordinator's side of load permits. Every node has one; it answers only
/// while the log names the node as coordinator.
pub struct LoadPermitService {
    replica: Arc<Replica>,
    cell: CellId,
    admission: Mutex<Box<dyn LoadAdmission>>,
    started: tokio::time::Instant,
}

impl LoadPermitService {
    /// A service over an admission policy.
    pub fn new(replica: Arc<Replica>, cell: CellId, admission: Box<dyn LoadAdmission>) -> Self {
        Self {
            replica,
            cell,
            admission: Mutex::new(admission),
            started: tokio::time::Instant::now(),
        }
    }

    /// Answers an owner that wants to load.
    pub fn request_load(&self, request: &LoadPermitRequest) -> LoadPermit {
        if !self.is_coordinator() {
            return LoadPermit::NotCoordinator;
        }
        self.with_admission(|admission, now| admission.request(now, request))
    }

    /// Takes in the end of a load.
    pub fn finish_load(&self, report: &LoadReport) -> ReportOutcome {
        if !self.is_coordinator() {
            return ReportOutcome::TryLater;
        }
        self.with_admission(|admission, now| admission.finish(now, report));
        ReportOutcome::Recorded
    }

    fn is_coordinator(&self) -> bool {
        let state = self.replica.state();
        let present = state.coordinators.get(&self.cell);
        present.is_some_and(|coordinator| coordinator.node == *self.replica.node())
    }

    fn with_admission<T>(&self, act: impl FnOnce(&mut dyn LoadAdmission, Instant) -> T) -> T {
        let now = Instant(self.started.elapsed().as_millis() as u64);
        let mut admission = self.admission.lock().unwrap_or_else(PoisonError::into_inner);
        act(admission.as_mut(), now)
    }
}
