//! Detects whether a replica at which requests broke has ended.
//!
//! A broken exchange alone is weak evidence: its connection may have been reset, or its
//! answer corrupted. A replica that ended refuses new connections, and all of its
//! requests break at the same moment. So the requests that break at one replica are
//! collected, and then one connection to it is tried. If that fails, other nodes are
//! asked, as this one's path may be cut. An end that was wrongly taken for one is withdrawn
//! with the next answer that is surely of the same incarnation.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use croftrill_scheduler::crash_ledger::{EndedReplica, PartHash};
use croftrill_scheduler::replica::ReplicaId;
use croftrill_scheduler::time::Moment;
use http::HeaderMap;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::answer_reader::BodyEnd;
use crate::broken_requests::{BrokenRequest, ExchangeEnd};
use crate::connection::ExchangeError;
use crate::crash_reports::{self, ClearingAnswer, EndTimes, RequestAtEnd};
use crate::node::Node;
use crate::ports::{Platform, PromptPart};
use crate::replica_path::{self, PathTarget, PeerVerdict};

/// Time within which this node notices all requests that break with a replica.
const BATCH_DELAY: Duration = Duration::from_millis(10);
/// Timeout of the connection attempt: the machine of an ended replica refuses it within a
/// round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum wait of a request that could be retried at another replica: some round trips,
/// and short compared with the pauses that callers accept (at least 300 ms).
const MAX_CHECK_WAIT: Duration = Duration::from_millis(60);

/// Pauses before a replica at which requests were cut off is checked again. Requests that end their
/// replica do so within a fraction of a second.
const WATCH_DELAYS: [Duration; 3] = [
    Duration::from_millis(60),
    Duration::from_millis(200),
    Duration::from_millis(600),
];

/// What is known of a replica at which requests broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Finding {
    /// It accepts connections.
    Alive,
    /// It has ended.
    Ended,
    /// Nothing tells the replica from the path to it.
    Unknown,
}

/// Maximum number of requests that one line of the log names.
const MAX_LOGGED_IDS: usize = 16;
/// Maximum number of parts of a prompt that one line of the log names.
const MAX_LOGGED_PARTS: usize = 16;

/// Records that the exchange of a request with a replica ended in a way that the end of the replica
/// would explain.
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
        let target = PathTarget {
            replica: replica.clone(),
            address,
        };
        let broke_at = node.clock.now();
        spawn_local(check_replica(node.clone(), target, incarnation, broke_at));
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

/// Finds out whether a replica has ended and records the result.
async fn check_replica<P: Platform>(
    node: Rc<Node<P>>,
    target: PathTarget,
    incarnation: EndedReplica,
    broke_at: Moment,
) {
    sleep(BATCH_DELAY).await;
    let finding = examine(&node, &target).await;
    let broken = node.state.borrow_mut().broken_requests.take(&target.replica);
    match finding {
        Finding::Ended => record_end(&node, &target.replica, incarnation, broke_at, &broken),
        Finding::Alive => {
            clear_answered(&node, &target.replica, &broken);
            watch(&node, target, incarnation, broken);
        }
        Finding::Unknown => {
            tracing::info!(target: "crash", event = "requests broke, but the replica is not known to have ended",
                replica = &*target.replica, requests = broken.len(), ids = ?ids_of(&broken), ?finding);
        }
    }
    node.crash_judged.notify_waiters();
}

/// Checks a replica that lives on a few more times if requests were cut off there. A node may break an
/// answer off itself, as it is malformed, some time before the request ends the replica.
fn watch<P: Platform>(
    node: &Rc<Node<P>>,
    target: PathTarget,
    incarnation: EndedReplica,
    broken: Vec<BrokenRequest>,
) {
    let mut is_first = false;
    for request in broken {
        if request.end == ExchangeEnd::CutOff {
            let watched = &mut node.state.borrow_mut().watched_requests;
            is_first |= watched.add(&target.replica, request);
        }
    }
    if is_first {
        spawn_local(watch_replica(node.clone(), target, incarnation));
    }
}

async fn watch_replica<P: Platform>(node: Rc<Node<P>>, target: PathTarget, incarnation: EndedReplica) {
    let mut finding = Finding::Alive;
    for delay in WATCH_DELAYS {
        sleep(delay).await;
        finding = examine(&node, &target).await;
        if finding != Finding::Alive {
            break;
        }
    }
    let broken = node.state.borrow_mut().watched_requests.take(&target.replica);
    if finding == Finding::Ended {
        let ended_at = node.clock.now();
        record_end(&node, &target.replica, incarnation, ended_at, &broken);
        return;
    }
    tracing::info!(target: "crash", event = "requests broke, but the replica is not known to have ended",
        replica = &*target.replica, requests = broken.len(), ids = ?ids_of(&broken), ?finding);
}

