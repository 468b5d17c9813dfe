//! A relay's side of a link to one of its followers.

use std::io;
use std::rc::Rc;

use bytes::Bytes;
use nanoserde::{DeBin, SerBin};
use tokio::sync::broadcast::error::RecvError;
use tokio::time::{sleep_until, Instant};

use super::{is_direct, known_placements, linked_message, replay};
use crate::crash_reports;
use crate::link::PeerLink;
use crate::node::Node;
use crate::peer::{FromOrderer, ToOrderer};
use crate::peer_link::invalid_message;
use crate::ports::Platform;

/// Serves a follower until either side ends, or this node does not hear the
/// orderers by itself any more.
pub(crate) async fn serve_follower<P: Platform>(node: Rc<Node<P>>, mut link: PeerLink) -> io::Result<()> {
    if !is_direct(&node) {
        return Ok(());
    }
    let mut changes = node.followers.subscribe();
    link.send(linked_message(&node)).await?;
    link.send(known_placements(&node)).await?;
    let heartbeat = node.settings.pace.peer_heartbeat;
    let mut next_heartbeat = Instant::now() + heartbeat;
    while is_direct(&node) {
        tokio::select! {
            change = changes.recv() => match change {
                Ok(change) => {
                    link.send(change).await?;
                    next_heartbeat = Instant::now() + heartbeat;
                }
                // The follower fell behind: it connects anew and gets everything.
                Err(RecvError::Lagged(_) | RecvError::Closed) => return Ok(()),
            },
            frame = link.next() => {
                let Some(frame) = frame? else { return Ok(()) };
                let message = ToOrderer::deserialize_bin(&frame).map_err(invalid_message)?;
                if let Some(reply) = take_message(&node, message) {
                    link.send(Bytes::from(reply.serialize_bin())).await?;
                    link.send(known_placements(&node)).await?;
                }
            }
            () = sleep_until(next_heartbeat) => {
                link.send(Bytes::from(FromOrderer::Alive.serialize_bin())).await?;
                next_heartbeat = Instant::now() + heartbeat;
            }
        }
    }
    Ok(())
}

/// Takes a follower's message: its demand goes up with this node's own.
fn take_message<P: Platform>(node: &Node<P>, message: ToOrderer) -> Option<FromOrderer> {
    match message {
        ToOrderer::Demand(items) => {
            let demand = &mut node.state.borrow_mut().demand;
            items.iter().for_each(|item| demand.merge(item));
        }
        ToOrderer::Waiting(model) => {
            let now = node.clock.now();
            let is_due = node.state.borrow_mut().tree.takes_reminder(&model, now);
            if is_due {
                node.tell_orderers(&ToOrderer::Waiting(model));
            }
        }
        ToOrderer::Crashes(report) => crash_reports::adopt(node, report),
        ToOrderer::Replay(after) => return Some(replay(node, after)),
        // Only a link's first message.
        ToOrderer::Listen(_) | ToOrderer::Follow | ToOrderer::AskQuotas(_) => {}
    }
    None
}
