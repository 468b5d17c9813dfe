//! Values of models and of their holders: the requests per second that would be lost without them.
//! A request whose caller waits for a part of its time counts as that part of a lost one.

use std::time::Duration;

use super::{load_time, ServicePlacement};
use crate::catalog::ModelName;
use crate::replica::ReplicaId;

/// Time until the first request for an absent model is served, besides the load itself:
/// sending the order, freeing memory for the weights, and publishing the new holder.
const LOAD_OVERHEAD: Duration = Duration::from_millis(700);
/// Returns the share of their time that callers lose if their model is ready after `ready_in` and
/// they wait for `caller_time`. They arrive evenly until then; each loses the time that is left, at
/// most all that it has.
pub fn lost_share(ready_in: Duration, caller_time: Duration) -> f64 {
    let ready_s = ready_in.as_secs_f64();
    let caller_s = caller_time.as_secs_f64();
    if ready_s == 0.0 {
        0.0
    } else if ready_s <= caller_s {
        ready_s / (2.0 * caller_s)
    } else {
        1.0 - caller_s / (2.0 * ready_s)
    }
}

impl ServicePlacement<'_> {
    /// Returns the requests per second for a model that are likely to continue.
    pub(super) fn lasting_rate(&self, model: &ModelName) -> f64 {
        self.demand
            .sustained_requests_per_second(&self.key(model), self.now)
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

    fn caller_time(&self, model: &ModelName) -> Duration {
        self.demand
            .caller_time(&self.key(model))
            .unwrap_or(self.default_caller_time)
    }

    /// Returns the share of its callers' time that is lost if a model has to be loaded for them.
    fn lost_share(&self, model: &ModelName) -> f64 {
        lost_share(self.reload_time(model) + LOAD_OVERHEAD, self.caller_time(model))
    }

    /// Returns the requests per second that are lost while no replica holds the model.
    pub fn value_of_model(&self, model: &ModelName) -> f64 {
        self.lasting_rate(model) * self.lost_share(model)
    }

    /// Returns the same for a model that requests wait for. The longer they have waited, the
    /// less a load can be expected to be ready for each request.
    fn value_of_waiting(&self, model: &ModelName) -> f64 {
        let waited = self.demand.wait_time(&self.key(model), self.now);
        let ready_in = self.reload_time(model) + LOAD_OVERHEAD + waited;
        self.lasting_rate(model) * lost_share(ready_in, self.caller_time(model))
    }

    /// Returns the requests expected to be saved by loading a model that no replica holds
    /// and that a request waits for: the part of that one's time which is left then, and later
    /// ones.
    pub fn saved_by_load(&self, model: &ModelName, load: Duration) -> f64 {
        let value = if self.work.is_some() {
            self.value_of_waiting(model)
        } else {
            self.value_of_model(model)
        };
        self.time_left_after(model, load) + value * self.serving_seconds(load)
    }

    /// Returns the share of its time that a request which waits for the model has left once it is
    /// loaded.
    fn time_left_after(&self, model: &ModelName, load: Duration) -> f64 {
        let ready_s =
            (load + LOAD_OVERHEAD + self.demand.wait_time(&self.key(model), self.now)).as_secs_f64();
        let caller_s = self.caller_time(model).as_secs_f64();
        (1.0 - ready_s / caller_s.max(f64::EPSILON)).max(0.0)
    }

    /// Returns true if loading a model saves more requests than the eviction of a holder
    /// worth `evicted_value` requests per second loses.
    pub fn is_worth_loading(&self, model: &ModelName, load: Duration, evicted_value: f64) -> bool {
        self.saved_by_load(model, load) > evicted_value * self.config.horizon.as_secs_f64()
    }

    /// Returns the seconds of the horizon that remain once a load is over.
    pub fn serving_seconds(&self, load: Duration) -> f64 {
        self.config.horizon.saturating_sub(load).as_secs_f64()
    }

    /// Returns the requests per second that are on time because of the last of `holders`
    /// holders. The share that is late is assumed to be proportional to the load of each.
    fn on_time_gain_of_nth_holder(&self, model: &ModelName, holders: usize) -> f64 {
        let present = self.fleet().current_holder_count(model).max(1) as f64;
        let late_share = self.demand.late_share(&self.key(model), self.now);
        let late_share_with = |count: usize| (late_share * present / count as f64).min(1.0);
        self.lasting_rate(model) * (late_share_with(holders - 1) - late_share_with(holders))
    }

    /// Returns the requests per second that depend on the holder at a replica.
    ///
    /// Replicas that are still to load the model do not lower the value of its holders. A hash
    /// decides which of several holders are spare, so that two orderers never evict both of
    /// two.
    pub fn value_of_holder_at(&self, model: &ModelName, id: &ReplicaId) -> f64 {
        if let Some(work) = &self.work {
            return self.value_of_holder_by_work(model, id, work);
        }
        let rank = self.fleet().current_holder_rank(model, id);
        self.value_of_nth_holder(model, rank + 1)
    }

    /// Returns the requests per second that depend on the last of `holders` holders: for a
    /// sole holder all that are lost without it, for one of several those that the others
    /// would serve late. The second one also counts as a spare in case the first
    /// fails.
    pub fn value_of_nth_holder(&self, model: &ModelName, holders: usize) -> f64 {
        if holders <= 1 {
            return self.value_of_model(model);
        }
        let spare = if holders == 2 {
            self.spare_value(model)
        } else {
            0.0
        };
        self.on_time_gain_of_nth_holder(model, holders).max(spare)
    }

    /// Returns the requests per second that the second holder is worth as a spare.
    pub(super) fn spare_value(&self, model: &ModelName) -> f64 {
        let requests = self.demand.requests_per_second(&self.key(model), self.now);
        if requests < self.config.spare_holder_min_rate {
            return 0.0;
        }
        self.value_of_model(model) * self.config.spare_value_share
    }
}
