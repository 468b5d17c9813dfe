//! What the orderer and its messages cost at a size, measured on this machine.

use std::time::{Duration, Instant};

use croftrill_node::crash_wire::WireCrashReport;
use croftrill_node::peer::{FromOrderer, WirePlacement};
use croftrill_scheduler::crash_ledger::{CrashLedger, CrashReport, EndedReplica, Fingerprint, Suspicion};
use croftrill_scheduler::demand::{DemandSample, ModelKey};
use croftrill_scheduler::replica::ReplicaReport;
use nanoserde::SerBin;

use crate::emulator::{at, orderer_config, World};

/// One request.
const ASKED: DemandSample = DemandSample {
    requests: 1.0,
    tokens: 5000.0,
    objective: Duration::from_millis(1500),
    late: 0.0,
};

/// A size to measure.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Replicas.
    pub replicas: usize,
    /// Models.
    pub models: usize,
}

/// Sizes that are measured; the last but one is the one to design for.
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

/// What a size costs.
#[derive(Debug, Clone, Copy)]
pub struct Cost {
    /// Time of one plan while nothing waits.
    pub idle_plan: Duration,
    /// Time of one plan while a tenth of the models wait.
    pub busy_plan: Duration,
    /// Bytes of all placements, as a node gets them once.
    pub snapshot_bytes: usize,
    /// Bytes of one change.
    pub change_bytes: usize,
}

/// Plans over which a time is averaged.
const PLANS: u32 = 20;

/// Measures a size.
pub fn measure(size: Size) -> Cost {
    let mut world = World::dealt(size.replicas, size.models, orderer_config());
    confirm(&mut world);
    let now = at(100);
    for model in 0..size.models {
        world.orderer.count_demand(&key(model), &ASKED, now);
    }
    let idle_plan = time_of_plans(&mut world);
    for model in (0..size.models).step_by(10) {
        world.orderer.mark_waiting(&key(model), now);
    }
    let busy_plan = time_of_plans(&mut world);
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

/// Confirms every replica by a report of what it holds.
fn confirm(world: &mut World) {
    let reports: Vec<_> = world
        .replicas
        .iter()
        .map(|(id, replica)| {
            let report = ReplicaReport {
                holdings: replica.holdings.clone(),
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

fn time_of_plans(world: &mut World) -> Duration {
    let started = Instant::now();
    for step in 0..PLANS {
        world.orderer.plan(true, at(200 + u64::from(step)));
    }
    started.elapsed() / PLANS
}

fn key(model: usize) -> ModelKey {
    ModelKey {
        service: "llm".into(),
        model: format!("m{model}").into(),
        adapter: None,
    }
}

/// Requests in each node's report of crashes that are measured: of one replica that
/// ended, and as many as a report holds.
pub const REPORTED: [usize; 2] = [4, 128];
/// Nodes that report, of the size to design for.
const REPORTING_NODES: usize = 380;

/// What the nodes' reports of requests that crash replicas cost one node.
#[derive(Debug, Clone, Copy)]
pub struct CrashReportCost {
    /// Bytes of one report.
    pub report_bytes: usize,
    /// Time of the first verdict after a report came.
    pub verdict: Duration,
}

/// Measures reports of all nodes, with so many requests each.
pub fn measure_crash_reports(requests: usize) -> CrashReportCost {
    let mut ledger = CrashLedger::default();
    let report_of = |node: usize| -> CrashReport {
        let rows = (0..requests).map(|request| {
            let replica = EndedReplica((request % 20) as u64);
            let suspicion = Suspicion {
                ended: [replica].into(),
                ..Suspicion::default()
            };
            (Fingerprint((node * requests + request) as u128), suspicion)
        });
        rows.collect()
    };
    for node in 0..REPORTING_NODES {
        ledger.apply_report(&format!("n{node}"), report_of(node), at(1));
    }
    let report = report_of(0);
    let started = Instant::now();
    for round in 0..PLANS {
        ledger.apply_report("n0", report.clone(), at(2));
        ledger.verdict(Fingerprint(u128::from(round)), at(2));
    }
    CrashReportCost {
        report_bytes: WireCrashReport::from_report(&report).serialize_bin().len(),
        verdict: started.elapsed() / PLANS,
    }
}
