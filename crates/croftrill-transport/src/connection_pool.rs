//! One shared connection for each address, made on demand.
//!
//! A connection that broke is dropped at once. One that nobody asked for
//! during the idle limit is dropped too; a clone that is still in use keeps it
//! open until its work is done.

use std::collections::HashMap;
use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// A client and the sign that its connection broke.
#[derive(Clone)]
pub(crate) struct Connection<C> {
    /// Cheap to clone; clones share the connection.
    pub client: C,
    /// Cancelled when the connection is of no use any more.
    pub closed: CancellationToken,
}

struct Slot<C> {
    connection: tokio::sync::Mutex<Option<Connection<C>>>,
    last_used: Mutex<Instant>,
}

/// Connections by address.
pub(crate) struct ConnectionPool<C> {
    idle_limit: Duration,
    slots: Arc<Mutex<HashMap<String, Arc<Slot<C>>>>>,
}

impl<C: Clone + Send + 'static> ConnectionPool<C> {
    pub fn new(idle_limit: Duration) -> Self {
        Self {
            idle_limit,
            slots: Arc::default(),
        }
    }

    /// The open connection to an address, or a new one. Callers that ask at the
    /// same time share one connect.
    pub async fn get<E, F>(&self, address: &str, connect: impl FnOnce() -> F) -> Result<Connection<C>, E>
    where
        F: Future<Output = Result<Connection<C>, E>>,
    {
        let slot = self.slot(address);
        let mut held = slot.connection.lock().await;
        if let Some(connection) = held
            .as_ref()
            .filter(|connection| !connection.closed.is_cancelled())
        {
            return Ok(connection.clone());
        }
        *held = None;
        let connection = connect().await?;
        *held = Some(connection.clone());
        self.watch(address.to_string(), slot.clone(), connection.closed.clone());
        Ok(connection)
    }

    /// Drops the connection to an address, so that the next use makes a new one.
    pub fn discard(&self, address: &str) {
        self.slots.lock().expect("pool lock").remove(address);
    }

    /// Connections and connects under way.
    pub fn len(&self) -> usize {
        self.slots.lock().expect("pool lock").len()
    }

    fn slot(&self, address: &str) -> Arc<Slot<C>> {
        let mut slots = self.slots.lock().expect("pool lock");
        let slot = slots.entry(address.to_string()).or_insert_with(|| {
            Arc::new(Slot {
                connection: tokio::sync::Mutex::new(None),
                last_used: Mutex::new(Instant::now()),
            })
        });
        *slot.last_used.lock().expect("slot lock") = Instant::now();
        slot.clone()
    }

    /// Removes the slot when its connection broke or was idle for too long.
    fn watch(&self, address: String, slot: Arc<Slot<C>>, closed: CancellationToken) {
        let slots = self.slots.clone();
        let idle_limit = self.idle_limit;
        tokio::spawn(async move {
            loop {
                let expires = *slot.last_used.lock().expect("slot lock") + idle_limit;
                tokio::select! {
                    () = closed.cancelled() => break,
                    () = tokio::time::sleep_until(expires) => {}
                }
                let last_used = *slot.last_used.lock().expect("slot lock");
                if last_used + idle_limit <= Instant::now() {
                    break;
                }
            }
            let mut slots = slots.lock().expect("pool lock");
            let present = slots.get(&address);
            if present.is_some_and(|present| Arc::ptr_eq(present, &slot)) {
                slots.remove(&address);
            }
        });
    }
}
