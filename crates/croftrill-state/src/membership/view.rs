//! What the rest of the node may ask of the membership.

use super::message::Health;
use super::{Member, Membership};
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
    /// The highest log head that it announced.
    pub head: Revision,
    /// Whether its last datagram said that its head is as high as that of any
    /// earlier process of its node.
    pub caught_up: bool,
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
        is_majority(nodes, |node| {
            *node == self.local || self.heard_within(node, now, window_millis).is_some()
        })
    }

    /// Whether more than half of `nodes` were heard directly within the last
    /// `window_millis` and had then applied nothing that this node has not. This
    /// node counts as one of them.
    pub fn in_step_with_majority<'a>(
        &self,
        nodes: impl IntoIterator<Item = &'a NodeId>,
        now: Instant,
        window_millis: u64,
    ) -> bool {
        is_majority(nodes, |node| {
            let heard = self.heard_within(node, now, window_millis);
            let in_step = heard.is_some_and(|member| member.caught_up && member.head <= self.head);
            *node == self.local || in_step
        })
    }

    /// Whether at least half of `nodes` are known to have applied `revision`, so
    /// that no majority of them is without one that has.
    pub fn is_known_to_half<'a>(
        &self,
        nodes: impl IntoIterator<Item = &'a NodeId>,
        revision: Revision,
    ) -> bool {
        let (mut total, mut knowing) = (0, 0);
        for node in nodes {
            total += 1;
            let head = match self.members.get(node) {
                _ if *node == self.local => self.head,
                Some(member) => member.head,
                None => Revision(0),
            };
            knowing += usize::from(head >= revision);
        }
        knowing * 2 >= total
    }

    fn heard_within(&self, node: &NodeId, now: Instant, window_millis: u64) -> Option<&MemberView> {
        let member = self.members.get(node)?;
        let heard_at = member.heard_at?;
        (now.millis_since(heard_at) <= window_millis).then_some(member)
    }
}

fn is_majority<'a>(nodes: impl IntoIterator<Item = &'a NodeId>, counts: impl Fn(&NodeId) -> bool) -> bool {
    let (mut total, mut counted) = (0, 0);
    for node in nodes {
        total += 1;
        counted += usize::from(counts(node));
    }
    counted * 2 > total
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
        }
    }

    fn member_view(&self, member: &Member) -> MemberView {
        MemberView {
            address: member.address.clone(),
            health: member.health,
            heard_at: member.heard_at.filter(|at| *at >= self.listening_since),
            head: member.head,
            caught_up: member.caught_up,
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
