//! Simulates the ways in which nodes choose among replicas of different speed.
//!
//! Streams arrive at random at nodes. A node knows the loads of replicas from the answers to
//! its own requests and from the updates of other nodes, which may be late or missing. The
//! results are how evenly the work is spread, how many streams wait or are rejected, and how
//! long first events take.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use croftrill_scheduler::capacity::ReplicaLoad;
use croftrill_scheduler::replica::{HeldModel, Holdings, ReplicaListing, ReplicaState};
use croftrill_scheduler::replica_estimate::{TIME_PER_OUTPUT_TOKEN, TIME_PER_PROMPT_TOKEN};
use croftrill_scheduler::replica_table::ReplicaTable;
use croftrill_scheduler::routing::{choose, weighted_candidates, ModelNeed, RoutingRequest, WeightedReplica};
use croftrill_scheduler::time::Moment;
use croftrill_scheduler::work::RequestWork;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// How a node chooses a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// All holders are treated as equally fast.
    Alike,
    /// The replica with the lowest expected cost.
    LeastCost,
    /// The cheaper of two random replicas.
    TwoChoices,
    /// A random replica, weighted by free capacity.
    ByRoom,
    /// The choice that nodes make in production.
    Chosen,
}

/// How a node receives the loads that replicas reported to other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadUpdates {
    /// It receives none.
    None,
    /// After the given delay.
    After(Duration),
    /// After the given delay, but half of the updates are lost.
    Lost(Duration),
    /// After the given delay, but every tenth replica always reports that it is empty.
    False(Duration),
}

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct SpreadRun {
    /// Number of nodes.
    pub nodes: usize,
    /// How nodes choose replicas.
    pub policy: RoutingPolicy,
    /// How nodes receive load updates.
    pub updates: LoadUpdates,
    /// Mean rate at which streams arrive, per second.
    pub demand_per_s: f64,
    /// Seed of the random streams.
    pub seed: u64,
    /// Length of the run.
    pub length: Duration,
}

/// Results of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpreadOutcome {
    /// Fraction of the streams that waited at a full replica.
    pub waited: f64,
    /// Fraction of the streams that a full replica rejected.
    pub rejected: f64,
    /// Fraction of the streams whose first event came after the objective.
    pub late: f64,
    /// Fraction of the streams that did not end within the deadline.
    pub overdue: f64,
    /// 99th percentile of the time to the first event, in milliseconds.
    pub first_event_p99_ms: f64,
    /// Slot-seconds used at the busiest replica, divided by the mean over all replicas.
    pub busiest_to_mean: f64,
}

/// Number of replicas; the index of a replica determines the models that it holds.
const REPLICAS: usize = 60;
/// Number of models, each held by ten replicas.
const MODELS: usize = 12;
/// Number of models that a replica holds.
const MODELS_PER_REPLICA: usize = 2;
/// Requests that a replica runs concurrently.
const SLOTS: usize = 24;
/// Requests that may wait at a replica in addition.
const MAX_WAITING: usize = 72;
/// Work times of the replicas, assigned round-robin, in percent of the usual.
const WORK_TIMES_PCT: [u32; 3] = [60, 100, 160];
/// Interval at which the disturbed replicas are drawn again.
const DISTURBANCE_INTERVAL: Duration = Duration::from_millis(600);
/// Probability that a replica is disturbed.
const DISTURBED_FRACTION: f64 = 0.15;
/// Factor by which work takes longer on a disturbed replica.
const DISTURBED_FACTOR: f64 = 2.5;
/// Objective for the time to the first event.
const OBJECTIVE: Duration = Duration::from_millis(400);
/// Time within which a stream must end.
const DEADLINE: Duration = Duration::from_secs(12);
/// Tokens in the prompt of a stream.
const PROMPT_TOKENS: u64 = 600;
/// Mean number of output tokens of a long stream.
const LONG_OUTPUT_TOKENS: f64 = 280.0;
/// Mean number of output tokens of a short stream.
const SHORT_OUTPUT_TOKENS: f64 = 48.0;
/// Maximum number of output tokens of a stream.
const MAX_OUTPUT_TOKENS: f64 = 952.0;
/// Fraction of the streams that are short.
const SHORT_FRACTION: f64 = 0.44;
/// Maximum error of the output length that a caller hints, as the natural logarithm of the ratio.
const MAX_HINT_ERROR: f64 = 0.5;
/// Minimum time between two load samples of one replica that are forwarded to other nodes.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// Exponent by which demand falls with the index of a model (Zipf's law).
const MODEL_SKEW: f64 = 0.4;

