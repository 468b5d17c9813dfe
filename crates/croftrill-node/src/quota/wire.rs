//! Messages between a node and the keeper of a partition of the quotas or limits.

use std::time::Duration;

use croftrill_scheduler::quota::keeper::ReservationDecision;
use croftrill_scheduler::quota::permits::{PermitAnswer, PermitEnd, PermitRequest};
use croftrill_scheduler::tenants::{Quota, QuotaUnit};
use nanoserde::{DeBin, SerBin};

/// A message to a keeper.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum ToKeeper {
    /// Requests a reservation for a tenant's request.
    ReserveQuota(WireQuotaQuery),
    /// A granted request did not run.
    Refund {
        /// The tenant, or the replica on a link to a keeper of limits.
        subject: String,
        /// Granted units.
        cost: u64,
    },
    /// Heartbeat: the node still listens.
    Alive,
    /// Transfers a cost that a former keeper granted for a later time that has not passed.
    Carry {
        /// The tenant, or the replica on a link to a keeper of limits.
        subject: String,
        /// Granted units.
        cost: u64,
    },
    /// Requests a reservation for a call to a replica that reported a limit. Sent only to
    /// keepers of limits, whose entries say that they understand it.
    ReserveLimit(WireLimitQuery),
    /// Requests a permit for a request to a replica that bears few rejections. This and the next
    /// two are sent only to keepers whose entries say that they understand them.
    RequestPermit(WirePermitQuery),
    /// The answer to a permit's request has started.
    PermitStarted(WirePermitStart),
    /// The request of a permit has ended, or no permit is needed any more.
    PermitEnded(WirePermitEnded),
}

/// A request for a permit, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WirePermitQuery {
    /// Id of the query, unique on its link.
    pub id: u64,
    /// The replica.
    pub replica: String,
    /// When its incarnation started, in Unix milliseconds, if known.
    pub started_ms: Option<u64>,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Rejections a second that it bears.
    pub max_rejections_per_s: u32,
    /// Time for which the request can wait, in milliseconds.
    pub patience_ms: u32,
    /// Time after which the replica stops to work on the request, in milliseconds.
    pub lifetime_ms: u32,
    /// True if no other requests are more urgent.
    pub is_urgent: bool,
}

/// The start of the answer to a permit's request, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WirePermitStart {
    /// Id of the query that the permit was granted to.
    pub id: u64,
    /// The replica.
    pub replica: String,
    /// What the answer shows.
    pub answer: WirePermitAnswer,
}

/// The end of a permit's request, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WirePermitEnded {
    /// Id of the query that the permit was granted to.
    pub id: u64,
    /// The replica.
    pub replica: String,
    /// How the request ended.
    pub end: WirePermitEnd,
}

/// What an answer shows, on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub struct WirePermitAnswer {
    /// Time from the send to the answer, in milliseconds.
    pub elapsed_ms: u32,
    /// Requests at the replica, if it tells them.
    pub requests: Option<u32>,
}

/// How the request of a permit ended, on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub enum WirePermitEnd {
    /// It was not sent.
    NotSent,
    /// The replica answered it to the end.
    Complete(WirePermitAnswer),
    /// The replica rejected it.
    Rejected,
    /// It may still run.
    Unknown,
}

impl WirePermitQuery {
    /// Converts a request into its wire form.
    pub fn from_request(id: u64, replica: &str, request: &PermitRequest) -> Self {
        WirePermitQuery {
            id,
            replica: replica.to_string(),
            started_ms: request.started_ms,
            slots: request.slots,
            max_rejections_per_s: request.max_rejections_per_s,
            patience_ms: request.patience.as_millis() as u32,
            lifetime_ms: request.lifetime.as_millis() as u32,
            is_urgent: request.is_urgent,
        }
    }

    /// Returns the request.
    pub fn to_request(&self) -> PermitRequest {
        PermitRequest {
            started_ms: self.started_ms,
            slots: self.slots,
            max_rejections_per_s: self.max_rejections_per_s,
            patience: Duration::from_millis(u64::from(self.patience_ms)),
            lifetime: Duration::from_millis(u64::from(self.lifetime_ms)),
            is_urgent: self.is_urgent,
        }
    }
}

impl WirePermitAnswer {
    /// Converts an answer into its wire form.
    pub fn from_answer(answer: PermitAnswer) -> Self {
        WirePermitAnswer {
            elapsed_ms: answer.elapsed.as_millis() as u32,
            requests: answer.requests,
        }
    }

    /// Returns the answer.
    pub fn to_answer(self) -> PermitAnswer {
        PermitAnswer {
            elapsed: Duration::from_millis(u64::from(self.elapsed_ms)),
            requests: self.requests,
        }
    }
}

