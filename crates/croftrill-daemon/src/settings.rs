//! The settings file of `croftrilld`, in TOML.

use std::net::SocketAddr;
use std::time::Duration;

use croftrill_node::settings::{
    ClusterBounds, NodeIdentity, NodeSettings, Pace, DEFAULT_LINK_BYTES_PER_S,
    DEFAULT_MAX_REPLICAS_IN_FULL_VIEW,
};
use croftrill_scheduler::process_limits::{
    ProcessLimits, DEFAULT_MAX_DESCRIPTORS, DEFAULT_MEMORY_MB, MIN_DESCRIPTORS, MIN_MEMORY_MB,
};
use nix::sys::resource::{getrlimit, Resource};
use serde::Deserialize;

/// Settings of one node.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Unique name of the node.
    pub name: String,
    /// Zone in which the node runs.
    #[serde(default)]
    pub zone: String,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for other nodes.
    pub peer: SocketAddr,
    /// Listen address for the operator API and metrics.
    pub operator: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Maximum time to finish requests in flight after a stop signal, in seconds.
    #[serde(default = "default_stop_grace_seconds")]
    pub stop_grace_seconds: f64,
    /// Minimum time between orders from two different machines, in milliseconds.
    #[serde(default = "default_order_gap_ms")]
    pub order_gap_ms: u64,
    /// Maximum number of requests in service at the same time; 0 for no limit.
    #[serde(default)]
    pub most_in_service: usize,
    /// Limits of the process.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Whether callers compete for scarce capacity at times.
    #[serde(default)]
    pub callers_compete: bool,
    /// Retry budget.
    #[serde(default)]
    pub retry: RetrySettings,
    /// Precision with which group quotas are enforced.
    #[serde(default)]
    pub quota: QuotaSettings,
}

/// Limits of the process, from which those on what callers can make it hold follow.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Memory that the process may take, in MB.
    pub memory_mb: u64,
    /// Number of files and sockets that the process may have open; by default the operating system's
    /// limit.
    pub max_descriptors: usize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        LimitSettings {
            memory_mb: DEFAULT_MEMORY_MB,
            max_descriptors: system_descriptor_limit(),
        }
    }
}

/// Precision with which group quotas are enforced, over all nodes together.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuotaSettings {
    /// Length of the sliding window in which a group's use is counted, in seconds.
    pub window_seconds: f64,
    /// Fraction of its quota by which a group may exceed it in a window.
    pub overage: f64,
    /// Tokens by which a group may exceed its quota in a window, in addition to `overage`.
    pub slack: f64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        QuotaSettings {
            window_seconds: 8.0,
            overage: 0.1,
            slack: 20_000.0,
        }
    }
}

/// Retry budget of all nodes together.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetrySettings {
    /// Retries per request.
    pub ratio: f64,
    /// Retries in a window, in addition to `ratio`.
    pub slack: f64,
    /// Length of the sliding window, in seconds.
    pub window_seconds: f64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        RetrySettings {
            ratio: 0.2,
            slack: 20.0,
            window_seconds: 10.0,
        }
    }
}

/// Returns the operating system's limit on the descriptors of this process.
fn system_descriptor_limit() -> usize {
    match getrlimit(Resource::RLIMIT_NOFILE) {
        Ok((soft_limit, _)) => soft_limit.try_into().unwrap_or(usize::MAX),
        Err(error) => {
            tracing::warn!(target: "node", event = "the limit on descriptors is not known", %error);
            DEFAULT_MAX_DESCRIPTORS
        }
    }
}

fn default_stop_grace_seconds() -> f64 {
    8.0
}

fn default_order_gap_ms() -> u64 {
    3000
}

/// Maximum time until a new document is active on all nodes; the value that users' smaller
/// deployments require.
const CONFIGURATION_DEADLINE: Duration = Duration::from_secs(2);
/// Minimum time to live of a lease.
const MIN_LEASE: Duration = Duration::from_secs(1);
/// Sliding window in which loads from the weight store are limited.
const CEILING_WINDOW: Duration = Duration::from_secs(5);

