//! Claim clients and holders that call each other in memory.

use arc_swap::ArcSwap;
use croftrill_coordination::claim_service::{
    ClaimCallError, ClaimClient, ClaimClientConfig, ClaimDecision, ClaimHolderConfig, ClaimHolderService,
    ClaimPeers,
};
use croftrill_coordination::membership_driver::MonotonicClock;
use croftrill_protocol::peer::{
    ClaimHandOver, ClaimOutcome, ClaimRequest, ClaimResult, FinishOutcome, HandOverOutcome,
};
use croftrill_state::claims::{ClaimConfig, ClaimHolder, ClaimRing};
use croftrill_state::entry::{Change, LogEntry};
use croftrill_state::membership::{Health, MemberView, MembershipView};
use croftrill_state::placement::{Lifecycle, Node};
use croftrill_state::{
    CellId, ClusterState, EntryId, IdempotencyKey, NodeId, RequestId, Revision, Term, ZoneId,
};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const NODES: [&str; 3] = ["a", "b", "c"];

/// What happens to the next calls of a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    NotSent,
    ReplyLost,
    Slow(Duration),
}

#[derive(Default)]
struct MemoryPeers {
    holders: Mutex<BTreeMap<String, Arc<ClaimHolderService<MemoryPeers>>>>,
    claim_faults: Mutex<Vec<Fault>>,
    claim_calls: Mutex<u32>,
    finish_calls: Mutex<Vec<ClaimResult>>,
}

impl MemoryPeers {
    fn holder(&self, address: &str) -> Result<Arc<ClaimHolderService<MemoryPeers>>, ClaimCallError> {
        let holders = self.holders.lock().unwrap();
        holders.get(address).cloned().ok_or(ClaimCallError::NotSent)
    }
}

impl ClaimPeers for MemoryPeers {
    async fn claim(
        &self,
        address: &str,
        request: ClaimRequest,
        _limit: Duration,
    ) -> Result<ClaimOutcome, ClaimCallError> {
        *self.claim_calls.lock().unwrap() += 1;
        let fault = self.claim_faults.lock().unwrap().pop();
        if fault == Some(Fault::NotSent) {
            return Err(ClaimCallError::NotSent);
        }
        let outcome = self.holder(address)?.claim(request).await;
        match fault {
            Some(Fault::ReplyLost) => Err(ClaimCallError::Unanswered),
            Some(Fault::Slow(delay)) => {
                tokio::time::sleep(delay).await;
                Ok(outcome)
            }
            _ => Ok(outcome),
        }
    }

    async fn finish_claim(
        &self,
        address: &str,
        key: IdempotencyKey,
        request: RequestId,
        result: ClaimResult,
        _limit: Duration,
    ) -> Result<FinishOutcome, ClaimCallError> {
        self.finish_calls.lock().unwrap().push(result);
        Ok(self.holder(address)?.finish_claim(key, request, result).await)
    }

    async fn hand_over_claims(
        &self,
        address: &str,
        part: ClaimHandOver,
        _limit: Duration,
    ) -> Result<HandOverOutcome, ClaimCallError> {
        Ok(self.holder(address)?.hand_over_claims(part).await)
    }
}

struct Cluster {
    state: Arc<ArcSwap<ClusterState>>,
    peers: Arc<MemoryPeers>,
    stop: CancellationToken,
}

fn cell() -> CellId {
    CellId::from("cell")
}

fn claims() -> ClaimConfig {
    ClaimConfig {
        // The views of these tests are made once.
        view_limit_millis: 1_000_000,
        authority_millis: 1_000_000,
        ..ClaimConfig::default()
    }
}

fn node(id: &str, lifecycle: Lifecycle) -> Node {
    Node {
        id: NodeId::from(id),
        zone: ZoneId::from("zone"),
        cell: cell(),
        peer_address: id.to_string(),
        attempt_address: id.to_string(),
        lifecycle,
    }
}

fn append(state: &ClusterState, change: Change) -> ClusterState {
    let revision = state.revision.next();
    let entry = LogEntry {
        revision,
        entry_id: EntryId(revision.0),
        author: NodeId::from("a"),
        term: Term(1),
        change,
    };
    state.after(&entry).expect("the entry is accepted")
}

