//! Requests reservations for calls to replicas that reported a limit.

use croftrill_scheduler::quota::limits::{LimitRequest, ReportedLimit};
use croftrill_scheduler::replica::ReplicaId;

use crate::metrics::Metrics;
use crate::node::Node;
use crate::ports::Platform;
use crate::quota::{LimitQuery, LimitVerdict};

/// The answer to a request for a reservation, and the limit that it is based on.
pub(crate) struct Reservation {
    pub(crate) limit: ReportedLimit,
    pub(crate) verdict: LimitVerdict,
}

/// Requests a reservation for a call; returns `None` at once if the replica reported no limit.
/// `call` is the kind of call for metrics.
pub(crate) async fn request<P: Platform>(
    node: &Node<P>,
    replica: &ReplicaId,
    call: &'static str,
    want: LimitRequest,
) -> Option<Reservation> {
    let (limit, started_ms) = node.state.borrow().replicas.limit_of(replica)?;
    let request = LimitQuery {
        replica,
        started_ms,
        limit,
        request: want,
        nodes: node.share().nodes,
    };
    let verdict = node.quotas.reserve_limit(request).await;
    let outcome = match &verdict {
        LimitVerdict::Granted(Some(_), _) => "granted",
        LimitVerdict::Granted(None, _) => "own turn",
        LimitVerdict::Refused { .. } => "refused",
    };
    Metrics::count(&node.metrics.limited, call, outcome);
    Some(Reservation { limit, verdict })
}
