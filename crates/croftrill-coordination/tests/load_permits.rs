//! Load permits and reports of releases.

mod support;

use croftrill_coordination::load_permits::{
    LoadAdmission, LoadPermitClient, LoadPermitService, SimpleAdmission, SimpleAdmissionConfig,
};
use croftrill_coordination::replication::{ProposeOutcome, Replica};
use croftrill_platform::weight_store::WeightStoreLimits;
use croftrill_protocol::peer::{LoadPermit, LoadPermitRequest, LoadReport, ReportOutcome};
use croftrill_state::entry::{Change, PlacementStep};
use croftrill_state::placement::{Assignment, AssignmentState, Residency};
use croftrill_state::{EngineId, Instant, ModelId, NodeId, Revision, Term};
use std::sync::Arc;
use std::time::Duration;
use support::{cell, engine, model, node, put_model, replica_over, Fault, SimulatedPeers, SimulatedService};

fn request(engine: &str, deadline_millis: u64) -> LoadPermitRequest {
    LoadPermitRequest {
        engine: EngineId::from(engine),
        model: ModelId::from("model"),
        remote_mib: 2_000,
        deadline_millis,
    }
}

fn report(engine: &str) -> LoadReport {
    LoadReport {
        engine: EngineId::from(engine),
        model: ModelId::from("model"),
        remote_mib: 2_000,
        duration_millis: 2_000,
        succeeded: true,
    }
}

fn is_granted(permit: &LoadPermit) -> bool {
    matches!(permit, LoadPermit::Granted { .. })
}

/// Two loads at once, one start in 100 ms.
fn admission() -> SimpleAdmission {
    SimpleAdmission::new(SimpleAdmissionConfig {
        loads_per_second_thousandths: 10_000,
        concurrent_loads: 2,
        ..SimpleAdmissionConfig::default()
    })
}

#[test]
fn loads_start_at_the_rate_of_the_store() {
    let mut admission = admission();
    assert!(is_granted(&admission.request(Instant(0), &request("a", 1_000))));
    let refused = admission.request(Instant(99), &request("b", 1_000));
    assert!(matches!(refused, LoadPermit::Wait { .. }));
    assert!(is_granted(&admission.request(Instant(100), &request("b", 900))));
}

#[test]
fn no_more_loads_run_than_the_store_bears() {
    let mut admission = admission();
    assert!(is_granted(&admission.request(Instant(0), &request("a", 9_000))));
    assert!(is_granted(&admission.request(Instant(200), &request("b", 9_000))));
    assert!(!is_granted(
        &admission.request(Instant(400), &request("c", 9_000))
    ));
    admission.finish(Instant(500), &report("a"));
    assert!(is_granted(&admission.request(Instant(600), &request("c", 9_000))));
}

#[test]
fn a_load_that_asks_again_is_the_same_load() {
    let mut admission = admission();
    assert!(is_granted(&admission.request(Instant(0), &request("a", 9_000))));
    assert!(is_granted(&admission.request(Instant(1), &request("a", 9_000))));
    assert!(is_granted(&admission.request(Instant(200), &request("b", 9_000))));
}

#[test]
fn the_most_urgent_load_goes_first() {
    let mut admission = admission();
    assert!(is_granted(&admission.request(Instant(0), &request("a", 9_000))));
    assert!(is_granted(&admission.request(Instant(100), &request("b", 9_000))));
    assert!(!is_granted(
        &admission.request(Instant(200), &request("patient", 9_000))
    ));
    assert!(!is_granted(
        &admission.request(Instant(300), &request("urgent", 500))
    ));
    admission.finish(Instant(400), &report("a"));
    assert!(!is_granted(
        &admission.request(Instant(400), &request("patient", 8_800))
    ));
    assert!(is_granted(
        &admission.request(Instant(500), &request("urgent", 300))
    ));
}

