//! The operators' configuration: routes, services, models and limits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::admission::{caller_patience, DEFAULT_DEADLINE};
use crate::quota::reservation::AheadLimits;
use crate::tenants::{Tenant, Tenants};

/// Name of a model.
pub type ModelName = Arc<str>;
/// Name of an adapter, unique within its model.
pub type AdapterName = Arc<str>;
/// Name of a service: a group of interchangeable replicas.
pub type ServiceName = Arc<str>;

/// Host of routes that apply to every host without a matching route of its own.
pub const ANY_HOST: &str = "*";

/// How often the requests of a route may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run any number of times.
    Safe,
    /// May run at most once.
    Unsafe,
    /// Answers with a stream of events; runs at most once unless resumable.
    Streaming,
}

/// A service that receives a share of a route's traffic.
#[derive(Debug, Clone, PartialEq)]
pub struct Backend {
    /// The service.
    pub service: ServiceName,
    /// Share of the route's requests, relative to the other backends.
    pub weight: u32,
}

/// Routing rule and limits for the requests of one host and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: Arc<str>,
    /// Host of the requests, or [`ANY_HOST`].
    pub host: Arc<str>,
    /// Prefix of the path, beginning and ending with a slash.
    pub path_prefix: Arc<str>,
    /// How often a request may run.
    pub kind: RouteKind,
    /// Maximum time for a request; `None`: as long as its caller waits.
    pub timeout: Option<Duration>,
    /// Time within which operators want the answer (its first event) to reach callers. Holders of
    /// models are added by it; no request waits or is refused by it.
    pub objective: Duration,
    /// Maximum pause between two events of an answer that is in time.
    pub pause_objective: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the traffic.
    pub backends: Vec<Backend>,
    /// Maximum number of replicas that one request may be sent to.
    pub max_attempts: u32,
    /// True if a broken stream may be continued at another replica.
    pub resumable: bool,
    /// True if its requests need no API key.
    pub public: bool,
}

impl Route {
    /// Returns true if a request of this route may run more than once.
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
    /// Duration of a load from the weight store.
    pub store_load: Duration,
    /// Duration of a load from the replica's disk.
    pub disk_load: Duration,
    /// Duration of a load from the replica's main memory.
    pub memory_load: Duration,
}

impl ModelSpec {
    /// Returns whether the model has an adapter of this name. They are named `a1`, `a2` and so on.
    pub fn has_adapter(&self, name: &str) -> bool {
        let number = name
            .strip_prefix('a')
            .and_then(|number| number.parse::<u32>().ok());
        number
            .is_some_and(|number| (1..=self.adapter_count).contains(&number) && name == format!("a{number}"))
    }
}

/// Models of a model service, and the capacity of its replicas.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Models by name.
    pub models: HashMap<ModelName, ModelSpec>,
    /// Names of the models, in the order of the configuration.
    pub model_order: Vec<ModelName>,
    /// Memory of one replica for weights and adapters, in MB.
    pub weights_mb: f64,
    /// Number of adapters that one replica can hold.
    pub adapter_slots: usize,
    /// Maximum rate of loads started from the weight store, over all replicas.
    pub loads_per_second: f64,
    /// KV cache of one replica, in tokens.
    pub kv_capacity: u64,
}

impl EngineSpec {
    /// Returns a model, if it and its adapter, if one is named, are configured.
    pub fn find_model(&self, model: &str, adapter: Option<&str>) -> Option<&ModelSpec> {
        let spec = self.models.get(model)?;
        adapter
            .is_none_or(|adapter| spec.has_adapter(adapter))
            .then_some(spec)
    }
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

/// Limits on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a header block, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time for a header block to arrive.
    pub header_timeout: Duration,
    /// Maximum idle time of a connection between two requests.
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

/// One complete version of the operators' configuration.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    /// Version; a later configuration has a higher one.
    pub version: u64,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Share of each group of callers; a group without an entry has a share of 1.
    pub group_shares: HashMap<Arc<str>, u32>,
    /// Tenants, identified by API keys; if there are none, anyone may call.
    pub tenants: Tenants,
    /// How far ahead the quota grants a reservation, by the rank of a route.
    pub ahead_limits: AheadLimits,
    services: HashMap<ServiceName, Arc<Service>>,
    /// Routes of each host, the longest prefix first.
    routes_by_host: HashMap<Arc<str>, Vec<Arc<Route>>>,
}

impl Configuration {
    /// Creates a configuration with lookup tables for its services and routes.
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

    /// Returns the route of a request: the one with the longest prefix of `path` among the
    /// routes of the host, or else among the routes of [`ANY_HOST`].
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let of_host = |host: &str| {
            let routes = self.routes_by_host.get(host)?;
            routes.iter().find(|route| path.starts_with(&*route.path_prefix))
        };
        of_host(host).or_else(|| of_host(ANY_HOST))
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Iterates over all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns the longest time after which a route to a service or its callers, if they name no
    /// deadline, end an attempt.
    pub fn longest_attempt(&self, service: &str) -> Duration {
        let ends = self.routes_to(service).map(|route| {
            let limits = caller_patience(route).into_iter().chain(route.timeout);
            limits.fold(DEFAULT_DEADLINE, Duration::min)
        });
        ends.max().unwrap_or(DEFAULT_DEADLINE)
    }

    /// Returns true if no route to the service is more urgent than this rank.
    pub fn is_most_urgent_of(&self, service: &str, rank: u8) -> bool {
        !self.routes_to(service).any(|route| route.priority < rank)
    }

    /// Returns true if a route to the service is less urgent than this rank.
    pub fn has_less_urgent_route(&self, service: &str, rank: u8) -> bool {
        self.routes_to(service).any(|route| route.priority > rank)
    }

    fn routes_to<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Route>> {
        let routes = self.routes_by_host.values().flatten();
        routes.filter(move |route| route.backends.iter().any(|part| &*part.service == service))
    }

    /// Sets the shares of groups of callers.
    pub fn with_group_shares(mut self, group_shares: HashMap<Arc<str>, u32>) -> Self {
        self.group_shares = group_shares;
        self
    }

    /// Sets the tenants, and derives from the routes how far ahead their reservations go.
    pub fn with_tenants(mut self, tenants: Vec<Tenant>) -> Self {
        let routes = self.routes_by_host.values().flatten();
        let keyed = routes.clone().filter(|route| !route.public);
        self.ahead_limits = AheadLimits::new(keyed.map(|route| route.priority));
        let mut priorities: Vec<u8> = routes.map(|route| route.priority).collect();
        priorities.sort_unstable();
        priorities.dedup();
        self.tenants = Tenants::new(tenants, priorities.into_iter());
        self
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes_by_host.values().map(Vec::len).sum()
    }
}
