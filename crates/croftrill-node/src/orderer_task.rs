//! Holds the orderer's lease when it is free, and carries out the orderer's plans.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::lease::{LeaseConfig, OrdererLease};
use croftrill_scheduler::orderer::{Decision, Orderer, OrdererAction, OrdererConfig};
use croftrill_scheduler::placement::PlacementConfig;
use croftrill_scheduler::replica::{Order, OrderOutcome, ReplicaId, ReplicaReport};
use croftrill_scheduler::replica_ledger::LedgerConfig;
use croftrill_scheduler::replica_table::Placement;
use croftrill_scheduler::time::Moment;
use nanoserde::SerBin;
use tokio::sync::{broadcast, mpsc, oneshot};
use tokio::time::sleep;

use crate::membership::{own_entry, read_entry, MemberEntry, LAST_ORDERER_KEY, ORDERER_KEY, ORDERER_PREFIX};
use crate::metrics::Metrics;
use crate::node::{Lifecycle, Node};
use crate::peer::{FromOrderer, ToOrderer, WirePlacement};
use crate::ports::{
    ConditionalPut, EngineAddress, EngineControl, Expectation, FencedOrder, KeyValueStore, Platform,
    PutOutcome, StoreError, Write,
};

/// An event for the orderer task.
#[derive(Debug)]
pub enum OrdererInput {
    /// A node's message.
    FromNode(ToOrderer),
    /// The list of replicas or the configuration changed.
    DirectoryChanged,
    /// A node wants all placements, then every change.
    Subscribe(oneshot::Sender<Subscription>),
    /// An order was answered.
    OrderAnswered {
        /// The replica.
        replica: ReplicaId,
        /// The order.
        order: Order,
        /// Its answer.
        outcome: OrderOutcome,
    },
    /// A report came, or did not.
    Reported {
        /// The replica.
        replica: ReplicaId,
        /// What it reported.
        report: Option<ReplicaReport>,
        /// When it was asked.
        asked_at: Moment,
    },
    /// The store was asked to record this machine as the last orderer.
    Recorded {
        /// Token of the lease under which it was asked.
        fencing_token: u64,
        /// Whether it did.
        done: bool,
    },
    /// A renewal of the lease ended.
    Renewed {
        /// When it was sent.
        asked_at: Moment,
        /// Its result.
        result: Result<(), StoreError>,
    },
}

/// What a node gets that listens to the orderer: encoded messages, shared by all links.
#[derive(Debug)]
pub struct Subscription {
    /// Everything that is known now.
    pub first: Bytes,
    /// What follows.
    pub changes: broadcast::Receiver<Bytes>,
}

/// Changes that a slow listener may fall behind before it must begin anew.
const CHANGE_BACKLOG: usize = 128;
/// Added to the least gap between two orderers, for clocks that run unevenly.
const GAP_MARGIN: Duration = Duration::from_millis(250);
/// Longest wait for the orderer's keys.
const READ_LIMIT: Duration = Duration::from_millis(900);
/// Stands for a key without a lease.
const NO_LEASE: u64 = 0;
/// Part of the lease given up for imprecise timers.
const LEASE_MARGIN: Duration = Duration::from_millis(150);
/// Pause of a node that is not first in line for the lease, for each place.
const CANDIDACY_STEP: Duration = Duration::from_millis(70);

/// Runs the orderer's part of a node until it stops.
pub async fn run<P: Platform>(node: Rc<Node<P>>, mut inbox: mpsc::Receiver<OrdererInput>, incarnation: u64) {
    let entry = own_entry(&node, incarnation);
    loop {
        if node.lifecycle() == Lifecycle::Stopping {
            return;
        }
        if let Some(lease) = become_orderer(&node, &entry).await {
            let mut term = Term::begin(node.clone(), lease, entry.clone());
            term.serve(&mut inbox).await;
            term.end().await;
        }
        drain(&mut inbox);
        let wait = sleep(Duration::from_millis(150));
        tokio::select! {
            () = wait => {}
            () = node.view_changed.notified() => {}
        }
    }
}

/// Events that reach a node that does not give orders concern nobody.
fn drain(inbox: &mut mpsc::Receiver<OrdererInput>) {
    while inbox.try_recv().is_ok() {}
}