impl WirePermitEnd {
    /// Converts an end into its wire form.
    pub fn from_end(end: PermitEnd) -> Self {
        match end {
            PermitEnd::NotSent => WirePermitEnd::NotSent,
            PermitEnd::Complete(answer) => WirePermitEnd::Complete(WirePermitAnswer::from_answer(answer)),
            PermitEnd::Rejected => WirePermitEnd::Rejected,
            PermitEnd::Unknown => WirePermitEnd::Unknown,
        }
    }

    /// Returns the end.
    pub fn to_end(self) -> PermitEnd {
        match self {
            WirePermitEnd::NotSent => PermitEnd::NotSent,
            WirePermitEnd::Complete(answer) => PermitEnd::Complete(answer.to_answer()),
            WirePermitEnd::Rejected => PermitEnd::Rejected,
            WirePermitEnd::Unknown => PermitEnd::Unknown,
        }
    }
}

/// A query about a replica's limit, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireLimitQuery {
    /// Id of the query, unique on its link.
    pub id: u64,
    /// The replica.
    pub replica: String,
    /// When the incarnation that reported the limit started, in Unix milliseconds.
    pub started_ms: Option<u64>,
    /// The limit as the sender received it, in thousandths of a request per second.
    pub limit_millis_per_s: u64,
    /// How long ago the sender received it, in milliseconds.
    pub received_ms_ago: u64,
    /// Time for which the call can wait, in milliseconds.
    pub patience_ms: u32,
    /// True if no calls are more urgent.
    pub is_urgent: bool,
}

/// A query about a tenant's quota, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireQuotaQuery {
    /// Id of the query, unique on its link.
    pub id: u64,
    /// The tenant.
    pub tenant: String,
    /// Cost of the request, in units.
    pub cost: u64,
    /// Time for which the request can wait, in milliseconds.
    pub patience_ms: u32,
    /// True if no route's requests are more urgent.
    pub is_urgent: bool,
    /// The quota as the sender knows it.
    pub quota: WireQuota,
    /// Version of the configuration that states the quota.
    pub version: u64,
}

/// A quota, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireQuota {
    /// Units per second.
    pub rate_per_s: f64,
    /// Units allowed above the rate.
    pub burst: f64,
    /// Tokens that a request without a stated number counts for, or `None` if the quota counts
    /// requests.
    pub plain_tokens: Option<u64>,
}

/// A message from a keeper.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum FromKeeper {
    /// Answer to [`ToKeeper::Alive`] and to the first message of a link.
    Alive,
    /// The request may run.
    Granted {
        /// Id of the query.
        id: u64,
        /// Time after which it may run, in milliseconds.
        after_ms: u32,
    },
    /// The request exceeds the quota or limit.
    Refused {
        /// Id of the query.
        id: u64,
        /// Time until the balance covers the request, in milliseconds.
        retry_after_ms: u32,
        /// The balance, in units.
        balance: f64,
    },
}

impl FromKeeper {
    /// Returns the decision, and the id of the query that it is about; `None` for a heartbeat.
    pub fn to_decision(&self) -> Option<(u64, ReservationDecision)> {
        let millis = |millis: u32| Duration::from_millis(u64::from(millis));
        match *self {
            FromKeeper::Alive => None,
            FromKeeper::Granted { id, after_ms } => {
                let after = millis(after_ms);
                Some((id, ReservationDecision::Granted { after }))
            }
            FromKeeper::Refused {
                id,
                retry_after_ms,
                balance,
            } => {
                let retry_after = millis(retry_after_ms);
                Some((id, ReservationDecision::Refused { retry_after, balance }))
            }
        }
    }

    /// Returns the message of a decision on the query `id`.
    pub fn decision(id: u64, decision: ReservationDecision) -> Self {
        match decision {
            ReservationDecision::Granted { after } => FromKeeper::Granted {
                id,
                // Rounded up, so that the balance covers the request by then.
                after_ms: after.as_micros().div_ceil(1000) as u32,
            },
            ReservationDecision::Refused { retry_after, balance } => FromKeeper::Refused {
                id,
                retry_after_ms: retry_after.as_millis() as u32 + 1,
                balance,
            },
        }
    }
}

impl WireQuota {
    /// Converts a quota into its wire form.
    pub fn from_quota(quota: Quota) -> Self {
        let plain_tokens = match quota.unit {
            QuotaUnit::Requests => None,
            QuotaUnit::Tokens { default_tokens } => Some(default_tokens),
        };
        WireQuota {
            rate_per_s: quota.rate_per_s,
            burst: quota.burst,
            plain_tokens,
        }
    }

    /// Returns the quota.
    pub fn to_quota(&self) -> Quota {
        let unit = match self.plain_tokens {
            None => QuotaUnit::Requests,
            Some(default_tokens) => QuotaUnit::Tokens { default_tokens },
        };
        Quota {
            unit,
            rate_per_s: self.rate_per_s,
            burst: self.burst,
        }
    }
}
