//! What the rest of the node may ask of the membership.

use super::message::Health;
use super::{Member, Membership, MissingHead};
use crate::identifiers::{NodeId, Revision};
use crate::time::Instant;
use std::collections::BTreeMap;

/// One member at the time of the snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// `ip:port` of its probe socket and peer service.
    pub address: String,
    /// What is believed of it.
    pub health: Health,
    /// When a datagram of it last arrived; none since the start or the last
    /// pause of this process.
    pub heard_at: Option<Instant>,
}

/// An immutable snapshot of a [`Membership`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipView {
    /// This node.
    pub local: NodeId,
    /// When the snapshot was taken.
    pub taken_at: Instant,
    /// The other members.
    pub members: BTreeMap<NodeId, MemberView>,
    /// This node's last applied revision.
    pub head: Revision,
    /// Since when a later revision has been known and not been applied.
    pub behind_since: Option<Instant>,
}

impl MembershipView {
    /// Whether a node takes part: it is this node, or not believed dead or
    /// leaving. An unknown node is not.
    pub fn is_alive(&self, node: &NodeId) -> bool {
        if *node == self.local {
            return true;
        }
        let health = self.members.get(node).map(|member| member.health);
        matches!(health, Some(Health::Alive | Health::Suspect))
    }

    /// Whether another node announced that it stops on purpose.
    pub fn is_leaving(&self, node: &NodeId) -> bool {
        let health = self.members.get(node).map(|member| member.health);
        health == Some(Health::Leaving)
    }

    /// Members that are alive, this node included.
    pub fn alive_count(&self) -> usize {
        1 + self.members.keys().filter(|node| self.is_alive(node)).count()
    }

    /// Whether more than half of `nodes` were heard directly within the last
    /// `window_millis`. This node counts as heard.
    pub fn heard_from_majority<'a>(
        &self,
        nodes: impl IntoIterator<Item = &'a NodeId>,
        now: Instant,
        window_millis: u64,
    ) -> bool {
        let mut total = 0;
        let mut heard = 0;
        for node in nodes {
            total += 1;
            if self.heard_within(node, now, window_millis) {
                heard += 1;
            }
        }
        heard * 2 > total
    }

    fn heard_within(&self, node: &NodeId, now: Instant, window_millis: u64) -> bool {
        if *node == self.local {
            return true;
        }
        self.members
            .get(node)
            .and_then(|member| member.heard_at)
            .is_some_and(|at| now.millis_since(at) <= window_millis)
    }
}

impl Membership {
    /// A snapshot for the rest of the node.
    pub fn view(&self, now: Instant) -> MembershipView {
        let members = self
            .members
            .iter()
            .map(|(node, member)| (node.clone(), self.member_view(member)))
            .collect();
        MembershipView {
            local: self.local.node.clone(),
            taken_at: now,
            members,
            head: self.head,
            behind_since: self.missing_head.map(|missing: MissingHead| missing.since),
        }
    }

    fn member_view(&self, member: &Member) -> MemberView {
        MemberView {
            address: member.address.clone(),
            health: member.health,
            heard_at: member.heard_at.filter(|at| *at >= self.listening_since),
        }
    }

    /// What is believed of a member; `None` if it is unknown.
    pub fn health(&self, node: &NodeId) -> Option<Health> {
        if *node == self.local.node {
            return Some(self.local.health);
        }
        self.members.get(node).map(|member| member.health)
    }

    /// This node's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.local.incarnation
    }

    /// Members that are not dead, this node included.
    pub(super) fn live_count(&self) -> usize {
        let live = self
            .members
            .values()
            .filter(|member| member.health != Health::Dead);
        1 + live.count()
    }

    /// Whether a member was heard since the start or the last pause.
    pub(super) fn is_heard(&self, member: &Member) -> bool {
        member.heard_at.is_some_and(|at| at >= self.listening_since)
    }
}
