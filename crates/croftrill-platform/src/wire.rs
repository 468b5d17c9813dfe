//! Bodies and paths of the present HTTP/JSON protocols of the platform. The
//! adapters and the stand-ins share them; nothing else may use them.

pub mod base64_bytes;
pub mod engine;
pub mod key_value;
pub mod machine_list;
pub mod weight_store;

use croftrill_state::FencingToken;
use serde::{Deserialize, Serialize};

/// Body of an answer that refuses a call. The call had no effect.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RefusalBody {
    /// Why, for people.
    pub reason: String,
    /// When to try again, in milliseconds; 0 if it makes no difference.
    pub retry_after_millis: u64,
    /// The higher fencing token that was seen, if that is the cause.
    pub highest_fencing_token: Option<FencingToken>,
}
