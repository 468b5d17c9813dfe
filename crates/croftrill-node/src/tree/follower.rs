//! Chooses what a relay publishes to one follower, and encodes the messages.

use std::rc::Rc;

use bytes::Bytes;
use croftrill_scheduler::interest::{FollowerInterests, FollowerUpdate, Interest};
use croftrill_scheduler::replica::ReplicaId;
use croftrill_scheduler::replica_table::Placement;
use croftrill_scheduler::time::Moment;

use super::{known_placements, view_since};
use crate::load_updates::FollowerLoads;
use crate::node::Node;
use crate::peer::{
    in_parts, DirectoryNews, FromOrderer, RevisedChange, WireChange, WireFollow, WireModel, WirePlacement,
    WireReload, WireReplica, WireReplicas, WireScope,
};
use crate::ports::{Platform, RecordReader};
use crate::wire::WireList;

/// An update for all followers of a relay. It is encoded once for those that know all
/// replicas.
#[derive(Debug, Clone)]
pub enum FollowerNews {
    /// A message that is the same for all followers.
    Common(Bytes),
    /// Changes of the store, and their encoded form.
    Directory(Rc<DirectoryNews>, Bytes),
    /// Placements, decoded once for all followers, and their encoded form.
    Placements(Rc<Vec<ToldPlacement>>, Bytes),
}

/// A placement and its message form.
#[derive(Debug)]
pub struct ToldPlacement {
    wire: WirePlacement,
    placement: Placement,
}

impl ToldPlacement {
    pub(super) fn read(wire: &WirePlacement, now: Moment) -> Self {
        ToldPlacement {
            wire: wire.clone(),
            placement: wire.to_placement(now),
        }
    }
}

/// A relay's state for one follower.
pub(super) struct Follower {
    scope: WireScope,
    interests: FollowerInterests,
    /// Revision that the follower's view had reached when it connected.
    reached: u64,
    knows_all: bool,
    /// Revision of the view that was last published to the follower on connecting or as a
    /// replay. Queued updates up to this revision are skipped, as that view includes them.
    told_up_to: u64,
}

impl Follower {
    /// Creates the state of a follower that connected. In a fleet of up to
    /// `most_replicas_told` replicas all are published to it; in a larger one it would
    /// never use most of them.
    pub(super) fn new<P: Platform>(node: &Node<P>, follow: &WireFollow) -> Self {
        let count = node.state.borrow().replicas.len();
        let scope = if count <= node.settings.most_replicas_told {
            WireScope::All
        } else {
            WireScope::ByInterest
        };
        let mut interests = FollowerInterests::new(&follow.name, &follow.zone);
        let state = node.state.borrow();
        for interest in &follow.interests {
            interests.add_interest(&state.replicas, interest.to_interest());
        }
        Follower {
            scope,
            interests,
            reached: follow.reached,
            knows_all: follow.knows_all,
            told_up_to: 0,
        }
    }

    pub(super) fn scope(&self) -> WireScope {
        self.scope
    }

    /// Returns true once the fleet is too large to publish all replicas to this follower,
    /// which must then reconnect.
    pub(super) fn is_outgrown<P: Platform>(&self, node: &Node<P>) -> bool {
        let count = node.state.borrow().replicas.len();
        self.scope == WireScope::All && count > 2 * node.settings.most_replicas_told
    }

    /// Returns true if this node has a full view that is no older than the follower's view,
    /// which must not move backwards.
    pub(super) fn can_begin<P: Platform>(&self, node: &Node<P>) -> bool {
        let state = node.state.borrow();
        let reached = state.directory.reached();
        reached > 0 && reached >= self.reached && !state.tree.is_partial && state.configuration_item.is_some()
    }

    /// Returns the messages that the follower needs to continue from its own view.
    pub(super) fn beginning<P: Platform>(&mut self, node: &Node<P>) -> Vec<Bytes> {
        let lacks_replicas = self.scope == WireScope::All && !self.knows_all;
        let after = if lacks_replicas { 0 } else { self.reached };
        self.view_since(node, after)
    }

