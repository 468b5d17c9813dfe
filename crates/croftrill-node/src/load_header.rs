//! The load that a replica tells in its answers.

use croftrill_scheduler::capacity::ReplicaLoad;

/// The load of `RUNNING[,WAITING[,SLOTS[,WORK TIME]]]`; `None` if no number of running
/// requests can be read.
pub fn load_told(value: &str) -> Option<ReplicaLoad> {
    let mut numbers = value.split(',').map(|part| part.trim().parse::<u32>().ok());
    Some(ReplicaLoad {
        running: numbers.next()??,
        waiting: numbers.next().flatten().unwrap_or(0),
        slots: numbers.next().flatten(),
        work_time_pct: numbers.next().flatten(),
    })
}
