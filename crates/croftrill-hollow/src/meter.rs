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
pub struct ProcessorTimes(HashMap<ThreadId, Used>);

#[derive(Clone, Debug, Default)]
struct Used {
    name: String,
    time: Duration,
}

impl ProcessorTimes {
    /// Reads the present times.
    pub fn read() -> anyhow::Result<Self> {
        let process = Process::myself()?;
        let mut times = HashMap::new();
        for task in process.tasks()? {
            let task = task?;
            // A thread may end between the listing and this reading.
            if let (Ok(time), Ok(stat)) = (task.schedstat(), task.stat()) {
                let used = Used {
                    name: stat.comm,
                    time: Duration::from_nanos(time.sum_exec_runtime),
                };
                times.insert(ThreadId(task.tid), used);
            }
        }
        Ok(Self(times))
    }

    /// What a thread used after `earlier`.
    pub fn used_since(&self, earlier: &ProcessorTimes, thread: ThreadId) -> Duration {
        self.time(thread).saturating_sub(earlier.time(thread))
    }

    /// What all threads with a name used after `earlier`.
    pub fn used_by_name(&self, earlier: &ProcessorTimes, name: &str) -> Duration {
        let named = self.0.iter().filter(|(_, used)| used.name == name);
        named.map(|(thread, _)| self.used_since(earlier, *thread)).sum()
    }

    fn time(&self, thread: ThreadId) -> Duration {
        self.0.get(&thread).map_or(Duration::ZERO, |used| used.time)
    }
}

/// Files and sockets that this process holds open.
pub fn open_files() -> anyhow::Result<usize> {
    Ok(Process::myself()?.fd_count()?)
}

/// Memory of this process that is in use and resident, in bytes.
pub fn resident_bytes() -> anyhow::Result<u64> {
    let memory = Process::myself()?.statm().context("no memory account")?;
    Ok(memory.resident * procfs::page_size())
}
