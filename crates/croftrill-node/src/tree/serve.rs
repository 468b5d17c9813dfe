//! Serves a follower over its link to a relay.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::relay_tree::TreeRole;
use nanoserde::SerBin;
use tokio::sync::broadcast::error::RecvError;
use tokio::time::{sleep_until, Instant};

use super::follower::{Follower, RelayedUpdate};
use super::{is_direct, linked_message, role_of};
use crate::configuration::link::ConfigurationLink;
use crate::crash_reports;
use crate::link::PeerLink;
use crate::load_updates::{self, LoadFollower};
use crate::node::Node;
use crate::peer::{FromOrderer, ToOrderer, WireFollow};
use crate::ports::Platform;
use crate::wire::decode;

/// Time between two checks of a relay for a view to publish.
const VIEW_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Serves a follower until either side closes the link, or this node is no longer linked
/// to the orderers itself.
///
/// A relay that has no view itself yet keeps the link open. This happens when all nodes
/// start at the same time, and its followers have no better source then.
pub(crate) async fn serve_follower<P: Platform>(
    node: Rc<Node<P>>,
    mut link: PeerLink,
    follow: WireFollow,
) -> io::Result<()> {
    if !is_direct(&node) {
        record_relay_request(&node);
        return Ok(());
    }
    let mut updates = node.followers.subscribe();
    link.send(linked_message(&node)).await?;
    let mut follower: Option<Follower> = None;
    let mut loads = LoadFollower::default();
    let configurations = ConfigurationLink::open(&node, false);
    let heartbeat = node.settings.pace.peer_heartbeat;
    let mut next_heartbeat = Instant::now() + heartbeat;
    while is_direct(&node) {
        if follower.is_none() {
            follower = start_follower(&node, &follow, &mut link, configurations.is_ready()).await?;
        }
        if follower
            .as_ref()
            .is_some_and(|follower| follower.is_outgrown(&node))
        {
            return Ok(());
        }
        let next_wakeup = match follower {
            Some(_) => next_heartbeat,
            None => next_heartbeat.min(Instant::now() + VIEW_CHECK_INTERVAL),
        };
        tokio::select! {
            update = updates.recv() => match update {
                Ok(update) => {
                    let messages = match (&mut follower, update) {
                        (Some(follower), update) => {
                            node.step_times.time("news for followers", || follower.messages_for(&node, &update))
                        }
                        (None, RelayedUpdate::Common(message)) => vec![message],
                        // The follower receives the current state when it is started.
                        (None, _) => Vec::new(),
                    };
                    if !messages.is_empty() {
                        next_heartbeat = Instant::now() + heartbeat;
                    }
                    send_all(&mut link, messages).await?;
                }
                // The follower fell behind: it reconnects and receives everything again.
                Err(RecvError::Lagged(_) | RecvError::Closed) => return Ok(()),
            },
            load_update = loads.next() => {
                if let Some(message) = follower.as_ref().and_then(|follower| follower.load_message(&load_update)) {
                    load_updates::count_sent_bytes(&node, &message);
                    link.send(message).await?;
                }
            }
            message = configurations.next() => {
                link.send(FromOrderer::Configuration(message).encode()).await?;
                next_heartbeat = Instant::now() + heartbeat;
            }
            frame = link.next() => {
                let Some(frame) = frame? else { return Ok(()) };
                let message = decode::<ToOrderer>(&frame)?;
                if let ToOrderer::Configuration(message) = message {
                    let was_ready = configurations.is_ready();
                    configurations.receive(message);
                    let Some(follower) = follower.as_mut().filter(|_| !was_ready) else {
                        continue;
                    };
                    follower.set_exchanging(true);
                    let versions = follower.versions_message(&node);
                    send_all(&mut link, versions.into_iter().collect()).await?;
                    continue;
                }
                if let ToOrderer::Loads(load_update) = &message {
                    loads.receive(&node, load_update);
                }
                let replies = node
                    .step_times
                    .time("message of a follower", || handle_message(&node, follower.as_mut(), message));
                send_all(&mut link, replies).await?;
            }
            () = sleep_until(next_wakeup) => {
                if Instant::now() >= next_heartbeat {
                    link.send(Bytes::from(FromOrderer::Alive.serialize_bin())).await?;
                    next_heartbeat = Instant::now() + heartbeat;
                }
            }
        }
    }
    Ok(())
}

