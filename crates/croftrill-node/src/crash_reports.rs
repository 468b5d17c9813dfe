//! Exchange of reports between nodes about requests, and parts of prompts, that crash replicas.
//!
//! Each node stores its report as an item, and the parts in another one. Changes to it reach all nodes over the tree
//! of relays, and a node that starts reads all reports from the store, so no evidence
//! is lost with an orderer, a relay or the reporting node. A report is removed when its
//! lease ends, so a node writes it again whenever its content changes, and while
//! requests in it still arrive.
//!
//! While a node cannot write to the store, the nodes that it listens to add its report
//! to theirs.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::crash_ledger::{
    CrashLedger, CrashReport, EndedReplica, Fingerprint, LifeProof, PartHash, SuspectId, Verdict,
    REPORT_RETENTION,
};
use croftrill_scheduler::replica::{ReplicaId, StartedMs};
use croftrill_scheduler::time::Moment;
use http::StatusCode;
use nanoserde::SerBin;
use rand::Rng;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::crash_wire::{WireCrashReport, WirePartReport};
use crate::metrics::Metrics;
use crate::node::Node;
use crate::peer::ToOrderer;
use crate::ports::{ConditionalPut, Item, KeyValueStore, Platform, StoreError, Write};
use crate::wire::decode;

/// Prefix of the keys of reports.
const REPORT_PREFIX: &str = "croftrill/crashes/";
/// Prefix of the keys of reports of parts. Builds that know no parts ignore them.
const PART_REPORT_PREFIX: &str = "croftrill/crash-parts/";
/// Delay before a write, so that one write covers all ends of replicas of one rack.
const BATCH_DELAY: Duration = Duration::from_millis(40);
/// Maximum delay before parts are published as cleared, so that one node does it for all that saw them
/// answered at the same time.
const MAX_CLEARANCE_DELAY: Duration = Duration::from_secs(2);
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
    key.starts_with(REPORT_PREFIX) || key.starts_with(PART_REPORT_PREFIX)
}

/// Applies a node's report that was written to the store.
pub(crate) fn apply_report<P: Platform>(node: &Node<P>, item: &Item) {
    let Ok((report, end_ages)) = read_report(item) else {
        tracing::warn!(target: "crash", event = "report cannot be read", key = item.key);
        return;
    };
    let now = node.clock.now();
    let ledger = &mut node.state.borrow_mut().crash_ledger;
    note_end_times(ledger, &end_ages, now);
    ledger.apply_report(&item.key, report, now);
}

/// Replicas that ended, with the time since then.
type EndAges = Vec<(EndedReplica, Duration)>;

fn read_report(item: &Item) -> io::Result<(CrashReport, EndAges)> {
    if !item.key.starts_with(PART_REPORT_PREFIX) {
        let report = decode::<WireCrashReport>(&item.value)?;
        return Ok((report.into_report(), EndAges::new()));
    }
    let report = decode::<WirePartReport>(&item.value)?;
    let end_ages = report.end_ages().collect();
    Ok((report.into_report(), end_ages))
}

fn note_end_times(ledger: &mut CrashLedger, end_ages: &[(EndedReplica, Duration)], now: Moment) {
    for (replica, age) in end_ages {
        ledger.note_end_time(*replica, now - *age);
    }
}

/// Handles the removal of a key from the store: if it held this node's report, the report
/// is published again.
pub(crate) fn handle_removed_key<P: Platform>(node: &Node<P>, key: &str) {
    let rest = key
        .strip_prefix(REPORT_PREFIX)
        .or_else(|| key.strip_prefix(PART_REPORT_PREFIX));
    let own = rest.and_then(|rest| rest.split('/').next());
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

/// A request that ran at a replica that ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestAtEnd<'a> {
    /// Hash of its content.
    pub(crate) fingerprint: Fingerprint,
    /// Parts of its prompt, in order; none if it had run for too long for them to be suspects.
    pub(crate) parts: &'a [PartHash],
}

/// When a replica ended, as far as this node's requests there tell.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndTimes {
    /// When the first of them broke.
    pub(crate) first_broke_at: Moment,
    /// When it ended at the latest.
    pub(crate) ended_at: Moment,
}

