//! The coordinator's side: admission of loads to the weight store.

use super::names::Names;
use super::{AdmissionKind, LoadReport, Message, PermitRequest, Sim};
use crate::identifiers::{EngineIndex, MILLISECOND};
use croftrill_state::load_admission::{LoadAdmission, LoadAdmissionConfig, Permit};
use croftrill_state::Instant;

/// The coordinator is the node beside this engine.
const PLACE: EngineIndex = EngineIndex(0);
/// A deadline that tells nothing, in milliseconds.
const NO_DEADLINE_MILLIS: u64 = 600_000;

/// The coordinator.
pub(super) struct Coordinator {
    kind: AdmissionKind,
    admission: LoadAdmission,
    stated_mib_per_second: u64,
}

impl Coordinator {
    /// A coordinator before the run begins.
    pub(super) fn idle(kind: AdmissionKind) -> Self {
        Self {
            kind,
            admission: LoadAdmission::new(LoadAdmissionConfig::default(), Instant(0)),
            stated_mib_per_second: 1,
        }
    }

    pub(super) fn new(kind: AdmissionKind, world: &Sim<'_>) -> Self {
        let store = &world.scenario().weight_store;
        let config = LoadAdmissionConfig {
            loads_per_second_thousandths: (store.loads_per_second * 1000.0) as u64,
            concurrent_loads: store.concurrent_loads as u32,
            initial_mib_per_second: store.mib_per_second,
            fixed_load_millis: world.scenario().engine.load_fixed_millis,
            ..LoadAdmissionConfig::default()
        };
        Self {
            kind,
            admission: LoadAdmission::new(config, world.instant()),
            stated_mib_per_second: store.mib_per_second,
        }
    }

    pub(super) fn request(&mut self, world: &mut Sim<'_>, names: &Names, request: PermitRequest) {
        let permit = self.decide(world, names, &request);
        let delay = world.zone_delay(world.engine(PLACE).zone, world.engine(request.engine).zone);
        world.send(
            delay,
            Message::PermitAnswer(request.engine, request.model, permit),
        );
    }

    fn decide(&mut self, world: &Sim<'_>, names: &Names, request: &PermitRequest) -> Permit {
        let stated_millis = request.remote_mib * MILLISECOND / self.stated_mib_per_second;
        let deadline_millis = match self.kind {
            AdmissionKind::None => {
                return Permit::Granted {
                    expected_millis: stated_millis,
                }
            }
            AdmissionKind::Plain => NO_DEADLINE_MILLIS,
            AdmissionKind::Urgent => request.deadline_millis,
        };
        let permit = self.admission.request(
            world.instant(),
            names.engine(request.engine),
            names.model(request.model),
            request.remote_mib,
            deadline_millis,
        );
        match (self.kind, permit) {
            (AdmissionKind::Plain, Permit::Granted { .. }) => Permit::Granted {
                expected_millis: stated_millis,
            },
            (
                AdmissionKind::Plain,
                Permit::Wait {
                    retry_after_millis, ..
                },
            ) => Permit::Wait {
                retry_after_millis,
                expected_millis: retry_after_millis + stated_millis,
            },
            (_, permit) => permit,
        }
    }

    pub(super) fn finish(&mut self, world: &Sim<'_>, names: &Names, report: &LoadReport) {
        if self.kind == AdmissionKind::None {
            return;
        }
        self.admission.finish(
            world.instant(),
            names.engine(report.engine),
            names.model(report.model),
            report.remote_mib,
            report.duration_millis,
            report.succeeded,
        );
    }
}

/// One way between an owner and the coordinator.
pub(super) fn delay(world: &Sim<'_>, engine: EngineIndex) -> u64 {
    world.zone_delay(world.engine(PLACE).zone, world.engine(engine).zone)
}