#[test]
fn an_urgent_load_that_asks_no_more_does_not_block_others() {
    let mut admission = admission();
    assert!(is_granted(&admission.request(Instant(0), &request("a", 9_000))));
    assert!(is_granted(&admission.request(Instant(100), &request("b", 9_000))));
    assert!(!is_granted(
        &admission.request(Instant(300), &request("gone", 500))
    ));
    admission.finish(Instant(400), &report("a"));
    assert!(!is_granted(
        &admission.request(Instant(400), &request("patient", 8_800))
    ));
    assert!(is_granted(
        &admission.request(Instant(3_400), &request("patient", 5_800))
    ));
}

#[test]
fn a_load_without_remote_bytes_needs_no_turn() {
    let mut admission = admission();
    assert!(is_granted(&admission.request(Instant(0), &request("a", 9_000))));
    let cached = LoadPermitRequest {
        remote_mib: 0,
        ..request("b", 9_000)
    };
    assert!(is_granted(&admission.request(Instant(0), &cached)));
}

#[test]
fn a_load_whose_end_was_never_reported_is_forgotten() {
    let mut admission = admission();
    let forget = SimpleAdmissionConfig::default().forget_running_millis;
    assert!(is_granted(&admission.request(Instant(0), &request("a", 9_000))));
    assert!(is_granted(&admission.request(Instant(100), &request("b", 9_000))));
    assert!(is_granted(
        &admission.request(Instant(forget), &request("c", 9_000))
    ));
}

/// A cell of two nodes; `holder` is the coordinator by the log.
struct Cell {
    service: SimulatedService,
    peers: Arc<SimulatedPeers>,
    holder: Arc<Replica>,
    other: Arc<Replica>,
}

impl Cell {
    async fn new() -> Self {
        let service = SimulatedService::new();
        let peers = Arc::new(SimulatedPeers::default());
        let cell = Self {
            holder: replica_over("holder", service.client()),
            other: replica_over("other", service.client()),
            service,
            peers,
        };
        cell.elect("holder", 1).await;
        for replica in [&cell.holder, &cell.other] {
            let name = replica.node().as_str();
            cell.peers.add(name, replica.clone());
            cell.peers.add_permits(name, permits_of(replica.clone()));
        }
        cell.join_machines().await;
        cell.catch_up().await;
        cell
    }

    async fn elect(&self, node: &str, term: u64) {
        let change = Change::ElectCoordinator {
            cell: cell(),
            node: NodeId::from(node),
        };
        applied(self.holder.propose(change, Term(term)).await);
    }

    async fn join_machines(&self) {
        let change = Change::Reconcile {
            cell: cell(),
            put_nodes: vec![node("holder"), node("other")],
            remove_nodes: Vec::new(),
            put_engines: vec![engine("engine")],
            remove_engines: Vec::new(),
            steps: Vec::new(),
        };
        applied(self.holder.propose(change, Term(1)).await);
    }

    async fn steps(&self, steps: Vec<PlacementStep>) {
        let change = Change::Reconcile {
            cell: cell(),
            put_nodes: Vec::new(),
            remove_nodes: Vec::new(),
            put_engines: Vec::new(),
            remove_engines: Vec::new(),
            steps,
        };
        applied(self.holder.propose(change, Term(1)).await);
    }

    async fn catch_up(&self) {
        self.holder.catch_up_from_log().await.unwrap();
        self.other.catch_up_from_log().await.unwrap();
    }

    fn client(&self) -> LoadPermitClient {
        LoadPermitClient::new(self.other.clone(), self.peers.clone(), cell())
    }
}

fn permits_of(replica: Arc<Replica>) -> Arc<LoadPermitService> {
    Arc::new(LoadPermitService::new(replica, cell(), Box::new(admission())))
}

fn applied(outcome: ProposeOutcome) {
    assert!(matches!(outcome, ProposeOutcome::Applied(_)), "{outcome:?}");
}

#[tokio::test(start_paused = true)]
async fn only_the_coordinator_gives_permits() {
    let cell = Cell::new().await;
    let other = permits_of(cell.other.clone());
    assert_eq!(
        other.request_load(&request("a", 1_000)),
        LoadPermit::NotCoordinator
    );
    assert_eq!(other.finish_load(&report("a")), ReportOutcome::TryLater);
    assert!(is_granted(&cell.client().request(request("a", 1_000)).await));
    assert_eq!(cell.client().finish(report("a")).await, ReportOutcome::Recorded);
}

