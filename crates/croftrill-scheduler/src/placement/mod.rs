//! Placement of models and adapters on replicas.
//!
//! Pure functions over the replicas of one service. [`value`] computes what a model and each
//! of its holders are worth, [`target_selection`] selects the replica that loads a model and the
//! model that is evicted there, [`adapters`] does the same for adapters, [`tracked_replica`]
//! describes a replica, [`replicas`] indexes all of them, and [`work`] estimates how much work
//! the holders can do on time.

mod adapters;
mod replicas;
mod target_selection;
mod tracked_replica;
mod value;
mod work;

use std::cell::{Ref, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::catalog::{EngineSpec, ModelName, ServiceName};
use crate::demand::{Demand, ModelKey};
use crate::time::Moment;

pub use self::replicas::{ServiceFleet, TrackedReplicas};
pub use self::target_selection::{CandidateScope, PlacementTarget};
pub use self::tracked_replica::{
    load_time, weight_source, ControlCalls, OrderedBy, TrackedReplica, WeightSource,
};
pub use self::value::lost_share;
pub use self::work::{LateShares, ModelWork, ServiceWork};

/// Tunable parameters of placement.
#[derive(Debug, Clone, Copy)]
pub struct PlacementConfig {
    /// Requests per second from which a model may get a spare holder.
    pub spare_holder_min_rate: f64,
    /// Fraction of a model's value that is attributed to its spare holder.
    pub spare_value_share: f64,
    /// Requests that one more holder must serve on time over the horizon, beyond those that
    /// the present holders do.
    pub min_on_time_gain: f64,
    /// Factor by which the gain of a load must exceed the loss by what is evicted for it.
    pub min_gain_ratio: f64,
    /// Time for which demand is assumed to continue as it is.
    pub horizon: Duration,
    /// Requests delayed by one adapter request while weights are loaded at its replica.
    pub adapter_block_share: f64,
    /// Time for which a model is not evicted after its load.
    pub min_residence: Duration,
}

impl Default for PlacementConfig {
    fn default() -> Self {
        PlacementConfig {
            spare_holder_min_rate: 0.7,
            spare_value_share: 0.02,
            min_on_time_gain: 0.5,
            min_gain_ratio: 1.5,
            horizon: Duration::from_secs(20),
            adapter_block_share: 0.5,
            min_residence: Duration::from_millis(3000),
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
    pub replicas: &'a TrackedReplicas,
    /// Cache of the shortest time in which a ready replica can load each model.
    pub reload_times: RefCell<HashMap<ModelName, Duration>>,
    /// Cost of the service's work, if its replicas report it: the number of holders then
    /// follows the work.
    pub work: Option<Rc<ServiceWork>>,
    /// Objective assumed for models that have not been requested yet.
    pub default_caller_time: Duration,
    /// The current time.
    pub now: Moment,
}

impl ServicePlacement<'_> {
    /// Returns the index of the service's replicas.
    pub fn fleet(&self) -> Ref<'_, ServiceFleet> {
        self.replicas.fleet(self.service)
    }

    /// Returns the number of replicas that hold a model or are to load it.
    pub fn expected_holder_count(&self, model: &str) -> usize {
        self.fleet().expected_holder_count(model)
    }

    fn key(&self, model: &ModelName) -> ModelKey {
        ModelKey {
            service: self.service.clone(),
            model: model.clone(),
            adapter: None,
        }
    }
}
