//! The tree over which a large fleet hears its orderers.
//!
//! [`role`] says who relays to whom. A relay listens to every orderer, as all
//! nodes of a small fleet do ([`crate::peer_link`]), and passes on what it hears
//! to its followers ([`serve`]); a follower has one link, to a relay ([`follow`]).
//! The tree has no third level: a relay serves only while it hears the orderers
//! itself, so two nodes can never follow each other. Where the replicas are many a
//! follower knows those that its requests ask for ([`wants`], [`follower`]).
//!
//! [`role`]: croftrill_scheduler::relay_tree::role

mod follow;
mod follower;
mod serve;
pub mod wants;
mod whole_view;

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
pub use self::follower::FollowerNews;
use self::follower::ToldPlacement;
pub(crate) use self::serve::serve_follower;
pub(crate) use self::wants::know;
use self::wants::Wants;
use crate::node::Node;
use crate::peer::{
    DirectoryNews, FromOrderer, RevisedChange, WholePart, WireChange, WireModel, WirePlacement, WireScope,
};
use crate::ports::{Platform, RecordReader};

/// Memory for changes that followers may ask for again, in bytes: some
/// configurations and the entries of a few hundred nodes.
const MOST_LOGGED_BYTES: usize = 512 * 1024;
/// Bytes of one change that can be told a listener; of a larger one it is told only
/// that there is something. Below the limit of a frame, `MOST_MESSAGE_BYTES`.
pub(crate) const MOST_NEWS_BYTES: usize = 768 * 1024;
/// Proofs that nothing changed are passed on this rarely; each is believed for
/// `relay_lifetime`, three times as long.
const PROOF_EVERY: Duration = Duration::from_millis(400);
/// One reminder that a model is waited for serves so long for all followers.
const REMINDER_SERVES: Duration = Duration::from_millis(200);
/// Backlog of a slow follower before it must begin anew, in messages.
pub(crate) const RELAY_BACKLOG: usize = 128;

/// Whom a node hears the orderers through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Uplink {
    /// Links to the orderers themselves.
    Orderers,
    /// A relay at this address.
    Relay(SocketAddr),
    /// Nobody: its relays cannot be reached, and the orderers would have to tell it of
    /// all replicas.
    Nobody,
}

/// What a node keeps as a part of the tree.
#[derive(Debug)]
pub struct TreeState {
    /// Whom it hears the orderers through.
    pub uplink: Uplink,
    /// What it passed on of the store's changes.
    log: RelayLog<WireChange>,
    /// When the view that the log leads to was last complete.
    proven_at: Moment,
    /// When a proof was last passed on.
    proof_passed_at: Moment,
    /// When it last asked a peer for changes that it missed.
    replay_asked_at: Option<Moment>,
    /// True once a peer did not know the missed changes.
    is_history_gone: bool,
    /// When the orderers were last reminded of a model for a follower.
    reminded: HashMap<WireModel, Moment>,
    /// True while this node knows only replicas that it was told by its interests.
    is_narrow: bool,
    /// How much of the replicas the relay tells over the present link, once it said so.
    told_scope: Option<WireScope>,
    /// True once this node learned of replicas, elsewhere than over the present link, that
    /// its relay does not count as told: it would hear of no change of theirs.
    exceeds_told: bool,
    /// True once somebody came to follow this node, a relay by its own list, while it had
    /// the present link to another.
    is_called_upon: bool,
    /// What its requests ask for.
    wants: Wants,
}

impl Default for TreeState {
    fn default() -> Self {
        TreeState {
            uplink: Uplink::Orderers,
            log: RelayLog::new(MOST_LOGGED_BYTES),
            proven_at: Moment::default(),
            proof_passed_at: Moment::default(),
            replay_asked_at: None,
            is_history_gone: false,
            reminded: HashMap::new(),
            is_narrow: false,
            told_scope: None,
            exceeds_told: false,
            is_called_upon: false,
            wants: Wants::default(),
        }
    }
}

impl TreeState {
    /// True while the node knows only replicas that it was told by its interests.
    pub fn is_narrow(&self) -> bool {
        self.is_narrow
    }

    /// No relay has told anything over the present link yet.
    fn reset_link(&mut self) {
        self.told_scope = None;
        self.exceeds_told = false;
        self.is_called_upon = false;
    }

    /// True while this node hears of replicas only what a relay tells it by its interests.
    fn is_told_by_interests(&self) -> bool {
        self.told_scope == Some(WireScope::ByInterest)
    }

    /// True if a reminder of this model should go to the orderers now.
    fn takes_reminder(&mut self, model: &WireModel, now: Moment) -> bool {
        self.reminded.retain(|_, at| now.since(*at) < REMINDER_SERVES);
        if self.reminded.contains_key(model) {
            return false;
        }
        self.reminded.insert(model.clone(), now);
        true
    }
}

