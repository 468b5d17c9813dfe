//! What a node's own requests ask for, where its relay tells by interests.

use std::collections::HashMap;
use std::time::Duration;

use croftrill_scheduler::interest::Interest;
use croftrill_scheduler::time::Moment;

use super::follows_relay;
use crate::node::Node;
use crate::peer::{ToOrderer, WireModel};
use crate::ports::Platform;

/// Longest wait of a request for what its relay tells of the replicas that it asks for:
/// a hundred times the usual one, within a zone.
const LONGEST_WANT: Duration = Duration::from_millis(250);

/// Time without a request after which an interest is given up: a few times what callers
/// wait between two requests for one model, so that news of a model that is still in use
/// need not be fetched anew, a round trip of about a millisecond in a zone.
const KEPT_FOR: Duration = Duration::from_secs(60);
/// Time after which an interest that was not answered is told again.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(200);

#[derive(Debug, Clone, Copy)]
struct Want {
    used_at: Moment,
    asked_at: Option<Moment>,
    is_answered: bool,
}

/// What is known of an interest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WantState {
    /// The relay told what serves it, and tells every change.
    Answered,
    /// The relay is to be asked now.
    ToBeAsked,
    /// Its answer is awaited.
    Awaited,
}

/// A node's interests.
#[derive(Debug, Default)]
pub struct Wants(HashMap<Interest, Want>);

impl Wants {
    /// A request asks for something.
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
            .is_some_and(|asked| now.since(asked) < ASK_AGAIN_AFTER)
        {
            return WantState::Awaited;
        }
        want.asked_at = Some(now);
        WantState::ToBeAsked
    }

    /// The relay told what serves an interest.
    pub fn answered(&mut self, interest: &Interest) {
        if let Some(want) = self.0.get_mut(interest) {
            want.is_answered = true;
        }
    }

    /// All of them.
    pub fn all(&self) -> impl Iterator<Item = &Interest> {
        self.0.keys()
    }

    /// Gives up what was not asked for for long; answers it.
    pub fn expire(&mut self, now: Moment) -> Vec<Interest> {
        let is_over = |want: &Want| now.since(want.used_at) >= KEPT_FOR;
        let over = self.0.iter().filter(|(_, want)| is_over(want));
        let over: Vec<Interest> = over.map(|(interest, _)| interest.clone()).collect();
        over.iter().for_each(|interest| {
            self.0.remove(interest);
        });
        over
    }
}

/// A request asks for this: where this node knows only some replicas, it waits until
/// those are known that serve it.
pub(crate) async fn know<P: Platform>(node: &Node<P>, interests: &[Interest]) {
    let until = node.clock.now() + LONGEST_WANT;
    let wait = async {
        loop {
            let changed = node.view_changed.notified();
            if is_known(node, interests) {
                return;
            }
            changed.await;
        }
    };
    // The relay may be away; what is known already serves meanwhile.
    let _ = node.clock.timeout_at(until, wait).await;
}

/// True if nothing is to be waited for; asks the relay where that is due.
fn is_known<P: Platform>(node: &Node<P>, interests: &[Interest]) -> bool {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    let tree = &mut state.tree;
    if !tree.is_narrow {
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
