//! The probe cycle: ping, ask others to ping, suspect, declare dead.

use super::config::spreading_rounds;
use super::message::{Health, MemberUpdate, Probe, ProbeKind};
use super::{Membership, MembershipAction, MembershipEvent};
use crate::checked_message::CHECKSUM_BYTES;
use crate::identifiers::NodeId;
use crate::time::Instant;
use nanoserde::SerBin;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::Rng;
use std::collections::BTreeSet;

/// Pings relayed for others at once; more are not answered.
const MAX_RELAYS: usize = 64;

/// The ping of this period, whose failure makes its target suspect.
#[derive(Debug)]
pub(super) struct PendingPing {
    target: NodeId,
    sequence: u64,
    sent_at: Instant,
    asked_others: bool,
}

/// A ping that this node sent for another.
#[derive(Debug)]
pub(super) struct Relay {
    requester: String,
    sequence: u64,
    target: NodeId,
    sent_at: Instant,
}

impl Membership {
    /// Advances time. Call it at least a few times a period.
    pub fn tick(&mut self, now: Instant) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        self.detect_pause(now, &mut actions);
        self.ask_others_if_unanswered(now, &mut actions);
        actions.extend(self.push_head_if_due(now));
        if now.millis_since(self.period_started_at) >= self.config.period_millis {
            self.end_period(now, &mut actions);
            self.start_period(now, &mut actions);
        }
        actions
    }

    fn detect_pause(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let gap = now.millis_since(self.ticked_at);
        self.ticked_at = now;
        if gap < self.config.pause_threshold_millis {
            return;
        }
        self.pending = None;
        self.relays.clear();
        self.listening_since = now;
        self.listening_from_sequence = self.next_sequence.wrapping_add(1);
        self.judging_from = now + self.config.pause_grace_millis;
        for member in self.members.values_mut() {
            if member.health == Health::Suspect {
                member.changed_at = self.judging_from;
            }
        }
        self.local.incarnation += 1;
        self.updates.push(self.local.clone());
        actions.push(MembershipAction::Report(MembershipEvent::PauseDetected {
            millis: gap,
        }));
    }

    /// Whether a datagram proves that its sender ran lately. Right after a pause
    /// only answers to new pings do: others may have waited in the socket.
    pub(super) fn is_recent(&self, probe: &Probe, now: Instant) -> bool {
        if self.judging(now) {
            return true;
        }
        let new_ping = probe.sequence.wrapping_sub(self.listening_from_sequence) < u64::MAX / 2;
        matches!(probe.kind, ProbeKind::Ack { .. }) && new_ping
    }

    fn judging(&self, now: Instant) -> bool {
        now >= self.judging_from
    }

    fn ask_others_if_unanswered(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let timeout = self.config.ack_timeout_millis;
        let Some(pending) = &mut self.pending else {
            return;
        };
        if pending.asked_others || now.millis_since(pending.sent_at) < timeout {
            return;
        }
        pending.asked_others = true;
        let (target, sequence) = (pending.target.clone(), pending.sequence);
        let Some(member) = self.members.get(&target) else {
            return;
        };
        let kind = ProbeKind::PingRequest {
            target: target.clone(),
            address: member.address.clone(),
        };
        let helpers: Vec<String> = self
            .members
            .iter()
            .filter(|(node, member)| **node != target && member.health == Health::Alive)
            .map(|(_, member)| member.address.clone())
            .collect();
        let chosen: Vec<String> = helpers
            .choose_multiple(&mut self.random, self.config.indirect_pings)
            .cloned()
            .collect();
        for to in chosen {
            let action = self.send_sequence(to, kind.clone(), sequence, None);
            actions.push(action);
        }
    }

    fn expire_suspects(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        if !self.judging(now) {
            return;
        }
        let timeout = self.suspicion_millis();
        let expired: Vec<NodeId> = self
            .members
            .iter()
            .filter(|(_, member)| member.health == Health::Suspect)
            .filter(|(_, member)| now.millis_since(member.changed_at) >= timeout)
            .map(|(node, _)| node.clone())
            .collect();
        for node in expired {
            self.judge(&node, Health::Dead, now, actions);
        }
    }

    /// Time that a suspect has to refute, in milliseconds.
    pub fn suspicion_millis(&self) -> u64 {
        let rounds = spreading_rounds(self.live_count());
        self.config.suspicion_multiplier * rounds * self.config.period_millis
    }

    fn end_period(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let period = self.config.period_millis;
        self.relays
            .retain(|_, relay| now.millis_since(relay.sent_at) < period);
        self.forget_dead(now);
        self.expire_suspects(now, actions);
        let Some(pending) = self.pending.take() else {
            return;
        };
        if !self.judging(now) {
            return;
        }
        match self.members.get(&pending.target).map(|member| member.health) {
            Some(Health::Alive) => self.judge(&pending.target, Health::Suspect, now, actions),
            // It said that it stops, so no second chance is needed.
            Some(Health::Leaving) => self.judge(&pending.target, Health::Dead, now, actions),
            Some(Health::Suspect | Health::Dead) | None => {}
        }
    }

    fn forget_dead(&mut self, now: Instant) {
        let keep = self.config.forget_dead_millis;
        let forgotten: Vec<NodeId> = self
            .members
            .iter()
            .filter(|(_, member)| member.health == Health::Dead && !member.listed)
            .filter(|(_, member)| now.millis_since(member.changed_at) >= keep)
            .map(|(node, _)| node.clone())
            .collect();
        for node in forgotten {
            self.members.remove(&node);
            self.updates.forget(&node);
        }
    }

    fn start_period(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        self.period_started_at = now;
        self.periods += 1;
        self.ping_next(now, actions);
        self.ping_to_catch_up(actions);
        if self.members.is_empty() {
            self.ping_seed(actions);
        }
        if self.periods % self.config.reconnect_periods == 0 {
            self.ping_seed(actions);
            self.ping_dead(actions);
        }
    }

    fn ping_next(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let Some(target) = self.next_in_round() else {
            return;
        };
        let sequence = self.take_sequence();
        actions.push(self.ping(&target, sequence));
        self.pending = Some(PendingPing {
            target,
            sequence,
            sent_at: now,
            asked_others: false,
        });
    }

    fn ping_to_catch_up(&mut self, actions: &mut Vec<MembershipAction>) {
        let unheard: Vec<NodeId> = self
            .members
            .iter()
            .filter(|(_, member)| member.health != Health::Dead && !self.is_heard(member))
            .map(|(node, _)| node.clone())
            .collect();
        if unheard.len() * 2 < self.live_count() {
            return;
        }
        let chosen: Vec<NodeId> = unheard
            .choose_multiple(&mut self.random, self.config.catch_up_pings)
            .cloned()
            .collect();
        for target in chosen {
            let sequence = self.take_sequence();
            actions.push(self.ping(&target, sequence));
        }
    }

    /// Pings a seed address at which no live member is known. Live ones get
    /// their share of pings anyway; all nodes have the same few seeds.
    fn ping_seed(&mut self, actions: &mut Vec<MembershipAction>) {
        let live: BTreeSet<&String> = self
            .members
            .values()
            .filter(|member| member.health != Health::Dead)
            .map(|member| &member.address)
            .collect();
        let unknown: Vec<String> = self
            .seeds
            .iter()
            .filter(|seed| !live.contains(seed))
            .cloned()
            .collect();
        let Some(to) = unknown.choose(&mut self.random).cloned() else {
            return;
        };
        let action = self.send(to, ProbeKind::Ping, None);
        actions.push(action);
    }

    fn ping_dead(&mut self, actions: &mut Vec<MembershipAction>) {
        let dead: Vec<NodeId> = self
            .members
            .iter()
            .filter(|(_, member)| member.health == Health::Dead)
            .map(|(node, _)| node.clone())
            .collect();
        let Some(target) = dead.choose(&mut self.random) else {
            return;
        };
        let sequence = self.take_sequence();
        actions.push(self.ping(target, sequence));
    }

    fn ping(&mut self, target: &NodeId, sequence: u64) -> MembershipAction {
        let to = self.members[target].address.clone();
        self.send_sequence(to, ProbeKind::Ping, sequence, Some(target))
    }

    /// The next member of the round that is not dead; starts a new round if
    /// none is left.
    fn next_in_round(&mut self) -> Option<NodeId> {
        for _ in 0..2 {
            while let Some(node) = self.round.pop() {
                let dead = self.members.get(&node).is_none_or(|m| m.health == Health::Dead);
                if !dead {
                    return Some(node);
                }
            }
            self.round = self.members.keys().cloned().collect();
            self.round.shuffle(&mut self.random);
        }
        None
    }

    /// Puts a new member at a random place of the present round.
    pub(super) fn join_round(&mut self, node: NodeId) {
        let place = self.random.random_range(0..=self.round.len());
        self.round.insert(place, node);
    }

    pub(super) fn answer(&mut self, probe: Probe, now: Instant, actions: &mut Vec<MembershipAction>) {
        match probe.kind {
            ProbeKind::Ping => {
                let kind = ProbeKind::Ack {
                    target: self.local.node.clone(),
                };
                let sender = probe.sender;
                let action = self.send_sequence(sender.address, kind, probe.sequence, Some(&sender.node));
                actions.push(action);
            }
            ProbeKind::Ack { target } => self.take_ack(probe.sequence, target, actions),
            ProbeKind::PingRequest { target, address } => {
                let relay = Relay {
                    requester: probe.sender.address,
                    sequence: probe.sequence,
                    target,
                    sent_at: now,
                };
                self.relay_ping(relay, address, actions);
            }
            ProbeKind::NewHead | ProbeKind::Announce => {}
        }
    }

    fn take_ack(&mut self, sequence: u64, target: NodeId, actions: &mut Vec<MembershipAction>) {
        let expected = |pending: &PendingPing| pending.sequence == sequence && pending.target == target;
        if self.pending.as_ref().is_some_and(expected) {
            self.pending = None;
        }
        let relayed = |relay: &Relay| relay.target == target;
        if !self.relays.get(&sequence).is_some_and(relayed) {
            return;
        }
        if let Some(relay) = self.relays.remove(&sequence) {
            let kind = ProbeKind::Ack { target };
            let action = self.send_sequence(relay.requester, kind, relay.sequence, None);
            actions.push(action);
        }
    }

    fn relay_ping(&mut self, relay: Relay, address: String, actions: &mut Vec<MembershipAction>) {
        if self.relays.len() >= MAX_RELAYS {
            return;
        }
        let sequence = self.take_sequence();
        let target = relay.target.clone();
        self.relays.insert(sequence, relay);
        actions.push(self.send_sequence(address, ProbeKind::Ping, sequence, Some(&target)));
    }

    pub(super) fn send(
        &mut self,
        to: String,
        kind: ProbeKind,
        receiver: Option<&NodeId>,
    ) -> MembershipAction {
        let sequence = self.take_sequence();
        self.send_sequence(to, kind, sequence, receiver)
    }

    fn send_sequence(
        &mut self,
        to: String,
        kind: ProbeKind,
        sequence: u64,
        receiver: Option<&NodeId>,
    ) -> MembershipAction {
        let mut probe = Probe {
            sender: self.local.clone(),
            sequence,
            kind,
            head: self.head,
            caught_up: self.caught_up,
            updates: receiver
                .and_then(|node| self.doubt_about(node))
                .into_iter()
                .collect(),
        };
        // Requests come by the dozen when many members fail at once, and the
        // asked ones learn the news from pings anyway.
        if matches!(probe.kind, ProbeKind::PingRequest { .. }) {
            return MembershipAction::Send { to, probe };
        }
        let used = CHECKSUM_BYTES + probe.serialize_bin().len();
        let free = self.config.max_datagram_bytes.saturating_sub(used);
        let limit = self.config.retransmit_multiplier * spreading_rounds(self.live_count()) as u32;
        probe.updates.extend(self.updates.take(free, limit));
        MembershipAction::Send { to, probe }
    }

    /// What the receiver should hear first: that it is not believed alive.
    fn doubt_about(&self, node: &NodeId) -> Option<MemberUpdate> {
        let member = self.members.get(node)?;
        if member.health == Health::Alive {
            return None;
        }
        Some(MemberUpdate {
            node: node.clone(),
            address: String::new(),
            incarnation: member.incarnation,
            health: member.health,
        })
    }

    fn take_sequence(&mut self) -> u64 {
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.next_sequence
    }
}
