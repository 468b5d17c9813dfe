//! What a run measured.

mod shares;

use crate::identifiers::{ClassIndex, GroupIndex, Micros, MILLISECOND, SECOND};
use crate::scenario::Scenario;
use crate::simulation::Outcome;
use crate::workload::{RequestSpec, Workload};
use croftrill_state::outcome::RefusalCause;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

const MICROS_IN_HOUR: f64 = 3600.0 * SECOND as f64;
const MIB_IN_GIB: f64 = 1024.0;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counted by the world during a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counters {
    pub loads_from_memory: u64,
    pub loads_from_disk: u64,
    pub loads_from_store: u64,
    pub loads_above_decided_replicas: u64,
    pub evictions: u64,
    pub unused_loads: u64,
    pub idle_accelerator_micros: Micros,
    pub store_busy_slot_micros: f64,
    pub returns: u64,
    pub store_most_at_once: usize,
    pub store_moved_mib: f64,
}

/// Everything that a measurement is made from.
pub(crate) struct RunRecord<'a> {
    pub policy: &'a str,
    pub scenario: &'a Scenario,
    pub workload: &'a Workload,
    pub outcomes: &'a [Outcome],
    pub counters: &'a Counters,
    pub group_micros: &'a [Vec<Micros>],
}

/// Quantiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// How many were measured.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95 %.
    pub p95: f64,
    /// 99 %.
    pub p99: f64,
    /// 99.9 %.
    pub p999: f64,
}

/// What one class got.
#[derive(Clone, Debug, Serialize)]
pub struct ClassMeasurement {
    /// Its name.
    pub name: String,
    /// Requests sent.
    pub sent: u64,
    /// Requests whose whole answer reached the client.
    pub served: u64,
    /// Of these, those whose first token and whole answer met the deadlines.
    pub in_time: u64,
    /// Of the served, those that missed a deadline.
    pub missed: u64,
    /// Requests refused, by cause.
    pub refused: BTreeMap<String, u64>,
    /// Time of the first token of all served requests.
    pub first_token: Quantiles,
    /// Time of the first token of those that waited for a load.
    pub cold_start: Quantiles,
    /// Time of the refusals.
    pub refusal: Quantiles,
}

/// What one group got.
#[derive(Clone, Debug, Serialize)]
pub struct GroupMeasurement {
    /// Its name.
    pub name: String,
    /// Whether it floods.
    pub floods: bool,
    /// Requests sent.
    pub sent: u64,
    /// Requests served in time.
    pub in_time: u64,
    /// Engine time that it used, in seconds.
    pub engine_seconds: f64,
    /// While demand was unmet: engine time used to engine time owed.
    pub share_of_owed: f64,
}

/// What a run measured.
#[derive(Clone, Debug, Serialize)]
pub struct Measurement {
    /// The policy.
    pub policy: String,
    /// The scenario.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// Time over which requests arrived, in seconds.
    pub duration_seconds: u64,
    /// Requests sent.
    pub sent: u64,
    /// Requests served.
    pub served: u64,
    /// Requests served with all deadlines met.
    pub in_time: u64,
    /// Requests refused.
    pub refused: u64,
    /// Times that refused callers came back.
    pub returns: u64,
    /// Requests that never ended; must be 0.
    pub lost: u64,
    /// Time of the first token of requests that waited for a load.
    pub cold_start: Quantiles,
    /// Classes.
    pub classes: Vec<ClassMeasurement>,
    /// Groups.
    pub groups: Vec<GroupMeasurement>,
    /// Time that accelerators held models of which none ran, in hours.
    pub idle_accelerator_hours: f64,
    /// Loads from a machine's memory.
    pub loads_from_memory: u64,
    /// Loads from a machine's disk.
    pub loads_from_disk: u64,
    /// Loads from the weight store.
    pub loads_from_store: u64,
    /// Loads begun while the model had all its replicas already.
    pub loads_above_decided_replicas: u64,
    /// Models unloaded.
    pub evictions: u64,
    /// Models unloaded before any request ran on them.
    pub unused_loads: u64,
    /// Part of the store's full-speed slots in use.
    pub store_use: f64,
    /// Most transfers from the store at once.
    pub store_most_at_once: usize,
    /// Sent by the store, in GiB.
    pub store_gib: f64,
    /// Points of the cold-start distribution: quantile and milliseconds.
    pub cold_start_curve: Vec<(f64, f64)>,
}

struct ClassTally {
    measurement: ClassMeasurement,
    first_token: Histogram<u64>,
    cold_start: Histogram<u64>,
    refusal: Histogram<u64>,
}

impl ClassTally {
    fn new(name: &str) -> Self {
        Self {
            measurement: ClassMeasurement {
                name: name.to_string(),
                sent: 0,
                served: 0,
                in_time: 0,
                missed: 0,
                refused: BTreeMap::new(),
                first_token: Quantiles::default(),
                cold_start: Quantiles::default(),
                refusal: Quantiles::default(),
            },
            first_token: histogram(),
            cold_start: histogram(),
            refusal: histogram(),
        }
    }

