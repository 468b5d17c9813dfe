//! Loads of an owner from decision to end: permit, order, report.

use super::{Load, Owner, Stage, NO_DEADLINE_MILLIS};
use crate::identifiers::ModelIndex;
use crate::policy::croftrill::names::Names;
use crate::policy::croftrill::{coordinator, LoadReport, Message, PermitRequest, Sim};
use croftrill_state::engine_memory::{Demand, MemoryAction, OrderAnswer};
use croftrill_state::load_admission::Permit;
use croftrill_state::Instant;

impl Owner {
    pub(super) fn carry_out(
        &mut self,
        world: &mut Sim<'_>,
        names: &Names,
        action: MemoryAction,
        now: Instant,
    ) {
        match action {
            MemoryAction::Load {
                model,
                accelerators,
                source,
            } => {
                let Some(index) = names.model_index(&model.id) else {
                    return;
                };
                let load = Load {
                    model,
                    accelerators,
                    source,
                    stage: Stage::AskAt(now),
                };
                self.loads.insert(index, load);
            }
            MemoryAction::Unload { model, .. } => {
                let unloaded = names
                    .model_index(&model)
                    .is_some_and(|index| world.unload(self.engine, index));
                if !unloaded {
                    self.memory.unload_answered(&model, OrderAnswer::NoEffect, now);
                }
            }
            MemoryAction::LoadAdapter { .. } | MemoryAction::UnloadAdapter { .. } => {}
        }
    }

    pub(super) fn advance_loads(
        &mut self,
        world: &mut Sim<'_>,
        names: &Names,
        demands: &[Demand],
        now: Instant,
    ) {
        let due: Vec<ModelIndex> = self
            .loads
            .iter()
            .filter(|(_, load)| matches!(load.stage, Stage::AskAt(at) if at <= now))
            .map(|(model, _)| *model)
            .collect();
        for model in due {
            let id = names.model(model);
            if self.memory.is_load_wanted(id, demands, now) {
                self.ask_permit(world, names, model, demands, now);
            } else {
                self.loads.remove(&model);
                self.memory.load_given_up(id);
            }
        }
    }

    fn ask_permit(
        &mut self,
        world: &mut Sim<'_>,
        names: &Names,
        model: ModelIndex,
        demands: &[Demand],
        now: Instant,
    ) {
        let id = names.model(model);
        let deadline_millis = demands
            .iter()
            .filter(|demand| demand.target.model == *id)
            .map(|demand| demand.earliest_deadline.millis_since(now))
            .min()
            .unwrap_or(NO_DEADLINE_MILLIS);
        let Some(load) = self.loads.get_mut(&model) else {
            return;
        };
        load.stage = Stage::Asking;
        let request = PermitRequest {
            engine: self.engine,
            model,
            remote_mib: load.remote_mib(),
            deadline_millis,
        };
        world.send(
            coordinator::delay(world, self.engine),
            Message::PermitRequest(request),
        );
    }

    pub(in crate::policy::croftrill) fn permit_answered(
        &mut self,
        world: &mut Sim<'_>,
        names: &Names,
        model: ModelIndex,
        permit: Permit,
    ) {
        let now = world.instant();
        let id = names.model(model);
        match permit {
            Permit::Granted { expected_millis } => {
                if expected_millis > 0 {
                    self.memory.expect_loaded(id, now + expected_millis);
                }
                self.order_load(world, names, model, now);
            }
            Permit::Wait {
                retry_after_millis,
                expected_millis,
            } => {
                self.memory.expect_loaded(id, now + expected_millis);
                if let Some(load) = self.loads.get_mut(&model) {
                    load.stage = Stage::AskAt(now + retry_after_millis.max(1));
                }
            }
        }
        self.step(world, names);
    }

    fn order_load(&mut self, world: &mut Sim<'_>, names: &Names, model: ModelIndex, now: Instant) {
        let Some(load) = self.loads.get_mut(&model) else {
            return;
        };
        load.stage = Stage::Ordered(now);
        let accelerators = load.accelerators.iter().map(|index| *index as usize).collect();
        let id = names.model(model);
        match world.start_load_on(self.engine, model, accelerators) {
            Ok(()) => self.memory.load_answered(id, OrderAnswer::Done, now),
            Err(_) => {
                self.memory.load_answered(id, OrderAnswer::NoEffect, now);
                self.report(world, model, now, false);
                self.loads.remove(&model);
            }
        }
    }

    pub(super) fn load_ended(&mut self, world: &mut Sim<'_>, names: &Names, id: &croftrill_state::ModelId) {
        let now = world.instant();
        let Some(model) = names.model_index(id) else {
            return;
        };
        let Some(load) = self.loads.get(&model) else {
            return;
        };
        if let Stage::Ordered(at) = load.stage {
            self.memory
                .observe_load(id, load.source, now.millis_since(at), now);
        }
        self.report(world, model, now, true);
        self.loads.remove(&model);
    }

    fn report(&self, world: &mut Sim<'_>, model: ModelIndex, now: Instant, succeeded: bool) {
        let Some(load) = self.loads.get(&model) else {
            return;
        };
        let Stage::Ordered(at) = load.stage else {
            return;
        };
        let report = LoadReport {
            engine: self.engine,
            model,
            remote_mib: load.remote_mib(),
            duration_millis: now.millis_since(at),
            succeeded,
        };
        world.send(
            coordinator::delay(world, self.engine),
            Message::LoadReport(report),
        );
    }
}
