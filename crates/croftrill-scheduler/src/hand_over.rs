//! What one orderer leaves to the next, so that orders go on without a pause.
//!
//! Two orderers must not order at the same replica within a gap of each other.
//! A successor that knows nothing waits for the whole gap. An orderer whose term
//! ends in order says at which replicas it ordered lately; its successor then
//! waits at these alone.
//!
//! Safety: a [`Resignation`] is made after the last order of its term, and names
//! the store's revision of the record under which the term could order. A
//! successor believes it only if the record still stands at that revision, that
//! is, if nobody could order since.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::catalog::ServiceName;
use crate::lease::TermStart;
use crate::replica::ReplicaId;
use crate::time::Moment;

/// Time after which an order without an answer has surely arrived or never will.
const UNANSWERED_GRACE: Duration = Duration::from_millis(1000);

/// A replica at which the successor must not order yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hold {
    /// The replica.
    pub replica: ReplicaId,
    /// Time for which no other machine may order there.
    pub remaining: Duration,
}

/// A load from the weight store that counts for the ceiling still.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PastLoad {
    /// The service of the replica that loaded.
    pub service: ServiceName,
    /// How long ago it began.
    pub age: Duration,
}

/// Orders and loads that a successor must know of.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Legacy {
    /// Time for which no other machine may order at any replica: orders of the
    /// same machine's former process may not be known.
    pub everywhere: Duration,
    /// Replicas at which others must not order yet.
    pub holds: Vec<Hold>,
    /// Loads from the weight store that count still.
    pub loads: Vec<PastLoad>,
}

/// What an orderer says at the end of its term.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Resignation {
    /// Fencing token of the term.
    pub fencing_token: u64,
    /// Store revision of the record under which the term could order.
    pub record_revision: u64,
    /// What the successor must know of.
    pub legacy: Legacy,
}

/// A resignation, and when it was heard.
#[derive(Debug, Clone)]
pub struct HeardResignation {
    /// What was said.
    pub resignation: Resignation,
    /// When it arrived, which is not before it was made.
    pub heard_at: Moment,
}

impl HeardResignation {
    /// When each replica may be ordered at by another machine.
    pub fn held_until(&self) -> impl Iterator<Item = (ReplicaId, Moment)> + '_ {
        let holds = self.resignation.legacy.holds.iter();
        holds.map(|hold| (hold.replica.clone(), self.heard_at + hold.remaining))
    }

    /// From when a successor may order at replicas that are not held.
    pub fn free_from(&self) -> Moment {
        self.heard_at + self.resignation.legacy.everywhere
    }

    /// When the last of the predecessors' orders stops counting.
    pub fn settled_from(&self) -> Moment {
        let latest = self.held_until().map(|(_, until)| until).max();
        latest.unwrap_or_default().max(self.free_from())
    }

    /// When the loads that still count began, at the latest.
    pub fn loads_begun(&self) -> impl Iterator<Item = (&ServiceName, Moment)> + '_ {
        let loads = self.resignation.legacy.loads.iter();
        loads.map(|load| (&load.service, self.heard_at - load.age))
    }
}

/// Orders of the last while, this orderer's own and those of its predecessors.
#[derive(Debug)]
pub struct OrderHistory {
    gap: Duration,
    in_flight: BTreeMap<ReplicaId, u32>,
    /// When another machine may order at a replica.
    held_until: BTreeMap<ReplicaId, Moment>,
    /// When this machine may: until then a predecessor's orders count.
    inherited: BTreeMap<ReplicaId, Moment>,
    /// Until then orders of this machine's former process may count that are not known.
    own_unknown_until: Moment,
}

impl OrderHistory {
    /// No orders yet; `gap` must lie between the orders of two machines at one replica.
    pub fn new(gap: Duration) -> Self {
        OrderHistory {
            gap,
            in_flight: BTreeMap::new(),
            held_until: BTreeMap::new(),
            inherited: BTreeMap::new(),
            own_unknown_until: Moment::default(),
        }
    }

