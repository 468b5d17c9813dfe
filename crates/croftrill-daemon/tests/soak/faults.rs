//! Faults from outside the daemons, drawn from a seeded generator.

use std::time::Duration;

use croftrill_standin::engine::LateOrders;
use croftrill_standin::proxy::Fault;
use croftrill_standin::store::StoreFault;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::Rng;
use tokio::time::sleep;

use crate::checks;
use crate::cluster::{Cluster, Program, Size};
use crate::instrumented::{self, PathCut};
use crate::{brittle, crash_parts, paths, room, tenants};

/// Time for which a replica keeps announcing its limit: longer than the time until the limit
/// holds (3 s) plus the window in which requests are counted (4 s).
const LIMIT_DURATION: Duration = Duration::from_millis(7_500);

/// Time for which adapters stay slow or orders late.
const ROOM_DURATION: Duration = Duration::from_millis(5_000);
/// Time that adapters take to arrive otherwise.
const USUAL_ADAPTER_TRANSIT: Duration = Duration::from_millis(20);

/// The kinds of faults of a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mix {
    /// Two to four single faults.
    Few,
    /// Six to ten faults, among them overlapping series of signals, restarts and document
    /// changes, and connections that go silent for good.
    Series,
    /// Series of requests that crash replicas, with suspensions, kills, stops and restarts
    /// of nodes and connections that go silent. The store stays available.
    Crashes,
    /// Callers send keys of groups, one of which has a quota. Keys are removed and restored
    /// and the quota is changed, with kills, stops, restarts, pauses and a store that is
    /// unreachable for some nodes.
    Tenants,
    /// Replicas signal in answers that they leave, or reject requests and ask for a
    /// cooldown, while the store is unavailable, nodes restart and connections are reset.
    Words,
    /// Nodes of another build are replaced by this build, one after the other, and some of
    /// them back, with kills and connection faults.
    Builds,
    /// Replicas announce limits on the requests that they accept from all nodes together,
    /// with kills, pauses, signals, connection faults, an unavailable store and connections
    /// that go silent.
    Limits,
    /// The store is restored from older copies, with kills, stops, pauses and connection
    /// faults.
    Restores,
    /// Replicas with few slots and several speeds, some slowed for a time, report their load.
    /// Callers have two priorities. Stops, kills, pauses, connection faults and connections
    /// that go silent are injected.
    Uneven,
    /// Nodes lose their paths to replicas, with kills, stops and pauses of other nodes, replicas
    /// that are silent for a time and connections that go silent for good.
    Paths,
    /// The store refuses several nodes, in different ways, while the document changes fast.
    Refusals,
    /// The replicas' software is rolled while streams break, with kills and stops of nodes.
    Versions,
    /// The same, without the check of how many of the streams taken up go on.
    MixedVersions,
    /// The software of half of the replicas is rolled while all nodes are killed at once, with kills of
    /// single nodes.
    JoinedVersions,
    /// Answers of replicas without a length, closed or reset after any byte, beside the faults of
    /// [`Mix::Series`].
    BrokenAnswers,
    /// Replicas that are the only holders of their models end under streams and are back under their
    /// ids, empty, before their entries; all nodes are killed at once; requests crash replicas.
    LostState,
    /// Adapters that arrive slowly and orders that are carried out late, beside replicas that start again
    /// under their ids and nodes that are killed.
    Room,
    /// Parts of prompts that crash replicas, beside suspensions, kills, stops and restarts.
    CrashParts,
    /// Replicas with few slots fall over if they must reject too many requests, with kills, stops
    /// and pauses of nodes.
    Brittle,
}