/// What the store holds about the orderer.
#[derive(Debug, Default)]
struct OrdererKeys {
    present: Option<(MemberEntry, u64)>,
    last: Option<(MemberEntry, u64)>,
}

/// Takes the lease if nobody else holds it.
///
/// Its validity, and whether this machine may order at once, is judged by [`OrdererLease`].
async fn become_orderer<P: Platform>(node: &Node<P>, entry: &MemberEntry) -> Option<OrdererLease> {
    if !may_try(node, entry) {
        return None;
    }
    sleep(CANDIDACY_STEP * place_in_line(node, &entry.name)).await;
    if !may_try(node, entry) {
        return None;
    }
    let keys = read_keys(node).await?;
    if keys
        .present
        .as_ref()
        .is_some_and(|(holder, _)| holder.name != entry.name)
    {
        return None;
    }
    let pace = &node.settings.pace;
    let time_to_live = pace.orderer_lease.max(node.settings.bounds.least_lease);
    let asked_at = node.clock.now();
    let store = node.platform.store();
    let lease = store.grant_lease(time_to_live).await.ok()?;
    let Some(fencing_token) = claim_key(node, entry, lease, &keys).await else {
        let _ = store.end_lease(lease).await;
        return None;
    };
    let continues = keys.last.is_some_and(|(last, _)| last.name == entry.name);
    let mut held = OrdererLease::new(LeaseConfig {
        time_to_live,
        margin: LEASE_MARGIN,
        renew_every: pace.orderer_renewal,
        quiet_period: node.settings.bounds.order_gap + GAP_MARGIN,
    });
    held.acquired(lease, fencing_token, asked_at, node.clock.now(), continues);
    tracing::info!(target: "orderer", event = "lease acquired", fencing_token, lease, continues);
    Some(held)
}

/// True if this node should try: it takes requests, and no other node is known to hold the lease.
fn may_try<P: Platform>(node: &Node<P>, entry: &MemberEntry) -> bool {
    let state = node.state.borrow();
    let free = state
        .members
        .orderer()
        .is_none_or(|holder| holder.name == entry.name);
    state.lifecycle == Lifecycle::Ready && free
}

/// This node's place in line: the last orderer first, then the live nodes in order.
fn place_in_line<P: Platform>(node: &Node<P>, name: &str) -> u32 {
    let state = node.state.borrow();
    if state.members.last_orderer().is_some_and(|last| last.name == name) {
        return 0;
    }
    1 + state
        .members
        .nodes()
        .take_while(|member| member.name != name)
        .count() as u32
}

async fn read_keys<P: Platform>(node: &Node<P>) -> Option<OrdererKeys> {
    let snapshot = node
        .platform
        .store()
        .range(ORDERER_PREFIX, READ_LIMIT)
        .await
        .ok()?;
    let mut keys = OrdererKeys::default();
    for item in &snapshot.items {
        let entry = read_entry(item).map(|entry| (entry, item.revision));
        match item.key.as_str() {
            ORDERER_KEY => keys.present = entry,
            LAST_ORDERER_KEY => keys.last = entry,
            _ => {}
        }
    }
    Some(keys)
}

/// Writes the orderer's key, if the keys still stand as they were read; answers
/// the revision, which is the fencing token.
async fn claim_key<P: Platform>(
    node: &Node<P>,
    entry: &MemberEntry,
    lease: u64,
    keys: &OrdererKeys,
) -> Option<u64> {
    let present = revision_of(&keys.present);
    let put = ConditionalPut {
        conditions: vec![
            expect(ORDERER_KEY, present),
            expect(LAST_ORDERER_KEY, revision_of(&keys.last)),
        ],
        writes: vec![write_entry(ORDERER_KEY, entry, lease)],
    };
    match node.platform.store().put(put).await {
        Ok(PutOutcome::Done { revision }) => Some(revision),
        Err(StoreError::NoAnswer) => {
            // It may have been done: the key then carries this very process, at a later revision.
            let (holder, revision) = read_keys(node).await?.present?;
            (holder == *entry && revision > present).then_some(revision)
        }
        _ => None,
    }
}

