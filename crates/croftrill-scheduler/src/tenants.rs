//! Tenants: who calls, shown by a key, with which rank and under which quota.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use sha2::{Digest, Sha256};

/// Ranks that replicas tell apart: 0, the most urgent, to 9.
const RANK_COUNT: usize = 10;

/// SHA-256 of a key. Keys are looked up by it and kept in no other form, so that
/// the time of a look-up tells nothing of how much of a key was right.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &[u8]) -> Self {
        KeyDigest(Sha256::digest(key).into())
    }

    /// Its hexadecimal form, as operators write it into their document.
    pub fn to_hex(self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// A digest that was written down, in bytes.
    pub fn from_bytes(digest: [u8; 32]) -> Self {
        KeyDigest(digest)
    }
}

/// Not even the digest is shown: a short key could be found by trying.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens, of the prompt and of the longest answer.
    Tokens {
        /// Tokens that a request counts for if it tells none.
        plain: u64,
    },
}

impl QuotaUnit {
    /// What a request counts for that tells so many tokens, or none.
    pub fn cost(self, told_tokens: Option<u64>) -> u64 {
        match self {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { plain } => told_tokens.unwrap_or(plain),
        }
    }
}

/// What a tenant may ask of all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// What it counts.
    pub unit: QuotaUnit,
    /// Units in a second, for as long as it likes.
    pub rate_per_s: f64,
    /// Units above that, gained back at the same rate.
    pub burst: f64,
}

/// A group of callers with keys of its own.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Its name, unique.
    pub name: Arc<str>,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Its rank, 0 first; without one its requests rank by their routes alone.
    pub priority: Option<u8>,
    /// Its bound; `None`: it has none.
    pub quota: Option<Quota>,
}

/// Place of a tenant in [`Tenants`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TenantKey(u16);

/// The tenants of one configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tenants {
    tenants: Vec<Tenant>,
    by_key: HashMap<KeyDigest, TenantKey>,
    by_name: HashMap<Arc<str>, TenantKey>,
    /// The most urgent rank of a route.
    first_route_rank: u8,
    /// All pairs of a tenant's rank and a route's, the most urgent first.
    ranks: Vec<(u8, u8)>,
}

impl Tenants {
    /// Look-up tables of tenants whose requests go by routes of these ranks. Of
    /// more tenants than a key can name, the last are left out.
    pub fn new(mut tenants: Vec<Tenant>, route_priorities: impl Iterator<Item = u8>) -> Self {
        tenants.truncate(usize::from(u16::MAX));
        let mut by_key = HashMap::new();
        let mut by_name = HashMap::new();
        for (index, tenant) in tenants.iter().enumerate() {
            let key = TenantKey(index as u16);
            by_name.insert(tenant.name.clone(), key);
            by_key.extend(tenant.keys.iter().map(|digest| (*digest, key)));
        }
        let mut ranks: Vec<(u8, u8)> = Vec::new();
        let mut first_route_rank = u8::MAX;
        for route in route_priorities {
            first_route_rank = first_route_rank.min(route);
            ranks.extend(tenants.iter().map(|tenant| rank_pair(tenant, route)));
        }
        ranks.sort_unstable();
        ranks.dedup();
        Tenants {
            tenants,
            by_key,
            by_name,
            first_route_rank,
            ranks,
        }
    }

    /// True if there are none, so that requests need no key.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = &Tenant> {
        self.tenants.iter()
    }

    /// The tenant whose key it is.
    pub fn holder(&self, key: &[u8]) -> Option<&Tenant> {
        let holder = self.by_key.get(&KeyDigest::of(key))?;
        Some(&self.tenants[usize::from(holder.0)])
    }

    /// The tenant of a name.
    pub fn named(&self, name: &str) -> Option<&Tenant> {
        let key = self.by_name.get(name)?;
        Some(&self.tenants[usize::from(key.0)])
    }

    /// True if no route ranks before one of this rank.
    pub fn is_most_urgent(&self, route: u8) -> bool {
        route <= self.first_route_rank
    }

    /// Rank of a tenant's request on a route of rank `route`, 0 first: the tenant's
    /// goes first, and the route's decides among its own requests. Where the pairs
    /// are more than the ranks, neighbours share one.
    pub fn rank(&self, tenant: &Tenant, route: u8) -> u8 {
        let pair = rank_pair(tenant, route);
        let place = self.ranks.partition_point(|other| *other < pair);
        if self.ranks.len() <= RANK_COUNT {
            return place.min(RANK_COUNT - 1) as u8;
        }
        (place * (RANK_COUNT - 1) / (self.ranks.len() - 1)).min(RANK_COUNT - 1) as u8
    }
}

fn rank_pair(tenant: &Tenant, route: u8) -> (u8, u8) {
    (tenant.priority.unwrap_or(route), route)
}
