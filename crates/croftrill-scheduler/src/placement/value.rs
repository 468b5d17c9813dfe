//! Values of models and of their holders: the requests per second that would miss their
//! objective without them.

use std::time::Duration;

use super::{load_time, ServicePlacement};
use crate::catalog::ModelName;
use crate::replica::ReplicaId;

/// Time until the first request for an absent model is served, besides the load itself:
/// sending the order, freeing memory for the weights, and publishing the new holder.
const LOAD_OVERHEAD: Duration = Duration::from_millis(700);
/// Fraction of the objective up to which waiting for a load costs next to nothing.
const FREE_WAIT_SHARE: f64 = 0.5;
/// Minimum share of requests that miss their objective while their model is loaded.
const LEAST_MISSED: f64 = 0.1;
/// Credit for a request that is refused, retried and then served on time, relative to one
/// that is served at once.
const LATE_CREDIT: f64 = 0.5;

/// Returns the share of requests that miss their objective if their model is ready after
/// `ready_in`: next to none up to half of the objective, all of them from the full objective.
pub fn missed_share(ready_in: Duration, objective: Duration) -> f64 {
    let objective_s = objective.as_secs_f64().max(f64::EPSILON);
    let used = ready_in.as_secs_f64() / objective_s;
    let missed = (used - FREE_WAIT_SHARE) / (1.0 - FREE_WAIT_SHARE);
    missed.clamp(LEAST_MISSED, 1.0)
}

impl ServicePlacement<'_> {
    /// Returns the requests per second for a model that are likely to continue.
    pub(super) fn lasting_rate(&self, model: &ModelName) -> f64 {
        self.demand
            .lasting_requests_per_second(&self.key(model), self.now)
    }

    /// Returns the shortest time in which a replica can load the model.
    fn reload_time(&self, model: &ModelName) -> Duration {
        if let Some(time) = self.reload_times.borrow().get(model) {
            return *time;
        }
        let from_store = self.engine.models.get(model).map(|spec| spec.store_load);
        let time = self.copy_load_time(model).or(from_store).unwrap_or_default();
        self.reload_times.borrow_mut().insert(model.clone(), time);
        time
    }

    /// Returns the shortest load time among the replicas with a copy of the weights.
    fn copy_load_time(&self, model: &ModelName) -> Option<Duration> {
        let fleet = self.fleet();
        let with_copy = fleet.with_copy(model).filter_map(|id| self.replicas.get(id));
        let times = with_copy.filter_map(|replica| load_time(self.engine, replica.ledger.holdings(), model));
        times.min()
    }

    fn objective(&self, model: &ModelName) -> Duration {
        self.demand
            .objective(&self.key(model))
            .unwrap_or(self.usual_objective)
    }

    /// Returns the share of a model's requests that miss their objective if it has to be
    /// loaded for them.
    fn missed_share(&self, model: &ModelName) -> f64 {
        missed_share(self.reload_time(model) + LOAD_OVERHEAD, self.objective(model))
    }

    /// Returns the requests per second that miss their objective while no replica holds the
    /// model.
    pub fn value_of_model(&self, model: &ModelName) -> f64 {
        self.lasting_rate(model) * self.missed_share(model)
    }

    /// Returns the same for a model that requests wait for. The longer they have waited, the
    /// less a load can be expected to be ready for each request.
    fn value_of_waiting(&self, model: &ModelName) -> f64 {
        let waited = self.demand.waited(&self.key(model), self.now);
        let ready_in = self.reload_time(model) + LOAD_OVERHEAD + waited;
        self.lasting_rate(model) * missed_share(ready_in, self.objective(model))
    }

    /// Returns the requests expected to be saved by loading a model that no replica holds
    /// and that a request waits for.
    pub fn saved_by_load(&self, model: &ModelName, load: Duration) -> f64 {
        let in_time = load + LOAD_OVERHEAD <= self.objective(model);
        let waiting = if in_time { 1.0 } else { LATE_CREDIT };
        let value = if self.work.is_some() {
            self.value_of_waiting(model)
        } else {
            self.value_of_model(model)
        };
        waiting + value * self.stay_s(load)
    }

    /// Returns true if loading a model saves more requests than the eviction of a holder
    /// worth `displaced` requests per second loses.
    pub fn is_worth(&self, model: &ModelName, load: Duration, displaced: f64) -> bool {
        self.saved_by_load(model, load) > displaced * self.config.horizon.as_secs_f64()
    }

    /// Returns the seconds of the horizon that remain once a load is over.
    pub fn stay_s(&self, load: Duration) -> f64 {
        self.config.horizon.saturating_sub(load).as_secs_f64()
    }

    /// Returns the requests per second that are on time because of the last of `holders`
    /// holders. The share that is late is assumed to be proportional to the load of each.
    fn kept_in_time(&self, model: &ModelName, holders: usize) -> f64 {
        let present = self.fleet().keeper_count(model).max(1) as f64;
        let late_share = self.demand.late_share(&self.key(model), self.now);
        let late_with = |count: usize| (late_share * present / count as f64).min(1.0);
        self.lasting_rate(model) * (late_with(holders - 1) - late_with(holders))
    }

    /// Returns the requests per second that depend on the holder at a replica.
    ///
    /// Replicas that are still to load the model do not lower the value of its holders. A hash
    /// decides which of several holders are spare, so that two orderers never evict both of
    /// two.
    pub fn value_of_held(&self, model: &ModelName, id: &ReplicaId) -> f64 {
        if let Some(work) = &self.work {
            return self.value_by_work(model, id, work);
        }
        let rank = self.fleet().keeper_rank(model, id);
        self.value_of_holder(model, rank + 1)
    }

    /// Returns the requests per second that depend on the last of `holders` holders: for a
    /// sole holder all that miss their objective without it, for one of several those that
    /// the others would serve late. The second one also counts as a spare in case the first
    /// fails.
    pub fn value_of_holder(&self, model: &ModelName, holders: usize) -> f64 {
        if holders <= 1 {
            return self.value_of_model(model);
        }
        let spare = if holders == 2 {
            self.spare_value(model)
        } else {
            0.0
        };
        self.kept_in_time(model, holders).max(spare)
    }

    /// Returns the requests per second that the second holder is worth as a spare.
    pub(super) fn spare_value(&self, model: &ModelName) -> f64 {
        let requests = self.demand.requests_per_second(&self.key(model), self.now);
        if requests < self.config.spare_holder_from {
            return 0.0;
        }
        self.value_of_model(model) * self.config.spare_share
    }
}
