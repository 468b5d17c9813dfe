//! Plans kept in memory: bounded in number and in age.

use croftrill_protocol::operator::Plan;
use croftrill_state::PlanId;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// The plans that a node keeps until they are confirmed or expire.
pub(crate) struct PlanStore {
    most: usize,
    lifetime: Duration,
    plans: HashMap<PlanId, Plan>,
    /// Identifiers with the time of their insertion, the oldest first.
    order: VecDeque<(Instant, PlanId)>,
}

impl PlanStore {
    /// An empty store of at most `most` plans.
    pub fn new(most: usize, lifetime: Duration) -> Self {
        Self {
            most: most.max(1),
            lifetime,
            plans: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Keeps a plan; the oldest makes room.
    pub fn insert(&mut self, plan: Plan, now: Instant) {
        self.drop_expired(now);
        if self.plans.contains_key(&plan.id) {
            return;
        }
        while self.order.len() >= self.most {
            self.drop_oldest();
        }
        self.order.push_back((now, plan.id.clone()));
        self.plans.insert(plan.id.clone(), plan);
    }

    /// A plan, unless it expired.
    pub fn get(&mut self, id: &PlanId, now: Instant) -> Option<Plan> {
        self.drop_expired(now);
        self.plans.get(id).cloned()
    }

    fn drop_expired(&mut self, now: Instant) {
        while let Some((inserted, _)) = self.order.front() {
            if now.duration_since(*inserted) < self.lifetime {
                return;
            }
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, id)) = self.order.pop_front() {
            self.plans.remove(&id);
        }
    }
}
