//! Measurement of the work at the replicas of a service, by the loads that they report.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::catalog::{EngineSpec, ModelName, ServiceName};
use crate::demand::ModelKey;
use crate::placement::{LateShares, ModelWork, ServicePlacement, ServiceWork, TrackedReplica};
use crate::time::Moment;

use super::Orderer;

/// Time constant of the mean work, the same as that of the token rate it is divided by.
const WORK_TIME_CONSTANT: Duration = Duration::from_secs(6);
/// Age up to which a reported load is used: a replica without a newer report has started
/// almost no requests since.
const MAX_LOAD_AGE: Duration = Duration::from_secs(2);
/// Minimum time over which work is observed before the result is used.
const MIN_OBSERVATION_TIME: Duration = Duration::from_secs(1);

/// Number of models that are considered in one round besides the busy ones. It bounds the cost
/// of a round in a fleet of thousands.
const MODELS_PER_ROUND: usize = 512;

/// Measures the work of one service: the number of requests that run concurrently, converted
/// to replicas of usual speed.
#[derive(Debug)]
pub(super) struct WorkMeter {
    /// Integral of the work over time, exponentially decaying.
    busy_s: f64,
    /// Integral of the time, decaying likewise.
    weight_s: f64,
    started_at: Moment,
    measured_at: Moment,
    /// Seconds of work per cost token, once they were observed for long enough.
    per_token_s: Option<f64>,
    late_shares: LateShares,
    /// Cache of the derived figures, with the number of holder changes it is valid for.
    cache: RefCell<Option<(u64, Rc<ServiceWork>)>>,
}

impl WorkMeter {
    fn new(now: Moment) -> Self {
        WorkMeter {
            busy_s: 0.0,
            weight_s: 0.0,
            started_at: now,
            measured_at: now,
            per_token_s: None,
            late_shares: LateShares::default(),
            cache: RefCell::default(),
        }
    }

    /// Skips the time until `now`, in which no replica reported its load. Earlier observations
    /// remain valid.
    fn skip_until(&mut self, now: Moment) {
        self.measured_at = now;
    }

    /// Adds the time since the last measurement, with the work and the token rate in it.
    fn measure(&mut self, running: f64, tokens_per_second: f64, now: Moment) {
        let passed = now.since(self.measured_at).as_secs_f64();
        let decay = (-passed / WORK_TIME_CONSTANT.as_secs_f64()).exp();
        self.busy_s = self.busy_s * decay + running * passed;
        self.weight_s = self.weight_s * decay + passed;
        self.measured_at = now;
        if running <= 0.0 && self.busy_s <= 0.0 {
            // Without requests there is nothing to observe: the observation starts with the
            // first one.
            *self = WorkMeter::new(now);
            return;
        }
        let is_observed = now.since(self.started_at) >= MIN_OBSERVATION_TIME;
        if is_observed && tokens_per_second > 0.0 && self.weight_s > 0.0 {
            self.per_token_s = Some(self.busy_s / self.weight_s / tokens_per_second);
        }
    }
}

impl Orderer {
    /// Returns true if the number of holders follows the work of the service.
    pub(super) fn follows_work(&self, service: &ServiceName) -> bool {
        let tells_load = self.replicas.reports_load(service);
        self.replicas.reports_work_time(service) || (self.config.callers_compete && tells_load)
    }

    /// Returns true if the cost of the service's work is known.
    pub(super) fn knows_work(&self, service: &ServiceName) -> bool {
        self.work
            .get(service)
            .is_some_and(|meter| meter.per_token_s.is_some())
    }

    /// Records the work that the replicas of a service do at the moment.
    pub(super) fn measure_work(&mut self, service: &ServiceName, now: Moment) {
        if !self.follows_work(service) {
            return;
        }
        let Some(running) = self.running_work(service, now) else {
            if let Some(meter) = self.work.get_mut(service) {
                meter.skip_until(now);
            }
            return;
        };
        let late_shares = self.late_shares(service, now);
        let tokens = self.demand.service_tokens_per_second(service, now);
        let meter = self
            .work
            .entry(service.clone())
            .or_insert_with(|| WorkMeter::new(now));
        meter.measure(running, tokens, now);
        meter.late_shares = late_shares;
        meter.cache.take();
    }

