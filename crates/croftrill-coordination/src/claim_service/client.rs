//! The gateway's side: finds the holder of a key and asks it.

use super::peers::{ClaimCallError, ClaimPeers};
use arc_swap::ArcSwap;
use croftrill_protocol::peer::{ClaimOutcome, ClaimRequest, ClaimResult, FinishOutcome};
use croftrill_state::claims::{membership_revision, ClaimConfig, ClaimRing};
use croftrill_state::{CellId, ClusterState, IdempotencyKey, RequestId, Revision};
use log::{debug, warn};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// A holder that lacks authority for no longer than this is asked again, in
/// milliseconds: after each change of the log it waits until its peers have
/// applied as much as it has.
const BRIEF_MILLIS: u64 = 1_000;
/// Told to a caller if no holder could be asked, in milliseconds.
const UNREACHABLE_RETRY_MILLIS: u64 = 2_000;

/// Settings of the gateway's side.
#[derive(Clone, Debug)]
pub struct ClaimClientConfig {
    /// The cell whose nodes hold the keys; the same at all gateways that a
    /// caller may send one key to.
    pub cell: CellId,
    /// Settings of claims.
    pub claims: ClaimConfig,
    /// Longest wait for one answer.
    pub call_limit: Duration,
    /// Pause before the first retry; each later one is twice as long.
    pub retry_pause: Duration,
    /// Calls for one claim at most.
    pub max_calls: u32,
    /// Calls for one report of an end at most.
    pub max_finish_calls: u32,
}

impl ClaimClientConfig {
    /// The usual settings.
    pub fn new(cell: CellId, claims: ClaimConfig) -> Self {
        Self {
            cell,
            claims,
            call_limit: Duration::from_millis(1_500),
            retry_pause: Duration::from_millis(25),
            max_calls: 6,
            max_finish_calls: 8,
        }
    }
}

/// The right to dispatch one request. Its end must be reported once, with
/// [`ClaimClient::finish`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimGrant {
    /// The key.
    pub key: IdempotencyKey,
    /// The request.
    pub request: RequestId,
    /// No attempt may be dispatched after this time, because the key may be
    /// free for others later. Look at the clock right before the dispatch.
    pub dispatch_before: Instant,
}

/// What a gateway does with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Dispatch it.
    Granted(ClaimGrant),
    /// Refuse it: another request holds the key.
    Duplicate {
        /// That request.
        by: RequestId,
        /// Whether it is known to have finished.
        finished: bool,
    },
    /// Refuse it: nobody can say now whether the key was used.
    HistoryUnknown {
        /// When to come back, in milliseconds.
        retry_after_millis: u64,
    },
}

enum Step {
    Decided(ClaimDecision),
    Retry { sent: bool },
}

struct HolderAddress {
    address: String,
    revision: Revision,
}

/// Claims keys for a gateway's requests.
pub struct ClaimClient<P> {
    config: ClaimClientConfig,
    state: Arc<ArcSwap<ClusterState>>,
    peers: Arc<P>,
    ring: Mutex<Arc<ClaimRing>>,
}

impl<P: ClaimPeers> ClaimClient<P> {
    /// A client that reads the holders from the latest state.
    pub fn new(config: ClaimClientConfig, state: Arc<ArcSwap<ClusterState>>, peers: Arc<P>) -> Self {
        Self {
            config,
            state,
            peers,
            ring: Mutex::new(Arc::new(ClaimRing::default())),
        }
    }

    /// Claims a key for a request, by the deadline. A request claims once: after
    /// an answer other than `Granted`, or after its end was reported, a new
    /// claim needs a new request id.
    pub async fn claim(&self, key: &IdempotencyKey, request: RequestId, deadline: Instant) -> ClaimDecision {
        let mut pause = self.config.retry_pause;
        let mut sent = false;
        for _ in 0..self.config.max_calls {
            let limit = self.config.call_limit.min(remaining(deadline));
            if limit.is_zero() {
                break;
            }
            match self.ask_holder(key, request, limit).await {
                Step::Decided(decision) => return self.decided(decision, key, request, sent).await,
                Step::Retry { sent: this_sent } => sent |= this_sent,
            }
            tokio::time::sleep(pause.min(remaining(deadline))).await;
            pause *= 2;
        }
        if sent {
            self.release(key, request).await;
        }
        ClaimDecision::HistoryUnknown {
            retry_after_millis: UNREACHABLE_RETRY_MILLIS,
        }
    }

