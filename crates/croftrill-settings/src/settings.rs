//! The typed settings.

use crate::values::Value;
use croftrill_state::{CellId, NodeId, ZoneId};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Who the node is.
    pub node: NodeIdentity,
    /// Where it listens.
    pub listen: ListenAddresses,
    /// Where others reach it.
    pub advertise: AdvertisedAddresses,
    /// Peer addresses of some nodes to join through.
    pub seeds: Vec<SocketAddr>,
    /// The platform's services.
    pub platform: PlatformEndpoints,
    /// Limits on requests.
    pub limits: Limits,
    /// Periods and time limits.
    pub timings: Timings,
    /// What decisions weigh.
    pub policy: Policy,
    /// Least severe level that is logged.
    pub log_level: LogLevel,
}

/// Who a node is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeIdentity {
    /// Its name.
    pub id: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
}

/// Addresses that a node binds; port 0 lets the system choose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP for operators, health and metrics.
    pub operators: SocketAddr,
    /// TCP for peers and UDP for membership probes.
    pub peers: SocketAddr,
    /// HTTP/2 for attempts of gateways.
    pub attempts: SocketAddr,
}

/// Addresses that other nodes use, where they differ from the bound ones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdvertisedAddresses {
    /// Of the peer service.
    pub peers: Option<SocketAddr>,
    /// Of attempts.
    pub attempts: Option<SocketAddr>,
}

impl AdvertisedAddresses {
    /// The peer address that others use, given the bound one.
    pub fn peers_or(&self, bound: SocketAddr) -> SocketAddr {
        self.peers.unwrap_or(bound)
    }

    /// The attempt address that others use, given the bound one.
    pub fn attempts_or(&self, bound: SocketAddr) -> SocketAddr {
        self.attempts.unwrap_or(bound)
    }
}

/// The base of an HTTP service: `http://ip:port`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpEndpoint {
    /// Where it listens.
    pub address: SocketAddr,
}

impl HttpEndpoint {
    /// Reads `http://ip:port`, with or without a slash at the end.
    pub fn parse(text: &str) -> Option<Self> {
        let authority = text.strip_prefix("http://")?;
        let authority = authority.strip_suffix('/').unwrap_or(authority);
        let address = authority.parse().ok()?;
        Some(Self { address })
    }
}

impl fmt::Display for HttpEndpoint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "http://{}", self.address)
    }
}

/// The platform's services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformEndpoints {
    /// The key-value service.
    pub key_value: HttpEndpoint,
    /// The machine list.
    pub machine_list: HttpEndpoint,
    /// The weight store.
    pub weight_store: HttpEndpoint,
}

/// Deadlines of requests that name none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Deadlines {
    /// Of critical requests.
    pub critical: Duration,
    /// Of interactive requests.
    pub interactive: Duration,
    /// Of standard requests.
    pub standard: Duration,
    /// Of batch requests.
    pub batch: Duration,
    /// The longest that a request may ask for.
    pub longest: Duration,
}

/// Limits on requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Requests that wait for one engine at most.
    pub queue_length: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Deadlines.
    pub deadlines: Deadlines,
    /// Attempts that one request may cost.
    pub attempts: u32,
    /// Retries allowed for each hundred first attempts.
    pub retry_budget_percent: u32,
}

/// Periods and time limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timings {
    /// How long a coordinator's lease lasts without renewal.
    pub lease: Duration,
    /// Between two membership probes of a node.
    pub probe_period: Duration,
    /// Between two readings of the machine list by a coordinator.
    pub machine_list_period: Duration,
    /// How long idempotency keys are remembered.
    pub claim_window: Duration,
    /// Longest wait for an answer of the key-value service.
    pub key_value_timeout: Duration,
    /// Longest wait for requests in progress at a planned stop.
    pub drain: Duration,
}

/// What decisions weigh.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// From 0 (only idle accelerator hours count) to 1 (only cold starts).
    pub cold_start_weight: f64,
}

/// Levels of log lines, the most severe first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogLevel {
    /// Nothing is logged.
    Off,
    /// Something failed.
    Error,
    /// Something looks wrong.
    Warn,
    /// What happens.
    Info,
    /// Details.
    Debug,
    /// Every detail.
    Trace,
}

