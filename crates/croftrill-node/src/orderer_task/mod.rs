//! Holds the orderer's lease when it is free, and carries out the orderer's plans.
//!
//! [`acquisition`] takes the lease, [`term`] uses it, [`decision_log`] says what
//! was decided.

mod acquisition;
mod decision_log;
mod limited;
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
use crate::peer::ToOrderer;
use crate::ports::{Platform, StoreError};

/// An event for the orderer task.
#[derive(Debug)]
pub enum OrdererInput {
    /// A node's message.
    FromNode(ToOrderer),
    /// Replicas' loads, as nodes heard of them.
    Loads(Vec<LoadSample>),
    /// The list of replicas or the configuration changed.
    DirectoryChanged,
    /// The watch of the store was answered.
    Watched(WatchedSpan),
    /// A node wants all placements, then every change.
    Subscribe(oneshot::Sender<Subscription>),
    /// An order was answered.
    OrderAnswered {
        /// The replica.
        replica: ReplicaId,
        /// When the incarnation that was meant started, if it tells.
        started_ms: Option<StartedMs>,
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
        /// The record, if it did.
        record: Option<Record>,
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
    pub first: Vec<Bytes>,
    /// What follows.
    pub changes: broadcast::Receiver<Bytes>,
    /// News of replicas' loads, for those who understand them.
    pub loads: broadcast::Sender<Bytes>,
}

/// Runs the orderer's part of a node for one shard until it stops.
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

/// Events that reach a node that does not give orders concern nobody.
fn drain(inbox: &mut mpsc::Receiver<OrdererInput>) {
    while inbox.try_recv().is_ok() {}
}
