//! The bounded queue of one engine: what waits, what goes next, what is refused.
//!
//! A more urgent class goes first, but a less urgent one is passed over only so
//! many times in a row. Inside a class the groups share by deficit round robin
//! in units of a [`CostModel`]; inside a group the earliest deadline goes first.
//!
//! Invariants:
//! - every admitted item leaves exactly once: popped, refused, cancelled or taken;
//! - at most `max_running` popped items are unfinished;
//! - an item whose deadline cannot be met by the present estimates is refused
//!   at once, with a time to come back.

mod admission;
mod cost;
mod fair_share;
mod service_time;
mod types;

pub use cost::{CombinedCost, CostModel, CostPerRequest, CostPerToken, CostUnit, UNITS_PER_DECODED_TOKEN};
pub use service_time::ServiceTimeConfig;
pub use types::{QueueConfig, QueueEstimate, QueueItem, WaitingTarget, Wake, Work};

use crate::cluster::Target;
use crate::configuration::PriorityClass;
use crate::identifiers::{AttemptId, GroupId};
use crate::outcome::{Refusal, RefusalCause};
use crate::time::Instant;
use fair_share::{ClassQueue, Place, Waiting};
use service_time::ServiceTimes;
use std::collections::{BTreeMap, BTreeSet};

/// A popped item that has not ended.
#[derive(Clone, Debug)]
struct Running {
    dispatched: Instant,
    /// What its group was charged.
    units: u64,
    /// The part of that for the run itself, without a load.
    run_units: u64,
    class: PriorityClass,
    group: GroupId,
    first_token_seen: bool,
}

/// The queue of one engine.
pub struct ReplicaQueue {
    config: QueueConfig,
    cost: Box<dyn CostModel>,
    weights: BTreeMap<GroupId, u32>,
    classes: BTreeMap<PriorityClass, ClassQueue>,
    /// Dispatches of more urgent classes since the class had its turn.
    passed_over: BTreeMap<PriorityClass, u32>,
    places: BTreeMap<AttemptId, (PriorityClass, GroupId, Place)>,
    running: BTreeMap<AttemptId, Running>,
    service: ServiceTimes,
    next_arrival: u64,
}

impl ReplicaQueue {
    /// An empty queue with the configured cost model.
    pub fn new(config: QueueConfig) -> Self {
        let cost = Box::new(config.cost);
        Self::with_cost_model(config, cost)
    }

    /// An empty queue with another cost model.
    pub fn with_cost_model(config: QueueConfig, cost: Box<dyn CostModel>) -> Self {
        let classes = PriorityClass::ALL.map(|class| (class, ClassQueue::default()));
        Self {
            service: ServiceTimes::new(config.service_time.clone()),
            config,
            cost,
            weights: BTreeMap::new(),
            classes: BTreeMap::from(classes),
            passed_over: BTreeMap::new(),
            places: BTreeMap::new(),
            running: BTreeMap::new(),
            next_arrival: 0,
        }
    }

    /// Sets the groups' share weights; a group that is not named has weight 1.
    pub fn set_share_weights(&mut self, weights: BTreeMap<GroupId, u32>) {
        self.weights = weights;
    }

    /// Sets how many items may run at once.
    pub fn set_max_running(&mut self, max_running: u32) {
        self.config.max_running = max_running;
    }

