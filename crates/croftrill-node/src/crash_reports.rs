//! Exchange of reports between nodes about requests that crash replicas.
//!
//! Each node stores one item, its report. Changes to it reach all nodes over the tree
//! of relays, and a node that starts reads all reports from the store, so no evidence
//! is lost with an orderer, a relay or the reporting node. A report is removed when its
//! lease ends, so a node writes it again whenever its content changes, and while
//! requests in it still arrive.
//!
//! While a node cannot write to the store, the nodes that it listens to add its report
//! to theirs.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::crash_ledger::{CrashLedger, EndedReplica, Fingerprint, Verdict, REPORT_RETENTION};
use croftrill_scheduler::replica::{ReplicaId, StartedMs};
use croftrill_scheduler::time::Moment;
use http::StatusCode;
use nanoserde::SerBin;
use rand::Rng;
use tokio::time::sleep;

use crate::crash_wire::WireCrashReport;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::peer::ToOrderer;
use crate::ports::{ConditionalPut, Item, KeyValueStore, Platform, StoreError, Write};
use crate::wire::decode;

/// Prefix of the keys of reports.
const REPORT_PREFIX: &str = "croftrill/crashes/";
/// Delay before a write, so that one write covers all ends of replicas of one rack.
const BATCH_DELAY: Duration = Duration::from_millis(40);
/// Average delay before a failed write is retried. Including the latencies of the store
/// and the relays, a report reaches all nodes within a second of the store's recovery.
const AVERAGE_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Age from which a lease is not used for further writes, so that each written report is
/// stored nearly as long as a full lease.
const MAX_LEASE_REUSE_AGE: Duration = Duration::from_secs(60);

/// An answer that clears a request.
#[derive(Debug, Clone)]
pub(crate) struct ClearingAnswer {
    /// The caller's id of the attempt.
    pub(crate) id: String,
    /// Hash of the request's content.
    pub(crate) fingerprint: Fingerprint,
    /// Its status.
    pub(crate) status: StatusCode,
    /// How its body ended.
    pub(crate) ended: &'static str,
}

/// Returns whether only the run of a request produces an answer of this status. A replica may reject
/// a request, or fail, before it runs it.
fn is_of_run(status: StatusCode) -> bool {
    status.is_success() || status.is_redirection()
}

/// Returns whether a key of the store is that of a node's report.
pub(crate) fn is_report(key: &str) -> bool {
    key.starts_with(REPORT_PREFIX)
}

/// Applies a node's report that was written to the store.
pub(crate) fn apply_report<P: Platform>(node: &Node<P>, item: &Item) {
    let Ok(report) = decode::<WireCrashReport>(&item.value) else {
        tracing::warn!(target: "crash", event = "report cannot be read", key = item.key);
        return;
    };
    let now = node.clock.now();
    let ledger = &mut node.state.borrow_mut().crash_ledger;
    ledger.apply_report(&item.key, report.into_report(), now);
}

/// Handles the removal of a key from the store: if it held this node's report, the report
/// is published again.
pub(crate) fn handle_removed_key<P: Platform>(node: &Node<P>, key: &str) {
    let own = key
        .strip_prefix(REPORT_PREFIX)
        .and_then(|rest| rest.split('/').next());
    if own == Some(node.settings.identity.name.as_str()) {
        republish(node);
    }
}

/// Publishes this node's report again, since the store may have lost it.
pub(crate) fn republish<P: Platform>(node: &Node<P>) {
    let now = node.clock.now();
    let has_some = !node.state.borrow_mut().crash_ledger.own_report(now).is_empty();
    if has_some {
        node.crash_report_changed.notify_one();
    }
}

/// Records that a replica ended when these requests had just started there.
pub(crate) fn record_replica_end<P: Platform>(
    node: &Node<P>,
    replica: EndedReplica,
    just_started: impl Iterator<Item = Fingerprint>,
) {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    let mut count = 0;
    for fingerprint in just_started {
        state.crash_ledger.record_end(fingerprint, replica, now);
        count += 1;
    }
    drop(state);
    if count > 0 {
        Metrics::count(&node.metrics.crashes, "replica", "ended");
        node.crash_report_changed.notify_one();
    }
}

/// Returns whether a request may be sent. A refused request stays in this node's report
/// while callers keep sending it.
pub(crate) fn verdict<P: Platform>(node: &Node<P>, fingerprint: Fingerprint) -> Verdict {
    let now = node.clock.now();
    let ledger = &mut node.state.borrow_mut().crash_ledger;
    let verdict = ledger.verdict(fingerprint, now);
    if verdict == Verdict::Refused && ledger.adopt(fingerprint, now) {
        node.crash_report_changed.notify_one();
    }
    verdict
}

