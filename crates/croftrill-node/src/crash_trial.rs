//! One run at a time, over the whole fleet, of a request under which replicas ended.
//!
//! Callers send such a request to several nodes, and its copies wait together for
//! the model that went with its replica. Sent together, they end as many replicas,
//! or one under as many streams, before any node knows of the next end. So each run
//! takes a key of the store first, and leaves it once all nodes know how it ended.
//! An innocent request is rarely sent twice at once, and pays three calls to the
//! store, and some 10 ms, once.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::crash_ledger::Fingerprint;
use tokio::time::{sleep, timeout};

use crate::node::Node;
use crate::ports::{ConditionalPut, Expectation, KeyValueStore, Platform, PutOutcome, StoreError, Write};

/// Prefix of the keys of runs.
const TRIAL_PREFIX: &str = "croftrill/trials/";
/// Longest time that a run keeps others away: the 2 s within which a request that
/// begins crashes its replica, and a second until all nodes know of it.
const LONGEST_TRIAL: Duration = Duration::from_secs(3);
/// Longest wait for the key: many times what two calls take (10 ms), and little beside
/// objectives (500 ms). A request does not wait for a store that is slow or away.
const LONGEST_WAIT: Duration = Duration::from_millis(100);
/// Time until all nodes know that a run crashed its replica: until the node is sure
/// (10 ms), has written it (50 ms), and a relay has told it.
const END_IS_KNOWN: Duration = Duration::from_millis(400);

/// A run that keeps other copies of its request away while this lives.
pub(crate) struct Trial<P: Platform> {
    node: Rc<Node<P>>,
    lease: u64,
}

impl<P: Platform> Drop for Trial<P> {
    fn drop(&mut self) {
        let (node, lease) = (self.node.clone(), self.lease);
        tokio::task::spawn_local(async move {
            sleep(END_IS_KNOWN).await;
            if let Err(error) = node.store().end_lease(lease).await {
                tracing::debug!(target: "crash", event = "the key of a run goes with its lease", %error);
            }
        });
    }
}

/// Whether a run may begin.
pub(crate) enum TrialOutcome<P: Platform> {
    /// It may.
    Won(Trial<P>),
    /// Another one has just begun.
    Lost,
    /// The store cannot tell.
    Unknown,
}

/// Takes the key of a request's run.
pub(crate) async fn begin<P: Platform>(node: &Rc<Node<P>>, fingerprint: Fingerprint) -> TrialOutcome<P> {
    let taken = timeout(LONGEST_WAIT, take_key(node, fingerprint)).await;
    match taken.unwrap_or(Err(StoreError::NoAnswer)) {
        Ok(Some(lease)) => TrialOutcome::Won(Trial {
            node: node.clone(),
            lease,
        }),
        Ok(None) => TrialOutcome::Lost,
        Err(error) => {
            tracing::info!(target: "crash", event = "no run at a time, the store cannot tell", %fingerprint, %error);
            TrialOutcome::Unknown
        }
    }
}

/// The lease that the key stands under; `None` if another run has the key.
async fn take_key<P: Platform>(node: &Node<P>, fingerprint: Fingerprint) -> Result<Option<u64>, StoreError> {
    let store = node.store();
    let key = format!("{TRIAL_PREFIX}{fingerprint}");
    let lease = store.grant_lease(LONGEST_TRIAL).await?;
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
    let taken = matches!(store.put(put).await?, PutOutcome::Done { .. });
    Ok(taken.then_some(lease))
}