/// Records this machine as the last that could order, if it still holds the key
/// at the revision `fencing_token`.
async fn record_last<P: Platform>(node: &Node<P>, entry: &MemberEntry, fencing_token: u64) -> bool {
    let put = ConditionalPut {
        conditions: vec![expect(ORDERER_KEY, fencing_token)],
        writes: vec![write_entry(LAST_ORDERER_KEY, entry, NO_LEASE)],
    };
    matches!(node.platform.store().put(put).await, Ok(PutOutcome::Done { .. }))
}

fn revision_of(read: &Option<(MemberEntry, u64)>) -> u64 {
    read.as_ref().map_or(0, |(_, revision)| *revision)
}

fn expect(key: &str, revision: u64) -> Expectation {
    Expectation {
        key: key.into(),
        revision,
    }
}

fn write_entry(key: &str, entry: &MemberEntry, lease: u64) -> Write {
    Write {
        key: key.into(),
        value: Bytes::from(SerBin::serialize_bin(entry)),
        lease,
    }
}

/// The time during which a node holds the lease.
struct Term<P: Platform> {
    node: Rc<Node<P>>,
    lease: OrdererLease,
    orderer: Orderer,
    changes: broadcast::Sender<Bytes>,
    /// All placements, encoded, as long as nothing changed.
    snapshot: Option<Bytes>,
    last_renewal: Moment,
    last_alive: Moment,
    renewing: bool,
    entry: MemberEntry,
    recording: bool,
}

impl<P: Platform> Term<P> {
    fn begin(node: Rc<Node<P>>, lease: OrdererLease, entry: MemberEntry) -> Self {
        let configuration = node.configuration().unwrap_or_default();
        let orderer = Orderer::new(orderer_config(&node), configuration);
        let (changes, _) = broadcast::channel(CHANGE_BACKLOG);
        let now = node.clock.now();
        let mut term = Term {
            node,
            lease,
            orderer,
            changes,
            snapshot: None,
            last_renewal: now,
            last_alive: now,
            renewing: false,
            entry,
            recording: false,
        };
        term.sync_directory();
        term.node.metrics.is_orderer.set(1);
        term
    }

