//! Placement of models and adapters on replicas.
//!
//! Pure functions over the replicas of one service. [`value`] computes what a model and each
//! of its holders are worth, [`choice`] selects the replica that loads a model and the model
//! that is evicted there, [`adapters`] does the same for adapters, [`placed`] describes a
//! replica, [`replicas`] indexes all of them, and [`work`] estimates how much work the holders
//! can do on time.

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

/// Tunable parameters of placement.
#[derive(Debug, Clone, Copy)]
pub struct PlacementConfig {
    /// Requests per second from which a model may get a spare holder.
    pub spare_holder_from: f64,
    /// Fraction of a model's value that is attributed to its spare holder.
    pub spare_share: f64,
    /// Requests that one more holder must serve on time over the horizon, beyond those that
    /// the present holders do.
    pub least_kept: f64,
    /// Factor by which the gain of a load must exceed the loss by what is evicted for it.
    pub least_gain: f64,
    /// Time for which demand is assumed to continue as it is.
    pub horizon: Duration,
    /// Requests delayed by one adapter request while weights are loaded at its replica.
    pub adapter_block_share: f64,
    /// Time for which a model is not evicted after its load.
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

/// The replicas of one service and the demand for its models.
pub struct ServicePlacement<'a> {
    /// Tunable parameters.
    pub config: &'a PlacementConfig,
    /// The service.
    pub service: &'a ServiceName,
    /// Models of the service and limits of its replicas.
    pub engine: &'a EngineSpec,
    /// Demand observed by all nodes.
    pub demand: &'a Demand,
    /// All replicas; those of other services are ignored.
    pub replicas: &'a PlacedReplicas,
    /// Cache of the shortest time in which a ready replica can load each model.
    pub reload_times: RefCell<HashMap<ModelName, Duration>>,
    /// Cost of the service's work, if its replicas report it: the number of holders then
    /// follows the work.
    pub work: Option<Rc<ServiceWork>>,
    /// Objective assumed for models that have not been requested yet.
    pub usual_objective: Duration,
    /// The current time.
    pub now: Moment,
}

impl ServicePlacement<'_> {
    /// Returns the index of the service's replicas.
    pub fn fleet(&self) -> Ref<'_, ServiceFleet> {
        self.replicas.fleet(self.service)
    }

    /// Returns the number of replicas that hold a model or are to load it.
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
