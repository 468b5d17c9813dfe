//! Requests that wait for the engine and that run on it.

use super::*;

impl World {
    pub fn demand(&mut self, target: Target, slack: u64) {
        self.withdraw(&target);
        self.memory.requested(&target, slack, self.now);
        self.demands.push(Demand {
            target,
            priority: PriorityClass::ALL[(slack % 4) as usize],
            earliest_deadline: self.now + slack,
            latest_deadline: self.now + slack,
            oldest_arrival: self.now,
        });
    }

    pub fn demands(&self) -> Vec<Demand> {
        self.demands.clone()
    }

    pub fn withdraw(&mut self, target: &Target) {
        self.demands.retain(|demand| demand.target != *target);
    }

    pub fn come_back(&mut self, target: &Target) {
        self.memory.told_to_come_back(target, 1_000, self.now);
    }

    pub fn start_use(&mut self, target: &Target) {
        if !self.memory.is_usable(target) {
            return;
        }
        let truth = self.engine.get(&target.model);
        if !self.restart_unseen {
            let truth = truth.expect("usable, but the engine does not hold it");
            assert!(truth.loaded);
            assert_eq!(truth.version, self.log[&target.model].model.version);
            let adapter_loaded = |id| truth.adapters.get(id).is_some_and(|held| held.loaded);
            assert!(target.adapter.as_ref().is_none_or(adapter_loaded));
            self.memory.use_started(target, PriorityClass::Standard, self.now);
            self.runs.push(Run {
                token: self.token,
                target: target.clone(),
            });
        }
    }

    pub fn end_use(&mut self, number: usize) {
        let own: Vec<usize> = (0..self.runs.len())
            .filter(|at| self.runs[*at].token == self.token)
            .collect();
        if own.is_empty() {
            return;
        }
        let run = self.runs.remove(own[number % own.len()]);
        self.memory
            .use_ended(&run.target, PriorityClass::Standard, self.now);
    }

    pub fn former_owners_requests_end(&mut self) {
        self.runs.retain(|run| run.token == self.token);
    }

    /// Everything that waking a target takes, without failures.
    pub fn wake(&mut self, target: &Target) {
        self.demand(target.clone(), 20_000);
        for _ in 0..3 {
            self.decide();
            while !self.orders.is_empty() {
                self.deliver(0, Delivery::Answered);
            }
            self.loads_finish();
            self.look();
        }
        self.withdraw(target);
    }
}
