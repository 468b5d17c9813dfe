//! Who is let in, and whose deadline can no longer be met.

use super::fair_share::{GroupQueue, Waiting};
use super::{QueueItem, ReplicaQueue, Wake};
use crate::cluster::Target;
use crate::configuration::PriorityClass;
use crate::identifiers::GroupId;
use crate::outcome::{Refusal, RefusalCause};
use crate::time::Instant;
use std::collections::BTreeMap;

/// Shortest time to come back that a refusal names, in milliseconds.
const MIN_RETRY_MILLIS: u64 = 50;
/// Time to come back after a deadline passed, in milliseconds.
const EXPIRED_RETRY_MILLIS: u64 = 100;

/// An item as the estimate of its wait sees it.
struct Position<'a> {
    class: PriorityClass,
    group: &'a GroupId,
    target: &'a Target,
    units: u64,
    /// Backlog of its own group and class before it.
    own_before: u64,
}

/// The backlog at one moment: what is ready, by class and group.
pub(super) struct Backlog {
    wakes: BTreeMap<Target, Wake>,
    ready: BTreeMap<PriorityClass, BTreeMap<GroupId, u64>>,
    ready_of_class: BTreeMap<PriorityClass, u64>,
}

impl Backlog {
    fn is_ready(&self, target: &Target) -> bool {
        self.wakes.get(target) == Some(&Wake::Ready)
    }

    fn ready_units(&self, class: PriorityClass, group: &GroupId) -> u64 {
        let groups = self.ready.get(&class);
        groups.and_then(|groups| groups.get(group)).copied().unwrap_or(0)
    }
}

impl ReplicaQueue {
    pub(super) fn backlog(&self, wake: impl Fn(&Target) -> Wake) -> Backlog {
        let mut backlog = Backlog {
            wakes: BTreeMap::new(),
            ready: BTreeMap::new(),
            ready_of_class: BTreeMap::new(),
        };
        for class in PriorityClass::ALL {
            for (group, queue) in &self.class(class).groups {
                for (target, units) in &queue.units_by_target {
                    if !backlog.wakes.contains_key(target) {
                        backlog.wakes.insert(target.clone(), wake(target));
                    }
                    if backlog.is_ready(target) {
                        let groups = backlog.ready.entry(class).or_default();
                        *groups.entry(group.clone()).or_default() += units;
                        *backlog.ready_of_class.entry(class).or_default() += units;
                    }
                }
            }
        }
        backlog
    }

    /// Why a new item cannot be served in time, if it cannot.
    pub(super) fn cause_to_refuse(
        &self,
        item: &QueueItem,
        units: u64,
        wake: impl Fn(&Target) -> Wake,
        now: Instant,
    ) -> Option<Refusal> {
        let first_token = self.service.first_token_millis(now);
        let run = self.service.run_millis(units, now) as u64;
        let backlog = self.backlog(&wake);
        let queue = self.class(item.priority).groups.get(&item.group);
        let position = Position {
            class: item.priority,
            group: &item.group,
            target: &item.target,
            units,
            own_before: queue.map_or(0, |queue| {
                relevant(queue, item.priority, &item.group, &item.target, &backlog)
            }),
        };
        let wait = self.wait_millis(&position, &backlog, now);
        too_late(item, wake(&item.target), wait, first_token, run, now)
    }

    /// Waiting items that can no longer be served in time. Unlike at admission
    /// only the time until dispatch counts, so that an admitted item is not
    /// given up because of a small change of the estimates. The wait of one
    /// item is looked at closely only if the wait behind everything is too long.
    pub(super) fn beyond_deadline(
        &self,
        now: Instant,
        wake: impl Fn(&Target) -> Wake,
    ) -> Vec<(Waiting, Refusal)> {
        let backlog = self.backlog(wake);
        let mut found = Vec::new();
        for class in PriorityClass::ALL {
            let longest_wait = self.whole_wait_millis(class, now);
            for queue in self.class(class).groups.values() {
                found.extend(self.beyond_deadline_of_group(class, queue, &backlog, longest_wait, now));
            }
        }
        found
    }

    fn beyond_deadline_of_group(
        &self,
        class: PriorityClass,
        queue: &GroupQueue,
        backlog: &Backlog,
        longest_wait: u64,
        now: Instant,
    ) -> Vec<(Waiting, Refusal)> {
        let mut found = Vec::new();
        let mut ready_before = 0;
        let mut cold_before: BTreeMap<&Target, u64> = BTreeMap::new();
        for waiting in queue.items.values() {
            let item = &waiting.item;
            let cold = cold_before.get(&item.target).copied().unwrap_or(0);
            let position = Position {
                class,
                group: &item.group,
                target: &item.target,
                units: waiting.units,
                own_before: ready_before + cold,
            };
            let wake = backlog.wakes[&item.target];
            let refusal = too_late(item, wake, longest_wait, 0, 0, now).and_then(|_| {
                let wait = self.wait_millis(&position, backlog, now);
                too_late(item, wake, wait, 0, 0, now)
            });
            if let Some(refusal) = refusal {
                found.push((waiting.clone(), refusal));
            } else if backlog.is_ready(&item.target) {
                ready_before += waiting.units;
            } else {
                *cold_before.entry(&item.target).or_default() += waiting.units;
            }
        }
        found
    }

