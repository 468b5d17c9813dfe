//! A whole fleet whose streams are taken up while software is rolled, nodes end one by one or all at
//! once, and the store is away or comes back from an older copy. Time is in milliseconds.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use croftrill_scheduler::catalog::ServiceName;
use croftrill_scheduler::software_versions::{
    decide, KeeperAnswer, LifetimeVersions, ServiceVersions, SoftwareVersion, SoftwareVersions, KEEPERS,
};
use croftrill_scheduler::stored_streams::{SegmentQueue, StoredStream, StoredStreams, WRITERS};
use croftrill_scheduler::stored_versions::{
    BeginTime, NeededChange, RecordedVersions, SeenVersions, StoredVersions, VersionsRecord,
};
use croftrill_scheduler::time::Moment;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng};

const RUN_MS: u64 = 100_000;
const STEP_MS: u64 = 50;
const NODES: usize = 4;
const REPLICAS: u32 = 4;
/// Time for which a node trusts its view: shorter than a caller takes to take its stream up, so that no
/// mix is owed to an old view. `software_versions` has the longer time.
const TRUST_MS: u64 = 400;
/// Time without a disruption after which a node counts as in touch.
const CONTACT_MS: u64 = 3_000;
const MAX_RESUME_MS: u64 = 12_000;
const ERA_BITS: u32 = 40;

/// A stream that begins at a time, with views that count for as long as nodes have it by default.
fn begin_at(now_ms: u64) -> BeginTime {
    BeginTime {
        now: moment(now_ms),
        proof_lifetime: Duration::from_millis(1_300),
    }
}

fn moment(at_ms: u64) -> Moment {
    Moment::from_start(Duration::from_millis(at_ms))
}

fn service() -> ServiceName {
    "llm".into()
}

#[derive(Debug, Clone)]
enum Event {
    /// Replaces the first replicas, one after the other.
    Roll {
        replicas: u32,
        gap_ms: u64,
        keeps_ids: bool,
    },
    /// A replica of another version serves for a while.
    Canary {
        for_ms: u64,
    },
    KillAll {
        down_ms: u64,
    },
    Kill {
        node: usize,
        down_ms: u64,
    },
    StoreAway {
        for_ms: u64,
    },
    /// The store comes back from a copy of this age.
    Restore {
        age_ms: u64,
    },
}

#[derive(Debug, Clone, PartialEq)]
struct Listing {
    born: u64,
    version: SoftwareVersion,
}

#[derive(Debug, Clone, Default)]
struct Contents {
    record: Option<VersionsRecord>,
    record_revision: u64,
    revision: u64,
    listings: BTreeMap<String, Listing>,
    /// Versions of streams, by the node that wrote them, its start and the slot.
    segments: BTreeMap<SegmentKey, Vec<StoredStream>>,
}

type SegmentKey = (usize, u64, u32);

/// A write of a segment, which has no condition.
struct SegmentWrite {
    due_ms: u64,
    key: SegmentKey,
    streams: Vec<StoredStream>,
}

/// A write that the store may execute later.
struct Write {
    due_ms: u64,
    expected_revision: u64,
    era: u64,
    record: VersionsRecord,
}

struct Store {
    contents: Contents,
    era: u64,
    away_until_ms: u64,
    copies: Vec<(u64, Contents)>,
    writes: Vec<Write>,
    segment_writes: Vec<SegmentWrite>,
}

impl Store {
    fn write_listings(&mut self, replicas: &BTreeMap<String, Listing>) {
        self.contents.revision += 1;
        self.contents.listings = replicas.clone();
    }

