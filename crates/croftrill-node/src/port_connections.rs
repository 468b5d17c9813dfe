//! The open connections of a port, of which one makes room when a further one comes and none is free.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use croftrill_scheduler::connection_slots::{connection_to_close, ConnectionFacts, ConnectionPhase};
use croftrill_scheduler::time::Moment;
use tokio::task::yield_now;

use crate::clock::Clock;
use crate::eviction::Eviction;
use crate::metrics::Metrics;

/// The open connections of one port.
pub(crate) struct PortConnections {
    name: &'static str,
    max: usize,
    open: Rc<RefCell<Vec<Rc<PortConnection>>>>,
    clock: Clock,
}

/// An open connection.
pub(crate) struct PortConnection {
    phase: Cell<ConnectionPhase>,
    since: Cell<Moment>,
    has_served: Cell<bool>,
    eviction: Eviction,
    clock: Clock,
}

/// A place among the open connections, until it is dropped.
pub(crate) struct ConnectionPlace {
    connection: Rc<PortConnection>,
    open: Rc<RefCell<Vec<Rc<PortConnection>>>>,
}

impl PortConnections {
    /// Returns no connections of the port with this name, of which there may be at most `max`.
    pub(crate) fn new(name: &'static str, max: usize, clock: Clock) -> Self {
        PortConnections {
            name,
            max,
            open: Rc::default(),
            clock,
        }
    }

    /// Takes a place for a new connection. If none is free, asks another connection to close, or returns
    /// `None` if all are needed.
    pub(crate) async fn admit(&self, metrics: &Metrics) -> Option<ConnectionPlace> {
        if self.is_full() {
            // Lets the others read what has arrived, which may free a place.
            yield_now().await;
        }
        if self.is_full() {
            if !self.close_one() {
                Metrics::count(&metrics.closed_connections, self.name, "refused");
                tracing::info!(target: "front", event = "refused a connection: none is free", port = self.name, max = self.max);
                return None;
            }
            Metrics::count(&metrics.closed_connections, self.name, "closed");
            // Lets the other connection close first.
            yield_now().await;
        }
        let connection = Rc::new(PortConnection {
            phase: Cell::new(ConnectionPhase::Idle),
            since: Cell::new(self.clock.now()),
            has_served: Cell::new(false),
            eviction: Eviction::default(),
            clock: self.clock.clone(),
        });
        self.open.borrow_mut().push(connection.clone());
        Some(ConnectionPlace {
            connection,
            open: self.open.clone(),
        })
    }

    fn is_full(&self) -> bool {
        self.open.borrow().len() >= self.max
    }

    /// Asks the connection that is needed least to close. Returns whether there is one.
    fn close_one(&self) -> bool {
        let open = self.open.borrow();
        let now = self.clock.now();
        // Those that were asked before may need a moment to close.
        let asked = |connection: &&Rc<PortConnection>| connection.eviction.is_requested();
        let others: Vec<&Rc<PortConnection>> = open.iter().filter(|other| !asked(other)).collect();
        let facts = others.iter().map(|connection| connection.facts());
        let Some(index) = connection_to_close(facts, now) else {
            return false;
        };
        let connection = others[index];
        tracing::info!(target: "front", event = "closed a connection for a new one", port = self.name,
            phase = ?connection.phase.get(), age_ms = now.since(connection.since.get()).as_millis() as u64);
        connection.eviction.request();
        true
    }
}

impl PortConnection {
    fn facts(&self) -> ConnectionFacts {
        ConnectionFacts {
            phase: self.phase.get(),
            since: self.since.get(),
            has_served: self.has_served.get(),
        }
    }

    /// Returns what it does.
    pub(crate) fn phase(&self) -> ConnectionPhase {
        self.phase.get()
    }

    /// Returns since when it does that.
    pub(crate) fn since(&self) -> Moment {
        self.since.get()
    }

    /// Sets what it does from now on.
    pub(crate) fn set_phase(&self, phase: ConnectionPhase) {
        if phase == ConnectionPhase::Idle {
            self.has_served.set(true);
        }
        self.phase.set(phase);
        self.since.set(self.clock.now());
    }

    /// Records that bytes of a request arrived.
    pub(crate) fn record_read(&self) {
        match self.phase.get() {
            ConnectionPhase::Idle => {
                self.phase.set(ConnectionPhase::Head);
                self.since.set(self.clock.now());
            }
            ConnectionPhase::Body => self.since.set(self.clock.now()),
            ConnectionPhase::Head | ConnectionPhase::Running => {}
        }
    }

    /// Records that something arrived on a connection that has no requests, such as a link of another node.
    pub(crate) fn record_heard(&self) {
        self.set_phase(ConnectionPhase::Idle);
    }

    /// Returns what tells that it has to close.
    pub(crate) fn eviction(&self) -> &Eviction {
        &self.eviction
    }
}

impl ConnectionPlace {
    /// Returns the connection.
    pub(crate) fn connection(&self) -> &Rc<PortConnection> {
        &self.connection
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        let mut open = self.open.borrow_mut();
        let index = open.iter().position(|other| Rc::ptr_eq(other, &self.connection));
        if let Some(index) = index {
            open.swap_remove(index);
        }
    }
}
