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
struct InterestRecord {
    used_at: Moment,
    requested_at: Option<Moment>,
    is_answered: bool,
}

/// The state of an interest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InterestState {
    /// The relay has published the replicas that serve it, and publishes every change.
    Answered,
    /// A request to the relay is due.
    RequestDue,
    /// The relay's answer is pending.
    Pending,
}

/// The interests of a node.
#[derive(Debug, Default)]
pub struct OwnInterests(HashMap<Interest, InterestRecord>);

impl OwnInterests {
    /// Records that a request uses an interest, and returns the state of the interest. If a
    /// request to the relay is due, it counts as sent.
    pub fn record_use(&mut self, interest: &Interest, now: Moment) -> InterestState {
        let record = self.0.entry(interest.clone()).or_insert(InterestRecord {
            used_at: now,
            requested_at: None,
            is_answered: false,
        });
        record.used_at = now;
        if record.is_answered {
            return InterestState::Answered;
        }
        if record
            .requested_at
            .is_some_and(|requested| now.since(requested) < RESEND_INTERVAL)
        {
            return InterestState::Pending;
        }
        record.requested_at = Some(now);
        InterestState::RequestDue
    }

    /// Records that the relay has published the replicas that serve an interest.
    pub fn record_answer(&mut self, interest: &Interest) {
        if let Some(record) = self.0.get_mut(interest) {
            record.is_answered = true;
        }
    }

    /// Returns all interests.
    pub fn iter(&self) -> impl Iterator<Item = &Interest> {
        self.0.keys()
    }

    /// Removes and returns the interests that have not been used for long.
    pub fn expire(&mut self, now: Moment) -> Vec<Interest> {
        let is_expired = |record: &InterestRecord| now.since(record.used_at) >= INTEREST_LIFETIME;
        let expired = self.0.iter().filter(|(_, record)| is_expired(record));
        let expired: Vec<Interest> = expired.map(|(interest, _)| interest.clone()).collect();
        expired.iter().for_each(|interest| {
            self.0.remove(interest);
        });
        expired
    }
}

/// Waits until this node knows the replicas that serve a request with these interests, for
/// a limited time. Returns at once if the node knows all replicas.
pub(crate) async fn wait_until_known<P: Platform>(node: &Node<P>, interests: &[Interest]) {
    let until = node.clock.now() + MAX_ANSWER_WAIT;
    let wait = async {
        loop {
            let changed = node.view_changed.notified();
            if check_known(node, interests) {
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
fn check_known<P: Platform>(node: &Node<P>, interests: &[Interest]) -> bool {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    let tree = &mut state.tree;
    if !tree.is_partial {
        return true;
    }
    let states: Vec<InterestState> = interests
        .iter()
        .map(|interest| tree.interests.record_use(interest, now))
        .collect();
    drop(state);
    let due = interests.iter().zip(&states);
    let due = due.filter(|(_, state)| **state == InterestState::RequestDue);
    let due: Vec<WireModel> = due
        .map(|(interest, _)| WireModel::from_interest(interest))
        .collect();
    if !due.is_empty() && follows_relay(node) {
        node.send_to_orderers(&ToOrderer::AddInterests(due.into()));
    }
    states.iter().all(|state| *state == InterestState::Answered)
}