fn put_nodes(state: &ClusterState, put_nodes: Vec<Node>) -> ClusterState {
    let change = Change::Reconcile {
        cell: cell(),
        put_nodes,
        remove_nodes: Vec::new(),
        put_engines: Vec::new(),
        remove_engines: Vec::new(),
        steps: Vec::new(),
    };
    append(state, change)
}

/// All nodes hear from each other and are in step.
fn view(local: &str, clock: MonotonicClock) -> MembershipView {
    let others = NODES.iter().filter(|node| **node != local).map(|node| {
        let member = MemberView {
            address: node.to_string(),
            health: Health::Alive,
            heard_at: Some(clock.now()),
            head: Revision(0),
            caught_up: true,
        };
        (NodeId::from(*node), member)
    });
    MembershipView {
        local: NodeId::from(local),
        taken_at: clock.now(),
        members: others.collect(),
        head: Revision(0),
    }
}

impl Cluster {
    fn start() -> Self {
        let elect = Change::ElectCoordinator {
            cell: cell(),
            node: NodeId::from("a"),
        };
        let elected = append(&ClusterState::default(), elect);
        let live = NODES.iter().map(|id| node(id, Lifecycle::Live)).collect();
        let state = put_nodes(&elected, live);
        let peers = Arc::new(MemoryPeers::default());
        let stop = CancellationToken::new();
        for (number, id) in NODES.iter().enumerate() {
            let holder = Self::holder(id, number as u64 + 1, &peers);
            holder.apply_state(&state);
            let running = holder.clone();
            let stop = stop.clone();
            tokio::spawn(async move { running.run(stop).await });
            peers.holders.lock().unwrap().insert(id.to_string(), holder);
        }
        Self {
            state: Arc::new(ArcSwap::from_pointee(state)),
            peers,
            stop,
        }
    }

    fn holder(id: &str, instance: u64, peers: &Arc<MemoryPeers>) -> Arc<ClaimHolderService<MemoryPeers>> {
        let clock = MonotonicClock::start();
        let config = ClaimHolderConfig {
            cell: cell(),
            holder: ClaimHolder {
                node: NodeId::from(id),
                instance,
                witnessed_no_ring: true,
            },
            claims: claims(),
            call_limit: Duration::from_secs(1),
        };
        let membership = Arc::new(ArcSwap::from_pointee(view(id, clock)));
        Arc::new(ClaimHolderService::new(config, membership, clock, peers.clone()))
    }

    fn client(&self) -> ClaimClient<MemoryPeers> {
        let config = ClaimClientConfig::new(cell(), claims());
        ClaimClient::new(config, self.state.clone(), self.peers.clone())
    }

    fn apply(&self, state: &ClusterState) {
        for holder in self.peers.holders.lock().unwrap().values() {
            holder.apply_state(state);
        }
    }

