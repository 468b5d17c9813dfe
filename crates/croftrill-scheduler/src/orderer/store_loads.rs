//! Loads from the weight store: within its ceiling, and at a pace it can serve.

use crate::catalog::{EngineSpec, ModelName, ServiceName};
use crate::load_ceiling::LoadCeiling;
use crate::placement::{weight_source, Orders, PlacedReplica, WeightSource};
use crate::replica::ReplicaId;
use crate::time::Moment;

use super::Orderer;

impl Orderer {
    /// Loads from the weight store that may begin in a window: this orderer's
    /// part, by its part of the service's replicas, and one at least.
    pub(super) fn ceiling(&self, service: &ServiceName, engine: &EngineSpec) -> usize {
        let all = engine.loads_per_second * self.config.ceiling_window.as_secs_f64();
        let members = self
            .replicas
            .values()
            .filter(|replica| replica.service == *service);
        let (mut total, mut own) = (0.0, 0.0);
        for replica in members {
            total += 1.0;
            own += f64::from(u8::from(replica.orders == Orders::Own));
        }
        let part = (all * own / f64::max(total, 1.0)).floor() as usize;
        part.max(usize::from(all >= 1.0))
    }

    /// True if one more load from the weight store may be planned: within the
    /// ceiling and the pace, with what is planned but has not begun.
    pub(super) fn store_allowed(&mut self, service: &ServiceName, engine: &EngineSpec, now: Moment) -> bool {
        let ceiling = self.ceiling(service, engine);
        let planned = self.planned_store_loads(service);
        let limit = self.paces.entry(service.clone()).or_default().limit();
        let running = self.running_store_loads(service);
        running + planned < limit && self.ceiling_admits(service, ceiling.saturating_sub(planned), now)
    }

    pub(super) fn ceiling_admits(&mut self, service: &ServiceName, ceiling: usize, now: Moment) -> bool {
        let (window, took_over) = (self.config.ceiling_window, self.took_over);
        let loads_are_known = self.loads_are_known;
        let loads = self.ceilings.entry(service.clone()).or_insert_with(|| {
            let mut loads = LoadCeiling::new(window);
            if !loads_are_known {
                loads.assume_full(took_over, ceiling);
            }
            loads
        });
        loads.admits(now, ceiling)
    }

    /// Own goals that will be loaded from the weight store.
    fn planned_store_loads(&self, service: &ServiceName) -> usize {
        let planned = |(id, replica): &(&ReplicaId, &PlacedReplica)| {
            let from_store =
                |goal: &ModelName| weight_source(replica.ledger.holdings(), goal) == WeightSource::Store;
            replica.service == *service
                && replica.orders == Orders::Own
                && !self.store_loads.contains_key(*id)
                && replica.goal.as_ref().is_some_and(from_store)
        };
        self.replicas.iter().filter(planned).count()
    }

    fn running_store_loads(&self, service: &ServiceName) -> usize {
        let of_service = |id: &&ReplicaId| {
            let replica = self.replicas.get(*id);
            replica.is_some_and(|replica| replica.service == *service)
        };
        self.store_loads.keys().filter(of_service).count()
    }

    /// A load from the weight store ended; if it is done, its time is learned from.
    pub(super) fn store_load_ended(
        &mut self,
        id: &ReplicaId,
        service: &ServiceName,
        done: Option<&ModelName>,
        now: Moment,
    ) {
        let running = self.running_store_loads(service);
        let Some(begun) = self.store_loads.remove(id) else {
            return;
        };
        // A report tells of the end only that much later.
        let seen_late_by = self.config.ledger.poll_every + self.config.ledger.report_lag;
        let took = now.since(begun).saturating_sub(seen_late_by);
        let spec = self
            .configuration
            .service(service)
            .and_then(|service| service.engine.as_ref())
            .zip(done)
            .and_then(|(engine, model)| engine.models.get(model));
        if let Some(spec) = spec {
            let pace = self.paces.entry(service.clone()).or_default();
            pace.ended(took, spec.store_load, running);
        }
    }
}
