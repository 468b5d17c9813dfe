//! Claims of idempotency keys: an unrepeatable request runs at most once.
//!
//! Before a gateway dispatches an unrepeatable request, it claims the key with
//! the key's *holder*: the node of the cell's ring that rendezvous hashing
//! picks. Claims live in the holder's memory only.
//!
//! Invariant: of all processes together, no key is granted to two requests
//! within the claim window, unless the first one reported that it did not run.
//! It rests on these rules:
//! - a holder grants only keys whose history it knows: those it held itself, or
//!   that the former holder handed over completely, or whose former holder was
//!   replaced so long ago that its grants are out of their window;
//! - a holder grants only while it has [`Authority`]: it heard lately from a
//!   majority of its ring, none of which was ahead of it in the log. Its
//!   successor lets the time pass only from when half of the former ring is
//!   known to be ahead, so the one stops before the other starts, however the
//!   network is cut and whoever changed the ring;
//! - a gateway drops a grant that took too long to arrive;
//! - a full holder refuses new claims; it does not forget old ones.
//!
//! Limits: the rules see the last four rings before the one that a process
//! started with, and a former ring that is lost as a whole is given up after
//! [`ClaimConfig::unconfirmed_millis`]. Gateways of two cells ask two holders, so
//! a caller's key is unique within its gateway's cell only.

mod authority;
mod config;
mod history;
mod message;
mod outgoing;
mod records;
mod ring;

pub use authority::Authority;
pub use config::ClaimConfig;
pub use message::{
    ClaimHandOver, ClaimOutcome, ClaimRecord, ClaimRequest, ClaimResult, FinishOutcome, HandOverEnd,
    HandOverOutcome,
};
pub use outgoing::HAND_OVER_PART;
pub use ring::{membership_revision, ClaimRing, FormerRing};

use crate::identifiers::{IdempotencyKey, NodeId, RequestId, Revision};
use crate::membership::MembershipView;
use crate::time::Instant;
use history::{KeyHistory, RingChange, RingHistory};
use outgoing::OutgoingHandOver;
use records::{Claim, ClaimRecords};
use std::collections::{BTreeMap, BTreeSet};

/// When a refused claim may be granted, if nothing better is known.
const RETRY_MILLIS: u64 = 1_000;

/// Who holds the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimHolder {
    /// The node.
    pub node: NodeId,
    /// Random, not 0; differs from that of every other process of the node.
    pub instance: u64,
    /// Whether the cell certainly had no ring yet at a moment while this process
    /// ran, so that no other process can have granted anything under an earlier
    /// ring or as an earlier process of this node.
    pub witnessed_no_ring: bool,
}

/// Names a hand-over to this node: who sends it, by which change of the ring.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct IncomingId {
    from: NodeId,
    from_revision: Revision,
    to_revision: Revision,
}

/// The claims that one node holds. See the module documentation.
pub struct ClaimTable {
    config: ClaimConfig,
    holder: ClaimHolder,
    history: RingHistory,
    records: ClaimRecords,
    /// Keys received so far of each hand-over that has not ended.
    incoming: BTreeMap<IncomingId, BTreeSet<IdempotencyKey>>,
    outgoing: Vec<OutgoingHandOver>,
}

impl ClaimTable {
    /// An empty table that knows no ring.
    pub fn new(config: ClaimConfig, holder: ClaimHolder) -> Self {
        let history = RingHistory::new(holder.node.clone(), &config, holder.witnessed_no_ring);
        let records = ClaimRecords::new(config.window_millis);
        Self {
            config,
            holder,
            history,
            records,
            incoming: BTreeMap::new(),
            outgoing: Vec::new(),
        }
    }

    /// The present ring.
    pub fn ring(&self) -> &ClaimRing {
        self.history.current()
    }

    /// Takes the ring of a later state. The first one must be that of a state
    /// caught up with the key-value service's log since this process started.
    /// `view` is the membership before.
    pub fn observe_ring(&mut self, ring: ClaimRing, view: &MembershipView, now: Instant) {
        self.advance(now);
        let authority = self.authority(view, now);
        if let RingChange::Next(replaced) = self.history.observe(ring, now) {
            self.start_hand_overs(&replaced, authority, now);
        }
    }

    /// Learns from the membership who knows of changes of the ring. Call it
    /// every few seconds; the time that keys are refused counts from what it
    /// learns.
    pub fn observe_members(&mut self, view: &MembershipView, now: Instant) {
        self.history.confirm(view, now);
        self.advance(now);
    }

    fn authority(&self, view: &MembershipView, now: Instant) -> Authority {
        Authority::of(view, self.history.current(), &self.config, now)
    }

    /// Answers a claim.
    pub fn claim(&mut self, request: &ClaimRequest, view: &MembershipView, now: Instant) -> ClaimOutcome {
        self.observe_members(view, now);
        let ring = self.history.current();
        let is_holder = ring.holder(&request.key) == Some(&self.holder.node);
        if request.revision != ring.revision || !is_holder {
            return ClaimOutcome::WrongHolder {
                revision: ring.revision,
            };
        }
        if let Some(taken) = self.taken_by_another(request) {
            return taken;
        }
        if self.authority(view, now) == Authority::Lacking {
            return history_unknown(RETRY_MILLIS);
        }
        if let KeyHistory::Unknown { until } = self.history.key(&request.key, now) {
            return history_unknown(until.millis_since(now));
        }
        self.grant(request, now)
    }

    fn taken_by_another(&self, request: &ClaimRequest) -> Option<ClaimOutcome> {
        let claim = self.records.get(&request.key)?;
        let own_and_open = claim.request == request.request && claim.result.is_none();
        let free = claim.request != request.request && !claim.is_taken();
        if own_and_open || free {
            return None;
        }
        Some(ClaimOutcome::Taken {
            by: claim.request,
            finished: claim.result == Some(ClaimResult::Finished),
        })
    }

