//! Distributes the orderers' updates to the nodes of a large fleet over a tree of relays.
//!
//! [`role`] chooses the relays. A relay is linked to every orderer, as all nodes of a
//! small fleet are ([`crate::peer_link`]), and publishes what it receives to its
//! followers ([`serve`]); a follower has one link, to a relay ([`follow`]). The tree has
//! no third level: a relay serves followers only while it is linked to the orderers
//! itself, so two nodes can never follow each other. If the fleet has many replicas, a
//! follower knows only those that its requests may use ([`own_interests`], [`follower`]).
//!
//! [`role`]: croftrill_scheduler::relay_tree::role

mod follow;
mod follower;
mod full_view;
pub mod own_interests;
mod serve;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::relay_log::{retain_last_writes, LoggedChange, RelayLog};
use croftrill_scheduler::relay_tree::{self, TreeNode, TreeRole};
use croftrill_scheduler::replica_table::Placement;
use croftrill_scheduler::shard::SHARD_COUNT;
use croftrill_scheduler::time::Moment;
use nanoserde::SerBin;

pub use self::follow::follow_relays;
use self::follower::PublishedPlacement;
pub use self::follower::RelayedUpdate;
pub(crate) use self::own_interests::wait_until_known;
use self::own_interests::OwnInterests;
pub(crate) use self::serve::serve_follower;
use crate::directory::relay::WatchedSpan;
use crate::node::Node;
use crate::peer::{
    DirectoryUpdate, FromOrderer, FullViewChunk, RevisedChange, WireChange, WireModel, WirePlacement,
    WireScope, WireVersionWait,
};
use crate::ports::{Platform, RecordReader};
use crate::replica_versions;

/// Memory for changes that followers may request again, in bytes: enough for some
/// configurations and the entries of a few hundred nodes.
const MAX_LOG_BYTES: usize = 512 * 1024;
/// Maximum size of a change that is sent to a listener in full, in bytes. For a larger
/// change the listener only learns that it exists. The value is below the limit of a
/// frame, `MAX_MESSAGE_BYTES`.
pub(crate) const MAX_CHANGE_BYTES: usize = 768 * 1024;
/// Minimum time between two published proofs that nothing changed. Each is trusted for
/// `relay_lifetime`, three times as long.
const MIN_PROOF_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum time between two reminders to the orderers that requests wait for a model,
/// on behalf of all followers.
const MIN_REMINDER_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum backlog of a slow follower before it must reconnect, in messages.
pub(crate) const FOLLOWER_BACKLOG: usize = 128;

/// The peers through which a node receives the orderers' updates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Uplink {
    /// Direct links to the orderers.
    Orderers,
    /// A relay at this address.
    Relay(SocketAddr),
    /// None: the node's relays are unreachable, and the orderers would have to publish
    /// all replicas to it.
    Nobody,
}

/// A node's state in the relay tree.
#[derive(Debug)]
pub struct TreeState {
    /// The peers through which it receives the orderers' updates.
    pub uplink: Uplink,
    /// The store's changes that it has published.
    log: RelayLog<WireChange>,
    /// When the view at the end of the log was last known to be complete.
    proven_at: Moment,
    /// When a proof was last published.
    proof_published_at: Moment,
    /// When the node last requested missed changes from a peer.
    replay_requested_at: Option<Moment>,
    /// True once a peer could not replay the missed changes.
    is_history_lost: bool,
    /// When the orderers were last reminded of each model on behalf of a follower.
    reminded_at: HashMap<WireModel, Moment>,
    /// The same for waits for a model at one software version.
    reminded_of_version_at: HashMap<WireVersionWait, Moment>,
    /// True while this node knows only the replicas that match its interests.
    is_partial: bool,
    /// Since when this node has known all replicas, if it does.
    all_known_since: Option<Moment>,
    /// Which replicas the relay publishes over the current link, once it has sent that.
    published_scope: Option<WireScope>,
    /// True once this node knows replicas from another source than the current link that
    /// its relay does not publish to it: it would receive no changes of these replicas.
    exceeds_published: bool,
    /// True once another node tried to follow this one, which is a relay by its own list
    /// of nodes, while this node was linked to another relay.
    is_relay_requested: bool,
    /// The interests of its own requests.
    interests: OwnInterests,
}