    async fn serve(&mut self, inbox: &mut mpsc::Receiver<OrdererInput>) {
        let plan_every = self.node.settings.pace.plan_every;
        let mut tick = tokio::time::interval(plan_every);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = inbox.recv() => match input {
                    Some(input) => self.take_input(input),
                    None => return,
                },
                _ = tick.tick() => {}
            }
            while let Ok(input) = inbox.try_recv() {
                self.take_input(input);
            }
            if !self.continues() {
                return;
            }
            self.act();
        }
    }

    /// True while the lease is valid and the node does not stop.
    fn continues(&mut self) -> bool {
        let now = self.node.clock.now();
        if self.node.lifecycle() == Lifecycle::Stopping {
            return false;
        }
        if self.lease.expire(now) {
            tracing::warn!(target: "orderer", event = "lease expired without renewal");
        }
        self.lease.lease().is_some()
    }

    fn act(&mut self) {
        let now = self.node.clock.now();
        self.renew_if_due(now);
        self.record_if_due(now);
        let may_order = self.lease.order_token(now).is_some();
        for action in self.orderer.plan(may_order, now) {
            self.carry_out(action);
        }
        for decision in self.orderer.take_decisions() {
            log_decision(&decision);
        }
        self.publish(now);
    }

    fn renew_if_due(&mut self, now: Moment) {
        if self.renewing || now.since(self.last_renewal) < self.lease.renew_every() {
            return;
        }
        let Some(lease) = self.lease.lease() else { return };
        self.renewing = true;
        self.last_renewal = now;
        let node = self.node.clone();
        tokio::task::spawn_local(async move {
            let result = node.platform.store().renew_lease(lease).await;
            let inbox = node.orderer_inbox();
            let _ = inbox
                .send(OrdererInput::Renewed {
                    asked_at: now,
                    result,
                })
                .await;
        });
    }

    /// Records this machine in the store before its first order.
    fn record_if_due(&mut self, now: Moment) {
        let token = self.lease.token(now).filter(|_| self.lease.needs_record(now));
        let Some(fencing_token) = token.filter(|_| !self.recording) else {
            return;
        };
        self.recording = true;
        let (node, entry) = (self.node.clone(), self.entry.clone());
        tokio::task::spawn_local(async move {
            let done = record_last(&node, &entry, fencing_token).await;
            let _ = node
                .orderer_inbox()
                .send(OrdererInput::Recorded { fencing_token, done })
                .await;
        });
    }

    fn take_record(&mut self, fencing_token: u64, done: bool) {
        self.recording = false;
        tracing::info!(target: "orderer", event = "recorded as the last orderer", fencing_token, done);
        if done && self.lease.token(self.node.clock.now()) == Some(fencing_token) {
            self.lease.recorded();
        }
    }

    fn carry_out(&mut self, action: OrdererAction) {
        match action {
            OrdererAction::Order {
                replica,
                order,
                expected_sequence,
            } => {
                self.send_order(replica, order, expected_sequence);
            }
            OrdererAction::Report { replica } => self.ask_report(replica),
        }
    }

    fn send_order(&mut self, replica: ReplicaId, order: Order, expected_sequence: u64) {
        let now = self.node.clock.now();
        let target = self.address(&replica);
        let token = self.lease.order_token(now);
        let (Some(target), Some(fencing_token)) = (target, token) else {
            // Not sent, so nothing happened.
            self.orderer.order_answered(&replica, OrderOutcome::Conflict, now);
            return;
        };
        let fenced = FencedOrder {
            order,
            holder: self.node.settings.identity.name.clone(),
            fencing_token,
            expected_sequence,
        };
        let node = self.node.clone();
        tokio::task::spawn_local(async move {
            let outcome = node.platform.engine().order(&target, &fenced).await;
            tracing::info!(target: "order", replica = &*target.replica, order = ?fenced.order,
                sequence = fenced.expected_sequence, fencing_token = fenced.fencing_token, ?outcome);
            Metrics::count(
                &node.metrics.orders,
                order_kind(&fenced.order),
                outcome_name(outcome),
            );
            let input = OrdererInput::OrderAnswered {
                replica: target.replica,
                order: fenced.order,
                outcome,
            };
            let _ = node.orderer_inbox().send(input).await;
        });
    }

    fn ask_report(&mut self, replica: ReplicaId) {
        let asked_at = self.node.clock.now();
        let Some(target) = self.address(&replica) else {
            self.orderer.reported(&replica, None, asked_at, asked_at);
            return;
        };
        let node = self.node.clone();
        tokio::task::spawn_local(async move {
            let report = node.platform.engine().report(&target).await;
            let input = OrdererInput::Reported {
                replica,
                report,
                asked_at,
            };
            let _ = node.orderer_inbox().send(input).await;
        });
    }

    fn address(&self, replica: &ReplicaId) -> Option<EngineAddress> {
        let state = self.node.state.borrow();
        let entry = state.replicas.get(replica)?;
        let address = entry.listing.address.parse().ok()?;
        Some(EngineAddress {
            replica: replica.clone(),
            address,
        })
    }

    fn take_input(&mut self, input: OrdererInput) {
        let now = self.node.clock.now();
        match input {
            OrdererInput::FromNode(message) => self.take_message(message, now),
            OrdererInput::DirectoryChanged => self.sync_directory(),
            OrdererInput::Subscribe(reply) => self.subscribe(reply, now),
            OrdererInput::OrderAnswered { replica, outcome, .. } => {
                if outcome == OrderOutcome::Fenced {
                    tracing::warn!(target: "orderer", event = "a newer token was seen", replica = &*replica);
                    self.lease.lost();
                }
                self.orderer.order_answered(&replica, outcome, now);
            }
            OrdererInput::Reported {
                replica,
                report,
                asked_at,
            } => {
                self.orderer.reported(&replica, report.as_ref(), asked_at, now);
            }
            OrdererInput::Recorded { fencing_token, done } => self.take_record(fencing_token, done),
            OrdererInput::Renewed { asked_at, result } => self.take_renewal(asked_at, &result),
        }
    }

    fn take_renewal(&mut self, asked_at: Moment, result: &Result<(), StoreError>) {
        self.renewing = false;
        match result {
            Ok(()) => self.lease.renewed(asked_at),
            Err(StoreError::NoSuchLease) => {
                tracing::warn!(target: "orderer", event = "lease is over at the store");
                self.lease.lost();
            }
            Err(error) => tracing::warn!(target: "orderer", event = "renewal failed", %error),
        }
    }

    fn take_message(&mut self, message: ToOrderer, now: Moment) {
        match message {
            ToOrderer::Demand(items) => {
                for item in items {
                    let key = item.model.to_key();
                    self.orderer
                        .count_demand(&key, f64::from(item.requests), item.tokens as f64, now);
                }
            }
            ToOrderer::Waiting(model) => self.orderer.mark_waiting(&model.to_key(), now),
        }
    }

    fn subscribe(&mut self, reply: oneshot::Sender<Subscription>, now: Moment) {
        let orderer = &self.orderer;
        let first = self
            .snapshot
            .get_or_insert_with(|| encode(&orderer.all_placements(now), now));
        let subscription = Subscription {
            first: first.clone(),
            changes: self.changes.subscribe(),
        };
        let _ = reply.send(subscription);
    }

    /// Brings the orderer's list of replicas in line with the node's.
    fn sync_directory(&mut self) {
        let now = self.node.clock.now();
        let state = self.node.state.borrow();
        if let Some(configuration) = &state.configuration {
            self.orderer.configure(configuration.clone());
        }
        self.orderer.retain(|id| state.replicas.get(id).is_some());
        for entry in state.replicas.iter() {
            self.orderer.listed(&entry.listing, now);
        }
    }

    fn publish(&mut self, now: Moment) {
        let placements = self.orderer.take_changes(now);
        if !placements.is_empty() {
            self.snapshot = None;
            let _ = self.changes.send(encode(&placements, now));
            let mut state = self.node.state.borrow_mut();
            for placement in placements {
                state.replicas.apply_placement(placement);
            }
            drop(state);
            self.node.view_changed.notify_waiters();
            self.last_alive = now;
        } else if now.since(self.last_alive) >= self.node.settings.pace.peer_heartbeat {
            let _ = self.changes.send(Bytes::from(FromOrderer::Alive.serialize_bin()));
            self.last_alive = now;
        }
    }

    /// Gives the lease back if it is still held.
    async fn end(mut self) {
        self.node.metrics.is_orderer.set(0);
        self.node.state.borrow_mut().replicas.orderer_lost();
        let lease = self.lease.lease();
        self.lease.lost();
        tracing::info!(target: "orderer", event = "term ended", released = lease.is_some());
        if let Some(lease) = lease {
            let _ = self.node.platform.store().end_lease(lease).await;
        }
    }
}

