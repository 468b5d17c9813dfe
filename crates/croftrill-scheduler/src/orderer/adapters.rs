//! Loading of requested adapters onto replicas that hold their model.

use std::time::Duration;

use crate::catalog::{EngineSpec, ServiceName};
use crate::demand::ModelKey;
use crate::replica::Order;
use crate::time::Moment;

use super::{Orderer, OrdererAction};

/// Time for which a requested adapter is left to the orderer of the best replica, before
/// another shard's orderer may load it.
const ADAPTER_PATIENCE: Duration = Duration::from_millis(400);

impl Orderer {
    /// Loads adapters that requests wait for onto replicas that hold their model.
    pub(super) fn place_adapters(
        &mut self,
        service: &ServiceName,
        engine: &EngineSpec,
        waiting: &[ModelKey],
        now: Moment,
        actions: &mut Vec<OrdererAction>,
    ) {
        for key in waiting {
            let Some(adapter) = key.adapter.clone().filter(|_| key.service == *service) else {
                continue;
            };
            if self.is_held(key) || self.is_adapter_ordered(key) {
                continue;
            }
            let view = self.placement_of(service, engine, now);
            let home = view.adapter_home(&key.model, &adapter);
            let waited = self.demand.wait_time(key, now);
            if !self.config.scope.may_act(home, waited, ADAPTER_PATIENCE) {
                continue;
            }
            let home = home.cloned();
            let Some(id) = view.adapter_target(&key.model) else {
                if let Some(home) = home {
                    self.await_confirmation(&home, now);
                }
                continue;
            };
            let Some(replica) = self.replicas.get(&id) else {
                continue;
            };
            let load = Order::LoadAdapter(key.model.clone(), adapter);
            let order = if replica.has_room_for(engine, &load) {
                load
            } else {
                match view.adapter_victim(replica) {
                    Some((model, adapter)) => Order::UnloadAdapter(model, adapter),
                    None => {
                        self.await_arrivals(&id);
                        continue;
                    }
                }
            };
            actions.push(self.send(&id, order, now));
        }
    }
}
