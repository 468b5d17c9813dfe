//! Typed settings of a node. Reading them from files is up to the caller.

use std::net::SocketAddr;
use std::time::Duration;

use croftrill_scheduler::process_limits::ProcessLimits;

/// Name and addresses of a node, and the resources of its machine.
#[derive(Debug, Clone)]
pub struct NodeIdentity {
    /// Unique name of the node.
    pub name: String,
    /// Zone it runs in.
    pub zone: String,
    /// Address at which callers reach it.
    pub front: SocketAddr,
    /// Address at which other nodes reach it.
    pub peer: SocketAddr,
    /// Processor time that it may use, in thousandths of a core.
    pub processor_millicores: u32,
    /// Bandwidth of its network link, in bytes per second.
    pub link_bytes_per_s: u64,
}

/// Bandwidth assumed for a link if the settings give none: 10 Mbit/s.
pub const DEFAULT_LINK_BYTES_PER_S: u64 = 1_250_000;

/// Bounds that apply to all nodes together.
#[derive(Debug, Clone)]
pub struct ClusterBounds {
    /// Minimum time between the orders of two machines at one replica.
    pub order_gap: Duration,
    /// Sliding window of the limit on model loads from the weight store.
    pub ceiling_window: Duration,
    /// Retries allowed per request.
    pub retry_ratio: f64,
    /// Additional retries allowed per window.
    pub retry_slack: f64,
    /// Window of the retry budget.
    pub retry_window: Duration,
    /// Window of the tenants' quotas.
    pub quota_window: Duration,
    /// Fraction of its quota by which a tenant may exceed it in a window.
    pub quota_overage: f64,
    /// Additional units by which a tenant may exceed its quota in a window.
    pub quota_slack: f64,
    /// Time that the process has to end after it was asked to stop.
    pub stop_grace: Duration,
    /// Time within which a new configuration must be in force at all nodes.
    pub configuration_deadline: Duration,
    /// Shortest lease that the store grants.
    pub min_lease: Duration,
}

/// Settings of a node.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Name, addresses and resources of the node.
    pub identity: NodeIdentity,
    /// Bounds that apply to all nodes together.
    pub bounds: ClusterBounds,
    /// Limits of the process on its machine.
    pub limits: ProcessLimits,
    /// Intervals of the node's own work.
    pub pace: Pace,
    /// Maximum number of requests that the node serves concurrently. Further requests wait and
    /// are admitted by the shares of their groups. If `None`, only replicas queue requests.
    pub max_concurrent_requests: Option<usize>,
    /// Maximum number of replicas up to which a relay sends all of them to its followers. With
    /// more replicas, it sends those that the followers' requests need.
    pub max_replicas_in_full_view: usize,
    /// True if callers are expected to compete for scarce capacity at times. Nodes then publish
    /// the load of replicas to each other even if no replica reports how fast it works.
    pub callers_compete: bool,
    /// True at the first start of the entire system, when no earlier process of this machine can
    /// have used its part of the retry budget.
    pub is_first_start: bool,
}

/// Default of [`NodeSettings::max_replicas_in_full_view`]. 512 replicas take about 100 KB, as
/// much as a configuration: 40 ms over 20 Mbit/s, and 0.5 MB of memory.
pub const DEFAULT_MAX_REPLICAS_IN_FULL_VIEW: usize = 512;

/// Time reserved for a node's own call to the store: the call's limit of 0.9 s, and a margin
/// for applying the answer.
const STORE_CALL_ALLOWANCE: Duration = Duration::from_millis(1000);

impl NodeSettings {
    /// Returns how long a node that lost its relay waits for another one before it reads the
    /// store: the part of the configuration deadline that remains for this.
    pub fn relay_patience(&self) -> Duration {
        let used = self.pace.relay_lifetime + STORE_CALL_ALLOWANCE;
        self.bounds.configuration_deadline.saturating_sub(used)
    }
}

/// Intervals of a node's own work.
#[derive(Debug, Clone)]
pub struct Pace {
    /// Minimum time between two watch calls.
    pub watch_interval: Duration,
    /// Maximum time that a watch call waits for changes.
    pub watch_wait: Duration,
    /// Minimum time between two watch calls of a node that relays the answers to other nodes.
    pub relay_watch_interval: Duration,
    /// Maximum time that a watch call of such a node waits for changes.
    pub relay_watch_wait: Duration,
    /// Time for which relayed changes are trusted to be complete.
    pub relay_lifetime: Duration,
    /// Time to live of the node's own entry.
    pub membership_lease: Duration,
    /// Interval between renewals of the lease of the node's own entry.
    pub membership_renewal: Duration,
    /// Time to live of the orderer's lease.
    pub orderer_lease: Duration,
    /// Interval between renewals of the orderer's lease.
    pub orderer_renewal: Duration,
    /// Interval between two plans of the orderer.
    pub plan_interval: Duration,
    /// Interval between reports of demand to the orderers.
    pub demand_interval: Duration,
    /// Interval between heartbeats on a link between nodes.
    pub peer_heartbeat: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Pace {
            watch_interval: Duration::from_millis(600),
            watch_wait: Duration::from_secs(10),
            relay_watch_interval: Duration::from_millis(400),
            relay_watch_wait: Duration::from_millis(600),
            relay_lifetime: Duration::from_millis(1300),
            membership_lease: Duration::from_secs(3),
            membership_renewal: Duration::from_millis(1000),
            orderer_lease: Duration::from_millis(4500),
            orderer_renewal: Duration::from_millis(700),
            plan_interval: Duration::from_millis(40),
            demand_interval: Duration::from_millis(250),
            peer_heartbeat: Duration::from_millis(400),
        }
    }
}
