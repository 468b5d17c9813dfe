//! Dry run of a configuration change: the steps that a desired configuration would cause.

use std::collections::BTreeSet;

use crate::catalog::{Configuration, EngineSpec, ModelName, ServiceName};
use crate::replica::ReplicaId;
use crate::replica_table::ReplicaTable;

/// One step from the present to the desired configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlannedStep {
    /// A model is added; it is loaded when it is first requested.
    AddModel {
        /// The service.
        service: ServiceName,
        /// The model.
        model: ModelName,
    },
    /// A model is no longer served.
    RemoveModel {
        /// The service.
        service: ServiceName,
        /// The model.
        model: ModelName,
    },
    /// A model's sizes or times change.
    ChangeModel {
        /// The service.
        service: ServiceName,
        /// The model.
        model: ModelName,
    },
    /// A replica holds a model that is no longer served; the model is evicted when its memory
    /// is needed.
    StopReplica {
        /// The replica.
        replica: ReplicaId,
        /// The model.
        model: ModelName,
    },
}

/// Returns the steps from the present to the desired configuration, in a fixed order.
pub fn plan(present: &Configuration, wished: &Configuration, replicas: &ReplicaTable) -> Vec<PlannedStep> {
    let mut steps = BTreeSet::new();
    for (service, engine) in engines(wished) {
        let before = engine_of(present, service);
        for (model, spec) in &engine.models {
            let step = match before.and_then(|before| before.models.get(model)) {
                None => PlannedStep::AddModel {
                    service: service.clone(),
                    model: model.clone(),
                },
                Some(old) if old != spec => PlannedStep::ChangeModel {
                    service: service.clone(),
                    model: model.clone(),
                },
                Some(_) => continue,
            };
            steps.insert(step);
        }
    }
    for (service, engine) in engines(present) {
        let after = engine_of(wished, service);
        for model in engine.models.keys() {
            if after.is_some_and(|after| after.models.contains_key(model)) {
                continue;
            }
            steps.insert(PlannedStep::RemoveModel {
                service: service.clone(),
                model: model.clone(),
            });
            for entry in replicas
                .of_service(service)
                .filter(|entry| entry.serves(model, None))
            {
                steps.insert(PlannedStep::StopReplica {
                    replica: entry.listing.id.clone(),
                    model: model.clone(),
                });
            }
        }
    }
    steps.into_iter().collect()
}

fn engines(configuration: &Configuration) -> impl Iterator<Item = (&ServiceName, &EngineSpec)> {
    configuration
        .services()
        .filter_map(|service| Some((&service.name, service.engine.as_ref()?)))
}

fn engine_of<'a>(configuration: &'a Configuration, service: &str) -> Option<&'a EngineSpec> {
    configuration.service(service)?.engine.as_ref()
}
