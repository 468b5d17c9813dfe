//! Which keys this node knows the history of.
//!
//! A key's history is known if this node held the key itself since the last
//! holder that vouched for it, or since every grant by others is out of its
//! window.

use super::ring::ClaimRing;
use crate::identifiers::{IdempotencyKey, NodeId, Revision};
use crate::time::Instant;
use std::collections::{BTreeSet, VecDeque};

/// Whether the history of a key is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KeyHistory {
    /// Every grant of the key within the window is in this node's records.
    Known,
    /// Another process may have granted the key.
    Unknown {
        /// When it will be known at the latest.
        until: Instant,
    },
}

/// A ring that was replaced.
#[derive(Debug)]
struct PastRing {
    ring: ClaimRing,
    replaced_at: Instant,
    replaced_by: Revision,
    complete_hand_overs: BTreeSet<NodeId>,
}

/// How the ring changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RingChange {
    /// The ring is the same.
    Same,
    /// This ring was replaced by the next one.
    Next(ClaimRing),
    /// It is the first one known, or rings between were missed.
    Restarted,
}

/// The present ring and those that were replaced lately.
#[derive(Debug)]
pub(super) struct RingHistory {
    local: NodeId,
    cold_millis: u64,
    witnessed_first: bool,
    current: ClaimRing,
    past: VecDeque<PastRing>,
    /// Before this time anything may have happened; `None` if nothing did.
    unknown_before: Option<Instant>,
}

impl RingHistory {
    pub(super) fn new(local: NodeId, cold_millis: u64, witnessed_first: bool) -> Self {
        Self {
            local,
            cold_millis,
            witnessed_first,
            current: ClaimRing::default(),
            past: VecDeque::new(),
            unknown_before: None,
        }
    }

    pub(super) fn current(&self) -> &ClaimRing {
        &self.current
    }

    /// Takes the ring of a later state.
    pub(super) fn observe(&mut self, ring: ClaimRing, now: Instant) -> RingChange {
        if ring.version <= self.current.version {
            return RingChange::Same;
        }
        let follows = ring.version == self.current.version + 1;
        let first = self.current.version == 0;
        let next_revision = ring.revision;
        let replaced = std::mem::replace(&mut self.current, ring);
        if first || !follows {
            let brand_new = first && follows && self.witnessed_first;
            self.past.clear();
            self.unknown_before = (!brand_new).then_some(now);
            return RingChange::Restarted;
        }
        self.past.push_back(PastRing {
            ring: replaced.clone(),
            replaced_at: now,
            replaced_by: next_revision,
            complete_hand_overs: BTreeSet::new(),
        });
        RingChange::Next(replaced)
    }

    /// Forgets what no longer matters.
    pub(super) fn prune(&mut self, now: Instant) {
        let cold = self.cold_millis;
        while self
            .past
            .front()
            .is_some_and(|past| now >= past.replaced_at + cold)
        {
            self.past.pop_front();
            self.unknown_before = None;
        }
        if self.unknown_before.is_some_and(|at| now >= at + cold) {
            self.unknown_before = None;
        }
    }

    /// Whether the history of a key that this node holds now is known.
    pub(super) fn key(&self, key: &IdempotencyKey, now: Instant) -> KeyHistory {
        for past in self.past.iter().rev() {
            let Some(holder) = past.ring.holder(key) else {
                continue;
            };
            if *holder == self.local {
                continue;
            }
            if past.complete_hand_overs.contains(holder) {
                return KeyHistory::Known;
            }
            return self.known_from(past.replaced_at, now);
        }
        match self.unknown_before {
            None => KeyHistory::Known,
            Some(at) => self.known_from(at, now),
        }
    }

    fn known_from(&self, changed_at: Instant, now: Instant) -> KeyHistory {
        let until = changed_at + self.cold_millis;
        if now >= until {
            return KeyHistory::Known;
        }
        KeyHistory::Unknown { until }
    }

    /// Whether the history of all keys that this node held under the ring before
    /// the present one was known.
    pub(super) fn knew_all_keys(&self) -> bool {
        let mut next: Option<&ClaimRing> = None;
        for past in self.past.iter().rev() {
            // Its keys came from nodes of a ring further back.
            if past.ring.nodes.is_empty() {
                return false;
            }
            if let Some(next) = next {
                if !self.all_handed_over(past, next) {
                    return false;
                }
                // All that it held came from nodes that vouched for it.
                if !past.ring.nodes.contains(&self.local) {
                    return true;
                }
            }
            next = Some(&past.ring);
        }
        self.unknown_before.is_none()
    }

    /// Whether all nodes that lost keys to this one handed them over.
    fn all_handed_over(&self, past: &PastRing, next: &ClaimRing) -> bool {
        let joined = !past.ring.nodes.contains(&self.local);
        past.ring
            .nodes
            .iter()
            .filter(|node| joined || !next.nodes.contains(*node))
            .all(|node| past.complete_hand_overs.contains(node))
    }

    /// Whether this node learned of the ring that another one hands over by.
    pub(super) fn is_before(&self, revision: Revision) -> bool {
        self.current.revision < revision
    }

    /// Whether a node held keys by a change of rings that this node remembers.
    pub(super) fn remembers(&self, from: &NodeId, from_revision: Revision, to_revision: Revision) -> bool {
        self.past
            .iter()
            .any(|past| past.is_change(from_revision, to_revision) && past.ring.nodes.contains(from))
    }

    /// Notes that a former holder handed over all that it knew.
    pub(super) fn note_complete(&mut self, from: &NodeId, from_revision: Revision, to_revision: Revision) {
        let found = self
            .past
            .iter_mut()
            .find(|past| past.is_change(from_revision, to_revision));
        if let Some(past) = found {
            past.complete_hand_overs.insert(from.clone());
        }
    }
}

impl PastRing {
    fn is_change(&self, from_revision: Revision, to_revision: Revision) -> bool {
        self.ring.revision == from_revision && self.replaced_by == to_revision
    }
}