/// A stream at a replica.
#[derive(Debug, Clone, Copy)]
struct Stream {
    node: usize,
    work: RequestWork,
    arrived_at: Duration,
}

/// State of a replica during a run.
#[derive(Debug, Default)]
struct Engine {
    running: usize,
    waiting: VecDeque<Stream>,
    work_time: f64,
    disturbed: bool,
    /// Slot-seconds used up to `since`.
    used_slot_s: f64,
    /// Time up to which `used_slot_s` is counted.
    since: Duration,
    forwarded_at: Option<Duration>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    Arrival,
    Disturbances,
    End {
        replica: usize,
        node: usize,
        started_at: Duration,
    },
    LoadUpdate {
        replica: usize,
        load: TimedLoad,
    },
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct TimedLoad {
    load: ReplicaLoad,
    at: Duration,
}

struct Simulation {
    run: SpreadRun,
    random: SmallRng,
    engines: Vec<Engine>,
    nodes: Vec<ReplicaTable>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: Vec<Option<Event>>,
    first_events: Vec<Duration>,
    streams: u64,
    waited: u64,
    rejected: u64,
    overdue: u64,
}

fn at(elapsed: Duration) -> Moment {
    Moment::from_start(Duration::from_secs(3600) + elapsed)
}

fn replica_id(index: usize) -> String {
    format!("r{index:02}")
}

fn model_name(index: usize) -> String {
    format!("m{index}")
}

fn listing(index: usize) -> ReplicaListing {
    let models = (0..MODELS_PER_REPLICA).map(|offset| HeldModel {
        model: model_name((index + offset * (1 + index / MODELS)) % MODELS).into(),
        adapters: Vec::new(),
    });
    ReplicaListing {
        id: replica_id(index).into(),
        service: "llm".into(),
        address: "127.0.0.1:1".into(),
        zone: "a".into(),
        slots: SLOTS as u32,
        state: ReplicaState::Ready,
        leaves_in: None,
        started_ms: None,
        holdings: Holdings {
            models: models.collect(),
            ..Holdings::default()
        },
    }
}

/// Simulates a run.
pub fn simulate(run: SpreadRun) -> SpreadOutcome {
    let tables = (0..run.nodes).map(|_| {
        let mut table = ReplicaTable::new();
        (0..REPLICAS).for_each(|index| table.apply_listing(listing(index)));
        if run.policy != RoutingPolicy::Alike {
            table.route_all_by_capacity();
        }
        table
    });
    let mut simulation = Simulation {
        run,
        random: SmallRng::seed_from_u64(run.seed),
        engines: (0..REPLICAS).map(Engine::new).collect(),
        nodes: tables.collect(),
        queue: BinaryHeap::new(),
        events: Vec::new(),
        first_events: Vec::new(),
        streams: 0,
        waited: 0,
        rejected: 0,
        overdue: 0,
    };
    simulation.push(Duration::ZERO, Event::Arrival);
    simulation.push(Duration::ZERO, Event::Disturbances);
    while let Some(Reverse((now, number))) = simulation.queue.pop() {
        if now >= run.length {
            break;
        }
        let event = simulation.events[number as usize].take();
        simulation.handle(event.expect("each event is handled once"), now);
    }
    simulation.outcome()
}

impl Engine {
    fn new(index: usize) -> Self {
        Engine {
            work_time: f64::from(WORK_TIMES_PCT[index % WORK_TIMES_PCT.len()]) / 100.0,
            ..Engine::default()
        }
    }

