//! Slots of one node for requests that wait to retry their quota reservation.

use std::collections::HashMap;
use std::sync::Arc;

/// Maximum number of waiting requests of all tenants. Each holds a connection and a body.
const MAX_WAITING: usize = 512;

/// Wait slots shared among tenants.
///
/// Invariant: at most [`MAX_WAITING`] requests wait, and a tenant has no more slots than were
/// free when its last request got one. So one tenant takes at most half of the slots, `n` tenants
/// leave one in `n + 1` free, and a tenant that comes later still finds one.
#[derive(Debug, Default)]
pub struct WaitSlots {
    by_tenant: HashMap<Arc<str>, usize>,
    waiting: usize,
}

impl WaitSlots {
    /// Takes a slot for a request of a tenant; returns false if there is none for it.
    pub fn enter(&mut self, tenant: &Arc<str>) -> bool {
        let free = MAX_WAITING - self.waiting;
        let own = self.by_tenant.get(tenant).copied().unwrap_or_default();
        if own >= free {
            return false;
        }
        self.by_tenant.insert(tenant.clone(), own + 1);
        self.waiting += 1;
        true
    }

    /// Releases a slot of a tenant.
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

    /// Returns the number of waiting requests.
    pub fn count(&self) -> usize {
        self.waiting
    }
}
