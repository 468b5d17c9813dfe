//! A fleet-wide lock by which a request under which replicas ended runs once at a time, and of the
//! requests with a part under which they ended one.
//!
//! Callers send such a request to several nodes, and its copies wait together for the
//! model that was lost with its replica. If they were sent together, they would end as
//! many replicas, or one replica with many streams, before any node knows of the next
//! end. So each run first creates a key in the store, and releases it once all nodes
//! know how the run ended. An innocent request is rarely sent twice at once; the lock
//! costs it three store calls, about 10 ms, once.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::crash_ledger::SuspectId;
use tokio::time::{sleep, timeout};

use crate::node::Node;
use crate::ports::{ConditionalPut, Expectation, KeyValueStore, Platform, PutOutcome, StoreError, Write};

/// Prefix of the keys of trials.
const TRIAL_PREFIX: &str = "croftrill/trials/";
/// Maximum time for which a trial blocks others: the 2 s within which a request crashes its
/// replica after it starts, and a second until all nodes know of the end.
const MAX_TRIAL_DURATION: Duration = Duration::from_secs(3);
/// Maximum wait for the key: much longer than two store calls take (10 ms). A request does not wait
/// for a slow or unreachable store.
const MAX_STORE_WAIT: Duration = Duration::from_millis(100);
/// Time until all nodes know that a trial crashed its replica: until the node has detected
/// it (10 ms) and written it (50 ms), and the relays have published it.
const RELEASE_DELAY: Duration = Duration::from_millis(400);

/// A run of a request that blocks others of its suspect until it is dropped.
pub(crate) struct Trial<P: Platform> {
    node: Rc<Node<P>>,
    lease: u64,
    /// Whether a replica may have begun to run the request.
    pub(crate) may_have_run: bool,
}

impl<P: Platform> Drop for Trial<P> {
    fn drop(&mut self) {
        let (node, lease) = (self.node.clone(), self.lease);
        let delay = if self.may_have_run {
            RELEASE_DELAY
        } else {
            Duration::ZERO
        };
        tokio::task::spawn_local(async move {
            sleep(delay).await;
            if let Err(error) = node.store().end_lease(lease).await {
                tracing::debug!(target: "crash", event = "trial key not released; it expires with its lease",
                    %error);
            }
        });
    }
}

/// Whether a trial may start.
pub(crate) enum TrialOutcome<P: Platform> {
    /// The trial may start.
    Acquired(Trial<P>),
    /// Another trial of the suspect is running.
    Busy,
    /// The store did not answer or returned an error.
    StoreUnavailable,
}

/// Acquires the trial key of a suspect.
pub(crate) async fn acquire<P: Platform>(node: &Rc<Node<P>>, suspect: SuspectId) -> TrialOutcome<P> {
    let created = timeout(MAX_STORE_WAIT, create_key(node, suspect)).await;
    match created.unwrap_or(Err(StoreError::NoAnswer)) {
        Ok(Some(lease)) => TrialOutcome::Acquired(Trial {
            node: node.clone(),
            lease,
            may_have_run: false,
        }),
        Ok(None) => TrialOutcome::Busy,
        Err(error) => {
            tracing::info!(target: "crash",
                event = "not limited to one run at a time; store call failed", %suspect, %error);
            TrialOutcome::StoreUnavailable
        }
    }
}

/// Creates the key and returns its lease; `None` if another trial holds the key.
async fn create_key<P: Platform>(node: &Node<P>, suspect: SuspectId) -> Result<Option<u64>, StoreError> {
    let store = node.store();
    let key = format!("{TRIAL_PREFIX}{suspect}");
    let lease = store.grant_lease(MAX_TRIAL_DURATION).await?;
    let absent = Expectation {
        key: key.clone(),
        revision: 0,
    };
    let write = Write {
        key,
        value: Bytes::from(node.settings.identity.name.clone()),
        lease,
    };
    let put = ConditionalPut {
        conditions: vec![absent],
        writes: vec![write],
    };
    let created = matches!(store.put(put).await?, PutOutcome::Done { .. });
    Ok(created.then_some(lease))
}
