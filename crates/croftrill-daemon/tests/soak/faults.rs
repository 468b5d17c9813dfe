//! Faults from outside the daemons, drawn from a seed.

use std::time::Duration;

use croftrill_standin::proxy::Fault;
use croftrill_standin::store::StoreFault;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::Rng;
use tokio::time::sleep;

use crate::checks;
use crate::cluster::{Cluster, Program, Size};
use crate::{suspendable, tenants};

/// Time for which a replica goes on naming its limit: longer than it takes until the limit
/// holds (3 s), and a window of its sum (4 s).
const NEED: Duration = Duration::from_millis(7_500);

/// How faults are drawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mix {
    /// Two to four faults.
    Few,
    /// Six to ten, among them series of signals, restarts and changes, which
    /// overlap, and connections that go silent for good.
    Series,
    /// Requests that crash replicas come in series, beside suspensions, kills, stops
    /// and restarts of nodes and connections that go silent; the store serves all.
    Crashes,
    /// Callers show keys of groups, one of them with a quota; keys are taken away and
    /// given back and the quota is changed, beside kills, stops, restarts, pauses and a
    /// store that is away for some nodes.
    Tenants,
    /// Replicas say in answers that they leave, or turn requests away and ask for rest,
    /// while the store is away, nodes restart and connections are reset.
    Words,
    /// Nodes of another build are replaced by this one, one after the other, and some
    /// of them back, beside kills and cuts.
    Builds,
    /// Replicas name limits on the requests that they take from all nodes together, beside
    /// kills, pauses, signals, cuts, a store that is away and connections that go silent.
    Limits,
    /// The store comes back from older copies, beside kills, stops, pauses and cuts.
    Restores,
    /// Replicas of few slots and several speeds, some slowed for a time, tell their load to
    /// callers of two ranks, beside stops, kills, pauses, cuts and connections that go silent.
    Uneven,
}

