//! What models and their holders are worth: requests a second that would miss
//! their objective without them.

use std::time::Duration;

use super::{load_time, ServicePlacement};
use crate::catalog::ModelName;
use crate::replica::ReplicaId;

/// Time from the first request for an absent model to when it is served, besides
/// the load itself: the order, room for the weights, and the news of it.
const LOAD_OVERHEAD: Duration = Duration::from_millis(700);
/// Part of the objective up to which waiting for a load costs next to nothing.
const FREE_WAIT_SHARE: f64 = 0.5;
/// Least share of requests that miss their objective while their model is loaded.
const LEAST_MISSED: f64 = 0.1;
/// Credit of a request that is refused, comes back and is then served in time.
const LATE_CREDIT: f64 = 0.5;

/// Share of requests that miss their objective when they must wait so long for
/// their model: next to none up to half of the objective, all from the whole on.
pub fn missed_share(ready_in: Duration, objective: Duration) -> f64 {
    let objective_s = objective.as_secs_f64().max(f64::EPSILON);
    let used = ready_in.as_secs_f64() / objective_s;
    let missed = (used - FREE_WAIT_SHARE) / (1.0 - FREE_WAIT_SHARE);
    missed.clamp(LEAST_MISSED, 1.0)
}

impl ServicePlacement<'_> {
    /// Requests a second for a model that are likely to go on.
    pub(super) fn lasting_rate(&self, model: &ModelName) -> f64 {
        self.demand
            .lasting_requests_per_second(&self.key(model), self.now)
    }

    /// Least time in which some replica can load the model.
    fn reload_time(&self, model: &ModelName) -> Duration {
        if let Some(time) = self.reload_times.borrow().get(model) {
            return *time;
        }
        let from_store = self.engine.models.get(model).map(|spec| spec.store_load);
        let time = self.copy_load_time(model).or(from_store).unwrap_or_default();
        self.reload_times.borrow_mut().insert(model.clone(), time);
        time
    }

    /// The same, from a copy of its weights.
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

    /// Share of a model's requests that miss their objective while it must be
    /// loaded for them.
    fn missed_share(&self, model: &ModelName) -> f64 {
        missed_share(self.reload_time(model) + LOAD_OVERHEAD, self.objective(model))
    }

    /// Requests a second that miss their objective while no replica holds the model.
    pub fn value_of_model(&self, model: &ModelName) -> f64 {
        self.lasting_rate(model) * self.missed_share(model)
    }

    /// The same of a model that is waited for: the longer it has been, the less it can be
    /// counted on to be loaded for each request.
    fn value_of_waiting(&self, model: &ModelName) -> f64 {
        let waited = self.demand.waited(&self.key(model), self.now);
        let ready_in = self.reload_time(model) + LOAD_OVERHEAD + waited;
        self.lasting_rate(model) * missed_share(ready_in, self.objective(model))
    }

    /// Requests expected to be saved by loading a model that is held nowhere and
    /// that a request waits for.
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

    /// True if loading a model saves more than is lost with a holder of so much value.
    pub fn is_worth(&self, model: &ModelName, load: Duration, displaced: f64) -> bool {
        self.saved_by_load(model, load) > displaced * self.config.horizon.as_secs_f64()
    }

    /// Seconds for which a model serves once its load is over.
    pub fn stay_s(&self, load: Duration) -> f64 {
        self.config.horizon.saturating_sub(load).as_secs_f64()
    }

    /// Requests a second that are in time because of the last of so many holders:
    /// those that the present ones serve late are taken to grow in proportion to
    /// the load of each.
    fn kept_in_time(&self, model: &ModelName, holders: usize) -> f64 {
        let present = self.fleet().keeper_count(model).max(1) as f64;
        let late_share = self.demand.late_share(&self.key(model), self.now);
        let late_with = |count: usize| (late_share * present / count as f64).min(1.0);
        self.lasting_rate(model) * (late_with(holders - 1) - late_with(holders))
    }

    /// Requests a second that depend on one holder at a replica.
    ///
    /// Holders that are still on their way save no other. Which of several are
    /// spare follows from a hash, so that no two orderers drop both of two.
    pub fn value_of_held(&self, model: &ModelName, id: &ReplicaId) -> f64 {
        if let Some(work) = &self.work {
            return self.value_by_work(model, id, work);
        }
        let rank = self.fleet().keeper_rank(model, id);
        self.value_of_holder(model, rank + 1)
    }

    /// Requests a second that depend on the last of so many holders of a model:
    /// on the only one all that miss their objective without it; on one of several
    /// those that the others would serve too late. The second is a spare, too, for
    /// when the first fails.
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

    /// Requests a second that the second holder counts for as a spare.
    pub(super) fn spare_value(&self, model: &ModelName) -> f64 {
        let requests = self.demand.requests_per_second(&self.key(model), self.now);
        if requests < self.config.spare_holder_from {
            return 0.0;
        }
        self.value_of_model(model) * self.config.spare_share
    }
}
