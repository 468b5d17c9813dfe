//! Problems of intents that can be told before anything is placed.

use super::{PlanError, PlanFinding};
use crate::configuration::{Adapter, Group, Model};
use crate::entry::Intent;
use crate::identifiers::{AdapterId, GroupId, ModelId};
use crate::placement::Engine;
use crate::ClusterState;
use std::collections::{BTreeMap, BTreeSet};

/// Longest name of an object, in bytes.
const LONGEST_NAME: usize = 128;

/// Collects every problem of the intents. Each intent is seen on the state that
/// the intents before it leave.
pub(super) fn validate(state: &ClusterState, intents: &[Intent]) -> Result<(), PlanError> {
    let mut validation = Validation::new(state);
    for intent in intents {
        validation.check(intent);
    }
    if intents.is_empty() {
        validation.report("intents", "", "there are none");
    }
    if validation.findings.is_empty() {
        return Ok(());
    }
    Err(PlanError {
        findings: validation.findings,
    })
}

struct Validation<'a> {
    state: &'a ClusterState,
    groups: BTreeSet<GroupId>,
    models: BTreeMap<ModelId, Model>,
    /// Adapters and their base models.
    adapters: BTreeMap<AdapterId, ModelId>,
    findings: Vec<PlanFinding>,
}

impl<'a> Validation<'a> {
    fn new(state: &'a ClusterState) -> Self {
        let models = state
            .models
            .iter()
            .filter(|(id, _)| !state.is_retiring(id))
            .map(|(id, model)| (id.clone(), model.value.clone()))
            .collect();
        let adapters = state
            .adapters
            .iter()
            .map(|(id, adapter)| (id.clone(), adapter.value.base.clone()))
            .collect();
        Self {
            state,
            groups: state.groups.keys().cloned().collect(),
            models,
            adapters,
            findings: Vec::new(),
        }
    }

    fn report(&mut self, kind: &str, name: &str, problem: impl Into<String>) {
        self.findings.push(PlanFinding {
            object: format!("{kind} {name}").trim_end().to_string(),
            problem: problem.into(),
        });
    }

    fn check(&mut self, intent: &Intent) {
        match intent {
            Intent::PutGroup(group) => self.put_group(group),
            Intent::DeleteGroup(id) => {
                if !self.groups.remove(id) {
                    self.report("group", id.as_str(), "does not exist");
                }
            }
            Intent::PutModel(model) => self.put_model(model),
            Intent::DeleteModel(id) => self.delete_model(id),
            Intent::PutAdapter(adapter) => self.put_adapter(adapter),
            Intent::DeleteAdapter(id) => {
                if self.adapters.remove(id).is_none() {
                    self.report("adapter", id.as_str(), "does not exist");
                }
            }
            Intent::DrainNode(id) => {
                if !self.state.nodes.contains_key(id) {
                    self.report("node", id.as_str(), "does not exist");
                }
            }
            Intent::DrainEngine(id) => {
                if !self.state.engines.contains_key(id) {
                    self.report("engine", id.as_str(), "does not exist");
                }
            }
        }
    }

    fn check_name(&mut self, kind: &str, name: &str) {
        let printable = name.chars().all(|c| !c.is_whitespace() && !c.is_control());
        if name.is_empty() {
            self.report(kind, name, "the name is empty");
        }
        if name.len() > LONGEST_NAME {
            self.report(
                kind,
                name,
                format!("the name is longer than {LONGEST_NAME} bytes"),
            );
        }
        if !printable {
            self.report(kind, name, "the name has white space or control characters");
        }
    }

    fn put_group(&mut self, group: &Group) {
        let name = group.id.as_str();
        self.check_name("group", name);
        if group.share_weight == 0 {
            self.report("group", name, "share_weight is 0; it must be at least 1");
        }
        self.groups.insert(group.id.clone());
    }

    fn put_model(&mut self, model: &Model) {
        let name = model.id.as_str();
        self.check_name("model", name);
        if self.adapters.contains_key(&AdapterId::from(name)) {
            self.report("model", name, "an adapter has this name");
        }
        if model.accelerators == 0 {
            self.report("model", name, "accelerators is 0; it must be at least 1");
        }
        if model.memory_mib_per_accelerator == 0 {
            self.report(
                "model",
                name,
                "memory_mib_per_accelerator is 0; it must be at least 1",
            );
        }
        if model.max_replicas == 0 {
            self.report("model", name, "max_replicas is 0; it must be at least 1");
        }
        if model.min_replicas > model.max_replicas {
            let problem = format!(
                "min_replicas {} is more than max_replicas {}",
                model.min_replicas, model.max_replicas
            );
            self.report("model", name, problem);
        }
        self.check_model_fits_somewhere(model);
        self.models.insert(model.id.clone(), model.clone());
    }

    fn check_model_fits_somewhere(&mut self, model: &Model) {
        let needed = model.memory_mib_per_accelerator;
        if self.fits_somewhere(model.accelerators, needed) {
            return;
        }
        let problem = format!(
            "fits on no engine: it needs {} accelerators with {needed} MiB each",
            model.accelerators
        );
        self.report("model", model.id.as_str(), problem);
    }

    /// Whether an empty engine could hold it. Without any engine nothing can be
    /// said, and that is not the intent's fault.
    fn fits_somewhere(&self, accelerators: u32, memory_mib: u64) -> bool {
        let mut engines = self.state.engines.values().map(|found| &found.value).peekable();
        engines.peek().is_none() || engines.any(|engine| could_hold(engine, accelerators, memory_mib))
    }

    fn delete_model(&mut self, id: &ModelId) {
        if self.models.remove(id).is_none() {
            self.report("model", id.as_str(), "does not exist");
        }
        let adapters: Vec<String> = self
            .adapters
            .iter()
            .filter(|(_, base)| *base == id)
            .map(|(adapter, _)| adapter.to_string())
            .collect();
        if !adapters.is_empty() {
            let problem = format!("still has adapters: {}; delete them first", adapters.join(", "));
            self.report("model", id.as_str(), problem);
        }
    }

    fn put_adapter(&mut self, adapter: &Adapter) {
        let name = adapter.id.as_str();
        self.check_name("adapter", name);
        if self.models.contains_key(&ModelId::from(name)) {
            self.report("adapter", name, "a model has this name");
        }
        match self.models.get(&adapter.base).cloned() {
            None => {
                let problem = format!("base model {} does not exist", adapter.base);
                self.report("adapter", name, problem);
            }
            Some(base) => self.check_adapter_fits_somewhere(adapter, &base),
        }
        self.adapters.insert(adapter.id.clone(), adapter.base.clone());
    }

    fn check_adapter_fits_somewhere(&mut self, adapter: &Adapter, base: &Model) {
        let needed = base
            .memory_mib_per_accelerator
            .saturating_add(adapter.memory_mib_per_accelerator);
        if !self.fits_somewhere(base.accelerators, needed) {
            let problem = format!("fits on no engine beside its base model {}", base.id);
            self.report("adapter", adapter.id.as_str(), problem);
        }
    }
}

fn could_hold(engine: &Engine, accelerators: u32, memory_mib: u64) -> bool {
    let fitting = engine
        .accelerator_memory_mib
        .iter()
        .filter(|&&memory| memory >= memory_mib)
        .count();
    fitting >= accelerators as usize
}