    /// Whether the attempt waits or runs.
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.running.contains_key(&attempt) || self.places.contains_key(&attempt)
    }

    /// Items that wait.
    pub fn waiting(&self) -> usize {
        self.places.len()
    }

    /// Admits an item, or refuses it at once. In a full queue an item of
    /// another group may have to give way; it is returned with its refusal.
    pub fn push(
        &mut self,
        item: QueueItem,
        wake: impl Fn(&Target) -> Wake,
        now: Instant,
    ) -> Result<Option<(QueueItem, Refusal)>, Refusal> {
        if self.contains(item.attempt) {
            return Err(Refusal::may_have_run(RefusalCause::Invalid, 0));
        }
        let units = self.cost.units(&item.work).max(1);
        if let Some(refusal) = self.cause_to_refuse(&item, units, wake, now) {
            return Err(refusal);
        }
        let mut displaced = None;
        if self.places.len() >= self.config.capacity {
            let refusal = Refusal::not_run(RefusalCause::QueueFull, self.room_in_millis(now));
            let Some(victim) = self.displaced_by(&item) else {
                return Err(refusal);
            };
            self.remove(victim.item.attempt);
            displaced = Some((victim.item, refusal));
        }
        self.insert(item, units, now);
        Ok(displaced)
    }

    fn insert(&mut self, item: QueueItem, units: u64, now: Instant) {
        let place = (item.first_token_deadline, self.next_arrival);
        self.next_arrival += 1;
        let position = (item.priority, item.group.clone(), place);
        self.places.insert(item.attempt, position);
        let class = item.priority;
        let waiting = Waiting {
            item,
            arrival: now,
            units,
            place,
        };
        self.class_mut(class).push(waiting);
    }

    fn remove(&mut self, attempt: AttemptId) -> Option<Waiting> {
        let (class, group, place) = self.places.remove(&attempt)?;
        self.class_mut(class).remove(&group, place)
    }

    /// The next item to dispatch, if one is ready and the engine has room. It
    /// counts as running until `finish`.
    pub fn pop_ready(&mut self, is_loaded: impl Fn(&Target) -> bool, now: Instant) -> Option<QueueItem> {
        if self.running.len() >= self.config.max_running as usize {
            return None;
        }
        let ready = self.ready_targets(is_loaded);
        let class = self.next_class(&ready)?;
        let weights = &self.weights;
        let quantum = self.config.quantum_units.max(1);
        let quantum_of = |group: &GroupId| quantum * u64::from(weight_of(weights, group));
        let waiting = self.classes.get_mut(&class)?.pop(&ready, quantum_of)?;
        self.places.remove(&waiting.item.attempt);
        self.count_turn(class, &ready);
        let run_only = Work {
            load_mib: 0,
            ..waiting.item.work
        };
        let running = Running {
            dispatched: now,
            units: waiting.units,
            run_units: self.cost.units(&run_only).max(1),
            class,
            group: waiting.item.group.clone(),
            first_token_seen: false,
        };
        self.running.insert(waiting.item.attempt, running);
        Some(waiting.item)
    }

    fn ready_targets(&self, is_loaded: impl Fn(&Target) -> bool) -> BTreeSet<Target> {
        let targets: BTreeSet<&Target> = self.classes.values().flat_map(ClassQueue::targets).collect();
        targets
            .into_iter()
            .filter(|target| is_loaded(target))
            .cloned()
            .collect()
    }

    /// The class whose turn it is: one that was passed over too often, else the
    /// most urgent with ready items.
    fn next_class(&self, ready: &BTreeSet<Target>) -> Option<PriorityClass> {
        let has_ready = |class: &PriorityClass| self.class(*class).has_ready(ready);
        let starved = |class: &PriorityClass| {
            let passed = self.passed_over.get(class).copied().unwrap_or(0);
            passed >= self.config.starvation_bound
        };
        let mut classes = PriorityClass::ALL.into_iter().filter(has_ready);
        let starving = classes.clone().find(starved);
        starving.or_else(|| classes.next())
    }

    fn count_turn(&mut self, served: PriorityClass, ready: &BTreeSet<Target>) {
        for class in PriorityClass::ALL {
            if class == served {
                self.passed_over.insert(class, 0);
            } else if class > served && self.class(class).has_ready(ready) {
                *self.passed_over.entry(class).or_default() += 1;
            }
        }
    }

    /// Records the first token of a running item.
    pub fn first_token(&mut self, attempt: AttemptId, now: Instant) {
        if let Some(running) = self.running.get_mut(&attempt) {
            if !running.first_token_seen {
                running.first_token_seen = true;
                let millis = now.millis_since(running.dispatched);
                self.service.observe_first_token(millis, now);
            }
        }
    }

    /// Ends a running item. If it was served, `served` tells what it took: its
    /// group is charged for that instead of for what it asked for, and the
    /// service times are learned from it.
    pub fn finish(&mut self, attempt: AttemptId, served: Option<Work>, now: Instant) {
        let Some(running) = self.running.remove(&attempt) else {
            return;
        };
        if let Some(work) = served {
            let millis = now.millis_since(running.dispatched);
            self.service.observe_run(running.run_units, millis, now);
            let load_units = running.units.saturating_sub(running.run_units);
            let actual = self.cost.units(&work).max(1) + load_units;
            self.class_mut(running.class)
                .correct(&running.group, running.units, actual);
        }
    }

    /// Takes out every item that can no longer be served in time.
    pub fn expire(&mut self, now: Instant, wake: impl Fn(&Target) -> Wake) -> Vec<(QueueItem, Refusal)> {
        let beyond_deadline = self.beyond_deadline(now, wake);
        for (waiting, _) in &beyond_deadline {
            self.remove(waiting.item.attempt);
        }
        beyond_deadline
            .into_iter()
            .map(|(waiting, refusal)| (waiting.item, refusal))
            .collect()
    }

    /// Takes out a waiting item.
    pub fn cancel(&mut self, attempt: AttemptId) -> Option<QueueItem> {
        self.remove(attempt).map(|waiting| waiting.item)
    }

    /// Takes out every waiting item.
    pub fn take_waiting(&mut self) -> Vec<QueueItem> {
        let attempts: Vec<AttemptId> = self.places.keys().copied().collect();
        attempts
            .into_iter()
            .filter_map(|attempt| self.cancel(attempt))
            .collect()
    }

    /// What waits, by target.
    pub fn waiting_targets(&self) -> Vec<WaitingTarget> {
        let mut targets: BTreeMap<&Target, WaitingTarget> = BTreeMap::new();
        for waiting in self.iter() {
            let target = &waiting.item.target;
            match targets.get_mut(target) {
                Some(entry) => entry.add(waiting),
                None => {
                    targets.insert(target, WaitingTarget::of(waiting));
                }
            }
        }
        targets.into_values().collect()
    }

    /// The earliest deadline of a waiting item.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.iter()
            .map(|waiting| waiting.item.first_token_deadline.min(waiting.item.total_deadline))
            .min()
    }

    /// Load of the queue.
    pub fn estimate(&self, now: Instant) -> QueueEstimate {
        QueueEstimate {
            waiting: self.places.len() as u32,
            running: self.running.len() as u32,
            estimated_wait_millis: self.whole_wait_millis(PriorityClass::default(), now),
        }
    }

    fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.classes.values().flat_map(ClassQueue::iter)
    }

    fn class(&self, class: PriorityClass) -> &ClassQueue {
        &self.classes[&class]
    }

    fn class_mut(&mut self, class: PriorityClass) -> &mut ClassQueue {
        self.classes.entry(class).or_default()
    }

    fn weight(&self, group: &GroupId) -> u32 {
        weight_of(&self.weights, group)
    }
}

fn weight_of(weights: &BTreeMap<GroupId, u32>, group: &GroupId) -> u32 {
    weights.get(group).copied().unwrap_or(1).max(1)
}
