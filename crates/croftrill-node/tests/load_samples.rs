//! Wire form of load samples.

use std::time::Duration;

use croftrill_node::peer::{FromOrderer, ToOrderer, WireCount, WireLoads};
use croftrill_node::wire::decode;
use croftrill_scheduler::capacity::ReplicaLoad;
use croftrill_scheduler::followed_view::LinkDelay;
use croftrill_scheduler::load_updates::{LoadKey, LoadSample};
use croftrill_scheduler::time::Moment;
use nanoserde::SerBin;

fn at(ms: u64) -> Moment {
    Moment::from_start(Duration::from_millis(ms))
}

fn account(at: Moment) -> LoadSample {
    LoadSample {
        key: LoadKey(0x0102_0304),
        load: ReplicaLoad {
            running: 24,
            waiting: 3,
            slots: Some(24),
            work_time_pct: Some(160),
        },
        at,
    }
}

#[test]
fn to_accounts_of_a_prompt_message_is_what_was_sent() {
    let mut delay = LinkDelay::default();
    let told = WireLoads::from_samples(&[account(at(900))], at(1000));
    assert_eq!(told.to_samples(&mut delay, at(77_000)), [account(at(76_900))]);
    let untold = LoadSample {
        load: ReplicaLoad {
            slots: None,
            work_time_pct: None,
            ..account(at(0)).load
        },
        ..account(at(995))
    };
    let told = WireLoads::from_samples(&[untold], at(1000));
    let accounts = told.to_samples(&mut delay, at(77_000));
    assert_eq!(accounts[0].load, untold.load);
    assert_eq!(accounts[0].at, at(76_990), "its age is rounded up");
}

/// A suspended link or process delays messages. Without the delay, their old samples would
/// count as new.
#[test]
fn to_accounts_of_a_late_message_counts_the_time_on_the_way() {
    let mut delay = LinkDelay::default();
    let told = WireLoads::from_samples(&[account(at(900))], at(1000));
    told.to_samples(&mut delay, at(5000));
    let told = WireLoads::from_samples(&[account(at(1900))], at(2000));
    let accounts = told.to_samples(&mut delay, at(9000));
    assert_eq!(accounts[0].at, at(5900), "it came three seconds late");
}

#[test]
fn account_of_any_age_and_load_has_a_form() {
    let mut delay = LinkDelay::default();
    let most = ReplicaLoad {
        running: u32::MAX,
        waiting: u32::MAX,
        slots: Some(u32::MAX),
        work_time_pct: Some(u32::MAX),
    };
    let account = LoadSample {
        load: most,
        ..account(at(0))
    };
    let told = WireLoads::from_samples(&[account], at(u64::from(u32::MAX)));
    let told = decode::<WireLoads>(&told.serialize_bin()).expect("its own form");
    let read = told.to_samples(&mut delay, at(u64::from(u32::MAX)))[0];
    assert_eq!(read.load.running, u32::from(u16::MAX));
    assert_eq!(read.load.slots, Some(u32::from(u16::MAX) - 1));
}

#[test]
fn account_takes_ten_bytes() {
    let accounts = |count: usize| vec![account(at(0)); count];
    let size = |count: usize| {
        let told = WireLoads::from_samples(&accounts(count), at(1270));
        FromOrderer::Loads(told).serialize_bin().len()
    };
    assert_eq!(size(3) - size(2), 10);
}

#[test]
fn count_of_any_size_is_read_as_it_was_written() {
    for number in 0..=u16::MAX {
        let bytes = WireCount(number).serialize_bin();
        assert_eq!(
            decode::<WireCount>(&bytes).expect("its own form"),
            WireCount(number)
        );
    }
    assert!(decode::<WireCount>(&[0x80; 4]).is_err());
    assert!(decode::<WireCount>(&[0x80]).is_err());
}

/// Bytes as the first build with load updates wrote them.
#[test]
fn recorded_loads_are_read_as_they_were_meant() {
    let told = WireLoads::from_samples(&[account(at(900))], at(1000));
    for (recorded, is) in [
        (
            include_str!("recorded/loads_to_orderer.hex"),
            ToOrderer::Loads(told.clone()).serialize_bin(),
        ),
        (
            include_str!("recorded/loads_from_orderer.hex"),
            FromOrderer::Loads(told).serialize_bin(),
        ),
    ] {
        let is: String = is.iter().map(|byte| format!("{byte:02x}")).collect();
        assert_eq!(recorded.trim(), is);
    }
}