    /// Releases the key if an earlier call may have been granted without this
    /// gateway learning of it.
    async fn decided(
        &self,
        decision: ClaimDecision,
        key: &IdempotencyKey,
        request: RequestId,
        sent: bool,
    ) -> ClaimDecision {
        if sent && matches!(decision, ClaimDecision::HistoryUnknown { .. }) {
            self.release(key, request).await;
        }
        decision
    }

    async fn ask_holder(&self, key: &IdempotencyKey, request: RequestId, limit: Duration) -> Step {
        let Some(holder) = self.holder(key) else {
            return Step::Retry { sent: false };
        };
        let message = ClaimRequest {
            key: key.clone(),
            request,
            revision: holder.revision,
        };
        let asked_at = Instant::now();
        match self.peers.claim(&holder.address, message, limit).await {
            Ok(ClaimOutcome::Granted) => self.take_grant(key, request, asked_at).await,
            Ok(ClaimOutcome::Taken { by, finished }) => {
                Step::Decided(ClaimDecision::Duplicate { by, finished })
            }
            Ok(ClaimOutcome::HistoryUnknown { retry_after_millis }) if retry_after_millis <= BRIEF_MILLIS => {
                Step::Retry { sent: false }
            }
            Ok(ClaimOutcome::HistoryUnknown { retry_after_millis }) => {
                Step::Decided(ClaimDecision::HistoryUnknown { retry_after_millis })
            }
            Ok(ClaimOutcome::WrongHolder { revision }) => {
                debug!(
                    "claims: wrong holder key={key} own={} holder={revision}",
                    holder.revision
                );
                Step::Retry { sent: false }
            }
            Err(ClaimCallError::NotSent) => Step::Retry { sent: false },
            Err(ClaimCallError::Unanswered) => Step::Retry { sent: true },
        }
    }

    /// A grant that was long on its way is dropped: by now its holder may have
    /// been replaced, for longer than the new one waits.
    async fn take_grant(&self, key: &IdempotencyKey, request: RequestId, asked_at: Instant) -> Step {
        let claims = &self.config.claims;
        if asked_at.elapsed() > Duration::from_millis(claims.grant_transit_millis) {
            warn!("claims: grant arrived too late key={key} request={request}");
            self.release(key, request).await;
            return Step::Decided(ClaimDecision::HistoryUnknown {
                retry_after_millis: UNREACHABLE_RETRY_MILLIS,
            });
        }
        Step::Decided(ClaimDecision::Granted(ClaimGrant {
            key: key.clone(),
            request,
            dispatch_before: asked_at + Duration::from_millis(claims.window_millis / 2),
        }))
    }

    async fn release(&self, key: &IdempotencyKey, request: RequestId) {
        self.finish(key, request, ClaimResult::NotRun).await;
    }

    /// Reports the end of a claimed request. `false` if no holder took it; the
    /// key then stays taken for the window. It may take seconds, so a gateway
    /// answers its caller first.
    pub async fn finish(&self, key: &IdempotencyKey, request: RequestId, result: ClaimResult) -> bool {
        let mut pause = self.config.retry_pause;
        for _ in 0..self.config.max_finish_calls {
            if let Some(holder) = self.holder(key) {
                let limit = self.config.call_limit;
                let called = self
                    .peers
                    .finish_claim(&holder.address, key.clone(), request, result, limit)
                    .await;
                if called == Ok(FinishOutcome::Recorded) {
                    return true;
                }
            }
            tokio::time::sleep(pause).await;
            pause *= 2;
        }
        warn!("claims: end not recorded key={key} request={request} result={result:?}");
        false
    }

    fn holder(&self, key: &IdempotencyKey) -> Option<HolderAddress> {
        let state = self.state.load();
        let ring = self.ring_of(&state);
        let node = state.nodes.get(ring.holder(key)?)?;
        Some(HolderAddress {
            address: node.value.peer_address.clone(),
            revision: ring.revision,
        })
    }

    /// The ring of a state, made anew only if it changed.
    fn ring_of(&self, state: &ClusterState) -> Arc<ClaimRing> {
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        if ring.revision != membership_revision(state, &self.config.cell) {
            *ring = Arc::new(ClaimRing::of_cell(state, &self.config.cell));
        }
        ring.clone()
    }
}

fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
