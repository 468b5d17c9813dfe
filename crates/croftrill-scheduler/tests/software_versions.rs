//! Streams of callers who take them up at other nodes while the replicas' software is rolled, beside
//! kills and cuts of nodes. Time is in milliseconds.

use std::collections::BTreeMap;
use std::time::Duration;

use croftrill_scheduler::catalog::ServiceName;
use croftrill_scheduler::crash_ledger::CrashLedger;
use croftrill_scheduler::replica::ReplicaId;
use croftrill_scheduler::software_versions::{
    attempt_key, decide, keeper_order, KeeperAnswer, LifetimeVersions, OwnStream, OwnStreams,
    RequiredVersion, ServiceVersions, SoftwareVersion, SoftwareVersions, VersionRecords, KEEPERS,
    KEEPERS_ASKED, MAX_STREAM_LIFETIME,
};
use croftrill_scheduler::time::Moment;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed, TestRng};

/// Length of a run.
const RUN_MS: u64 = 90_000;
const STEP_MS: u64 = 10;
/// Maximum time from the start of a stream until its caller takes it up at another node.
const MAX_RESUME_MS: u64 = 15_000;
/// Time without a disruption after which a node counts as in touch.
const CONTACT_MS: u64 = 3_000;
/// Time for which a node trusts its view.
const TRUST_MS: u64 = 1_300;
/// Streams of two versions that the rule allows.
const MAX_MIXED: usize = 2;
/// Resumptions from which on the rule counts their share.
const MIN_RESUMED: usize = 12;

fn moment(at_ms: u64) -> Moment {
    Moment::from_start(Duration::from_millis(at_ms))
}

#[derive(Debug, Clone)]
enum Event {
    /// Replaces all replicas one after the other, under their ids or new ones.
    Roll {
        gap_ms: u64,
        keeps_ids: bool,
    },
    Kill {
        node: usize,
        down_ms: u64,
    },
    /// A share of the nodes reaches neither the others nor the store.
    Cut {
        share: f64,
        for_ms: u64,
        seed: u64,
    },
}

#[derive(Debug, Clone, PartialEq)]
struct Replica {
    id: ReplicaId,
    started_ms: u64,
    version: SoftwareVersion,
}

struct Node {
    name: String,
    up_since: u64,
    is_up: bool,
    is_cut: bool,
    disrupted_at: u64,
    proven_at: u64,
    versions: SoftwareVersions,
    records: VersionRecords,
    own_streams: OwnStreams,
    /// Its view of the replicas.
    view: Vec<Replica>,
}

struct Stream {
    attempt: String,
    version: SoftwareVersion,
    resumes_at: u64,
}

#[derive(Default)]
struct Count {
    tried: usize,
    went_on: usize,
}

struct Fleet {
    nodes: Vec<Node>,
    replicas: Vec<Replica>,
    events: Vec<(u64, Event)>,
    pending: BTreeMap<u64, Vec<Step>>,
    streams: Vec<Stream>,
    began: Count,
    resumed: Count,
    mixed: Vec<String>,
    rolls: usize,
    now: u64,
    rng: TestRng,
    service: ServiceName,
}

#[derive(Debug, Clone)]
enum Step {
    Replace(usize, bool),
    Start(usize),
    Heal(usize),
}

impl Fleet {
    fn new(nodes: usize, replicas: usize, seed: u64, events: Vec<(u64, Event)>) -> Self {
        let mut bytes = [0; 32];
        bytes[..8].copy_from_slice(&seed.to_le_bytes());
        let replicas: Vec<Replica> = (0..replicas)
            .map(|index| Replica {
                id: format!("r{index}").as_str().into(),
                started_ms: 1,
                version: "v0".into(),
            })
            .collect();
        let node = |index: usize| Node {
            name: format!("n{index}"),
            up_since: 0,
            is_up: true,
            is_cut: false,
            disrupted_at: 0,
            proven_at: 0,
            versions: SoftwareVersions::new(true),
            records: VersionRecords::default(),
            own_streams: OwnStreams::default(),
            view: Vec::new(),
        };
        Fleet {
            nodes: (0..nodes).map(node).collect(),
            replicas,
            events,
            pending: BTreeMap::new(),
            streams: Vec::new(),
            began: Count::default(),
            resumed: Count::default(),
            mixed: Vec::new(),
            rolls: 0,
            now: 0,
            rng: TestRng::from_seed(RngAlgorithm::ChaCha, &bytes),
            service: "llm".into(),
        }
    }