impl Default for TreeState {
    fn default() -> Self {
        TreeState {
            uplink: Uplink::Orderers,
            log: RelayLog::new(MAX_LOG_BYTES),
            proven_at: Moment::default(),
            proof_published_at: Moment::default(),
            replay_requested_at: None,
            is_history_lost: false,
            reminded_at: HashMap::new(),
            reminded_of_version_at: HashMap::new(),
            is_partial: false,
            all_known_since: None,
            published_scope: None,
            exceeds_published: false,
            is_relay_requested: false,
            interests: OwnInterests::default(),
        }
    }
}

impl TreeState {
    /// Returns true while the node knows only the replicas that match its interests.
    pub fn is_partial(&self) -> bool {
        self.is_partial
    }

    /// Returns since when the node has known all replicas; `None` before its first full view, and
    /// while it knows only some of them.
    pub fn all_known_since(&self) -> Option<Moment> {
        self.all_known_since
    }

    fn become_partial(&mut self) {
        self.is_partial = true;
        self.all_known_since = None;
    }

    fn become_complete(&mut self, now: Moment) {
        self.is_partial = false;
        self.all_known_since.get_or_insert(now);
    }

    /// Resets what the relay has published over the current link.
    fn reset_link(&mut self) {
        self.published_scope = None;
        self.exceeds_published = false;
        self.is_relay_requested = false;
    }

    /// Returns true while the relay publishes only replicas that match the node's interests.
    fn is_published_by_interest(&self) -> bool {
        self.published_scope == Some(WireScope::ByInterest)
    }

    /// Returns true if the orderers should be reminded of this model now, and records the
    /// reminder.
    fn should_remind(&mut self, model: &WireModel, now: Moment) -> bool {
        self.reminded_at
            .retain(|_, at| now.since(*at) < MIN_REMINDER_INTERVAL);
        if self.reminded_at.contains_key(model) {
            return false;
        }
        self.reminded_at.insert(model.clone(), now);
        true
    }

    /// Returns whether a wait for a model at one software version should be passed on now.
    fn should_remind_of_version(&mut self, wait: &WireVersionWait, now: Moment) -> bool {
        self.reminded_of_version_at
            .retain(|_, at| now.since(*at) < MIN_REMINDER_INTERVAL);
        if self.reminded_of_version_at.contains_key(wait) {
            return false;
        }
        self.reminded_of_version_at.insert(wait.clone(), now);
        true
    }
}

/// Returns true while a node has its own links to the orderers.
pub(crate) fn is_direct<P: Platform>(node: &Node<P>) -> bool {
    node.state.borrow().tree.uplink == Uplink::Orderers
}

/// Returns the addresses of the relays that a node may follow, in order of preference,
/// or none if the node should be linked to the orderers directly.
fn candidate_relays<P: Platform>(node: &Node<P>) -> Vec<SocketAddr> {
    let state = node.state.borrow();
    let TreeRole::Follower(relays) = role_of(node, &state.members) else {
        return Vec::new();
    };
    let address_of = |name: &&str| {
        let member = state.members.nodes().find(|member| member.name == **name);
        member.and_then(|member| member.peer_address())
    };
    relays.iter().filter_map(address_of).collect()
}

/// Returns true if this node relays the orderers' updates: it is a relay by its own list
/// of nodes, or it has followers whose lists differ.
pub(crate) fn is_relay<P: Platform>(node: &Node<P>) -> bool {
    let state = node.state.borrow();
    let has_relay_role = || role_of(node, &state.members) == TreeRole::Relay;
    state.tree.uplink == Uplink::Orderers && (node.followers.receiver_count() > 0 || has_relay_role())
}

/// Returns true if this node is a follower by its own list of nodes.
pub(crate) fn has_follower_role<P: Platform>(node: &Node<P>) -> bool {
    let state = node.state.borrow();
    matches!(role_of(node, &state.members), TreeRole::Follower(_))
}

fn role_of<'a, P: Platform>(node: &'a Node<P>, members: &'a crate::membership::Members) -> TreeRole<'a> {
    let is_orderer = |name: &str| members.orderers().any(|(_, orderer)| orderer.name == name);
    let identity = &node.settings.identity;
    let own = TreeNode {
        name: &identity.name,
        zone: &identity.zone,
        processor_millicores: identity.processor_millicores,
        is_orderer: node.gives_orders(),
    };
    let others = members.nodes().map(|member| TreeNode {
        name: &member.name,
        zone: &member.zone,
        processor_millicores: member.processor_millicores,
        is_orderer: is_orderer(&member.name),
    });
    relay_tree::role(own, others)
}

/// Returns true while this node is linked to a relay.
pub(crate) fn follows_relay<P: Platform>(node: &Node<P>) -> bool {
    matches!(node.state.borrow().tree.uplink, Uplink::Relay(_))
}

