//! Detects whether a replica at which requests broke has ended.
//!
//! A broken exchange alone is weak evidence: its connection may have been reset, or its
//! answer corrupted. A replica that ended refuses new connections, and all of its
//! requests break at the same moment. So the requests that break at one replica are
//! collected, and then one connection to it is tried. If that is refused, another node is
//! asked, as this one's path may be cut.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use croftrill_scheduler::crash_ledger::{EndedReplica, Fingerprint};
use croftrill_scheduler::replica::ReplicaId;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::broken_requests::BrokenRequest;
use crate::crash_reports::{self, ClearingAnswer};
use crate::node::Node;
use crate::ports::Platform;
use crate::replica_path::{self, PathTarget, PeerVerdict};

/// Time within which this node notices all requests that break with a replica.
const BATCH_DELAY: Duration = Duration::from_millis(10);
/// Timeout of the connection attempt: the machine of an ended replica refuses it within a
/// round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum wait of a request that could be retried at another replica: some round trips,
/// and short compared with the pauses that callers accept (at least 300 ms).
const MAX_CHECK_WAIT: Duration = Duration::from_millis(60);

/// Maximum number of requests that one line of the log names.
const MAX_LOGGED_IDS: usize = 16;

/// Records that a request broke at a replica: its connection ended, or became silent,
/// before its answer was complete.
pub(crate) fn record_broken_request<P: Platform>(
    node: &Rc<Node<P>>,
    replica: &ReplicaId,
    request: BrokenRequest,
) {
    let mut state = node.state.borrow_mut();
    let entry = state.replicas.get(replica);
    // A replica that is leaving or has left was stopped on purpose.
    let ready = entry.filter(|entry| entry.is_ready());
    let Some(listing) = ready.map(|entry| &entry.listing) else {
        return;
    };
    let Ok(address) = listing.address.parse() else {
        return;
    };
    // The replica may be listed as restarted by the time the check is done.
    let incarnation = EndedReplica::of(replica, listing.started_ms);
    if state.broken_requests.add(replica, request) {
        spawn_local(check_replica(node.clone(), replica.clone(), incarnation, address));
    }
}

/// Waits until it is known whether a replica at which requests broke has ended.
pub(crate) async fn wait_until_checked<P: Platform>(node: &Node<P>, replica: &ReplicaId) {
    let checked = async {
        loop {
            let changed = node.crash_judged.notified();
            if !node.state.borrow().broken_requests.is_pending(replica) {
                return;
            }
            changed.await;
        }
    };
    // After a timeout the replica is not known to have ended, as it refused no connection.
    let _ = timeout(MAX_CHECK_WAIT, checked).await;
}

/// Clears a request of earlier ends of replicas if the replica that answered it still accepts
/// connections. That tells what the answer can't that ended with its connection: whether the replica
/// ended, too.
pub(crate) async fn clear_if_alive<P: Platform>(
    node: Rc<Node<P>>,
    address: SocketAddr,
    fingerprint: Fingerprint,
    answer: ClearingAnswer,
) {
    sleep(BATCH_DELAY).await;
    let connected = timeout(CONNECT_TIMEOUT, node.platform.connector().connect(address)).await;
    if matches!(connected, Ok(Ok(_))) {
        crash_reports::record_complete_answer(&node, fingerprint, &answer);
    } else {
        tracing::info!(target: "crash", event = "a suspect's answer ended with its connection, and nothing was counted",
            id = answer.id, %fingerprint, replica = &*answer.replica, status = answer.status.as_u16());
    }
}

/// Tries to connect to the replica once and records the result.
async fn check_replica<P: Platform>(
    node: Rc<Node<P>>,
    replica: ReplicaId,
    incarnation: EndedReplica,
    address: SocketAddr,
) {
    sleep(BATCH_DELAY).await;
    let connected = timeout(CONNECT_TIMEOUT, node.platform.connector().connect(address)).await;
    let is_refused =
        matches!(&connected, Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused);
    let target = PathTarget { replica, address };
    let verdict = if is_refused {
        Some(replica_path::ask_peers(&node, &target).await)
    } else {
        None
    };
    let replica = target.replica;
    let broken = node.state.borrow_mut().broken_requests.take(&replica);
    if matches!(verdict, Some(PeerVerdict::Down | PeerVerdict::NobodyToAsk)) {
        record_end(&node, &replica, incarnation, &broken);
    } else {
        tracing::info!(target: "crash", event = "requests broke, but the replica is not known to have ended",
            replica = &*replica, requests = broken.len(), ids = ?ids_of(&broken), connected = ?connected.map(|connected| connected.is_ok()),
            other_nodes = ?verdict);
    }
    node.crash_judged.notify_waiters();
}

/// Returns the callers' ids of some requests, for the log.
fn ids_of(broken: &[BrokenRequest]) -> Vec<&str> {
    let ids = broken.iter().map(|request| request.id.as_str());
    ids.take(MAX_LOGGED_IDS).collect()
}

/// Records that a replica ended. Each request that had just started there may be the cause.
fn record_end<P: Platform>(
    node: &Node<P>,
    replica: &ReplicaId,
    incarnation: EndedReplica,
    broken: &[BrokenRequest],
) {
    let just_started: Vec<&BrokenRequest> = broken
        .iter()
        .filter(|request| request.had_just_started())
        .collect();
    tracing::warn!(target: "crash", event = "replica ended", replica = &**replica, requests = broken.len(),
        had_just_begun = just_started.len());
    let fingerprints = just_started.iter().map(|request| request.fingerprint);
    crash_reports::record_replica_end(node, incarnation, fingerprints);
    for request in just_started {
        tracing::info!(target: "crash", event = "had just begun at a replica that ended", id = request.id,
            fingerprint = %request.fingerprint, replica = &**replica,
            caller = request.caller.map(|caller| tracing::field::display(caller.0)),
            went_on_for_ms = request.answer_duration.map(|time| time.as_millis() as u64));
    }
}