    fn random(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    fn run(&mut self) {
        while self.now < RUN_MS {
            self.now += STEP_MS;
            self.disrupt();
            self.observe();
            self.begin_streams();
            self.resume_streams();
        }
    }

    fn disrupt(&mut self) {
        let due: Vec<Event> = self
            .events
            .iter()
            .filter(|(at, _)| at / STEP_MS == self.now / STEP_MS)
            .map(|(_, event)| event.clone())
            .collect();
        for event in due {
            match event {
                Event::Roll { gap_ms, keeps_ids } => {
                    self.rolls += 1;
                    for index in 0..self.replicas.len() {
                        let at = self.now + gap_ms * index as u64;
                        self.pending
                            .entry(at)
                            .or_default()
                            .push(Step::Replace(index, keeps_ids));
                    }
                }
                Event::Kill { node, down_ms } => {
                    let node = node % self.nodes.len();
                    self.nodes[node].is_up = false;
                    self.nodes[node].disrupted_at = self.now;
                    self.pending
                        .entry(self.now + down_ms)
                        .or_default()
                        .push(Step::Start(node));
                }
                Event::Cut { share, for_ms, seed } => {
                    for node in 0..self.nodes.len() {
                        let hash = (node as u64 + 1)
                            .wrapping_mul(seed | 1)
                            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
                            >> 32;
                        if (hash as f64 / f64::from(u32::MAX)) < share {
                            self.nodes[node].is_cut = true;
                            self.nodes[node].disrupted_at = self.now;
                            self.pending
                                .entry(self.now + for_ms)
                                .or_default()
                                .push(Step::Heal(node));
                        }
                    }
                }
            }
        }
        let later = self.pending.split_off(&(self.now + 1));
        let steps = std::mem::replace(&mut self.pending, later);
        for step in steps.into_values().flatten() {
            self.perform(step);
        }
    }

    fn perform(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::Replace(index, keeps_id) => {
                let version = format!("v{}", self.rolls);
                let replica = &mut self.replicas[index];
                if !keeps_id {
                    replica.id = format!("r{index}-{now}").as_str().into();
                }
                replica.started_ms = now;
                replica.version = version.as_str().into();
            }
            Step::Start(node) => {
                let node = &mut self.nodes[node];
                node.is_up = true;
                node.up_since = now;
                node.disrupted_at = now;
                node.versions = SoftwareVersions::new(false);
                node.records = VersionRecords::default();
                node.own_streams = OwnStreams::default();
                node.view.clear();
            }
            Step::Heal(node) => {
                self.nodes[node].is_cut = false;
                self.nodes[node].disrupted_at = now;
            }
        }
    }

    /// Each node sees the replicas from time to time, unless it is cut off.
    fn observe(&mut self) {
        for index in 0..self.nodes.len() {
            let is_due = (self.now + 70 * index as u64) % 250 < STEP_MS;
            let node = &mut self.nodes[index];
            if !node.is_up || node.is_cut || !is_due {
                continue;
            }
            node.proven_at = self.now;
            node.view = self.replicas.clone();
            for replica in &node.view {
                let version = replica.version.clone();
                node.versions
                    .record(&replica.id, Some(replica.started_ms), version);
            }
            let versions = node.view.iter().map(|replica| Some(&replica.version));
            let observed = ServiceVersions::of(versions);
            if node.versions.present(&self.service) != observed {
                node.versions.observe(&self.service, observed, moment(self.now));
                let streams = node.own_streams.take(&self.service, moment(self.now));
                for (attempt, stream) in streams {
                    self.record(index, &attempt, &stream.version);
                }
            }
        }
    }

    fn in_touch(&self, node: usize) -> bool {
        let node = &self.nodes[node];
        node.is_up && !node.is_cut && node.disrupted_at + CONTACT_MS <= self.now
    }

    /// Returns a replica of a node's view that is as the node knows it: others do not run the request.
    fn send(&mut self, node: usize, required: Option<&SoftwareVersion>) -> Option<Replica> {
        let versions = &self.nodes[node].versions;
        let ends = &CrashLedger::default();
        let fits = |replica: &&Replica| {
            required.is_none_or(|version| {
                RequiredVersion {
                    version,
                    versions,
                    ends,
                }
                .is_run_by(&replica.id, Some(replica.started_ms))
            })
        };
        let candidates: Vec<Replica> = self.nodes[node].view.iter().filter(fits).cloned().collect();
        for _ in 0..3 {
            let position = self.random(candidates.len() as u64) as usize;
            let chosen = candidates.get(position)?;
            // A replica that started again under its id is empty and rejects the request.
            if self.replicas.contains(chosen) {
                return Some(chosen.clone());
            }
        }
        None
    }

