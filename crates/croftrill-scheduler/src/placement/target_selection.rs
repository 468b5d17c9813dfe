//! Selection of the replica that loads a model and of the models that are evicted there.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{
    load_time, weight_source, ControlCalls, ServicePlacement, ServiceWork, TrackedReplica, WeightSource,
};
use crate::catalog::ModelName;
use crate::replica::{ReplicaId, ReplicaState};

/// A replica that should load a model.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementTarget {
    /// The replica.
    pub replica: ReplicaId,
    /// Requests that are expected to be lost because of the load.
    pub missed_requests: f64,
    /// Expected time of the load.
    pub load_time: Duration,
    /// Additional requests per second that are served on time with this holder; `None` where
    /// holders do not follow the work.
    pub on_time_gain: Option<f64>,
}

/// The replicas that may be selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CandidateScope {
    /// Those that some orderer sends orders to, idle or not. All orderers see the same set,
    /// and so agree on which of them acts.
    All,
    /// Those that take orders from this orderer now.
    Own,
}

impl ServicePlacement<'_> {
    /// Returns the model to evict first from a replica: the one of the least value.
    pub fn victim(&self, id: &ReplicaId, replica: &TrackedReplica) -> Option<ModelName> {
        let present = &replica.ledger.holdings().models;
        present
            .iter()
            .map(|held| &held.model)
            .filter(|model| replica.goal.as_ref() != Some(model))
            .filter(|model| !replica.is_recently_loaded(model, self.config.min_residence, self.now))
            .map(|model| (self.value_of_holder_at(model, id), model))
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, model)| model.clone())
    }

    /// Returns the value of the models that a replica must evict to fit `model`, and the models
    /// that stay there; `None` if it does not fit.
    fn evictions_for<'r>(
        &self,
        id: &ReplicaId,
        replica: &'r TrackedReplica,
        model: &ModelName,
    ) -> Option<(f64, Vec<&'r ModelName>)> {
        let holdings = replica.ledger.holdings();
        let needed = self.engine.models.get(model)?.weights_mb;
        let mut free = self.engine.weights_mb - replica.room_use(self.engine).memory_mb;
        let held = holdings.models.iter().map(|held| &held.model);
        let (fresh, others): (Vec<_>, Vec<_>) =
            held.partition(|model| replica.is_recently_loaded(model, self.config.min_residence, self.now));
        let mut values: Vec<(f64, f64, &ModelName)> = others
            .into_iter()
            .map(|held| {
                let spec = self.engine.models.get(held);
                let memory = spec.map_or(0.0, |spec| spec.weights_mb);
                (self.value_of_holder_at(held, id), memory, held)
            })
            .collect();
        values.sort_by(|left, right| left.0.total_cmp(&right.0));
        let mut evicted_value = 0.0;
        let mut remaining = fresh;
        for (value, memory, held) in values {
            if free >= needed {
                remaining.push(held);
                continue;
            }
            free += memory;
            evicted_value += value;
        }
        (free >= needed).then_some((evicted_value, remaining))
    }

    /// Returns the requests per second for adapters on a replica; loads of weights there delay
    /// them.
    fn adapter_request_rate(&self, replica: &TrackedReplica) -> f64 {
        let held = replica.ledger.holdings().models.iter();
        let rates = held.map(|held| {
            let count = self.expected_holder_count(&held.model).max(1);
            self.demand
                .adapter_requests_per_second(&self.key(&held.model), self.now)
                / count as f64
        });
        rates.sum()
    }

    /// Returns the replica that should load a model next, with what the load costs.
    pub fn best_target(
        &self,
        model: &ModelName,
        store_allowed: bool,
        scope: CandidateScope,
    ) -> Option<PlacementTarget> {
        let fleet = self.fleet();
        self.best_of(fleet.candidates_for(model), model, store_allowed, scope)
    }

    /// Returns the same among some replicas only.
    pub fn best_target_among(
        &self,
        replicas: &BTreeSet<ReplicaId>,
        model: &ModelName,
        store_allowed: bool,
        scope: CandidateScope,
    ) -> Option<PlacementTarget> {
        self.best_of(replicas.iter().collect(), model, store_allowed, scope)
    }

    fn best_of(
        &self,
        candidates: BTreeSet<&ReplicaId>,
        model: &ModelName,
        store_allowed: bool,
        scope: CandidateScope,
    ) -> Option<PlacementTarget> {
        if let Some(work) = &self.work {
            return self.best_of_by_work(candidates, model, store_allowed, scope, work);
        }
        let rate = self.lasting_rate(model);
        let cost = |id: &ReplicaId, replica: &TrackedReplica| -> Option<(f64, Duration)> {
            let holdings = replica.ledger.holdings();
            let (evicted_value, _) = self.evictions_for(id, replica, model)?;
            let load = load_time(self.engine, holdings, model)?;
            let adapters = self.adapter_request_rate(replica) * self.config.adapter_block_share;
            let displacement = evicted_value * self.config.horizon.as_secs_f64();
            Some((displacement + adapters * load.as_secs_f64(), load))
        };
        candidates
            .into_iter()
            .filter_map(|id| self.replicas.get_key_value(id))
            .filter(|(_, replica)| replica.goal.is_none() && may_load(replica, model, store_allowed, scope))
            .filter_map(|(id, replica)| {
                cost(id, replica).map(|(missed_requests, load)| (missed_requests, load, id, replica))
            })
            .min_by(|left, right| {
                let waits = |load: Duration| load.as_secs_f64() * (1.0 + rate);
                let total =
                    |(missed_requests, load, ..): &(f64, Duration, _, _)| missed_requests + waits(*load);
                let by_restriction = call_restriction(left.3, scope).cmp(&call_restriction(right.3, scope));
                by_restriction.then(total(left).total_cmp(&total(right)))
            })
            .map(|(missed_requests, load, id, _)| PlacementTarget {
                replica: id.clone(),
                missed_requests,
                load_time: load,
                on_time_gain: None,
            })
    }

    /// Returns the same where holders follow the work: a replica is also rated by the requests
    /// it serves on time and by what the other models there lose. If all replicas are in scope,
    /// `None` is returned as well if the best one has another goal at the moment: waiting for it
    /// is better than a worse replica or a load from the weight store.
    fn best_of_by_work(
        &self,
        candidates: BTreeSet<&ReplicaId>,
        model: &ModelName,
        store_allowed: bool,
        scope: CandidateScope,
        work: &ServiceWork,
    ) -> Option<PlacementTarget> {
        let rate = self.lasting_rate(model);
        let candidates = candidates
            .into_iter()
            .filter_map(|id| self.replicas.get_key_value(id))
            .filter(|(_, replica)| may_load(replica, model, store_allowed, scope))
            .filter(|(_, replica)| scope == CandidateScope::All || replica.goal.is_none());
        let rated = candidates.filter_map(|(id, replica)| {
            let (total, target) = self.evaluate_by_work(model, id, replica, rate, work)?;
            Some((call_restriction(replica, scope), total, replica, target))
        });
        let best = rated.min_by(|left, right| left.0.cmp(&right.0).then(left.1.total_cmp(&right.1)));
        best.filter(|(.., replica, _)| replica.goal.is_none())
            .map(|(.., target)| target)
    }

    /// Rates a replica for a model of `rate` requests per second. The cost is what is lost there
    /// and by the requests that wait, minus what is served on time.
    fn evaluate_by_work(
        &self,
        model: &ModelName,
        id: &ReplicaId,
        replica: &TrackedReplica,
        rate: f64,
        work: &ServiceWork,
    ) -> Option<(f64, PlacementTarget)> {
        let (evicted_value, remaining) = self.evictions_for(id, replica, model)?;
        let load = load_time(self.engine, replica.ledger.holdings(), model)?;
        let adapters = self.adapter_request_rate(replica) * self.config.adapter_block_share;
        let late_rate_by_sharing = self.late_rate_by_sharing(model, replica, &remaining, work);
        let horizon_s = self.config.horizon.as_secs_f64();
        let missed_requests =
            (evicted_value + late_rate_by_sharing) * horizon_s + adapters * load.as_secs_f64();
        let on_time_gain = self.on_time_gain_at(model, replica, work);
        let wait_for_goal = self.goal_load_time(replica);
        let waits = (load + wait_for_goal).as_secs_f64() * (1.0 + rate);
        let total = missed_requests + waits - on_time_gain * self.serving_seconds(load + wait_for_goal);
        let target = PlacementTarget {
            replica: id.clone(),
            missed_requests,
            load_time: load,
            on_time_gain: Some(on_time_gain),
        };
        Some((total, target))
    }

    /// Returns the load time of a replica's goal, or zero if it has none.
    fn goal_load_time(&self, replica: &TrackedReplica) -> Duration {
        let goal = replica.goal.as_ref();
        let load = goal.and_then(|goal| load_time(self.engine, replica.ledger.holdings(), goal));
        load.unwrap_or_default()
    }
}

/// Returns true if the replica is ready, lacks the model and can be ordered to load it. Loads
/// from the weight store count only if they are allowed.
fn may_load(replica: &TrackedReplica, model: &ModelName, store_allowed: bool, scope: CandidateScope) -> bool {
    let holdings = replica.ledger.holdings();
    replica.state == ReplicaState::Ready
        && replica.is_candidate(scope)
        && !holdings.serves(model, None)
        && (store_allowed || weight_source(holdings, model) != WeightSource::Store)
}

/// Returns the restriction on calls to a replica, as far as all orderers that choose agree on
/// it.
fn call_restriction(replica: &TrackedReplica, scope: CandidateScope) -> ControlCalls {
    match scope {
        // Another orderer may not know of the restriction.
        CandidateScope::All => ControlCalls::Free,
        CandidateScope::Own => replica.control_calls,
    }
}
