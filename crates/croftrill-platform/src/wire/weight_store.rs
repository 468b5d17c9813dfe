//! The weight store: its limits, and reads of checkpoints by engines.

use croftrill_state::ModelId;
use serde::{Deserialize, Serialize};

/// Answers a [`crate::weight_store::WeightStoreLimits`] to a GET.
pub const LIMITS_PATH: &str = "/limits";
/// Takes a [`CheckpointRead`] by POST and answers 200 once the read is complete,
/// or 429 with a [`super::RefusalBody`].
pub const CHECKPOINTS_PATH: &str = "/checkpoints";

/// A read of a checkpoint.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CheckpointRead {
    /// The model.
    pub model: ModelId,
    /// Size of the checkpoint, in MiB.
    pub checkpoint_mib: u64,
}