    fn begin_streams(&mut self) {
        for node in 0..self.nodes.len() {
            if !self.nodes[node].is_up || self.random(20) > 0 {
                continue;
            }
            let is_counted = self.in_touch(node);
            self.began.tried += usize::from(is_counted);
            let Some(replica) = self.send(node, None) else {
                continue;
            };
            self.began.went_on += usize::from(is_counted);
            let attempt = format!("a{node}-{}", self.now);
            let now = moment(self.now);
            let sole = self.nodes[node].versions.sole_version(&self.service, now);
            if sole.as_ref() == Some(&replica.version) {
                let stream = OwnStream {
                    service: self.service.clone(),
                    version: replica.version.clone(),
                    expires_at: now + MAX_STREAM_LIFETIME,
                };
                self.nodes[node].own_streams.insert(&attempt, stream, now);
            } else {
                self.record(node, &attempt, &replica.version);
            }
            let resumes_at = self.now + 50 + self.random(MAX_RESUME_MS);
            self.streams.push(Stream {
                attempt,
                version: replica.version,
                resumes_at,
            });
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.nodes[from], &self.nodes[to]);
        from.is_up && to.is_up && !from.is_cut && !to.is_cut
    }

    fn keepers(&self, own: usize, attempt: &str) -> Vec<usize> {
        let others = (0..self.nodes.len()).filter(|node| *node != own);
        let mut order = keeper_order(attempt, others, |node| self.nodes[*node].name.as_str());
        order.truncate(KEEPERS_ASKED);
        order
    }

    fn record(&mut self, node: usize, attempt: &str, version: &SoftwareVersion) {
        let now = moment(self.now);
        let expires_at = now + MAX_STREAM_LIFETIME;
        self.nodes[node]
            .records
            .insert(attempt, version.clone(), expires_at, now);
        let keepers = self.keepers(node, attempt).into_iter();
        let reached: Vec<usize> = keepers
            .filter(|keeper| self.reaches(node, *keeper))
            .take(KEEPERS)
            .collect();
        for keeper in reached {
            self.nodes[keeper]
                .records
                .insert(attempt, version.clone(), expires_at, now);
        }
    }

    fn answer(&self, node: usize, attempt: &str) -> KeeperAnswer {
        let now = moment(self.now);
        let node = &self.nodes[node];
        match node.records.find(attempt, now) {
            Some(version) => KeeperAnswer::Found(version),
            None => KeeperAnswer::NotFound(node.versions.within_lifetime(&self.service, now)),
        }
    }

    fn find(&self, node: usize, attempt: &str) -> Option<SoftwareVersion> {
        let own = self.answer(node, attempt);
        if let KeeperAnswer::Found(version) = own {
            return Some(version);
        }
        if self.now - self.nodes[node].proven_at <= TRUST_MS {
            let now = moment(self.now);
            let sole = self.nodes[node].versions.sole_version(&self.service, now);
            if sole.is_some() {
                return sole;
            }
        }
        let answers: Vec<KeeperAnswer> = self
            .keepers(node, attempt)
            .into_iter()
            .map(|keeper| match self.reaches(node, keeper) {
                true => self.answer(keeper, attempt),
                false => KeeperAnswer::Unanswered,
            })
            .collect();
        decide(own, &answers)
    }

    fn resume_streams(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.streams)
            .into_iter()
            .partition(|stream| stream.resumes_at <= now);
        self.streams = later;
        let due: Vec<Stream> = due;
        for stream in due {
            let node = self.random(self.nodes.len() as u64) as usize;
            if !self.nodes[node].is_up {
                continue;
            }
            let serving = self
                .replicas
                .iter()
                .filter(|replica| replica.version == stream.version);
            let is_counted = self.in_touch(node) && serving.count() >= 2;
            self.resumed.tried += usize::from(is_counted);
            let Some(version) = self.find(node, &stream.attempt) else {
                continue;
            };
            let Some(replica) = self.send(node, Some(&version)) else {
                continue;
            };
            self.resumed.went_on += usize::from(is_counted);
            if replica.version != stream.version {
                self.mixed.push(format!(
                    "{} of {} went on at {} by node {node} at {now}",
                    stream.attempt, stream.version, replica.version
                ));
            }
        }
    }
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (50u64..3_000, any::<bool>()).prop_map(|(gap_ms, keeps_ids)| Event::Roll { gap_ms, keeps_ids }),
        2 => (0usize..32, 200u64..5_000).prop_map(|(node, down_ms)| Event::Kill { node, down_ms }),
        2 => (0.1f64..0.7, 500u64..12_000, any::<u64>())
            .prop_map(|(share, for_ms, seed)| Event::Cut { share, for_ms, seed }),
    ]
}