/// True while a node hears the orderers by links of its own.
pub(crate) fn is_direct<P: Platform>(node: &Node<P>) -> bool {
    node.state.borrow().tree.uplink == Uplink::Orderers
}

/// Addresses of the relays that a node should follow, the first choice first;
/// none if it belongs to the orderers' own listeners.
fn relays_above<P: Platform>(node: &Node<P>) -> Vec<SocketAddr> {
    let state = node.state.borrow();
    let TreeRole::Follower(relays) = place_of(node, &state.members) else {
        return Vec::new();
    };
    let address_of = |name: &&str| {
        let member = state.members.nodes().find(|member| member.name == **name);
        member.and_then(|member| member.peer_address())
    };
    relays.iter().filter_map(address_of).collect()
}

/// True if other nodes hear the orderers through this one: its zone does by its own
/// list of nodes, or somebody follows it by another list.
pub(crate) fn is_relay<P: Platform>(node: &Node<P>) -> bool {
    let state = node.state.borrow();
    let is_chosen = || place_of(node, &state.members) == TreeRole::Relay;
    state.tree.uplink == Uplink::Orderers && (node.followers.receiver_count() > 0 || is_chosen())
}

/// True if this node's list of the fleet says that it belongs below relays.
pub(crate) fn is_below_relays<P: Platform>(node: &Node<P>) -> bool {
    let state = node.state.borrow();
    matches!(place_of(node, &state.members), TreeRole::Follower(_))
}