/// Returns true while this node knows only some replicas and can read the others only
/// from the store.
pub(crate) fn lacks_replicas<P: Platform>(node: &Node<P>) -> bool {
    let tree = &node.state.borrow().tree;
    tree.is_partial && tree.uplink == Uplink::Orderers
}

/// Records that this node knows all replicas.
pub(crate) fn record_all_replicas_known<P: Platform>(node: &Node<P>) {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    state.tree.become_complete(now);
    state.replicas.clear_received_reload_times();
    record_unpublished_replicas(node, &mut state.tree);
}

/// Records that this node read new replicas from the store. If it follows a relay that
/// publishes by interest, it must reconnect to the relay.
pub(crate) fn record_learned_replicas<P: Platform>(node: &Node<P>) {
    record_unpublished_replicas(node, &mut node.state.borrow_mut().tree);
}

fn record_unpublished_replicas<P: Platform>(node: &Node<P>, tree: &mut TreeState) {
    if tree.is_published_by_interest() && !tree.exceeds_published {
        tree.exceeds_published = true;
        node.relay_changed.notify_waiters();
    }
}

/// Publishes an update to this node's followers, if it has any.
fn publish_to_followers<P: Platform>(node: &Node<P>, update: impl FnOnce() -> RelayedUpdate) {
    if node.followers.receiver_count() > 0 {
        // Fails only after the last follower disconnected.
        let _ = node.followers.send(update());
    }
}

/// Publishes the same message to all followers of this node.
pub(crate) fn publish_message<P: Platform>(node: &Node<P>, message: Bytes) {
    publish_to_followers(node, || RelayedUpdate::Common(message));
}

/// Publishes software versions of replicas to this node's followers.
pub(crate) fn publish_versions<P: Platform>(node: &Node<P>, message: Bytes) {
    publish_to_followers(node, || RelayedUpdate::Versions(message));
}

/// Publishes placements to this node's followers. `message` is their encoded form.
pub(crate) fn publish_placements<P: Platform>(node: &Node<P>, placements: &[WirePlacement], message: &Bytes) {
    publish_to_followers(node, || {
        let now = node.clock.now();
        let decoded = placements
            .iter()
            .map(|wire| PublishedPlacement::from_wire(wire, now));
        RelayedUpdate::Placements(Rc::new(decoded.collect()), message.clone())
    });
}

/// Publishes placements that this node read from the store, for followers that receive
/// them from no other node.
pub(crate) fn publish_read_placements<P: Platform>(node: &Node<P>, placements: &[Placement]) {
    let now = node.clock.now();
    let wire = placements
        .iter()
        .map(|placement| WirePlacement::from_placement(placement, now));
    for chunk in WirePlacement::in_chunks(wire.collect()) {
        let message = FromOrderer::Placements(chunk.clone().into()).encode();
        publish_placements(node, &chunk, &message);
    }
}

/// Publishes a span of the store's changes to the followers and logs it for those that
/// miss it.
pub(crate) fn publish_span<P: Platform>(node: &Node<P>, span: DirectoryUpdate, proven_at: Moment) {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    let tree = &mut state.tree;
    tree.proven_at = tree.proven_at.max(proven_at);
    let changes = span.changes.iter().map(|revised| LoggedChange {
        revision: revised.revision,
        change: revised.change.clone(),
        size_bytes: revised.change.size_bytes(),
    });
    tree.log.push(span.after, span.reached, changes);
    let is_proof_only = span.after == span.reached;
    if is_proof_only && now.since(tree.proof_published_at) < MIN_PROOF_INTERVAL {
        return;
    }
    tree.proof_published_at = now;
    drop(state);
    if node.followers.receiver_count() == 0 {
        return;
    }
    if let Some(versions) = replica_versions::message_for_update(node, &span) {
        publish_versions(node, versions);
    }
    let span = WatchedSpan {
        update: span,
        proven_at,
    };
    for (audience, chunk) in span.into_messages(node.platform.records().configuration_key(), now) {
        let chunk = Rc::new(chunk);
        let message = FromOrderer::Directory(chunk.as_ref().clone()).encode();
        publish_to_followers(node, || RelayedUpdate::Directory(audience, chunk, message));
    }
}

/// What a view for a listener contains besides the entries of nodes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ViewContents {
    /// Replicas; not if they are published to the listener separately.
    pub(crate) replicas: bool,
    /// The configuration; not if the listener exchanges it over its link.
    pub(crate) configuration: bool,
}