    fn work_time_now(&self) -> f64 {
        if self.disturbed {
            self.work_time * DISTURBED_FACTOR
        } else {
            self.work_time
        }
    }

    fn load(&self) -> ReplicaLoad {
        ReplicaLoad {
            running: self.running as u32,
            waiting: self.waiting.len() as u32,
            slots: Some(SLOTS as u32),
            work_time_pct: Some((self.work_time_now() * 100.0) as u32),
        }
    }

    fn count_slot_time(&mut self, now: Duration) {
        self.used_slot_s += self.running as f64 * (now - self.since).as_secs_f64();
        self.since = now;
    }
}

impl Simulation {
    fn push(&mut self, at: Duration, event: Event) {
        self.queue.push(Reverse((at, self.events.len() as u64)));
        self.events.push(Some(event));
    }

    fn handle(&mut self, event: Event, now: Duration) {
        match event {
            Event::Arrival => self.handle_arrival(now),
            Event::Disturbances => self.disturb(now),
            Event::End {
                replica,
                node,
                started_at,
            } => self.end(replica, node, started_at, now),
            Event::LoadUpdate { replica, load } => self.apply_load_update(replica, load),
        }
    }

    fn disturb(&mut self, now: Duration) {
        for engine in &mut self.engines {
            engine.disturbed = self.random.random_bool(DISTURBED_FRACTION);
        }
        self.push(now + DISTURBANCE_INTERVAL, Event::Disturbances);
    }

    fn handle_arrival(&mut self, now: Duration) {
        let pause_s = -self.random.random_range(f64::MIN_POSITIVE..1.0).ln() / self.run.demand_per_s;
        self.push(now + Duration::from_secs_f64(pause_s), Event::Arrival);
        let node = self.random.random_range(0..self.run.nodes);
        let model = self.draw_model();
        let mean = if self.random.random_bool(SHORT_FRACTION) {
            SHORT_OUTPUT_TOKENS
        } else {
            LONG_OUTPUT_TOKENS
        };
        let drawn = -self.random.random_range(f64::MIN_POSITIVE..1.0).ln() * mean;
        let output = drawn.clamp(1.0, MAX_OUTPUT_TOKENS);
        let error = self.random.random_range(-1.0..1.0) * MAX_HINT_ERROR;
        let hinted = RequestWork {
            prompt_tokens: PROMPT_TOKENS,
            output_tokens: (output * f64::exp(error)) as u64,
        };
        let Some(replica) = self.choose(node, &model, hinted, now) else {
            return;
        };
        self.streams += 1;
        self.nodes[node].begin_send(&replica_id(replica), hinted, at(now));
        let work = RequestWork {
            output_tokens: output as u64,
            ..hinted
        };
        self.arrive(
            replica,
            Stream {
                node,
                work,
                arrived_at: now,
            },
            now,
        );
    }

    fn draw_model(&mut self) -> String {
        let weight = |index: usize| (index as f64 + 1.0).powf(-MODEL_SKEW);
        let mut drawn = self.random.random_range(0.0..(0..MODELS).map(weight).sum());
        let mut chosen = 0;
        while chosen + 1 < MODELS && drawn >= weight(chosen) {
            drawn -= weight(chosen);
            chosen += 1;
        }
        model_name(chosen)
    }

