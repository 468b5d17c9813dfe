//! Wire form of load samples, compact because nodes exchange many of them.

use std::time::Duration;

use croftrill_scheduler::capacity::ReplicaLoad;
use croftrill_scheduler::followed_view::LinkDelay;
use croftrill_scheduler::load_updates::{LoadKey, LoadSample};
use croftrill_scheduler::time::Moment;
use nanoserde::{DeBin, DeBinErr, SerBin};

use crate::wire::WireList;

/// Unit of a sample's age.
const AGE_UNIT_MS: u128 = 10;
/// Payload bits in each byte of a count; the highest bit says that another byte follows.
const PAYLOAD_BITS: u32 = 7;
const CONTINUATION_BIT: u8 = 1 << PAYLOAD_BITS;
/// Maximum encoded length of a count.
const MAX_COUNT_BYTES: usize = 3;

/// A number of variable length: one byte below 128, three bytes at most. Larger numbers
/// saturate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WireCount(pub u16);

impl WireCount {
    fn saturating_from(number: u128) -> Self {
        WireCount(u16::try_from(number).unwrap_or(u16::MAX))
    }
}

impl SerBin for WireCount {
    fn ser_bin(&self, bytes: &mut Vec<u8>) {
        let mut remaining = self.0;
        while remaining >= u16::from(CONTINUATION_BIT) {
            bytes.push(remaining as u8 | CONTINUATION_BIT);
            remaining >>= PAYLOAD_BITS;
        }
        bytes.push(remaining as u8);
    }
}

impl DeBin for WireCount {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let mut number = 0u32;
        for shift in (0..u16::BITS).step_by(PAYLOAD_BITS as usize) {
            let byte = u8::de_bin(offset, bytes)?;
            number |= u32::from(byte & !CONTINUATION_BIT) << shift;
            if byte & CONTINUATION_BIT == 0 {
                return Ok(WireCount::saturating_from(u128::from(number)));
            }
        }
        Err(DeBinErr::new(*offset, MAX_COUNT_BYTES, MAX_COUNT_BYTES + 1))
    }
}

/// The load that a replica reported, on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub struct WireLoad {
    /// Key of the replica's incarnation.
    pub key: u32,
    /// Age of the sample, in units of ten milliseconds, rounded up.
    pub age: WireCount,
    /// Number of requests running at the replica.
    pub running: WireCount,
    /// Number of requests waiting at the replica.
    pub waiting: WireCount,
    /// One more than the number of requests that it runs at the same time; 0 if not reported.
    pub slots: WireCount,
    /// One more than the time that work takes there, as a percentage of the usual time; 0 if
    /// not reported.
    pub work_time_pct: WireCount,
}

/// Size of a sample: a key, an age below 1.28 s, numbers below 128 and a work time.
pub(crate) const WIRE_LOAD_BYTES: u32 = 10;

impl WireLoad {
    fn from_sample(sample: &LoadSample, now: Moment) -> Self {
        let count = |number: u32| WireCount::saturating_from(u128::from(number));
        let option = |number: Option<u32>| count(number.map_or(0, |number| number.saturating_add(1)));
        let age_ms = now.since(sample.at).as_millis();
        WireLoad {
            key: sample.key.0,
            age: WireCount::saturating_from(age_ms.div_ceil(AGE_UNIT_MS)),
            running: count(sample.load.running),
            waiting: count(sample.load.waiting),
            slots: option(sample.load.slots),
            work_time_pct: option(sample.load.work_time_pct),
        }
    }

    /// Returns the sample. `sent_at` is the time on the reader's clock at which the sample had
    /// the age that it states.
    fn to_sample(self, sent_at: Moment) -> LoadSample {
        let option = |encoded: WireCount| u32::from(encoded.0).checked_sub(1);
        let age = Duration::from_millis(u64::from(self.age.0) * AGE_UNIT_MS as u64);
        LoadSample {
            key: LoadKey(self.key),
            load: ReplicaLoad {
                running: u32::from(self.running.0),
                waiting: u32::from(self.waiting.0),
                slots: option(self.slots),
                work_time_pct: option(self.work_time_pct),
            },
            at: sent_at - age,
        }
    }
}

/// Samples of replicas' loads, on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Default, SerBin, DeBin)]
pub struct WireLoads {
    /// When the message was sent, in milliseconds of the sender's steady clock. The reader adds
    /// the delay of a late message to the age of its samples.
    pub sent_at_ms: u64,
    /// The samples.
    pub loads: WireList<WireLoad>,
}

impl WireLoads {
    /// Converts samples into a message that is sent now.
    pub fn from_samples<'a>(samples: impl IntoIterator<Item = &'a LoadSample>, now: Moment) -> Self {
        let loads = samples.into_iter();
        WireLoads {
            sent_at_ms: now.since(Moment::default()).as_millis() as u64,
            loads: loads.map(|sample| WireLoad::from_sample(sample, now)).collect(),
        }
    }

    /// Returns the samples of a message received now over a link with this delay.
    pub fn to_samples(&self, delay: &mut LinkDelay, now: Moment) -> Vec<LoadSample> {
        let excess_delay = delay.excess(Duration::from_millis(self.sent_at_ms), now);
        let samples = self.loads.iter().map(|load| load.to_sample(now - excess_delay));
        samples.collect()
    }
}