/// Clears the requests whose answers are known to be whole, as the replica lives on.
fn clear_answered<P: Platform>(node: &Rc<Node<P>>, replica: &ReplicaId, broken: &[BrokenRequest]) {
    for request in broken {
        let ExchangeEnd::Closed { status } = request.end else {
            continue;
        };
        let answer = ClearingAnswer {
            id: request.id.clone(),
            fingerprint: request.fingerprint,
            status,
            ended: BodyEnd::Closed.name(),
        };
        crash_reports::record_complete_answer(node, replica, &answer);
        let parts: Vec<PartHash> = request.parts.iter().map(|part| PartHash(part.hash)).collect();
        crash_reports::record_answered_parts(node, status, &parts);
    }
}

/// Tries to connect to a replica and, if that fails, asks other nodes. A connection that comes up
/// replaces the one that broke.
async fn examine<P: Platform>(node: &Rc<Node<P>>, target: &PathTarget) -> Finding {
    let error = match timeout(CONNECT_TIMEOUT, node.pool.dial(target.address)).await {
        Ok(Ok(connection)) => {
            node.pool.put_back(connection, &HeaderMap::new());
            return Finding::Alive;
        }
        Ok(Err(ExchangeError::Connect(error))) => error.kind(),
        Ok(Err(_)) => return Finding::Unknown,
        Err(_) => ErrorKind::TimedOut,
    };
    let other_nodes = replica_path::ask_peers(node, target).await;
    let finding = judge(error, other_nodes);
    tracing::info!(target: "crash", event = "no connection to a replica at which requests broke",
        replica = &*target.replica, ?error, ?other_nodes, ?finding);
    finding
}

/// Returns what a failed attempt to connect tells, with the answers of other nodes. Where these cannot
/// tell, a refusal counts as an end: it is the machine's answer for a process that ended, while a path
/// that was cut usually gives none. If it was the path all the same, the next answer that is surely of
/// the same incarnation withdraws the end.
fn judge(error: ErrorKind, other_nodes: PeerVerdict) -> Finding {
    match other_nodes {
        PeerVerdict::Reached => Finding::Alive,
        PeerVerdict::Down => Finding::Ended,
        PeerVerdict::Unknown | PeerVerdict::NobodyToAsk if error == ErrorKind::ConnectionRefused => {
            Finding::Ended
        }
        PeerVerdict::Unknown | PeerVerdict::NobodyToAsk => Finding::Unknown,
    }
}

/// Returns the callers' ids of some requests, for the log.
fn ids_of(broken: &[BrokenRequest]) -> Vec<&str> {
    let ids = broken.iter().map(|request| request.id.as_str());
    ids.take(MAX_LOGGED_IDS).collect()
}

/// Records that a replica ended, as evidence against the requests that ran there.
fn record_end<P: Platform>(
    node: &Node<P>,
    replica: &ReplicaId,
    incarnation: EndedReplica,
    ended_at: Moment,
    broken: &[BrokenRequest],
) {
    let suspects = suspects_of(broken);
    let had_just_begun = broken.iter().filter(|request| request.had_just_started());
    tracing::warn!(target: "crash", event = "replica ended", replica = &**replica, requests = broken.len(),
        had_just_begun = had_just_begun.count(), suspects = suspects.len());
    let parts: Vec<Vec<PartHash>> = suspects.iter().map(|request| suspect_parts(request)).collect();
    let requests = suspects.iter().zip(&parts).map(|(request, parts)| RequestAtEnd {
        fingerprint: request.fingerprint,
        parts,
    });
    let broke_at = suspects.iter().map(|request| request.broke_at);
    let times = EndTimes {
        first_broke_at: broken
            .iter()
            .map(|request| request.broke_at)
            .min()
            .unwrap_or(ended_at),
        ended_at: broke_at.max().map_or(ended_at, |broke_at| broke_at.max(ended_at)),
    };
    crash_reports::record_replica_end(node, incarnation, times, &requests.collect::<Vec<_>>());
    for request in suspects {
        tracing::info!(target: "crash", event = "ran at a replica that ended", id = request.id,
            fingerprint = %request.fingerprint, parts = parts_text(&request.parts), replica = &**replica,
            caller = request.caller.map(|caller| tracing::field::display(caller.0)),
            went_on_for_ms = request.answer_duration.map(|time| time.as_millis() as u64));
    }
}

/// Returns the parts of a request's prompt that may have ended its replica: a part does so as soon as
/// the answer begins.
fn suspect_parts(request: &BrokenRequest) -> Vec<PartHash> {
    if !request.had_just_started() {
        return Vec::new();
    }
    request.parts.iter().map(|part| PartHash(part.hash)).collect()
}

/// Returns hash and tokens of the parts of a prompt, for the log.
fn parts_text(parts: &[PromptPart]) -> String {
    let parts = parts.iter().take(MAX_LOGGED_PARTS);
    let parts = parts.map(|part| format!("{:016x}:{}", part.hash, part.tokens));
    parts.collect::<Vec<_>>().join(",")
}

/// Returns the requests that may have ended their replica: those that had just started or, if there
/// are none, all of them.
fn suspects_of(broken: &[BrokenRequest]) -> Vec<&BrokenRequest> {
    let just_started = broken.iter().filter(|request| request.had_just_started());
    let just_started: Vec<&BrokenRequest> = just_started.collect();
    if just_started.is_empty() {
        broken.iter().collect()
    } else {
        just_started
    }
}
