//! The typed settings of a node. Where they come from is the caller's concern.

use std::net::SocketAddr;
use std::time::Duration;

/// Who and where a node is.
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
    /// What its link carries, in bytes a second.
    pub link_bytes_per_s: u64,
}

/// What a link is taken to carry where nobody says: 10 Mbit/s.
pub const LEAST_LINK_BYTES_PER_S: u64 = 1_250_000;

/// Bounds that hold for all nodes together.
#[derive(Debug, Clone)]
pub struct ClusterBounds {
    /// Time within which one orderer must not follow another at a replica.
    pub order_gap: Duration,
    /// Sliding window of the ceiling on loads from the weight store.
    pub ceiling_window: Duration,
    /// Repeats allowed for each request.
    pub retry_ratio: f64,
    /// Repeats allowed besides in a window.
    pub retry_slack: f64,
    /// Window of the retry budget.
    pub retry_window: Duration,
    /// Window of the tenants' quotas.
    pub quota_window: Duration,
    /// Part of its quota that a tenant may be over it in a window.
    pub quota_overage: f64,
    /// Units that it may be over that besides.
    pub quota_slack: f64,
    /// Time between the request to stop and the end of the process.
    pub stop_grace: Duration,
    /// Time within which a configuration must be in force everywhere.
    pub configuration_deadline: Duration,
    /// Shortest lease that the store grants.
    pub least_lease: Duration,
}

/// All settings of a node.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Who and where it is.
    pub identity: NodeIdentity,
    /// Bounds for all nodes.
    pub bounds: ClusterBounds,
    /// Intervals of the node's own work.
    pub pace: Pace,
    /// Most requests that the node serves at the same time; what comes beyond
    /// waits by its group's share. `None`: replicas alone queue and rank.
    pub most_in_service: Option<usize>,
    /// Replicas up to which a relay tells its followers of all of them; of more, of those
    /// that their requests ask for.
    pub most_replicas_told: usize,
    /// True where callers are known to compete for too little room at times: nodes tell
    /// each other how full replicas are, whether or not these tell how fast they work.
    pub callers_compete: bool,
    /// True at the first start of the whole system: no former process of this
    /// machine can have used its part of the retry budget.
    pub is_first_start: bool,
}

/// Usual value of [`NodeSettings::most_replicas_told`]: 512 replicas are some 100 KB, as
/// much as a configuration, 40 ms over 20 Mbit/s and 0.5 MB of memory.
pub const MOST_REPLICAS_TOLD: usize = 512;

/// Time that a call to the store may take once a node asks by itself: its limit
/// of 0.9 s, and a margin for the answer to be taken in.
const OWN_CALL: Duration = Duration::from_millis(1000);

impl NodeSettings {
    /// Time for which a node that lost the relay waits for another one before it
    /// asks the store: what the configuration's deadline leaves.
    pub fn relay_patience(&self) -> Duration {
        let used = self.pace.relay_lifetime + OWN_CALL;
        self.bounds.configuration_deadline.saturating_sub(used)
    }
}

/// Intervals of a node's own work.
#[derive(Debug, Clone)]
pub struct Pace {
    /// Least time between two watch calls.
    pub watch_every: Duration,
    /// Longest time that one watch call waits.
    pub watch_wait: Duration,
    /// Least time between two watch calls of the orderer, whose answers all nodes get.
    pub relay_watch_every: Duration,
    /// Longest time that one of these waits.
    pub relay_watch_wait: Duration,
    /// Time for which what the orderer relays is believed to be complete.
    pub relay_lifetime: Duration,
    /// Time to live of the node's own entry.
    pub membership_lease: Duration,
    /// Time between renewals of it.
    pub membership_renewal: Duration,
    /// Time to live of the orderer's lease.
    pub orderer_lease: Duration,
    /// Time between renewals of it.
    pub orderer_renewal: Duration,
    /// Time between two plans of the orderer.
    pub plan_every: Duration,
    /// Time between reports of demand to the orderer.
    pub demand_every: Duration,
    /// Time between signs of life on a link between nodes.
    pub peer_heartbeat: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Pace {
            watch_every: Duration::from_millis(600),
            watch_wait: Duration::from_secs(10),
            relay_watch_every: Duration::from_millis(400),
            relay_watch_wait: Duration::from_millis(600),
            relay_lifetime: Duration::from_millis(1300),
            membership_lease: Duration::from_secs(3),
            membership_renewal: Duration::from_millis(1000),
            orderer_lease: Duration::from_millis(4500),
            orderer_renewal: Duration::from_millis(700),
            plan_every: Duration::from_millis(40),
            demand_every: Duration::from_millis(250),
            peer_heartbeat: Duration::from_millis(400),
        }
    }
}
