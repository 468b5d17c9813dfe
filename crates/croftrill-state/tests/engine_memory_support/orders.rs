//! Orders on their way to the engine, with all that can befall them.

use super::*;

impl World {
    pub fn decide(&mut self) {
        let now = self.now;
        self.demands.retain(|demand| demand.latest_deadline > now);
        let actions = self.memory.decide(&self.demands, now);
        for action in actions {
            self.check_decision(&action);
            self.orders.push(Order {
                token: self.token,
                action,
                arrives_before: now,
            });
        }
    }

    pub(super) fn check_decision(&self, action: &MemoryAction) {
        match action {
            MemoryAction::Load {
                model, accelerators, ..
            } => {
                let assigned = &self.log[&model.id];
                assert_eq!(assigned.state, AssignmentState::Active);
                assert_eq!(assigned.model.version, model.version);
                assert_eq!(accelerators.len(), model.accelerators as usize);
                if let Residency::Resident {
                    accelerators: decided,
                } = &assigned.residency
                {
                    assert_eq!(decided, accelerators);
                }
            }
            MemoryAction::Unload { model, reason } => {
                assert!(!self.runs.iter().any(|run| run.target.model == *model));
                if matches!(reason, UnloadReason::Evicted | UnloadReason::Idle) {
                    let assigned = self.log.get(model);
                    assert!(assigned.is_none_or(|a| a.residency == Residency::OnDemand));
                }
            }
            MemoryAction::LoadAdapter { adapter } => {
                assert_eq!(self.log[&adapter.base].state, AssignmentState::Active);
            }
            MemoryAction::UnloadAdapter { adapter, .. } => {
                let used = |run: &Run| run.target.adapter.as_ref() == Some(adapter);
                assert!(!self.runs.iter().any(used));
            }
        }
    }

    pub fn deliver(&mut self, number: usize, delivery: Delivery) {
        if self.orders.is_empty() {
            return;
        }
        let mut order = self.orders.remove(number % self.orders.len());
        let answer = match delivery {
            Delivery::Answered => self.carry_out(&order),
            Delivery::AnswerLost => {
                self.carry_out(&order);
                OrderAnswer::Lost
            }
            Delivery::Undelivered => OrderAnswer::NoEffect,
            Delivery::Delayed => {
                order.arrives_before = self.now + LOST_ORDER_HOLD;
                self.late.push(order.clone());
                OrderAnswer::Lost
            }
        };
        if order.token == self.token {
            self.answer(&order.action, answer);
        }
    }

    pub(super) fn answer(&mut self, action: &MemoryAction, answer: OrderAnswer) {
        let now = self.now;
        match action {
            MemoryAction::Load { model, .. } => self.memory.load_answered(&model.id, answer, now),
            MemoryAction::Unload { model, .. } => self.memory.unload_answered(model, answer, now),
            MemoryAction::LoadAdapter { adapter } => self.memory.adapter_load_answered(adapter, answer, now),
            MemoryAction::UnloadAdapter { adapter, base } => {
                self.memory.adapter_unload_answered(adapter, base, answer, now);
            }
        }
    }

    pub fn arrive_late(&mut self, number: usize) {
        if self.late.is_empty() {
            return;
        }
        let order = self.late.remove(number % self.late.len());
        if self.now < order.arrives_before {
            self.carry_out(&order);
        }
    }

    pub fn give_up(&mut self, number: usize) {
        if self.orders.is_empty() {
            return;
        }
        let at = number % self.orders.len();
        let current = self.orders[at].token == self.token;
        if let (MemoryAction::Load { model, .. }, true) = (self.orders[at].action.clone(), current) {
            self.orders.remove(at);
            self.memory.load_given_up(&model.id);
        }
    }

    /// The engine carries out an order, or breaks the test if it must not.
    pub(super) fn carry_out(&mut self, order: &Order) -> OrderAnswer {
        if order.token < self.token {
            return OrderAnswer::NoEffect;
        }
        match &order.action {
            MemoryAction::Load {
                model, accelerators, ..
            } => {
                let held = TrueModel {
                    version: model.version,
                    loaded: false,
                    accelerators: accelerators.clone(),
                    memory: model.memory_mib_per_accelerator,
                    adapters: BTreeMap::new(),
                };
                let before = self.engine.insert(model.id.clone(), held);
                assert!(before.is_none(), "{} loaded twice", model.id);
            }
            MemoryAction::Unload { model, .. } => {
                let used = |run: &Run| run.target.model == *model;
                assert!(!self.runs.iter().any(used), "{model} unloaded in use");
                self.engine.remove(model);
            }
            MemoryAction::LoadAdapter { adapter } => {
                let Some(base) = self.engine.get_mut(&adapter.base) else {
                    return OrderAnswer::NoEffect;
                };
                let held = TrueAdapter {
                    version: adapter.version,
                    loaded: false,
                    memory: adapter.memory_mib_per_accelerator,
                };
                base.adapters.insert(adapter.id.clone(), held);
            }
            MemoryAction::UnloadAdapter { adapter, base } => {
                let used = |run: &Run| run.target.adapter.as_ref() == Some(adapter);
                assert!(!self.runs.iter().any(used), "{adapter} unloaded in use");
                if let Some(base) = self.engine.get_mut(base) {
                    base.adapters.remove(adapter);
                }
            }
        }
        self.check_engine();
        OrderAnswer::Done
    }
}