/// A fault.
#[derive(Debug, Clone)]
pub enum Injection {
    /// The connections between a node and the store fail.
    StorePath(usize, Fault),
    /// The connections between all nodes and the store fail.
    AllStorePaths(Fault),
    /// The store itself fails.
    Store(StoreFault),
    /// The store drops its history of changes.
    Compaction,
    /// The connections between the nodes and a replica fail.
    EnginePath(usize, Fault),
    /// A node's process is stopped by SIGSTOP and continued later.
    Pause(usize),
    /// A node's process is killed and restarted.
    Kill(usize),
    /// A node's process is asked to stop, and restarted.
    Stop(usize),
    /// All nodes are killed and restarted.
    KillAll,
    /// All nodes are killed at once, and started again after this time.
    KillAllAtOnce(Duration),
    /// A replica ends without a word, and starts again.
    EndEngine(usize),
    /// An operator changes the document.
    Change,
    /// The existing connections of a node to the store go silent for good.
    SilentStoreConnections(usize),
    /// The existing connections to a replica go silent for good.
    SilentEngineConnections(usize),
    /// Signals to a node's process, each with the pause after it.
    Signals(usize, Vec<(&'static str, Duration)>),
    /// All nodes are asked to stop and restarted, one after the other at this interval. One
    /// may still be stopping when the next one is asked.
    Roll(Duration),
    /// The document changes this number of times, at this interval.
    Changes(u32, Duration),
    /// A request that crashes replicas is sent.
    Crash(CrashingRequest),
    /// Different requests with one part that crashes replicas are sent.
    CrashPart(CrashingRequest),
    /// An operator removes a key, or restores it.
    ToggleKey,
    /// An operator lowers or raises the quota.
    ToggleQuota,
    /// A node's clock jumps ahead as after a suspension, this number of times, at this
    /// interval.
    Suspensions(usize, u32, Duration),
    /// A replica signals in its answers, but not in its entry in the store, that it leaves;
    /// later it is removed.
    Leaving(usize),
    /// A replica rejects requests and asks for this cooldown each time.
    Cooldown(usize, Duration),
    /// A replica becomes slower.
    Slowed(usize),
    /// A replica announces a limit, in requests per second.
    Limit(usize, f64),
    /// A node's new connections to replicas fail.
    NodePaths(usize, PathCut),
    /// The store refuses these nodes.
    Refusal(Vec<usize>, Fault),
    /// This number of replicas are replaced by ones of the next software version, one after the other at
    /// this interval.
    RollReplicas(Duration, usize),
    /// Replicas tell how many rejections a second they bear, and fall over beyond.
    Brittle(u32),
    /// Slots of a replica are taken by others.
    TakenSlots(usize, usize),
    /// Adapters take this long to arrive.
    AdapterTransit(Duration),
    /// Some orders to a replica get no answer and are carried out late.
    LateOrders(usize, LateOrders),
    /// The store is restored from a copy: the age of the copy when the store becomes
    /// unavailable, and the time for which it is unavailable.
    Restore(Duration, Duration),
    /// The first nodes, this number of them, are restarted with another program, at this
    /// interval.
    Replace(usize, Program, Duration),
}

impl Injection {
    /// Returns true if the fault clears the node's memory or interrupts it for a time.
    pub fn interrupts(&self, node: usize) -> bool {
        match self {
            Injection::Pause(hit) | Injection::Kill(hit) | Injection::Stop(hit) => *hit == node,
            Injection::Signals(hit, _) | Injection::Suspensions(hit, ..) => *hit == node,
            Injection::KillAll | Injection::KillAllAtOnce(_) => true,
            Injection::Roll(_) | Injection::Replace(..) => true,
            _ => false,
        }
    }
}

/// A request that crashes each replica that starts to run it.
#[derive(Debug, Clone)]
pub struct CrashingRequest {
    /// Identifies the request within the round.
    pub number: usize,
    /// How many times the request is sent.
    pub times: u32,
    /// Time between two sends.
    pub interval: Duration,
}

impl CrashingRequest {
    /// Returns the attempt id of the send with this number.
    pub fn attempt(&self, seed: u64, number: u32) -> String {
        format!("x{seed}-{}-{number}", self.number)
    }
}

/// A fault with its start, relative to the start of the round, and its duration.
#[derive(Debug, Clone)]
pub struct PlannedFault {
    pub at: Duration,
    pub duration: Duration,
    pub injection: Injection,
}

impl PlannedFault {
    /// Returns the crashing request, if the fault is one.
    pub fn crash(&self) -> Option<&CrashingRequest> {
        match &self.injection {
            Injection::Crash(crash) => Some(crash),
            _ => None,
        }
    }
}

fn draw_fault(random: &mut SmallRng) -> Fault {
    let faults = [
        Fault::Delay(Duration::from_millis(150)),
        Fault::Reset,
        Fault::Silence,
        Fault::NoAnswers,
    ];
    *faults.choose(random).expect("there are some")
}

fn single_injection(random: &mut SmallRng, size: Size) -> Injection {
    let node = random.random_range(0..size.nodes);
    let engine = random.random_range(0..size.engines);
    let store = [
        StoreFault::Refusing,
        StoreFault::LosingWriteAnswers,
        StoreFault::Silent,
    ];
    match random.random_range(0..10) {
        0 => Injection::StorePath(node, draw_fault(random)),
        1 => Injection::AllStorePaths(draw_fault(random)),
        2 => Injection::Store(*store.choose(random).expect("there are some")),
        3 => Injection::Compaction,
        4 => Injection::EnginePath(engine, draw_fault(random)),
        5 => Injection::Pause(node),
        6 => Injection::Kill(node),
        7 => Injection::Stop(node),
        8 => Injection::KillAll,
        _ => Injection::Change,
    }
}

fn draw_pause(random: &mut SmallRng, max_ms: u64) -> Duration {
    Duration::from_millis(random.random_range(10..max_ms))
}

/// Draws signals to one process: reloads, stops of several kinds, and requests to stop while
/// the process is already stopping.
fn draw_signals(random: &mut SmallRng) -> Vec<(&'static str, Duration)> {
    let names = ["HUP", "HUP", "TERM", "TERM", "KILL", "STOP", "CONT"];
    let count = random.random_range(2..=6);
    let mut signals: Vec<_> = (0..count)
        .map(|_| {
            (
                *names.choose(random).expect("there are some"),
                draw_pause(random, 600),
            )
        })
        .collect();
    // A process that is stopped by SIGSTOP could not end.
    signals.push(("CONT", Duration::ZERO));
    signals
}

fn series_injection(random: &mut SmallRng, size: Size) -> Injection {
    let node = random.random_range(0..size.nodes);
    match random.random_range(0..8) {
        0 => Injection::SilentStoreConnections(node),
        1 => Injection::SilentEngineConnections(random.random_range(0..size.engines)),
        2 | 3 => Injection::Signals(node, draw_signals(random)),
        4 => Injection::Roll(draw_pause(random, 900)),
        5 => Injection::Changes(random.random_range(3..12), draw_pause(random, 300)),
        _ => single_injection(random, size),
    }
}

fn crashes_injection(random: &mut SmallRng, size: Size, index: usize) -> Injection {
    let node = random.random_range(0..size.nodes);
    // Each round has at least one crashing request.
    match if index == 0 { 0 } else { random.random_range(0..8) } {
        0..=2 => Injection::Crash(CrashingRequest {
            number: index,
            times: random.random_range(10..24),
            interval: draw_pause(random, 500),
        }),
        3 => Injection::Suspensions(node, random.random_range(1..4), draw_pause(random, 800)),
        4 => Injection::Signals(node, draw_signals(random)),
        5 => Injection::Kill(node),
        6 => Injection::Roll(draw_pause(random, 900)),
        _ => Injection::SilentEngineConnections(random.random_range(0..size.engines)),
    }
}

/// The first two faults are parts, beside one another.
fn crash_parts_injection(random: &mut SmallRng, size: Size, index: usize) -> Injection {
    if index < 2 {
        return Injection::CrashPart(CrashingRequest {
            number: index,
            times: random.random_range(50..80),
            interval: Duration::from_millis(random.random_range(150..250)),
        });
    }
    crashes_injection(random, size, index)
}

fn tenants_injection(random: &mut SmallRng, size: Size, index: usize) -> Injection {
    let node = random.random_range(0..size.nodes);
    match index {
        0 => return Injection::ToggleKey,
        1 => return Injection::ToggleQuota,
        _ => {}
    }
    match random.random_range(0..9) {
        0 => Injection::ToggleKey,
        1 => Injection::ToggleQuota,
        2 => Injection::Kill(node),
        3 => Injection::Signals(node, draw_signals(random)),
        4 => Injection::Roll(draw_pause(random, 900)),
        5 => Injection::KillAll,
        6 => Injection::Pause(node),
        7 => Injection::Changes(random.random_range(3..12), draw_pause(random, 300)),
        _ => Injection::StorePath(node, draw_fault(random)),
    }
}

fn words_injection(random: &mut SmallRng, size: Size, index: usize) -> Injection {
    let node = random.random_range(0..size.nodes);
    let engine = random.random_range(0..size.engines);
    let cooldown = Duration::from_millis(random.random_range(700..2500));
    match index {
        0 => return Injection::Leaving(engine),
        1 => return Injection::Cooldown(engine, cooldown),
        2 => return Injection::Store(StoreFault::Refusing),
        _ => {}
    }
    match random.random_range(0..7) {
        0 => Injection::Leaving(engine),
        1 | 2 => Injection::Cooldown(engine, cooldown),
        3 => Injection::EnginePath(engine, draw_fault(random)),
        4 => Injection::Kill(node),
        5 => Injection::Compaction,
        _ => Injection::StorePath(node, draw_fault(random)),
    }
}

fn limits_injection(random: &mut SmallRng, size: Size, index: usize) -> Injection {
    let node = random.random_range(0..size.nodes);
    let engine = random.random_range(0..size.engines);
    if index < 2 {
        return Injection::Limit(engine, f64::from(random.random_range(1..20u32)) / 4.0);
    }
    match random.random_range(0..8) {
        0 | 1 => Injection::Kill(node),
        2 => Injection::Pause(node),
        3 => Injection::StorePath(node, draw_fault(random)),
        4 => Injection::Store(StoreFault::Refusing),
        5 => Injection::EnginePath(engine, draw_fault(random)),
        6 => Injection::Signals(node, draw_signals(random)),
        _ => Injection::SilentEngineConnections(engine),
    }
}

fn builds_injection(random: &mut SmallRng, size: Size, index: usize) -> Injection {
    let node = random.random_range(0..size.nodes);
    match index {
        0 => return Injection::Replace(size.nodes, Program::Daemon, draw_pause(random, 500)),
        1 => {
            let back = random.random_range(0..=size.nodes);
            return Injection::Replace(back, Program::Older, draw_pause(random, 500));
        }
        _ => {}
    }
    match random.random_range(0..4) {
        0 => Injection::Kill(node),
        1 => Injection::StorePath(node, draw_fault(random)),
        2 => Injection::Change,
        _ => Injection::EnginePath(random.random_range(0..size.engines), draw_fault(random)),
    }
}

fn restores_injection(random: &mut SmallRng, size: Size, index: usize) -> Injection {
    let node = random.random_range(0..size.nodes);
    if index == 0 || random.random_range(0..6) == 0 {
        return Injection::Restore(draw_pause(random, 3000), draw_pause(random, 1200));
    }
    match random.random_range(0..7) {
        0 => Injection::Kill(node),
        1 => Injection::Stop(node),
        2 => Injection::Pause(node),
        3 => Injection::StorePath(node, draw_fault(random)),
        4 => Injection::KillAll,
        5 => Injection::Signals(node, draw_signals(random)),
        _ => Injection::Changes(random.random_range(3..12), draw_pause(random, 300)),
    }
}

fn paths_injection(random: &mut SmallRng, size: Size, index: usize) -> Injection {
    let node = random.random_range(0..size.nodes);
    let engine = random.random_range(0..size.engines);
    if index < 2 {
        let cut = if random.random_bool(0.5) {
            PathCut::Hanging
        } else {
            PathCut::Refused
        };
        return Injection::NodePaths(node, cut);
    }
    match random.random_range(0..7) {
        0 => Injection::Kill(node),
        1 => Injection::Stop(node),
        2 => Injection::Pause(node),
        3 => Injection::EnginePath(engine, Fault::Silence),
        4 => Injection::Roll(draw_pause(random, 900)),
        5 => Injection::StorePath(node, draw_fault(random)),
        _ => Injection::SilentEngineConnections(engine),
    }
}

fn brittle_injection(random: &mut SmallRng, size: Size, index: usize) -> Injection {
    let node = random.random_range(0..size.nodes);
    if index == 0 {
        return Injection::Brittle(random.random_range(1..12));
    }
    match random.random_range(0..6) {
        0 => Injection::Kill(node),
        1 => Injection::Stop(node),
        2 => Injection::Pause(node),
        3 | 4 => Injection::TakenSlots(
            random.random_range(0..size.engines),
            random.random_range(1..=brittle::SLOTS),
        ),
        _ => Injection::StorePath(node, draw_fault(random)),
    }
}

fn uneven_injection(random: &mut SmallRng, size: Size, index: usize) -> Injection {
    let node = random.random_range(0..size.nodes);
    let engine = random.random_range(0..size.engines);
    match index {
        0 => return Injection::Slowed(engine),
        1 => return Injection::Stop(node),
        _ => {}
    }
    match random.random_range(0..9) {
        0 | 1 => Injection::Slowed(engine),
        2 => Injection::Stop(node),
        3 => Injection::Kill(node),
        4 => Injection::Pause(node),
        5 => Injection::Leaving(engine),
        6 => Injection::EnginePath(engine, draw_fault(random)),
        7 => Injection::StorePath(node, draw_fault(random)),
        _ => Injection::SilentEngineConnections(engine),
    }
}

fn refusals_injection(random: &mut SmallRng, size: Size, index: usize) -> Injection {
    let node = random.random_range(0..size.nodes);
    if index == 0 {
        return Injection::Changes(random.random_range(15..40), draw_pause(random, 250));
    }
    if index < 3 || random.random_bool(0.4) {
        let faults = [
            Fault::Refuse(503),
            Fault::Refuse(429),
            Fault::Reset,
            Fault::Silence,
        ];
        let fault = *faults.choose(random).expect("there are some");
        let refused = (0..size.nodes).filter(|_| random.random_bool(0.4)).collect();
        return Injection::Refusal(refused, fault);
    }
    match random.random_range(0..4) {
        0 => Injection::Kill(node),
        1 => Injection::Stop(node),
        2 => Injection::Roll(draw_pause(random, 900)),
        _ => Injection::Compaction,
    }
}

fn versions_injection(random: &mut SmallRng, size: Size, index: usize) -> Injection {
    let node = random.random_range(0..size.nodes);
    let engine = random.random_range(0..size.engines);
    if index == 0 {
        return Injection::RollReplicas(draw_pause(random, 1_200), size.engines);
    }
    match random.random_range(0..6) {
        0 | 1 => Injection::Kill(node),
        2 => Injection::Stop(node),
        3 => Injection::StorePath(node, draw_fault(random)),
        _ => Injection::EnginePath(engine, Fault::Reset),
    }
}

fn joined_versions_injection(random: &mut SmallRng, size: Size, index: usize) -> Injection {
    let node = random.random_range(0..size.nodes);
    match index {
        0 => {
            let interval = Duration::from_millis(random.random_range(300..900));
            return Injection::RollReplicas(interval, size.engines / 2);
        }
        1 => return Injection::KillAllAtOnce(draw_pause(random, 1_200)),
        _ => {}
    }
    match random.random_range(0..3) {
        0 => Injection::KillAllAtOnce(draw_pause(random, 1_200)),
        1 => Injection::StorePath(node, draw_fault(random)),
        _ => Injection::Kill(node),
    }
}

fn lost_state_injection(random: &mut SmallRng, size: Size, index: usize) -> Injection {
    let node = random.random_range(0..size.nodes);
    let engine = random.random_range(0..size.engines);
    match index {
        0 => return Injection::EndEngine(engine),
        1 => return Injection::KillAllAtOnce(draw_pause(random, 1_200)),
        2 => {
            return Injection::Crash(CrashingRequest {
                number: index,
                times: random.random_range(6..12),
                interval: Duration::from_millis(random.random_range(500..1_000)),
            })
        }
        _ => {}
    }
    match random.random_range(0..4) {
        0 | 1 => Injection::EndEngine(engine),
        2 => Injection::Kill(node),
        _ => Injection::Stop(node),
    }
}

/// Draws the faults of a round.
pub fn draw(random: &mut SmallRng, mix: Mix, size: Size) -> Vec<PlannedFault> {
    let (count, latest_ms) = match mix {
        Mix::Few => (random.random_range(2..=4), 3500),
        Mix::Series | Mix::BrokenAnswers => (random.random_range(6..=10), 4500),
        Mix::Crashes | Mix::CrashParts => (random.random_range(4..=8), 3500),
        Mix::Tenants => (random.random_range(4..=8), 4000),
        Mix::Words => (random.random_range(4..=8), 2500),
        Mix::Limits => (random.random_range(2..=6), 6000),
        Mix::Builds => (random.random_range(2..=4), 2500),
        Mix::Restores => (random.random_range(2..=6), 3000),
        Mix::Uneven => (random.random_range(3..=8), 3500),
        Mix::Paths => (random.random_range(2..=6), 6000),
        Mix::Brittle => (random.random_range(1..=4), 4000),
        Mix::Refusals => (random.random_range(3..=8), 3500),
        Mix::Versions | Mix::MixedVersions => (random.random_range(3..=8), 4000),
        Mix::JoinedVersions => (random.random_range(2..=4), 5000),
        Mix::LostState => (random.random_range(3..=6), 8000),
        Mix::Room => (random.random_range(5..=9), 8000),
    };
    let planned = (0..count).map(|index| PlannedFault {
        at: Duration::from_millis(random.random_range(200..latest_ms)),
        duration: Duration::from_millis(random.random_range(300..3000)),
        injection: match mix {
            Mix::Limits => limits_injection(random, size, index),
            Mix::Few => single_injection(random, size),
            Mix::Series | Mix::BrokenAnswers => series_injection(random, size),
            Mix::Crashes => crashes_injection(random, size, index),
            Mix::CrashParts => crash_parts_injection(random, size, index),
            Mix::Tenants => tenants_injection(random, size, index),
            Mix::Words => words_injection(random, size, index),
            Mix::Builds => builds_injection(random, size, index),
            Mix::Restores => restores_injection(random, size, index),
            Mix::Uneven => uneven_injection(random, size, index),
            Mix::Paths => paths_injection(random, size, index),
            Mix::Brittle => brittle_injection(random, size, index),
            Mix::Refusals => refusals_injection(random, size, index),
            Mix::Versions | Mix::MixedVersions => versions_injection(random, size, index),
            Mix::JoinedVersions => joined_versions_injection(random, size, index),
            Mix::LostState => lost_state_injection(random, size, index),
            Mix::Room => room::injection(random, size, index),
        },
    });
    planned.collect()
}

/// Injects the planned faults. Returns when all have ended and the round's time is over.
pub async fn inject(cluster: &Cluster, plan: &[PlannedFault], round: Duration, seed: u64) {
    let each = plan.iter().map(|planned| async move {
        sleep(planned.at).await;
        start_fault(cluster, planned, seed).await;
        end_fault(cluster, planned).await;
    });
    tokio::join!(run_all(each), sleep(round));
}

async fn run_all<F: std::future::Future<Output = ()>>(each: impl Iterator<Item = F>) {
    let mut each: Vec<_> = each.map(Box::pin).collect();
    std::future::poll_fn(|context| {
        each.retain_mut(|future| future.as_mut().poll(context).is_pending());
        if each.is_empty() {
            std::task::Poll::Ready(())
        } else {
            std::task::Poll::Pending
        }
    })
    .await;
}

async fn start_fault(cluster: &Cluster, planned: &PlannedFault, seed: u64) {
    match &planned.injection {
        Injection::StorePath(node, fault) => cluster.store_proxies[*node].set(*fault),
        Injection::AllStorePaths(fault) => cluster.store_proxies.iter().for_each(|proxy| proxy.set(*fault)),
        Injection::Store(fault) => cluster.store.set_fault(*fault),
        Injection::Compaction => cluster.store.with_state(|state| state.compact()),
        Injection::EnginePath(engine, fault) => cluster.engine_proxies[*engine].set(*fault),
        Injection::Pause(node) => cluster.nodes[*node].signal("STOP"),
        Injection::Kill(node) => cluster.nodes[*node].restart(false).await,
        Injection::Stop(node) => {
            cluster.nodes[*node].signal("CONT");
            cluster.nodes[*node].restart(true).await;
        }
        Injection::KillAll => {
            for node in &cluster.nodes {
                node.restart(false).await;
            }
        }
        Injection::KillAllAtOnce(down) => cluster.kill_all_nodes(*down).await,
        Injection::EndEngine(engine) => cluster.engine(*engine).finish_leaving(),
        Injection::Change => change_document(cluster),
        Injection::ToggleKey => tenants::toggle_key(cluster),
        Injection::ToggleQuota => tenants::toggle_quota(cluster),
        Injection::SilentStoreConnections(node) => cluster.store_proxies[*node].silence_existing(),
        Injection::SilentEngineConnections(engine) => cluster.engine_proxies[*engine].silence_existing(),
        Injection::Signals(node, signals) => cluster.nodes[*node].send_signals(signals).await,
        Injection::Roll(interval) => rolling_restart(cluster, *interval).await,
        Injection::Crash(crash) => checks::send_crashing_request(cluster, crash, seed).await,
        Injection::CrashPart(crash) => crash_parts::send_requests(cluster, crash, seed).await,
        Injection::Suspensions(node, count, interval) => {
            for _ in 0..*count {
                cluster.nodes[*node].signal(instrumented::SUSPENSION_SIGNAL);
                sleep(*interval).await;
            }
        }
        Injection::Restore(age, away) => restore_store(cluster, *age, *away).await,
        Injection::Replace(nodes, program, interval) => {
            replace_programs(cluster, *nodes, *program, *interval).await
        }
        Injection::NodePaths(node, cut) => cluster.nodes[*node].set_path_cut(Some(*cut)),
        Injection::TakenSlots(engine, slots) => cluster.engine(*engine).set_taken_slots(*slots),
        Injection::Brittle(max_rejections) => cluster.set_max_rejections(Some(*max_rejections)),
        Injection::AdapterTransit(transit) => cluster.set_adapter_transit(*transit),
        Injection::LateOrders(engine, late) => cluster.engine(*engine).set_late_orders(Some(*late)),
        Injection::Refusal(nodes, fault) => {
            let refused = nodes.iter().map(|node| &cluster.store_proxies[*node]);
            refused.for_each(|proxy| proxy.set(*fault));
        }
        Injection::RollReplicas(interval, count) => roll_replicas(cluster, *interval, *count).await,
        Injection::Slowed(engine) => cluster.engine(*engine).set_slowed(true),
        Injection::Limit(engine, per_s) => cluster.engine(*engine).set_limit(Some(*per_s)),
        Injection::Leaving(engine) => cluster.engine(*engine).announce_leaving(),
        Injection::Cooldown(engine, cooldown) => cluster.engine(*engine).set_cooldown(Some(*cooldown)),
        Injection::Changes(count, interval) => {
            for _ in 0..*count {
                change_document(cluster);
                sleep(*interval).await;
            }
        }
    }
    sleep(planned.duration).await;
}

/// Replaces the replicas by ones of the next software version, one after the other.
async fn roll_replicas(cluster: &Cluster, interval: Duration, count: usize) {
    cluster.begin_next_version();
    for index in 0..count {
        let engine = cluster.engine(index);
        engine.announce_leaving();
        sleep(interval).await;
        engine.finish_leaving();
    }
}

fn change_document(cluster: &Cluster) {
    cluster.document.borrow_mut().version += 1;
    cluster.write_document();
}

/// Asks all nodes to stop, at the interval `interval`, and waits until each has restarted.
async fn rolling_restart(cluster: &Cluster, interval: Duration) {
    let each = cluster.nodes.iter().enumerate().map(|(index, node)| async move {
        sleep(interval * index as u32).await;
        // A node that another fault has paused could not end.
        node.signal("CONT");
        node.restart(true).await;
    });
    run_all(each).await;
}

/// Copies the store, makes it unavailable after `age`, and restores it from the copy after
/// `away`. Operators and replicas then repeat their writes.
async fn restore_store(cluster: &Cluster, age: Duration, away: Duration) {
    let copy = cluster.store.copy();
    sleep(age).await;
    cluster.store.set_fault(StoreFault::Refusing);
    sleep(away).await;
    cluster.store.restore(&copy);
    cluster.store.set_fault(StoreFault::None);
    cluster.write_document();
    cluster
        .engines
        .borrow()
        .iter()
        .for_each(|engine| engine.rewrite_entry());
}

/// Restarts nodes with another program, one after the other.
async fn replace_programs(cluster: &Cluster, nodes: usize, program: Program, interval: Duration) {
    for node in cluster.nodes.iter().take(nodes) {
        node.set_program(program);
        node.signal("CONT");
        node.restart(true).await;
        sleep(interval).await;
    }
}

async fn end_fault(cluster: &Cluster, planned: &PlannedFault) {
    match &planned.injection {
        Injection::StorePath(node, _) => cluster.store_proxies[*node].set(Fault::None),
        Injection::AllStorePaths(_) => cluster
            .store_proxies
            .iter()
            .for_each(|proxy| proxy.set(Fault::None)),
        Injection::Refusal(nodes, _) => {
            let refused = nodes.iter().map(|node| &cluster.store_proxies[*node]);
            refused.for_each(|proxy| proxy.set(Fault::None));
        }
        Injection::Store(_) => cluster.store.set_fault(StoreFault::None),
        Injection::EnginePath(engine, _) => cluster.engine_proxies[*engine].set(Fault::None),
        Injection::Pause(node) => cluster.nodes[*node].signal("CONT"),
        Injection::Limit(engine, _) => {
            sleep(LIMIT_DURATION).await;
            cluster.engine(*engine).set_limit(None);
        }
        Injection::NodePaths(node, _) => {
            sleep(paths::ADDED_DURATION).await;
            cluster.nodes[*node].set_path_cut(None);
        }
        Injection::TakenSlots(engine, _) => cluster.engine(*engine).set_taken_slots(0),
        Injection::Brittle(_) => {
            sleep(LIMIT_DURATION).await;
            cluster.set_max_rejections(None);
        }
        Injection::AdapterTransit(_) => {
            sleep(ROOM_DURATION).await;
            cluster.set_adapter_transit(USUAL_ADAPTER_TRANSIT);
        }
        Injection::LateOrders(engine, _) => {
            sleep(ROOM_DURATION).await;
            cluster.engine(*engine).set_late_orders(None);
        }
        Injection::Slowed(engine) => cluster.engine(*engine).set_slowed(false),
        Injection::Leaving(engine) => cluster.engine(*engine).finish_leaving(),
        Injection::Cooldown(engine, _) => cluster.engine(*engine).set_cooldown(None),
        _ => {}
    }
}
