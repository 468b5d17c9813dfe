//! Bounds how many requests one service can hold at a node, so that one that does not answer leaves
//! connections to the others.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use croftrill_scheduler::catalog::ServiceName;

/// The requests of each service that are in flight.
pub(crate) struct ServicePlaces {
    max_of_service: usize,
    taken: Rc<RefCell<HashMap<ServiceName, usize>>>,
}

/// The place of one request among those of its service, until it is dropped.
pub(crate) struct ServicePlace {
    service: ServiceName,
    taken: Rc<RefCell<HashMap<ServiceName, usize>>>,
}

impl ServicePlaces {
    /// Returns places for so many requests of each service.
    pub(crate) fn new(max_of_service: usize) -> Self {
        ServicePlaces {
            max_of_service,
            taken: Rc::default(),
        }
    }

    /// Takes a place for a request, if one is free.
    pub(crate) fn take(&self, service: &ServiceName) -> Option<ServicePlace> {
        let mut taken = self.taken.borrow_mut();
        let count = taken.entry(service.clone()).or_default();
        if *count >= self.max_of_service {
            return None;
        }
        *count += 1;
        drop(taken);
        Some(ServicePlace {
            service: service.clone(),
            taken: self.taken.clone(),
        })
    }
}

impl Drop for ServicePlace {
    fn drop(&mut self) {
        let mut taken = self.taken.borrow_mut();
        let Some(count) = taken.get_mut(&self.service) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            taken.remove(&self.service);
        }
    }
}
