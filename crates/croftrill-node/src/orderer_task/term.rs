//! A term: the time during which a node holds the orderer's lease.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::candidacy::{should_hand_over, Candidate};
use croftrill_scheduler::crash_ledger::LifeProof;
use croftrill_scheduler::hand_over::Resignation;
use croftrill_scheduler::lease::{OrdererLease, Record};
use croftrill_scheduler::orderer::{Orderer, OrdererAction, OrdererConfig};
use croftrill_scheduler::placement::PlacementConfig;
use croftrill_scheduler::replica::{Order, OrderOutcome, ReplicaId};
use croftrill_scheduler::replica_ledger::LedgerConfig;
use croftrill_scheduler::replica_table::{AnsweredCall, ChangedReplicas, Placement, TableVersion};
use croftrill_scheduler::shard::{OrderScope, Shard};
use croftrill_scheduler::time::Moment;
use croftrill_scheduler::unanswered_orders::OthersOrders;
use nanoserde::SerBin;
use tokio::sync::{broadcast, mpsc, oneshot};
use tokio::task::JoinSet;

use super::acquisition::{min_order_gap, record_last_orderer, was_handed_over_recently, Acquired};
use super::decision_log::{log_decision, order_kind, outcome_name};
use super::holder_checks;
use super::limited_calls::{reserve_call, ControlRates, ControlReservation};
use super::loads::ShardLoads;
use super::{OrdererInput, OrdererMessage, Subscription};
use crate::crash_reports;
use crate::directory::relay::WatchedSpan;
use crate::load_updates;
use crate::membership::{MemberEntry, Members};
use crate::metrics::Metrics;
use crate::node::{Lifecycle, Node};
use crate::peer::{Audience, FromOrderer, RelayedResignation, ToOrderer, WirePlacement, WireResignation};
use crate::ports::{
    EngineAddress, EngineAnswer, EngineControl, FencedOrder, KeyValueStore, Platform, RecordReader,
    StoreError,
};
use crate::quota::Credit;
use crate::replica_path;
use crate::replica_signals;
use crate::replica_versions;
use crate::store_era::same_era;
use crate::tree;

/// Time after the decision on an order after which it is not sent any more: shorter than the
/// lease's margin, and longer than a busy node takes to start a task.
const MAX_ORDER_DELAY: Duration = Duration::from_millis(100);

/// Maximum wait of a report request for its reservation at a replica with a limit: the orderer
/// dates the report by its request, so the replica must receive the request soon.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(200);

/// Minimum age of a term at which its shard may be handed over. Before, nodes that start
/// together may not be listed yet, or may not know of each other's terms.
const MIN_TERM: Duration = Duration::from_secs(3);
/// Interval at which the full list of nodes is checked for stronger ones.
const HAND_OVER_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the orderer reads the loads that this node knows; it reconsiders the
/// number of holders at the same interval.
const LOADS_INTERVAL: Duration = Duration::from_millis(250);

/// Number of changes by which a slow subscriber may lag before it must subscribe anew.
const CHANGE_BACKLOG: usize = 128;

/// The state of a node while it holds the lease.
pub(super) struct Term<P: Platform> {
    node: Rc<Node<P>>,
    shard: Shard,
    lease: OrdererLease,
    orderer: Orderer,
    changes: broadcast::Sender<OrdererMessage>,
    /// The loads that it publishes.
    loads: ShardLoads,
    /// All placements, encoded; `None` if they changed since they were last encoded.
    snapshot: Option<Vec<Bytes>>,
    last_renewal_at: Moment,
    last_alive_at: Moment,
    is_renewing: bool,
    entry: MemberEntry,
    is_recording: bool,
    /// True if the list of replicas, their state or the configuration changed since the last
    /// plan.
    directory_changed: bool,
    /// Version of the replica table that the orderer has applied.
    applied_version: TableVersion,
    /// Fencing token and record under which this term may order, retained after the lease ends.
    authority: Option<(u64, Record)>,
    /// Orders in flight. They are aborted at the end of the term, as none may be sent after it.
    orders: JoinSet<()>,
    /// Rate limits of calls to replicas with a limit.
    rates: ControlRates,
    /// Time of the next check for stronger nodes.
    next_hand_over_check: Moment,
    /// Time of the next update of the orderer's loads.
    next_loads_update: Moment,
}

