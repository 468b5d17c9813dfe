//! The interests of a node's own requests, by which its relay chooses the replicas that it
//! publishes to the node.

use std::collections::HashMap;
use std::time::Duration;

use croftrill_scheduler::interest::Interest;
use croftrill_scheduler::time::Moment;

use super::follows_relay;
use crate::node::Node;
use crate::peer::{ToOrderer, WireModel};
use crate::ports::Platform;

/// Maximum wait of a request for its relay to publish the replicas that serve it: a hundred
/// times the usual wait within a zone.
const MAX_ANSWER_WAIT: Duration = Duration::from_millis(250);

/// Time without a request after which an interest is dropped: a few times the pause of
/// callers between two requests for one model. Interest in a model that is still in use
/// thus need not be sent again, which takes a round trip of about a millisecond in a zone.
const INTEREST_LIFETIME: Duration = Duration::from_secs(60);
/// Time after which an interest that was not answered is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Clone, Copy)]
struct Want {
    used_at: Moment,
    asked_at: Option<Moment>,
    is_answered: bool,
}

/// The state of an interest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WantState {
    /// The relay has published the replicas that serve it, and publishes every change.
    Answered,
    /// A request to the relay is due.
    ToBeAsked,
    /// The relay's answer is pending.
    Awaited,
}

/// The interests of a node.
#[derive(Debug, Default)]
pub struct Wants(HashMap<Interest, Want>);

impl Wants {
    /// Records that a request uses an interest, and returns the state of the interest. If a
    /// request to the relay is due, it counts as sent.
    pub fn used(&mut self, interest: &Interest, now: Moment) -> WantState {
        let want = self.0.entry(interest.clone()).or_insert(Want {
            used_at: now,
            asked_at: None,
            is_answered: false,
        });
        want.used_at = now;
        if want.is_answered {
            return WantState::Answered;
        }
        if want
            .asked_at
            .is_some_and(|asked| now.since(asked) < RESEND_INTERVAL)
        {
            return WantState::Awaited;
        }
        want.asked_at = Some(now);
        WantState::ToBeAsked
    }

    /// Records that the relay has published the replicas that serve an interest.
    pub fn answered(&mut self, interest: &Interest) {
        if let Some(want) = self.0.get_mut(interest) {
            want.is_answered = true;
        }
    }

    /// Returns all interests.
    pub fn all(&self) -> impl Iterator<Item = &Interest> {
        self.0.keys()
    }

    /// Removes and returns the interests that have not been used for long.
    pub fn expire(&mut self, now: Moment) -> Vec<Interest> {
        let is_over = |want: &Want| now.since(want.used_at) >= INTEREST_LIFETIME;
        let over = self.0.iter().filter(|(_, want)| is_over(want));
        let over: Vec<Interest> = over.map(|(interest, _)| interest.clone()).collect();
        over.iter().for_each(|interest| {
            self.0.remove(interest);
        });
        over
    }
}

/// Waits until this node knows the replicas that serve a request with these interests, for
/// a limited time. Returns at once if the node knows all replicas.
pub(crate) async fn know<P: Platform>(node: &Node<P>, interests: &[Interest]) {
    let until = node.clock.now() + MAX_ANSWER_WAIT;
    let wait = async {
        loop {
            let changed = node.view_changed.notified();
            if is_known(node, interests) {
                return;
            }
            changed.await;
        }
    };
    // If the relay is unreachable, the request uses the replicas that are known already.
    let _ = node.clock.timeout_at(until, wait).await;
}

/// Returns true if the node knows the replicas that serve these interests. Sends to the
/// relay those interests for which a request is due.
fn is_known<P: Platform>(node: &Node<P>, interests: &[Interest]) -> bool {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    let tree = &mut state.tree;
    if !tree.is_partial {
        return true;
    }
    let states: Vec<WantState> = interests
        .iter()
        .map(|interest| tree.wants.used(interest, now))
        .collect();
    drop(state);
    let asked = interests.iter().zip(&states);
    let asked = asked.filter(|(_, state)| **state == WantState::ToBeAsked);
    let asked: Vec<WireModel> = asked
        .map(|(interest, _)| WireModel::from_interest(interest))
        .collect();
    if !asked.is_empty() && follows_relay(node) {
        node.tell_orderers(&ToOrderer::Want(asked.into()));
    }
    states.iter().all(|state| *state == WantState::Answered)
}
