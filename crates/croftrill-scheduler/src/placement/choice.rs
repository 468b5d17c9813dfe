//! Which replica loads a model, and what makes way for it there.

use std::time::Duration;

use super::{
    load_time, memory_used, weight_source, ControlCalls, PlacedReplica, ServicePlacement, WeightSource,
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

    /// Value of what a replica must drop to make room for a model.
    fn displaced_value(&self, id: &ReplicaId, replica: &PlacedReplica, model: &ModelName) -> Option<f64> {
        let holdings = replica.ledger.holdings();
        let needed = self.engine.models.get(model)?.weights_mb;
        let mut free = self.engine.weights_mb - memory_used(self.engine, holdings);
        let mut values: Vec<(f64, f64)> = holdings
            .models
            .iter()
            .filter(|held| !replica.is_fresh(&held.model, self.config.least_residence, self.now))
            .map(|held| {
                let spec = self.engine.models.get(&held.model);
                let memory = spec.map_or(0.0, |spec| spec.weights_mb);
                (self.value_of_held(&held.model, id), memory)
            })
            .collect();
        values.sort_by(|left, right| left.0.total_cmp(&right.0));
        let mut displaced = 0.0;
        for (value, memory) in values {
            if free >= needed {
                break;
            }
            free += memory;
            displaced += value;
        }
        (free >= needed).then_some(displaced)
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
        let rate = self.lasting_rate(model);
        let cost = |id: &ReplicaId, replica: &PlacedReplica| -> Option<(f64, Duration)> {
            let holdings = replica.ledger.holdings();
            let displaced = self.displaced_value(id, replica, model)?;
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
            })
    }
}
