//! What a node's own requests ask for, where its relay tells by interests.

use std::collections::HashMap;
use std::time::Duration;

use croftrill_scheduler::interest::Interest;
use croftrill_scheduler::time::Moment;

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
