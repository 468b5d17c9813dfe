//! Goals: the model that a replica should load next, and the orders that lead there.

use std::time::Duration;

use crate::catalog::{EngineSpec, ModelName, ServiceName};
use crate::demand::ModelKey;
use crate::placement::{load_time, weight_source, CandidateScope, TrackedReplica, WeightSource};
use crate::replica::{Order, ReplicaId};
use crate::time::Moment;

use super::{Decision, GoalReason, Orderer, OrdererAction};

/// Maximum number of models for which one plan selects targets.
const MAX_GOALS_PER_PLAN: usize = 6;
/// Time for which a waiting model is left to the orderer of the best replica, before another
/// shard's orderer may load it.
pub(super) const MODEL_PATIENCE: Duration = Duration::from_millis(700);
/// Time within which a withdrawal at one of two holders is known to the orderer of the other
/// one: twice the 240 ms that an update takes to reach all nodes.
const WITHDRAWAL_PROPAGATION_TIME: Duration = Duration::from_millis(500);

impl Orderer {
    /// Sets goals for models that requests wait for and no replica holds.
    pub(super) fn set_goals(
        &mut self,
        service: &ServiceName,
        engine: &EngineSpec,
        waiting: &[ModelKey],
        now: Moment,
    ) {
        let mut requested: Vec<&ModelName> = waiting
            .iter()
            .filter(|key| key.service == *service)
            .map(|key| &key.model)
            .collect();
        requested.dedup();
        if requested.is_empty() {
            return;
        }
        let view = self.placement_of(service, engine, now);
        requested.retain(|model| view.expected_holder_count(model) == 0);
        if view.work.is_some() {
            self.set_goals_by_time_left(service, engine, requested, now);
            return;
        }
        // Target selection is expensive, so the other models follow in the next plans.
        let first = self
            .waiting_models_offset
            .checked_rem(requested.len())
            .unwrap_or(0);
        requested.rotate_left(first);
        requested.truncate(MAX_GOALS_PER_PLAN);
        self.waiting_models_offset = self.waiting_models_offset.wrapping_add(requested.len());
        for model in requested {
            self.set_waiting_goal(service, engine, model, now);
        }
    }

    /// Sets such goals in the order of the time that the models' callers have left. Each model is
    /// tried once before any is tried again.
    fn set_goals_by_time_left(
        &mut self,
        service: &ServiceName,
        engine: &EngineSpec,
        requested: Vec<&ModelName>,
        now: Moment,
    ) {
        let default_caller_time = self.configuration.longest_attempt(service);
        let mut by_urgency: Vec<(bool, bool, Duration, ModelName)> = requested
            .into_iter()
            .map(|model| {
                let key = ModelKey {
                    service: service.clone(),
                    model: model.clone(),
                    adapter: None,
                };
                let caller_time = self.demand.caller_time(&key).unwrap_or(default_caller_time);
                let waited = self.demand.wait_time(&key, now);
                let remaining = caller_time.saturating_sub(waited);
                let was_tried = self.tried_waiting_models.contains(model);
                (was_tried, remaining.is_zero(), remaining, model.clone())
            })
            .collect();
        by_urgency.sort_unstable();
        if by_urgency.first().is_some_and(|(was_tried, ..)| *was_tried) {
            self.tried_waiting_models.clear();
        }
        by_urgency.truncate(MAX_GOALS_PER_PLAN);
        for (.., model) in by_urgency {
            self.tried_waiting_models.insert(model.clone());
            self.set_waiting_goal(service, engine, &model, now);
        }
    }

