//! Measures the planning time of the orderer and the size of its messages by fleet size.

use std::time::{Duration, Instant};

use croftrill_node::crash_wire::{WireCrashReport, WirePartReport};
use croftrill_node::peer::{FromOrderer, WirePlacement};
use croftrill_scheduler::crash_ledger::{
    CrashLedger, CrashReport, EndedReplica, Fingerprint, PartHash, SuspectId, Suspicion,
};
use croftrill_scheduler::demand::{DemandSample, ModelKey};
use croftrill_scheduler::replica::ReplicaReport;
use nanoserde::SerBin;

use crate::emulator::{at, orderer_config, World};

/// The demand of one request.
const ONE_REQUEST: DemandSample = DemandSample {
    requests: 1.0,
    tokens: 5000.0,
    caller_time: Duration::from_millis(1500),
    late: 0.0,
};

/// A fleet size.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of replicas.
    pub replicas: usize,
    /// Number of models.
    pub models: usize,
}

/// The fleet sizes to measure; the last but one is the design target.
pub const SIZES: [Size; 6] = [
    Size {
        replicas: 18,
        models: 61,
    },
    Size {
        replicas: 100,
        models: 200,
    },
    Size {
        replicas: 300,
        models: 400,
    },
    Size {
        replicas: 790,
        models: 730,
    },
    Size {
        replicas: 9640,
        models: 299,
    },
    Size {
        replicas: 20_000,
        models: 299,
    },
];

/// The cost of the orderer at a fleet size.
#[derive(Debug, Clone, Copy)]
pub struct Cost {
    /// Mean time of one plan while no requests wait.
    pub idle_plan: Duration,
    /// Mean time of one plan while requests wait for a tenth of the models.
    pub busy_plan: Duration,
    /// Bytes of the message with all placements, which a node receives once.
    pub snapshot_bytes: usize,
    /// Bytes of the message with one placement.
    pub change_bytes: usize,
}

/// Number of rounds over which a time is averaged.
const MEASURED_ROUNDS: u32 = 20;

/// Measures the cost of the orderer at a fleet size.
pub fn measure(size: Size) -> Cost {
    let mut world = World::round_robin(size.replicas, size.models, orderer_config());
    confirm(&mut world);
    let now = at(100);
    for model in 0..size.models {
        world.orderer.count_demand(&key(model), &ONE_REQUEST, now);
    }
    let idle_plan = mean_plan_time(&mut world);
    for model in (0..size.models).step_by(10) {
        world.orderer.mark_waiting(&key(model), now);
    }
    let busy_plan = mean_plan_time(&mut world);
    let placements: Vec<WirePlacement> = world
        .orderer
        .all_placements(now)
        .iter()
        .map(|placement| WirePlacement::from_placement(placement, now))
        .collect();
    let one = placements.first().cloned().into_iter().collect();
    Cost {
        idle_plan,
        busy_plan,
        snapshot_bytes: FromOrderer::Placements(placements.into()).serialize_bin().len(),
        change_bytes: FromOrderer::Placements(one).serialize_bin().len(),
    }
}

/// Confirms the holdings of every replica by a report.
fn confirm(world: &mut World) {
    let reports: Vec<_> = world
        .replicas
        .iter()
        .map(|(id, replica)| {
            let report = ReplicaReport {
                holdings: replica.holdings().clone(),
                in_transit: None,
                busy: false,
                waiting: 0,
                running: 0,
                started_ms: None,
            };
            (id.clone(), report)
        })
        .collect();
    for (id, report) in reports {
        world.orderer.record_report(&id, Some(&report), at(10), at(20));
    }
}

fn mean_plan_time(world: &mut World) -> Duration {
    let started = Instant::now();
    for step in 0..MEASURED_ROUNDS {
        world.orderer.plan(true, at(200 + u64::from(step)));
    }
    started.elapsed() / MEASURED_ROUNDS
}

fn key(model: usize) -> ModelKey {
    ModelKey {
        service: "llm".into(),
        model: format!("m{model}").into(),
        adapter: None,
    }
}

/// Numbers of requests in each node's crash report to measure: those of one replica that
/// ended, and the maximum that a report holds.
pub const REPORTED_REQUESTS: [usize; 2] = [4, 128];
/// Number of reporting nodes at the design target.
const REPORTING_NODES: usize = 380;

/// Numbers of parts of prompts in each node's crash report to measure: those of a few requests of one
/// replica that ended, and the maximum that a report holds.
pub const REPORTED_PARTS: [usize; 2] = [8, 128];
/// Number of nodes of the largest fleet that reports of parts are measured for.
const PART_REPORTING_NODES: usize = 985;

/// The cost to one node of the reports of requests, or of parts of prompts, that crash replicas.
#[derive(Debug, Clone, Copy)]
pub struct CrashReportCost {
    /// Bytes of one report.
    pub report_bytes: usize,
    /// Mean time to apply a report and compute the first verdict after it.
    pub verdict: Duration,
}

/// Measures the cost of crash reports from all nodes with the given number of requests each.
pub fn measure_crash_reports(requests: usize) -> CrashReportCost {
    let id_of = |node: usize, row: usize| Fingerprint((node * requests + row) as u128).into();
    let size = |report: &CrashReport| WireCrashReport::from_report(report).serialize_bin().len();
    measure_reports(REPORTING_NODES, requests, id_of, size)
}

/// Measures the cost of crash reports from all nodes with the given number of parts each, of which
/// half are in all reports.
pub fn measure_part_reports(parts: usize) -> CrashReportCost {
    let id_of = |node: usize, row: usize| {
        let is_shared = row % 2 == 0;
        let hash = if is_shared { row } else { node * parts + row };
        SuspectId::Part(PartHash(hash as u64))
    };
    let size = |report: &CrashReport| {
        let report = WirePartReport::from_report(report, |_| Duration::from_secs(1));
        report.serialize_bin().len()
    };
    measure_reports(PART_REPORTING_NODES, parts, id_of, size)
}

fn measure_reports(
    nodes: usize,
    rows: usize,
    id_of: impl Fn(usize, usize) -> SuspectId,
    size_bytes: impl Fn(&CrashReport) -> usize,
) -> CrashReportCost {
    let mut ledger = CrashLedger::default();
    let report_of = |node: usize| -> CrashReport {
        let rows = (0..rows).map(|row| {
            let replica = EndedReplica((row % 20) as u64);
            let suspicion = Suspicion {
                ended: [replica].into(),
                ..Suspicion::default()
            };
            (id_of(node, row), suspicion)
        });
        rows.collect()
    };
    for node in 0..nodes {
        ledger.apply_report(&format!("n{node}"), report_of(node), at(1));
    }
    let report = report_of(0);
    let started = Instant::now();
    for round in 0..MEASURED_ROUNDS {
        // Reports are merged at most once a second.
        let now = at(2) + Duration::from_secs(1) * round;
        ledger.apply_report("n0", report.clone(), now);
        ledger.verdict(id_of(0, round as usize), now);
    }
    CrashReportCost {
        report_bytes: size_bytes(&report),
        verdict: started.elapsed() / MEASURED_ROUNDS,
    }
}
