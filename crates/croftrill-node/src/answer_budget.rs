//! Bounds of the memory that answers take while they are read whole.

use crate::memory::{HeldMemory, Memory, FREE_BYTES};

/// Maximum size of one answer.
const MAX_ANSWER_BYTES: u64 = 8 * 1024 * 1024;
/// Size above which an answer is larger than plain answers usually are.
const LARGE_ANSWER_BYTES: u64 = 256 * 1024;

/// How much the answers that a node reads may hold.
#[derive(Clone, Default)]
pub struct AnswerBudget {
    /// The account that all answers share; `None` if only each alone is bounded.
    memory: Option<Memory>,
}

/// What one answer holds of the budget, until it is dropped.
pub(crate) struct HeldAnswer {
    memory: Option<Memory>,
    /// Present once it is larger than answers usually are.
    held: Option<HeldMemory>,
    size_bytes: u64,
    allowed_bytes: u64,
    announced_bytes: Option<u64>,
}

impl AnswerBudget {
    /// Returns the budget of answers that share a node's memory.
    pub(crate) fn shared(memory: Memory) -> Self {
        AnswerBudget { memory: Some(memory) }
    }

    /// Returns the maximum size of one answer.
    pub fn max_answer_bytes(&self) -> u64 {
        MAX_ANSWER_BYTES
    }

    /// Begins an answer, whose size may have been announced.
    pub(crate) fn hold(&self, announced_bytes: Option<u64>) -> HeldAnswer {
        HeldAnswer {
            memory: self.memory.clone(),
            held: None,
            size_bytes: 0,
            allowed_bytes: FREE_BYTES,
            announced_bytes,
        }
    }
}

impl HeldAnswer {
    /// Returns whether it is larger than plain answers usually are.
    pub(crate) fn is_large(&self) -> bool {
        self.size_bytes > LARGE_ANSWER_BYTES
    }

    /// Waits until there is room for further bytes. Returns false if there never is.
    pub(crate) async fn admit(&mut self, bytes: u64) -> bool {
        self.size_bytes += bytes;
        if self.size_bytes > MAX_ANSWER_BYTES {
            return false;
        }
        let Some(memory) = &self.memory else {
            return true;
        };
        if self.size_bytes <= self.allowed_bytes {
            return true;
        }
        let step = self.size_bytes.next_power_of_two();
        self.allowed_bytes = self.announced_bytes.unwrap_or(step).max(self.size_bytes);
        let held = self.held.get_or_insert_with(|| memory.hold("answer"));
        let is_admitted = held.grow(self.allowed_bytes).await.is_ok();
        // The replica sends it, so the caller is not to blame for a pause.
        held.set_waits_for_caller(false);
        is_admitted
    }

    /// Returns the memory that the whole answer holds.
    pub(crate) fn into_held(self) -> Option<HeldMemory> {
        if let Some(held) = &self.held {
            held.shrink(self.size_bytes);
            held.set_waits_for_caller(true);
        }
        self.held
    }
}