    fn execute(&mut self, now_ms: u64) {
        let writes = std::mem::take(&mut self.writes);
        let (due, later) = writes.into_iter().partition(|write| write.due_ms <= now_ms);
        self.writes = later;
        let due: Vec<Write> = due;
        for write in due {
            if write.era == self.era && write.expected_revision == self.contents.record_revision {
                self.contents.revision += 1;
                self.contents.record_revision = self.contents.revision;
                self.contents.record = Some(write.record);
            }
        }
        let writes = std::mem::take(&mut self.segment_writes);
        let (due, later) = writes.into_iter().partition(|write| write.due_ms <= now_ms);
        self.segment_writes = later;
        let due: Vec<SegmentWrite> = due;
        let due = due.into_iter().map(|write| (write.key, write.streams));
        self.contents.segments.extend(due);
    }

    /// Returns the versions of streams by a read that may be up to a second old.
    fn read_streams(&self, age: usize) -> StoredStreams {
        let past = self.copies.iter().rev().nth(age).map(|(_, copy)| copy);
        let segments = &past.unwrap_or(&self.contents).segments;
        segments.values().flatten().cloned().collect()
    }
}

struct Node {
    up_since_ms: Option<u64>,
    starts_ms: u64,
    versions: SoftwareVersions,
    stored: StoredVersions,
    listings: BTreeMap<String, Listing>,
    first_era: Option<u64>,
    view_ms: u64,
    next_view_ms: u64,
    next_change_ms: u64,
    /// Streams of others, which it keeps, and its own.
    records: HashMap<usize, SoftwareVersion>,
    own: HashMap<usize, SoftwareVersion>,
    segments: SegmentQueue,
}

impl Node {
    fn new(is_first_start: bool, starts_ms: u64) -> Self {
        Node {
            up_since_ms: None,
            starts_ms,
            versions: SoftwareVersions::new(is_first_start),
            stored: StoredVersions::default(),
            listings: BTreeMap::new(),
            first_era: None,
            view_ms: 0,
            next_view_ms: starts_ms,
            next_change_ms: 0,
            records: HashMap::new(),
            own: HashMap::new(),
            segments: SegmentQueue::default(),
        }
    }

    fn is_trusted(&self, now_ms: u64) -> bool {
        self.view_ms > 0 && now_ms - self.view_ms <= TRUST_MS
    }

    /// Reads the store. Returns whether the versions of the service changed.
    fn read(&mut self, store: &Store, now_ms: u64) -> bool {
        let now = moment(now_ms);
        self.listings = store.contents.listings.clone();
        for (id, listing) in &self.listings {
            let version = listing.version.clone();
            self.versions
                .record(&id.as_str().into(), Some(listing.born), version);
        }
        let present = ServiceVersions::of(self.listings.values().map(|listing| Some(&listing.version)));
        let is_changed = self.versions.present("llm") != present;
        self.versions.observe(&service(), present, now);
        self.apply_record(store, now);
        self.view_ms = now_ms;
        is_changed
    }

    fn apply_record(&mut self, store: &Store, now: Moment) {
        self.stored.record_era(Some(store.era));
        let first_era = *self.first_era.get_or_insert(store.era);
        self.versions.record_restores(store.era - first_era, now);
        let point = store.contents.revision | store.era << ERA_BITS;
        self.stored
            .apply(&service(), store.contents.record.clone(), point, now);
        let current = self.stored.current("llm").cloned();
        self.versions.set_record(&service(), current);
    }

    fn seen(&self, now_ms: u64) -> SeenVersions {
        let observed = self.versions.observed_within_lifetime("llm", moment(now_ms));
        SeenVersions {
            listed: self
                .listings
                .values()
                .map(|listing| listing.version.clone())
                .collect(),
            observed: Some(observed).filter(|_| self.is_trusted(now_ms)),
            is_first_start: self.versions.is_first_start(),
        }
    }

    fn answer(&self, stream: usize, now: Moment) -> KeeperAnswer {
        match self.records.get(&stream) {
            Some(version) => KeeperAnswer::Found(version.clone()),
            None => KeeperAnswer::NotFound(self.versions.within_lifetime("llm", now)),
        }
    }
}

