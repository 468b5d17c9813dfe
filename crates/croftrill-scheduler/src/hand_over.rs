//! Hand-over between consecutive orderers, so that orders continue without a pause.
//!
//! Two orderers must not order at the same replica within a minimum gap of each
//! other. A successor without information waits for the full gap. An orderer whose
//! term ends cleanly publishes the replicas that it ordered at recently; its
//! successor then waits only at these.
//!
//! Safety: a [`Resignation`] is made after the last order of its term, and names
//! the store revision of the record under which the term could order. A successor
//! uses it only if the record is still at that revision, that is, if no machine
//! could order since.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::catalog::ServiceName;
use crate::lease::TermStart;
use crate::replica::ReplicaId;
use crate::time::Moment;

/// Time after which an unanswered order has either arrived or never will.
const UNANSWERED_GRACE: Duration = Duration::from_millis(1000);

/// A replica at which the successor may not order yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hold {
    /// The replica.
    pub replica: ReplicaId,
    /// Remaining time during which no other machine may order at the replica.
    pub remaining: Duration,
}

/// A load from the weight store that still counts towards the ceiling.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PastLoad {
    /// The service of the replica that loaded.
    pub service: ServiceName,
    /// Time since it started.
    pub age: Duration,
}

/// The orders and loads that a successor must take into account.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Legacy {
    /// Time during which no other machine may order at any replica, because orders
    /// of an earlier process of the same machine may be unknown.
    pub everywhere: Duration,
    /// Replicas at which other machines may not order yet.
    pub holds: Vec<Hold>,
    /// Loads from the weight store that still count.
    pub loads: Vec<PastLoad>,
}

/// The message that an orderer publishes at the end of its term.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Resignation {
    /// Fencing token of the term.
    pub fencing_token: u64,
    /// Store revision of the record under which the term could order.
    pub record_revision: u64,
    /// The orders and loads that the successor must take into account.
    pub legacy: Legacy,
}

/// A resignation and the time at which it was received.
#[derive(Debug, Clone)]
pub struct HeardResignation {
    /// The resignation.
    pub resignation: Resignation,
    /// When it was received, which is never before it was made.
    pub heard_at: Moment,
}

impl HeardResignation {
    /// Returns the time from which another machine may order at each held replica.
    pub fn held_until(&self) -> impl Iterator<Item = (ReplicaId, Moment)> + '_ {
        let holds = self.resignation.legacy.holds.iter();
        holds.map(|hold| (hold.replica.clone(), self.heard_at + hold.remaining))
    }

    /// Returns the time from which a successor may order at replicas that are not held.
    pub fn free_from(&self) -> Moment {
        self.heard_at + self.resignation.legacy.everywhere
    }

    /// Returns the time at which the last hold of a predecessor's order ends.
    pub fn settled_from(&self) -> Moment {
        let latest = self.held_until().map(|(_, until)| until).max();
        latest.unwrap_or_default().max(self.free_from())
    }

    /// Returns the latest possible start time of each load that still counts.
    pub fn loads_begun(&self) -> impl Iterator<Item = (&ServiceName, Moment)> + '_ {
        let loads = self.resignation.legacy.loads.iter();
        loads.map(|load| (&load.service, self.heard_at - load.age))
    }
}

/// Recent orders of this orderer and its predecessors.
#[derive(Debug)]
pub struct OrderHistory {
    gap: Duration,
    in_flight: BTreeMap<ReplicaId, u32>,
    /// When another machine may order at a replica, by this orderer's own orders.
    held_until: BTreeMap<ReplicaId, Moment>,
    /// When this machine may order at a replica, by its predecessors' orders.
    inherited: BTreeMap<ReplicaId, Moment>,
    /// Until when unknown orders of an earlier process of this machine may count.
    own_unknown_until: Moment,
}

impl OrderHistory {
    /// Creates an empty history. `gap` is the minimum time between the orders of two
    /// machines at one replica.
    pub fn new(gap: Duration) -> Self {
        OrderHistory {
            gap,
            in_flight: BTreeMap::new(),
            held_until: BTreeMap::new(),
            inherited: BTreeMap::new(),
            own_unknown_until: Moment::default(),
        }
    }

    /// Notes that this machine continues an earlier process or term of its own that
    /// ended by `now`. The orders of that term still bind other machines, but are not known.
    pub fn continue_own(&mut self, now: Moment) {
        self.own_unknown_until = now + UNANSWERED_GRACE + self.gap;
    }

    /// Returns the time during which no other machine may order at any replica.
    pub fn everywhere(&self, now: Moment) -> Duration {
        self.own_unknown_until.since(now)
    }

    /// Adds the holds of predecessors' orders: until the given time, this machine may
    /// not order at the replica.
    pub fn inherit(&mut self, held_until: impl IntoIterator<Item = (ReplicaId, Moment)>) {
        self.inherited.extend(held_until);
    }

    /// Returns true if no predecessor's order forbids an order at `now`.
    pub fn permits(&self, replica: &str, now: Moment) -> bool {
        self.inherited.get(replica).is_none_or(|until| now >= *until)
    }

    /// Records that an order is being sent to a replica.
    pub fn sent(&mut self, replica: &ReplicaId) {
        *self.in_flight.entry(replica.clone()).or_default() += 1;
    }

    /// Records that an order has ended. `is_answered` is true if the replica answered
    /// it, so that it cannot arrive later any more.
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

    /// Returns the replicas at which other machines may not order yet, provided that
    /// this orderer sends nothing after `now`.
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

    /// Removes holds that have ended.
    pub fn prune(&mut self, now: Moment) {
        self.held_until.retain(|_, until| *until > now);
        self.inherited.retain(|_, until| *until > now);
    }
}

/// The store's record of the machine that could order last, as read by a candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LastRecord {
    /// True if it names the candidate's own machine.
    pub is_own: bool,
    /// True if no other machine's orders held any replica when it was written.
    pub is_settled: bool,
    /// The store revision at which it was written.
    pub revision: u64,
}

/// Returns how a term starts for a candidate that acquires the key on the condition
/// that the record is unchanged since it was read.
///
/// `is_proven` is false if the record may have been written before the store was
/// restored from an older copy. Later records are then lost, and so may be the key of a
/// machine whose lease is still valid by its own clock.
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
        // A machine is recorded before its first order, so none has ever ordered.
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