#[tokio::test(start_paused = true)]
async fn permits_go_on_while_the_service_is_down() {
    let cell = Cell::new().await;
    cell.service.set_down(true);
    tokio::time::sleep(Duration::from_secs(3_600)).await;
    let client = cell.client();
    assert!(is_granted(&client.request(request("a", 1_000)).await));
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(is_granted(&client.request(request("b", 1_000)).await));
}

/// The owner then goes on at its own slow rate, which its own tests cover.
#[tokio::test(start_paused = true)]
async fn without_a_coordinator_an_owner_is_told_that_there_is_none() {
    let cell = Cell::new().await;
    cell.peers.remove("holder");
    let client = cell.client();
    for engine in ["a", "b"] {
        let permit = client.request(request(engine, 1_000)).await;
        assert_eq!(permit, LoadPermit::NotCoordinator);
    }
    assert_eq!(client.finish(report("a")).await, ReportOutcome::TryLater);
}

#[tokio::test(start_paused = true)]
async fn a_new_term_forgets_what_an_earlier_one_permitted() {
    let cell = Cell::new().await;
    let permits = permits_of(cell.holder.clone());
    assert!(is_granted(&permits.request_load(&request("a", 9_000))));
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(is_granted(&permits.request_load(&request("b", 9_000))));
    cell.elect("other", 2).await;
    assert_eq!(
        permits.request_load(&request("c", 9_000)),
        LoadPermit::NotCoordinator
    );
    cell.elect("holder", 3).await;
    assert!(!is_granted(&permits.request_load(&request("c", 9_000))));
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(is_granted(&permits.request_load(&request("c", 9_000))));
}

#[tokio::test(start_paused = true)]
async fn the_limits_of_the_store_hold_from_when_they_are_told_and_in_later_terms() {
    let cell = Cell::new().await;
    let permits = permits_of(cell.holder.clone());
    permits.set_limits(&WeightStoreLimits {
        loads_per_second_thousandths: 0,
        concurrent_loads: 1,
        running_loads: 0,
    });
    for term in [2, 3] {
        assert!(is_granted(&permits.request_load(&request("a", 9_000))));
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(!is_granted(&permits.request_load(&request("b", 9_000))));
        cell.elect("holder", term).await;
    }
}

/// A model that is being released from the engine.
async fn releasing() -> Cell {
    let cell = Cell::new().await;
    let change = put_model("model", model("model", 0, 1), cell.holder.head());
    applied(cell.holder.propose(change, Term(0)).await);
    assign_and_release(&cell).await;
    cell
}

async fn assign_and_release(cell: &Cell) {
    let assignment = Assignment {
        model: ModelId::from("model"),
        engine: EngineId::from("engine"),
        residency: Residency::OnDemand,
        state: AssignmentState::Active,
    };
    cell.steps(vec![PlacementStep::Assign { assignment }]).await;
    let release = PlacementStep::Release {
        model: ModelId::from("model"),
        engine: EngineId::from("engine"),
    };
    cell.steps(vec![release]).await;
}

/// The release that the log holds.
fn present_release(cell: &Cell) -> Revision {
    let (model, engine) = (ModelId::from("model"), EngineId::from("engine"));
    cell.holder.state().assignments[&model][&engine].changed_at
}

async fn report_release(cell: &Cell, release: Revision) -> ReportOutcome {
    let (model, engine) = (ModelId::from("model"), EngineId::from("engine"));
    cell.client().report_release(model, engine, release).await
}

#[tokio::test(start_paused = true)]
async fn a_reported_release_is_recorded_once() {
    let cell = releasing().await;
    let release = present_release(&cell);
    assert_eq!(report_release(&cell, release).await, ReportOutcome::Recorded);
    assert_eq!(cell.holder.state().all_assignments().count(), 0);
    let head = cell.holder.head();
    assert_eq!(report_release(&cell, release).await, ReportOutcome::Recorded);
    assert_eq!(cell.holder.head(), head);
}