    /// Returns the share of requests that replicas of each speed class serve late although
    /// they have free capacity. It is counted at models whose only holder has more capacity
    /// than their work.
    fn late_shares(&self, service: &ServiceName, now: Moment) -> LateShares {
        let mut shares = LateShares::default();
        let Some(known) = self.configuration.service(service) else {
            return shares;
        };
        let Some(engine) = &known.engine else {
            return shares;
        };
        let view = self.placement_of(service, engine, now);
        if view.work.is_none() {
            return shares;
        }
        let round = self.models_of_round(engine);
        for model in engine.model_order.iter().skip(round.start).take(round.len()) {
            let Some(replica) = view.only_holder_with_free_capacity(model) else {
                continue;
            };
            let key = ModelKey {
                service: service.clone(),
                model: model.clone(),
                adapter: None,
            };
            let (requests, late) = self.demand.requests_and_late(&key, now);
            shares.count(replica.capacity.speed_class(), requests, late);
        }
        shares
    }

    /// Returns the number of requests that run at the service's replicas, converted to the
    /// usual speed; `None` if no replica reported its load recently.
    fn running_work(&self, service: &ServiceName, now: Moment) -> Option<f64> {
        let of_service = |(_, replica): &(_, &TrackedReplica)| replica.service == *service;
        let running = |(_, replica): (_, &TrackedReplica)| {
            let newest = replica.capacity.newest();
            let (load, _) = newest.filter(|(_, at)| now.since(*at) <= MAX_LOAD_AGE)?;
            // The request whose answer reports the load is included in it.
            let other_requests = load.running.saturating_sub(1);
            Some(f64::from(other_requests) * replica.capacity.lasting_speed())
        };
        let running = self.replicas.iter().filter(of_service).filter_map(running);
        running.fold(None, |sum, running| Some(sum.unwrap_or(0.0) + running))
    }

    /// Returns the models that are considered for one more holder in this round: all busy
    /// ones, and some of the others.
    pub(super) fn models_to_consider<'e>(
        &self,
        engine: &'e EngineSpec,
        view: &ServicePlacement<'_>,
    ) -> Vec<&'e ModelName> {
        let round = self.models_of_round(engine);
        let is_busy = |model: &ModelName| view.is_busy(model);
        let considered = engine.model_order.iter().enumerate();
        let considered = considered.filter(|(index, model)| round.contains(index) || is_busy(model));
        considered.map(|(_, model)| model).collect()
    }

    /// Returns the models of this round, as indices in the order of the configuration.
    fn models_of_round(&self, engine: &EngineSpec) -> std::ops::Range<usize> {
        let rounds = engine.model_order.len().div_ceil(MODELS_PER_ROUND).max(1);
        let first = self.balance_rounds % rounds * MODELS_PER_ROUND;
        first..first + MODELS_PER_ROUND
    }

    /// Returns the number of slots that the first known replica of the service lists.
    pub(super) fn usual_slots(&self, service: &ServiceName) -> u32 {
        let fleet = self.replicas.fleet(service);
        let first = fleet.ids().next().and_then(|id| self.replicas.get(id));
        first.map_or(1, |replica| replica.listed_slots.max(1))
    }

    /// Returns the work of a service's models and the capacity of their holders. The result is
    /// empty where holders do not follow the work.
    pub fn work_of_models(&self, service: &ServiceName, now: Moment) -> Vec<ModelWork> {
        let service = self.configuration.service(service);
        let Some((service, engine)) = service.and_then(|service| Some((service, service.engine.as_ref()?)))
        else {
            return Vec::new();
        };
        let view = self.placement_of(&service.name, engine, now);
        let models = engine.model_order.iter();
        models.filter_map(|model| view.model_work(model)).collect()
    }

    /// Returns the cost of a service's work; `None` where holders do not follow it, or while
    /// it is unknown.
    pub(super) fn service_work(&self, service: &ServiceName) -> Option<Rc<ServiceWork>> {
        let meter = self.work.get(service)?;
        let per_token_s = meter.per_token_s?;
        let holder_changes = self.replicas.fleet(service).holder_changes();
        let mut cache = meter.cache.borrow_mut();
        if let Some((_, work)) = cache.as_ref().filter(|(at, _)| *at == holder_changes) {
            return Some(Rc::clone(work));
        }
        let work = Rc::new(ServiceWork::new(per_token_s, meter.late_shares.clone()));
        *cache = Some((holder_changes, Rc::clone(&work)));
        Some(work)
    }
}
