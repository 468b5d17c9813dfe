//! Which models and adapters give way.

use super::held::Phase;
use super::{AssignedModel, Demand, EngineMemory, EvictionPolicy};
use crate::cluster::Target;
use crate::configuration::PriorityClass;
use crate::identifiers::ModelId;
use crate::placement::Residency;
use crate::time::Instant;
use std::collections::{BTreeMap, BTreeSet};

/// What an unload of each model or adapter that may go is expected to cost.
pub(super) type Candidates = BTreeMap<Target, f64>;

/// Models and adapters whose unload makes room, and what it costs.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Room {
    pub(super) victims: BTreeSet<Target>,
    cost: f64,
}

impl EngineMemory {
    /// What may give way to a demand without stopping anybody's work: on-demand
    /// models and adapters that are idle and that nobody waits for.
    pub(super) fn idle_candidates(&self, all: &[Demand], now: Instant) -> Candidates {
        let models = self.idle_models(all).filter(|id| !self.is_awaited(id));
        let mut candidates: Candidates = models.map(|id| self.with_cost(model(id), now)).collect();
        candidates.extend(self.idle_adapters(all, now));
        candidates
    }

    /// The same with the models that callers may come back for: they give way to
    /// a caller that waits.
    fn idle_or_awaited_candidates(&self, now: Instant) -> Candidates {
        let models = self.idle_models(&[]);
        let mut candidates: Candidates = models.map(|id| self.with_cost(model(id), now)).collect();
        candidates.extend(self.idle_adapters(&[], now));
        candidates
    }

    /// On-demand models that neither work nor are waited for.
    fn idle_models<'a>(&'a self, all: &'a [Demand]) -> impl Iterator<Item = &'a ModelId> {
        self.loaded_on_demand().filter(|id| {
            let wanted = all.iter().any(|demand| demand.target.model == **id);
            !wanted && !self.in_use(id)
        })
    }

    /// What may give way to a demand if nothing idle is enough: busy models too,
    /// to a more urgent class, or after the demand waited and they worked long
    /// enough.
    pub(super) fn busy_candidates(&self, demand: &Demand, all: &[Demand], now: Instant) -> Candidates {
        let models = self
            .loaded_on_demand()
            .filter(|id| **id != demand.target.model && self.may_displace(demand, id, all, now));
        let mut candidates: Candidates = models.map(|id| self.with_cost(model(id), now)).collect();
        candidates.extend(self.idle_adapters(all, now));
        candidates
    }

    /// What may give way to a resident: every on-demand model, and idle adapters.
    pub(super) fn candidates_for_resident(&self, now: Instant) -> Candidates {
        let models = self.loaded_on_demand();
        let mut candidates: Candidates = models.map(|id| self.with_cost(model(id), now)).collect();
        candidates.extend(self.idle_adapters(&[], now));
        candidates
    }

    fn loaded_on_demand(&self) -> impl Iterator<Item = &ModelId> {
        let loaded = self
            .replicas
            .iter()
            .filter(|(_, replica)| replica.phase == Phase::Loaded);
        loaded.map(|(id, _)| id).filter(|id| self.is_on_demand(id))
    }

    pub(super) fn is_on_demand(&self, id: &ModelId) -> bool {
        self.assigned
            .get(id)
            .is_none_or(|assigned| assigned.residency == Residency::OnDemand)
    }

