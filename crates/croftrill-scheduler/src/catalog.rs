//! The operators' configuration: routes, services, models and limits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::quota::turn::AheadLimits;
use crate::tenants::{Tenant, Tenants};

/// Name of a model.
pub type ModelName = Arc<str>;
/// Name of an adapter, unique within its model.
pub type AdapterName = Arc<str>;
/// Name of a service: a group of interchangeable replicas.
pub type ServiceName = Arc<str>;

/// Host of routes that hold for every host without a route of its own for the path.
pub const ANY_HOST: &str = "*";

/// What a route says about running a request more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run any number of times.
    Safe,
    /// May run at most once.
    Unsafe,
    /// Answers with a series of events; runs at most once unless resumable.
    Streaming,
}

/// One part of a route's traffic.
#[derive(Debug, Clone, PartialEq)]
pub struct Backend {
    /// The service that takes this part.
    pub service: ServiceName,
    /// Share of the route's requests, relative to the other parts.
    pub weight: u32,
}

/// Where requests of one host and path prefix go, and under which bounds.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: Arc<str>,
    /// Host that the route belongs to.
    pub host: Arc<str>,
    /// Prefix of the path, beginning and ending with a slash.
    pub path_prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time a request may be held; `None`: as long as its caller waits.
    pub timeout: Option<Duration>,
    /// Time within which the answer (its first event) earns its full credit.
    pub objective: Duration,
    /// Longest pause between events that keeps an answer in time.
    pub pause_objective: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the traffic.
    pub backends: Vec<Backend>,
    /// Largest number of replicas that one request may be sent to.
    pub max_attempts: u32,
    /// True if a broken stream may be continued at another replica.
    pub resumable: bool,
    /// True if its requests need no key.
    pub public: bool,
}

impl Route {
    /// True if a request of this route may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

/// A model that a service's replicas can load.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// Name of the model.
    pub name: ModelName,
    /// Memory of its weights, in MB.
    pub weights_mb: f64,
    /// Memory of one of its adapters, in MB.
    pub adapter_mb: f64,
    /// Number of its adapters.
    pub adapter_count: u32,
    /// Time of a load from the weight store.
    pub store_load: Duration,
    /// Time of a load from the replica's disk.
    pub disk_load: Duration,
    /// Time of a load from the replica's memory.
    pub memory_load: Duration,
}

/// What the replicas of a model service can hold.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Models by name.
    pub models: HashMap<ModelName, ModelSpec>,
    /// Names of the models in the order of the configuration.
    pub model_order: Vec<ModelName>,
    /// Memory for weights and adapters of one replica, in MB.
    pub weights_mb: f64,
    /// Places for adapters of one replica.
    pub adapter_slots: usize,
    /// Loads from the weight store that may begin in a second, over all replicas.
    pub loads_per_second: f64,
    /// Tokens of prompt memory of one replica.
    pub kv_capacity: u64,
}

/// A group of interchangeable replicas.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Connections that one replica accepts from all nodes together.
    pub max_connections: usize,
    /// Present if the replicas serve models.
    pub engine: Option<EngineSpec>,
}

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallerLimits {
    /// Largest header block, in bytes.
    pub max_header_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a header block to arrive.
    pub header_timeout: Duration,
    /// Longest rest of a connection between two requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One whole version of the operators' configuration.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    /// Version; a later configuration has a higher one.
    pub version: u64,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// Share of each group of callers; a group without one has a share of 1.
    pub group_shares: HashMap<Arc<str>, u32>,
    /// Who may call, shown by keys; anybody if there are none.
    pub tenants: Tenants,
    /// For how long requests of tenants with a quota are granted ahead, by their routes.
    pub ahead_limits: AheadLimits,
    services: HashMap<ServiceName, Arc<Service>>,
    /// Routes of a host, the longest prefix first.
    routes_by_host: HashMap<Arc<str>, Vec<Arc<Route>>>,
}

impl Configuration {
    /// Builds the look-up tables of a configuration.
    pub fn new(version: u64, limits: CallerLimits, services: Vec<Service>, routes: Vec<Route>) -> Self {
        let mut routes_by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            routes_by_host
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for host_routes in routes_by_host.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|service| (service.name.clone(), Arc::new(service)))
            .collect();
        Configuration {
            version,
            limits,
            group_shares: HashMap::new(),
            tenants: Tenants::default(),
            ahead_limits: AheadLimits::default(),
            services,
            routes_by_host,
        }
    }

    /// The route of a request: of the host's routes the one with the longest
    /// prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let of_host = |host: &str| {
            let routes = self.routes_by_host.get(host)?;
            routes.iter().find(|route| path.starts_with(&*route.path_prefix))
        };
        of_host(host).or_else(|| of_host(ANY_HOST))
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// The longest objective among the routes to a service; zero if there is none.
    pub fn longest_objective(&self, service: &str) -> Duration {
        let routes = self.routes_to(service);
        routes.map(|route| route.objective).max().unwrap_or_default()
    }

    /// True if no route to the service ranks before one of this rank.
    pub fn is_most_urgent_of(&self, service: &str, rank: u8) -> bool {
        !self.routes_to(service).any(|route| route.priority < rank)
    }

    /// True if a route to the service is less urgent than this rank.
    pub fn has_less_urgent_route(&self, service: &str, rank: u8) -> bool {
        self.routes_to(service).any(|route| route.priority > rank)
    }

    fn routes_to<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Route>> {
        let routes = self.routes_by_host.values().flatten();
        routes.filter(move |route| route.backends.iter().any(|part| &*part.service == service))
    }

    /// The same configuration with shares for groups of callers.
    pub fn with_group_shares(mut self, group_shares: HashMap<Arc<str>, u32>) -> Self {
        self.group_shares = group_shares;
        self
    }

    /// The same configuration for callers that show keys of these tenants.
    pub fn with_tenants(mut self, tenants: Vec<Tenant>) -> Self {
        let routes = self.routes_by_host.values().flatten();
        let keyed = routes.clone().filter(|route| !route.public);
        self.ahead_limits = AheadLimits::new(keyed.map(|route| (route.priority, route.objective)));
        let mut priorities: Vec<u8> = routes.map(|route| route.priority).collect();
        priorities.sort_unstable();
        priorities.dedup();
        self.tenants = Tenants::new(tenants, priorities.into_iter());
        self
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes_by_host.values().map(Vec::len).sum()
    }
}
