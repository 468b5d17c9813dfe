//! Membership by probing (SWIM): who answers, at a cost a node that does not
//! grow with the number of nodes.
//!
//! Each period a node pings one member, in a shuffled round. A member that
//! answers neither directly nor through others is suspect, and dead unless it
//! refutes in time. News travels on the pings and acks. Every datagram also
//! carries the sender's log head, so a node that missed an entry learns of it.
//!
//! Invariants:
//! - only a member raises its own incarnation, so the news that wins about it is
//!   its own or a later suspicion of it;
//! - a node that noticed that it was paused judges nobody for a while, and
//!   counts nobody as heard until it hears from them again;
//! - a dead member that the cluster state lists is pinged for as long as it is
//!   listed, so that a healed partition is noticed from both sides.

mod config;
mod message;
mod probing;
mod update_queue;
mod view;

pub use config::MembershipConfig;
pub use message::{DatagramError, Health, MemberUpdate, Probe, ProbeKind, MAX_DATAGRAM_BYTES};
pub use view::{MemberView, MembershipView};

use crate::identifiers::{NodeId, Revision};
use crate::time::Instant;
use probing::{PendingPing, Relay};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use update_queue::UpdateQueue;

/// What the driver must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a datagram.
    Send {
        /// `ip:port` of the receiver.
        to: String,
        /// The datagram.
        probe: Probe,
    },
    /// Tell the rest of the node.
    Report(MembershipEvent),
}

/// Something that the rest of the node may act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A member's health changed, or it is new.
    HealthChanged {
        /// The member.
        node: NodeId,
        /// Its health now.
        health: Health,
    },
    /// A member has applied more of the log than this node.
    HeadSeen {
        /// The member.
        node: NodeId,
        /// `ip:port` of its peer service.
        address: String,
        /// Its last applied revision.
        head: Revision,
    },
    /// This process did not run for a while.
    PauseDetected {
        /// How long, in milliseconds.
        millis: u64,
    },
}

/// Who this node is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalMember {
    /// Its name.
    pub node: NodeId,
    /// `ip:port` that the others reach it at.
    pub address: String,
    /// Higher than that of any earlier process of this node; the start time in
    /// milliseconds does.
    pub incarnation: u64,
}

/// What this node knows of another.
#[derive(Debug)]
struct Member {
    address: String,
    incarnation: u64,
    health: Health,
    /// Since when its health counts; a suspicion starts anew after a pause here.
    changed_at: Instant,
    /// When a datagram of its own last proved that it runs.
    heard_at: Option<Instant>,
    /// The last revision that it was heard to have applied.
    head: Revision,
    caught_up: bool,
    /// Whether the cluster state lists it.
    listed: bool,
}

/// One node's view of the others. See the module documentation.
pub struct Membership {
    config: MembershipConfig,
    local: MemberUpdate,
    seeds: Vec<String>,
    random: SmallRng,
    members: BTreeMap<NodeId, Member>,
    updates: UpdateQueue,
    /// Members that are still to be pinged before a new round is shuffled.
    round: Vec<NodeId>,
    pending: Option<PendingPing>,
    /// Pings sent for others, by their sequence numbers here.
    relays: BTreeMap<u64, Relay>,
    next_sequence: u64,
    /// Periods since the start.
    periods: u64,
    period_started_at: Instant,
    ticked_at: Instant,
    /// Only what was heard since then counts: the start, or the end of a pause.
    listening_since: Instant,
    /// Pings before this one were sent before the last pause.
    listening_from_sequence: u64,
    /// Before this time nobody is judged, since this node was paused.
    judging_from: Instant,
    /// The last revision that this node applied.
    head: Revision,
    caught_up: bool,
    /// When the head was last told to members at once.
    pushed_at: Option<Instant>,
    /// Whether a head is still to be told.
    push_due: bool,
}

impl Membership {
    /// A node that knows nobody but the seed addresses. `random_seed` decides
    /// every random choice.
    pub fn new(
        config: MembershipConfig,
        local: LocalMember,
        seeds: Vec<String>,
        random_seed: u64,
        now: Instant,
    ) -> Self {
        let mut random = SmallRng::seed_from_u64(random_seed);
        let next_sequence = random.random();
        let seeds = seeds.into_iter().filter(|seed| *seed != local.address).collect();
        Self {
            config,
            local: MemberUpdate {
                node: local.node,
                address: local.address,
                incarnation: local.incarnation,
                health: Health::Alive,
            },
            seeds,
            random,
            members: BTreeMap::new(),
            updates: UpdateQueue::default(),
            round: Vec::new(),
            pending: None,
            relays: BTreeMap::new(),
            next_sequence,
            periods: 0,
            period_started_at: now,
            ticked_at: now,
            listening_since: now,
            listening_from_sequence: next_sequence,
            judging_from: now,
            head: Revision(0),
            caught_up: false,
            pushed_at: None,
            push_due: false,
        }
    }

    /// Replaces the members that the cluster state lists. A new one counts as
    /// alive until it fails to answer; one no longer listed is only forgotten
    /// after its death.
    pub fn list_members(&mut self, listed: impl IntoIterator<Item = (NodeId, String)>, now: Instant) {
        for member in self.members.values_mut() {
            member.listed = false;
        }
        for (node, address) in listed {
            if node == self.local.node {
                continue;
            }
            match self.members.get_mut(&node) {
                Some(member) => {
                    member.listed = true;
                    if member.health == Health::Dead || member.heard_at.is_none() {
                        member.address = address;
                    }
                }
                None => self.add_member(node, address, 0, Health::Alive, true, now),
            }
        }
    }

