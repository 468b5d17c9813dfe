//! The link to the engine: fencing, inventories, failures.

use super::{EngineActor, Message, Retired};
use croftrill_platform::engine::{EngineError, HeldModel, Inventory, LoadState};
use croftrill_state::engine_memory::{HeldAdapterReplica, HeldReplica, HeldReport, InventoryTicket, Settled};
use croftrill_state::outcome::RefusalCause;
use croftrill_state::Instant;
use log::{info, warn};

/// Doublings of the pause after failures.
const MAX_DOUBLINGS: u32 = 8;

/// Whether the engine answers, and when to ask it next.
#[derive(Debug)]
pub(super) struct EngineLink {
    /// The engine took our token and told what it holds.
    up: bool,
    /// A request failed on it; nothing is dispatched until it answers.
    suspect: bool,
    failures: u32,
    asking: bool,
    ask_at: Instant,
}

impl EngineLink {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            up: false,
            suspect: false,
            failures: 0,
            asking: false,
            ask_at: now,
        }
    }

    pub(super) fn is_up(&self) -> bool {
        self.up
    }

    /// Whether the last call failed; new work is refused at once then.
    pub(super) fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Whether requests may be handed to the engine.
    pub(super) fn takes_requests(&self) -> bool {
        self.up && !self.suspect
    }

    /// A request failed on the engine.
    pub(super) fn request_failed(&mut self, now: Instant) {
        self.suspect = true;
        self.ask_soon(now);
    }

    pub(super) fn retry_in(&self, now: Instant) -> u64 {
        self.ask_at.millis_since(now)
    }

    pub(super) fn ask_soon(&mut self, now: Instant) {
        if self.failures == 0 {
            self.ask_at = self.ask_at.min(now);
        }
    }
}

impl EngineActor {
    /// Fences the engine, or asks what it holds, when that is due.
    pub(super) fn keep_link(&mut self, now: Instant) {
        if self.link.asking || now < self.link.ask_at {
            return;
        }
        self.link.asking = true;
        let ticket = self.memory.inventory_asked(now);
        let client = self.client.clone();
        let sender = self.sender.clone();
        let limit = self.call_timeout();
        let token = self.token;
        let fenced_before = self.link.up;
        tokio::spawn(async move {
            let call = async {
                if fenced_before {
                    client.inventory().await
                } else {
                    client.fence(token).await
                }
            };
            let result = tokio::time::timeout(limit, call).await;
            let result = result.unwrap_or_else(|_| Err(EngineError::Broken("no answer in time".to_string())));
            let _ = sender.send(Message::Inventory { ticket, result });
        });
    }

    pub(super) fn next_link_time(&self) -> Instant {
        if self.link.asking {
            Instant(u64::MAX)
        } else {
            self.link.ask_at
        }
    }

    pub(super) fn inventory_answered(
        &mut self,
        ticket: InventoryTicket,
        result: Result<Inventory, EngineError>,
    ) {
        self.link.asking = false;
        if self.retired.is_some() {
            return;
        }
        match result {
            Ok(inventory) if inventory.fencing_token > self.token => self.retire(Retired::ByEngine),
            Ok(inventory) if inventory.fencing_token < self.token => self.engine_forgot(),
            Ok(inventory) => self.reconcile(ticket, inventory),
            Err(EngineError::Fenced { .. }) => self.retire(Retired::ByEngine),
            Err(error) => self.engine_failed(&error),
        }
    }

    /// The engine restarted and knows no token: it must be fenced again.
    fn engine_forgot(&mut self) {
        info!("owner: engine restarted engine={}", self.engine.id);
        self.link.up = false;
        self.link.ask_at = self.now();
    }

    fn reconcile(&mut self, ticket: InventoryTicket, inventory: Inventory) {
        let now = self.now();
        if !self.link.up {
            info!(
                "owner: engine fenced engine={} token={} models={}",
                self.engine.id,
                self.token,
                inventory.models.len()
            );
        }
        self.link.up = true;
        self.link.suspect = false;
        self.link.failures = 0;
        let report = self.held_report(inventory);
        for settled in self.memory.reconcile(ticket, report, now) {
            self.settled(settled, now);
        }
        self.link.ask_at = now + self.inventory_pause(now);
    }

    fn inventory_pause(&self, now: Instant) -> u64 {
        let config = &self.shared.config;
        match self.memory.inventory_due_in(now) {
            Some(due) => due.clamp(config.inventory_poll_millis, config.inventory_poll_max_millis),
            None if self.memory.others_running() => config.others_poll_millis,
            None => config.inventory_refresh_millis,
        }
    }

    fn held_report(&self, inventory: Inventory) -> HeldReport {
        let ours = |attempt| self.running.contains_key(attempt) || self.ended_set.contains(attempt);
        HeldReport {
            others_running: !inventory.running.iter().all(ours),
            replicas: inventory.models.into_iter().map(held_replica).collect(),
            cached_in_memory: inventory.cached_in_memory.into_iter().collect(),
            cached_on_disk: inventory.cached_on_disk.into_iter().collect(),
        }
    }

    fn settled(&mut self, settled: Settled, now: Instant) {
        match settled {
            Settled::Loaded(model) => self.load_ended(&model, true, now),
            Settled::LoadFailed(model) => self.load_ended(&model, false, now),
            Settled::Gone(model) => info!("owner: model unloaded model={model} engine={}", self.engine.id),
        }
    }

    fn engine_failed(&mut self, error: &EngineError) {
        let config = &self.shared.config;
        let doublings = self.link.failures.min(MAX_DOUBLINGS);
        let pause = (config.engine_backoff_millis << doublings).min(config.engine_backoff_max_millis);
        self.link.up = false;
        self.link.failures += 1;
        self.link.ask_at = self.now() + pause;
        warn!(
            "owner: engine does not answer engine={} retry_millis={pause} error={error}",
            self.engine.id
        );
        self.refuse_waiting(RefusalCause::EngineFailed);
    }
}

fn held_replica(held: HeldModel) -> HeldReplica {
    let adapters = held.adapters.into_iter().map(|adapter| HeldAdapterReplica {
        adapter: adapter.adapter,
        version: adapter.version,
        loaded: adapter.state == LoadState::Loaded,
        memory_mib_per_accelerator: adapter.memory_mib_per_accelerator,
    });
    HeldReplica {
        model: held.model,
        version: held.version,
        loaded: held.state == LoadState::Loaded,
        accelerators: held.accelerators,
        memory_mib_per_accelerator: held.memory_mib_per_accelerator,
        adapters: adapters.collect(),
    }
}