impl<P: Platform> Term<P> {
    pub(super) fn begin(node: Rc<Node<P>>, shard: Shard, acquired: Acquired, entry: MemberEntry) -> Self {
        let configuration = node.configuration().unwrap_or_default();
        let now = node.clock.now();
        let mut config = orderer_config(&node, shard);
        config.others_orders = acquired.has_predecessor.then(|| others_orders(&node));
        let mut orderer = Orderer::new(config, configuration, now);
        if let Some(received) = &acquired.inherited {
            orderer.inherit(received);
        }
        if acquired.lease.record().is_some() {
            orderer.continue_own_term(now);
        }
        let (changes, _) = broadcast::channel(CHANGE_BACKLOG);
        let mut term = Term {
            node,
            shard,
            lease: acquired.lease,
            orderer,
            changes,
            loads: ShardLoads::new(now),
            snapshot: None,
            last_renewal_at: now,
            last_alive_at: now,
            is_renewing: false,
            entry,
            is_recording: false,
            directory_changed: false,
            applied_version: TableVersion::default(),
            authority: None,
            orders: JoinSet::new(),
            rates: ControlRates::default(),
            next_hand_over_check: now + MIN_TERM,
            next_loads_update: now,
        };
        term.update_authority(now);
        term.sync_directory();
        term.node.record_term_start();
        term
    }

