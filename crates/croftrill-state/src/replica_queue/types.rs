//! Settings, items and reports of the queue.

use super::fair_share::Waiting;
use super::{CostUnit, ServiceTimeConfig, UNITS_PER_DECODED_TOKEN};
use crate::cluster::Target;
use crate::configuration::PriorityClass;
use crate::identifiers::{AttemptId, GroupId};
use crate::time::Instant;

/// Settings of a queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueConfig {
    /// Items that may wait.
    pub capacity: usize,
    /// Items that may run at once.
    pub max_running: u32,
    /// What items are charged.
    pub cost: CostUnit,
    /// Units that a group of weight 1 gets in one round of the round robin.
    pub quantum_units: u64,
    /// Dispatches of more urgent classes after which a class with ready items
    /// gets one.
    pub starvation_bound: u32,
    /// How service times are learned.
    pub service_time: ServiceTimeConfig,
}

impl Default for QueueConfig {
    fn default() -> Self {
        Self {
            capacity: 512,
            max_running: 8,
            cost: CostUnit::default(),
            quantum_units: 16 * UNITS_PER_DECODED_TOKEN,
            starvation_bound: 16,
            service_time: ServiceTimeConfig::default(),
        }
    }
}

/// Work that a request asks for, or took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub output_tokens: u32,
    /// Checkpoint that had to be loaded for it, in MiB.
    pub load_mib: u64,
}

/// A waiting request.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueItem {
    /// The attempt.
    pub attempt: AttemptId,
    /// Model and adapter.
    pub target: Target,
    /// Who is charged.
    pub group: GroupId,
    /// Its class.
    pub priority: PriorityClass,
    /// When the first token is due.
    pub first_token_deadline: Instant,
    /// When the whole answer is due.
    pub total_deadline: Instant,
    /// What it asks for.
    pub work: Work,
}

/// When a target can take work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    /// It is loaded.
    Ready,
    /// It is expected to be loaded in this many milliseconds.
    In(u64),
    /// It cannot be loaded here now.
    Never {
        /// When to ask again, in milliseconds.
        retry_after_millis: u64,
    },
}

/// What waits for one target.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingTarget {
    /// The target.
    pub target: Target,
    /// Items that wait for it.
    pub waiting: u32,
    /// The most urgent class among them.
    pub priority: PriorityClass,
    /// The earliest first-token deadline among them.
    pub earliest_deadline: Instant,
    /// The latest first-token deadline among them.
    pub latest_deadline: Instant,
    /// When the oldest of them came.
    pub oldest_arrival: Instant,
}

/// Load of a queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueEstimate {
    /// Items that wait.
    pub waiting: u32,
    /// Items that run.
    pub running: u32,
    /// Estimated wait of a new item of the default class, in milliseconds.
    pub estimated_wait_millis: u64,
}

impl WaitingTarget {
    pub(super) fn of(waiting: &Waiting) -> Self {
        let item = &waiting.item;
        Self {
            target: item.target.clone(),
            waiting: 1,
            priority: item.priority,
            earliest_deadline: item.first_token_deadline,
            latest_deadline: item.first_token_deadline,
            oldest_arrival: waiting.arrival,
        }
    }

    pub(super) fn add(&mut self, waiting: &Waiting) {
        let item = &waiting.item;
        self.waiting += 1;
        self.priority = self.priority.min(item.priority);
        self.earliest_deadline = self.earliest_deadline.min(item.first_token_deadline);
        self.latest_deadline = self.latest_deadline.max(item.first_token_deadline);
        self.oldest_arrival = self.oldest_arrival.min(waiting.arrival);
    }
}
