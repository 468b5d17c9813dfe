//! Acquires the orderer's lease when it is free, and executes the orderer's plans.
//!
//! [`acquisition`] acquires the lease, [`term`] runs the orderer while it is held,
//! [`limited_calls`] limits calls to replicas with a limit, [`holder_checks`] tries listed holders of
//! models for which requests wait, [`loads`] publishes loads, and [`decision_log`] logs decisions.

mod acquisition;
mod decision_log;
mod holder_checks;
mod limited_calls;
mod loads;
mod term;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::lease::Record;
use croftrill_scheduler::load_updates::LoadSample;
use croftrill_scheduler::replica::{OrderOutcome, ReplicaId, ReplicaReport, StartedMs};
use croftrill_scheduler::shard::Shard;
use croftrill_scheduler::time::Moment;
use tokio::sync::{broadcast, mpsc, oneshot};
use tokio::time::sleep;

use self::acquisition::become_orderer;
use self::term::Term;
use crate::directory::relay::WatchedSpan;
use crate::membership::own_entry;
use crate::node::{Lifecycle, Node};
use crate::peer::{Audience, ToOrderer};
use crate::ports::{Platform, StoreError};

/// An event for the orderer task.
#[derive(Debug)]
pub enum OrdererInput {
    /// A message from a node.
    FromNode(ToOrderer),
    /// Load samples from nodes.
    Loads(Vec<LoadSample>),
    /// The list of replicas or the configuration changed.
    DirectoryChanged,
    /// The watch of the store returned changes.
    Watched(WatchedSpan),
    /// A node subscribes to all placements and their changes.
    Subscribe(oneshot::Sender<Subscription>),
    /// An order was answered.
    OrderAnswered {
        /// The replica.
        replica: ReplicaId,
        /// When the addressed incarnation started, if it reports that.
        started_ms: Option<StartedMs>,
        /// Its answer.
        outcome: OrderOutcome,
    },
    /// A report was received, or the call failed.
    Reported {
        /// The replica.
        replica: ReplicaId,
        /// The report, if one was received.
        report: Option<ReplicaReport>,
        /// When the report was requested.
        requested_at: Moment,
    },
    /// The write that records this machine as the last orderer ended.
    Recorded {
        /// Fencing token of the term that requested it.
        fencing_token: u64,
        /// The record, if it was written.
        record: Option<Record>,
    },
    /// A renewal of the lease ended.
    Renewed {
        /// When it was sent.
        requested_at: Moment,
        /// Its result.
        result: Result<(), StoreError>,
    },
}

/// An encoded message of an orderer to its listeners.
#[derive(Debug, Clone)]
pub struct OrdererMessage {
    /// The listeners that it is for.
    pub audience: Audience,
    /// The message.
    pub frame: Bytes,
}

/// A node's subscription to the orderer: encoded messages, shared by all links.
#[derive(Debug)]
pub struct Subscription {
    /// All placements known now.
    pub snapshot: Vec<Bytes>,
    /// Later changes.
    pub changes: broadcast::Receiver<OrdererMessage>,
    /// Load samples, for nodes that support them.
    pub loads: broadcast::Sender<Bytes>,
}

/// Runs a node's orderer task for one shard until the node stops.
pub async fn run<P: Platform>(
    node: Rc<Node<P>>,
    shard: Shard,
    mut inbox: mpsc::Receiver<OrdererInput>,
    incarnation: u64,
) {
    let entry = own_entry(&node, incarnation);
    loop {
        if node.lifecycle() == Lifecycle::Stopping {
            return;
        }
        if let Some(acquired) = become_orderer(&node, shard, &entry).await {
            let mut term = Term::begin(node.clone(), shard, acquired, entry.clone());
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

/// Discards events that arrived while this node was not the orderer.
fn drain(inbox: &mut mpsc::Receiver<OrdererInput>) {
    while inbox.try_recv().is_ok() {}
}
