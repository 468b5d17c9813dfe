//! The operators' document: models, groups and limits, versioned together.

use std::collections::HashMap;
use std::time::Duration;

use croftrill_scheduler::catalog::{
    Backend, CallerLimits, Configuration, EngineSpec, ModelSpec, Route, RouteKind, Service, ANY_HOST,
};
use croftrill_scheduler::tenants::{KeyDigest, Quota, QuotaUnit, Tenant};
use serde::{Deserialize, Serialize};

/// Service to which all models of the document belong.
pub const MODEL_SERVICE: &str = "models";
/// Paths to which callers send requests.
pub const COMPLETION_PATHS: [&str; 2] = ["/v1/completions", "/v1/chat/completions"];

/// A model with its adapters.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelDocument {
    /// Name.
    pub name: String,
    /// Size of the weights in memory, in MB.
    pub weights_mb: f64,
    /// Duration of a load from the weight store, in seconds.
    pub load_seconds: f64,
    /// Duration of a load from a replica's disk, in seconds; by default as long as from
    /// the weight store.
    #[serde(default)]
    pub disk_load_seconds: Option<f64>,
    /// Number of adapters; they are named `a1`, `a2` and so on.
    #[serde(default)]
    pub adapters: u32,
    /// Size of an adapter in memory, in MB.
    #[serde(default)]
    pub adapter_mb: f64,
}

/// A group of callers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupDocument {
    /// Name by which callers refer to the group.
    pub name: String,
    /// Share of a node's slots under contention, relative to other groups.
    pub share: u32,
    /// SHA-256 digests of its callers' API keys, in hexadecimal. If any group has
    /// digests, every caller needs a key and is charged to the group of that key.
    #[serde(default)]
    pub key_digests: Vec<String>,
    /// Priority of its requests; 0 is the most urgent.
    #[serde(default)]
    pub priority: Option<u8>,
    /// Limit on its requests to all nodes together; requires `key_digests`.
    #[serde(default)]
    pub quota: Option<QuotaDocument>,
}

/// Limit on a group's requests to all nodes together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaDocument {
    /// Tokens per second, counting prompts and the longest possible answers.
    pub tokens_per_second: f64,
    /// Tokens that may be used beyond that rate; they are regained at the same rate.
    pub burst_tokens: f64,
}

impl GroupDocument {
    /// Parses the digests of the group's keys; returns the first malformed text as error.
    fn digests(&self) -> Result<Vec<KeyDigest>, &str> {
        let digests = self.key_digests.iter();
        digests
            .map(|text| parse_digest(text).ok_or(text.as_str()))
            .collect()
    }

    /// Returns the findings about the group, each with its location in the document.
    fn findings(&self, location: &str) -> Vec<String> {
        let mut findings = Vec::new();
        if self.share == 0 {
            findings.push(format!("{location}: share must be above zero"));
        }
        if self.digests().is_err() {
            // The text itself is left out: it may be a key entered by mistake.
            findings.push(format!(
                "{location}: key_digests must be 64 hexadecimal digits each"
            ));
        }
        if self.quota.is_some() && self.key_digests.is_empty() {
            findings.push(format!("{location}: a quota needs key_digests"));
        }
        let is_not_positive = |value: f64| value.is_nan() || value <= 0.0;
        if let Some(quota) = &self.quota {
            if is_not_positive(quota.tokens_per_second) || is_not_positive(quota.burst_tokens) {
                findings.push(format!("{location}: the quota's figures must be above zero"));
            }
        }
        findings
    }

    fn tenant(&self) -> Tenant {
        let quota = self.quota.as_ref().map(|quota| Quota {
            unit: QuotaUnit::Tokens { default_tokens: 0 },
            rate_per_s: quota.tokens_per_second,
            burst: quota.burst_tokens,
        });
        Tenant {
            name: self.name.as_str().into(),
            // Documents with malformed digests are never confirmed.
            keys: self.digests().unwrap_or_default(),
            priority: self.priority,
            quota,
        }
    }
}

/// Parses a digest in hexadecimal.
fn parse_digest(text: &str) -> Option<KeyDigest> {
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    let mut digest = [0; 32];
    for (byte, digits) in digest.iter_mut().zip(text.as_bytes().chunks(2)) {
        let digits = std::str::from_utf8(digits).ok()?;
        *byte = u8::from_str_radix(digits, 16).ok()?;
    }
    Some(KeyDigest::from_bytes(digest))
}

