//! A relay's side of a link to one of its followers.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::relay_tree::TreeRole;
use nanoserde::SerBin;
use tokio::sync::broadcast::error::RecvError;
use tokio::time::{sleep_until, Instant};

use super::follower::{Follower, FollowerNews};
use super::{is_direct, linked_message, place_of};
use crate::crash_reports;
use crate::link::PeerLink;
use crate::load_updates::{self, LoadFollower};
use crate::node::Node;
use crate::peer::{FromOrderer, ToOrderer, WireFollow};
use crate::ports::Platform;
use crate::wire::decode;

/// Time between two looks of a relay at whether it has a view to pass on.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Serves a follower until either side ends, or this node does not hear the
/// orderers by itself any more.
///
/// A relay that has no view itself yet keeps the link: as all start together, its
/// followers could do nothing better than to wait.
pub(crate) async fn serve_follower<P: Platform>(
    node: Rc<Node<P>>,
    mut link: PeerLink,
    follow: WireFollow,
) -> io::Result<()> {
    if !is_direct(&node) {
        called_upon(&node);
        return Ok(());
    }
    let mut news = node.followers.subscribe();
    link.send(linked_message(&node)).await?;
    let mut follower: Option<Follower> = None;
    let mut loads = LoadFollower::default();
    let heartbeat = node.settings.pace.peer_heartbeat;
    let mut next_heartbeat = Instant::now() + heartbeat;
    while is_direct(&node) {
        if follower.is_none() {
            follower = begin(&node, &follow, &mut link).await?;
        }
        if follower
            .as_ref()
            .is_some_and(|follower| follower.is_outgrown(&node))
        {
            return Ok(());
        }
        let next_look = match follower {
            Some(_) => next_heartbeat,
            None => next_heartbeat.min(Instant::now() + LOOK_EVERY),
        };
        tokio::select! {
            news = news.recv() => match news {
                Ok(news) => {
                    let messages = match (&mut follower, news) {
                        (Some(follower), news) => {
                            node.step_times.time("news for followers", || follower.news(&node, &news))
                        }
                        (None, FollowerNews::Common(message)) => vec![message],
                        // It is told all that is known as it begins.
                        (None, _) => Vec::new(),
                    };
                    if !messages.is_empty() {
                        next_heartbeat = Instant::now() + heartbeat;
                    }
                    send_all(&mut link, messages).await?;
                }
                // The follower fell behind: it connects anew and gets everything.
                Err(RecvError::Lagged(_) | RecvError::Closed) => return Ok(()),
            },
            told = loads.next() => {
                if let Some(message) = follower.as_ref().and_then(|follower| follower.loads(&told)) {
                    load_updates::count_sent_bytes(&node, &message);
                    link.send(message).await?;
                }
            }
            frame = link.next() => {
                let Some(frame) = frame? else { return Ok(()) };
                let message = decode::<ToOrderer>(&frame)?;
                if let ToOrderer::Loads(told) = &message {
                    loads.receive(&node, told);
                }
                let replies = node
                    .step_times
                    .time("message of a follower", || take_message(&node, follower.as_mut(), message));
                send_all(&mut link, replies).await?;
            }
            () = sleep_until(next_look) => {
                if Instant::now() >= next_heartbeat {
                    link.send(Bytes::from(FromOrderer::Alive.serialize_bin())).await?;
                    next_heartbeat = Instant::now() + heartbeat;
                }
            }
        }
    }
    Ok(())
}

/// Somebody takes this node for a relay while it follows one itself. If its own list says
/// the same, it has to leave that one, and can be followed from then on; until somebody
/// comes it need not, as a relay reads all that holds.
fn called_upon<P: Platform>(node: &Node<P>) {
    let mut state = node.state.borrow_mut();
    if place_of(node, &state.members) != TreeRole::Relay {
        return;
    }
    tracing::info!(target: "peer", event = "leaving a relay to be one");
    state.tree.is_called_upon = true;
    drop(state);
    node.relay_changed.notify_waiters();
}

/// Tells a follower all that it needs, if this node can yet.
async fn begin<P: Platform>(
    node: &Node<P>,
    follow: &WireFollow,
    link: &mut PeerLink,
) -> io::Result<Option<Follower>> {
    let mut follower = Follower::new(node, follow);
    if !follower.can_begin(node) {
        return Ok(None);
    }
    link.send(FromOrderer::Scope(follower.scope()).encode()).await?;
    let beginning = node
        .step_times
        .time("view for a follower", || follower.beginning(node));
    send_all(link, beginning).await?;
    Ok(Some(follower))
}

async fn send_all(link: &mut PeerLink, messages: Vec<Bytes>) -> io::Result<()> {
    for message in messages {
        link.send(message).await?;
    }
    Ok(())
}

/// Takes a follower's message: its demand goes up with this node's own.
fn take_message<P: Platform>(
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
            node.holdings_wanted.notify_one();
            let now = node.clock.now();
            let is_due = node.state.borrow_mut().tree.takes_reminder(&model, now);
            if is_due {
                node.tell_orderers(&ToOrderer::Waiting(model));
            }
        }
        ToOrderer::Crashes(report) => crash_reports::adopt(node, report),
        ToOrderer::Replay(after) => {
            return follower.map_or_else(Vec::new, |follower| follower.view_since(node, after));
        }
        ToOrderer::Want(interests) => {
            return follower.map_or_else(Vec::new, |follower| follower.want(node, &interests));
        }
        ToOrderer::Forget(interests) => {
            return follower.map_or_else(Vec::new, |follower| vec![follower.forget(node, &interests)]);
        }
        // Only a link's first message.
        ToOrderer::Listen(_) | ToOrderer::Follow(_) | ToOrderer::AskQuotas(_) => {}
        // Taken by the link itself.
        ToOrderer::Loads(_) => {}
    }
    Vec::new()
}
