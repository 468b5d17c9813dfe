//! Orders to the engine and their answers.

use super::{EngineActor, Message, Retired};
use croftrill_platform::engine::{EngineClient, EngineError, LoadAdapter, LoadModel, OrderOutcome};
use croftrill_state::engine_memory::{Demand, MemoryAction, OrderAnswer};
use croftrill_state::{FencingToken, Instant, ModelId};
use log::{info, warn};
use std::sync::Arc;

impl EngineActor {
    /// Gives the orders that are due.
    pub(super) fn order(&mut self, now: Instant) {
        let demands = self.demands();
        for action in self.memory.decide(&demands, now) {
            self.carry_out(action, now);
        }
        self.advance_loads(&demands, now);
    }

    pub(super) fn demands(&self) -> Vec<Demand> {
        self.queue
            .waiting_targets()
            .into_iter()
            .map(|waiting| Demand {
                target: waiting.target,
                priority: waiting.priority,
                earliest_deadline: waiting.earliest_deadline,
                latest_deadline: waiting.latest_deadline,
                oldest_arrival: waiting.oldest_arrival,
            })
            .collect()
    }

    fn carry_out(&mut self, action: MemoryAction, now: Instant) {
        match action {
            MemoryAction::Load {
                model,
                accelerators,
                source,
            } => self.begin_load(model, accelerators, source, now),
            MemoryAction::Unload { ref model, reason } => {
                info!(
                    "owner: model unloading model={model} engine={} reason={reason:?}",
                    self.engine.id
                );
                self.shared.metrics.unloaded(reason);
                self.send_order(action);
            }
            other => self.send_order(other),
        }
    }

    /// Gives one order in a task of its own.
    pub(super) fn send_order(&self, action: MemoryAction) {
        let client = self.client.clone();
        let sender = self.sender.clone();
        let limit = self.call_timeout();
        let token = self.token;
        tokio::spawn(async move {
            let answer = tokio::time::timeout(limit, give(&client, token, &action)).await;
            let result = answer.unwrap_or_else(|_| Err(EngineError::Broken("no answer in time".to_string())));
            let _ = sender.send(Message::Ordered { action, result });
        });
    }

    pub(super) fn ordered(&mut self, action: MemoryAction, result: Result<OrderOutcome, EngineError>) {
        let now = self.now();
        if is_fenced(&result) {
            self.retire(Retired::ByEngine);
        }
        let answer = answer_of(&result);
        if answer != OrderAnswer::Done {
            warn!(
                "owner: order failed engine={} order={action:?} answer={result:?}",
                self.engine.id
            );
        }
        match action {
            MemoryAction::Load { model, .. } => self.load_ordered(&model.id, answer, now),
            MemoryAction::Unload { model, .. } => self.memory.unload_answered(&model, answer, now),
            MemoryAction::LoadAdapter { adapter } => {
                self.memory.adapter_load_answered(&adapter, answer, now);
            }
            MemoryAction::UnloadAdapter { adapter, base } => {
                self.memory.adapter_unload_answered(&adapter, &base, answer, now);
            }
        }
        self.link.ask_soon(now);
    }

    fn load_ordered(&mut self, model: &ModelId, answer: OrderAnswer, now: Instant) {
        self.memory.load_answered(model, answer, now);
        if answer == OrderAnswer::NoEffect {
            self.load_ended(model, false, now);
        }
    }
}

async fn give(
    client: &Arc<dyn EngineClient>,
    token: FencingToken,
    action: &MemoryAction,
) -> Result<OrderOutcome, EngineError> {
    match action {
        MemoryAction::Load {
            model, accelerators, ..
        } => {
            let order = LoadModel {
                model: model.id.clone(),
                version: model.version,
                accelerators: accelerators.clone(),
                memory_mib_per_accelerator: model.memory_mib_per_accelerator,
                checkpoint_mib: model.checkpoint_mib,
            };
            client.load_model(token, order).await
        }
        MemoryAction::Unload { model, .. } => client.unload_model(token, model).await,
        MemoryAction::LoadAdapter { adapter } => {
            let order = LoadAdapter {
                adapter: adapter.id.clone(),
                base: adapter.base.clone(),
                version: adapter.version,
                memory_mib_per_accelerator: adapter.memory_mib_per_accelerator,
            };
            client.load_adapter(token, order).await
        }
        MemoryAction::UnloadAdapter { adapter, .. } => client.unload_adapter(token, adapter).await,
    }
}

fn is_fenced(result: &Result<OrderOutcome, EngineError>) -> bool {
    matches!(
        result,
        Ok(OrderOutcome::Fenced { .. }) | Err(EngineError::Fenced { .. })
    )
}

fn answer_of(result: &Result<OrderOutcome, EngineError>) -> OrderAnswer {
    match result {
        Ok(OrderOutcome::Accepted | OrderOutcome::AlreadySo) => OrderAnswer::Done,
        Ok(OrderOutcome::Fenced { .. } | OrderOutcome::Rejected { .. }) => OrderAnswer::NoEffect,
        Err(EngineError::Broken(_)) => OrderAnswer::Lost,
        Err(_) => OrderAnswer::NoEffect,
    }
}
