//! Processor time and memory of this process, from the kernel's own accounts.

use anyhow::Context;
use procfs::process::Process;
use std::collections::HashMap;
use std::time::Duration;

/// A thread of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ThreadId(i32);

impl ThreadId {
    /// The calling thread.
    pub fn current() -> Self {
        Self(nix::unistd::gettid().as_raw())
    }
}

/// Processor time of each thread since its start.
#[derive(Clone, Debug, Default)]
pub struct ProcessorTimes(HashMap<ThreadId, Duration>);

impl ProcessorTimes {
    /// Reads the present times.
    pub fn read() -> anyhow::Result<Self> {
        let process = Process::myself()?;
        let mut times = HashMap::new();
        for task in process.tasks()? {
            let task = task?;
            // A thread may end between the listing and this reading.
            if let Ok(time) = task.schedstat() {
                times.insert(ThreadId(task.tid), Duration::from_nanos(time.sum_exec_runtime));
            }
        }
        Ok(Self(times))
    }

    /// What a thread used after `earlier`.
    pub fn used_since(&self, earlier: &ProcessorTimes, thread: ThreadId) -> Duration {
        let now = self.0.get(&thread).copied().unwrap_or_default();
        let before = earlier.0.get(&thread).copied().unwrap_or_default();
        now.saturating_sub(before)
    }
}

/// Memory of this process that is in use and resident, in bytes.
pub fn resident_bytes() -> anyhow::Result<u64> {
    let memory = Process::myself()?.statm().context("no memory account")?;
    Ok(memory.resident * procfs::page_size())
}
