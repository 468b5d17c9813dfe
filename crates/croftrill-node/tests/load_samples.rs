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

fn sample(at: Moment) -> LoadSample {
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
fn to_samples_of_a_prompt_message_is_what_was_sent() {
    let mut delay = LinkDelay::default();
    let message = WireLoads::from_samples(&[sample(at(900))], at(1000));
    assert_eq!(message.to_samples(&mut delay, at(77_000)), [sample(at(76_900))]);
    let unreported = LoadSample {
        load: ReplicaLoad {
            slots: None,
            work_time_pct: None,
            ..sample(at(0)).load
        },
        ..sample(at(995))
    };
    let message = WireLoads::from_samples(&[unreported], at(1000));
    let samples = message.to_samples(&mut delay, at(77_000));
    assert_eq!(samples[0].load, unreported.load);
    assert_eq!(samples[0].at, at(76_990), "its age is rounded up");
}

/// A suspended link or process delays messages. Without the delay, their old samples would
/// count as new.
#[test]
fn to_samples_of_a_late_message_adds_its_delay() {
    let mut delay = LinkDelay::default();
    let message = WireLoads::from_samples(&[sample(at(900))], at(1000));
    message.to_samples(&mut delay, at(5000));
    let message = WireLoads::from_samples(&[sample(at(1900))], at(2000));
    let samples = message.to_samples(&mut delay, at(9000));
    assert_eq!(samples[0].at, at(5900), "it came three seconds late");
}

#[test]
fn from_samples_of_any_age_and_load_saturates() {
    let mut delay = LinkDelay::default();
    let maximum = ReplicaLoad {
        running: u32::MAX,
        waiting: u32::MAX,
        slots: Some(u32::MAX),
        work_time_pct: Some(u32::MAX),
    };
    let sample = LoadSample {
        load: maximum,
        ..sample(at(0))
    };
    let message = WireLoads::from_samples(&[sample], at(u64::from(u32::MAX)));
    let message = decode::<WireLoads>(&message.serialize_bin()).expect("its own form");
    let read = message.to_samples(&mut delay, at(u64::from(u32::MAX)))[0];
    assert_eq!(read.load.running, u32::from(u16::MAX));
    assert_eq!(read.load.slots, Some(u32::from(u16::MAX) - 1));
}

#[test]
fn from_samples_takes_ten_bytes_per_sample() {
    let samples = |count: usize| vec![sample(at(0)); count];
    let size = |count: usize| {
        let message = WireLoads::from_samples(&samples(count), at(1270));
        FromOrderer::Loads(message).serialize_bin().len()
    };
    assert_eq!(size(3) - size(2), 10);
}

#[test]
fn wire_count_of_any_size_round_trips() {
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
fn serialize_of_loads_matches_the_recorded_bytes() {
    let message = WireLoads::from_samples(&[sample(at(900))], at(1000));
    for (recorded, encoded) in [
        (
            include_str!("recorded/loads_to_orderer.hex"),
            ToOrderer::Loads(message.clone()).serialize_bin(),
        ),
        (
            include_str!("recorded/loads_from_orderer.hex"),
            FromOrderer::Loads(message).serialize_bin(),
        ),
    ] {
        let encoded: String = encoded.iter().map(|byte| format!("{byte:02x}")).collect();
        assert_eq!(recorded.trim(), encoded);
    }
}
