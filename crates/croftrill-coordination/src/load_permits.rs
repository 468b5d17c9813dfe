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
use croftrill_platform::weight_store::WeightStoreLimits;
use croftrill_protocol::peer::{LoadPermit, LoadPermitRequest, LoadReport, ReportOutcome};
use croftrill_state::{CellId, Instant, Term};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Stands for the rate of a store that limits none.
const UNLIMITED_LOADS_PER_SECOND_THOUSANDTHS: u64 = 1_000_000;

/// Loads that a store starts a second, in thousandths; one that states no rate
/// limits none.
pub fn rate_of(limits: &WeightStoreLimits) -> u64 {
    match limits.loads_per_second_thousandths {
        0 => UNLIMITED_LOADS_PER_SECOND_THOUSANDTHS,
        limited => limited,
    }
}

/// Decides which loads may start. Pure: the time is passed in.
pub trait LoadAdmission: Send {
    /// Decides on a request. The same engine and model asking again is the
    /// same load.
    fn request(&mut self, now: Instant, request: &LoadPermitRequest) -> LoadPermit;

    /// Takes in the end of a load.
    fn finish(&mut self, now: Instant, report: &LoadReport);

    /// This node became coordinator: loads that another one permitted may run,
    /// and what is remembered of an earlier term is out of date.
    fn take_over(&mut self, _now: Instant) {}

    /// The store told its limits; they hold in later terms too.
    fn set_limits(&mut self, now: Instant, limits: &WeightStoreLimits);
}

/// The coordinator's side of load permits. Every node has one; it answers only
/// while the log names the node as coordinator.
pub struct LoadPermitService {
    replica: Arc<Replica>,
    cell: CellId,
    guarded: Mutex<Guarded>,
    started: tokio::time::Instant,
}

struct Guarded {
    admission: Box<dyn LoadAdmission>,
    /// The term in which the admission was used last.
    term: Term,
}

impl LoadPermitService {
    /// A service over an admission policy.
    pub fn new(replica: Arc<Replica>, cell: CellId, admission: Box<dyn LoadAdmission>) -> Self {
        Self {
            replica,
            cell,
            guarded: Mutex::new(Guarded {
                admission,
                term: Term(0),
            }),
            started: tokio::time::Instant::now(),
        }
    }

    /// Answers an owner that wants to load.
    pub fn request_load(&self, request: &LoadPermitRequest) -> LoadPermit {
        self.as_coordinator(|admission, now| admission.request(now, request))
            .unwrap_or(LoadPermit::NotCoordinator)
    }

    /// Takes in the end of a load.
    pub fn finish_load(&self, report: &LoadReport) -> ReportOutcome {
        match self.as_coordinator(|admission, now| admission.finish(now, report)) {
            Some(()) => ReportOutcome::Recorded,
            None => ReportOutcome::TryLater,
        }
    }

    /// Takes in the limits of the store, whoever coordinates now.
    pub fn set_limits(&self, limits: &WeightStoreLimits) {
        let now = self.now();
        self.guarded().admission.set_limits(now, limits);
    }

    /// This node's term, while the log names it as coordinator.
    fn present_term(&self) -> Option<Term> {
        let state = self.replica.state();
        let present = state.coordinators.get(&self.cell)?;
        (present.node == *self.replica.node()).then_some(present.term)
    }

    fn as_coordinator<T>(&self, act: impl FnOnce(&mut dyn LoadAdmission, Instant) -> T) -> Option<T> {
        let term = self.present_term()?;
        let now = self.now();
        let mut guarded = self.guarded();
        if guarded.term != term {
            guarded.term = term;
            guarded.admission.take_over(now);
        }
        Some(act(guarded.admission.as_mut(), now))
    }

    fn now(&self) -> Instant {
        Instant(self.started.elapsed().as_millis() as u64)
    }

    fn guarded(&self) -> MutexGuard<'_, Guarded> {
        self.guarded.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