struct Stream {
    version: SoftwareVersion,
    began_ms: u64,
    resumed_at_ms: u64,
}

#[derive(Debug, Default)]
struct Counts {
    mixed: usize,
    went_on: usize,
    refused_in_touch: usize,
    /// Begun before all nodes ended, and taken up later at a node in touch while two replicas of the
    /// stream's version served.
    outlasting: usize,
    /// Those of them that went on.
    outlasting_went_on: usize,
}

struct Fleet {
    store: Store,
    replicas: BTreeMap<String, Listing>,
    nodes: Vec<Node>,
    streams: Vec<Stream>,
    rng: TestRng,
    counts: Counts,
    all_ended_ms: u64,
    rolls: u64,
    next_replacements: Vec<(u64, u32, bool, SoftwareVersion)>,
    next_removals: Vec<(u64, String)>,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut seed_bytes = [0; 32];
        seed_bytes[..8].copy_from_slice(&seed.to_le_bytes());
        let replicas = (0..REPLICAS).map(|index| {
            let listing = Listing {
                born: 1,
                version: "v0".into(),
            };
            (format!("r{index}"), listing)
        });
        let replicas: BTreeMap<String, Listing> = replicas.collect();
        let mut fleet = Fleet {
            store: Store {
                contents: Contents::default(),
                era: 1,
                away_until_ms: 0,
                copies: Vec::new(),
                writes: Vec::new(),
                segment_writes: Vec::new(),
            },
            replicas,
            nodes: (0..NODES).map(|_| Node::new(true, STEP_MS)).collect(),
            streams: Vec::new(),
            rng: TestRng::from_seed(RngAlgorithm::ChaCha, &seed_bytes),
            counts: Counts::default(),
            all_ended_ms: 0,
            rolls: 0,
            next_replacements: Vec::new(),
            next_removals: Vec::new(),
        };
        fleet.store.write_listings(&fleet.replicas);
        fleet
    }

    fn random(&mut self, below: u64) -> u64 {
        u64::from(self.rng.next_u32()) % below.max(1)
    }

    fn up(&self) -> Vec<usize> {
        (0..NODES)
            .filter(|index| self.nodes[*index].up_since_ms.is_some())
            .collect()
    }

    fn begin(&mut self, event: &Event, now_ms: u64) {
        match event {
            Event::Roll {
                replicas,
                gap_ms,
                keeps_ids,
            } => {
                self.rolls += 1;
                let version: SoftwareVersion = format!("v{}", self.rolls).into();
                for index in 0..*replicas {
                    let at_ms = now_ms + gap_ms * u64::from(index);
                    self.next_replacements
                        .push((at_ms, index, *keeps_ids, version.clone()));
                }
            }
            Event::Canary { for_ms } => {
                self.rolls += 1;
                let id = format!("canary.{}", self.rolls);
                let listing = Listing {
                    born: now_ms,
                    version: format!("v{}", self.rolls).into(),
                };
                self.replicas.insert(id.clone(), listing);
                self.next_removals.push((now_ms + for_ms, id));
            }
            Event::KillAll { down_ms } => {
                self.all_ended_ms = now_ms;
                (0..NODES).for_each(|node| self.kill(node, now_ms + down_ms));
            }
            Event::Kill { node, down_ms } => self.kill(*node, now_ms + down_ms),
            Event::StoreAway { for_ms } => self.store.away_until_ms = now_ms + for_ms,
            Event::Restore { age_ms } => {
                let taken = self
                    .store
                    .copies
                    .iter()
                    .rev()
                    .find(|(at_ms, _)| at_ms + age_ms <= now_ms);
                let Some((_, copy)) = taken.cloned() else { return };
                self.store.contents = copy;
                self.store.era += 1;
                self.store.writes.clear();
                self.store.write_listings(&self.replicas);
            }
        }
    }

    fn kill(&mut self, node: usize, starts_ms: u64) {
        self.nodes[node] = Node::new(false, starts_ms);
    }

    fn replace_replicas(&mut self, now_ms: u64) {
        let planned = std::mem::take(&mut self.next_replacements);
        let (due, later) = planned.into_iter().partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.next_replacements = later;
        let due: Vec<(u64, u32, bool, SoftwareVersion)> = due;
        for (_, index, keeps_ids, version) in due {
            let former = self
                .replicas
                .keys()
                .find(|id| id.starts_with(&format!("r{index}")));
            let former = former.cloned().unwrap_or_default();
            self.replicas.remove(&former);
            let id = if keeps_ids {
                former
            } else {
                format!("r{index}.{}", self.rolls)
            };
            let born = now_ms;
            self.replicas.insert(id, Listing { born, version });
        }
        let removals = std::mem::take(&mut self.next_removals);
        for (at_ms, id) in removals {
            if at_ms <= now_ms {
                self.replicas.remove(&id);
            } else {
                self.next_removals.push((at_ms, id));
            }
        }
        if self.replicas != self.store.contents.listings && now_ms >= self.store.away_until_ms {
            self.store.write_listings(&self.replicas);
        }
    }

    fn step(&mut self, now_ms: u64) {
        self.replace_replicas(now_ms);
        if now_ms >= self.store.away_until_ms {
            self.store.execute(now_ms);
        }
        if now_ms % 500 == 0 {
            self.store.copies.push((now_ms, self.store.contents.clone()));
        }
        for index in 0..NODES {
            self.step_node(index, now_ms);
        }
        if now_ms % 100 == 0 {
            self.begin_stream(now_ms);
        }
        for stream in 0..self.streams.len() {
            if self.streams[stream].resumed_at_ms == now_ms {
                self.resume(stream, now_ms);
            }
        }
    }

    fn step_node(&mut self, index: usize, now_ms: u64) {
        if self.nodes[index].up_since_ms.is_none() && now_ms >= self.nodes[index].starts_ms {
            self.nodes[index].up_since_ms = Some(now_ms);
        }
        let is_up = self.nodes[index].up_since_ms.is_some();
        if !is_up || now_ms < self.store.away_until_ms || now_ms < self.nodes[index].next_view_ms {
            return;
        }
        self.nodes[index].next_view_ms = now_ms + 50 + self.random(300);
        if self.nodes[index].read(&self.store, now_ms) {
            let own: Vec<(usize, SoftwareVersion)> = self.nodes[index].own.drain().collect();
            own.into_iter()
                .for_each(|(stream, version)| self.record(index, stream, &version, now_ms));
        }
        self.change_record(index, now_ms);
        self.write_segment(index, now_ms);
    }

    fn write_segment(&mut self, index: usize, now_ms: u64) {
        let (node, now) = (&mut self.nodes[index], moment(now_ms));
        let due_at = node.segments.due_at(Duration::from_millis(100));
        if due_at.is_none_or(|due_at| due_at > now) {
            return;
        }
        let Some(segment) = node.segments.take_segment(now) else {
            return;
        };
        let key = (index, node.starts_ms, segment.slot);
        let is_answered = self.random(10) > 0;
        let max_delay_ms = if is_answered { 60 } else { 3_000 };
        let due_ms = now_ms + self.random(max_delay_ms);
        self.store.segment_writes.push(SegmentWrite {
            due_ms,
            key,
            streams: segment.streams.clone(),
        });
        if !is_answered {
            self.nodes[index].segments.put_back(segment, now);
        }
    }

    fn change_record(&mut self, index: usize, now_ms: u64) {
        let now = moment(now_ms);
        let seen = self.nodes[index].seen(now_ms);
        let node = &self.nodes[index];
        let Some(change) = node.stored.needed_change("llm", &seen, now) else {
            return;
        };
        if now_ms < node.next_change_ms {
            return;
        }
        let known = node.stored.records().next().map(|(_, record)| record.clone());
        let max_delay_ms = if change == NeededChange::Addition {
            300
        } else {
            2_000
        };
        self.nodes[index].next_change_ms = now_ms + 50 + self.random(max_delay_ms);
        let node = &mut self.nodes[index];
        node.apply_record(&self.store, now);
        let read = self.store.contents.record.clone();
        let was_known = known == read;
        let next = node
            .stored
            .next_record("llm", read.as_ref(), was_known, &seen, now);
        // A write without an answer may be executed seconds later.
        let delay_ms = if self.random(10) == 0 {
            self.random(3_000)
        } else {
            self.random(60)
        };
        self.store.writes.extend(next.map(|record| Write {
            due_ms: now_ms + delay_ms,
            expected_revision: self.store.contents.record_revision,
            era: self.store.era,
            record,
        }));
    }

    /// Writes the version of a stream to its keepers, and tells it to the nodes that write to the store.
    fn record(&mut self, node: usize, stream: usize, version: &SoftwareVersion, now_ms: u64) {
        for writer in self.up().into_iter().take(WRITERS) {
            let segments = &mut self.nodes[writer].segments;
            segments.push(&stream.to_string(), version.clone(), moment(now_ms));
        }
        let others: Vec<usize> = self.up().into_iter().filter(|other| *other != node).collect();
        for keeper in others.into_iter().take(KEEPERS) {
            self.nodes[keeper].records.insert(stream, version.clone());
        }
    }

    fn begin_stream(&mut self, now_ms: u64) {
        let up = self.up();
        if up.is_empty() {
            return;
        }
        let index = up[self.random(up.len() as u64) as usize];
        let draw = self.random(1_000) as usize;
        let node = &self.nodes[index];
        let recorded = RecordedVersions {
            service: "llm",
            stored: &node.stored,
            versions: &node.versions,
            at: begin_at(now_ms),
        };
        let lives = |(id, listing): &(&String, &Listing)| self.replicas.get(*id) == Some(*listing);
        let permitted = node
            .listings
            .iter()
            .filter(|(id, listing)| recorded.permit(id, Some(listing.born)));
        let permitted: Vec<&Listing> = permitted.filter(lives).map(|(_, listing)| listing).collect();
        let Some(listing) = permitted.get(draw % permitted.len().max(1)) else {
            return;
        };
        let version = listing.version.clone();
        let is_sole = node.versions.sole_version("llm", moment(now_ms)).as_ref() == Some(&version);
        let stream = self.streams.len();
        let resumed_in_ms = 500 + self.random(MAX_RESUME_MS) / STEP_MS * STEP_MS;
        self.nodes[index].records.insert(stream, version.clone());
        if is_sole {
            self.nodes[index].own.insert(stream, version.clone());
        } else {
            self.record(index, stream, &version, now_ms);
        }
        self.streams.push(Stream {
            version,
            began_ms: now_ms,
            resumed_at_ms: now_ms + resumed_in_ms,
        });
    }

    fn resume(&mut self, stream: usize, now_ms: u64) {
        let up = self.up();
        if up.is_empty() {
            return;
        }
        let index = up[self.random(up.len() as u64) as usize];
        let read_age = self.random(3) as usize;
        let now = moment(now_ms);
        let node = &self.nodes[index];
        let own = node.answer(stream, now);
        let trusted = node
            .versions
            .sole_version("llm", now)
            .filter(|_| node.is_trusted(now_ms));
        let found = match &own {
            KeeperAnswer::Found(version) => Some(version.clone()),
            KeeperAnswer::NotFound(_) | KeeperAnswer::Unanswered => trusted.or_else(|| {
                let others = up.iter().filter(|other| **other != index);
                let answers: Vec<KeeperAnswer> = others
                    .map(|other| self.nodes[*other].answer(stream, now))
                    .collect();
                let is_known = answers
                    .iter()
                    .any(|answer| matches!(answer, KeeperAnswer::Found(_)));
                let is_readable = !is_known && now_ms >= self.store.away_until_ms;
                let stored = is_readable.then(|| self.store.read_streams(read_age));
                decide(own.clone(), &answers).or_else(|| stored?.find(&stream.to_string()))
            }),
        };
        let is_in_touch = node.up_since_ms.is_some_and(|since| now_ms >= since + CONTACT_MS);
        let serving = self.replicas.values();
        let serving = serving.filter(|listing| listing.version == self.streams[stream].version);
        let is_outlasting = self.streams[stream].began_ms < self.all_ended_ms;
        if is_in_touch && is_outlasting && serving.count() >= 2 {
            self.counts.outlasting += 1;
            self.counts.outlasting_went_on += usize::from(found.is_some());
        }
        match found {
            Some(version) if version != self.streams[stream].version => self.counts.mixed += 1,
            Some(_) => self.counts.went_on += 1,
            None => self.counts.refused_in_touch += usize::from(is_in_touch),
        }
    }
}

