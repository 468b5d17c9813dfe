//! Which models give way.

use super::held::Phase;
use super::{AssignedModel, Demand, EngineMemory, EvictionPolicy};
use crate::configuration::PriorityClass;
use crate::identifiers::ModelId;
use crate::placement::Residency;
use crate::time::Instant;
use std::collections::{BTreeMap, BTreeSet};

/// Models whose unload makes room, and what it costs.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Room {
    pub(super) victims: BTreeSet<ModelId>,
    pub(super) cost: f64,
}

impl EngineMemory {
    /// The models that may give way to a demand. Idle ones may if nobody more
    /// urgent waits for them; busy ones only to a more urgent class, or after
    /// the demand waited and they worked long enough.
    pub(super) fn victim_filter(
        &self,
        demand: &Demand,
        all: &[Demand],
        now: Instant,
        busy_too: bool,
    ) -> BTreeSet<ModelId> {
        self.replicas
            .keys()
            .filter(|id| **id != demand.target.model)
            .filter(|id| {
                let wanted = wanted_class(id, all);
                let busy = self.in_use(id);
                match (busy || wanted.is_some(), busy_too) {
                    (false, _) => true,
                    (true, false) => false,
                    (true, true) => self.may_displace(demand, id, wanted, now),
                }
            })
            .cloned()
            .collect()
    }

    fn may_displace(
        &self,
        demand: &Demand,
        id: &ModelId,
        wanted: Option<PriorityClass>,
        now: Instant,
    ) -> bool {
        let theirs = [wanted, self.running_class(id)].into_iter().flatten().min();
        match theirs {
            None => true,
            Some(theirs) if demand.priority < theirs => true,
            Some(theirs) if demand.priority > theirs => false,
            Some(_) => now >= self.displaceable_at(demand, id),
        }
    }

    /// When a demand of the same class may take a busy model's place.
    fn displaceable_at(&self, demand: &Demand, id: &ModelId) -> Instant {
        let waited = demand.oldest_arrival + self.config.displace_after_millis;
        let worked = self.replicas[id].loaded_at + self.config.minimum_residence_millis;
        waited.max(worked)
    }

    /// When one of the busy models may give way, if none may now.
    pub(super) fn next_displacement(&self, demand: &Demand, now: Instant) -> Option<Instant> {
        let on_demand = self.replicas.iter().filter(|(id, replica)| {
            **id != demand.target.model && replica.phase == Phase::Loaded && self.is_on_demand(id)
        });
        let times = on_demand.map(|(id, _)| self.displaceable_at(demand, id));
        times.filter(|at| *at > now).min()
    }

    /// Estimated time until a load of the model finds memory: none if memory is
    /// free or an idle model can go, else until a busy one may be stopped.
    pub(super) fn blocked_millis(&self, assigned: &AssignedModel, now: Instant) -> u64 {
        let Residency::OnDemand = assigned.residency else {
            return 0;
        };
        let count = assigned.model.accelerators as usize;
        let need = assigned.model.memory_mib_per_accelerator;
        let idle = |id: &ModelId| !self.in_use(id);
        if self.room_anywhere(count, need, &idle, now).is_some() {
            return 0;
        }
        let residence = self.config.minimum_residence_millis;
        let on_demand = self.replicas.iter().filter(|(id, _)| self.is_on_demand(id));
        let worked = on_demand.map(|(_, replica)| (replica.loaded_at + residence).millis_since(now));
        worked.min().unwrap_or(0).max(self.config.displace_after_millis)
    }

    /// The cheapest victims that free `need` MiB on `count` accelerators.
    pub(super) fn room_anywhere(
        &self,
        count: usize,
        need: u64,
        may_go: &dyn Fn(&ModelId) -> bool,
        now: Instant,
    ) -> Option<Room> {
        let costs = self.candidate_costs(may_go, now);
        let free = self.free(None);
        let mut room = Room::default();
        let mut left: Vec<usize> = (0..free.len()).collect();
        for _ in 0..count {
            let best = left
                .iter()
                .filter_map(|index| Some((*index, self.room_on_one(*index, need, &free, &costs, &room)?)))
                .min_by(|a, b| a.1.cost.total_cmp(&b.1.cost))?;
            left.retain(|index| *index != best.0);
            room = best.1;
        }
        Some(self.without_superfluous(room, count, need, &free, &costs))
    }

