//! Limits on loads from the weight store: a ceiling per time window, and the number of
//! concurrent loads that the store can serve.

use std::time::Duration;

use crate::catalog::{EngineSpec, ModelName, ServiceName};
use crate::load_ceiling::LoadCeiling;
use crate::load_concurrency::LoadConcurrency;
use crate::placement::{weight_source, OrderedBy, TrackedReplica, WeightSource};
use crate::replica::ReplicaId;
use crate::shard::{OrderScope, Shard};
use crate::time::Moment;

use super::Orderer;

/// Time for which a free slot at the weight store is left to each shard before this one:
/// twice the time that an orderer's plan takes to reach the others.
const STORE_SLOT_DELAY: Duration = Duration::from_millis(300);

impl Orderer {
    /// Returns the number of loads from the weight store that this orderer may start per
    /// window: a share in proportion to its share of the service's replicas, but at least one
    /// if the service may start one at all.
    pub(super) fn own_ceiling(&self, service: &ServiceName, engine: &EngineSpec) -> usize {
        let total_loads = engine.loads_per_second * self.config.ceiling_window.as_secs_f64();
        let fleet = self.replicas.fleet(service);
        let (total, own) = (fleet.len() as f64, fleet.own_count() as f64);
        let own_loads = (total_loads * own / f64::max(total, 1.0)).floor() as usize;
        own_loads.max(usize::from(total_loads >= 1.0))
    }

    /// Returns true if one more load from the weight store may be planned, by the ceiling and
    /// by the limit on concurrent loads that all orderers share. Loads that are planned but
    /// have not started count.
    pub(super) fn may_plan_store_load(
        &mut self,
        service: &ServiceName,
        engine: &EngineSpec,
        now: Moment,
    ) -> bool {
        self.observe_store_slots(service, engine, now);
        let Some(free_since) = self.store_free_since.get(service).copied() else {
            return false;
        };
        let ceiling = self.own_ceiling(service, engine);
        let planned = self.planned_store_loads(service);
        self.may_use_store_slot(now.since(free_since))
            && self.ceiling_admits(service, ceiling.saturating_sub(planned), now)
    }

    /// Records since when the weight store has had a free slot, also while no load needs it.
    pub(super) fn observe_store_slots(&mut self, service: &ServiceName, engine: &EngineSpec, now: Moment) {
        let planned = self.planned_store_loads(service);
        let at_store = self.running_store_loads(service) + planned + self.others_store_loads(service);
        if at_store >= self.load_concurrency(service, engine).limit() {
            self.store_free_since.remove(service);
        } else {
            self.store_free_since.entry(service.clone()).or_insert(now);
        }
    }

    /// Returns true if this orderer may use a slot at the store that has been free for
    /// `free_for`. The shards follow one after the other, so that each knows the loads that
    /// the ones before it planned.
    fn may_use_store_slot(&self, free_for: Duration) -> bool {
        let OrderScope::One(own) = self.config.scope else {
            return true;
        };
        let before = Shard::all().take(own.index());
        let reachable = before.filter(|shard| self.reachable[shard.index()]);
        free_for >= STORE_SLOT_DELAY * reachable.count() as u32
    }

    /// Returns the limit on concurrent loads of a service.
    fn load_concurrency(&mut self, service: &ServiceName, engine: &EngineSpec) -> &mut LoadConcurrency {
        let usual = || engine.models.values().map(|model| model.store_load).max();
        let concurrency = self.load_concurrency.entry(service.clone());
        concurrency.or_insert_with(|| LoadConcurrency::new(usual().unwrap_or_default()))
    }

    /// Returns the number of loads from the weight store that other orderers run or plan, by
    /// their published placements.
    fn others_store_loads(&self, service: &ServiceName) -> usize {
        let is_store_load = |replica: &&TrackedReplica| {
            let from_store =
                |goal: &ModelName| weight_source(replica.ledger.holdings(), goal) == WeightSource::Store;
            replica.service == *service
                && replica.ordered_by != OrderedBy::ThisOrderer
                && replica.goal.as_ref().is_some_and(from_store)
        };
        let fleet = self.replicas.fleet(service);
        let with_goal = fleet.with_goal().filter_map(|id| self.replicas.get(id));
        with_goal.filter(is_store_load).count()
    }

    /// Returns true if the ceiling admits one more load now.
    pub(super) fn ceiling_admits(&mut self, service: &ServiceName, ceiling: usize, now: Moment) -> bool {
        let (window, took_over_at) = (self.config.ceiling_window, self.took_over_at);
        let predecessor_loads_known = self.predecessor_loads_known;
        let loads = self.load_ceilings.entry(service.clone()).or_insert_with(|| {
            let mut loads = LoadCeiling::new(window);
            if !predecessor_loads_known {
                loads.assume_full(took_over_at, ceiling);
            }
            loads
        });
        loads.admits(now, ceiling)
    }

    /// Returns the number of this orderer's goals that are yet to be loaded from the weight
    /// store.
    fn planned_store_loads(&self, service: &ServiceName) -> usize {
        let is_planned = |(id, replica): &(&ReplicaId, &TrackedReplica)| {
            let from_store =
                |goal: &ModelName| weight_source(replica.ledger.holdings(), goal) == WeightSource::Store;
            replica.service == *service
                && replica.ordered_by == OrderedBy::ThisOrderer
                && !self.store_loads.contains_key(*id)
                && replica.goal.as_ref().is_some_and(from_store)
        };
        let fleet = self.replicas.fleet(service);
        let with_goal = fleet.with_goal().filter_map(|id| self.replicas.get_key_value(id));
        with_goal.filter(is_planned).count()
    }

    /// Returns the number of this orderer's running loads from the weight store.
    fn running_store_loads(&self, service: &ServiceName) -> usize {
        let of_service = |id: &&ReplicaId| {
            let replica = self.replicas.get(id);
            replica.is_some_and(|replica| replica.service == *service)
        };
        self.store_loads.keys().filter(of_service).count()
    }

    /// Records that a load from the weight store ended. If it loaded the model `done`, the
    /// limit on concurrent loads adapts to its duration.
    pub(super) fn record_store_load_ended(
        &mut self,
        id: &ReplicaId,
        service: &ServiceName,
        done: Option<&ModelName>,
        now: Moment,
    ) {
        let running = self.running_store_loads(service) + self.others_store_loads(service);
        let Some(started) = self.store_loads.remove(id) else {
            return;
        };
        // The end of a load shows in a report only after this delay.
        let detection_delay = self.config.ledger.poll_interval + self.config.ledger.report_lag;
        let elapsed = now.since(started).saturating_sub(detection_delay);
        let configuration = self.configuration.clone();
        let engine = configuration
            .service(service)
            .and_then(|service| service.engine.as_ref());
        let Some((engine, model)) = engine.zip(done) else {
            return;
        };
        if let Some(spec) = engine.models.get(model) {
            self.load_concurrency(service, engine)
                .record_ended(elapsed, spec.store_load, running);
        }
    }
}