/// Records that another node tried to follow this node while it follows a relay itself. If
/// this node is a relay by its own list of nodes, it leaves that relay and can be followed
/// from then on. It does so only on request, as a relay reads the whole store.
fn record_relay_request<P: Platform>(node: &Node<P>) {
    let mut state = node.state.borrow_mut();
    if role_of(node, &state.members) != TreeRole::Relay {
        return;
    }
    tracing::info!(target: "peer", event = "leaving the relay to become a relay");
    state.tree.is_relay_requested = true;
    drop(state);
    node.relay_changed.notify_waiters();
}

/// Sends a new follower all that it needs, and returns its state; `None` if this node has
/// no suitable view yet.
async fn start_follower<P: Platform>(
    node: &Node<P>,
    follow: &WireFollow,
    link: &mut PeerLink,
    exchanges_configurations: bool,
) -> io::Result<Option<Follower>> {
    let mut follower = Follower::new(node, follow);
    follower.set_exchanging(exchanges_configurations);
    if !follower.can_start(node) {
        return Ok(None);
    }
    link.send(FromOrderer::Scope(follower.scope()).encode()).await?;
    let messages = node
        .step_times
        .time("view for a follower", || follower.initial_messages(node));
    send_all(link, messages).await?;
    Ok(Some(follower))
}

async fn send_all(link: &mut PeerLink, messages: Vec<Bytes>) -> io::Result<()> {
    for message in messages {
        link.send(message).await?;
    }
    Ok(())
}

/// Handles a message of a follower and returns the replies. The follower's demand is added
/// to this node's own.
fn handle_message<P: Platform>(
    node: &Node<P>,
    follower: Option<&mut Follower>,
    message: ToOrderer,
) -> Vec<Bytes> {
    match message {
        ToOrderer::Demand(items) => {
            let demand = &mut node.state.borrow_mut().demand;
            items.iter().for_each(|item| demand.merge(item));
        }
        ToOrderer::Waiting(model) => {
            node.holdings_needed.notify_one();
            let now = node.clock.now();
            let is_due = node.state.borrow_mut().tree.should_remind(&model, now);
            if is_due {
                node.send_to_orderers(&ToOrderer::Waiting(model));
            }
        }
        ToOrderer::WaitingAt(wait) => {
            let now = node.clock.now();
            let is_due = node.state.borrow_mut().tree.should_remind_of_version(&wait, now);
            if is_due {
                node.send_to_orderers(&ToOrderer::WaitingAt(wait));
            }
        }
        ToOrderer::Crashes(report) => crash_reports::adopt(node, &report.into_report()),
        ToOrderer::CrashParts(report) => crash_reports::adopt_parts(node, report),
        ToOrderer::Replay(after) => {
            return follower.map_or_else(Vec::new, |follower| follower.view_since(node, after));
        }
        ToOrderer::AddInterests(interests) => {
            return follower.map_or_else(Vec::new, |follower| follower.add_interests(node, &interests));
        }
        ToOrderer::RemoveInterests(interests) => {
            return follower.map_or_else(Vec::new, |follower| {
                vec![follower.remove_interests(node, &interests)]
            });
        }
        // Valid only as the first message of a link.
        ToOrderer::Listen(_)
        | ToOrderer::Follow(_)
        | ToOrderer::ListenToKeeper(_)
        | ToOrderer::Connect(_)
        | ToOrderer::StreamVersion(_) => {}
        // Handled by the caller.
        ToOrderer::Loads(_) | ToOrderer::Configuration(_) => {}
    }
    Vec::new()
}
