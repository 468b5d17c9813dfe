//! The batch: so many requests run at once; the others wait by priority, then
//! by arrival.

use croftrill_state::configuration::PriorityClass;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::oneshot;

pub(super) struct Slots {
    max_running: u32,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    running: u32,
    arrivals: u64,
    waiting: BTreeMap<(PriorityClass, u64), oneshot::Sender<Slot>>,
}

/// The right to run; given on when dropped.
pub(super) struct Slot {
    slots: Option<Arc<Slots>>,
}

impl Slots {
    pub(super) fn new(max_running: u32) -> Arc<Self> {
        Arc::new(Self {
            max_running,
            state: Mutex::default(),
        })
    }

    pub(super) async fn acquire(self: &Arc<Self>, priority: PriorityClass) -> Slot {
        let mut receiver = {
            let mut state = self.lock();
            if state.running < self.max_running {
                state.running += 1;
                return self.slot();
            }
            let (sender, receiver) = oneshot::channel();
            state.arrivals += 1;
            let place = (priority, state.arrivals);
            state.waiting.insert(place, sender);
            receiver
        };
        match (&mut receiver).await {
            Ok(slot) => slot,
            // The sender lives in `waiting` until it is used.
            Err(_) => unreachable!("a waiting place was dropped"),
        }
    }

    /// Requests that run and that wait.
    pub(super) fn counts(&self) -> (u32, u32) {
        let state = self.lock();
        let waiting = state.waiting.values().filter(|sender| !sender.is_closed());
        (state.running, waiting.count() as u32)
    }

    fn slot(self: &Arc<Self>) -> Slot {
        Slot {
            slots: Some(self.clone()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Passes one slot on, skipping places whose request has gone away.
    fn release(self: &Arc<Self>) {
        loop {
            let mut state = self.lock();
            let Some((_, sender)) = state.waiting.pop_first() else {
                state.running -= 1;
                return;
            };
            drop(state);
            match sender.send(self.slot()) {
                Ok(()) => return,
                Err(mut unused) => unused.slots = None,
            }
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(slots) = self.slots.take() {
            slots.release();
        }
    }
}
