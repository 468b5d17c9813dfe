//! Which replica loads a model, and what makes way for it there.

use std::time::Duration;

use super::{
    load_time, memory_used, weight_source, ControlCalls, PlacedReplica, ServicePlacement, ServiceWork,
    WeightSource,
};
use crate::catalog::ModelName;
use crate::replica::{ReplicaId, ReplicaState};

/// A replica that should take a model or an adapter.
#[derive(Debug, Clone, PartialEq)]
pub struct Place {
    /// The replica.
    pub replica: ReplicaId,
    /// Requests expected to miss their objective because of the load.
    pub lost: f64,
    /// Time of the load.
    pub load: Duration,
    /// Requests a second that the model then keeps in time there, where holders follow
    /// the work.
    pub kept: Option<f64>,
}

/// The replicas among which a place is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Among {
    /// All at which some orderer orders, whether or not they are idle: all
    /// orderers see these alike, and so agree on whose turn it is.
    All,
    /// Those that take orders of this orderer now.
    Own,
}

impl ServicePlacement<'_> {
    /// The model that makes way first on a replica: the least valuable.
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

    /// Value of what a replica must drop to make room for a model, and what stays there.
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

    /// Requests a second for adapters on a replica, which its weights orders hold up.
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

    /// The replica that should load a model next, with the value it displaces.
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

    /// The same where holders follow the work: the place counts by what it keeps in time,
    /// too, and what the others there lose by it. Among all, `None` also if the best
    /// place has another goal at the moment: to wait for it is better than a worse place or
    /// the weight store.
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

    /// A replica as a place for a model of `rate` requests a second, and what it costs: what
    /// is lost there and by those that wait, less what is kept in time.
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

    /// Time until a replica's goal is there, if it has one.
    fn goal_time(&self, replica: &PlacedReplica) -> Duration {
        let goal = replica.goal.as_ref();
        let load = goal.and_then(|goal| load_time(self.engine, replica.ledger.holdings(), goal));
        load.unwrap_or_default()
    }
}

/// True if the replica is ready, lacks the model and can be ordered to load it; from the
/// weight store only if that is allowed.
fn may_load(replica: &PlacedReplica, model: &ModelName, store_allowed: bool, among: Among) -> bool {
    let holdings = replica.ledger.holdings();
    replica.state == ReplicaState::Ready
        && replica.is_candidate(among)
        && !holdings.serves(model, None)
        && (store_allowed || weight_source(holdings, model) != WeightSource::Store)
}

/// How freely a replica takes orders, as far as all who choose know it alike.
fn need(replica: &PlacedReplica, among: Among) -> ControlCalls {
    match among {
        // Another orderer may not have heard of a need.
        Among::All => ControlCalls::Free,
        Among::Own => replica.control_calls,
    }
}