    /// The cheapest victims that free `need` MiB on each of the accelerators.
    pub(super) fn room_on(
        &self,
        accelerators: &[u32],
        need: u64,
        beside: Option<&ModelId>,
        may_go: &dyn Fn(&ModelId) -> bool,
        now: Instant,
    ) -> Option<Room> {
        let costs = self.candidate_costs(may_go, now);
        let free = self.free(beside);
        let mut room = Room::default();
        for index in accelerators {
            room = self.room_on_one(*index as usize, need, &free, &costs, &room)?;
        }
        Some(room)
    }

    fn room_on_one(
        &self,
        index: usize,
        need: u64,
        free: &[u64],
        costs: &BTreeMap<ModelId, f64>,
        chosen: &Room,
    ) -> Option<Room> {
        let mut room = chosen.clone();
        let mut freed = free.get(index)? + self.freed_on(index, &room.victims);
        let mut candidates: Vec<(&ModelId, f64)> = costs
            .iter()
            .filter(|(id, _)| !room.victims.contains(*id))
            .filter(|(id, _)| self.replicas[*id].accelerators.contains(&(index as u32)))
            .map(|(id, cost)| (id, *cost))
            .collect();
        candidates.sort_by(|a, b| a.1.total_cmp(&b.1));
        for (id, cost) in candidates {
            if freed >= need {
                break;
            }
            freed += self.replicas[id].footprint();
            room.victims.insert(id.clone());
            room.cost += cost;
        }
        (freed >= need).then_some(room)
    }

    fn freed_on(&self, index: usize, victims: &BTreeSet<ModelId>) -> u64 {
        victims
            .iter()
            .map(|id| &self.replicas[id])
            .filter(|replica| replica.accelerators.contains(&(index as u32)))
            .map(|replica| replica.footprint())
            .sum()
    }

    /// Spares victims without which there is still room, the dearest first.
    fn without_superfluous(
        &self,
        mut room: Room,
        count: usize,
        need: u64,
        free: &[u64],
        costs: &BTreeMap<ModelId, f64>,
    ) -> Room {
        let victims = room.victims.iter();
        let mut dearest: Vec<(ModelId, f64)> = victims.map(|id| (id.clone(), costs[id])).collect();
        dearest.sort_by(|a, b| b.1.total_cmp(&a.1));
        for (id, cost) in dearest {
            let mut fewer = room.victims.clone();
            fewer.remove(&id);
            let fitting = (0..free.len())
                .filter(|index| free[*index] + self.freed_on(*index, &fewer) >= need)
                .count();
            if fitting >= count {
                room.victims = fewer;
                room.cost -= cost;
            }
        }
        room
    }

    fn candidate_costs(&self, may_go: &dyn Fn(&ModelId) -> bool, now: Instant) -> BTreeMap<ModelId, f64> {
        self.replicas
            .iter()
            .filter(|(id, replica)| replica.phase == Phase::Loaded && self.is_on_demand(id) && may_go(id))
            .map(|(id, _)| (id.clone(), self.wake_cost(id, now)))
            .collect()
    }

    fn is_on_demand(&self, id: &ModelId) -> bool {
        self.assigned
            .get(id)
            .is_none_or(|assigned| assigned.residency == Residency::OnDemand)
    }

    /// What an unload of the model is expected to cost.
    fn wake_cost(&self, id: &ModelId, now: Instant) -> f64 {
        match self.config.eviction {
            EvictionPolicy::LeastRecentlyUsed => self.last_used(id).0 as f64,
            EvictionPolicy::ExpectedWakeCost => self.expected_wake_cost(id, now),
        }
    }

    fn expected_wake_cost(&self, id: &ModelId, now: Instant) -> f64 {
        let Some(assigned) = self.assigned.get(id) else {
            return 0.0;
        };
        let window = self.config.rate_window_millis;
        let rate: f64 = self.usage_of(id).map(|usage| usage.rate(window, now)).sum();
        self.load_millis(&assigned.model, now) as f64 * rate
    }

    fn last_used(&self, id: &ModelId) -> Instant {
        let used = self.usage_of(id).map(|usage| usage.last_used);
        used.max().unwrap_or_default()
    }

    /// The most urgent class that runs on the model.
    fn running_class(&self, id: &ModelId) -> Option<PriorityClass> {
        let running = self.usage_of(id).flat_map(|usage| usage.running.iter());
        running
            .filter(|(_, count)| **count > 0)
            .map(|(class, _)| *class)
            .min()
    }
}

fn wanted_class(id: &ModelId, all: &[Demand]) -> Option<PriorityClass> {
    all.iter()
        .filter(|demand| demand.target.model == *id)
        .map(|demand| demand.priority)
        .min()
}
