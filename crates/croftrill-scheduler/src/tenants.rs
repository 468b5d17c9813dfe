//! Tenants: groups of callers, identified by API keys, with their ranks and quotas.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use sha2::{Digest, Sha256};

/// Number of ranks that replicas distinguish, from 0 (the most urgent) to 9.
const RANK_COUNT: usize = 10;

/// SHA-256 digest of a key. Keys are stored and looked up only by digest, so the time of a lookup
/// reveals nothing about how much of a key was correct.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        KeyDigest(Sha256::digest(key).into())
    }

    /// Returns the digest in hexadecimal, as operators write it in their document.
    pub fn to_hex(self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Creates a digest from its bytes.
    pub fn from_bytes(digest: [u8; 32]) -> Self {
        KeyDigest(digest)
    }
}

/// Hides even the digest: a short key could be found by brute force.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// The unit that a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens of the prompt and of the longest possible answer.
    Tokens {
        /// Tokens counted for a request that declares none.
        default_tokens: u64,
    },
}

impl QuotaUnit {
    /// Returns the cost of a request that declares this number of tokens, if any.
    pub fn cost(self, declared_tokens: Option<u64>) -> u64 {
        match self {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { default_tokens } => declared_tokens.unwrap_or(default_tokens),
        }
    }
}

/// What a tenant may use on all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Unit of the rate and the burst.
    pub unit: QuotaUnit,
    /// Sustained rate, in units per second.
    pub rate_per_s: f64,
    /// Units allowed above the rate, regained at the same rate.
    pub burst: f64,
}

/// A group of callers with its own keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Unique name.
    pub name: Arc<str>,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Rank of the tenant, 0 first. Without one, its requests are ranked only by their routes.
    pub priority: Option<u8>,
    /// Quota, if there is one.
    pub quota: Option<Quota>,
}

/// Index of a tenant in [`Tenants`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TenantIndex(u16);

/// The tenants of one configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tenants {
    tenants: Vec<Tenant>,
    by_key: HashMap<KeyDigest, TenantIndex>,
    by_name: HashMap<Arc<str>, TenantIndex>,
    /// The most urgent rank of any route.
    most_urgent_route_rank: u8,
    /// All pairs of a tenant's rank and a route's rank, the most urgent first.
    ranks: Vec<(u8, u8)>,
}

impl Tenants {
    /// Creates the lookup tables for tenants whose requests use routes of these ranks. Tenants
    /// beyond the number that a key can index are dropped.
    pub fn new(mut tenants: Vec<Tenant>, route_priorities: impl Iterator<Item = u8>) -> Self {
        tenants.truncate(usize::from(u16::MAX));
        let mut by_key = HashMap::new();
        let mut by_name = HashMap::new();
        for (position, tenant) in tenants.iter().enumerate() {
            let index = TenantIndex(position as u16);
            by_name.insert(tenant.name.clone(), index);
            by_key.extend(tenant.keys.iter().map(|digest| (*digest, index)));
        }
        let mut ranks: Vec<(u8, u8)> = Vec::new();
        let mut most_urgent_route_rank = u8::MAX;
        for route in route_priorities {
            most_urgent_route_rank = most_urgent_route_rank.min(route);
            ranks.extend(tenants.iter().map(|tenant| rank_pair(tenant, route)));
        }
        ranks.sort_unstable();
        ranks.dedup();
        Tenants {
            tenants,
            by_key,
            by_name,
            most_urgent_route_rank,
            ranks,
        }
    }

    /// Returns true if there are no tenants; requests need no key then.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Returns all tenants.
    pub fn iter(&self) -> impl Iterator<Item = &Tenant> {
        self.tenants.iter()
    }

    /// Returns the tenant that a key belongs to.
    pub fn find_by_key(&self, key: &[u8]) -> Option<&Tenant> {
        let index = self.by_key.get(&KeyDigest::of(key))?;
        Some(&self.tenants[usize::from(index.0)])
    }

    /// Returns the tenant with this name.
    pub fn find_by_name(&self, name: &str) -> Option<&Tenant> {
        let index = self.by_name.get(name)?;
        Some(&self.tenants[usize::from(index.0)])
    }

    /// Returns true if no route is more urgent than this rank.
    pub fn is_most_urgent(&self, route: u8) -> bool {
        route <= self.most_urgent_route_rank
    }

    /// Returns the rank of a tenant's request on a route of rank `route`, 0 first. The tenant's
    /// rank takes precedence; the route's rank orders the tenant's own requests. If there are
    /// more pairs than ranks, neighbouring pairs share a rank.
    pub fn rank(&self, tenant: &Tenant, route: u8) -> u8 {
        let pair = rank_pair(tenant, route);
        let position = self.ranks.partition_point(|other| *other < pair);
        if self.ranks.len() <= RANK_COUNT {
            return position.min(RANK_COUNT - 1) as u8;
        }
        (position * (RANK_COUNT - 1) / (self.ranks.len() - 1)).min(RANK_COUNT - 1) as u8
    }
}

fn rank_pair(tenant: &Tenant, route: u8) -> (u8, u8) {
    (tenant.priority.unwrap_or(route), route)
}
