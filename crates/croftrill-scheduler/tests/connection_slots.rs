//! Which connection makes room for a further one.

use std::time::Duration;

use croftrill_scheduler::connection_slots::{connection_to_close, ConnectionFacts, ConnectionPhase};
use croftrill_scheduler::time::Moment;

fn at(seconds: u64) -> Moment {
    Moment::default() + Duration::from_secs(seconds)
}

fn connection(phase: ConnectionPhase, since: u64, has_served: bool) -> ConnectionFacts {
    ConnectionFacts {
        phase,
        since: at(since),
        has_served,
    }
}

#[test]
fn stalled_connection_closes_before_idle_one_and_new_one() {
    let connections = [
        connection(ConnectionPhase::Running, 0, true),
        connection(ConnectionPhase::Idle, 1, true),
        connection(ConnectionPhase::Head, 10, false),
        connection(ConnectionPhase::Body, 5, false),
    ];
    let closed = |count: usize| connection_to_close(connections[..count].iter().copied(), at(10));
    assert_eq!(closed(4), Some(3));
    assert_eq!(closed(3), Some(1));
    assert_eq!(closed(1), None);
}