impl LogLevel {
    /// Every level.
    pub const ALL: [LogLevel; 6] = [
        LogLevel::Off,
        LogLevel::Error,
        LogLevel::Warn,
        LogLevel::Info,
        LogLevel::Debug,
        LogLevel::Trace,
    ];

    /// Its name, as `log::LevelFilter` reads it.
    pub fn as_str(self) -> &'static str {
        match self {
            LogLevel::Off => "off",
            LogLevel::Error => "error",
            LogLevel::Warn => "warn",
            LogLevel::Info => "info",
            LogLevel::Debug => "debug",
            LogLevel::Trace => "trace",
        }
    }

    /// The level with a name.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|level| level.as_str() == name)
    }
}

/// The value of any key, given by a flag such as `--set key=value`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyOverride {
    /// `table.key`.
    pub key: String,
    /// The value as it would stand in the file; quotes around texts may be left
    /// out.
    pub value: String,
}

impl KeyOverride {
    /// Reads `key=value`.
    pub fn parse(text: &str) -> Option<Self> {
        let (key, value) = text.split_once('=')?;
        Some(Self {
            key: key.trim().to_string(),
            value: value.trim().to_string(),
        })
    }
}

/// Values of flags; each replaces the one of the file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Overrides {
    /// `node.id`.
    pub node_id: Option<String>,
    /// `node.zone`.
    pub zone: Option<String>,
    /// `node.cell`.
    pub cell: Option<String>,
    /// `listen.callers`.
    pub listen_callers: Option<SocketAddr>,
    /// `listen.operators`.
    pub listen_operators: Option<SocketAddr>,
    /// `listen.peers`.
    pub listen_peers: Option<SocketAddr>,
    /// `listen.attempts`.
    pub listen_attempts: Option<SocketAddr>,
    /// `advertise.peers`.
    pub advertise_peers: Option<SocketAddr>,
    /// `advertise.attempts`.
    pub advertise_attempts: Option<SocketAddr>,
    /// `cluster.seeds`; empty keeps those of the file.
    pub seeds: Vec<SocketAddr>,
    /// `platform.key_value`.
    pub key_value: Option<HttpEndpoint>,
    /// `platform.machine_list`.
    pub machine_list: Option<HttpEndpoint>,
    /// `platform.weight_store`.
    pub weight_store: Option<HttpEndpoint>,
    /// `policy.cold_start_weight`.
    pub cold_start_weight: Option<f64>,
    /// `log.level`.
    pub log_level: Option<LogLevel>,
    /// Any key; the fields above win.
    pub keys: Vec<KeyOverride>,
}

impl Overrides {
    /// The typed overrides by key.
    pub(crate) fn values(&self) -> Vec<(&'static str, Value)> {
        let mut values = Vec::new();
        let mut add = |path, value: Option<Value>| values.extend(value.map(|value| (path, value)));
        add("node.id", self.node_id.clone().map(Value::Name));
        add("node.zone", self.zone.clone().map(Value::Name));
        add("node.cell", self.cell.clone().map(Value::Name));
        add("listen.callers", self.listen_callers.map(Value::Address));
        add("listen.operators", self.listen_operators.map(Value::Address));
        add("listen.peers", self.listen_peers.map(Value::Address));
        add("listen.attempts", self.listen_attempts.map(Value::Address));
        add("advertise.peers", self.advertise_peers.map(Value::Address));
        add("advertise.attempts", self.advertise_attempts.map(Value::Address));
        let seeds = (!self.seeds.is_empty()).then(|| self.seeds.clone());
        add("cluster.seeds", seeds.map(Value::Addresses));
        add("platform.key_value", self.key_value.map(Value::Endpoint));
        add("platform.machine_list", self.machine_list.map(Value::Endpoint));
        add("platform.weight_store", self.weight_store.map(Value::Endpoint));
        add(
            "policy.cold_start_weight",
            self.cold_start_weight.map(Value::Fraction),
        );
        add("log.level", self.log_level.map(Value::LogLevel));
        values
    }
}
