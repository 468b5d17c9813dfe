//! The memory that bodies, answers and streams hold while they are in flight, in one account.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use croftrill_scheduler::memory_account::{HolderId, MemoryAccount, Room};
use prometheus_client::metrics::gauge::Gauge;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::eviction::Eviction;

/// Bytes of a body or an answer that need no room in the account, as each connection's own share covers
/// them.
pub(crate) const FREE_BYTES: u64 = 8 * 1024;
/// Interval at which a holder that waits asks again, as others may have stalled meanwhile.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

/// The account would never have so much room.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("more than the memory for bodies and answers")]
pub(crate) struct TooMuch;

/// The account of a node.
#[derive(Clone)]
pub(crate) struct Memory(Rc<Inner>);

struct Inner {
    account: RefCell<MemoryAccount>,
    evictions: RefCell<HashMap<HolderId, Rc<Eviction>>>,
    /// Notified when memory becomes free.
    freed: Notify,
    clock: Clock,
    in_flight_bytes: Gauge,
}

impl Memory {
    /// Wraps an account. Its size is shown by `in_flight_bytes`.
    pub(crate) fn new(account: MemoryAccount, clock: Clock, in_flight_bytes: Gauge) -> Self {
        Memory(Rc::new(Inner {
            account: RefCell::new(account),
            evictions: RefCell::default(),
            freed: Notify::new(),
            clock,
            in_flight_bytes,
        }))
    }

    /// Returns the maximum that one holder may hold, in bytes.
    pub(crate) fn max_holder_bytes(&self) -> u64 {
        self.0.account.borrow().max_holder_bytes()
    }

    /// Adds a holder, which holds nothing yet. `kind` names it in the log.
    pub(crate) fn hold(&self, kind: &'static str) -> HeldMemory {
        let id = self.0.account.borrow_mut().open(self.0.clock.now());
        let eviction = Rc::new(Eviction::default());
        self.0.evictions.borrow_mut().insert(id, eviction.clone());
        HeldMemory {
            memory: self.clone(),
            id,
            kind,
            eviction,
        }
    }

    fn evict(&self, holders: &[HolderId]) {
        let evictions = self.0.evictions.borrow();
        for eviction in holders.iter().filter_map(|id| evictions.get(id)) {
            eviction.request();
        }
    }

    fn record_held(&self) {
        let held_bytes = self.0.account.borrow().held_bytes();
        self.0.in_flight_bytes.set(held_bytes as i64);
    }
}

/// What one body, answer or stream holds, until it is dropped.
pub(crate) struct HeldMemory {
    memory: Memory,
    id: HolderId,
    kind: &'static str,
    eviction: Rc<Eviction>,
}

impl HeldMemory {
    /// Waits until it may hold so many bytes in all.
    ///
    /// Errors: it never may.
    pub(crate) async fn grow(&self, bytes: u64) -> Result<(), TooMuch> {
        let mut waits = None;
        loop {
            let freed = self.memory.0.freed.notified();
            let now = self.memory.0.clock.now();
            let room = self.memory.0.account.borrow_mut().ask(self.id, bytes, now);
            match room {
                Room::Granted => {
                    self.memory.record_held();
                    return Ok(());
                }
                Room::TooMuch => return Err(TooMuch),
                Room::Wait { giving_way } => {
                    self.memory.evict(&giving_way);
                    waits.get_or_insert_with(|| {
                        tracing::info!(target: "memory", event = "waits for room", kind = self.kind, bytes);
                        WaitGuard::start(self)
                    });
                }
            }
            tokio::select! {
                () = freed => {}
                () = sleep(ASK_INTERVAL) => {}
            }
        }
    }

    /// Gives back what it holds beyond `bytes`.
    pub(crate) fn shrink(&self, bytes: u64) {
        if self.memory.0.account.borrow_mut().shrink(self.id, bytes) > 0 {
            self.record_freed();
        }
    }

    /// Records that bytes passed between it and its caller.
    pub(crate) fn record_moved(&self, bytes: usize) {
        let now = self.memory.0.clock.now();
        let account = &mut self.memory.0.account.borrow_mut();
        account.record_moved(self.id, bytes as u64, now);
    }

    /// Sets whether it waits for its caller, so that it gives way when that does not move.
    pub(crate) fn set_waits_for_caller(&self, waits_for_caller: bool) {
        let now = self.memory.0.clock.now();
        let account = &mut self.memory.0.account.borrow_mut();
        account.set_waits_for_caller(self.id, waits_for_caller, now);
    }

    /// Returns what tells that it has to give way.
    pub(crate) fn eviction(&self) -> &Rc<Eviction> {
        &self.eviction
    }

    fn record_freed(&self) {
        self.memory.record_held();
        self.memory.0.freed.notify_waiters();
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.memory.0.account.borrow_mut().close(self.id);
        self.memory.0.evictions.borrow_mut().remove(&self.id);
        self.record_freed();
    }
}

/// A holder that waits for room, for which its caller is not to blame.
struct WaitGuard<'a>(&'a HeldMemory);

impl<'a> WaitGuard<'a> {
    fn start(held: &'a HeldMemory) -> Self {
        held.set_waits_for_caller(false);
        WaitGuard(held)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.memory.0.account.borrow_mut().stop_waiting(self.0.id);
        self.0.set_waits_for_caller(true);
        // The next one may be first now.
        self.0.memory.0.freed.notify_waiters();
    }
}