#[tokio::test(start_paused = true)]
async fn a_release_that_cannot_be_recorded_is_to_be_reported_again() {
    let cell = releasing().await;
    let release = present_release(&cell);
    cell.service.set_down(true);
    assert_eq!(report_release(&cell, release).await, ReportOutcome::TryLater);
    cell.service.set_down(false);
    assert_eq!(report_release(&cell, release).await, ReportOutcome::Recorded);
}

#[tokio::test(start_paused = true)]
async fn a_release_is_recorded_by_a_coordinator_that_is_behind() {
    let cell = releasing().await;
    let release = present_release(&cell);
    let client = cell.service.client();
    let behind = replica_over("holder", client.clone());
    cell.peers.add("holder", behind.clone());
    client.fail_next([Fault::Unreachable]);
    assert_eq!(report_release(&cell, release).await, ReportOutcome::TryLater);
    assert_eq!(report_release(&cell, release).await, ReportOutcome::Recorded);
    assert_eq!(behind.state().all_assignments().count(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_late_report_does_not_end_a_second_release() {
    let cell = releasing().await;
    let release = present_release(&cell);
    let client = cell.service.client();
    let paused = replica_over("paused", client.clone());
    paused.catch_up_from_log().await.unwrap();
    client.fail_next([
        Fault::CallLost,
        Fault::Unreachable,
        Fault::Unreachable,
        Fault::Unreachable,
    ]);
    let late = paused.record_release(ModelId::from("model"), EngineId::from("engine"), release);
    let meanwhile = async {
        assert_eq!(report_release(&cell, release).await, ReportOutcome::Recorded);
        assign_and_release(&cell).await;
    };
    tokio::join!(late, meanwhile);
    cell.catch_up().await;
    let state = cell.holder.state();
    let left: Vec<&Assignment> = state.all_assignments().collect();
    assert_eq!(left.len(), 1);
    assert_eq!(left[0].state, AssignmentState::Releasing);
}

#[tokio::test(start_paused = true)]
async fn a_report_that_arrives_after_the_second_release_does_not_end_it() {
    let cell = releasing().await;
    let release = present_release(&cell);
    let paused = replica_over("paused", cell.service.client());
    paused.catch_up_from_log().await.unwrap();
    let late = paused.record_release(ModelId::from("model"), EngineId::from("engine"), release);
    assert_eq!(report_release(&cell, release).await, ReportOutcome::Recorded);
    assign_and_release(&cell).await;
    paused.catch_up_from_log().await.unwrap();
    assert_eq!(late.await, ReportOutcome::Recorded);
    cell.catch_up().await;
    let state = cell.holder.state();
    let left: Vec<&Assignment> = state.all_assignments().collect();
    assert_eq!(left.len(), 1);
    assert_eq!(left[0].state, AssignmentState::Releasing);
    let second = present_release(&cell);
    assert_eq!(report_release(&cell, second).await, ReportOutcome::Recorded);
    assert_eq!(cell.holder.state().all_assignments().count(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_report_of_a_release_that_the_log_does_not_hold_is_not_called_recorded() {
    let cell = releasing().await;
    let unknown = cell.holder.head().next();
    assert_eq!(report_release(&cell, unknown).await, ReportOutcome::TryLater);
    assert_eq!(cell.holder.state().all_assignments().count(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_coordinator_that_is_behind_answers_a_late_report_only_after_it_caught_up() {
    let cell = releasing().await;
    let first = present_release(&cell);
    assert_eq!(report_release(&cell, first).await, ReportOutcome::Recorded);
    assign_and_release(&cell).await;
    let client = cell.service.client();
    let behind = replica_over("holder", client.clone());
    cell.peers.add("holder", behind.clone());
    client.fail_next([Fault::Unreachable]);
    assert_eq!(report_release(&cell, first).await, ReportOutcome::TryLater);
    assert_eq!(report_release(&cell, first).await, ReportOutcome::Recorded);
    assert_eq!(behind.head(), cell.holder.head());
    assert_eq!(behind.state().all_assignments().count(), 1);
}