    pub(super) async fn serve(&mut self, inbox: &mut mpsc::Receiver<OrdererInput>) {
        let plan_interval = self.node.settings.pace.plan_interval;
        let mut tick = tokio::time::interval(plan_interval);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = inbox.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
                _ = tick.tick() => {}
            }
            while let Ok(input) = inbox.try_recv() {
                self.handle_input(input);
            }
            if !self.should_continue() {
                return;
            }
            self.step();
        }
    }

    /// Returns whether the term continues: the lease is valid, the node is not stopping, and the
    /// shard is not handed over to a node that reaches more of its replicas, or a stronger one.
    pub(super) fn should_continue(&mut self) -> bool {
        let now = self.node.clock.now();
        if self.node.lifecycle() == Lifecycle::Stopping {
            return false;
        }
        let present = self.node.platform.store().era().point(0);
        if self
            .lease
            .token(now)
            .is_some_and(|token| !same_era(token, present))
        {
            // The store's present state may be older than this lease, or include later leases.
            tracing::warn!(target: "orderer", event = "lease is from an earlier era of the store");
            self.lease.clear();
        }
        if self.lease.expire(now) {
            tracing::warn!(target: "orderer", event = "lease expired before it was renewed");
        }
        self.lease.lease().is_some() && !self.hand_over_if_cut_off() && !self.hand_over_if_due(now)
    }

    /// Returns whether the shard should be handed over because this node lost its paths to most of
    /// the replicas, which other nodes reach.
    fn hand_over_if_cut_off(&self) -> bool {
        let is_cut_off = replica_path::is_cut_off(&self.node, self.shard);
        if is_cut_off {
            tracing::warn!(target: "orderer", event = "handing over: no path to the replicas, which others reach",
                shard = self.shard.index());
        }
        is_cut_off
    }

    /// Checks from time to time for a node with much more processor time. Returns true if the
    /// shard should be handed over to one.
    fn hand_over_if_due(&mut self, now: Moment) -> bool {
        if now < self.next_hand_over_check || self.is_renewing {
            return false;
        }
        self.next_hand_over_check = now + HAND_OVER_CHECK_INTERVAL;
        let node = &self.node;
        if was_handed_over_recently(node, self.shard) {
            return false;
        }
        let state = node.state.borrow();
        if !should_hand_over(self.entry.candidate(), idle_nodes(&state.members)) {
            return false;
        }
        tracing::info!(target: "orderer", event = "handing over to a stronger node",
            shard = self.shard.index(), processor_millicores = self.entry.processor_millicores);
        node.handed_over_at[self.shard.index()].set(Some(now));
        true
    }

    pub(super) fn step(&mut self) {
        let now = self.node.clock.now();
        if std::mem::take(&mut self.directory_changed) {
            let node = self.node.clone();
            node.step_times.time("sync", || self.sync_directory());
        }
        self.update_loads_if_due(now);
        self.renew_if_due(now);
        self.record_if_due(now);
        let reachable = self.node.state.borrow().linked;
        self.orderer.set_reachable(reachable);
        let out_of_reach = self.node.state.borrow().replicas.out_of_reach(now);
        self.orderer.set_out_of_reach(out_of_reach);
        for replica in self.rates.take_due(now) {
            self.orderer.pause_calls(&replica, false);
        }
        let may_order = self.lease.order_token(now).is_some();
        let orderer = &mut self.orderer;
        let actions = self.node.step_times.time("plan", || orderer.plan(may_order, now));
        for action in actions {
            self.execute(action);
        }
        for decision in self.orderer.take_decisions() {
            log_decision(&self.node.metrics, &decision);
        }
        let node = self.node.clone();
        node.step_times.time("publish", || self.publish(now));
        self.loads.publish_due(&node, now);
    }

    pub(super) fn renew_if_due(&mut self, now: Moment) {
        if self.is_renewing || now.since(self.last_renewal_at) < self.lease.renewal_interval() {
            return;
        }
        let Some(lease) = self.lease.lease() else { return };
        self.is_renewing = true;
        self.last_renewal_at = now;
        let (node, shard) = (self.node.clone(), self.shard);
        tokio::task::spawn_local(async move {
            let result = node.store().renew_lease(lease).await;
            let inbox = node.orderer_inbox(shard);
            let _ = inbox
                .send(OrdererInput::Renewed {
                    requested_at: now,
                    result,
                })
                .await;
        });
    }

    /// Records this machine in the store before its first order, and again once the record is
    /// settled.
    pub(super) fn record_if_due(&mut self, now: Moment) {
        let missing = self.lease.missing_record(now).filter(|_| !self.is_recording);
        let (Some(kind), Some(fencing_token)) = (missing, self.lease.token(now)) else {
            return;
        };
        self.is_recording = true;
        let (node, shard, entry) = (self.node.clone(), self.shard, self.entry.clone());
        tokio::task::spawn_local(async move {
            let record = record_last_orderer(&node, shard, &entry, fencing_token, kind).await;
            let input = OrdererInput::Recorded {
                fencing_token,
                record,
            };
            let _ = node.orderer_inbox(shard).send(input).await;
        });
    }

    pub(super) fn handle_recorded(&mut self, fencing_token: u64, record: Option<Record>) {
        self.is_recording = false;
        tracing::info!(target: "orderer", event = "recorded as the last orderer", fencing_token, ?record);
        let is_ours = self.lease.token(self.node.clock.now()) == Some(fencing_token);
        if let Some(record) = record.filter(|_| is_ours) {
            self.lease.set_record(record);
            self.update_authority(self.node.clock.now());
        }
    }

    /// Stores the token and record that a resignation must name, as the lease may have ended by
    /// then.
    fn update_authority(&mut self, now: Moment) {
        let token = self.lease.token(now);
        self.authority = token.zip(self.lease.record()).or(self.authority);
    }

    pub(super) fn execute(&mut self, action: OrdererAction) {
        match action {
            OrdererAction::Order {
                replica,
                order,
                expected_sequence,
            } => {
                self.record_call(&replica);
                self.send_order(replica, order, expected_sequence);
            }
            OrdererAction::RequestReport { replica, is_awaited } => {
                self.record_call(&replica);
                self.request_report(replica, is_awaited);
            }
        }
    }

    fn record_call(&mut self, replica: &ReplicaId) {
        self.rates.record_call(&self.node, replica);
        self.orderer.pause_calls(replica, self.rates.is_paused(replica));
    }

    pub(super) fn send_order(&mut self, replica: ReplicaId, order: Order, expected_sequence: u64) {
        let now = self.node.clock.now();
        let target = self.address(&replica);
        let token = self.lease.order_token(now);
        let (Some(target), Some(fencing_token)) = (target, token) else {
            // The order was not sent; like a conflict, this changed nothing at the replica.
            self.orderer
                .record_order_outcome(&replica, OrderOutcome::Conflict, now);
            return;
        };
        let fenced = FencedOrder {
            order,
            holder: self.node.settings.identity.name.clone(),
            fencing_token,
            expected_sequence,
        };
        let started_ms = self.orderer.started_ms(&replica);
        let room = self.orderer.room_use(&replica).unwrap_or_default();
        let (node, shard) = (self.node.clone(), self.shard);
        while self.orders.try_join_next().is_some() {}
        self.orders.spawn_local(async move {
            let reservation = reserve_call(&node, &target.replica, "order", MAX_ORDER_DELAY / 2, true).await;
            let sent_at = node.clock.now();
            // The lease may have expired while the process was suspended.
            let is_fresh = sent_at.since(now) <= MAX_ORDER_DELAY;
            let answered = match reservation {
                ControlReservation::Granted(credit) if is_fresh => {
                    credit.iter().for_each(Credit::spend);
                    node.platform.engine().order(&target, &fenced).await
                }
                _ => EngineAnswer::without_signals(OrderOutcome::Conflict),
            };
            let outcome = answered.answer;
            let call = AnsweredCall {
                started_ms,
                sent_at,
                answered_at: node.clock.now(),
            };
            replica_signals::apply(&node, &target.replica, call, answered.signals, "order");
            tracing::info!(target: "order", replica = &*target.replica, order = ?fenced.order,
                sequence = fenced.expected_sequence, fencing_token = fenced.fencing_token, ?outcome,
                room_before = %room);
            Metrics::count(
                &node.metrics.orders,
                order_kind(&fenced.order),
                outcome_name(outcome),
            );
            let input = OrdererInput::OrderAnswered {
                replica: target.replica,
                started_ms,
                outcome,
            };
            let _ = node.orderer_inbox(shard).send(input).await;
        });
    }

    pub(super) fn request_report(&mut self, replica: ReplicaId, is_awaited: bool) {
        let requested_at = self.node.clock.now();
        let Some(target) = self.address(&replica) else {
            self.orderer
                .record_report(&replica, None, requested_at, requested_at);
            return;
        };
        let started_ms = self.orderer.started_ms(&replica);
        let (node, shard) = (self.node.clone(), self.shard);
        tokio::task::spawn_local(async move {
            let reservation = reserve_call(&node, &replica, "report", MAX_REPORT_DELAY, is_awaited).await;
            let sent_at = node.clock.now();
            let answered = match reservation {
                ControlReservation::Granted(credit) => {
                    credit.iter().for_each(Credit::spend);
                    node.platform.engine().report(&target).await
                }
                ControlReservation::Refused => EngineAnswer::without_signals(None),
            };
            let call = AnsweredCall {
                started_ms,
                sent_at,
                answered_at: node.clock.now(),
            };
            replica_signals::apply(&node, &replica, call, answered.signals, "report");
            let report = answered.answer;
            if let Some(started_ms) = report.as_ref().and_then(|report| report.started_ms) {
                crash_reports::withdraw_end(&node, &replica, Some(started_ms), LifeProof::Start, sent_at);
            }
            let outcome = if report.is_some() { "answered" } else { "no report" };
            Metrics::count(&node.metrics.reports, "report", outcome);
            let input = OrdererInput::Reported {
                replica,
                report,
                requested_at,
            };
            let _ = node.orderer_inbox(shard).send(input).await;
        });
    }

    pub(super) fn address(&self, replica: &ReplicaId) -> Option<EngineAddress> {
        let state = self.node.state.borrow();
        let entry = state.replicas.get(replica)?;
        let address = entry.listing.address.parse().ok()?;
        Some(EngineAddress {
            replica: replica.clone(),
            address,
        })
    }

    pub(super) fn handle_input(&mut self, input: OrdererInput) {
        let now = self.node.clock.now();
        match input {
            OrdererInput::FromNode(message) => self.handle_message(message, now),
            OrdererInput::Loads(samples) => {
                let (node, orderer) = (&self.node, &mut self.orderer);
                self.loads.apply(node, self.shard, orderer, &samples);
            }
            OrdererInput::DirectoryChanged => self.directory_changed = true,
            OrdererInput::Watched(span) => self.publish_changes(span, now),
            OrdererInput::Subscribe(reply) => {
                let node = self.node.clone();
                node.step_times.time("snapshot", || self.subscribe(reply, now));
            }
            OrdererInput::OrderAnswered {
                replica,
                started_ms,
                outcome,
            } => {
                if outcome == OrderOutcome::Fenced {
                    tracing::warn!(target: "orderer", event = "replica has seen a newer fencing token",
                        replica = &*replica);
                    self.lease.clear();
                }
                self.orderer
                    .record_order_outcome_from(&replica, started_ms, outcome, now);
            }
            OrdererInput::Reported {
                replica,
                report,
                requested_at,
            } => {
                self.orderer
                    .record_report(&replica, report.as_ref(), requested_at, now);
            }
            OrdererInput::Recorded {
                fencing_token,
                record,
            } => self.handle_recorded(fencing_token, record),
            OrdererInput::Renewed { requested_at, result } => self.handle_renewal(requested_at, &result),
        }
    }

    pub(super) fn handle_renewal(&mut self, requested_at: Moment, result: &Result<(), StoreError>) {
        self.is_renewing = false;
        match result {
            Ok(()) => self.lease.record_renewal(requested_at),
            Err(StoreError::NoSuchLease) => {
                tracing::warn!(target: "orderer", event = "lease has ended at the store");
                self.lease.clear();
            }
            Err(error) => tracing::warn!(target: "orderer", event = "renewal failed", %error),
        }
    }

    pub(super) fn handle_message(&mut self, message: ToOrderer, now: Moment) {
        match message {
            ToOrderer::Demand(items) => {
                for item in items {
                    let key = item.model.to_key();
                    self.orderer.count_demand(&key, &item.sample(), now);
                }
            }
            // These only occur as a link's first message.
            ToOrderer::Listen(_)
            | ToOrderer::Follow(_)
            | ToOrderer::ListenToKeeper(_)
            | ToOrderer::Connect(_)
            | ToOrderer::StreamVersion(_) => {}
            // These are for relays.
            ToOrderer::AddInterests(_) | ToOrderer::RemoveInterests(_) => {}
            // These are handled by the link.
            ToOrderer::Replay(_)
            | ToOrderer::Crashes(_)
            | ToOrderer::CrashParts(_)
            | ToOrderer::Loads(_)
            | ToOrderer::Configuration(_) => {}
            ToOrderer::Waiting(model) => {
                let key = model.to_key();
                if self.orderer.is_held(&key) {
                    holder_checks::check(&self.node, &ToOrderer::Waiting(model));
                }
                self.orderer.mark_waiting(&key, now);
            }
            ToOrderer::WaitingAt(wait) => {
                let key = wait.model.to_key();
                let version = wait.version.as_str().into();
                let replicas = replica_versions::ready_replicas(&self.node, &key.service, &version);
                if self.orderer.is_held_by(&key.model, &replicas) {
                    holder_checks::check(&self.node, &ToOrderer::WaitingAt(wait));
                }
                self.orderer.mark_waiting_at(&key, &version, replicas, now);
            }
        }
    }

    pub(super) fn subscribe(&mut self, reply: oneshot::Sender<Subscription>, now: Moment) {
        let orderer = &self.orderer;
        let snapshot = self
            .snapshot
            .get_or_insert_with(|| FromOrderer::encode_placements(&orderer.all_placements(now), now));
        let subscription = Subscription {
            snapshot: snapshot.clone(),
            changes: self.changes.subscribe(),
            loads: self.loads.subscribers(),
        };
        let _ = reply.send(subscription);
    }

    /// Publishes changes of the store to all nodes.
    pub(super) fn publish_changes(&mut self, span: WatchedSpan, now: Moment) {
        let node = self.node.clone();
        let configuration_key = node.platform.records().configuration_key();
        if let Some(versions) = replica_versions::message_for_update(&node, &span.update) {
            self.send(Audience::Exchanging, versions);
        }
        for (audience, part) in span.into_messages(configuration_key, now) {
            self.send(audience, FromOrderer::Directory(part).encode());
        }
        self.last_alive_at = now;
    }

    /// Applies changes of the node's replica table and configuration to the orderer.
    pub(super) fn sync_directory(&mut self) {
        let now = self.node.clock.now();
        let state = self.node.state.borrow();
        if let Some(configuration) = &state.configuration {
            self.orderer.configure(configuration.clone());
        }
        let applied_version = std::mem::replace(&mut self.applied_version, state.replicas.version());
        match state.replicas.changed_since(applied_version) {
            ChangedReplicas::Everything => {
                self.orderer.retain(|id| state.replicas.get(id).is_some());
                for entry in state.replicas.iter() {
                    self.orderer.apply_entry(entry, now);
                }
            }
            ChangedReplicas::These(ids) => {
                for id in ids {
                    match state.replicas.get(&id) {
                        Some(entry) => self.orderer.apply_entry(entry, now),
                        None => self.orderer.remove_replica(&id),
                    }
                }
            }
        }
    }

    /// Records the loads that this node knows at the orderer. Those of other shards' replicas
    /// are included, as models are placed on replicas of all shards.
    fn update_loads_if_due(&mut self, now: Moment) {
        if now < self.next_loads_update || !load_updates::is_active(&self.node) {
            return;
        }
        self.next_loads_update = now + LOADS_INTERVAL;
        let state = self.node.state.borrow();
        for entry in state.replicas.iter() {
            if let Some((load, at)) = entry.capacity.newest() {
                self.orderer.record_load(&entry.listing.id, load, at);
            }
        }
    }

    pub(super) fn publish(&mut self, now: Moment) {
        let placements = self.orderer.take_changes(now);
        if !placements.is_empty() {
            self.snapshot = None;
            self.publish_placements(&placements, now);
            let mut state = self.node.state.borrow_mut();
            for placement in placements {
                state.replicas.apply_placement(placement);
            }
            drop(state);
            self.node.view_changed.notify_waiters();
            self.last_alive_at = now;
        } else if now.since(self.last_alive_at) >= self.node.settings.pace.peer_heartbeat {
            self.send(Audience::All, FromOrderer::Alive.encode());
            self.last_alive_at = now;
        }
    }

    /// Publishes placements to all nodes.
    fn publish_placements(&self, placements: &[Placement], now: Moment) {
        let wire = placements.iter();
        let wire = wire.map(|placement| WirePlacement::from_placement(placement, now));
        for part in WirePlacement::in_chunks(wire.collect()) {
            let message = FromOrderer::Placements(part.clone().into()).encode();
            tree::publish_placements(&self.node, &part, &message);
            self.send(Audience::All, message);
        }
    }

    fn send(&self, audience: Audience, frame: Bytes) {
        // Sending fails only while there are no subscribers.
        let _ = self.changes.send(OrdererMessage { audience, frame });
    }

    /// Publishes what a successor must know to all nodes. No order is sent after this.
    fn resign(&self) {
        let Some((fencing_token, record)) = self.authority else {
            return;
        };
        let now = self.node.clock.now();
        let resignation = Resignation {
            fencing_token,
            record_revision: record.revision,
            hand_over: self.orderer.hand_over(now),
        };
        let wire = WireResignation::from_resignation(&resignation);
        let peer = self.node.settings.identity.peer;
        let relayed = RelayedResignation {
            shard: self.shard.index() as u8,
            orderer: peer.to_string(),
            resignation: wire.clone(),
        };
        let to_followers = FromOrderer::RelayedResignation(relayed).serialize_bin();
        tree::publish_message(&self.node, Bytes::from(to_followers));
        let message = FromOrderer::Resigned(wire);
        self.send(Audience::All, message.encode());
        tracing::info!(target: "orderer", event = "resigned", fencing_token, record = record.revision,
            holds = resignation.hand_over.holds.len());
        self.node.record_resignation(self.shard, peer, resignation);
    }

    /// Ends the term: resigns, and releases the lease if it is still held.
    pub(super) async fn end(mut self) {
        self.node.record_term_end();
        self.node.state.borrow_mut().replicas.orderer_lost(self.shard);
        let lease = self.lease.lease();
        self.lease.clear();
        self.orders.abort_all();
        self.resign();
        tracing::info!(target: "orderer", event = "term ended", released = lease.is_some());
        if let Some(lease) = lease {
            let _ = self.node.store().end_lease(lease).await;
        }
    }
}

