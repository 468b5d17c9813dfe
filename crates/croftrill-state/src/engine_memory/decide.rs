//! Which loads and unloads to order next.

use super::eviction::Room;
use super::held::{Phase, Replica, Usage};
use super::inventory::base_of;
use super::{AssignedModel, Demand, EngineMemory, MemoryAction, UnloadReason};
use crate::cluster::Target;
use crate::configuration::{Model, PriorityClass};
use crate::identifiers::{AdapterId, ModelId};
use crate::placement::{AssignmentState, Residency};
use crate::time::Instant;

/// Whose demand is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asker {
    /// Its callers wait now.
    Waiting,
    /// Its callers were told to come back. Only what is idle gives way to them,
    /// else models that are awaited would evict one another in turn.
    Returning,
}

impl EngineMemory {
    /// The orders to give now. What they load is reserved and what they unload
    /// is out of use at once; each needs its answer: `load_answered`,
    /// `unload_answered`, `adapter_load_answered`, `adapter_unload_answered`, or
    /// `load_given_up` if it is not given.
    pub fn decide(&mut self, demands: &[Demand], now: Instant) -> Vec<MemoryAction> {
        if self.inventory.is_none() {
            return Vec::new();
        }
        self.revisit_at = None;
        self.awaited.retain(|_, until| *until > now);
        let mut actions = Vec::new();
        for replica in self.replicas.values_mut() {
            replica.draining = false;
        }
        self.unload_undecided(now, &mut actions);
        self.load_residents(now, &mut actions);
        for demand in by_urgency(demands) {
            self.serve_demand(Asker::Waiting, demand, demands, now, &mut actions);
        }
        for returning in self.returning(demands, now) {
            self.serve_demand(Asker::Returning, &returning, demands, now, &mut actions);
        }
        self.unload_idle(demands, now, &mut actions);
        actions
    }

    /// Demands of callers that were told to come back, as far as none of them
    /// waits already.
    fn returning(&self, demands: &[Demand], now: Instant) -> Vec<Demand> {
        let waits = |target: &Target| demands.iter().any(|demand| demand.target == *target);
        self.awaited
            .iter()
            .filter(|(target, _)| !waits(target))
            .map(|(target, until)| Demand {
                target: target.clone(),
                priority: PriorityClass::Batch,
                earliest_deadline: *until,
                latest_deadline: *until,
                oldest_arrival: now,
            })
            .collect()
    }

    /// Unloads what the log does not (any longer) let the engine hold.
    fn unload_undecided(&mut self, now: Instant, actions: &mut Vec<MemoryAction>) {
        let ids: Vec<ModelId> = self.replicas.keys().cloned().collect();
        for id in ids {
            if let Some(reason) = self.reason_to_unload(&id) {
                self.unload(&id, reason, now, actions);
            } else {
                self.unload_undecided_adapters(&id, now, actions);
            }
        }
    }

    fn reason_to_unload(&self, id: &ModelId) -> Option<UnloadReason> {
        let replica = self.replicas.get(id)?;
        let Some(assigned) = self.assigned.get(id) else {
            return Some(UnloadReason::NotAssigned);
        };
        match assigned.state {
            AssignmentState::WaitingFor { .. } => Some(UnloadReason::NotAssigned),
            AssignmentState::Releasing => Some(UnloadReason::Released),
            AssignmentState::Active if replica.version != assigned.model.version => {
                Some(UnloadReason::OldVersion)
            }
            AssignmentState::Active if misplaced(assigned, replica) => Some(UnloadReason::NotAssigned),
            AssignmentState::Active => None,
        }
    }

