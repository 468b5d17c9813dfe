//! How far a node's view of the store reaches, and when it need not ask itself.
//!
//! One node (the orderer) watches the store and relays the changes. The others
//! apply them and call the store only when the relay has a gap or has not
//! proved for a while that it is complete.
//!
//! Safety: a node believes the relay for at most `proof_lifetime` after the last
//! proof, so nothing that the store acknowledged stays unknown to a node for
//! longer than that and one call. A change is applied only if it is newer than
//! the view, so a late relay never takes the view back.

use std::time::Duration;

use crate::time::Moment;

/// Settings of a followed view.
#[derive(Debug, Clone, Copy)]
pub struct FollowConfig {
    /// Time for which a proof of completeness is believed.
    pub proof_lifetime: Duration,
}

/// A span of the store's history that was relayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayedSpan {
    /// Revision after which the span begins.
    pub after: u64,
    /// Last revision that it covers.
    pub reached: u64,
    /// When the view that it leads to was complete.
    pub proven_at: Moment,
}

/// What a relayed span means for the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayOutcome {
    /// It goes on from the view: its newer changes are to be applied.
    Applied {
        /// True if the relay was not believed before.
        is_regained: bool,
    },
    /// Something lies between the view and the span: the store must be asked.
    Gap,
    /// The view is already past the span, which proves nothing.
    Behind,
}

/// Delay of a link beyond its least, from the times of the sender's clock in its
/// messages. The clocks need not agree, only run alike.
#[derive(Debug, Default)]
pub struct LinkDelay {
    /// Least difference so far between arrival and sending, in nanoseconds.
    least_offset_ns: Option<i128>,
}

impl LinkDelay {
    /// How much later than over the empty link a message came that was sent at
    /// `sent_at` of the sender's steady clock.
    pub fn excess(&mut self, sent_at: Duration, now: Moment) -> Duration {
        let received_at = now.since(Moment::default());
        let offset_ns = received_at.as_nanos() as i128 - sent_at.as_nanos() as i128;
        let least_ns = self
            .least_offset_ns
            .map_or(offset_ns, |least| least.min(offset_ns));
        self.least_offset_ns = Some(least_ns);
        Duration::from_nanos((offset_ns - least_ns) as u64)
    }
}

/// Revision that a view reaches, and the last proof that it is complete.
#[derive(Debug)]
pub struct FollowedView {
    config: FollowConfig,
    reached: u64,
    /// Last revision that any relayed span told of, applied or not.
    told: u64,
    proven_at: Option<Moment>,
}

impl FollowedView {
    /// A view of nothing.
    pub fn new(config: FollowConfig) -> Self {
        FollowedView {
            config,
            reached: 0,
            told: 0,
            proven_at: None,
        }
    }

    /// Revision up to which all changes are known.
    pub fn reached(&self) -> u64 {
        self.reached
    }

    /// Last revision that the store is known to have, by the relay.
    pub fn told(&self) -> u64 {
        self.told
    }

    /// True if a change at `revision` is not part of the view yet.
    pub fn is_new(&self, revision: u64) -> bool {
        revision > self.reached
    }

    /// Everything is read anew: until [`Self::advance`], every span is a gap.
    pub fn restart(&mut self) {
        self.reached = 0;
        self.proven_at = None;
    }

    /// The store itself told everything up to a revision.
    pub fn advance(&mut self, reached: u64) {
        self.reached = self.reached.max(reached);
    }

    /// Judges a relayed span. The caller applies the changes that [`Self::is_new`]
    /// holds for and then calls [`Self::advance`].
    pub fn judge(&mut self, span: RelayedSpan) -> RelayOutcome {
        self.told = self.told.max(span.reached);
        if span.after > self.reached {
            self.proven_at = None;
            return RelayOutcome::Gap;
        }
        if span.reached < self.reached {
            return RelayOutcome::Behind;
        }
        let was_believed = self.relay_covers(span.proven_at);
        self.proven_at = Some(self.proven_at.unwrap_or_default().max(span.proven_at));
        RelayOutcome::Applied {
            is_regained: !was_believed,
        }
    }

    /// Judges a view told whole, complete at `proven_at`; true if it is to be
    /// taken: it is no older than this one.
    pub fn judge_whole(&mut self, reached: u64, proven_at: Moment) -> bool {
        self.told = self.told.max(reached);
        if reached < self.reached {
            return false;
        }
        self.proven_at = Some(self.proven_at.unwrap_or_default().max(proven_at));
        true
    }

    /// True while the relay is believed to be complete.
    pub fn relay_covers(&self, now: Moment) -> bool {
        self.covered_until().is_some_and(|until| now < until)
    }

    /// When the relay stops being believed, if nothing more comes.
    pub fn covered_until(&self) -> Option<Moment> {
        self.proven_at
            .map(|proven_at| proven_at + self.config.proof_lifetime)
    }

    /// The relay ended.
    pub fn relay_lost(&mut self) {
        self.proven_at = None;
    }
}
