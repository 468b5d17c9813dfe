//! Deadlines of requests whose callers name none.

use croftrill_state::configuration::PriorityClass;

/// Time to the first token by priority class, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassDeadlines {
    /// Of critical requests.
    pub critical_millis: u64,
    /// Of interactive requests.
    pub interactive_millis: u64,
    /// Of standard requests.
    pub standard_millis: u64,
    /// Of batch requests.
    pub batch_millis: u64,
}

impl ClassDeadlines {
    /// The deadline of a class, in milliseconds.
    pub fn of(&self, class: PriorityClass) -> u64 {
        match class {
            PriorityClass::Critical => self.critical_millis,
            PriorityClass::Interactive => self.interactive_millis,
            PriorityClass::Standard => self.standard_millis,
            PriorityClass::Batch => self.batch_millis,
        }
    }
}

impl Default for ClassDeadlines {
    fn default() -> Self {
        Self {
            critical_millis: 5_000,
            interactive_millis: 15_000,
            standard_millis: 60_000,
            batch_millis: 600_000,
        }
    }
}