    fn idle_adapters<'a>(
        &'a self,
        all: &'a [Demand],
        now: Instant,
    ) -> impl Iterator<Item = (Target, f64)> + 'a {
        self.loaded_adapters()
            .filter(|target| !self.target_in_use(target) && !all.iter().any(|d| d.target == *target))
            .map(move |target| self.with_cost(target, now))
    }

    pub(super) fn loaded_adapters(&self) -> impl Iterator<Item = Target> + '_ {
        self.replicas.iter().flat_map(|(base, replica)| {
            let loaded = replica
                .adapters
                .iter()
                .filter(|(_, held)| held.phase == Phase::Loaded);
            loaded.map(|(id, _)| Target {
                model: base.clone(),
                adapter: Some(id.clone()),
            })
        })
    }

    fn with_cost(&self, target: Target, now: Instant) -> (Target, f64) {
        let cost = match self.config.eviction {
            EvictionPolicy::LeastRecentlyUsed => self.last_used(&target).0 as f64,
            EvictionPolicy::ExpectedWakeCost => self.expected_wake_cost(&target, now),
        };
        (target, cost)
    }

    fn expected_wake_cost(&self, target: &Target, now: Instant) -> f64 {
        let window = self.config.rate_window_millis;
        let users = self.usage.iter().filter(|(user, _)| is_part_of(user, target));
        let rate: f64 = users.map(|(_, usage)| usage.rate(window, now)).sum();
        self.reload_millis(target, now) as f64 * rate
    }

    fn last_used(&self, target: &Target) -> Instant {
        let users = self.usage.iter().filter(|(user, _)| is_part_of(user, target));
        users.map(|(_, usage)| usage.last_used).max().unwrap_or_default()
    }

    fn may_displace(&self, demand: &Demand, id: &ModelId, all: &[Demand], now: Instant) -> bool {
        let theirs = [wanted_class(id, all), self.running_class(id)];
        match theirs.into_iter().flatten().min() {
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
        let others = self.loaded_on_demand().filter(|id| **id != demand.target.model);
        let times = others.map(|id| self.displaceable_at(demand, id));
        times.filter(|at| *at > now).min()
    }

    /// The most urgent class that runs on the model.
    fn running_class(&self, id: &ModelId) -> Option<PriorityClass> {
        let running = self.usage_of(id).flat_map(|usage| usage.running.iter());
        running
            .filter(|(_, count)| **count > 0)
            .map(|(class, _)| *class)
            .min()
    }

    /// Estimated time until a load of the model finds memory: none if memory is
    /// free or something idle can go, else until a busy model may be stopped.
    pub(super) fn blocked_millis(&self, assigned: &AssignedModel, now: Instant) -> u64 {
        let Residency::OnDemand = assigned.residency else {
            return 0;
        };
        let count = assigned.model.accelerators as usize;
        let need = assigned.model.memory_mib_per_accelerator;
        if self
            .room_anywhere(count, need, &self.idle_or_awaited_candidates(now))
            .is_some()
        {
            return 0;
        }
        let residence = self.config.minimum_residence_millis;
        let worked = self
            .loaded_on_demand()
            .map(|id| (self.replicas[id].loaded_at + residence).millis_since(now));
        worked.min().unwrap_or(0).max(self.config.displace_after_millis)
    }

    /// The cheapest victims that free `need` MiB on `count` accelerators.
    pub(super) fn room_anywhere(&self, count: usize, need: u64, candidates: &Candidates) -> Option<Room> {
        let free = self.free(None);
        let mut room = Room::default();
        let mut left: Vec<usize> = (0..free.len()).collect();
        for _ in 0..count {
            let rooms = left.iter().filter_map(|index| {
                let room = self.room_on_one(*index, need, &free, candidates, &room)?;
                Some((*index, room))
            });
            let (index, cheapest) = rooms.min_by(|a, b| a.1.cost.total_cmp(&b.1.cost))?;
            left.retain(|other| *other != index);
            room = cheapest;
        }
        Some(self.without_superfluous(room, count, need, &free, candidates))
    }

    /// The cheapest victims that free `need` MiB on each of the accelerators.
    pub(super) fn room_on(
        &self,
        accelerators: &[u32],
        need: u64,
        beside: Option<&ModelId>,
        candidates: &Candidates,
    ) -> Option<Room> {
        let free = self.free(beside);
        let mut room = Room::default();
        for index in accelerators {
            room = self.room_on_one(*index as usize, need, &free, candidates, &room)?;
        }
        Some(room)
    }

    fn room_on_one(
        &self,
        index: usize,
        need: u64,
        free: &[u64],
        candidates: &Candidates,
        chosen: &Room,
    ) -> Option<Room> {
        let mut room = chosen.clone();
        let free = *free.get(index)?;
        let mut here: Vec<(&Target, f64)> = candidates
            .iter()
            .filter(|(victim, _)| !room.victims.contains(*victim) && self.is_on(victim, index))
            .map(|(victim, cost)| (victim, *cost))
            .collect();
        here.sort_by(|a, b| a.1.total_cmp(&b.1));
        for (victim, cost) in here {
            if free + self.freed_on(index, &room.victims) >= need {
                break;
            }
            room.victims.insert(victim.clone());
            room.cost += cost;
        }
        (free + self.freed_on(index, &room.victims) >= need).then_some(room)
    }

    fn is_on(&self, victim: &Target, index: usize) -> bool {
        self.replicas[&victim.model]
            .accelerators
            .contains(&(index as u32))
    }

    /// Memory that the victims free on an accelerator; an adapter goes with its
    /// base.
    fn freed_on(&self, index: usize, victims: &BTreeSet<Target>) -> u64 {
        victims
            .iter()
            .filter(|victim| self.is_on(victim, index))
            .map(|victim| {
                let replica = &self.replicas[&victim.model];
                match &victim.adapter {
                    None => replica.footprint(),
                    Some(_) if victims.contains(&model(&victim.model)) => 0,
                    Some(id) => replica.adapters.get(id).map_or(0, |held| held.memory),
                }
            })
            .sum()
    }

    /// Spares victims without which there is still room, the dearest first.
    fn without_superfluous(
        &self,
        mut room: Room,
        count: usize,
        need: u64,
        free: &[u64],
        candidates: &Candidates,
    ) -> Room {
        let victims = room.victims.iter();
        let mut dearest: Vec<(Target, f64)> = victims.map(|id| (id.clone(), candidates[id])).collect();
        dearest.sort_by(|a, b| b.1.total_cmp(&a.1));
        for (victim, cost) in dearest {
            let mut fewer = room.victims.clone();
            fewer.remove(&victim);
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
}

fn model(id: &ModelId) -> Target {
    Target {
        model: id.clone(),
        adapter: None,
    }
}

/// Whether a user's target needs `part`: a model serves all its adapters.
fn is_part_of(user: &Target, part: &Target) -> bool {
    user.model == part.model && (part.adapter.is_none() || user.adapter == part.adapter)
}

fn wanted_class(id: &ModelId, all: &[Demand]) -> Option<PriorityClass> {
    all.iter()
        .filter(|demand| demand.target.model == *id)
        .map(|demand| demand.priority)
        .min()
}
