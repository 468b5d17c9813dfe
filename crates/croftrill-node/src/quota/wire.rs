//! Messages between a node and the keeper of a partition of the quotas or limits.

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