    fn grant(&mut self, request: &ClaimRequest, now: Instant) -> ClaimOutcome {
        let known = self.records.get(&request.key).is_some();
        if !known && self.records.len() >= self.config.max_records {
            return history_unknown(RETRY_MILLIS);
        }
        let claim = Claim {
            request: request.request,
            result: None,
            changed_at: now,
        };
        self.records.put(request.key.clone(), claim);
        ClaimOutcome::Granted
    }

    /// Takes the report of a request's end. A second report changes nothing,
    /// except that an unknown end may turn out to be finished.
    pub fn finish(
        &mut self,
        key: &IdempotencyKey,
        request: RequestId,
        result: ClaimResult,
        now: Instant,
    ) -> FinishOutcome {
        self.advance(now);
        if self.history.current().holder(key) != Some(&self.holder.node) {
            return FinishOutcome::NotHolder;
        }
        let Some(claim) = self.records.get(key) else {
            return match self.history.key(key, now) {
                KeyHistory::Known => FinishOutcome::Recorded,
                KeyHistory::Unknown { .. } => FinishOutcome::NotHolder,
            };
        };
        let late_finish = claim.result == Some(ClaimResult::Unknown) && result == ClaimResult::Finished;
        let changes = claim.result.is_none() || late_finish;
        if claim.request == request && changes {
            let ended = Claim {
                request,
                result: Some(result),
                changed_at: now,
            };
            self.records.put(key.clone(), ended);
        }
        FinishOutcome::Recorded
    }

    /// Takes a part of what a former holder knew.
    pub fn receive_hand_over(&mut self, part: &ClaimHandOver, now: Instant) -> HandOverOutcome {
        self.advance(now);
        if part.to_instance != self.holder.instance {
            return HandOverOutcome::OtherInstance {
                instance: self.holder.instance,
            };
        }
        if self.history.is_before(part.to_revision) {
            return HandOverOutcome::TryLater;
        }
        let remembered = self
            .history
            .remembers(&part.from, part.from_revision, part.to_revision);
        if !remembered || self.records.len() + part.records.len() > self.config.max_records {
            return HandOverOutcome::Rejected;
        }
        self.record_part(part, now)
    }

    fn record_part(&mut self, part: &ClaimHandOver, now: Instant) -> HandOverOutcome {
        let id = IncomingId {
            from: part.from.clone(),
            from_revision: part.from_revision,
            to_revision: part.to_revision,
        };
        let received = self.incoming.entry(id.clone()).or_default();
        for record in &part.records {
            received.insert(record.key.clone());
            self.records.merge(record, now);
        }
        let Some(end) = &part.end else {
            return HandOverOutcome::Recorded;
        };
        if received.len() as u64 != end.total {
            return HandOverOutcome::Incomplete;
        }
        self.incoming.remove(&id);
        if end.complete {
            self.history
                .note_complete(&part.from, part.from_revision, part.to_revision);
        }
        HandOverOutcome::Recorded
    }

    fn start_hand_overs(&mut self, replaced: &FormerRing, authority: Authority, now: Instant) {
        if !replaced.nodes.contains(&self.holder.node) {
            return;
        }
        let complete = authority == Authority::Held && self.history.knew_all_keys();
        let ring = self.history.current().clone();
        let stays = ring.nodes.contains(&self.holder.node);
        for target in &ring.nodes {
            let gains = !stays || !replaced.nodes.contains(target);
            if !gains || *target == self.holder.node {
                continue;
            }
            let records = self.records.take_moved(|key| ring.holder(key) == Some(target));
            self.outgoing.push(OutgoingHandOver {
                target: target.clone(),
                from_revision: replaced.revision,
                to_revision: ring.revision,
                complete,
                records,
                started_at: now,
                progress: outgoing::Progress::default(),
            });
        }
    }

    /// Nodes that this one still owes records.
    pub fn hand_over_targets(&self) -> BTreeSet<NodeId> {
        self.outgoing
            .iter()
            .map(|outgoing| outgoing.target.clone())
            .collect()
    }

    /// The next part for a node, if it is owed any.
    pub fn next_hand_over(&mut self, target: &NodeId, now: Instant) -> Option<ClaimHandOver> {
        self.advance(now);
        let from = &self.holder.node;
        let outgoing = self.outgoing.iter_mut().find(|owed| owed.target == *target)?;
        Some(outgoing.next_part(from, now))
    }

    /// Takes a node's answer to a part. Parts to one node are sent one by one;
    /// a part whose answer was lost is simply asked for and sent again.
    pub fn take_hand_over_outcome(
        &mut self,
        target: &NodeId,
        part: &ClaimHandOver,
        outcome: HandOverOutcome,
    ) {
        let owed = self
            .outgoing
            .iter_mut()
            .find(|owed| owed.target == *target && owed.to_revision == part.to_revision);
        if let Some(owed) = owed {
            owed.take_outcome(part, outcome);
        }
        self.outgoing.retain(|owed| !owed.progress.over);
    }

    fn advance(&mut self, now: Instant) {
        self.records.expire(now);
        self.history.prune(now);
        let limit = self.config.hand_over_millis();
        self.outgoing
            .retain(|owed| now.millis_since(owed.started_at) < limit);
        let history = &self.history;
        self.incoming
            .retain(|id, _| history.remembers(&id.from, id.from_revision, id.to_revision));
    }
}

fn history_unknown(retry_after_millis: u64) -> ClaimOutcome {
    ClaimOutcome::HistoryUnknown { retry_after_millis }
}
