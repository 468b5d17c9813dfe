//! The bounded queue of one engine: what waits, what goes next, what is refused.
//!
//! Invariants:
//! - every admitted item leaves exactly once: popped, refused, cancelled or taken;
//! - at most `max_running` popped items are unfinished;
//! - an item whose deadline cannot be met by the present estimates is refused
//!   at once, with a time to come back.

use crate::cluster::Target;
use crate::configuration::PriorityClass;
use crate::identifiers::{AttemptId, GroupId};
use crate::outcome::{Refusal, RefusalCause};
use crate::time::Instant;
use std::collections::{BTreeMap, VecDeque};

/// Limits of a queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueConfig {
    /// Items that may wait.
    pub capacity: usize,
    /// Items that may run at once.
    pub max_running: u32,
}

/// Work that a request asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Tokens of the prompt (estimated).
    pub prompt_tokens: u32,
    /// Tokens that it may generate.
    pub output_tokens: u32,
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

struct Waiting {
    item: QueueItem,
    arrival: Instant,
}

/// The queue of one engine.
pub struct ReplicaQueue {
    config: QueueConfig,
    waiting: VecDeque<Waiting>,
    running: BTreeMap<AttemptId, Instant>,
}

impl ReplicaQueue {
    /// An empty queue.
    pub fn new(config: QueueConfig) -> Self {
        Self {
            config,
            waiting: VecDeque::new(),
            running: BTreeMap::new(),
        }
    }

    /// Sets the groups' share weights; a group that is not named has weight 1.
    pub fn set_share_weights(&mut self, _weights: BTreeMap<GroupId, u32>) {}

    /// Sets how many items may run at once.
    pub fn set_max_running(&mut self, max_running: u32) {
        self.config.max_running = max_running;
    }

    /// Whether the attempt waits or runs.
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.running.contains_key(&attempt) || self.waiting.iter().any(|w| w.item.attempt == attempt)
    }

    /// Admits an item, or refuses it at once.
    pub fn push(&mut self, item: QueueItem, wake: Wake, now: Instant) -> Result<(), Refusal> {
        if self.waiting.len() >= self.config.capacity {
            return Err(Refusal::not_run(RefusalCause::QueueFull, 1_000));
        }
        if let Some(refusal) = Self::too_late(&item, wake, now) {
            return Err(refusal);
        }
        self.waiting.push_back(Waiting { item, arrival: now });
        Ok(())
    }

    fn too_late(item: &QueueItem, wake: Wake, now: Instant) -> Option<Refusal> {
        if now >= item.first_token_deadline {
            return Some(Refusal::not_run(RefusalCause::DeadlineExpired, 1_000));
        }
        match wake {
            Wake::Ready => None,
            Wake::In(millis) if now + millis <= item.first_token_deadline => None,
            Wake::In(millis) => Some(Refusal::not_run(RefusalCause::LoadTooSlow, millis)),
            Wake::Never { retry_after_millis } => {
                Some(Refusal::not_run(RefusalCause::NoReplica, retry_after_millis))
            }
        }
    }

    /// The next item to dispatch, if one is ready and the engine has room. It
    /// counts as running until `finish`.
    pub fn pop_ready(&mut self, is_loaded: impl Fn(&Target) -> bool, now: Instant) -> Option<QueueItem> {
        if self.running.len() >= self.config.max_running as usize {
            return None;
        }
        let position = self.waiting.iter().position(|w| is_loaded(&w.item.target))?;
        let found = self.waiting.remove(position)?;
        self.running.insert(found.item.attempt, now);
        Some(found.item)
    }

    /// Records the first token of a running item.
    pub fn first_token(&mut self, _attempt: AttemptId, _now: Instant) {}

    /// Ends a running item.
    pub fn finish(&mut self, attempt: AttemptId, _now: Instant) {
        self.running.remove(&attempt);
    }

    /// Takes out every item that can no longer be served in time.
    pub fn expire(&mut self, now: Instant, wake: impl Fn(&Target) -> Wake) -> Vec<(QueueItem, Refusal)> {
        let mut refused = Vec::new();
        let mut kept = VecDeque::new();
        for waiting in std::mem::take(&mut self.waiting) {
            match Self::too_late(&waiting.item, wake(&waiting.item.target), now) {
                Some(refusal) => refused.push((waiting.item, refusal)),
                None => kept.push_back(waiting),
            }
        }
        self.waiting = kept;
        refused
    }

    /// Takes out a waiting item.
    pub fn cancel(&mut self, attempt: AttemptId) -> Option<QueueItem> {
        let position = self.waiting.iter().position(|w| w.item.attempt == attempt)?;
        self.waiting.remove(position).map(|w| w.item)
    }

    /// Takes out every waiting item.
    pub fn take_waiting(&mut self) -> Vec<QueueItem> {
        std::mem::take(&mut self.waiting)
            .into_iter()
            .map(|w| w.item)
            .collect()
    }

    /// What waits, by target.
    pub fn waiting_targets(&self) -> Vec<WaitingTarget> {
        let mut targets: BTreeMap<Target, WaitingTarget> = BTreeMap::new();
        for waiting in &self.waiting {
            let item = &waiting.item;
            let entry = targets
                .entry(item.target.clone())
                .or_insert_with(|| WaitingTarget {
                    target: item.target.clone(),
                    waiting: 0,
                    priority: item.priority,
                    earliest_deadline: item.first_token_deadline,
                    latest_deadline: item.first_token_deadline,
                    oldest_arrival: waiting.arrival,
                });
            entry.waiting += 1;
            entry.priority = entry.priority.min(item.priority);
            entry.earliest_deadline = entry.earliest_deadline.min(item.first_token_deadline);
            entry.latest_deadline = entry.latest_deadline.max(item.first_token_deadline);
            entry.oldest_arrival = entry.oldest_arrival.min(waiting.arrival);
        }
        targets.into_values().collect()
    }

    /// The earliest deadline of a waiting item.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.waiting.iter().map(|w| w.item.first_token_deadline).min()
    }

    /// Load of the queue.
    pub fn estimate(&self) -> QueueEstimate {
        QueueEstimate {
            waiting: self.waiting.len() as u32,
            running: self.running.len() as u32,
            estimated_wait_millis: 0,
        }
    }
}

impl Default for QueueConfig {
    fn default() -> Self {
        Self {
            capacity: 512,
            max_running: 8,
        }
    }
}