fn play(seed: u64, mut events: Vec<(u64, Event)>) -> Counts {
    events.sort_by_key(|(at_ms, _)| *at_ms);
    let mut fleet = Fleet::new(seed);
    let mut events = events.into_iter().peekable();
    for now_ms in (STEP_MS..RUN_MS).step_by(STEP_MS as usize) {
        while let Some((_, event)) = events.next_if(|(at_ms, _)| *at_ms <= now_ms) {
            fleet.begin(&event, now_ms);
        }
        fleet.step(now_ms);
    }
    fleet.counts
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (20_u64..3_000, any::<bool>()).prop_map(|(gap_ms, keeps_ids)| Event::Roll {
            replicas: REPLICAS,
            gap_ms,
            keeps_ids,
        }),
        3 => (200_u64..3_000).prop_map(|down_ms| Event::KillAll { down_ms }),
        2 => (0..NODES, 200_u64..3_000).prop_map(|(node, down_ms)| Event::Kill { node, down_ms }),
        4 => (100_u64..3_000).prop_map(|for_ms| Event::Canary { for_ms }),
        3 => (300_u64..8_000).prop_map(|for_ms| Event::StoreAway { for_ms }),
        2 => (500_u64..5_000).prop_map(|age_ms| Event::Restore { age_ms }),
    ]
}