fn from_env(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |value| value.parse().expect(name))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: from_env("CROFTRILL_FLEET_CASES", 24) as u32,
        rng_seed: RngSeed::Fixed(from_env("CROFTRILL_FLEET_SEED", 67)),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against streams of two software versions, at nodes in touch or not, and against refusing
    // streams that could go on.
    #[test]
    fn streams_go_on_at_the_version_that_began_them(
        nodes in 2usize..24,
        replicas in 3usize..16,
        seed in any::<u64>(),
        events in prop::collection::vec((1_000u64..RUN_MS - 10_000, event()), 1..8),
    ) {
        let mut fleet = Fleet::new(nodes, replicas, seed, events);
        fleet.run();
        prop_assert!(fleet.mixed.len() <= MAX_MIXED, "{:?}", fleet.mixed);
        let share = |count: &Count| count.went_on as f64 / count.tried.max(1) as f64;
        let (began, resumed) = (&fleet.began, &fleet.resumed);
        let is_lost = resumed.tried >= MIN_RESUMED && share(resumed) < share(began) / 2.0;
        prop_assert!(!is_lost, "{} of {} went on, {} of {} began", resumed.went_on, resumed.tried,
            began.went_on, began.tried);
    }
}

/// Guards against an answer that is taken for certain though another one contradicts it, or though
/// those who would know are silent.
#[test]
fn decide_contradicting_or_missing_answers() {
    let version = |name: &str| SoftwareVersion::from(name);
    let found = |name: &str| KeeperAnswer::Found(version(name));
    let none = |versions: LifetimeVersions| KeeperAnswer::NotFound(versions);
    let sole = |name: &str| none(LifetimeVersions::Sole(version(name)));
    let unclear = |name: &str| none(LifetimeVersions::Unclear(Some(version(name))));
    let mixed = || none(LifetimeVersions::Mixed);
    let silent = || KeeperAnswer::Unanswered;
    assert_eq!(decide(mixed(), &[found("a"), sole("b")]), Some(version("a")));
    assert_eq!(decide(sole("a"), &[found("a"), found("b")]), None);
    assert_eq!(decide(unclear("a"), &[sole("a"), silent()]), Some(version("a")));
    assert_eq!(decide(unclear("b"), &[sole("a"), silent()]), None);
    assert_eq!(decide(sole("a"), &[sole("b"), silent()]), None);
    assert_eq!(decide(sole("a"), &[mixed(), sole("a")]), None);
    assert_eq!(decide(mixed(), &[sole("a"), sole("a")]), None);
    assert_eq!(decide(sole("a"), &[silent(), silent()]), None);
    assert_eq!(decide(sole("a"), &[]), Some(version("a")));
    assert_eq!(decide(unclear("a"), &[unclear("a")]), None);
}

#[test]
fn within_lifetime_told_by_another_node() {
    let service: ServiceName = "chat".into();
    let version = |name: &str| SoftwareVersion::from(name);
    let sole = |name: &str| ServiceVersions::Sole(version(name));
    let mut versions = SoftwareVersions::new(false);
    let start = Moment::from_start(Duration::from_secs(1_000));
    let lifetime = MAX_STREAM_LIFETIME;
    versions.observe(&service, sole("v0"), start);
    versions.record_sole_since(&service, &version("v0"), start - lifetime / 2);
    assert_eq!(versions.sole_for(&service, start), lifetime / 2);
    let early = start + lifetime / 4;
    assert_eq!(
        versions.within_lifetime(&service, early),
        LifetimeVersions::Unclear(Some(version("v0")))
    );
    let later = start + lifetime / 2;
    assert_eq!(
        versions.within_lifetime(&service, later),
        LifetimeVersions::Sole(version("v0"))
    );
    // It does not hide a version that the node itself observed.
    versions.observe(&service, ServiceVersions::Several, later);
    assert_eq!(versions.within_lifetime(&service, later), LifetimeVersions::Mixed);
    versions.observe(&service, sole("v1"), later + lifetime / 4);
    let end = later + lifetime / 2;
    assert_eq!(versions.within_lifetime(&service, end), LifetimeVersions::Mixed);

    let mut other = SoftwareVersions::new(false);
    other.observe(&service, sole("v1"), start);
    other.record_sole_since(&service, &version("v0"), start - lifetime);
    assert_eq!(
        other.within_lifetime(&service, start),
        LifetimeVersions::Unclear(Some(version("v1")))
    );
}

#[test]
fn attempt_key_of_long_id_is_short_and_stays() {
    assert_eq!(attempt_key("9c41d07be2a35f68"), "9c41d07be2a35f68");
    let long = "n".repeat(16_000);
    let key = attempt_key(&long).into_owned();
    assert!(key.len() <= 64);
    assert_eq!(attempt_key(&key), key);
    assert_ne!(attempt_key(&format!("{long}n")), key);
}
