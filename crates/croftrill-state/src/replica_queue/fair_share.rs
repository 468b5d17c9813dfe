//! One priority class: deficit round robin over the groups that have work which
//! is ready. A group without ready work lends its share to the others.

use super::QueueItem;
use crate::cluster::Target;
use crate::identifiers::GroupId;
use crate::time::Instant;
use std::collections::{BTreeMap, BTreeSet};

/// Place of an item among those of its group: by deadline, then by arrival.
pub(super) type Place = (Instant, u64);

/// A waiting item.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) item: QueueItem,
    pub(super) arrival: Instant,
    pub(super) units: u64,
    pub(super) place: Place,
}

/// The waiting items of one group in one class.
#[derive(Debug, Default)]
pub(super) struct GroupQueue {
    pub(super) items: BTreeMap<Place, Waiting>,
    pub(super) units_by_target: BTreeMap<Target, u64>,
    deficit: i64,
}

impl GroupQueue {
    fn subtract(&mut self, waiting: &Waiting) {
        let target = &waiting.item.target;
        if let Some(units) = self.units_by_target.get_mut(target) {
            *units -= waiting.units;
            if *units == 0 {
                self.units_by_target.remove(target);
            }
        }
    }
}

/// The waiting items of one class.
#[derive(Debug, Default)]
pub(super) struct ClassQueue {
    pub(super) groups: BTreeMap<GroupId, GroupQueue>,
    /// The groups in the order of their turns.
    ring: Vec<GroupId>,
}

/// The next item of a group that is ready.
struct Candidate {
    group: GroupId,
    place: Place,
    units: i64,
    quantum: i64,
}

impl ClassQueue {
    pub(super) fn push(&mut self, waiting: Waiting) {
        let group = waiting.item.group.clone();
        if !self.groups.contains_key(&group) {
            self.ring.push(group.clone());
        }
        let queue = self.groups.entry(group).or_default();
        let of_target = queue.units_by_target.entry(waiting.item.target.clone());
        *of_target.or_default() += waiting.units;
        queue.items.insert(waiting.place, waiting);
    }

    pub(super) fn remove(&mut self, group: &GroupId, place: Place) -> Option<Waiting> {
        let queue = self.groups.get_mut(group)?;
        let waiting = queue.items.remove(&place)?;
        queue.subtract(&waiting);
        if queue.items.is_empty() {
            self.groups.remove(group);
            self.ring.retain(|other| other != group);
        }
        Some(waiting)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.groups.values().flat_map(|queue| queue.items.values())
    }

    pub(super) fn units(&self) -> u64 {
        let groups = self.groups.values();
        groups.flat_map(|queue| queue.units_by_target.values()).sum()
    }

    /// The targets that items wait for; a target may come several times.
    pub(super) fn targets(&self) -> impl Iterator<Item = &Target> {
        self.groups
            .values()
            .flat_map(|queue| queue.units_by_target.keys())
    }

    pub(super) fn has_ready(&self, ready: &BTreeSet<Target>) -> bool {
        self.targets().any(|target| ready.contains(target))
    }

    /// Takes the next ready item by deficit round robin.
    pub(super) fn pop(
        &mut self,
        ready: &BTreeSet<Target>,
        quantum_of: impl Fn(&GroupId) -> u64,
    ) -> Option<Waiting> {
        let candidates = self.candidates(ready, quantum_of);
        self.grant_rounds(&candidates);
        let next = candidates
            .iter()
            .find(|candidate| self.groups[&candidate.group].deficit >= candidate.units)?;
        let queue = self.groups.get_mut(&next.group)?;
        queue.deficit -= next.units;
        self.remove(&next.group, next.place)
    }

    /// The first ready item of each group, in the order of the ring.
    fn candidates(&self, ready: &BTreeSet<Target>, quantum_of: impl Fn(&GroupId) -> u64) -> Vec<Candidate> {
        self.ring
            .iter()
            .filter_map(|group| {
                let mut items = self.groups[group].items.values();
                let head = items.find(|waiting| ready.contains(&waiting.item.target))?;
                Some(Candidate {
                    group: group.clone(),
                    place: head.place,
                    units: signed(head.units),
                    quantum: signed(quantum_of(group).max(1)),
                })
            })
            .collect()
    }

    /// Adds as many quanta as it takes until one candidate can be served.
    fn grant_rounds(&mut self, candidates: &[Candidate]) {
        let rounds = candidates
            .iter()
            .map(|candidate| {
                let lacking = candidate.units - self.groups[&candidate.group].deficit;
                lacking.max(0).div_euclid(candidate.quantum)
                    + i64::from(lacking.max(0).rem_euclid(candidate.quantum) > 0)
            })
            .min()
            .unwrap_or(0);
        for candidate in candidates {
            if let Some(queue) = self.groups.get_mut(&candidate.group) {
                queue.deficit = queue
                    .deficit
                    .saturating_add(rounds.saturating_mul(candidate.quantum));
            }
        }
    }

    /// Corrects a group's charge when the true cost is known.
    pub(super) fn correct(&mut self, group: &GroupId, charged: u64, actual: u64) {
        if let Some(queue) = self.groups.get_mut(group) {
            let difference = signed(charged) - signed(actual);
            queue.deficit = queue.deficit.saturating_add(difference);
        }
    }
}

fn signed(units: u64) -> i64 {
    i64::try_from(units).unwrap_or(i64::MAX / 4)
}