    /// Selects a target for a model that requests wait for and no replica holds.
    fn set_waiting_goal(
        &mut self,
        service: &ServiceName,
        engine: &EngineSpec,
        model: &ModelName,
        now: Moment,
    ) {
        let store_allowed = self.may_plan_store_load(service, engine, now);
        let slots = self.usual_slots(service);
        let view = self.placement_of(service, engine, now);
        let key = ModelKey {
            service: service.clone(),
            model: model.clone(),
            adapter: None,
        };
        let best = view.best_target(model, store_allowed, CandidateScope::All);
        let waited = self.demand.wait_time(&key, now);
        let home = best.as_ref().map(|target| &target.replica);
        if !self.config.scope.may_act(home, waited, MODEL_PATIENCE) {
            return;
        }
        let target = view.best_target(model, store_allowed, CandidateScope::Own);
        let target = target.filter(|target| {
            let saved = view.saved_by_load(model, target.load_time);
            let store_load = engine.models.get(model).map(|spec| spec.store_load);
            let from_store = Some(target.load_time) == store_load;
            saved > target.missed_requests
                && !(from_store && view.store_load_gains_more(saved, target.load_time, slots))
        });
        if let Some(best) = best {
            self.await_confirmation(&best.replica, now);
        }
        if let Some(target) = target {
            self.set_goal(&target.replica, model.clone(), GoalReason::Waiting, 0);
        }
    }

    /// Sets goals for one more holder of each of the models that gain most by it.
    pub(super) fn add_holders(&mut self, service: &ServiceName, engine: &EngineSpec, now: Moment) {
        let mut underprovisioned = self.underprovisioned_models(service, engine, now);
        if self.knows_work(service) {
            self.move_tried_models_last(&mut underprovisioned);
        }
        underprovisioned.truncate(MAX_GOALS_PER_PLAN);
        for (gain, model) in underprovisioned {
            self.add_holder(service, engine, &model, gain, now);
        }
    }

    /// Moves the models that were tried in this round behind the others, and marks the first
    /// ones as tried. Otherwise the neediest models, which all replicas with a copy hold
    /// already, would block all others.
    fn move_tried_models_last(&mut self, underprovisioned: &mut [(f64, ModelName)]) {
        if underprovisioned
            .iter()
            .all(|(_, model)| self.tried_underprovisioned_models.contains(model))
        {
            self.tried_underprovisioned_models.clear();
        }
        underprovisioned.sort_by_key(|(_, model)| self.tried_underprovisioned_models.contains(model));
        let tried = underprovisioned.iter().take(MAX_GOALS_PER_PLAN);
        self.tried_underprovisioned_models
            .extend(tried.map(|(_, model)| model.clone()));
    }

    /// Returns the models that gain by one more holder, the largest gain first, with the gain:
    /// the additional requests per second that are served on time.
    fn underprovisioned_models(
        &self,
        service: &ServiceName,
        engine: &EngineSpec,
        now: Moment,
    ) -> Vec<(f64, ModelName)> {
        let config = &self.config.placement;
        let horizon_s = config.horizon.as_secs_f64();
        let view = self.placement_of(service, engine, now);
        let slots = self.usual_slots(service);
        let gain_if_needed = |model: &ModelName| {
            let count = view.expected_holder_count(model);
            let gain = view.on_time_gain_of_next_holder(model, slots);
            let gain = gain.unwrap_or_else(|| view.value_of_nth_holder(model, count + 1));
            let is_needed = count > 0 && gain * horizon_s > config.min_on_time_gain;
            is_needed.then(|| (gain, model.clone()))
        };
        let considered: Vec<&ModelName> = match &view.work {
            Some(_) => self.models_to_consider(engine, &view),
            None => engine.model_order.iter().collect(),
        };
        let mut underprovisioned: Vec<(f64, ModelName)> =
            considered.into_iter().filter_map(gain_if_needed).collect();
        underprovisioned.sort_by(|left, right| right.0.total_cmp(&left.0));
        underprovisioned
    }

