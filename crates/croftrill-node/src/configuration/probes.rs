//! Links to random nodes, for a node that may have missed a configuration together with all nodes
//! that it is linked to.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::configuration_exchange::{ProbeTargets, PROBE_INTERVAL, PROBE_LIFETIME};
use nanoserde::SerBin;
use rand::seq::SliceRandom;
use rand::Rng;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};

use super::link::ConfigurationLink;
use super::store_contact;
use crate::link::PeerLink;
use crate::membership::MemberEntry;
use crate::node::{Lifecycle, Node};
use crate::peer::{FromOrderer, ToOrderer, WireConfiguration};
use crate::peer_link::silence_limit;
use crate::ports::Platform;
use crate::wire::decode;

/// Time after which a node closes a link that another one opened: the other one closes it before.
const MAX_SERVED_TIME: Duration = Duration::from_secs(10);
/// Maximum number of such links that a node serves: ten times as many as it has on average while
/// all nodes open some.
const MAX_SERVED: usize = 64;

/// Opens links to other nodes while this node may have missed a configuration, until the process
/// ends.
pub(crate) async fn probe_others<P: Platform>(node: Rc<Node<P>>) {
    let targets = Rc::new(RefCell::new(ProbeTargets::default()));
    loop {
        let share = rand::rng().random_range(0.75..1.0);
        sleep(PROBE_INTERVAL.mul_f64(share)).await;
        let now = node.clock.now();
        if node.configuration().is_none() || !store_contact(&node).needs_probes(now) {
            targets.borrow_mut().clear();
            continue;
        }
        let chosen = targets.borrow_mut().choose(others(&node).into_iter(), now);
        for address in chosen {
            spawn_local(probe(node.clone(), address, targets.clone()));
        }
    }
}

/// Returns the other nodes that exchange configurations, in random order.
fn others<P: Platform>(node: &Node<P>) -> Vec<SocketAddr> {
    let own = &node.settings.identity.name;
    let state = node.state.borrow();
    let others = state.members.exchanging_nodes();
    let others = others.filter(|member| member.name != *own);
    let mut addresses: Vec<SocketAddr> = others.filter_map(MemberEntry::peer_address).collect();
    addresses.shuffle(&mut rand::rng());
    addresses
}

async fn probe<P: Platform>(
    node: Rc<Node<P>>,
    address: SocketAddr,
    targets: Rc<RefCell<ProbeTargets<SocketAddr>>>,
) {
    let ended = match PeerLink::connect(address, silence_limit(&node)).await {
        Ok(link) => {
            targets.borrow_mut().record_connection();
            exchange_for(&node, link).await
        }
        Err(error) => Err(error),
    };
    if let Err(error) = ended {
        tracing::debug!(target: "directory", event = "link for the configuration ended", %address, %error);
    }
}

/// Exchanges configurations over a link for its lifetime, and longer while one arrives.
async fn exchange_for<P: Platform>(node: &Node<P>, mut link: PeerLink) -> io::Result<()> {
    let exchange = ConfigurationLink::open(node, true);
    let until = Instant::now() + PROBE_LIFETIME;
    loop {
        tokio::select! {
            message = exchange.next() => {
                link.send(Bytes::from(ToOrderer::Configuration(message).serialize_bin())).await?;
            }
            frame = link.next() => {
                let Some(frame) = frame? else { return Ok(()) };
                if let FromOrderer::Configuration(message) = decode(&frame)? {
                    exchange.receive(message);
                }
            }
            () = sleep_until(until), if !exchange.is_fetching() => return Ok(()),
        }
    }
}

/// Counts a served link until dropped.
struct ServedLink<'a>(&'a Cell<usize>);

impl<'a> ServedLink<'a> {
    fn begin(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        ServedLink(count)
    }
}

impl Drop for ServedLink<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Serves a link that another node opened for this purpose, which began with `first`.
pub(crate) async fn serve<P: Platform>(
    node: &Node<P>,
    mut link: PeerLink,
    first: WireConfiguration,
) -> io::Result<()> {
    if node.served_probes.get() >= MAX_SERVED || node.lifecycle() == Lifecycle::Stopping {
        return Ok(());
    }
    let _served = ServedLink::begin(&node.served_probes);
    let exchange = ConfigurationLink::open(node, true);
    exchange.receive(first);
    let until = Instant::now() + MAX_SERVED_TIME;
    loop {
        tokio::select! {
            message = exchange.next() => link.send(FromOrderer::Configuration(message).encode()).await?,
            frame = link.next() => {
                let Some(frame) = frame? else { return Ok(()) };
                if let ToOrderer::Configuration(message) = decode(&frame)? {
                    exchange.receive(message);
                }
            }
            () = sleep_until(until) => return Ok(()),
        }
    }
}
