//! Spreads which services' replicas bear few rejections.
//!
//! A node to which callers come only now must know it before its first answer. So while replicas say
//! it, some node writes it to the store every few seconds; the change reaches all nodes over the tree
//! of relays. A report that was lost is replaced by the next one.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::brittle::SERVICE_VALIDITY;
use croftrill_scheduler::catalog::ServiceName;
use nanoserde::{DeBin, SerBin};
use rand::Rng;
use tokio::time::sleep;

use crate::metrics::Metrics;
use crate::node::Node;
use crate::ports::{ConditionalPut, Item, KeyValueStore, Platform, StoreError, Write};
use crate::wire::decode;

/// Prefix of the keys of reports. Earlier builds ignore them.
const REPORT_PREFIX: &str = "croftrill/brittle/";
/// Interval of the reports of a service. Two of them may be lost before nodes forget it.
const REPORT_INTERVAL: Duration = Duration::from_secs(3);
/// Maximum delay before a report, so that one node reports for all.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(300);

/// What a report tells of a service.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
struct WireBrittleReport {
    /// Rejections a second that each of its replicas bears.
    max_rejections_per_s: u32,
}

/// Returns whether a key of the store is that of a report.
pub(crate) fn is_report(key: &str) -> bool {
    key.starts_with(REPORT_PREFIX)
}

/// Applies a report that was written to the store.
pub(crate) fn apply<P: Platform>(node: &Node<P>, item: &Item) {
    let Some(service) = item.key.strip_prefix(REPORT_PREFIX) else {
        return;
    };
    match read(item) {
        Ok(report) => {
            let now = node.clock.now();
            let known = &mut node.state.borrow_mut().brittle_replicas;
            known.record_report(&service.into(), report.max_rejections_per_s, now);
            tracing::info!(target: "limit", event = "replicas are reported to bear few rejections", service,
                max_per_s = report.max_rejections_per_s);
        }
        Err(error) => {
            tracing::warn!(target: "limit", event = "report cannot be read", key = item.key, %error);
        }
    }
}

fn read(item: &Item) -> io::Result<WireBrittleReport> {
    decode::<WireBrittleReport>(&item.value)
}

/// Reports what replicas tell this node, until the process ends.
pub(crate) async fn publish<P: Platform>(node: Rc<Node<P>>) {
    loop {
        node.rejections_heard.notified().await;
        if due(&node).is_empty() {
            continue;
        }
        let share = rand::rng().random_range(0.0..1.0);
        sleep(MAX_REPORT_DELAY.mul_f64(share)).await;
        for (service, max_per_s) in due(&node) {
            let outcome = match write(&node, &service, max_per_s).await {
                Ok(()) => "written",
                Err(error) => {
                    tracing::warn!(target: "limit", event = "report not written", service = &*service, %error);
                    "not written"
                }
            };
            Metrics::count(&node.metrics.replica_words, "rejections", outcome);
        }
    }
}

/// Returns the services of which no node has reported it recently.
fn due<P: Platform>(node: &Node<P>) -> Vec<(ServiceName, u32)> {
    let now = node.clock.now();
    let known = &node.state.borrow().brittle_replicas;
    known.unreported(REPORT_INTERVAL, now)
}

async fn write<P: Platform>(node: &Node<P>, service: &str, max_per_s: u32) -> Result<(), StoreError> {
    let store = node.store();
    let lease = store.grant_lease(SERVICE_VALIDITY).await?;
    let report = WireBrittleReport {
        max_rejections_per_s: max_per_s,
    };
    let put = ConditionalPut {
        conditions: Vec::new(),
        writes: vec![Write {
            key: format!("{REPORT_PREFIX}{service}"),
            value: Bytes::from(report.serialize_bin()),
            lease,
        }],
    };
    store.put(put).await?;
    Ok(())
}