    /// Returns the messages with the changes after a revision, or with the full view, and
    /// with the replicas and their placements.
    pub(super) fn view_since<P: Platform>(&mut self, node: &Node<P>, after: u64) -> Vec<Bytes> {
        self.told_up_to = node.state.borrow().directory.reached();
        if self.scope == WireScope::All {
            let mut messages = view_since(node, after, true);
            messages.extend(known_placements(node));
            return messages;
        }
        let ids = self.interests.resync(&node.state.borrow().replicas);
        let answers: Vec<Interest> = self.interests.iter().cloned().collect();
        // The view advances the follower's revision without the changes of replicas. The
        // replicas are sent first, as the link may end in between.
        let mut messages = self.replicas_messages(node, &ids, &answers, true);
        messages.extend(view_since(node, after, false));
        messages
    }

    /// Adds interests of the follower and returns the messages with the matching replicas.
    pub(super) fn want<P: Platform>(&mut self, node: &Node<P>, interests: &[WireModel]) -> Vec<Bytes> {
        let interests: Vec<Interest> = interests.iter().map(WireModel::to_interest).collect();
        let mut ids = Vec::new();
        for interest in &interests {
            let state = node.state.borrow();
            ids.extend(self.interests.add_interest(&state.replicas, interest.clone()));
        }
        ids.sort();
        ids.dedup();
        self.replicas_messages(node, &ids, &interests, false)
    }

    /// Removes interests that the follower no longer uses, and returns the message with the
    /// replicas that are no longer published to it.
    pub(super) fn forget<P: Platform>(&mut self, node: &Node<P>, interests: &[WireModel]) -> Bytes {
        let interests: Vec<Interest> = interests.iter().map(WireModel::to_interest).collect();
        let gone = self
            .interests
            .remove_interests(&node.state.borrow().replicas, &interests);
        FromOrderer::Forgotten(gone.iter().map(ToString::to_string).collect()).encode()
    }

    /// Returns the messages to the follower about an update.
    pub(super) fn news<P: Platform>(&mut self, node: &Node<P>, news: &FollowerNews) -> Vec<Bytes> {
        match news {
            FollowerNews::Common(message) => vec![message.clone()],
            FollowerNews::Directory(_, message) | FollowerNews::Placements(_, message)
                if self.scope == WireScope::All =>
            {
                vec![message.clone()]
            }
            FollowerNews::Directory(news, message) => self.directory_news(node, news, message),
            FollowerNews::Placements(placements, _) => self.placement_news(node, placements),
        }
    }

    /// Returns the message to the follower about replicas' loads, if there is one.
    pub(super) fn loads(&self, told: &FollowerLoads) -> Option<Bytes> {
        match self.scope {
            WireScope::All => Some(told.message().clone()),
            WireScope::ByInterest => told.filtered_message(|id| self.interests.knows(id)),
        }
    }

    fn directory_news<P: Platform>(
        &mut self,
        node: &Node<P>,
        news: &DirectoryNews,
        message: &Bytes,
    ) -> Vec<Bytes> {
        let mut newly_known: Vec<ReplicaId> = Vec::new();
        let mut changes: Vec<RevisedChange> = Vec::with_capacity(news.changes.len());
        let told_up_to = self.told_up_to;
        let newer = news.changes.iter();
        for revised in newer.filter(|revised| revised.revision > told_up_to) {
            match self.hears_change(node, &revised.change) {
                FollowerUpdate::None => {}
                FollowerUpdate::Change => changes.push(revised.clone()),
                FollowerUpdate::Full => newly_known.extend(replica_of(node, &revised.change)),
            }
        }
        let mut messages = if changes.len() == news.changes.len() {
            vec![message.clone()]
        } else {
            vec![FromOrderer::Directory(DirectoryNews {
                changes: changes.into(),
                ..*news
            })
            .encode()]
        };
        if !newly_known.is_empty() {
            messages.extend(self.replicas_messages(node, &newly_known, &[], false));
        }
        messages
    }

    fn hears_change<P: Platform>(&mut self, node: &Node<P>, change: &WireChange) -> FollowerUpdate {
        let Some(id) = replica_of(node, change) else {
            return FollowerUpdate::Change;
        };
        match change {
            WireChange::Replica(_) => self
                .interests
                .update_for_listing(&node.state.borrow().replicas, &id),
            _ if self.interests.remove_replica(&id) => FollowerUpdate::Change,
            _ => FollowerUpdate::None,
        }
    }

