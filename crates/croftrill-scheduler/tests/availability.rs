//! Whether a model can be had, for streams that may begin anywhere and for those that go on at one
//! software version, while listed holders are out of reach.

use std::time::Duration;

use croftrill_scheduler::crash_ledger::CrashLedger;
use croftrill_scheduler::health::SendOutcome;
use croftrill_scheduler::replica::{HeldModel, Holdings, ReplicaListing, ReplicaState};
use croftrill_scheduler::replica_table::{Arrival, Availability, Placement, ReplicaTable};
use croftrill_scheduler::routing::{choose, ModelNeed, RoutingRequest};
use croftrill_scheduler::software_versions::{RequiredVersion, SoftwareVersions};
use croftrill_scheduler::time::Moment;
use croftrill_scheduler::work::RequestWork;
use proptest::prelude::*;

const NOW: Moment = Moment::from_start(Duration::from_secs(3600));
const LISTED_VERSIONS: [&str; 2] = ["v1", "v2"];

/// A replica as a node knows it.
#[derive(Debug, Clone)]
struct Known {
    state: ReplicaState,
    holds: bool,
    /// Time until it has loaded the model, if it loads it.
    loads_in_ms: Option<u64>,
    is_in_reach: bool,
    /// Index of its version, if that is known.
    version: Option<usize>,
}

fn known() -> impl Strategy<Value = Known> {
    let state = prop_oneof![3 => Just(ReplicaState::Ready), 1 => Just(ReplicaState::Draining)];
    let version = proptest::option::weighted(0.9, 0..LISTED_VERSIONS.len());
    let loads_in_ms = proptest::option::weighted(0.3, 1..5000_u64);
    let replica = (state, any::<bool>(), loads_in_ms, any::<bool>(), version);
    replica.prop_map(|(state, holds, loads_in_ms, is_in_reach, version)| Known {
        state,
        holds,
        loads_in_ms: loads_in_ms.filter(|_| !holds),
        is_in_reach,
        version,
    })
}

fn placement(id: &str, known: &Known) -> Placement {
    let held = HeldModel {
        model: "m1".into(),
        adapters: Default::default(),
    };
    let arrival = |after_ms: u64| Arrival {
        model: "m1".into(),
        ready_at: NOW + Duration::from_millis(after_ms),
    };
    Placement {
        replica: id.into(),
        started_ms: Some(1),
        usable: Holdings {
            models: known.holds.then_some(held).into_iter().collect(),
            ..Holdings::default()
        },
        arriving: known.loads_in_ms.map(arrival).into_iter().collect(),
        includes_copies: false,
    }
}

fn table(replicas: &[Known]) -> (ReplicaTable, SoftwareVersions) {
    let (mut table, mut versions) = (ReplicaTable::new(), SoftwareVersions::new(true));
    for (index, known) in replicas.iter().enumerate() {
        let id = format!("r{index}");
        table.apply_listing(ReplicaListing {
            id: id.as_str().into(),
            service: "llm".into(),
            address: "127.0.0.1:1".into(),
            zone: "a".into(),
            slots: 8,
            state: known.state,
            leaves_in: None,
            started_ms: Some(1),
            holdings: Holdings::default(),
        });
        table.apply_placement(placement(&id, known));
        if !known.is_in_reach {
            table.record_outcome(&id, SendOutcome::Unreachable, NOW);
        }
        if let Some(version) = known.version {
            versions.record(&id.as_str().into(), Some(1), LISTED_VERSIONS[version].into());
        }
    }
    (table, versions)
}

/// Returns the answer by its definition.
fn expected(replicas: &[Known], version: Option<usize>) -> Availability {
    let may_serve = |known: &&Known| {
        let fits = version.is_none() || known.version == version;
        fits && known.is_in_reach && known.state == ReplicaState::Ready
    };
    let usable = replicas.iter().filter(may_serve);
    if usable.clone().any(|known| known.holds) {
        return Availability::Held;
    }
    let first = usable.filter_map(|known| known.loads_in_ms).min();
    first.map_or(Availability::Absent, |after_ms| {
        Availability::ExpectedAt(NOW + Duration::from_millis(after_ms))
    })
}

fn request(version: Option<RequiredVersion<'_>>) -> RoutingRequest<'_> {
    RoutingRequest {
        version,
        begins_at: None,
        service: "llm",
        need: Some(ModelNeed {
            model: "m1",
            adapter: None,
            shared_prefix_hash: None,
            shared_prefix_tokens: 0,
        }),
        zone: "a",
        tried: &[],
        salt: 1,
        work: RequestWork::default(),
        attempt_left: Duration::from_millis(400),
        pause_objective: None,
        deadline_left: Duration::from_secs(10),
        kv_cache_tokens: 0,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(600))]

    /// Guards against different answers for new streams and for those of one version, of which one
    /// waits for a load and the other one is refused, and against holders that are listed and gone.
    #[test]
    fn availability_counts_only_holders_in_reach(replicas in proptest::collection::vec(known(), 0..7)) {
        let (table, versions) = table(&replicas);
        let ends = CrashLedger::default();
        for version in [None, Some(0), Some(1)] {
            let required = version.map(|index: usize| RequiredVersion {
                version: LISTED_VERSIONS[index],
                versions: &versions,
                ends: &ends,
            });
            let found = table.availability("llm", "m1", required, NOW);
            prop_assert_eq!(found, expected(&replicas, version));
            let chosen = choose(&table, &request(required), NOW);
            let is_in_reach = |id: &str| table.get(id).is_some_and(|entry| entry.is_in_reach(NOW));
            let reaches_holder = chosen.is_some_and(|id| is_in_reach(&id));
            prop_assert_eq!(reaches_holder, found == Availability::Held);
        }
        let is_held = table.availability("llm", "m1", None, NOW) == Availability::Held;
        prop_assert_eq!(table.reachable_holders("llm", "m1", NOW) > 0, is_held);
    }
}
