//! Ranks the suspects of each replica's end.

use std::cmp::Ordering;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::suspect_id::{EndedReplica, PartHash, SuspectId};
use super::verdict::MOMENTS_TO_HOLD_PART;
use super::{CrashReport, Suspicion};
use crate::time::Moment;

/// Time within which ends of replicas count as one moment against a part. A part that many requests
/// share runs at all replicas that lose their power together.
pub const SAME_MOMENT: Duration = Duration::from_millis(120);

/// Returns the number of moments that are [`SAME_MOMENT`] apart or more.
pub(super) fn count_moments(moments: impl Iterator<Item = Moment>) -> usize {
    let mut moments: Vec<Moment> = moments.collect();
    moments.sort();
    let mut count = 0;
    let mut last = None;
    for moment in moments {
        if last.is_none_or(|last| moment.since(last) >= SAME_MOMENT) {
            count += 1;
            last = Some(moment);
        }
    }
    count
}

/// Parts that ran at just the same replicas, by these.
pub(super) type Companies = HashMap<Vec<EndedReplica>, Vec<PartHash>>;

/// Returns the parts that have enough ends to be held back, by their ends.
pub(super) fn companies(merged: &CrashReport) -> Companies {
    let mut companies = Companies::new();
    for (id, suspicion) in merged {
        let SuspectId::Part(part) = id else { continue };
        let ends: Vec<EndedReplica> = suspicion.open().collect();
        if ends.len() >= MOMENTS_TO_HOLD_PART {
            companies.entry(ends).or_default().push(*part);
        }
    }
    companies
}

pub(super) fn company_of(
    id: SuspectId,
    ends: &BTreeSet<EndedReplica>,
    companies: &Companies,
) -> Vec<PartHash> {
    let SuspectId::Part(part) = id else {
        return Vec::new();
    };
    let ends: Vec<EndedReplica> = ends.iter().copied().collect();
    let company = companies.get(&ends).into_iter().flatten();
    company.filter(|other| **other != part).copied().collect()
}

/// What ranks the suspects of one replica's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Weight {
    /// Number of ends.
    ends: usize,
    /// Whether this node never saw it answered.
    is_unanswered: bool,
    /// How few requests the suspect concerns: the request itself, or the part's position.
    specificity: u32,
}

impl Weight {
    pub(super) fn of(
        id: SuspectId,
        suspicion: &Suspicion,
        answered_parts: &HashMap<PartHash, Moment>,
    ) -> Self {
        let is_answered = |part: PartHash| answered_parts.contains_key(&part);
        Weight {
            ends: suspicion.open().count(),
            is_unanswered: !matches!(id, SuspectId::Part(part) if is_answered(part)),
            specificity: match id {
                SuspectId::Request(_) => u32::MAX,
                SuspectId::Part(_) => suspicion.position.min(u32::MAX - 1),
            },
        }
    }
}

/// Rank of the suspects that had just started at a replica when it ended.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Rank {
    /// Number of these that are requests.
    pub(super) started: usize,
    /// The highest weight of any suspect.
    pub(super) highest: Option<Weight>,
    /// Number of suspects with that weight.
    suspects_with_highest: usize,
}

impl Rank {
    fn add(&mut self, weight: Weight) {
        match Some(weight).cmp(&self.highest) {
            Ordering::Greater => {
                self.highest = Some(weight);
                self.suspects_with_highest = 1;
            }
            Ordering::Equal => self.suspects_with_highest += 1,
            Ordering::Less => {}
        }
    }

    pub(super) fn is_alone(&self, weight: Weight) -> bool {
        self.highest == Some(weight) && self.suspects_with_highest == 1
    }
}

pub(super) fn rank_by_replica(
    merged: &CrashReport,
    answered_parts: &HashMap<PartHash, Moment>,
) -> HashMap<EndedReplica, Rank> {
    let mut ranks: HashMap<EndedReplica, Rank> = HashMap::new();
    for (id, suspicion) in merged {
        let weight = Weight::of(*id, suspicion, answered_parts);
        for replica in suspicion.open() {
            let rank = ranks.entry(replica).or_default();
            rank.started += usize::from(matches!(id, SuspectId::Request(_)));
            rank.add(weight);
        }
    }
    ranks
}