    fn choose(&mut self, node: usize, model: &str, work: RequestWork, now: Duration) -> Option<usize> {
        let need = ModelNeed {
            model,
            adapter: None,
            shared_prefix_hash: None,
            shared_prefix_tokens: 0,
        };
        let request = RoutingRequest {
            version: None,
            begins_at: None,
            service: "llm",
            need: Some(need),
            zone: "a",
            tried: &[],
            salt: self.random.random(),
            work,
            attempt_left: OBJECTIVE,
            pause_objective: None,
            deadline_left: DEADLINE,
            kv_cache_tokens: 0,
        };
        let table = &self.nodes[node];
        let chosen = match self.run.policy {
            RoutingPolicy::Alike | RoutingPolicy::Chosen => choose(table, &request, at(now)),
            policy => {
                let weighted: Vec<WeightedReplica> = weighted_candidates(table, &request, at(now)).collect();
                let chosen = pick(policy, &weighted, at(now), &mut self.random);
                chosen.map(|weighted| weighted.entry.listing.id.clone())
            }
        };
        chosen.and_then(|id| id[1..].parse().ok())
    }

    fn arrive(&mut self, replica: usize, stream: Stream, now: Duration) {
        let engine = &mut self.engines[replica];
        if engine.running < SLOTS {
            self.start(replica, stream, now);
        } else if engine.waiting.len() < MAX_WAITING {
            self.waited += 1;
            engine.waiting.push_back(stream);
        } else {
            self.rejected += 1;
            self.report_load(replica, stream.node, now);
            self.drop_stream(replica, stream.node, stream.work);
        }
    }

    fn start(&mut self, replica: usize, stream: Stream, now: Duration) {
        let engine = &mut self.engines[replica];
        engine.count_slot_time(now);
        engine.running += 1;
        let prompt_time =
            TIME_PER_PROMPT_TOKEN.mul_f64(stream.work.prompt_tokens as f64 * engine.work_time_now());
        let disturbed = 1.0 + DISTURBED_FRACTION * (DISTURBED_FACTOR - 1.0);
        let per_token = TIME_PER_OUTPUT_TOKEN.mul_f64(engine.work_time * disturbed);
        let first_event_at = now + prompt_time;
        let end_at = first_event_at + per_token * stream.work.output_tokens as u32;
        self.first_events.push(first_event_at - stream.arrived_at);
        if end_at - stream.arrived_at > DEADLINE {
            self.overdue += 1;
        }
        let node = stream.node;
        self.nodes[node].prompt_done(&replica_id(replica), stream.work.prompt_tokens);
        self.push(
            end_at.min(stream.arrived_at + DEADLINE).max(now),
            Event::End {
                replica,
                node,
                started_at: now,
            },
        );
        self.report_load(replica, node, now);
    }

    fn end(&mut self, replica: usize, node: usize, started_at: Duration, now: Duration) {
        let engine = &mut self.engines[replica];
        engine.count_slot_time(now);
        engine.running -= 1;
        let next = engine.waiting.pop_front();
        self.nodes[node].end_send(&replica_id(replica));
        self.nodes[node].record_run_time(&replica_id(replica), now - started_at);
        if let Some(stream) = next {
            if now - stream.arrived_at < DEADLINE {
                self.start(replica, stream, now);
            } else {
                self.overdue += 1;
                self.drop_stream(replica, stream.node, stream.work);
            }
        }
    }

    /// Removes a stream that never ran from the load that its node counts for the replica.
    fn drop_stream(&mut self, replica: usize, node: usize, work: RequestWork) {
        let (table, id) = (&mut self.nodes[node], replica_id(replica));
        table.prompt_done(&id, work.prompt_tokens);
        table.end_send(&id);
    }

