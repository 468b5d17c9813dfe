//! What the running requests of a replica use, which stays until they have ended.

use std::collections::BTreeMap;

use croftrill_scheduler::catalog::{AdapterName, ModelName};
use croftrill_scheduler::replica::ModelAdapter;

/// Running requests by model and adapter.
#[derive(Debug, Clone, Default)]
pub(crate) struct Uses {
    requests: BTreeMap<(ModelName, Option<AdapterName>), u32>,
}

impl Uses {
    pub(crate) fn begin(&mut self, model: &str, adapter: Option<&str>) {
        let used = (model.into(), adapter.map(Into::into));
        *self.requests.entry(used).or_default() += 1;
    }

    pub(crate) fn end(&mut self, model: &str, adapter: Option<&str>) {
        let used = (model.into(), adapter.map(Into::into));
        if let Some(requests) = self.requests.get_mut(&used) {
            *requests = requests.saturating_sub(1);
        }
        self.requests.retain(|_, requests| *requests > 0);
    }

    pub(crate) fn uses_model(&self, model: &str) -> bool {
        self.requests.keys().any(|(used, _)| &**used == model)
    }

    pub(crate) fn uses_adapter(&self, adapter: &ModelAdapter) -> bool {
        let key = (adapter.model.clone(), Some(adapter.adapter.clone()));
        self.requests.contains_key(&key)
    }
}