fn log_decision(decision: &Decision) {
    match decision {
        Decision::Goal {
            replica,
            model,
            reason,
            holders,
            source,
        } => {
            tracing::info!(target: "placement", decision = "load", replica = &**replica, model = &**model,
                ?reason, holders, ?source);
        }
        Decision::MakeWay {
            replica,
            model,
            value,
            holders,
        } => {
            tracing::info!(target: "placement", decision = "make way", replica = &**replica,
                model = &**model, tokens_per_second = *value as u64, holders);
        }
    }
}

fn encode(placements: &[Placement], now: Moment) -> Bytes {
    let wire = placements
        .iter()
        .map(|placement| WirePlacement::from_placement(placement, now));
    Bytes::from(FromOrderer::Placements(wire.collect()).serialize_bin())
}

fn orderer_config<P: Platform>(node: &Node<P>) -> OrdererConfig {
    OrdererConfig {
        placement: PlacementConfig::default(),
        ledger: LedgerConfig::default(),
        ceiling_window: node.settings.bounds.ceiling_window,
        withdraw_notice: Duration::from_millis(30),
        adapter_load: Duration::from_millis(30),
        unload: Duration::from_millis(200),
    }
}

fn order_kind(order: &Order) -> &'static str {
    match order {
        Order::LoadModel(_) => "load_model",
        Order::UnloadModel(_) => "unload_model",
        Order::LoadAdapter(..) => "load_adapter",
        Order::UnloadAdapter(..) => "unload_adapter",
    }
}

fn outcome_name(outcome: OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Accepted => "accepted",
        OrderOutcome::AlreadyHolds => "already_holds",
        OrderOutcome::Conflict => "conflict",
        OrderOutcome::Fenced => "fenced",
        OrderOutcome::OtherIncarnation => "other_incarnation",
        OrderOutcome::Rejected => "rejected",
        OrderOutcome::Unknown => "unknown",
    }
}