fn events() -> impl Strategy<Value = Vec<(u64, Event)>> {
    let apart = (3_000_u64..90_000, event()).prop_map(|event| vec![event]);
    // Disruptions that come together are where a version may be forgotten.
    let spread_ms = prop_oneof![3 => Just(600_u64), 1 => Just(2_500)];
    let offsets = proptest::collection::vec((0.0..1.0, event()), 2..6);
    let together = (3_000_u64..90_000, spread_ms, offsets);
    let together = together.prop_map(|(begin_ms, spread_ms, events)| {
        let at_ms = |share: f64| begin_ms + (share * spread_ms as f64) as u64;
        let events = events.into_iter().map(|(share, event)| (at_ms(share), event));
        events.collect::<Vec<_>>()
    });
    let groups = proptest::collection::vec(prop_oneof![1 => apart, 3 => together], 1..6);
    groups.prop_map(|groups| groups.concat())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(
        std::env::var("CROFTRILL_VERSION_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(200)
    ))]

    /// Guards against streams that join two versions, whatever of the fleet ends, rolls or forgets.
    #[test]
    fn streams_never_go_on_at_another_version(seed in any::<u64>(), events in events()) {
        let counts = play(seed, events);
        prop_assert_eq!(counts.mixed, 0, "{:?}", counts);
    }

    /// Guards against streams that do not go on though nothing was rolled, as all nodes ended.
    #[test]
    fn streams_go_on_after_restarts_of_nodes(
        seed in any::<u64>(),
        kills in proptest::collection::vec((8_000_u64..90_000, 200_u64..3_000, any::<bool>()), 1..4),
    ) {
        let event = |(at_ms, down_ms, is_all): (u64, u64, bool)| {
            let event = if is_all { Event::KillAll { down_ms } } else { Event::Kill { node: 0, down_ms } };
            (at_ms, event)
        };
        let counts = play(seed, kills.into_iter().map(event).collect());
        prop_assert_eq!((counts.mixed, counts.refused_in_touch), (0, 0), "{:?}", counts);
        prop_assert!(counts.went_on > 500);
    }
}

