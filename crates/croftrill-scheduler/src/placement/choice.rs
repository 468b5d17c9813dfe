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
            .filter(|(_, replica)| replica.state == ReplicaState::Ready && replica.goal.is_none())
            .filter(|(_, replica)| {
                replica.is_candidate(among) && !replica.ledger.holdings().serves(model, None)
            })
            .filter(|(_, replica)| {
                store_allowed || weight_source(replica.ledger.holdings(), model) != WeightSource::Store
            })
            .filter_map(|(id, replica)| cost(id, replica).map(|(lost, load)| (lost, load, id, replica)))
            .min_by(|left, right| {
                let waits = |load: Duration| load.as_secs_f64() * (1.0 + rate);
                let total = |(lost, load, ..): &(f64, Duration, _, _)| lost + waits(*load);
                let need = |(.., replica): &(f64, Duration, _, &PlacedReplica)| match among {
                    // Another orderer may not have heard of a need.
                    Among::All => ControlCalls::Free,
                    Among::Own => replica.control_calls,
                };
                let by_need = need(left).cmp(&need(right));
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
    /// too, and what the others there lose by it. A place that is taken for a moment is
    /// waited for where none that is free does as well; rather than the weight store.
    fn place_by_work(
        &self,
        model: &ModelName,
        store_allowed: bool,
        among: Among,
        work: &ServiceWork,
    ) -> Option<Place> {
        let rate = self.lasting_rate(model);
        let horizon_s = self.config.horizon.as_secs_f64();
        let weigh = |id: &ReplicaId, replica: &PlacedReplica| -> Option<(f64, Place)> {
            let holdings = replica.ledger.holdings();
            let (displaced, stays) = self.displaced(id, replica, model)?;
            let load = load_time(self.engine, holdings, model)?;
            let adapters = self.adapter_requests(replica) * self.config.adapter_block_share;
            let late_beside = self.late_beside(model, replica, &stays, work);
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
        };
        let fleet = self.fleet();
        let places = fleet.weighed_for(model).into_iter();
        let places = places
            .filter_map(|id| self.replicas.get_key_value(id))
            .filter(|(_, replica)| replica.state == ReplicaState::Ready)
            .filter(|(_, replica)| {
                replica.is_candidate(among) && !replica.ledger.holdings().serves(model, None)
            })
            .filter(|(_, replica)| {
                store_allowed || weight_source(replica.ledger.holdings(), model) != WeightSource::Store
            })
            .filter(|(_, replica)| among == Among::All || replica.goal.is_none());
        let need = |replica: &PlacedReplica| match among {
            // Another orderer may not have heard of a need.
            Among::All => ControlCalls::Free,
            Among::Own => replica.control_calls,
        };
        let weighed = places
            .filter_map(|(id, replica)| weigh(id, replica).map(|weighed| (need(replica), replica, weighed)));
        let best = weighed.min_by(|left, right| {
            let by_need = left.0.cmp(&right.0);
            by_need.then(left.2 .0.total_cmp(&right.2 .0))
        });
        best.filter(|(_, replica, _)| replica.goal.is_none())
            .map(|(.., (_, place))| place)
    }

    /// Time until a replica's goal is there, if it has one.
    fn goal_time(&self, replica: &PlacedReplica) -> Duration {
        let goal = replica.goal.as_ref();
        let load = goal.and_then(|goal| load_time(self.engine, replica.ledger.holdings(), goal));
        load.unwrap_or_default()
    }
}