    /// Reports the load of a replica to a node, which forwards it to the others if a sample is due.
    fn report_load(&mut self, replica: usize, node: usize, now: Duration) {
        let mut load = self.engines[replica].load();
        if matches!(self.run.updates, LoadUpdates::False(_)) && replica % 10 == 0 {
            load = ReplicaLoad {
                running: 0,
                waiting: 0,
                ..load
            };
        }
        let recorded = self.as_recorded(load);
        self.nodes[node].record_load(&replica_id(replica), recorded, at(now));
        let age = match self.run.updates {
            LoadUpdates::None => return,
            LoadUpdates::After(age) | LoadUpdates::Lost(age) | LoadUpdates::False(age) => age,
        };
        let engine = &mut self.engines[replica];
        if engine
            .forwarded_at
            .is_some_and(|last| now - last < MIN_UPDATE_INTERVAL)
        {
            return;
        }
        engine.forwarded_at = Some(now);
        let load = TimedLoad { load, at: now };
        self.push(now + age, Event::LoadUpdate { replica, load });
    }

    fn apply_load_update(&mut self, replica: usize, sample: TimedLoad) {
        let id = replica_id(replica);
        let load = self.as_recorded(sample.load);
        let is_lossy = matches!(self.run.updates, LoadUpdates::Lost(_));
        for table in &mut self.nodes {
            if !(is_lossy && self.random.random_bool(0.5)) {
                table.record_load(&id, load, at(sample.at));
            }
        }
    }

    /// Returns a load as a node records it: without the work time where replicas are treated as equal.
    fn as_recorded(&self, load: ReplicaLoad) -> ReplicaLoad {
        ReplicaLoad {
            work_time_pct: load
                .work_time_pct
                .filter(|_| self.run.policy != RoutingPolicy::Alike),
            ..load
        }
    }

    fn outcome(mut self) -> SpreadOutcome {
        let end = self.run.length;
        self.engines
            .iter_mut()
            .for_each(|engine| engine.count_slot_time(end));
        let used_slots_s: Vec<f64> = self.engines.iter().map(|engine| engine.used_slot_s).collect();
        let mean = used_slots_s.iter().sum::<f64>() / used_slots_s.len() as f64;
        let streams = self.streams.max(1) as f64;
        self.first_events.sort_unstable();
        let p99 = self.first_events.get(self.first_events.len() * 99 / 100);
        let late = self.first_events.iter().filter(|time| **time > OBJECTIVE).count();
        SpreadOutcome {
            waited: self.waited as f64 / streams,
            rejected: self.rejected as f64 / streams,
            late: late as f64 / streams,
            overdue: self.overdue as f64 / streams,
            first_event_p99_ms: p99.map_or(0.0, |time| time.as_secs_f64() * 1000.0),
            busiest_to_mean: used_slots_s.iter().copied().fold(0.0, f64::max) / mean,
        }
    }
}

/// Chooses by one of the ways that exist only for comparison.
fn pick<'a, 'b>(
    policy: RoutingPolicy,
    weighted: &'b [WeightedReplica<'a>],
    now: Moment,
    random: &mut SmallRng,
) -> Option<&'b WeightedReplica<'a>> {
    let cheaper =
        |left: &&WeightedReplica<'_>, right: &&WeightedReplica<'_>| left.cost.total_cmp(&right.cost);
    match policy {
        RoutingPolicy::TwoChoices => {
            let drawn = (0..2).filter_map(|_| weighted.get(random.random_range(0..weighted.len().max(1))));
            drawn.min_by(cheaper)
        }
        RoutingPolicy::ByRoom => {
            let free_capacity = |weighted: &WeightedReplica<'_>| {
                let entry = weighted.entry;
                let requests = entry.running_load(now);
                (f64::from(entry.slots()) - requests).max(0.0) * entry.capacity.speed()
            };
            let mut drawn =
                random.random_range(0.0..weighted.iter().map(free_capacity).sum::<f64>().max(1e-9));
            let hit = weighted.iter().find(|weighted| {
                drawn -= free_capacity(weighted);
                drawn < 0.0
            });
            hit.or_else(|| weighted.iter().min_by(cheaper))
        }
        RoutingPolicy::Alike | RoutingPolicy::LeastCost | RoutingPolicy::Chosen => {
            weighted.iter().min_by(cheaper)
        }
    }
}