    fn count(&mut self, request: &RequestSpec, outcome: Outcome) {
        self.measurement.sent += 1;
        match outcome {
            Outcome::Open => {}
            Outcome::Served {
                first_token, cold, ..
            } => {
                self.measurement.served += 1;
                if met_deadlines(request, outcome) {
                    self.measurement.in_time += 1;
                } else {
                    self.measurement.missed += 1;
                }
                record(&mut self.first_token, first_token - request.sent);
                if cold {
                    record(&mut self.cold_start, first_token - request.sent);
                }
            }
            Outcome::Refused { cause, at } => {
                *self.measurement.refused.entry(cause_name(cause)).or_default() += 1;
                record(&mut self.refusal, at - request.sent);
            }
        }
    }

    fn finish(mut self) -> ClassMeasurement {
        self.measurement.first_token = quantiles(&self.first_token);
        self.measurement.cold_start = quantiles(&self.cold_start);
        self.measurement.refusal = quantiles(&self.refusal);
        self.measurement
    }
}

/// Whether a request was served with its deadlines met.
pub(crate) fn met_deadlines(request: &RequestSpec, outcome: Outcome) -> bool {
    match outcome {
        Outcome::Served {
            first_token,
            last_token,
            ..
        } => first_token <= request.first_token_deadline && last_token <= request.total_deadline,
        _ => false,
    }
}

/// Measures a run.
pub(crate) fn measure(run: RunRecord<'_>) -> Measurement {
    let mut tallies: Vec<ClassTally> = run
        .scenario
        .classes
        .iter()
        .map(|class| ClassTally::new(&class.name))
        .collect();
    let mut lost = 0;
    for (request, outcome) in run.workload.requests.iter().zip(run.outcomes) {
        let ClassIndex(class) = request.class;
        tallies[class].count(request, *outcome);
        lost += u64::from(*outcome == Outcome::Open);
    }
    let mut cold_start = histogram();
    for tally in &tallies {
        cold_start
            .add(&tally.cold_start)
            .expect("histograms of one range add up");
    }
    let groups = measure_groups(&run);
    let classes: Vec<ClassMeasurement> = tallies.into_iter().map(ClassTally::finish).collect();
    let store_slots = run.scenario.weight_store.concurrent_loads as f64;
    let counters = run.counters;
    Measurement {
        policy: run.policy.to_string(),
        scenario: run.scenario.name.clone(),
        seed: run.workload.seed,
        duration_seconds: run.workload.duration / SECOND,
        sent: classes.iter().map(|class| class.sent).sum(),
        served: classes.iter().map(|class| class.served).sum(),
        in_time: classes.iter().map(|class| class.in_time).sum(),
        refused: classes.iter().flat_map(|class| class.refused.values()).sum(),
        returns: counters.returns,
        lost,
        cold_start: quantiles(&cold_start),
        classes,
        groups,
        idle_accelerator_hours: counters.idle_accelerator_micros as f64 / MICROS_IN_HOUR,
        loads_from_memory: counters.loads_from_memory,
        loads_from_disk: counters.loads_from_disk,
        loads_from_store: counters.loads_from_store,
        loads_above_decided_replicas: counters.loads_above_decided_replicas,
        evictions: counters.evictions,
        unused_loads: counters.unused_loads,
        store_use: counters.store_busy_slot_micros / (run.workload.duration.max(1) as f64 * store_slots),
        store_most_at_once: counters.store_most_at_once,
        store_gib: counters.store_moved_mib / MIB_IN_GIB,
        cold_start_curve: curve(&cold_start),
    }
}

fn measure_groups(run: &RunRecord<'_>) -> Vec<GroupMeasurement> {
    let shares = shares::shares_of_owed(run);
    let mut groups: Vec<GroupMeasurement> = run
        .scenario
        .groups
        .iter()
        .enumerate()
        .map(|(index, group)| GroupMeasurement {
            name: group.name.clone(),
            floods: run
                .scenario
                .flood
                .as_ref()
                .is_some_and(|flood| flood.group == group.name),
            sent: 0,
            in_time: 0,
            engine_seconds: engine_seconds(run.group_micros, index),
            share_of_owed: shares[index],
        })
        .collect();
    for (request, outcome) in run.workload.requests.iter().zip(run.outcomes) {
        let GroupIndex(group) = request.group;
        groups[group].sent += 1;
        groups[group].in_time += u64::from(met_deadlines(request, *outcome));
    }
    groups
}

fn engine_seconds(group_micros: &[Vec<Micros>], group: usize) -> f64 {
    let micros: Micros = group_micros.iter().map(|window| window[group]).sum();
    micros as f64 / SECOND as f64
}

fn cause_name(cause: RefusalCause) -> String {
    match serde_json::to_value(cause) {
        Ok(serde_json::Value::String(name)) => name,
        _ => format!("{cause:?}"),
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new(SIGNIFICANT_DIGITS).expect("the number of digits is valid")
}

fn record(histogram: &mut Histogram<u64>, micros: Micros) {
    histogram
        .record(micros)
        .expect("the histogram grows with its values");
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / MILLISECOND as f64;
    Quantiles {
        count: histogram.len(),
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
        p999: at(0.999),
    }
}

fn curve(histogram: &Histogram<u64>) -> Vec<(f64, f64)> {
    if histogram.is_empty() {
        return Vec::new();
    }
    (0..=200)
        .map(|step| f64::from(step) / 200.0)
        .map(|quantile| {
            (
                quantile,
                histogram.value_at_quantile(quantile) as f64 / MILLISECOND as f64,
            )
        })
        .collect()
}