    fn unload_undecided_adapters(&mut self, base: &ModelId, now: Instant, actions: &mut Vec<MemoryAction>) {
        let stale: Vec<AdapterId> = self.replicas[base]
            .adapters
            .iter()
            .filter(|(id, held)| {
                let decided = self.adapters.get(*id);
                !decided.is_some_and(|d| d.base == *base && d.version == held.version)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for adapter in stale {
            self.unload_adapter(base, &adapter, now, actions);
        }
    }

    fn load_residents(&mut self, now: Instant, actions: &mut Vec<MemoryAction>) {
        let missing: Vec<(Model, Vec<u32>)> = self
            .assigned
            .values()
            .filter(|a| a.state == AssignmentState::Active && !self.replicas.contains_key(&a.model.id))
            .filter_map(|a| match &a.residency {
                Residency::Resident { accelerators } => Some((a.model.clone(), accelerators.clone())),
                Residency::OnDemand => None,
            })
            .collect();
        for (model, accelerators) in missing {
            if self.backoff_millis(&base_of(&model.id), now) > 0 {
                continue;
            }
            let need = model.memory_mib_per_accelerator;
            if self.fits(&accelerators, need, Some(&model.id)) {
                self.reserve(&model, accelerators, now, actions);
            } else {
                let room = self.room_on(
                    &accelerators,
                    need,
                    Some(&model.id),
                    &self.candidates_for_resident(now),
                );
                self.make_room(room, now, actions);
            }
        }
    }

    fn serve_demand(
        &mut self,
        asker: Asker,
        demand: &Demand,
        all: &[Demand],
        now: Instant,
        actions: &mut Vec<MemoryAction>,
    ) {
        let target = &demand.target;
        let Some(assigned) = self.assigned.get(&target.model).cloned() else {
            return;
        };
        let loadable = assigned.state == AssignmentState::Active
            && !self.is_usable(target)
            && self.backoff_millis(target, now) == 0;
        if !loadable || !self.helps_in_time(demand, now) {
            return;
        }
        match self.replicas.get(&target.model).map(|replica| replica.phase) {
            None if assigned.residency == Residency::OnDemand => {
                self.wake_model(&assigned.model, asker, demand, all, now, actions);
            }
            Some(Phase::Loaded) => self.wake_adapter(demand, all, now, actions),
            _ => {}
        }
    }

    /// Whether a load that starts now is expected to be done before the last
    /// waiting request is due.
    fn helps_in_time(&self, demand: &Demand, now: Instant) -> bool {
        match self.wake(&demand.target, now) {
            crate::replica_queue::Wake::In(millis) => now + millis <= demand.latest_deadline,
            _ => true,
        }
    }

    fn wake_model(
        &mut self,
        model: &Model,
        asker: Asker,
        demand: &Demand,
        all: &[Demand],
        now: Instant,
        actions: &mut Vec<MemoryAction>,
    ) {
        let count = model.accelerators as usize;
        let need = model.memory_mib_per_accelerator;
        if let Some(accelerators) = self.free_accelerators(count, need) {
            self.reserve(model, accelerators, now, actions);
            return;
        }
        let mut room = self.room_anywhere(count, need, &self.idle_candidates(all, now));
        let may_displace = asker == Asker::Waiting;
        if room.is_none() && may_displace {
            room = self.room_anywhere(count, need, &self.busy_candidates(demand, all, now));
        }
        if room.is_none() && may_displace {
            let next = self.next_displacement(demand, now);
            self.revisit_at = earlier(self.revisit_at, next);
        }
        self.make_room(room, now, actions);
    }

    /// The tightest accelerators that fit, so that large models find room.
    fn free_accelerators(&self, count: usize, need: u64) -> Option<Vec<u32>> {
        let mut fitting: Vec<(u64, u32)> = self
            .free(None)
            .into_iter()
            .enumerate()
            .filter(|(_, free)| *free >= need)
            .map(|(index, free)| (free, index as u32))
            .collect();
        if fitting.len() < count {
            return None;
        }
        fitting.sort_unstable();
        let mut chosen: Vec<u32> = fitting.into_iter().take(count).map(|(_, index)| index).collect();
        chosen.sort_unstable();
        Some(chosen)
    }

    fn wake_adapter(
        &mut self,
        demand: &Demand,
        all: &[Demand],
        now: Instant,
        actions: &mut Vec<MemoryAction>,
    ) {
        let Some(adapter) = demand
            .target
            .adapter
            .as_ref()
            .and_then(|id| self.adapters.get(id))
            .cloned()
        else {
            return;
        };
        let replica = &self.replicas[&adapter.base];
        if replica.adapters.contains_key(&adapter.id) {
            return;
        }
        let accelerators = replica.accelerators.clone();
        let need = adapter.memory_mib_per_accelerator;
        if self.fits(&accelerators, need, None) {
            self.reserve_adapter(&adapter);
            actions.push(MemoryAction::LoadAdapter { adapter });
            return;
        }
        let room = self.room_on(&accelerators, need, None, &self.idle_candidates(all, now));
        self.make_room(room, now, actions);
    }

    fn make_room(&mut self, room: Option<Room>, now: Instant, actions: &mut Vec<MemoryAction>) {
        let victims = room.map(|room| room.victims).unwrap_or_default();
        for victim in &victims {
            let goes_with_base = victim.adapter.is_some() && victims.contains(&base_of(&victim.model));
            if goes_with_base {
                continue;
            }
            if let Some(adapter) = &victim.adapter {
                self.unload_adapter(&victim.model, adapter, now, actions);
            } else if self.in_use(&victim.model) {
                self.stop_new_work(&victim.model);
            } else {
                self.unload(&victim.model, UnloadReason::Evicted, now, actions);
            }
        }
    }

    fn stop_new_work(&mut self, id: &ModelId) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.draining = true;
        }
    }