/// Returns the nodes that are not orderers.
fn idle_nodes(members: &Members) -> impl Iterator<Item = Candidate<'_>> {
    let is_idle = |node: &&MemberEntry| !members.orderers().any(|(_, orderer)| orderer.name == node.name);
    members.nodes().filter(is_idle).map(MemberEntry::candidate)
}

/// Returns what this node knows of the orders of former terms.
fn others_orders<P: Platform>(node: &Node<P>) -> OthersOrders {
    let known_since = node.state.borrow().tree.all_known_since();
    let known_for = known_since.map_or(Duration::ZERO, |since| node.clock.now().since(since));
    OthersOrders::before(node.clock.unix_time(), known_for)
}

pub(super) fn orderer_config<P: Platform>(node: &Node<P>, shard: Shard) -> OrdererConfig {
    OrdererConfig {
        scope: OrderScope::One(shard),
        placement: PlacementConfig::default(),
        ledger: LedgerConfig::default(),
        order_gap: min_order_gap(node),
        ceiling_window: node.settings.bounds.ceiling_window,
        withdraw_notice: Duration::from_millis(30),
        adapter_load: Duration::from_millis(30),
        unload: Duration::from_millis(200),
        others_orders: None,
        callers_compete: node.settings.callers_compete,
    }
}