/// Records that a replica ended when these requests ran there.
pub(crate) fn record_replica_end<P: Platform>(
    node: &Node<P>,
    replica: EndedReplica,
    times: EndTimes,
    requests: &[RequestAtEnd<'_>],
) {
    if requests.is_empty() {
        return;
    }
    let now = node.clock.now();
    let ledger = &mut node.state.borrow_mut().crash_ledger;
    ledger.note_end_time(replica, times.ended_at);
    ledger.note_own_finding(replica, times.first_broke_at);
    for request in requests {
        ledger.record_end(request.fingerprint, replica, now);
        for seen in ledger.sightings_of_parts(request.parts) {
            ledger.record_end(seen, replica, now);
        }
    }
    Metrics::count(&node.metrics.crashes, "replica", "ended");
    node.crash_report_changed.notify_one();
}

/// Returns whether a request with these parts in its prompt may be sent, as far as a suspect tells. A
/// suspect that keeps requests from being sent stays in this node's report while callers send these.
pub(crate) fn verdict<P: Platform>(node: &Node<P>, id: SuspectId, prompt: &[PartHash]) -> Verdict {
    let now = node.clock.now();
    let ledger = &mut node.state.borrow_mut().crash_ledger;
    let verdict = match id {
        SuspectId::Request(_) => ledger.verdict(id, now),
        SuspectId::Part(part) => ledger.verdict_in_prompt(part, prompt, now),
    };
    let is_lasting = match id {
        SuspectId::Request(_) => verdict == Verdict::Refused,
        SuspectId::Part(_) => matches!(verdict, Verdict::Refused | Verdict::Held(_) | Verdict::Retrial),
    };
    if is_lasting && ledger.adopt(id, now) {
        node.crash_report_changed.notify_one();
    }
    verdict
}

/// Clears the parts of a prompt to which a replica answered with this status, if the request's run
/// produced the answer. What that changes for other nodes is published after a while, unless another
/// node has done so by then.
pub(crate) fn record_answered_parts<P: Platform>(node: &Rc<Node<P>>, status: StatusCode, parts: &[PartHash]) {
    if !is_of_run(status) || node.state.borrow().crash_ledger.is_empty() {
        return;
    }
    let now = node.clock.now();
    let matters = node.state.borrow_mut().crash_ledger.clear_parts(parts, now);
    if !matters {
        return;
    }
    Metrics::count(&node.metrics.crashes, "part", "cleared");
    let node = node.clone();
    spawn_local(async move {
        let share = rand::rng().random_range(0.0..1.0);
        sleep(MAX_CLEARANCE_DELAY.mul_f64(share)).await;
        if node.state.borrow().crash_ledger.has_unshared_clearances() {
            node.crash_report_changed.notify_one();
        }
    });
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

/// Withdraws the end of an incarnation of a replica that answered a request which was sent after the end
/// was known, if `proof` shows that the answer is of that incarnation. One whose start time is not known
/// may have ended and started again under its name.
pub(crate) fn withdraw_end<P: Platform>(
    node: &Node<P>,
    replica: &ReplicaId,
    started_ms: Option<StartedMs>,
    proof: LifeProof,
    sent_at: Moment,
) {
    let now = node.clock.now();
    let ledger = &mut node.state.borrow_mut().crash_ledger;
    if ledger.is_empty() || started_ms.is_none() {
        return;
    }
    if ledger.withdraw_end(EndedReplica::of(replica, started_ms), proof, sent_at, now) {
        tracing::warn!(target: "crash", event = "end withdrawn: the replica answers", replica = &**replica,
            listed_started_ms = started_ms, ?proof, sent_ms_ago = now.since(sent_at).as_millis() as u64);
        Metrics::count(&node.metrics.crashes, "replica", "withdrawn");
        node.crash_report_changed.notify_one();
    }
}

/// Clears a suspect on behalf of an operator. Returns false if there is no evidence
/// against it.
pub fn lift<P: Platform>(node: &Node<P>, id: SuspectId) -> bool {
    let now = node.clock.now();
    let is_cleared = node.state.borrow_mut().crash_ledger.clear(id, now);
    tracing::info!(target: "crash", event = "lifted by an operator", suspect = %id, is_cleared);
    if is_cleared {
        Metrics::count(&node.metrics.crashes, kind_name(id), "lifted");
        node.crash_report_changed.notify_one();
    }
    is_cleared
}

/// Returns the name of the kind of a suspect in metrics.
pub(crate) fn kind_name(id: SuspectId) -> &'static str {
    match id {
        SuspectId::Request(_) => "request",
        SuspectId::Part(_) => "part",
    }
}

/// Adds the report of parts of a node that cannot write it to this node's report.
pub(crate) fn adopt_parts<P: Platform>(node: &Node<P>, report: WirePartReport) {
    let now = node.clock.now();
    let end_ages: EndAges = report.end_ages().collect();
    note_end_times(&mut node.state.borrow_mut().crash_ledger, &end_ages, now);
    adopt(node, &report.into_report());
}

/// Adds the report of a node that cannot write it to this node's report.
pub(crate) fn adopt<P: Platform>(node: &Node<P>, report: &CrashReport) {
    let now = node.clock.now();
    let ledger = &mut node.state.borrow_mut().crash_ledger;
    if ledger.adopt_report(report, now) {
        node.crash_report_changed.notify_one();
    }
}

/// Returns the keys and values of all reports as the store holds them.
pub(crate) fn items(ledger: &CrashLedger, now: Moment) -> Vec<(String, Vec<u8>)> {
    let reports = ledger.reports();
    let items = reports.map(|(key, report)| {
        let value = serialize(key, report, |replica| ledger.end_age(replica, now));
        (key.to_string(), value)
    });
    items.collect()
}

/// Returns what the store holds of a report under a key.
fn serialize(key: &str, report: &CrashReport, age_of: impl Fn(EndedReplica) -> Duration) -> Vec<u8> {
    if key.starts_with(PART_REPORT_PREFIX) {
        WirePartReport::from_report(report, age_of).serialize_bin()
    } else {
        WireCrashReport::from_report(report).serialize_bin()
    }
}

/// The keys of this node's report.
#[derive(Debug)]
struct ReportKeys {
    requests: String,
    parts: String,
    /// Whether the store may hold parts under the second key.
    has_parts: Cell<bool>,
}

impl ReportKeys {
    fn of<P: Platform>(node: &Node<P>, incarnation: u64) -> Self {
        let name = &node.settings.identity.name;
        ReportKeys {
            requests: format!("{REPORT_PREFIX}{name}/{incarnation}"),
            parts: format!("{PART_REPORT_PREFIX}{name}/{incarnation}"),
            has_parts: Cell::new(false),
        }
    }

    /// Returns the writes of a report. Parts are left out while there were none.
    fn writes(
        &self,
        report: &CrashReport,
        age_of: impl Fn(EndedReplica) -> Duration,
        lease: u64,
    ) -> Vec<Write> {
        let has_parts = report.keys().any(|id| matches!(id, SuspectId::Part(_)));
        if has_parts {
            self.has_parts.set(true);
        }
        let keys = [&self.requests, &self.parts];
        let count = 1 + usize::from(self.has_parts.get());
        let writes = keys.into_iter().take(count).map(|key| Write {
            key: key.clone(),
            value: Bytes::from(serialize(key, report, &age_of)),
            lease,
        });
        writes.collect()
    }
}

/// The lease under which this node's report is stored.
#[derive(Debug, Clone, Copy)]
struct ReportLease {
    id: u64,
    granted_at: Moment,
}

/// Writes this node's report whenever it changes, until the process ends. The keys contain
/// `incarnation`, so an earlier process's report remains until its lease ends.
pub async fn publish<P: Platform>(node: Rc<Node<P>>, incarnation: u64) {
    let keys = ReportKeys::of(&node, incarnation);
    let mut lease = None;
    loop {
        node.crash_report_changed.notified().await;
        sleep(BATCH_DELAY).await;
        let mut failures = 0;
        while let Err(error) = write(&node, &keys, &mut lease).await {
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
    keys: &ReportKeys,
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
    let (writes, suspicions) = {
        let ledger = &mut node.state.borrow_mut().crash_ledger;
        let report = ledger.own_report(now);
        let age_of = |replica| ledger.end_age(replica, now);
        (keys.writes(&report, age_of, usable.id), report.len())
    };
    let put = ConditionalPut {
        conditions: Vec::new(),
        writes,
    };
    store.put(put).await?;
    tracing::info!(target: "crash", event = "report written", suspicions);
    Ok(())
}

/// Sends the report to the nodes that this one listens to, which add it to theirs.
fn send_to_orderers<P: Platform>(node: &Node<P>) {
    let now = node.clock.now();
    let (requests, parts) = {
        let ledger = &mut node.state.borrow_mut().crash_ledger;
        let report = ledger.own_report(now);
        let age_of = |replica| ledger.end_age(replica, now);
        (
            WireCrashReport::from_report(&report),
            WirePartReport::from_report(&report, age_of),
        )
    };
    node.send_to_orderers(&ToOrderer::Crashes(requests));
    if !parts.is_empty() {
        node.send_to_orderers(&ToOrderer::CrashParts(parts));
    }
}
