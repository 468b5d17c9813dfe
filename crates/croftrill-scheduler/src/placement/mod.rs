//! Which models and adapters should be where.
//!
//! Pure choices over one service's replicas. [`value`] says what a model is worth
//! and how many holders it deserves, [`choice`] which replica loads it and what
//! makes way, [`adapters`] the same of adapters, [`placed`] what is known of a
//! replica, [`work`] how much holders can do.

mod adapters;
mod choice;
mod placed;
mod replicas;
mod value;
mod work;

use std::cell::{Ref, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::catalog::{EngineSpec, ModelName, ServiceName};
use crate::demand::{Demand, ModelKey};
use crate::time::Moment;

pub use self::choice::{Among, Place};
pub use self::placed::{
    load_time, memory_used, weight_source, ControlCalls, Orders, PlacedReplica, WeightSource,
};
pub use self::replicas::{PlacedReplicas, ServiceFleet};
pub use self::value::missed_share;
pub use self::work::{LateShares, ModelWork, ServiceWork};

/// Tunable figures of placement.
#[derive(Debug, Clone, Copy)]
pub struct PlacementConfig {
    /// Requests a second from which a model may get a spare holder.
    pub spare_holder_from: f64,
    /// Part of a model's value that its spare holder counts for.
    pub spare_share: f64,
    /// Requests that one more holder must keep in time over the horizon.
    pub least_kept: f64,
    /// What comes must be worth so many times what makes way for it.
    pub least_gain: f64,
    /// Time for which demand is taken to go on as it is.
    pub horizon: Duration,
    /// Requests held up by one adapter request while weights are loaded at its replica.
    pub adapter_block_share: f64,
    /// Time for which a model that was just loaded does not make way.
    pub least_residence: Duration,
}

impl Default for PlacementConfig {
    fn default() -> Self {
        PlacementConfig {
            spare_holder_from: 0.7,
            spare_share: 0.02,
            least_kept: 0.5,
            least_gain: 1.5,
            horizon: Duration::from_secs(20),
            adapter_block_share: 0.5,
            least_residence: Duration::from_millis(3000),
        }
    }
}

/// The replicas of one service with the demand they face.
pub struct ServicePlacement<'a> {
    /// Tunable figures.
    pub config: &'a PlacementConfig,
    /// The service.
    pub service: &'a ServiceName,
    /// What its replicas can hold.
    pub engine: &'a EngineSpec,
    /// Demand of all nodes.
    pub demand: &'a Demand,
    /// All replicas; those of other services are passed over.
    pub replicas: &'a PlacedReplicas,
    /// Least times in which a ready replica can load models, as far as they were worked
    /// out.
    pub reload_times: RefCell<HashMap<ModelName, Duration>>,
    /// What work takes, where replicas tell it: then holders follow the work.
    pub work: Option<Rc<ServiceWork>>,
    /// Objective of requests for models that were not asked for yet.
    pub usual_objective: Duration,
    /// The present time.
    pub now: Moment,
}

impl ServicePlacement<'_> {
    /// The service's replicas by what they hold.
    pub fn fleet(&self) -> Ref<'_, ServiceFleet> {
        self.replicas.fleet(self.service)
    }

    /// Replicas that hold a model, and those that await it.
    pub fn holders(&self, model: &str) -> usize {
        self.fleet().holders(model)
    }

    fn key(&self, model: &ModelName) -> ModelKey {
        ModelKey {
            service: self.service.clone(),
            model: model.clone(),
            adapter: None,
        }
    }
}
