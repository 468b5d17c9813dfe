//! What nodes tell each other of requests that crash replicas.
//!
//! Each node keeps one item in the store, its report; the store's changes reach all
//! nodes over the tree of relays, and nodes that start anew read them with the rest.
//! So nothing is lost with an orderer, a relay or the node itself. A report goes
//! with its lease: it is written again whenever its content changes, and while
//! requests in it still come.
//!
//! While a node cannot write to the store itself, the nodes that it listens to
//! report for it.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::crash_ledger::{CrashLedger, EndedReplica, Fingerprint, Verdict, REPORT_RETENTION};
use croftrill_scheduler::time::Moment;
use nanoserde::SerBin;
use rand::Rng;
use tokio::time::sleep;

use crate::crash_wire::WireCrashReport;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::peer::ToOrderer;
use crate::ports::{ConditionalPut, Item, KeyValueStore, Platform, StoreError, Write};
use crate::wire::decode;

/// Prefix of the reports' keys.
const REPORT_PREFIX: &str = "croftrill/crashes/";
/// Changes within this time go out together: what broke with one rack of replicas
/// is one write.
const GATHER: Duration = Duration::from_millis(40);
/// Pause after a write that failed, on average. With the store's own time to
/// answer and the relay's, a report is everywhere within a second of its return.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Age from which on a lease is not used for further reports, so that what is
/// written lives nearly as long as a lease.
const LEASE_USED_FOR: Duration = Duration::from_secs(60);

/// True if a key of the store is a node's report.
pub(crate) fn is_report(key: &str) -> bool {
    key.starts_with(REPORT_PREFIX)
}

/// A node's report was written.
pub(crate) fn report_written<P: Platform>(node: &Node<P>, item: &Item) {
    let Ok(report) = decode::<WireCrashReport>(&item.value) else {
        tracing::warn!(target: "crash", event = "report cannot be read", key = item.key);
        return;
    };
    let now = node.clock.now();
    let ledger = &mut node.state.borrow_mut().crash_ledger;
    ledger.apply_report(&item.key, report.into_report(), now);
}

/// A key of the store was removed: if it held this node's report, that is told anew.
pub(crate) fn key_removed<P: Platform>(node: &Node<P>, key: &str) {
    let own = key
        .strip_prefix(REPORT_PREFIX)
        .and_then(|rest| rest.split('/').next());
    if own == Some(node.settings.identity.name.as_str()) {
        tell_again(node);
    }
}

/// The store may have lost this node's report.
pub(crate) fn tell_again<P: Platform>(node: &Node<P>) {
    let now = node.clock.now();
    let has_some = !node.state.borrow_mut().crash_ledger.own_report(now).is_empty();
    if has_some {
        node.crash_report_changed.notify_one();
    }
}

/// Requests of one replica that ended had just begun there.
pub(crate) fn replica_ended<P: Platform>(
    node: &Node<P>,
    replica: EndedReplica,
    begun: impl Iterator<Item = Fingerprint>,
) {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    let mut count = 0;
    for fingerprint in begun {
        state.crash_ledger.record_end(fingerprint, replica, now);
        count += 1;
    }
    drop(state);
    if count > 0 {
        Metrics::count(&node.metrics.crashes, "replica", "ended");
        node.crash_report_changed.notify_one();
    }
}

/// What may happen with a request. One that is refused stays in this node's report
/// for as long as it comes.
pub(crate) fn verdict<P: Platform>(node: &Node<P>, fingerprint: Fingerprint) -> Verdict {
    let now = node.clock.now();
    let ledger = &mut node.state.borrow_mut().crash_ledger;
    let verdict = ledger.verdict(fingerprint, now);
    if verdict == Verdict::Refused && ledger.adopt(fingerprint, now) {
        node.crash_report_changed.notify_one();
    }
    verdict
}

/// A replica answered a request whole.
pub(crate) fn answered_whole<P: Platform>(node: &Node<P>, fingerprint: Fingerprint) {
    let now = node.clock.now();
    let is_cleared = node.state.borrow_mut().crash_ledger.clear(fingerprint, now);
    if is_cleared {
        Metrics::count(&node.metrics.crashes, "request", "cleared");
        node.crash_report_changed.notify_one();
    }
}

/// An operator lets a request be sent again. False if nothing stands against it.
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

/// Another node cannot write its report: this one's tells it too.
pub(crate) fn adopt<P: Platform>(node: &Node<P>, report: WireCrashReport) {
    let now = node.clock.now();
    let ledger = &mut node.state.borrow_mut().crash_ledger;
    if ledger.adopt_report(&report.into_report(), now) {
        node.crash_report_changed.notify_one();
    }
}

/// All reports as items of the store, by key.
pub(crate) fn items(ledger: &CrashLedger) -> Vec<(String, Vec<u8>)> {
    let reports = ledger.reports();
    let items = reports.map(|(key, report)| {
        let value = WireCrashReport::from_report(report).serialize_bin();
        (key.to_string(), value)
    });
    items.collect()
}

/// The lease under which this node's report stands.
#[derive(Debug, Clone, Copy)]
struct ReportLease {
    number: u64,
    granted_at: Moment,
}

/// Writes this node's report whenever it changes, until the process ends.
/// `incarnation`: a former process's report stands beside it until its lease is over.
pub async fn publish<P: Platform>(node: Rc<Node<P>>, incarnation: u64) {
    let key = format!("{REPORT_PREFIX}{}/{incarnation}", node.settings.identity.name);
    let mut lease = None;
    loop {
        node.crash_report_changed.notified().await;
        sleep(GATHER).await;
        let mut failures = 0;
        while let Err(error) = write(&node, &key, &mut lease).await {
            failures += 1;
            lease = None;
            if failures == 1 {
                tracing::warn!(target: "crash", event = "report not written", %error);
            }
            // Each time, as more may have joined it.
            hand_over(&node);
            let share = rand::rng().random_range(0.5..1.5);
            sleep(RETRY_PAUSE.mul_f64(share)).await;
        }
    }
}

/// Writes the report as it is now.
async fn write<P: Platform>(
    node: &Node<P>,
    key: &str,
    lease: &mut Option<ReportLease>,
) -> Result<(), StoreError> {
    let store = node.store();
    let now = node.clock.now();
    let usable = lease.filter(|lease| now.since(lease.granted_at) < LEASE_USED_FOR);
    let usable = match usable {
        Some(lease) => lease,
        None => ReportLease {
            number: store.grant_lease(REPORT_RETENTION).await?,
            granted_at: now,
        },
    };
    *lease = Some(usable);
    let report = node.state.borrow_mut().crash_ledger.own_report(now);
    let suspicions = report.len();
    let write = Write {
        key: key.to_string(),
        value: Bytes::from(WireCrashReport::from_report(&report).serialize_bin()),
        lease: usable.number,
    };
    let put = ConditionalPut {
        conditions: Vec::new(),
        writes: vec![write],
    };
    store.put(put).await?;
    tracing::info!(target: "crash", event = "report written", suspicions);
    Ok(())
}

/// The nodes that this one listens to are asked to tell its report.
fn hand_over<P: Platform>(node: &Node<P>) {
    let now = node.clock.now();
    let report = node.state.borrow_mut().crash_ledger.own_report(now);
    let wire = WireCrashReport::from_report(&report);
    node.tell_orderers(&ToOrderer::Crashes(wire));
}