/// Returns the counts of streams in a fleet of which half is rolled, while all nodes end.
fn roll_half_and_kill_all(seed: u64) -> Counts {
    let kill_ms = 20_000 + seed * 37 % 6_000;
    let roll = Event::Roll {
        replicas: REPLICAS / 2,
        gap_ms: 400,
        keeps_ids: false,
    };
    play(
        seed,
        vec![(20_000, roll), (kill_ms, Event::KillAll { down_ms: 1_000 })],
    )
}

/// Guards against streams that nobody takes up after all nodes ended in a roll, though replicas of their
/// version serve: as many of them should go on as half of the new ones begin.
#[test]
fn half_of_the_streams_of_a_roll_go_on_after_all_nodes_ended() {
    let (mut outlasting, mut went_on) = (0, 0);
    for seed in 0..40 {
        let counts = roll_half_and_kill_all(seed);
        assert_eq!(counts.mixed, 0, "seed {seed}: {counts:?}");
        outlasting += counts.outlasting;
        went_on += counts.outlasting_went_on;
    }
    assert!(went_on * 2 >= outlasting, "{went_on} of {outlasting}");
}

// Guards against streams at a version of which nodes that trust their views don't know yet.
#[test]
fn added_version_begins_once_no_older_view_counts() {
    let mut stored = StoredVersions::default();
    let record = |versions: &[&str]| VersionsRecord {
        versions: versions.iter().map(|version| (*version).into()).collect(),
        is_complete: true,
        era: None,
    };
    let may_begin = |stored: &StoredVersions, version: &str, now_ms: u64| {
        stored.may_begin("llm", &version.into(), false, begin_at(now_ms))
    };
    stored.apply(&service(), Some(record(&["v0"])), 5, moment(0));
    assert!(may_begin(&stored, "v0", 0));
    stored.apply(&service(), Some(record(&["v0", "v1"])), 6, moment(1_000));
    stored.apply(&service(), Some(record(&["v0", "v1"])), 7, moment(2_000));
    assert!(may_begin(&stored, "v0", 1_000));
    assert!(!may_begin(&stored, "v1", 2_299));
    assert!(may_begin(&stored, "v1", 2_300));
    // A process that starts finds both.
    let mut read = StoredVersions::default();
    read.apply(&service(), Some(record(&["v0", "v1"])), 7, moment(2_000));
    assert!(may_begin(&read, "v0", 2_000) && may_begin(&read, "v1", 2_000));
}

/// Guards against a record that proves something beyond the era in which it was written.
#[test]
fn sole_version_is_unknown_in_another_era() {
    let mut stored = StoredVersions::default();
    let record = VersionsRecord {
        versions: BTreeSet::from(["v0".into()]),
        is_complete: true,
        era: Some(1),
    };
    stored.record_era(Some(1));
    stored.apply(&service(), Some(record), 5, moment(0));
    assert!(stored.current("llm").is_some());
    assert!(!stored.may_begin("llm", &"v1".into(), true, begin_at(0)));
    stored.record_era(Some(2));
    assert_eq!(stored.current("llm"), None);
    let mut versions = SoftwareVersions::new(false);
    versions.observe(&service(), ServiceVersions::Sole("v0".into()), moment(0));
    assert_eq!(
        versions.within_lifetime("llm", moment(0)),
        LifetimeVersions::Unclear(Some("v0".into()))
    );
}