    /// Selects a target for one more holder of a model, if the gain outweighs the cost.
    fn add_holder(
        &mut self,
        service: &ServiceName,
        engine: &EngineSpec,
        model: &ModelName,
        gain: f64,
        now: Moment,
    ) {
        let store_allowed = self.may_plan_store_load(service, engine, now);
        // As long as the work is unknown, so is which model needs the weight store most.
        let store_allowed = store_allowed && (!self.follows_work(service) || self.knows_work(service));
        let view = self.placement_of(service, engine, now);
        // All orderers find the same best replica; the one that sends orders there acts.
        let best = view.best_target(model, store_allowed, CandidateScope::All);
        if best
            .as_ref()
            .is_none_or(|best| !self.config.scope.covers(&best.replica))
        {
            return;
        }
        let target = view.best_target(model, store_allowed, CandidateScope::Own);
        let min_gain_ratio = self.config.placement.min_gain_ratio;
        let target = target.filter(|target| {
            let gain = target.on_time_gain.unwrap_or(gain);
            gain * view.serving_seconds(target.load_time) > min_gain_ratio * target.missed_requests
        });
        if let Some(best) = best {
            self.await_confirmation(&best.replica, now);
        }
        if let Some(target) = target {
            let count = self
                .placement_of(service, engine, now)
                .expected_holder_count(model);
            self.set_goal(&target.replica, model.clone(), GoalReason::Demand, count);
        }
    }

    /// Sets a replica's goal and records the decision. `holders` is the number of other
    /// replicas that hold the model or are to load it.
    pub(super) fn set_goal(&mut self, id: &ReplicaId, model: ModelName, reason: GoalReason, holders: usize) {
        self.version_waits.forget_goal(id);
        if let Some(replica) = self.replicas.get_mut(id) {
            let source = weight_source(replica.ledger.holdings(), &model);
            let decision = Decision::Goal {
                replica: id.clone(),
                model: model.clone(),
                reason,
                holders,
                source,
            };
            self.decisions.push(decision);
            replica.goal = Some(model);
            self.changed.insert(id.clone());
        }
    }

    /// Adds the next order of each replica that has a goal: to load it, or to free memory.
    pub(super) fn step_goals(
        &mut self,
        service: &ServiceName,
        engine: &EngineSpec,
        now: Moment,
        actions: &mut Vec<OrdererAction>,
    ) {
        let takes_orders = |id: &&ReplicaId| self.replicas.get(id).is_some_and(TrackedReplica::takes_orders);
        let fleet = self.replicas.fleet(service);
        let ids: Vec<ReplicaId> = fleet.with_goal().filter(takes_orders).cloned().collect();
        drop(fleet);
        for id in ids {
            if let Some(order) = self.next_step(&id, service, engine, now) {
                actions.push(self.send(&id, order, now));
            }
        }
    }

    /// Returns the next order towards a replica's goal, if one can be sent now.
    pub(super) fn next_step(
        &mut self,
        id: &ReplicaId,
        service: &ServiceName,
        engine: &EngineSpec,
        now: Moment,
    ) -> Option<Order> {
        let replica = self.replicas.get(id)?;
        let goal = replica.goal.clone()?;
        let holdings = replica.ledger.holdings();
        if holdings.serves(&goal, None) || !engine.models.contains_key(&goal) {
            self.drop_goal(id);
            return None;
        }
        if replica.has_room_for(engine, &Order::LoadModel(goal.clone())) {
            return self.load_step(id, goal, service, engine, now);
        }
        self.eviction_step(id, service, engine, now)
    }

    /// Returns the order to load the goal, unless it needs the weight store and the ceiling
    /// does not admit the load.
    pub(super) fn load_step(
        &mut self,
        id: &ReplicaId,
        goal: ModelName,
        service: &ServiceName,
        engine: &EngineSpec,
        now: Moment,
    ) -> Option<Order> {
        let from_store =
            weight_source(self.replicas.get(id)?.ledger.holdings(), &goal) == WeightSource::Store;
        if from_store {
            let ceiling = self.own_ceiling(service, engine);
            if !self.ceiling_admits(service, ceiling, now) {
                return None;
            }
            if let Some(ceiling) = self.load_ceilings.get_mut(service) {
                ceiling.record_start(now);
            }
            self.store_loads.insert(id.clone(), now);
        }
        Some(Order::LoadModel(goal))
    }