/// The complete document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Increases with every change; set when the document is confirmed.
    #[serde(default)]
    pub version: u64,
    /// Memory of a replica that weights and adapters may use, in MB.
    pub replica_weights_mb: f64,
    /// Maximum number of adapters that a replica holds.
    pub adapter_slots: usize,
    /// Loads from the weight store that may start per second.
    pub loads_per_second: f64,
    /// Target for the time to the first event, in milliseconds.
    pub objective_ms: u64,
    /// Maximum time that a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// True if a broken stream may go on at another replica after its last event.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub resumable: bool,
    /// Models.
    #[serde(default)]
    pub models: Vec<ModelDocument>,
    /// Groups of callers.
    #[serde(default)]
    pub groups: Vec<GroupDocument>,
}

impl Document {
    /// Returns the findings about the document, each with its location.
    pub fn findings(&self) -> Vec<String> {
        let mut findings = Vec::new();
        if self.timeout_ms == 0 {
            findings.push("timeout_ms: must be above zero".to_string());
        }
        for (index, model) in self.models.iter().enumerate() {
            let location = format!("models[{index}] ({})", model.name);
            if model.name.is_empty() || model.name.contains('/') {
                findings.push(format!("{location}: a name must not be empty or contain a slash"));
            }
            if self.models[..index].iter().any(|other| other.name == model.name) {
                findings.push(format!("{location}: the name stands twice"));
            }
            if model.weights_mb <= 0.0 || model.weights_mb > self.replica_weights_mb {
                findings.push(format!(
                    "{location}: weights_mb must be above zero and fit a replica"
                ));
            }
        }
        for (index, group) in self.groups.iter().enumerate() {
            findings.extend(group.findings(&format!("groups[{index}] ({})", group.name)));
        }
        findings
    }

    /// Converts the document to the configuration that it describes.
    pub fn configuration(&self) -> Configuration {
        let models: Vec<ModelSpec> = self.models.iter().map(model_spec).collect();
        let engine = EngineSpec {
            model_order: models.iter().map(|model| model.name.clone()).collect(),
            models: models
                .into_iter()
                .map(|model| (model.name.clone(), model))
                .collect(),
            weights_mb: self.replica_weights_mb,
            adapter_slots: self.adapter_slots,
            loads_per_second: self.loads_per_second,
            kv_capacity: 0,
        };
        let service = Service {
            name: MODEL_SERVICE.into(),
            max_connections: usize::MAX,
            engine: Some(engine),
        };
        let routes = COMPLETION_PATHS.iter().map(|path| self.route(path)).collect();
        let shares: HashMap<_, _> = self
            .groups
            .iter()
            .map(|group| (group.name.as_str().into(), group.share))
            .collect();
        let with_keys = self.groups.iter().filter(|group| !group.key_digests.is_empty());
        let tenants = with_keys.map(GroupDocument::tenant).collect();
        Configuration::new(self.version, CallerLimits::default(), vec![service], routes)
            .with_group_shares(shares)
            .with_tenants(tenants)
    }

    fn route(&self, path: &str) -> Route {
        Route {
            name: path.into(),
            host: ANY_HOST.into(),
            path_prefix: path.into(),
            kind: RouteKind::Streaming,
            timeout: Some(Duration::from_millis(self.timeout_ms)),
            objective: Duration::from_millis(self.objective_ms),
            pause_objective: None,
            priority: 1,
            backends: vec![Backend {
                service: MODEL_SERVICE.into(),
                weight: 1,
            }],
            max_attempts: 2,
            resumable: self.resumable,
            public: false,
        }
    }
}

fn model_spec(model: &ModelDocument) -> ModelSpec {
    let seconds = |value: f64| Duration::try_from_secs_f64(value).unwrap_or_default();
    let store_load = seconds(model.load_seconds);
    let disk_load = model.disk_load_seconds.map_or(store_load, seconds);
    ModelSpec {
        name: model.name.as_str().into(),
        weights_mb: model.weights_mb,
        adapter_mb: model.adapter_mb,
        adapter_count: model.adapters,
        store_load,
        disk_load,
        memory_load: disk_load,
    }
}
