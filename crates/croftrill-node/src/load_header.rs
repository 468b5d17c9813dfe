//! Parses the load that a replica reports in its answers.

use croftrill_scheduler::capacity::ReplicaLoad;

/// Parses `RUNNING[,WAITING[,SLOTS[,WORK TIME]]]`; returns `None` if it does not start with
/// the number of running requests.
pub fn parse_load(value: &str) -> Option<ReplicaLoad> {
    let mut numbers = value.split(',').map(|part| part.trim().parse::<u32>().ok());
    Some(ReplicaLoad {
        running: numbers.next()??,
        waiting: numbers.next().flatten().unwrap_or(0),
        slots: numbers.next().flatten(),
        work_time_pct: numbers.next().flatten(),
    })
}