fn place_of<'a, P: Platform>(node: &'a Node<P>, members: &'a crate::membership::Members) -> TreeRole<'a> {
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

/// True while this node has a link to a relay.
pub(crate) fn follows_relay<P: Platform>(node: &Node<P>) -> bool {
    matches!(node.state.borrow().tree.uplink, Uplink::Relay(_))
}

/// True while this node knows only some replicas, and can learn of the others from
/// nobody but the store.
pub(crate) fn lacks_replicas<P: Platform>(node: &Node<P>) -> bool {
    let tree = &node.state.borrow().tree;
    tree.is_narrow && tree.uplink == Uplink::Orderers
}

/// From now on this node knows all replicas.
pub(crate) fn knows_all_replicas<P: Platform>(node: &Node<P>) {
    let mut state = node.state.borrow_mut();
    state.tree.is_narrow = false;
    state.replicas.clear_received_reload_times();
    knows_untold_replicas(node, &mut state.tree);
}

/// This node learned by itself of replicas that it did not know: if it follows a relay that
/// tells by interests, the link to it must begin anew.
pub(crate) fn learned_replicas<P: Platform>(node: &Node<P>) {
    knows_untold_replicas(node, &mut node.state.borrow_mut().tree);
}

fn knows_untold_replicas<P: Platform>(node: &Node<P>, tree: &mut TreeState) {
    if tree.is_told_by_interests() && !tree.exceeds_told {
        tree.exceeds_told = true;
        node.relay_changed.notify_waiters();
    }
}

/// News for this node's followers.
fn pass_on_to_followers<P: Platform>(node: &Node<P>, news: impl FnOnce() -> FollowerNews) {
    if node.followers.receiver_count() > 0 {
        // It fails only once the last follower has left.
        let _ = node.followers.send(news());
    }
}

/// A message for each of this node's followers.
pub(crate) fn pass_on<P: Platform>(node: &Node<P>, message: Bytes) {
    pass_on_to_followers(node, || FollowerNews::Common(message));
}

/// What replicas hold, as this node tells its listeners in `message`.
pub(crate) fn pass_on_placements<P: Platform>(node: &Node<P>, placements: &[WirePlacement], message: &Bytes) {
    pass_on_to_followers(node, || {
        let now = node.clock.now();
        let read = placements.iter().map(|wire| ToldPlacement::read(wire, now));
        FollowerNews::Placements(Rc::new(read.collect()), message.clone())
    });
}

/// What replicas hold, as this node read it, for followers that hear of it from nobody else.
pub(crate) fn pass_on_read<P: Platform>(node: &Node<P>, placements: &[Placement]) {
    let now = node.clock.now();
    let wire = placements
        .iter()
        .map(|placement| WirePlacement::from_placement(placement, now));
    for part in WirePlacement::in_parts(wire.collect()) {
        let message = FromOrderer::Placements(part.clone().into()).encode();
        pass_on_placements(node, &part, &message);
    }
}

/// This node's view went on by a span of the store's changes: followers are
/// told, and it is kept for those that miss it.
pub(crate) fn pass_on_news<P: Platform>(node: &Node<P>, mut news: DirectoryNews, proven_at: Moment) {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    let tree = &mut state.tree;
    tree.proven_at = tree.proven_at.max(proven_at);
    let changes = news.changes.iter().map(|revised| LoggedChange {
        revision: revised.revision,
        change: revised.change.clone(),
        size_bytes: revised.change.size_bytes(),
    });
    tree.log.push(news.after, news.reached, changes);
    let says_nothing_new = news.after == news.reached;
    if says_nothing_new && now.since(tree.proof_passed_at) < PROOF_EVERY {
        return;
    }
    tree.proof_passed_at = now;
    drop(state);
    if node.followers.receiver_count() == 0 {
        return;
    }
    news.stamp(proven_at, now);
    for part in news.into_parts() {
        let part = Rc::new(part);
        let message = FromOrderer::Directory(part.as_ref().clone()).encode();
        pass_on_to_followers(node, || FollowerNews::Directory(part, message));
    }
}

/// The answer to a listener that misses the changes after a revision: these changes, or
/// everything. `with_replicas`: false for one that is told of replicas by itself.
pub(crate) fn view_since<P: Platform>(node: &Node<P>, after: u64, with_replicas: bool) -> Vec<Bytes> {
    // One without a view takes no changes as new, however far back the log reaches.
    let logged = (after > 0).then(|| logged_since(node, after)).flatten();
    if let Some(mut news) = logged {
        if !with_replicas {
            let records = node.platform.records();
            news.changes.retain(|revised| match &revised.change {
                WireChange::Replica(_) => false,
                WireChange::Removed { key } => records.replica_of(key).is_none(),
                WireChange::Written { .. } => true,
            });
        }
        let parts = news.into_parts().into_iter().map(FromOrderer::Directory);
        return parts.map(|message| message.encode()).collect();
    }
    let proven_at = node.state.borrow().tree.proven_at;
    let whole = whole_view::whole_view(node, proven_at, with_replicas);
    match whole.and_then(|whole| WholePart::parts_of(whole, with_replicas)) {
        Some(parts) => parts
            .into_iter()
            .map(|part| FromOrderer::Whole(part).encode())
            .collect(),
        None => vec![FromOrderer::HistoryGone.encode()],
    }
}

/// What this node knows of what replicas hold, for one that listens to it: at first,
/// and after each replay.
pub(crate) fn known_placements<P: Platform>(node: &Node<P>) -> Vec<Bytes> {
    let now = node.clock.now();
    let placements = node.state.borrow().replicas.placements();
    FromOrderer::encode_placements(&placements, now)
}

/// The changes after a revision, if the log reaches back to it.
fn logged_since<P: Platform>(node: &Node<P>, after: u64) -> Option<DirectoryNews> {
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
    let mut news = DirectoryNews {
        after,
        reached,
        proof_age_ms: 0,
        sent_at_ms: 0,
        changes: changes.into(),
    };
    news.stamp(state.tree.proven_at, node.clock.now());
    Some(news)
}

/// The revision after which a peer should tell the changes again, if one should
/// be asked now: one at a time, as each sends the same.
pub(crate) fn wanted_replay<P: Platform>(node: &Node<P>, retry_after: Duration) -> Option<u64> {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    let reached = state.directory.reached();
    let asked = state.tree.replay_asked_at;
    let is_waiting = asked.is_some_and(|asked| now.since(asked) < retry_after);
    if reached == 0 || is_waiting || state.tree.is_history_gone {
        return None;
    }
    state.tree.replay_asked_at = Some(now);
    Some(reached)
}

/// A peer does not know the missed changes: the store must be asked.
pub(crate) fn history_gone<P: Platform>(node: &Node<P>) {
    node.state.borrow_mut().tree.is_history_gone = true;
    node.relay_changed.notify_waiters();
}

/// True if no peer can tell what this node misses.
pub(crate) fn is_history_gone<P: Platform>(node: &Node<P>) -> bool {
    node.state.borrow().tree.is_history_gone
}

/// This node's view is complete again.
pub(crate) fn gap_closed<P: Platform>(node: &Node<P>) {
    let mut state = node.state.borrow_mut();
    state.tree.is_history_gone = false;
    state.tree.replay_asked_at = None;
}

/// The message that says which shards' orderers this node hears.
fn linked_message<P: Platform>(node: &Node<P>) -> Bytes {
    let linked: [bool; SHARD_COUNT] = node.state.borrow().linked;
    Bytes::from(FromOrderer::Linked(linked.to_vec().into()).serialize_bin())
}

/// Followers are told which shards' orderers this node hears.
pub(crate) fn pass_on_linked<P: Platform>(node: &Node<P>) {
    pass_on(node, linked_message(node));
}
