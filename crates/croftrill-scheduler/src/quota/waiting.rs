//! Places at one node for requests that wait to ask for their turn again.

use std::collections::HashMap;
use std::sync::Arc;

/// Requests of all tenants that wait at a node: each holds its connection and its body.
const MOST_WAITING: usize = 512;

/// Places for requests that wait, shared among tenants.
///
/// Invariant: at most [`MOST_WAITING`] wait, and a tenant has no more than were
/// free when its last one came. So one tenant takes half, `n` of them leave one part of
/// `n + 1` free, and one that comes later finds a place.
#[derive(Debug, Default)]
pub struct WaitPlaces {
    by_tenant: HashMap<Arc<str>, usize>,
    waiting: usize,
}

impl WaitPlaces {
    /// A request of a tenant begins to wait; false if it may not.
    pub fn enter(&mut self, tenant: &Arc<str>) -> bool {
        let free = MOST_WAITING - self.waiting;
        let own = self.by_tenant.get(tenant).copied().unwrap_or_default();
        if own >= free {
            return false;
        }
        self.by_tenant.insert(tenant.clone(), own + 1);
        self.waiting += 1;
        true
    }

    /// A request of the tenant does not wait any more.
    pub fn leave(&mut self, tenant: &Arc<str>) {
        let Some(own) = self.by_tenant.get_mut(tenant) else {
            return;
        };
        *own -= 1;
        self.waiting -= 1;
        if *own == 0 {
            self.by_tenant.remove(tenant);
        }
    }

    /// Requests that wait.
    pub fn count(&self) -> usize {
        self.waiting
    }
}
