//! The claim of one unrepeatable request, from asking for it to its end.

use crate::caller_request::RunOnce;
use crate::claims::{ClaimAuthority, ClaimDecision};
use crate::interruption::{Interruption, InterruptionWatch};
use croftrill_protocol::peer::ClaimResult;
use croftrill_state::outcome::{Refusal, RefusalCause};
use croftrill_state::RequestId;
use log::{info, warn};
use std::sync::Arc;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// When a caller should come back if nothing better is known, in milliseconds.
const DEFAULT_RETRY_AFTER_MILLIS: u64 = 1000;

/// Why a request may not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ClaimFailure {
    /// It is refused.
    Refused(Refusal),
    /// Nobody waits for it.
    CallerGone,
}

/// The claim of a request; of a repeatable one it is always granted.
pub(crate) struct ClaimTicket {
    claims: Arc<dyn ClaimAuthority>,
    request: RequestId,
    run_once: Option<RunOnce>,
    /// Whether the key's holder may count the request as the key's owner.
    open: bool,
    /// Set by the grant: no attempt may be dispatched later.
    dispatch_before: Option<Instant>,
}

impl ClaimTicket {
    pub fn new(claims: Arc<dyn ClaimAuthority>, request: RequestId, run_once: Option<RunOnce>) -> Self {
        Self {
            claims,
            request,
            run_once,
            open: false,
            dispatch_before: None,
        }
    }

    /// Whether the request may be dispatched at `now`. A gateway that was paused
    /// after its grant may find the key free for others.
    pub fn check_dispatch(&self, now: Instant) -> Result<(), Refusal> {
        let (Some(run_once), Some(before)) = (&self.run_once, self.dispatch_before) else {
            return Ok(());
        };
        if now < before {
            return Ok(());
        }
        warn!(
            "gateway: grant too old to dispatch request={} key={}",
            self.request, run_once.key
        );
        let cause = RefusalCause::KeyHistoryUnknown;
        Err(not_granted(cause, DEFAULT_RETRY_AFTER_MILLIS))
    }

    /// Asks for the claim; the request may run only if it is granted. A key that
    /// this gateway made is known to nobody else: its own rule of never
    /// dispatching again what may have run is enough.
    pub async fn ask(&mut self, watch: &InterruptionWatch) -> Result<(), ClaimFailure> {
        let Some(RunOnce { key, .. }) = self.run_once.as_ref().filter(|run_once| run_once.from_caller) else {
            return Ok(());
        };
        // As long as the answer is not known, the claim may have been granted.
        self.open = true;
        let decision = watch.run(self.claims.claim(key, self.request)).await;
        match decision {
            Ok(ClaimDecision::Granted { dispatch_before }) => {
                self.dispatch_before = Some(dispatch_before);
                Ok(())
            }
            Ok(ClaimDecision::Taken { finished }) => {
                self.open = false;
                info!(
                    "gateway: key taken request={} key={key} finished={finished}",
                    self.request
                );
                let refusal = Refusal::may_have_run(RefusalCause::DuplicateKey, DEFAULT_RETRY_AFTER_MILLIS);
                Err(ClaimFailure::Refused(refusal))
            }
            Ok(ClaimDecision::HistoryUnknown { retry_after_millis }) => {
                self.open = false;
                let cause = RefusalCause::KeyHistoryUnknown;
                Err(refused(cause, retry_after_millis))
            }
            Ok(ClaimDecision::Unavailable { retry_after_millis }) => {
                let cause = RefusalCause::KeyHistoryUnknown;
                Err(refused(cause, retry_after_millis))
            }
            Err(Interruption::DeadlinePassed) => {
                let cause = RefusalCause::DeadlineExpired;
                Err(refused(cause, DEFAULT_RETRY_AFTER_MILLIS))
            }
            Err(Interruption::CallerGone) => Err(ClaimFailure::CallerGone),
        }
    }

    /// Begins to tell the holder how the request ended; `None` if there is
    /// nothing to tell.
    pub fn finish(&mut self, result: ClaimResult) -> Option<JoinHandle<()>> {
        if !std::mem::take(&mut self.open) {
            return None;
        }
        let key = self.run_once.as_ref()?.key.clone();
        let claims = self.claims.clone();
        let request = self.request;
        Some(tokio::spawn(
            async move { claims.finish(&key, request, result).await },
        ))
    }
}

/// Without a claim in force, an earlier request with the caller's key may have
/// run.
fn not_granted(cause: RefusalCause, retry_after_millis: u64) -> Refusal {
    Refusal::may_have_run(cause, retry_after_millis.max(1))
}

fn refused(cause: RefusalCause, retry_after_millis: u64) -> ClaimFailure {
    ClaimFailure::Refused(not_granted(cause, retry_after_millis))
}
