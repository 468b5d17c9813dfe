//! The learned admission of loads behind the coordinator's permit service.

use croftrill_coordination::load_permits::{rate_of, LoadAdmission};
use croftrill_platform::weight_store::WeightStoreLimits;
use croftrill_protocol::peer::{LoadPermit, LoadPermitRequest, LoadReport};
use croftrill_state::load_admission::{self, LoadAdmissionConfig, Permit};
use croftrill_state::Instant;

/// Admits loads by urgency and by the weight store's learned speed. It starts
/// like a coordinator that took over, since loads of an earlier one may run.
pub struct LearnedAdmission {
    config: LoadAdmissionConfig,
    admission: Option<load_admission::LoadAdmission>,
}

impl LearnedAdmission {
    /// Nothing learned yet; the clock starts with the first request.
    pub fn new(config: LoadAdmissionConfig) -> Self {
        Self {
            config,
            admission: None,
        }
    }

    fn admission(&mut self, now: Instant) -> &mut load_admission::LoadAdmission {
        let config = &self.config;
        self.admission
            .get_or_insert_with(|| load_admission::LoadAdmission::after_takeover(config.clone(), now))
    }
}

impl LoadAdmission for LearnedAdmission {
    fn request(&mut self, now: Instant, request: &LoadPermitRequest) -> LoadPermit {
        let permit = self.admission(now).request(
            now,
            &request.engine,
            &request.model,
            request.remote_mib,
            request.deadline_millis,
        );
        match permit {
            Permit::Granted { expected_millis } => LoadPermit::Granted { expected_millis },
            Permit::Wait {
                retry_after_millis,
                expected_millis,
            } => LoadPermit::Wait {
                retry_after_millis,
                expected_millis,
            },
        }
    }

    fn take_over(&mut self, _now: Instant) {
        self.admission = None;
    }

    fn set_limits(&mut self, now: Instant, limits: &WeightStoreLimits) {
        self.config.loads_per_second_thousandths = rate_of(limits);
        self.config.concurrent_loads = limits.concurrent_loads;
        if let Some(admission) = &mut self.admission {
            admission.set_limits(
                now,
                self.config.loads_per_second_thousandths,
                self.config.concurrent_loads,
            );
        }
    }

    fn finish(&mut self, now: Instant, report: &LoadReport) {
        self.admission(now).finish(
            now,
            &report.engine,
            &report.model,
            report.remote_mib,
            report.duration_millis,
            report.succeeded,
        );
    }
}