/// One fault.
#[derive(Debug, Clone)]
pub enum Injection {
    /// A node's way to the store.
    StorePath(usize, Fault),
    /// All nodes' ways to the store.
    AllStorePaths(Fault),
    /// The store itself.
    Store(StoreFault),
    /// The store forgets its history.
    Compaction,
    /// The ways to a replica.
    EnginePath(usize, Fault),
    /// A node's process stands still.
    Pause(usize),
    /// A node's process is killed and started anew.
    Kill(usize),
    /// A node's process is asked to stop, and started anew.
    Stop(usize),
    /// All nodes are killed and started anew.
    KillAll,
    /// Operators change the document.
    Change,
    /// A node's present connections to the store go silent for good.
    SilentStoreConnections(usize),
    /// The present connections to a replica go silent for good.
    SilentEngineConnections(usize),
    /// Signals to a node's process, each with the pause after it.
    Signals(usize, Vec<(&'static str, Duration)>),
    /// All nodes are asked to stop and started anew, one after the other, so long
    /// apart; one may still be stopping when the next one is asked.
    Roll(Duration),
    /// The document changes so often, so long apart.
    Changes(u32, Duration),
    /// A request that crashes replicas comes.
    Crash(Crash),
    /// Operators take a key away, or give it back.
    ToggleKey,
    /// Operators lower or raise the quota.
    ToggleQuota,
    /// A node's clock goes on as in suspensions, so often, so long apart.
    Suspensions(usize, u32, Duration),
    /// A replica's answers say that it leaves, its entry does not; then it is gone.
    Leaving(usize),
    /// A replica turns requests away and asks for so much rest each time.
    Rest(usize, Duration),
    /// A replica's work takes longer.
    Slowed(usize),
    /// A replica names a limit, in requests a second.
    Limit(usize, f64),
    /// The store is away for a time and comes back from a copy that is so old.
    Restore(Duration, Duration),
    /// So many nodes, from the first, are stopped and run another program, so long apart.
    Replace(usize, Program, Duration),
}

impl Injection {
    /// True if it takes a node's memory, or stops it for a while.
    pub fn interrupts(&self, node: usize) -> bool {
        match self {
            Injection::Pause(hit) | Injection::Kill(hit) | Injection::Stop(hit) => *hit == node,
            Injection::Signals(hit, _) | Injection::Suspensions(hit, ..) => *hit == node,
            Injection::KillAll | Injection::Roll(_) | Injection::Replace(..) => true,
            _ => false,
        }
    }
}

/// A request that crashes each replica that begins to run it.
#[derive(Debug, Clone)]
pub struct Crash {
    /// Tells it from others of the round.
    pub number: usize,
    /// How often it comes.
    pub times: u32,
    /// Time between two arrivals.
    pub gap: Duration,
}

impl Crash {
    /// The id of its so-manieth arrival.
    pub fn attempt(&self, seed: u64, number: u32) -> String {
        format!("x{seed}-{}-{number}", self.number)
    }
}

/// A fault with its time, both from the start of the round.
#[derive(Debug, Clone)]
pub struct Planned {
    pub at: Duration,
    pub lasts: Duration,
    pub injection: Injection,
}

impl Planned {
    /// The crashing request, if it is one.
    pub fn crash(&self) -> Option<&Crash> {
        match &self.injection {
            Injection::Crash(crash) => Some(crash),
            _ => None,
        }
    }
}

fn fault(random: &mut SmallRng) -> Fault {
    let faults = [
        Fault::Delay(Duration::from_millis(150)),
        Fault::Reset,
        Fault::Silence,
        Fault::NoAnswers,
    ];
    *faults.choose(random).expect("there are some")
}

fn injection(random: &mut SmallRng, size: Size) -> Injection {
    let node = random.random_range(0..size.nodes);
    let engine = random.random_range(0..size.engines);
    let store = [
        StoreFault::Refusing,
        StoreFault::LosingWriteAnswers,
        StoreFault::Silent,
    ];
    match random.random_range(0..10) {
        0 => Injection::StorePath(node, fault(random)),
        1 => Injection::AllStorePaths(fault(random)),
        2 => Injection::Store(*store.choose(random).expect("there are some")),
        3 => Injection::Compaction,
        4 => Injection::EnginePath(engine, fault(random)),
        5 => Injection::Pause(node),
        6 => Injection::Kill(node),
        7 => Injection::Stop(node),
        8 => Injection::KillAll,
        _ => Injection::Change,
    }
}

fn pause(random: &mut SmallRng, longest_ms: u64) -> Duration {
    Duration::from_millis(random.random_range(10..longest_ms))
}

/// Signals to one process: reloads, stops of several kinds, and requests to stop
/// that come while it is stopping.
fn signals(random: &mut SmallRng) -> Vec<(&'static str, Duration)> {
    let names = ["HUP", "HUP", "TERM", "TERM", "KILL", "STOP", "CONT"];
    let count = random.random_range(2..=6);
    let mut signals: Vec<_> = (0..count)
        .map(|_| (*names.choose(random).expect("there are some"), pause(random, 600)))
        .collect();
    // Nothing that stands still could end.
    signals.push(("CONT", Duration::ZERO));
    signals
}

fn series_injection(random: &mut SmallRng, size: Size) -> Injection {
    let node = random.random_range(0..size.nodes);
    match random.random_range(0..8) {
        0 => Injection::SilentStoreConnections(node),
        1 => Injection::SilentEngineConnections(random.random_range(0..size.engines)),
        2 | 3 => Injection::Signals(node, signals(random)),
        4 => Injection::Roll(pause(random, 900)),
        5 => Injection::Changes(random.random_range(3..12), pause(random, 300)),
        _ => injection(random, size),
    }
}

fn crashes_injection(random: &mut SmallRng, size: Size, index: usize) -> Injection {
    let node = random.random_range(0..size.nodes);
    // There is always one crashing request, and often several.
    match if index == 0 { 0 } else { random.random_range(0..8) } {
        0..=2 => Injection::Crash(Crash {
            number: index,
            times: random.random_range(10..24),
            gap: pause(random, 500),
        }),
        3 => Injection::Suspensions(node, random.random_range(1..4), pause(random, 800)),
        4 => Injection::Signals(node, signals(random)),
        5 => Injection::Kill(node),
        6 => Injection::Roll(pause(random, 900)),
        _ => Injection::SilentEngineConnections(random.random_range(0..size.engines)),
    }
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
        3 => Injection::Signals(node, signals(random)),
        4 => Injection::Roll(pause(random, 900)),
        5 => Injection::KillAll,
        6 => Injection::Pause(node),
        7 => Injection::Changes(random.random_range(3..12), pause(random, 300)),
        _ => Injection::StorePath(node, fault(random)),
    }
}

fn words_injection(random: &mut SmallRng, size: Size, index: usize) -> Injection {
    let node = random.random_range(0..size.nodes);
    let engine = random.random_range(0..size.engines);
    let rest = Duration::from_millis(random.random_range(700..2500));
    match index {
        0 => return Injection::Leaving(engine),
        1 => return Injection::Rest(engine, rest),
        2 => return Injection::Store(StoreFault::Refusing),
        _ => {}
    }
    match random.random_range(0..7) {
        0 => Injection::Leaving(engine),
        1 | 2 => Injection::Rest(engine, rest),
        3 => Injection::EnginePath(engine, fault(random)),
        4 => Injection::Kill(node),
        5 => Injection::Compaction,
        _ => Injection::StorePath(node, fault(random)),
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
        3 => Injection::StorePath(node, fault(random)),
        4 => Injection::Store(StoreFault::Refusing),
        5 => Injection::EnginePath(engine, fault(random)),
        6 => Injection::Signals(node, signals(random)),
        _ => Injection::SilentEngineConnections(engine),
    }
}

fn builds_injection(random: &mut SmallRng, size: Size, index: usize) -> Injection {
    let node = random.random_range(0..size.nodes);
    match index {
        0 => return Injection::Replace(size.nodes, Program::Daemon, pause(random, 500)),
        1 => {
            let back = random.random_range(0..=size.nodes);
            return Injection::Replace(back, Program::Older, pause(random, 500));
        }
        _ => {}
    }
    match random.random_range(0..4) {
        0 => Injection::Kill(node),
        1 => Injection::StorePath(node, fault(random)),
        2 => Injection::Change,
        _ => Injection::EnginePath(random.random_range(0..size.engines), fault(random)),
    }
}

fn restores_injection(random: &mut SmallRng, size: Size, index: usize) -> Injection {
    let node = random.random_range(0..size.nodes);
    if index == 0 || random.random_range(0..6) == 0 {
        return Injection::Restore(pause(random, 3000), pause(random, 1200));
    }
    match random.random_range(0..7) {
        0 => Injection::Kill(node),
        1 => Injection::Stop(node),
        2 => Injection::Pause(node),
        3 => Injection::StorePath(node, fault(random)),
        4 => Injection::KillAll,
        5 => Injection::Signals(node, signals(random)),
        _ => Injection::Changes(random.random_range(3..12), pause(random, 300)),
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
        6 => Injection::EnginePath(engine, fault(random)),
        7 => Injection::StorePath(node, fault(random)),
        _ => Injection::SilentEngineConnections(engine),
    }
}

/// Draws the faults of a round.
pub fn draw(random: &mut SmallRng, mix: Mix, size: Size) -> Vec<Planned> {
    let (count, latest_ms) = match mix {
        Mix::Few => (random.random_range(2..=4), 3500),
        Mix::Series => (random.random_range(6..=10), 4500),
        Mix::Crashes => (random.random_range(4..=8), 3500),
        Mix::Tenants => (random.random_range(4..=8), 4000),
        Mix::Words => (random.random_range(4..=8), 2500),
        Mix::Limits => (random.random_range(2..=6), 6000),
        Mix::Builds => (random.random_range(2..=4), 2500),
        Mix::Restores => (random.random_range(2..=6), 3000),
        Mix::Uneven => (random.random_range(3..=8), 3500),
    };
    let planned = (0..count).map(|index| Planned {
        at: Duration::from_millis(random.random_range(200..latest_ms)),
        lasts: Duration::from_millis(random.random_range(300..3000)),
        injection: match mix {
            Mix::Limits => limits_injection(random, size, index),
            Mix::Few => injection(random, size),
            Mix::Series => series_injection(random, size),
            Mix::Crashes => crashes_injection(random, size, index),
            Mix::Tenants => tenants_injection(random, size, index),
            Mix::Words => words_injection(random, size, index),
            Mix::Builds => builds_injection(random, size, index),
            Mix::Restores => restores_injection(random, size, index),
            Mix::Uneven => uneven_injection(random, size, index),
        },
    });
    planned.collect()
}

/// Plays the faults; ends when the round's time is over.
pub async fn play(cluster: &Cluster, plan: &[Planned], round: Duration, seed: u64) {
    let each = plan.iter().map(|planned| async move {
        sleep(planned.at).await;
        begin(cluster, planned, seed).await;
        end(cluster, planned).await;
    });
    tokio::join!(futures_join(each), sleep(round));
}

async fn futures_join<F: std::future::Future<Output = ()>>(each: impl Iterator<Item = F>) {
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

async fn begin(cluster: &Cluster, planned: &Planned, seed: u64) {
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
        Injection::Change => change(cluster),
        Injection::ToggleKey => tenants::toggle_key(cluster),
        Injection::ToggleQuota => tenants::toggle_quota(cluster),
        Injection::SilentStoreConnections(node) => cluster.store_proxies[*node].silence_existing(),
        Injection::SilentEngineConnections(engine) => cluster.engine_proxies[*engine].silence_existing(),
        Injection::Signals(node, signals) => cluster.nodes[*node].series(signals).await,
        Injection::Roll(gap) => roll(cluster, *gap).await,
        Injection::Crash(crash) => checks::call_crashing(cluster, crash, seed).await,
        Injection::Suspensions(node, count, gap) => {
            for _ in 0..*count {
                cluster.nodes[*node].signal(suspendable::SUSPENSION);
                sleep(*gap).await;
            }
        }
        Injection::Restore(age, away) => restore(cluster, *age, *away).await,
        Injection::Replace(nodes, program, gap) => replace(cluster, *nodes, *program, *gap).await,
        Injection::Slowed(engine) => cluster.engine(*engine).set_slowed(true),
        Injection::Limit(engine, per_s) => cluster.engine(*engine).set_limit(Some(*per_s)),
        Injection::Leaving(engine) => cluster.engine(*engine).announce_leaving(),
        Injection::Rest(engine, rest) => cluster.engine(*engine).set_cooldown(Some(*rest)),
        Injection::Changes(count, gap) => {
            for _ in 0..*count {
                change(cluster);
                sleep(*gap).await;
            }
        }
    }
    sleep(planned.lasts).await;
}

fn change(cluster: &Cluster) {
    cluster.document.borrow_mut().version += 1;
    cluster.write_document();
}

/// Asks all nodes to stop, so long apart, and waits until each runs anew.
async fn roll(cluster: &Cluster, gap: Duration) {
    let each = cluster.nodes.iter().enumerate().map(|(index, node)| async move {
        sleep(gap * index as u32).await;
        // One that another fault holds still could not end.
        node.signal("CONT");
        node.restart(true).await;
    });
    futures_join(each).await;
}

/// The store goes away, and comes back from the copy of now, `age` later. Operators and
/// replicas write again what they wrote.
async fn restore(cluster: &Cluster, age: Duration, away: Duration) {
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

/// Has nodes run another program, one after the other.
async fn replace(cluster: &Cluster, nodes: usize, program: Program, gap: Duration) {
    for node in cluster.nodes.iter().take(nodes) {
        node.set_program(program);
        node.signal("CONT");
        node.restart(true).await;
        sleep(gap).await;
    }
}

async fn end(cluster: &Cluster, planned: &Planned) {
    match &planned.injection {
        Injection::StorePath(node, _) => cluster.store_proxies[*node].set(Fault::None),
        Injection::AllStorePaths(_) => cluster
            .store_proxies
            .iter()
            .for_each(|proxy| proxy.set(Fault::None)),
        Injection::Store(_) => cluster.store.set_fault(StoreFault::None),
        Injection::EnginePath(engine, _) => cluster.engine_proxies[*engine].set(Fault::None),
        Injection::Pause(node) => cluster.nodes[*node].signal("CONT"),
        Injection::Limit(engine, _) => {
            sleep(NEED).await;
            cluster.engine(*engine).set_limit(None);
        }
        Injection::Slowed(engine) => cluster.engine(*engine).set_slowed(false),
        Injection::Leaving(engine) => cluster.engine(*engine).finish_leaving(),
        Injection::Rest(engine, _) => cluster.engine(*engine).set_cooldown(None),
        _ => {}
    }
}
