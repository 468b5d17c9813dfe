//! Messages between a node and the keeper of a part of the quotas or limits.

use croftrill_scheduler::tenants::{Quota, QuotaUnit};
use nanoserde::{DeBin, SerBin};

/// A message to a keeper.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum ToKeeper {
    /// A request of a tenant wants to run.
    Ask(WireAsk),
    /// A request that was granted did not run.
    GiveBack {
        /// The tenant, or the replica on a link to a keeper of limits.
        tenant: String,
        /// Units that were granted.
        cost: u64,
    },
    /// The node still listens.
    Alive,
    /// So much was granted to the node ahead by a former keeper, and is still to run.
    Carry {
        /// The tenant, or the replica on a link to a keeper of limits.
        tenant: String,
        /// Units that were granted.
        cost: u64,
    },
    /// A call wants to go to a replica that named a limit. Only to keepers of limits, whose
    /// entries tell that they know of it.
    AskLimit(WireLimitAsk),
}

/// A question about a replica's limit, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireLimitAsk {
    /// Number of the question, unique on its link.
    pub id: u64,
    /// The replica.
    pub replica: String,
    /// When the incarnation started that named the limit, in Unix milliseconds.
    pub started_ms: Option<u64>,
    /// The limit as the asking node heard it, in thousandths of a request a second.
    pub limit_millis_per_s: u64,
    /// How long ago it heard that, in milliseconds.
    pub heard_ms_ago: u64,
    /// Time for which the call can wait for its turn, in milliseconds.
    pub patience_ms: u32,
    /// True if no other calls are more urgent.
    pub is_urgent: bool,
}

/// A question, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireAsk {
    /// Number of the question, unique on its link.
    pub id: u64,
    /// The tenant.
    pub tenant: String,
    /// Units that the request counts for.
    pub cost: u64,
    /// Time for which the request can wait for its turn, in milliseconds.
    pub patience_ms: u32,
    /// True if no route's requests are more urgent.
    pub is_urgent: bool,
    /// The quota as the asking node knows it.
    pub quota: WireQuota,
    /// Version of the configuration that tells it.
    pub version: u64,
}

/// A quota, on the wire.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireQuota {
    /// Units in a second.
    pub rate_per_s: f64,
    /// Units above that.
    pub burst: f64,
    /// Tokens that a request counts for that tells none; `None`: it counts requests.
    pub plain_tokens: Option<u64>,
}

/// A message from a keeper.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum FromKeeper {
    /// The node is listened to; the answer to [`ToKeeper::Alive`] and to the first message.
    Alive,
    /// The request may run.
    Granted {
        /// Number of the question.
        id: u64,
        /// Time after which it may, in milliseconds.
        after_ms: u32,
    },
    /// The request is beyond the quota.
    Refused {
        /// Number of the question.
        id: u64,
        /// Time until the balance pays for it, in milliseconds.
        again_after_ms: u32,
        /// The balance, in units.
        balance: f64,
    },
}

impl WireQuota {
    /// The message form.
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

    /// The quota.
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
