//! Chooses what a relay publishes to one follower, and encodes the messages.

use std::rc::Rc;

use bytes::Bytes;
use croftrill_scheduler::interest::{FollowerInterests, FollowerUpdate, Interest};
use croftrill_scheduler::replica::ReplicaId;
use croftrill_scheduler::replica_table::Placement;
use croftrill_scheduler::time::Moment;

use super::{known_placements, view_since, ViewContents};
use crate::load_updates::FollowerLoads;
use crate::node::Node;
use crate::peer::{
    in_chunks, Audience, DirectoryUpdate, FromOrderer, RevisedChange, WireChange, WireFollow, WireModel,
    WirePlacement, WireReload, WireReplica, WireReplicas, WireScope,
};
use crate::ports::{Platform, RecordReader};
use crate::replica_versions;
use crate::wire::WireList;

/// An update for all followers of a relay. It is encoded once for those that know all
/// replicas.
#[derive(Debug, Clone)]
pub enum RelayedUpdate {
    /// A message that is the same for all followers.
    Common(Bytes),
    /// Changes of the store for some followers, and their encoded form.
    Directory(Audience, Rc<DirectoryUpdate>, Bytes),
    /// Software versions of replicas, for followers that exchange configurations.
    Versions(Bytes),
    /// Placements, decoded once for all followers, and their encoded form.
    Placements(Rc<Vec<PublishedPlacement>>, Bytes),
}

/// A placement and its message form.
#[derive(Debug)]
pub struct PublishedPlacement {
    wire: WirePlacement,
    placement: Placement,
}