    fn unload_idle(&mut self, demands: &[Demand], now: Instant, actions: &mut Vec<MemoryAction>) {
        let idle: Vec<ModelId> = self
            .replicas
            .keys()
            .filter(|id| self.is_idle_on_demand(id, demands, now))
            .cloned()
            .collect();
        for id in idle {
            self.unload(&id, UnloadReason::Idle, now, actions);
        }
        let adapters: Vec<Target> = self
            .loaded_adapters()
            .filter(|target| !demands.iter().any(|demand| demand.target == *target))
            .filter(|target| self.adapter_idle_until(target).is_some_and(|until| now >= until))
            .collect();
        for target in adapters {
            if let Some(adapter) = &target.adapter {
                self.unload_adapter(&target.model, adapter, now, actions);
            }
        }
    }

    /// When a loaded adapter counts as idle, if nobody asks for it until then.
    fn adapter_idle_until(&self, target: &Target) -> Option<Instant> {
        if self.target_in_use(target) {
            return None;
        }
        let loaded_at = self.replicas.get(&target.model)?.loaded_at;
        let last_used = self.usage.get(target).map(|usage| usage.last_used);
        Some(last_used.unwrap_or(loaded_at) + self.config.idle_unload_millis)
    }

    fn is_idle_on_demand(&self, id: &ModelId, demands: &[Demand], now: Instant) -> bool {
        let on_demand = self
            .assigned
            .get(id)
            .is_some_and(|assigned| assigned.residency == Residency::OnDemand);
        let wanted = demands.iter().any(|demand| demand.target.model == *id);
        on_demand && !wanted && !self.is_awaited(id) && self.idle_until(id).is_some_and(|until| now >= until)
    }

    /// When a loaded model counts as idle, if nobody asks for it until then.
    fn idle_until(&self, id: &ModelId) -> Option<Instant> {
        let replica = self.replicas.get(id)?;
        if replica.phase != Phase::Loaded || self.in_use(id) {
            return None;
        }
        let mut until = replica.loaded_at + self.config.idle_unload_millis;
        for usage in self.usage_of(id) {
            until = until.max(usage.last_used + self.config.idle_unload_millis);
            if let Some(last_tight) = usage.last_tight {
                until = until.max(last_tight + self.config.tight_idle_unload_millis);
            }
        }
        Some(until)
    }

    /// Whether a load that is decided and not yet ordered still helps anybody.
    pub fn is_load_wanted(&self, id: &ModelId, demands: &[Demand], now: Instant) -> bool {
        let Some(assigned) = self.assigned.get(id) else {
            return false;
        };
        let current = self
            .replicas
            .get(id)
            .is_some_and(|replica| replica.version == assigned.model.version);
        if assigned.state != AssignmentState::Active || !current {
            return false;
        }
        let resident = matches!(assigned.residency, Residency::Resident { .. });
        let mut waiting = demands.iter().filter(|demand| demand.target.model == *id);
        resident || self.is_awaited(id) || waiting.any(|demand| self.helps_in_time(demand, now))
    }

    /// When `decide` should be called again even if nothing happens.
    pub fn next_decision(&self, now: Instant) -> Option<Instant> {
        let idle = self.replicas.keys().filter_map(|id| self.idle_until(id));
        let backoff = self.backoff.values().map(|backoff| backoff.until);
        let awaited = self.awaited.values().copied();
        idle.chain(backoff)
            .chain(awaited)
            .chain(self.revisit_at)
            .filter(|at| *at > now)
            .min()
    }

    pub(super) fn fits(&self, accelerators: &[u32], need: u64, beside: Option<&ModelId>) -> bool {
        let free = self.free(beside);
        accelerators
            .iter()
            .all(|index| free.get(*index as usize).is_some_and(|free| *free >= need))
    }

    pub(super) fn target_in_use(&self, target: &Target) -> bool {
        self.usage.get(target).is_some_and(Usage::in_use)
    }
}

/// A resident on other accelerators than those reserved for it.
fn misplaced(assigned: &AssignedModel, replica: &Replica) -> bool {
    match &assigned.residency {
        Residency::OnDemand => false,
        Residency::Resident { accelerators } => {
            let mut decided = accelerators.clone();
            let mut held = replica.accelerators.clone();
            decided.sort_unstable();
            held.sort_unstable();
            decided != held
        }
    }
}

fn earlier(a: Option<Instant>, b: Option<Instant>) -> Option<Instant> {
    a.into_iter().chain(b).min()
}

fn by_urgency(demands: &[Demand]) -> Vec<&Demand> {
    let mut sorted: Vec<&Demand> = demands.iter().collect();
    sorted.sort_by_key(|demand| (demand.priority, demand.earliest_deadline));
    sorted
}