    /// This node applied the log up to `head`; tells a few members at once.
    pub fn new_head(&mut self, head: Revision, now: Instant) -> Vec<MembershipAction> {
        if head <= self.head {
            return Vec::new();
        }
        self.head = head;
        self.push_due = true;
        self.push_head_if_due(now)
    }

    /// This process has applied all that the key-value service's log had at some
    /// time since the process started.
    pub fn set_caught_up(&mut self) {
        self.caught_up = true;
    }

    /// Announces that this node stops on purpose.
    pub fn leave(&mut self) -> Vec<MembershipAction> {
        if self.local.health == Health::Leaving {
            return Vec::new();
        }
        self.local.health = Health::Leaving;
        self.local.incarnation += 1;
        self.push_to_random(ProbeKind::Announce)
    }

    /// Handles a datagram.
    pub fn receive(&mut self, probe: Probe, now: Instant) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        if probe.sender.node == self.local.node {
            return actions;
        }
        self.apply_update(&probe.sender, now, &mut actions);
        self.note_heard(&probe, now);
        self.note_head(&probe, &mut actions);
        for update in &probe.updates {
            self.apply_update(update, now, &mut actions);
        }
        self.answer(probe, now, &mut actions);
        actions
    }

    fn note_heard(&mut self, probe: &Probe, now: Instant) {
        let recent = self.is_recent(probe, now);
        let Some(member) = self.members.get_mut(&probe.sender.node) else {
            return;
        };
        member.head = member.head.max(probe.head);
        member.caught_up = probe.caught_up;
        if recent {
            member.heard_at = Some(now);
        }
    }

    fn note_head(&self, probe: &Probe, actions: &mut Vec<MembershipAction>) {
        if probe.head <= self.head {
            return;
        }
        actions.push(MembershipAction::Report(MembershipEvent::HeadSeen {
            node: probe.sender.node.clone(),
            address: probe.sender.address.clone(),
            head: probe.head,
        }));
    }

    fn apply_update(&mut self, update: &MemberUpdate, now: Instant, actions: &mut Vec<MembershipAction>) {
        if update.node == self.local.node {
            self.refute(update);
            return;
        }
        let Some(member) = self.members.get_mut(&update.node) else {
            if !update.address.is_empty() && update.health != Health::Dead {
                self.learn_member(update, now, actions);
            }
            return;
        };
        let newer = (update.incarnation, update.health) > (member.incarnation, member.health);
        if !newer {
            return;
        }
        let announce = update.health == Health::Leaving && member.health != Health::Leaving;
        let changed = member.health != update.health;
        let revived = member.health == Health::Dead;
        if !update.address.is_empty() {
            member.address.clone_from(&update.address);
        }
        member.incarnation = update.incarnation;
        member.health = update.health;
        member.changed_at = now;
        if revived {
            self.join_round(update.node.clone());
        }
        self.updates.push(update.clone());
        if changed {
            actions.push(health_changed(&update.node, update.health));
        }
        if announce {
            actions.extend(self.push_to_random(ProbeKind::Announce));
        }
    }

    fn learn_member(&mut self, update: &MemberUpdate, now: Instant, actions: &mut Vec<MembershipAction>) {
        self.add_member(
            update.node.clone(),
            update.address.clone(),
            update.incarnation,
            update.health,
            false,
            now,
        );
        self.updates.push(update.clone());
        actions.push(health_changed(&update.node, update.health));
    }

    fn add_member(
        &mut self,
        node: NodeId,
        address: String,
        incarnation: u64,
        health: Health,
        listed: bool,
        now: Instant,
    ) {
        let member = Member {
            address,
            incarnation,
            health,
            changed_at: now,
            heard_at: None,
            head: Revision(0),
            caught_up: false,
            listed,
        };
        self.members.insert(node.clone(), member);
        self.join_round(node);
    }

    /// Answers news about this node that is not what it says of itself.
    fn refute(&mut self, update: &MemberUpdate) {
        let own = (self.local.incarnation, self.local.health);
        if (update.incarnation, update.health) > own {
            self.local.incarnation = update.incarnation + 1;
            self.updates.push(self.local.clone());
        }
    }

    fn judge(&mut self, node: &NodeId, health: Health, now: Instant, actions: &mut Vec<MembershipAction>) {
        let Some(member) = self.members.get_mut(node) else {
            return;
        };
        member.health = health;
        member.changed_at = now;
        let update = MemberUpdate {
            node: node.clone(),
            address: String::new(),
            incarnation: member.incarnation,
            health,
        };
        self.updates.push(update);
        actions.push(health_changed(node, health));
    }

    fn push_head_if_due(&mut self, now: Instant) -> Vec<MembershipAction> {
        let interval = self.config.push_interval_millis;
        let too_early = self.pushed_at.is_some_and(|at| now.millis_since(at) < interval);
        if !self.push_due || too_early {
            return Vec::new();
        }
        self.push_due = false;
        self.pushed_at = Some(now);
        self.push_to_random(ProbeKind::NewHead)
    }

    fn push_to_random(&mut self, kind: ProbeKind) -> Vec<MembershipAction> {
        let addresses: Vec<String> = self
            .members
            .values()
            .filter(|member| member.health != Health::Dead)
            .map(|member| member.address.clone())
            .collect();
        let chosen: Vec<String> = addresses
            .choose_multiple(&mut self.random, self.config.push_fanout)
            .cloned()
            .collect();
        chosen
            .into_iter()
            .map(|to| self.send(to, kind.clone(), None))
            .collect()
    }
}

fn health_changed(node: &NodeId, health: Health) -> MembershipAction {
    MembershipAction::Report(MembershipEvent::HealthChanged {
        node: node.clone(),
        health,
    })
}
