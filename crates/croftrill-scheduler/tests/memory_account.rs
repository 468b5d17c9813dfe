//! The account of memory in flight: who gets room, who waits, and who gives way.

use std::time::Duration;

use croftrill_scheduler::memory_account::{HolderId, MemoryAccount, Room, SMALL_BYTES};
use croftrill_scheduler::process_limits::ProcessLimits;
use croftrill_scheduler::time::Moment;
use proptest::prelude::*;

const MIB: u64 = 1024 * 1024;
const SECOND: Duration = Duration::from_secs(1);

fn limits() -> ProcessLimits {
    ProcessLimits::new(120, 3075)
}

fn at(seconds: u64) -> Moment {
    Moment::default() + SECOND * seconds as u32
}

/// Opens holders of 4 MiB until the account has no room for another one.
fn fill(account: &mut MemoryAccount, now: Moment) -> Vec<HolderId> {
    let mut holders = Vec::new();
    loop {
        let id = account.open(now);
        if account.ask(id, 4 * MIB, now) != Room::Granted {
            account.close(id);
            return holders;
        }
        holders.push(id);
    }
}

#[test]
fn small_body_finds_room_beside_large_ones() {
    let mut account = MemoryAccount::new(limits());
    assert!(fill(&mut account, at(0)).len() >= 10);
    let small = account.open(at(0));
    assert_eq!(account.ask(small, SMALL_BYTES, at(0)), Room::Granted);
}

#[test]
fn stalled_body_gives_way_and_moving_one_does_not() {
    let mut account = MemoryAccount::new(limits());
    let holders = fill(&mut account, at(0));
    let (stalled, moving) = holders.split_first().expect("holders");
    for id in moving {
        account.record_moved(*id, MIB, at(5));
    }
    let asker = account.open(at(5));
    let room = account.ask(asker, 4 * MIB, at(5));
    assert_eq!(
        room,
        Room::Wait {
            giving_way: vec![*stalled]
        }
    );
    // It has not left yet, so no other one has to.
    let room = account.ask(asker, 4 * MIB, at(5));
    assert_eq!(room, Room::Wait { giving_way: vec![] });
    account.close(*stalled);
    assert_eq!(account.ask(asker, 4 * MIB, at(5)), Room::Granted);
}

#[test]
fn body_that_trickles_counts_as_stalled() {
    let mut account = MemoryAccount::new(limits());
    let holders = fill(&mut account, at(0));
    for id in &holders {
        for second in 0..5 {
            account.record_moved(*id, 100, at(second));
        }
    }
    let asker = account.open(at(5));
    let Room::Wait { giving_way } = account.ask(asker, 4 * MIB, at(5)) else {
        panic!("there is no room");
    };
    assert_eq!(giving_way.len(), 1);
}

#[test]
fn request_at_its_replica_does_not_give_way() {
    let mut account = MemoryAccount::new(limits());
    for id in fill(&mut account, at(0)) {
        account.set_waits_for_caller(id, false, at(0));
    }
    let asker = account.open(at(60));
    let room = account.ask(asker, 4 * MIB, at(60));
    assert_eq!(room, Room::Wait { giving_way: vec![] });
}

#[test]
fn large_bodies_get_room_in_their_order() {
    let mut account = MemoryAccount::new(limits());
    let holders = fill(&mut account, at(0));
    let (first, second) = (account.open(at(0)), account.open(at(0)));
    assert!(matches!(account.ask(first, 4 * MIB, at(0)), Room::Wait { .. }));
    assert!(matches!(account.ask(second, MIB, at(0)), Room::Wait { .. }));
    account.close(holders[0]);
    assert!(matches!(account.ask(second, MIB, at(0)), Room::Wait { .. }));
    assert_eq!(account.ask(first, 4 * MIB, at(0)), Room::Granted);
}

#[test]
fn body_larger_than_the_account_never_waits() {
    let mut account = MemoryAccount::new(limits());
    let id = account.open(at(0));
    assert_eq!(account.ask(id, 200 * MIB, at(0)), Room::TooMuch);
}

#[test]
fn limits_leave_room_in_every_machine_of_the_pages() {
    for (memory_mb, max_fds) in [(120, 3075), (160, 4100), (260, 4100), (512, 8192)] {
        let limits = ProcessLimits::new(memory_mb, max_fds);
        let case = format!("{memory_mb} MB, {max_fds} descriptors");
        assert!(limits.large_bytes() >= 8 * 4 * MIB, "{case}");
        let in_flight = limits.large_bytes() + limits.small_reserve_bytes();
        let connections = limits.max_caller_connections() as u64 * 48 * 1024;
        assert!(in_flight + connections < limits.memory_bytes, "{case}");
        let sockets = 2 * limits.max_caller_connections()
            + limits.max_idle_replica_connections()
            + 2 * limits.max_auxiliary_connections()
            + limits.max_unknown_links()
            + 2 * limits.max_tunnels();
        assert!(sockets + 200 < max_fds, "{case}: {sockets} sockets");
    }
}

/// A step of a random history.
#[derive(Debug, Clone)]
enum Step {
    Open,
    Ask { holder: usize, bytes: u64 },
    Move { holder: usize },
    Shrink { holder: usize, bytes: u64 },
    Close { holder: usize },
    Wait,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let bytes = prop_oneof![1..SMALL_BYTES, SMALL_BYTES..8 * MIB];
    let step = prop_oneof![
        3 => Just(Step::Open),
        6 => (0..40_usize, bytes.clone()).prop_map(|(holder, bytes)| Step::Ask { holder, bytes }),
        2 => (0..40_usize).prop_map(|holder| Step::Move { holder }),
        1 => (0..40_usize, bytes).prop_map(|(holder, bytes)| Step::Shrink { holder, bytes }),
        1 => (0..40_usize).prop_map(|holder| Step::Close { holder }),
        1 => Just(Step::Wait),
    ];
    proptest::collection::vec(step, 1..200)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Whatever is asked, the account is never overdrawn, only small ones use the reserve, and all of it is
    /// free again after the last one.
    #[test]
    fn account_is_never_overdrawn(steps in steps()) {
        let limits = limits();
        let mut account = MemoryAccount::new(limits);
        let mut open: Vec<HolderId> = Vec::new();
        let mut second = 0;
        for step in steps {
            match step {
                Step::Open => open.push(account.open(at(second))),
                Step::Ask { holder, bytes } if holder < open.len() => {
                    let before = account.held_bytes();
                    let room = account.ask(open[holder], bytes, at(second));
                    if bytes > SMALL_BYTES && room == Room::Granted && account.held_bytes() > before {
                        prop_assert!(account.held_bytes() <= limits.large_bytes());
                    }
                    if let Room::Wait { giving_way } = room {
                        for id in giving_way {
                            prop_assert!(id != open[holder]);
                            account.close(id);
                            open.retain(|other| *other != id);
                        }
                    }
                }
                Step::Move { holder } if holder < open.len() => account.record_moved(open[holder], MIB, at(second)),
                Step::Shrink { holder, bytes } if holder < open.len() => {
                    account.shrink(open[holder], bytes);
                }
                Step::Close { holder } if holder < open.len() => account.close(open.swap_remove(holder)),
                Step::Wait => second += 1,
                _ => {}
            }
            prop_assert!(account.held_bytes() <= limits.large_bytes() + limits.small_reserve_bytes());
        }
        for id in open {
            account.close(id);
        }
        prop_assert_eq!(account.held_bytes(), 0);
    }
}
