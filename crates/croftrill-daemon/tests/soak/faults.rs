//! Faults from outside the daemons, drawn from a seed.

use std::time::Duration;

use croftrill_standin::proxy::Fault;
use croftrill_standin::store::StoreFault;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::Rng;
use tokio::time::sleep;

use crate::cluster::{Cluster, ENGINES, NODES};

/// One fault.
#[derive(Debug, Clone, Copy)]
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
}

/// A fault with its time, both from the start of the round.
#[derive(Debug, Clone, Copy)]
pub struct Planned {
    pub at: Duration,
    pub lasts: Duration,
    pub injection: Injection,
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

fn injection(random: &mut SmallRng) -> Injection {
    let node = random.random_range(0..NODES);
    let engine = random.random_range(0..ENGINES);
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

/// Two to four faults.
pub fn draw(random: &mut SmallRng) -> Vec<Planned> {
    let count = random.random_range(2..=4);
    let planned = (0..count).map(|_| Planned {
        at: Duration::from_millis(random.random_range(200..3500)),
        lasts: Duration::from_millis(random.random_range(300..3000)),
        injection: injection(random),
    });
    planned.collect()
}

/// Plays the faults; ends when the round's time is over.
pub async fn play(cluster: &Cluster, plan: &[Planned], round: Duration) {
    let each = plan.iter().map(|planned| async move {
        sleep(planned.at).await;
        begin(cluster, planned).await;
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

async fn begin(cluster: &Cluster, planned: &Planned) {
    match planned.injection {
        Injection::StorePath(node, fault) => cluster.store_proxies[node].set(fault),
        Injection::AllStorePaths(fault) => cluster.store_proxies.iter().for_each(|proxy| proxy.set(fault)),
        Injection::Store(fault) => cluster.store.set_fault(fault),
        Injection::Compaction => cluster.store.with_state(|state| state.compact()),
        Injection::EnginePath(engine, fault) => cluster.engine_proxies[engine].set(fault),
        Injection::Pause(node) => cluster.nodes[node].signal("STOP"),
        Injection::Kill(node) => cluster.nodes[node].restart(false).await,
        Injection::Stop(node) => {
            cluster.nodes[node].signal("CONT");
            cluster.nodes[node].restart(true).await;
        }
        Injection::KillAll => {
            for node in &cluster.nodes {
                node.restart(false).await;
            }
        }
        Injection::Change => {
            cluster.document.borrow_mut().version += 1;
            cluster.write_document();
        }
    }
    sleep(planned.lasts).await;
}

async fn end(cluster: &Cluster, planned: &Planned) {
    match planned.injection {
        Injection::StorePath(node, _) => cluster.store_proxies[node].set(Fault::None),
        Injection::AllStorePaths(_) => cluster
            .store_proxies
            .iter()
            .for_each(|proxy| proxy.set(Fault::None)),
        Injection::Store(_) => cluster.store.set_fault(StoreFault::None),
        Injection::EnginePath(engine, _) => cluster.engine_proxies[engine].set(Fault::None),
        Injection::Pause(node) => cluster.nodes[node].signal("CONT"),
        _ => {}
    }
}