    /// This machine goes on where a former process or term of its own ended at
    /// `now` at the latest: its orders count for others, but are not known.
    pub fn continue_own(&mut self, now: Moment) {
        self.own_unknown_until = now + UNANSWERED_GRACE + self.gap;
    }

    /// Time for which no other machine may order at any replica.
    pub fn everywhere(&self, now: Moment) -> Duration {
        self.own_unknown_until.since(now)
    }

    /// A predecessor's orders: until then this machine must not order at a replica.
    pub fn inherit(&mut self, held_until: impl IntoIterator<Item = (ReplicaId, Moment)>) {
        self.inherited.extend(held_until);
    }

    /// True if a predecessor's orders do not forbid an order at `now`.
    pub fn permits(&self, replica: &str, now: Moment) -> bool {
        self.inherited.get(replica).is_none_or(|until| now >= *until)
    }

    /// An order leaves.
    pub fn sent(&mut self, replica: &ReplicaId) {
        *self.in_flight.entry(replica.clone()).or_default() += 1;
    }

    /// An order came to its end. `is_answered`: the replica answered it, so it
    /// is not under way any more.
    pub fn ended(&mut self, replica: &ReplicaId, is_answered: bool, now: Moment) {
        if let Some(count) = self.in_flight.get_mut(replica) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(replica);
            }
        }
        let arrived_by = if is_answered { now } else { now + UNANSWERED_GRACE };
        self.hold(replica.clone(), arrived_by + self.gap);
    }

    /// Replicas at which others must not order yet, if the last order left before `now`.
    pub fn holds(&self, now: Moment) -> Vec<Hold> {
        let mut until = self.held_until.clone();
        let in_flight = self.in_flight.keys();
        let unanswered = in_flight.map(|replica| (replica, now + UNANSWERED_GRACE + self.gap));
        let inherited = self.inherited.iter().map(|(replica, until)| (replica, *until));
        for (replica, moment) in unanswered.chain(inherited) {
            let held = until.entry(replica.clone()).or_insert(moment);
            *held = (*held).max(moment);
        }
        until
            .into_iter()
            .filter(|(_, until)| *until > now)
            .map(|(replica, until)| Hold {
                replica,
                remaining: until.since(now),
            })
            .collect()
    }

    fn hold(&mut self, replica: ReplicaId, until: Moment) {
        let held = self.held_until.entry(replica).or_insert(until);
        *held = (*held).max(until);
    }

    /// Forgets what counts no more.
    pub fn prune(&mut self, now: Moment) {
        self.held_until.retain(|_, until| *until > now);
        self.inherited.retain(|_, until| *until > now);
    }
}

/// The store's record of the machine that last could order, as a candidate sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LastRecord {
    /// True if it names the candidate's own machine.
    pub is_own: bool,
    /// True if only that machine's orders count.
    pub is_settled: bool,
    /// The store's revision of it.
    pub revision: u64,
}

/// How a term begins for a candidate that takes the key on the condition that
/// the record stands as it read it. `is_proven`: false if the record may be of before
/// the store came back from an older copy; then later ones are lost, and so may be the
/// key of a machine that still holds its lease by its own clock.
pub fn start_of_term(
    last: Option<LastRecord>,
    is_proven: bool,
    heard: Option<&HeardResignation>,
    now: Moment,
) -> TermStart {
    if !is_proven {
        return TermStart::AfterRestore;
    }
    let Some(last) = last else {
        // Whoever orders is recorded before: nobody ever did.
        return TermStart::HandedOver {
            free_from: now,
            settled_from: now,
        };
    };
    if last.is_own && last.is_settled {
        return TermStart::Continues;
    }
    match heard.filter(|heard| heard.resignation.record_revision == last.revision) {
        Some(heard) => TermStart::HandedOver {
            free_from: heard.free_from(),
            settled_from: heard.settled_from(),
        },
        None => TermStart::AfterUnknown,
    }
}