impl PublishedPlacement {
    pub(super) fn from_wire(wire: &WirePlacement, now: Moment) -> Self {
        PublishedPlacement {
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
    published_up_to: u64,
    /// Whether the follower exchanges configurations over its link, and is told software versions.
    exchanges_configurations: bool,
}

impl Follower {
    /// Creates the state of a follower that connected. In a fleet of up to
    /// `max_replicas_in_full_view` replicas all are published to it; in a larger one it would
    /// never use most of them.
    pub(super) fn new<P: Platform>(node: &Node<P>, follow: &WireFollow) -> Self {
        let count = node.state.borrow().replicas.len();
        let scope = if count <= node.settings.max_replicas_in_full_view {
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
            published_up_to: 0,
            exchanges_configurations: false,
        }
    }

    /// Records whether the follower exchanges configurations over its link.
    pub(super) fn set_exchanging(&mut self, exchanges_configurations: bool) {
        self.exchanges_configurations = exchanges_configurations;
    }

    pub(super) fn scope(&self) -> WireScope {
        self.scope
    }

    /// Returns true once the fleet is too large to publish all replicas to this follower,
    /// which must then reconnect.
    pub(super) fn is_outgrown<P: Platform>(&self, node: &Node<P>) -> bool {
        let count = node.state.borrow().replicas.len();
        self.scope == WireScope::All && count > 2 * node.settings.max_replicas_in_full_view
    }

    /// Returns true if this node has a full view that is no older than the follower's view,
    /// which must not move backwards.
    pub(super) fn can_start<P: Platform>(&self, node: &Node<P>) -> bool {
        let state = node.state.borrow();
        let reached = state.directory.reached();
        reached > 0 && reached >= self.reached && !state.tree.is_partial && state.configuration_item.is_some()
    }

    /// Returns the messages that the follower needs to continue from its own view.
    pub(super) fn initial_messages<P: Platform>(&mut self, node: &Node<P>) -> Vec<Bytes> {
        let needs_replicas = self.scope == WireScope::All && !self.knows_all;
        let after = if needs_replicas { 0 } else { self.reached };
        self.view_since(node, after)
    }

    /// Returns the messages with the changes after a revision, or with the full view, and
    /// with the replicas and their placements.
    pub(super) fn view_since<P: Platform>(&mut self, node: &Node<P>, after: u64) -> Vec<Bytes> {
        self.published_up_to = node.state.borrow().directory.reached();
        let contents = ViewContents {
            replicas: self.scope == WireScope::All,
            configuration: !self.exchanges_configurations,
        };
        if contents.replicas {
            let mut messages: Vec<Bytes> = self.versions_message(node).into_iter().collect();
            messages.extend(view_since(node, after, contents));
            messages.extend(known_placements(node));
            return messages;
        }
        let ids = self.interests.resync(&node.state.borrow().replicas);
        let answers: Vec<Interest> = self.interests.iter().cloned().collect();
        // The view advances the follower's revision without the changes of replicas. The
        // replicas are sent first, as the link may end in between.
        let mut messages = self.replica_messages(node, &ids, &answers, true);
        messages.extend(view_since(node, after, contents));
        messages
    }

    /// Adds interests of the follower and returns the messages with the matching replicas.
    pub(super) fn add_interests<P: Platform>(
        &mut self,
        node: &Node<P>,
        interests: &[WireModel],
    ) -> Vec<Bytes> {
        let interests: Vec<Interest> = interests.iter().map(WireModel::to_interest).collect();
        let mut ids = Vec::new();
        for interest in &interests {
            let state = node.state.borrow();
            ids.extend(self.interests.add_interest(&state.replicas, interest.clone()));
        }
        ids.sort();
        ids.dedup();
        self.replica_messages(node, &ids, &interests, false)
    }

    /// Removes interests that the follower no longer uses, and returns the message with the
    /// replicas that are no longer published to it.
    pub(super) fn remove_interests<P: Platform>(&mut self, node: &Node<P>, interests: &[WireModel]) -> Bytes {
        let interests: Vec<Interest> = interests.iter().map(WireModel::to_interest).collect();
        let removed = self
            .interests
            .remove_interests(&node.state.borrow().replicas, &interests);
        FromOrderer::Forgotten(removed.iter().map(ToString::to_string).collect()).encode()
    }

    /// Returns the messages to the follower about an update.
    pub(super) fn messages_for<P: Platform>(&mut self, node: &Node<P>, update: &RelayedUpdate) -> Vec<Bytes> {
        match update {
            RelayedUpdate::Common(message) => vec![message.clone()],
            RelayedUpdate::Versions(message) if self.exchanges_configurations => vec![message.clone()],
            RelayedUpdate::Versions(_) => Vec::new(),
            RelayedUpdate::Directory(audience, ..) if !audience.includes(self.exchanges_configurations) => {
                Vec::new()
            }
            RelayedUpdate::Directory(_, _, message) | RelayedUpdate::Placements(_, message)
                if self.scope == WireScope::All =>
            {
                vec![message.clone()]
            }
            RelayedUpdate::Directory(_, update, message) => self.directory_messages(node, update, message),
            RelayedUpdate::Placements(placements, _) => self.placement_messages(node, placements),
        }
    }

    /// Returns the message to the follower about replicas' loads, if there is one.
    pub(super) fn load_message(&self, loads: &FollowerLoads) -> Option<Bytes> {
        match self.scope {
            WireScope::All => Some(loads.message().clone()),
            WireScope::ByInterest => loads.filtered_message(|id| self.interests.knows(id)),
        }
    }

    fn directory_messages<P: Platform>(
        &mut self,
        node: &Node<P>,
        update: &DirectoryUpdate,
        message: &Bytes,
    ) -> Vec<Bytes> {
        let mut newly_known: Vec<ReplicaId> = Vec::new();
        let mut changes: Vec<RevisedChange> = Vec::with_capacity(update.changes.len());
        let published_up_to = self.published_up_to;
        let newer = update.changes.iter();
        for revised in newer.filter(|revised| revised.revision > published_up_to) {
            match self.update_for_change(node, &revised.change) {
                FollowerUpdate::None => {}
                FollowerUpdate::Change => changes.push(revised.clone()),
                FollowerUpdate::Full => newly_known.extend(replica_of(node, &revised.change)),
            }
        }
        let mut messages = if changes.len() == update.changes.len() {
            vec![message.clone()]
        } else {
            vec![FromOrderer::Directory(DirectoryUpdate {
                changes: changes.into(),
                ..*update
            })
            .encode()]
        };
        if !newly_known.is_empty() {
            messages.extend(self.replica_messages(node, &newly_known, &[], false));
        }
        messages
    }

    fn update_for_change<P: Platform>(&mut self, node: &Node<P>, change: &WireChange) -> FollowerUpdate {
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

    fn placement_messages<P: Platform>(
        &mut self,
        node: &Node<P>,
        placements: &[PublishedPlacement],
    ) -> Vec<Bytes> {
        let mut changed = Vec::new();
        let mut newly_known = Vec::new();
        let mut with_copies = Vec::new();
        for PublishedPlacement { wire, placement } in placements {
            let update = {
                let state = node.state.borrow();
                self.interests.update_for_placement(&state.replicas, placement)
            };
            match update {
                FollowerUpdate::None => {}
                FollowerUpdate::Change => changed.push(WirePlacement {
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
        if !changed.is_empty() {
            messages.push(FromOrderer::Placements(changed.into()).encode());
        }
        let affected: Vec<Interest> = self.interests.of_models(&with_copies).cloned().collect();
        let reloads = reloads(node, &affected);
        if !newly_known.is_empty() || !reloads.is_empty() {
            if self.exchanges_configurations {
                messages.extend(replica_versions::message_for_replicas(node, &newly_known));
            }
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

    /// Returns the message with the software versions of the replicas that the follower knows, if any
    /// are known and it is told them.
    pub(super) fn versions_message<P: Platform>(&self, node: &Node<P>) -> Option<Bytes> {
        let knows = |id: &str| self.scope == WireScope::All || self.interests.knows(id);
        self.exchanges_configurations
            .then(|| replica_versions::message_for_all(node, knows))
            .flatten()
    }

    /// Returns the messages with these replicas, which answer these interests.
    fn replica_messages<P: Platform>(
        &self,
        node: &Node<P>,
        ids: &[ReplicaId],
        answers: &[Interest],
        replaces: bool,
    ) -> Vec<Bytes> {
        let reached = node.state.borrow().directory.reached();
        let mut chunks = in_chunks(wire_replicas(node, ids), WireReplica::size_bytes, |_, _| true);
        if chunks.is_empty() {
            chunks.push(Vec::new());
        }
        let last = chunks.len() - 1;
        let messages = chunks.into_iter().enumerate().map(|(index, replicas)| {
            let is_last = index == last;
            let chunk = WireReplicas {
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
                    ..chunk
                }
            } else {
                chunk
            })
        });
        let versions = self
            .exchanges_configurations
            .then(|| replica_versions::message_for_replicas(node, ids));
        let versions = versions.flatten();
        versions
            .into_iter()
            .chain(messages.map(|message| message.encode()))
            .collect()
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