/// Returns the messages for a listener that missed the changes after a revision: these
/// changes, or the full view.
pub(crate) fn view_since<P: Platform>(node: &Node<P>, after: u64, contents: ViewContents) -> Vec<Bytes> {
    // A listener without a view needs the full view, however far back the log reaches.
    let logged = (after > 0).then(|| logged_since(node, after)).flatten();
    if let Some(mut span) = logged {
        let records = node.platform.records();
        if !contents.configuration {
            let key = records.configuration_key();
            span.changes.retain(|revised| !revised.change.writes(key));
        }
        if !contents.replicas {
            span.changes.retain(|revised| match &revised.change {
                WireChange::Replica(_) => false,
                WireChange::Removed { key } => records.replica_of(key).is_none(),
                WireChange::Written { .. } => true,
            });
        }
        let chunks = span.into_chunks().into_iter().map(FromOrderer::Directory);
        return chunks.map(|message| message.encode()).collect();
    }
    let proven_at = node.state.borrow().tree.proven_at;
    let view = full_view::full_view(node, proven_at, contents);
    match view.and_then(|view| FullViewChunk::chunks_of(view, contents.replicas)) {
        Some(chunks) => chunks
            .into_iter()
            .map(|chunk| FromOrderer::FullView(chunk).encode())
            .collect(),
        None => vec![FromOrderer::HistoryUnavailable.encode()],
    }
}

/// Returns the messages with all known placements, for a listener that connected or
/// received a replay.
pub(crate) fn known_placements<P: Platform>(node: &Node<P>) -> Vec<Bytes> {
    let now = node.clock.now();
    let placements = node.state.borrow().replicas.placements();
    FromOrderer::encode_placements(&placements, now)
}

/// Returns the changes after a revision, or `None` if the log does not cover it.
fn logged_since<P: Platform>(node: &Node<P>, after: u64) -> Option<DirectoryUpdate> {
    let state = node.state.borrow();
    let (reached, changes) = state.tree.log.since(after)?;
    let changes = changes.into_iter().map(|revised| RevisedChange {
        revision: revised.revision,
        change: revised.change,
    });
    let mut changes: Vec<RevisedChange> = changes.collect();
    retain_last_writes(&mut changes, |revised| match &revised.change {
        WireChange::Written { key, .. } => Some(key),
        WireChange::Replica(_) | WireChange::Removed { .. } => None,
    });
    let mut span = DirectoryUpdate {
        after,
        reached,
        proof_age_ms: 0,
        sent_at_ms: 0,
        changes: changes.into(),
    };
    span.stamp(state.tree.proven_at, node.clock.now());
    Some(span)
}

/// Returns the revision after which a peer should replay the changes, if a replay should
/// be requested now, and records the request. Only one replay is requested at a time, as
/// every peer sends the same changes.
pub(crate) fn start_replay<P: Platform>(node: &Node<P>, retry_after: Duration) -> Option<u64> {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    let reached = state.directory.reached();
    let requested = state.tree.replay_requested_at;
    let is_waiting = requested.is_some_and(|requested| now.since(requested) < retry_after);
    if reached == 0 || is_waiting || state.tree.is_history_lost {
        return None;
    }
    state.tree.replay_requested_at = Some(now);
    Some(reached)
}

/// Records that a peer cannot replay the missed changes, so that the store must be read.
pub(crate) fn record_history_lost<P: Platform>(node: &Node<P>) {
    node.state.borrow_mut().tree.is_history_lost = true;
    node.relay_changed.notify_waiters();
}

/// Returns true if no peer can replay the changes that this node missed.
pub(crate) fn is_history_lost<P: Platform>(node: &Node<P>) -> bool {
    node.state.borrow().tree.is_history_lost
}

/// Records that this node's view is complete again.
pub(crate) fn record_gap_closed<P: Platform>(node: &Node<P>) {
    let mut state = node.state.borrow_mut();
    state.tree.is_history_lost = false;
    state.tree.replay_requested_at = None;
}

/// Returns the message with the shards whose orderers this node is linked to.
fn linked_message<P: Platform>(node: &Node<P>) -> Bytes {
    let linked: [bool; SHARD_COUNT] = node.state.borrow().linked;
    Bytes::from(FromOrderer::Linked(linked.to_vec().into()).serialize_bin())
}

/// Publishes to the followers the shards whose orderers this node is linked to.
pub(crate) fn publish_linked<P: Platform>(node: &Node<P>) {
    publish_message(node, linked_message(node));
}