    fn placement_news<P: Platform>(&mut self, node: &Node<P>, placements: &[ToldPlacement]) -> Vec<Bytes> {
        let mut told = Vec::new();
        let mut newly_known = Vec::new();
        let mut with_copies = Vec::new();
        for ToldPlacement { wire, placement } in placements {
            let hears = {
                let state = node.state.borrow();
                self.interests.update_for_placement(&state.replicas, placement)
            };
            match hears {
                FollowerUpdate::None => {}
                FollowerUpdate::Change => told.push(WirePlacement {
                    copies: None,
                    ..wire.clone()
                }),
                FollowerUpdate::Full => newly_known.push(placement.replica.clone()),
            }
            if placement.includes_copies {
                with_copies.extend(placement.usable.copies.in_memory.iter().cloned());
                with_copies.extend(placement.usable.copies.on_disk.iter().cloned());
            }
        }
        let mut messages = Vec::new();
        if !told.is_empty() {
            messages.push(FromOrderer::Placements(told.into()).encode());
        }
        let wanted: Vec<Interest> = self.interests.of_models(&with_copies).cloned().collect();
        let reloads = reloads(node, &wanted);
        if !newly_known.is_empty() || !reloads.is_empty() {
            let message = WireReplicas {
                reached: node.state.borrow().directory.reached(),
                replicas: wire_replicas(node, &newly_known).into(),
                reloads: reloads.into(),
                ..WireReplicas::default()
            };
            messages.push(FromOrderer::Replicas(message).encode());
        }
        messages
    }

    /// Returns the messages with these replicas, which answer these interests.
    fn replicas_messages<P: Platform>(
        &self,
        node: &Node<P>,
        ids: &[ReplicaId],
        answers: &[Interest],
        replaces: bool,
    ) -> Vec<Bytes> {
        let reached = node.state.borrow().directory.reached();
        let mut parts = in_parts(wire_replicas(node, ids), WireReplica::size_bytes, |_, _| true);
        if parts.is_empty() {
            parts.push(Vec::new());
        }
        let last = parts.len() - 1;
        let messages = parts.into_iter().enumerate().map(|(index, replicas)| {
            let is_last = index == last;
            let told = WireReplicas {
                replaces: replaces && index == 0,
                reached,
                replicas: replicas.into(),
                answers: WireList::default(),
                reloads: WireList::default(),
            };
            FromOrderer::Replicas(if is_last {
                WireReplicas {
                    answers: answers.iter().map(WireModel::from_interest).collect(),
                    reloads: reloads(node, answers).into(),
                    ..told
                }
            } else {
                told
            })
        });
        messages.map(|message| message.encode()).collect()
    }
}

/// Returns the replica that a change is about, if any.
fn replica_of<P: Platform>(node: &Node<P>, change: &WireChange) -> Option<ReplicaId> {
    match change {
        WireChange::Replica(listing) => Some(listing.id.as_str().into()),
        WireChange::Removed { key } | WireChange::Written { key, .. } => {
            node.platform.records().replica_of(key)
        }
    }
}

fn wire_replicas<P: Platform>(node: &Node<P>, ids: &[ReplicaId]) -> Vec<WireReplica> {
    let now = node.clock.now();
    let state = node.state.borrow();
    let entries = ids.iter().filter_map(|id| state.replicas.get(id));
    let replicas = entries.map(|entry| WireReplica {
        listing: crate::peer::WireListing::from_listing(&entry.listing),
        placement: Some(WirePlacement::from_placement(&entry.placement(), now)),
    });
    replicas.collect()
}

/// Returns the minimum load times over all replicas of the models of these interests.
fn reloads<P: Platform>(node: &Node<P>, interests: &[Interest]) -> Vec<WireReload> {
    let now = node.clock.now();
    let state = node.state.borrow();
    let reload = |interest: &Interest| {
        let model = interest.model.as_ref().filter(|_| interest.adapter.is_none())?;
        let service = state.configuration.as_ref()?.service(&interest.service)?;
        let spec = service.engine.as_ref()?.models.get(model)?;
        let reload = state.replicas.reload_time(&interest.service, spec, now);
        Some(WireReload {
            model: WireModel::from_interest(interest),
            reload_ms: reload.as_millis() as u32,
        })
    };
    interests.iter().filter_map(reload).collect()
}