    /// Withdraws a model to free memory for the goal, and returns the order to unload it once
    /// the notice is over.
    pub(super) fn eviction_step(
        &mut self,
        id: &ReplicaId,
        service: &ServiceName,
        engine: &EngineSpec,
        now: Moment,
    ) -> Option<Order> {
        let replica = self.replicas.get(id)?;
        if let Some((model, since)) = &replica.withdrawn {
            if !replica.ledger.holdings().serves(model, None) {
                self.replicas.get_mut(id)?.withdrawn = None;
                return None;
            }
            let withdrawn_for = now.since(*since);
            if withdrawn_for < self.config.withdraw_notice {
                return None;
            }
            if withdrawn_for < self.notice_before_unload(id, model, service, engine, now) {
                return None;
            }
            let model = model.clone();
            if self.is_needed_again(id, &model, service, engine, now) {
                self.drop_goal(id);
                return None;
            }
            return Some(Order::UnloadModel(model));
        }
        let view = self.placement_of(service, engine, now);
        let Some(victim) = view.victim(id, replica) else {
            self.drop_goal(id);
            return None;
        };
        let count = view.expected_holder_count(&victim);
        let value = view.value_of_holder_at(&victim, id);
        let load = load_time(engine, replica.ledger.holdings(), replica.goal.as_ref()?)?;
        let goal = replica.goal.as_ref()?;
        let horizon_s = self.config.placement.horizon.as_secs_f64();
        let is_worth_it = match self.version_waits.waiting_for_goal(id) {
            Some(waiting) => waiting > value * horizon_s,
            None => view.is_worth_loading_at(goal, replica, load, value),
        };
        if !is_worth_it {
            // The victim lost another holder since the goal was set.
            self.drop_goal(id);
            return None;
        }
        let decision = Decision::Evict {
            replica: id.clone(),
            model: victim.clone(),
            value,
            holders: count,
        };
        self.decisions.push(decision);
        self.replicas.get_mut(id)?.withdrawn = Some((victim, now));
        self.changed.insert(id.clone());
        None
    }

    /// Returns the time between a model's withdrawal from a replica and its unload. If one
    /// other replica holds the model, that replica's orderer may have withdrawn it at the same
    /// time, as the orderers may disagree on which of the two holders is spare. One of them,
    /// selected by a hash, therefore waits until it would know of the other withdrawal.
    fn notice_before_unload(
        &self,
        id: &ReplicaId,
        withdrawn: &ModelName,
        service: &ServiceName,
        engine: &EngineSpec,
        now: Moment,
    ) -> Duration {
        let view = self.placement_of(service, engine, now);
        let fleet = view.fleet();
        let is_one_of_two = view.work.is_some() && fleet.current_holder_count(withdrawn) == 1;
        if is_one_of_two && fleet.ranks_first(withdrawn, id) {
            WITHDRAWAL_PROPAGATION_TIME.max(self.config.withdraw_notice)
        } else {
            self.config.withdraw_notice
        }
    }

    /// Returns true if the model withdrawn from a replica has lost its other holders and is
    /// worth more than the goal. Another orderer may have withdrawn it at the same time: which
    /// holders are spare depends on reported loads, which orderers know differently.
    fn is_needed_again(
        &self,
        id: &ReplicaId,
        withdrawn: &ModelName,
        service: &ServiceName,
        engine: &EngineSpec,
        now: Moment,
    ) -> bool {
        let view = self.placement_of(service, engine, now);
        if view.work.is_none() || view.fleet().current_holder_count(withdrawn) > 0 {
            return false;
        }
        let goal = self.replicas.get(id).and_then(|replica| replica.goal.as_ref());
        let worth = goal.zip(self.replicas.get(id)).and_then(|(goal, replica)| {
            let load = load_time(engine, replica.ledger.holdings(), goal)?;
            let value = view.value_of_model(withdrawn);
            Some(view.is_worth_loading_at(goal, replica, load, value))
        });
        worth == Some(false)
    }

    /// Removes a replica's goal and cancels the withdrawal made for it.
    pub(super) fn drop_goal(&mut self, id: &ReplicaId) {
        self.version_waits.forget_goal(id);
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.goal = None;
            replica.withdrawn = None;
            self.changed.insert(id.clone());
        }
    }
}