impl Settings {
    /// Parses and validates settings; returns every error, each with the path of the setting.
    pub fn parse(text: &str) -> Result<Self, Vec<String>> {
        let settings: Settings =
            toml_edit::de::from_str(text).map_err(|error| vec![error.to_string().trim().to_string()])?;
        let findings = settings.findings();
        if findings.is_empty() {
            Ok(settings)
        } else {
            Err(findings)
        }
    }

    fn findings(&self) -> Vec<String> {
        let mut findings = Vec::new();
        if self.name.is_empty() {
            findings.push("name: must not be empty".to_string());
        }
        let positive = [
            ("stop_grace_seconds", self.stop_grace_seconds),
            ("retry.window_seconds", self.retry.window_seconds),
            ("quota.window_seconds", self.quota.window_seconds),
        ];
        for (key, value) in positive {
            if value.is_nan() || value <= 0.0 {
                findings.push(format!("{key}: must be above zero"));
            }
        }
        for (key, value) in [
            ("retry.ratio", self.retry.ratio),
            ("retry.slack", self.retry.slack),
            ("quota.slack", self.quota.slack),
            ("quota.overage", self.quota.overage),
        ] {
            if value.is_nan() || value < 0.0 {
                findings.push(format!("{key}: must not be below zero"));
            }
        }
        if self.limits.memory_mb < MIN_MEMORY_MB {
            findings.push(format!("limits.memory_mb: must be at least {MIN_MEMORY_MB}"));
        }
        if self.limits.max_descriptors < MIN_DESCRIPTORS {
            findings.push(format!(
                "limits.max_descriptors: must be at least {MIN_DESCRIPTORS}"
            ));
        }
        let addresses = [
            ("listen", self.listen),
            ("peer", self.peer),
            ("operator", self.operator),
        ];
        for (index, (key, address)) in addresses.iter().enumerate() {
            let taken = addresses[..index]
                .iter()
                .find(|(_, other)| other == address && address.port() != 0);
            if let Some((other, _)) = taken {
                findings.push(format!("{key}: the same address as {other}"));
            }
        }
        findings
    }

    /// Converts to the settings that a [`Node`](croftrill_node::node::Node) takes.
    pub fn node_settings(&self) -> NodeSettings {
        NodeSettings {
            identity: NodeIdentity {
                name: self.name.clone(),
                zone: self.zone.clone(),
                front: self.listen,
                peer: self.peer,
                processor_millicores: 1000,
                link_bytes_per_s: DEFAULT_LINK_BYTES_PER_S,
            },
            bounds: ClusterBounds {
                order_gap: Duration::from_millis(self.order_gap_ms),
                ceiling_window: CEILING_WINDOW,
                retry_ratio: self.retry.ratio,
                retry_slack: self.retry.slack,
                retry_window: Duration::from_secs_f64(self.retry.window_seconds),
                quota_window: Duration::from_secs_f64(self.quota.window_seconds),
                quota_overage: self.quota.overage,
                quota_slack: self.quota.slack,
                stop_grace: Duration::from_secs_f64(self.stop_grace_seconds),
                configuration_deadline: CONFIGURATION_DEADLINE,
                min_lease: MIN_LEASE,
            },
            limits: ProcessLimits::new(self.limits.memory_mb, self.limits.max_descriptors),
            pace: Pace {
                watch_interval: Duration::from_millis(100),
                ..Pace::default()
            },
            max_replicas_in_full_view: DEFAULT_MAX_REPLICAS_IN_FULL_VIEW,
            callers_compete: self.callers_compete,
            max_concurrent_requests: (self.most_in_service > 0).then_some(self.most_in_service),
            // A node cannot tell a first start from a restart, so its retry budget is small for
            // one window.
            is_first_start: false,
        }
    }
}
