//! Selection of the replica that loads a model and of the models that are evicted there.

use std::time::Duration;

use super::{
    load_time, memory_used, weight_source, ControlCalls, PlacedReplica, ServicePlacement, ServiceWork,
    WeightSource,
};
use crate::catalog::ModelName;
use crate::replica::{ReplicaId, ReplicaState};

/// A replica that should load a model.
#[derive(Debug, Clone, PartialEq)]
pub struct Place {
    /// The replica.
    pub replica: ReplicaId,
    /// Requests that are expected to miss their objective because of the load.
    pub lost: f64,
    /// Expected time of the load.
    pub load: Duration,
    /// Additional requests per second that are served on time with this holder; `None` where
    /// holders do not follow the work.
    pub kept: Option<f64>,
}

/// The replicas that may be selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Among {
    /// Those that some orderer sends orders to, idle or not. All orderers see the same set,
    /// and so agree on which of them acts.
    All,
    /// Those that take orders from this orderer now.
    Own,
}

impl ServicePlacement<'_> {
    /// Returns the model to evict first from a replica: the one of the least value.
    pub fn victim(&self, id: &ReplicaId, replica: &PlacedReplica) -> Option<ModelName> {
        let present = &replica.ledger.holdings().models;
        present
            .iter()
            .map(|held| &held.model)
            .filter(|model| replica.goal.as_ref() != Some(model))
            .filter(|model| !replica.is_fresh(model, self.config.least_residence, self.now))
            .map(|model| (self.value_of_held(model, id), model))
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, model)| model.clone())
    }

    /// Returns the value of the models that a replica must evict to fit `model`, and the models
    /// that stay there; `None` if it does not fit.
    fn displaced<'r>(
        &self,
        id: &ReplicaId,
        replica: &'r PlacedReplica,
        model: &ModelName,
    ) -> Option<(f64, Vec<&'r ModelName>)> {
        let holdings = replica.ledger.holdings();
        let needed = self.engine.models.get(model)?.weights_mb;
        let mut free = self.engine.weights_mb - memory_used(self.engine, holdings);
        let held = holdings.models.iter().map(|held| &held.model);
        let (fresh, others): (Vec<_>, Vec<_>) =
            held.partition(|model| replica.is_fresh(model, self.config.least_residence, self.now));
        let mut values: Vec<(f64, f64, &ModelName)> = others
            .into_iter()
            .map(|held| {
                let spec = self.engine.models.get(held);
                let memory = spec.map_or(0.0, |spec| spec.weights_mb);
                (self.value_of_held(held, id), memory, held)
            })
            .collect();
        values.sort_by(|left, right| left.0.total_cmp(&right.0));
        let mut displaced = 0.0;
        let mut stays = fresh;
        for (value, memory, held) in values {
            if free >= needed {
                stays.push(held);
                continue;
            }
            free += memory;
            displaced += value;
        }
        (free >= needed).then_some((displaced, stays))
    }

    /// Returns the requests per second for adapters on a replica; loads of weights there delay
    /// them.
    fn adapter_requests(&self, replica: &PlacedReplica) -> f64 {
        let held = replica.ledger.holdings().models.iter();
        let rates = held.map(|held| {
            let count = self.holders(&held.model).max(1);
            self.demand
                .adapter_requests_per_second(&self.key(&held.model), self.now)
                / count as f64
        });
        rates.sum()
    }

    /// Returns the replica that should load a model next, with what the load costs.
    pub fn best_place(&self, model: &ModelName, store_allowed: bool, among: Among) -> Option<Place> {
        if let Some(work) = &self.work {
            return self.place_by_work(model, store_allowed, among, work);
        }
        let rate = self.lasting_rate(model);
        let cost = |id: &ReplicaId, replica: &PlacedReplica| -> Option<(f64, Duration)> {
            let holdings = replica.ledger.holdings();
            let (displaced, _) = self.displaced(id, replica, model)?;
            let load = load_time(self.engine, holdings, model)?;
            let adapters = self.adapter_requests(replica) * self.config.adapter_block_share;
            let displacement = displaced * self.config.horizon.as_secs_f64();
            Some((displacement + adapters * load.as_secs_f64(), load))
        };
        let fleet = self.fleet();
        let weighed = fleet.weighed_for(model);
        weighed
            .into_iter()
            .filter_map(|id| self.replicas.get_key_value(id))
            .filter(|(_, replica)| replica.goal.is_none() && may_load(replica, model, store_allowed, among))
            .filter_map(|(id, replica)| cost(id, replica).map(|(lost, load)| (lost, load, id, replica)))
            .min_by(|left, right| {
                let waits = |load: Duration| load.as_secs_f64() * (1.0 + rate);
                let total = |(lost, load, ..): &(f64, Duration, _, _)| lost + waits(*load);
                let by_need = need(left.3, among).cmp(&need(right.3, among));
                by_need.then(total(left).total_cmp(&total(right)))
            })
            .map(|(lost, load, id, _)| Place {
                replica: id.clone(),
                lost,
                load,
                kept: None,
            })
    }

    /// Returns the same where holders follow the work: a replica is also rated by the requests
    /// it serves on time and by what the other models there lose. If all replicas are in scope,
    /// `None` is returned as well if the best one has another goal at the moment: waiting for it
    /// is better than a worse replica or a load from the weight store.
    fn place_by_work(
        &self,
        model: &ModelName,
        store_allowed: bool,
        among: Among,
        work: &ServiceWork,
    ) -> Option<Place> {
        let rate = self.lasting_rate(model);
        let fleet = self.fleet();
        let places = fleet.weighed_for(model).into_iter();
        let places = places
            .filter_map(|id| self.replicas.get_key_value(id))
            .filter(|(_, replica)| may_load(replica, model, store_allowed, among))
            .filter(|(_, replica)| among == Among::All || replica.goal.is_none());
        let weighed = places.filter_map(|(id, replica)| {
            let (total, place) = self.weigh_by_work(model, id, replica, rate, work)?;
            Some((need(replica, among), total, replica, place))
        });
        let best = weighed.min_by(|left, right| left.0.cmp(&right.0).then(left.1.total_cmp(&right.1)));
        best.filter(|(.., replica, _)| replica.goal.is_none())
            .map(|(.., place)| place)
    }

    /// Rates a replica for a model of `rate` requests per second. The cost is what is lost there
    /// and by the requests that wait, minus what is served on time.
    fn weigh_by_work(
        &self,
        model: &ModelName,
        id: &ReplicaId,
        replica: &PlacedReplica,
        rate: f64,
        work: &ServiceWork,
    ) -> Option<(f64, Place)> {
        let (displaced, stays) = self.displaced(id, replica, model)?;
        let load = load_time(self.engine, replica.ledger.holdings(), model)?;
        let adapters = self.adapter_requests(replica) * self.config.adapter_block_share;
        let late_beside = self.late_beside(model, replica, &stays, work);
        let horizon_s = self.config.horizon.as_secs_f64();
        let lost = (displaced + late_beside) * horizon_s + adapters * load.as_secs_f64();
        let kept = self.kept_by_work_at(model, replica, work);
        let held_up = self.goal_time(replica);
        let waits = (load + held_up).as_secs_f64() * (1.0 + rate);
        let total = lost + waits - kept * self.stay_s(load + held_up);
        let place = Place {
            replica: id.clone(),
            lost,
            load,
            kept: Some(kept),
        };
        Some((total, place))
    }

    /// Returns the load time of a replica's goal, or zero if it has none.
    fn goal_time(&self, replica: &PlacedReplica) -> Duration {
        let goal = replica.goal.as_ref();
        let load = goal.and_then(|goal| load_time(self.engine, replica.ledger.holdings(), goal));
        load.unwrap_or_default()
    }
}

/// Returns true if the replica is ready, lacks the model and can be ordered to load it. Loads
/// from the weight store count only if they are allowed.
fn may_load(replica: &PlacedReplica, model: &ModelName, store_allowed: bool, among: Among) -> bool {
    let holdings = replica.ledger.holdings();
    replica.state == ReplicaState::Ready
        && replica.is_candidate(among)
        && !holdings.serves(model, None)
        && (store_allowed || weight_source(holdings, model) != WeightSource::Store)
}

/// Returns the restriction on calls to a replica, as far as all orderers that choose agree on
/// it.
fn need(replica: &PlacedReplica, among: Among) -> ControlCalls {
    match among {
        // Another orderer may not know of the restriction.
        Among::All => ControlCalls::Free,
        Among::Own => replica.control_calls,
    }
}