    fn break_claims(&self, faults: &[Fault]) {
        let reversed = faults.iter().rev().copied().collect();
        *self.peers.claim_faults.lock().unwrap() = reversed;
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(20)
}

fn is_granted(decision: &ClaimDecision) -> bool {
    matches!(decision, ClaimDecision::Granted(_))
}

const FIRST: RequestId = RequestId(1);
const SECOND: RequestId = RequestId(2);

#[tokio::test(start_paused = true)]
async fn two_gateways_with_one_key_run_it_once() {
    let cluster = Cluster::start();
    let (one, two) = (cluster.client(), cluster.client());
    for number in 0..50 {
        let key = IdempotencyKey(format!("key-{number}"));
        let (first, second) = tokio::join!(one.claim(&key, FIRST, soon()), two.claim(&key, SECOND, soon()));
        assert_ne!(is_granted(&first), is_granted(&second), "{first:?} {second:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_lost_grant_is_asked_for_again() {
    let cluster = Cluster::start();
    cluster.break_claims(&[Fault::NotSent, Fault::ReplyLost, Fault::ReplyLost]);
    let key = IdempotencyKey::from("key");
    let client = cluster.client();
    assert!(is_granted(&client.claim(&key, FIRST, soon()).await));
    assert_eq!(*cluster.peers.claim_calls.lock().unwrap(), 4);
    let duplicate = client.claim(&key, SECOND, soon()).await;
    let expected = ClaimDecision::Duplicate {
        by: FIRST,
        finished: false,
    };
    assert_eq!(duplicate, expected);
    assert!(client.finish(&key, FIRST, ClaimResult::Finished).await);
    let finished = client.claim(&key, SECOND, soon()).await;
    assert!(matches!(
        finished,
        ClaimDecision::Duplicate { finished: true, .. }
    ));
}

#[tokio::test(start_paused = true)]
async fn a_claim_that_never_got_an_answer_is_released() {
    let cluster = Cluster::start();
    cluster.break_claims(&[Fault::ReplyLost; 6]);
    let key = IdempotencyKey::from("key");
    let client = cluster.client();
    let decision = client.claim(&key, FIRST, soon()).await;
    assert!(matches!(decision, ClaimDecision::HistoryUnknown { .. }));
    assert_eq!(*cluster.peers.claim_calls.lock().unwrap(), 6);
    assert!(is_granted(&client.claim(&key, SECOND, soon()).await));
}

#[tokio::test(start_paused = true)]
async fn a_claim_that_nobody_got_is_not_reported() {
    let cluster = Cluster::start();
    cluster.break_claims(&[Fault::NotSent; 6]);
    let client = cluster.client();
    let decision = client.claim(&IdempotencyKey::from("key"), FIRST, soon()).await;
    assert!(matches!(decision, ClaimDecision::HistoryUnknown { .. }));
    assert!(cluster.peers.finish_calls.lock().unwrap().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_late_grant_is_dropped_and_released() {
    let cluster = Cluster::start();
    let late = Duration::from_millis(claims().grant_transit_millis + 1);
    cluster.break_claims(&[Fault::Slow(late)]);
    let key = IdempotencyKey::from("key");
    let client = cluster.client();
    let decision = client.claim(&key, FIRST, soon()).await;
    assert!(matches!(decision, ClaimDecision::HistoryUnknown { .. }));
    assert_eq!(
        *cluster.peers.finish_calls.lock().unwrap(),
        vec![ClaimResult::NotRun]
    );
    assert!(is_granted(&client.claim(&key, SECOND, soon()).await));
}

#[tokio::test(start_paused = true)]
async fn nothing_is_asked_after_the_deadline() {
    let cluster = Cluster::start();
    let client = cluster.client();
    let decision = client
        .claim(&IdempotencyKey::from("key"), FIRST, Instant::now())
        .await;
    assert!(matches!(decision, ClaimDecision::HistoryUnknown { .. }));
    assert_eq!(*cluster.peers.claim_calls.lock().unwrap(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_drained_node_hands_its_claims_over() {
    let cluster = Cluster::start();
    let client = cluster.client();
    let before = ClaimRing::of_cell(&cluster.state.load(), &cell());
    let keys: Vec<IdempotencyKey> = (0..3_000)
        .map(|number| IdempotencyKey(format!("key-{number}")))
        .filter(|key| before.holder(key) == Some(&NodeId::from("c")))
        .collect();
    let (used, unused) = keys.split_at(keys.len() - 1);
    for key in used {
        assert!(is_granted(&client.claim(key, FIRST, soon()).await));
    }
    let drained = put_nodes(&cluster.state.load(), vec![node("c", Lifecycle::Leaving)]);
    cluster.apply(&drained);
    let leaving = cluster.peers.holder("c").unwrap();
    assert!(leaving.wait_handed_over(Duration::from_secs(30)).await);
    // The gateway learns of it last, in the middle of a claim.
    let learning = async {
        tokio::time::sleep(Duration::from_millis(40)).await;
        cluster.state.store(Arc::new(drained));
    };
    let (first, ()) = tokio::join!(client.claim(&unused[0], FIRST, soon()), learning);
    assert!(is_granted(&first), "{first:?}");
    for key in used {
        let duplicate = client.claim(key, SECOND, soon()).await;
        assert!(matches!(duplicate, ClaimDecision::Duplicate { by: FIRST, .. }));
    }
    assert!(client.finish(&used[0], FIRST, ClaimResult::NotRun).await);
    assert!(is_granted(&client.claim(&used[0], SECOND, soon()).await));
}

#[tokio::test(start_paused = true)]
async fn a_node_that_cannot_hand_over_says_so() {
    let cluster = Cluster::start();
    let node = cluster.peers.holder("c").unwrap();
    assert!(!node.wait_handed_over(Duration::from_secs(1)).await);
}