/// Clears a request that a replica answered completely, if its run produced the answer.
pub(crate) fn record_complete_answer<P: Platform>(
    node: &Node<P>,
    replica: &ReplicaId,
    answer: &ClearingAnswer,
) {
    if !is_of_run(answer.status) {
        return;
    }
    let fingerprint = answer.fingerprint;
    let now = node.clock.now();
    let is_cleared = node.state.borrow_mut().crash_ledger.clear(fingerprint, now);
    if is_cleared {
        tracing::info!(target: "crash", event = "cleared by an answer", id = answer.id, %fingerprint,
            replica = &**replica, status = answer.status.as_u16(), ended = answer.ended);
        Metrics::count(&node.metrics.crashes, "request", "cleared");
        node.crash_report_changed.notify_one();
    }
}

/// Withdraws the end of a replica that answered a request which was sent after the end was known. A
/// replica whose start time is not known may have ended and started again under its name.
pub(crate) fn withdraw_end<P: Platform>(
    node: &Node<P>,
    replica: &ReplicaId,
    started_ms: Option<StartedMs>,
    sent_at: Moment,
) {
    let now = node.clock.now();
    let ledger = &mut node.state.borrow_mut().crash_ledger;
    if ledger.is_empty() || started_ms.is_none() {
        return;
    }
    if ledger.withdraw_end(EndedReplica::of(replica, started_ms), sent_at, now) {
        tracing::warn!(target: "crash", event = "end withdrawn: the replica answers", replica = &**replica);
        Metrics::count(&node.metrics.crashes, "replica", "withdrawn");
        node.crash_report_changed.notify_one();
    }
}

/// Clears a request on behalf of an operator. Returns false if there is no evidence
/// against it.
pub fn lift<P: Platform>(node: &Node<P>, fingerprint: Fingerprint) -> bool {
    let now = node.clock.now();
    let is_cleared = node.state.borrow_mut().crash_ledger.clear(fingerprint, now);
    tracing::info!(target: "crash", event = "lifted by an operator", %fingerprint, is_cleared);
    if is_cleared {
        Metrics::count(&node.metrics.crashes, "request", "lifted");
        node.crash_report_changed.notify_one();
    }
    is_cleared
}

/// Adds the report of a node that cannot write it to this node's report.
pub(crate) fn adopt<P: Platform>(node: &Node<P>, report: WireCrashReport) {
    let now = node.clock.now();
    let ledger = &mut node.state.borrow_mut().crash_ledger;
    if ledger.adopt_report(&report.into_report(), now) {
        node.crash_report_changed.notify_one();
    }
}

/// Returns the keys and values of all reports as the store holds them.
pub(crate) fn items(ledger: &CrashLedger) -> Vec<(String, Vec<u8>)> {
    let reports = ledger.reports();
    let items = reports.map(|(key, report)| {
        let value = WireCrashReport::from_report(report).serialize_bin();
        (key.to_string(), value)
    });
    items.collect()
}

/// The lease under which this node's report is stored.
#[derive(Debug, Clone, Copy)]
struct ReportLease {
    id: u64,
    granted_at: Moment,
}

/// Writes this node's report whenever it changes, until the process ends. The key contains
/// `incarnation`, so an earlier process's report remains until its lease ends.
pub async fn publish<P: Platform>(node: Rc<Node<P>>, incarnation: u64) {
    let key = format!("{REPORT_PREFIX}{}/{incarnation}", node.settings.identity.name);
    let mut lease = None;
    loop {
        node.crash_report_changed.notified().await;
        sleep(BATCH_DELAY).await;
        let mut failures = 0;
        while let Err(error) = write(&node, &key, &mut lease).await {
            failures += 1;
            lease = None;
            if failures == 1 {
                tracing::warn!(target: "crash", event = "report not written", %error);
            }
            // Sent on each attempt, as the report may have grown since the last.
            send_to_orderers(&node);
            let share = rand::rng().random_range(0.5..1.5);
            sleep(AVERAGE_RETRY_DELAY.mul_f64(share)).await;
        }
    }
}

/// Writes the current report.
async fn write<P: Platform>(
    node: &Node<P>,
    key: &str,
    lease: &mut Option<ReportLease>,
) -> Result<(), StoreError> {
    let store = node.store();
    let now = node.clock.now();
    let usable = lease.filter(|lease| now.since(lease.granted_at) < MAX_LEASE_REUSE_AGE);
    let usable = match usable {
        Some(lease) => lease,
        None => ReportLease {
            id: store.grant_lease(REPORT_RETENTION).await?,
            granted_at: now,
        },
    };
    *lease = Some(usable);
    let report = node.state.borrow_mut().crash_ledger.own_report(now);
    let suspicions = report.len();
    let write = Write {
        key: key.to_string(),
        value: Bytes::from(WireCrashReport::from_report(&report).serialize_bin()),
        lease: usable.id,
    };
    let put = ConditionalPut {
        conditions: Vec::new(),
        writes: vec![write],
    };
    store.put(put).await?;
    tracing::info!(target: "crash", event = "report written", suspicions);
    Ok(())
}

/// Sends the report to the nodes that this one listens to, which add it to theirs.
fn send_to_orderers<P: Platform>(node: &Node<P>) {
    let now = node.clock.now();
    let report = node.state.borrow_mut().crash_ledger.own_report(now);
    let wire = WireCrashReport::from_report(&report);
    node.send_to_orderers(&ToOrderer::Crashes(wire));
}