    /// Estimated time until an item is dispatched. What waits for other models
    /// that are not loaded does not count. By round robin, another group gets
    /// at most its weight's part of the time.
    fn wait_millis(&self, position: &Position<'_>, backlog: &Backlog, now: Instant) -> u64 {
        let own_weight = f64::from(self.weight(position.group));
        let mut ahead = self.more_urgent_units(position.class, backlog) as f64;
        ahead += position.own_before as f64;
        let queue = self.class(position.class);
        for (other, theirs) in queue.groups.iter().filter(|(other, _)| *other != position.group) {
            let turns = (position.own_before + position.units) as f64 / own_weight;
            let turn = turns * f64::from(self.weight(other));
            let waiting = relevant(theirs, position.class, other, position.target, backlog);
            ahead += turn.min(waiting as f64);
        }
        self.drain_millis(ahead, position.units, now)
    }

    fn more_urgent_units(&self, class: PriorityClass, backlog: &Backlog) -> u64 {
        let urgent = backlog.ready_of_class.iter().filter(|(other, _)| **other < class);
        urgent.map(|(_, units)| *units).sum()
    }

    /// Estimated time until so many units and half of the running ones are
    /// done; none if all of them and the next item find room at once.
    fn drain_millis(&self, ahead: f64, units: u64, now: Instant) -> u64 {
        let slots = u64::from(self.config.max_running.max(1));
        let room = slots.saturating_sub(self.running.len() as u64);
        let usual_units = self.mean_waiting_units().unwrap_or(units as f64);
        if room > 0 && ahead <= (room - 1) as f64 * usual_units {
            return 0;
        }
        let running: u64 = self.running.values().map(|running| running.run_units).sum();
        let total = ahead + running as f64 / 2.0;
        (total * self.service.run_millis(1, now) / slots as f64) as u64
    }

    fn mean_waiting_units(&self) -> Option<f64> {
        if self.places.is_empty() {
            return None;
        }
        let units: u64 = PriorityClass::ALL
            .into_iter()
            .map(|class| self.class(class).units())
            .sum();
        Some(units as f64 / self.places.len() as f64)
    }

    /// Estimated wait behind everything in the class and the more urgent ones.
    pub(super) fn whole_wait_millis(&self, class: PriorityClass, now: Instant) -> u64 {
        let urgent = PriorityClass::ALL.into_iter().filter(|other| *other <= class);
        let units: u64 = urgent.map(|class| self.class(class).units()).sum();
        self.drain_millis(units as f64, 1, now)
    }

    /// The item that gives way to a new one in a full queue: the last of the
    /// group that holds the most of the least urgent class, if that class is
    /// less urgent, or that group holds more for its weight than the newcomer's
    /// would.
    pub(super) fn displaced_by(&self, item: &QueueItem) -> Option<Waiting> {
        let class = PriorityClass::ALL
            .into_iter()
            .rev()
            .find(|class| !self.class(*class).groups.is_empty())?;
        let per_weight = |group: &GroupId, items: usize| items as f64 / self.weight(group) as f64;
        let (fullest, queue) =
            self.class(class).groups.iter().max_by(|a, b| {
                per_weight(a.0, a.1.items.len()).total_cmp(&per_weight(b.0, b.1.items.len()))
            })?;
        let own = self.class(class).groups.get(&item.group);
        let own_after = own.map_or(0, |own| own.items.len()) + 1;
        let held = per_weight(fullest, queue.items.len());
        let fairer = item.priority == class && per_weight(&item.group, own_after) < held;
        if item.priority < class || fairer {
            return queue.items.values().next_back().cloned();
        }
        None
    }

    /// When a place in a full queue is expected to be free, in milliseconds.
    pub(super) fn room_in_millis(&self, now: Instant) -> u64 {
        let slots = f64::from(self.config.max_running.max(1));
        let waiting: u64 = PriorityClass::ALL
            .into_iter()
            .map(|class| self.class(class).units())
            .sum();
        // A caller that comes back finds room for sure only when a good part of
        // the queue has drained.
        let drained = waiting as f64 / 4.0;
        let millis = drained * self.service.run_millis(1, now) / slots;
        (millis as u64).max(MIN_RETRY_MILLIS)
    }
}

/// Units of a group that are ready or wait for `target`.
fn relevant(
    queue: &GroupQueue,
    class: PriorityClass,
    group: &GroupId,
    target: &Target,
    backlog: &Backlog,
) -> u64 {
    let ready = backlog.ready_units(class, group);
    if backlog.is_ready(target) {
        return ready;
    }
    ready + queue.units_by_target.get(target).copied().unwrap_or(0)
}

fn too_late(
    item: &QueueItem,
    wake: Wake,
    wait: u64,
    first_token: u64,
    run: u64,
    now: Instant,
) -> Option<Refusal> {
    let due = item.first_token_deadline.min(item.total_deadline);
    if now >= due {
        return Some(Refusal::not_run(
            RefusalCause::DeadlineExpired,
            wait.max(EXPIRED_RETRY_MILLIS),
        ));
    }
    let wake_millis = match wake {
        Wake::Ready => 0,
        Wake::In(millis) => millis,
        Wake::Never { retry_after_millis } => {
            return Some(Refusal::not_run(RefusalCause::NoReplica, retry_after_millis));
        }
    };
    let meets = |start: u64| {
        now + start + first_token <= item.first_token_deadline && now + start + run <= item.total_deadline
    };
    if !meets(wake_millis) && wake_millis > 0 {
        let retry = wake_millis.max(MIN_RETRY_MILLIS);
        return Some(Refusal::not_run(RefusalCause::LoadTooSlow, retry));
    }
    if !meets(wake_millis.max(wait)) {
        let excess = (now + wait + first_token).millis_since(item.first_token_deadline);
        let retry = excess.max(MIN_RETRY_MILLIS);
        return Some(Refusal::not_run(RefusalCause::DeadlineTooShort, retry));
    }
    None
}
