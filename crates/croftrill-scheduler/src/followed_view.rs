//! Tracks how far a node's view of the store reaches, and whether the node may rely
//! on its relay instead of reading the store.
//!
//! An orderer watches the store and relays the changes. The other nodes apply them
//! and call the store only if the relay has a gap or has not recently proved that it
//! is complete.
//!
//! Safety: a node trusts the relay for at most `proof_lifetime` after the last proof,
//! so a write that the store acknowledged stays unknown to a node for at most that
//! time plus one call. A change is applied only if it is newer than the view, so a
//! late message never moves the view backwards.

use std::time::Duration;

use crate::time::Moment;

/// Settings of a followed view.
#[derive(Debug, Clone, Copy)]
pub struct FollowConfig {
    /// Time for which a proof of completeness is valid.
    pub proof_lifetime: Duration,
}

/// A relayed span of the store's history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayedSpan {
    /// Revision after which the span starts.
    pub after: u64,
    /// Last revision that it covers.
    pub reached: u64,
    /// When the view that results from it was known to be complete.
    pub proven_at: Moment,
}

/// The effect of a relayed span on the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayOutcome {
    /// The span continues the view: the caller applies its newer changes.
    Applied {
        /// True if the relay was not trusted before.
        is_regained: bool,
    },
    /// Changes between the view and the span are missing: the store must be read.
    Gap,
    /// The view is already past the span, so the span proves nothing.
    Behind,
}

/// Measures the delay of a link in excess of its minimum, from the sender's timestamps
/// in its messages. The clocks of both sides may differ, but must run at the same rate.
#[derive(Debug, Default)]
pub struct LinkDelay {
    /// Minimum difference so far between the time of receipt and the time of sending,
    /// in nanoseconds.
    min_offset_ns: Option<i128>,
}

impl LinkDelay {
    /// Returns the excess delay of a message that was sent at `sent_at` by the sender's
    /// monotonic clock and received at `now`.
    pub fn excess(&mut self, sent_at: Duration, now: Moment) -> Duration {
        let received_at = now.since(Moment::default());
        let offset_ns = received_at.as_nanos() as i128 - sent_at.as_nanos() as i128;
        let min_ns = self.min_offset_ns.map_or(offset_ns, |min| min.min(offset_ns));
        self.min_offset_ns = Some(min_ns);
        Duration::from_nanos((offset_ns - min_ns) as u64)
    }
}

/// The revision that a view has reached, and the last proof that it is complete.
#[derive(Debug)]
pub struct FollowedView {
    config: FollowConfig,
    reached: u64,
    /// Highest revision that any relayed span covered, applied or not.
    announced: u64,
    proven_at: Option<Moment>,
}

impl FollowedView {
    /// Creates an empty view.
    pub fn new(config: FollowConfig) -> Self {
        FollowedView {
            config,
            reached: 0,
            announced: 0,
            proven_at: None,
        }
    }

    /// Returns the revision up to which all changes are known.
    pub fn reached(&self) -> u64 {
        self.reached
    }

    /// Returns the highest revision of the store that the relay has announced.
    pub fn announced(&self) -> u64 {
        self.announced
    }

    /// Returns true if a change at `revision` is not part of the view yet.
    pub fn is_new(&self, revision: u64) -> bool {
        revision > self.reached
    }

    /// Resets the view before everything is read again: until [`Self::advance`], every
    /// span is a gap.
    pub fn reset(&mut self) {
        self.reached = 0;
        self.proven_at = None;
    }

    /// Records that all changes up to a revision have been read from the store or applied
    /// from a span.
    pub fn advance(&mut self, reached: u64) {
        self.reached = self.reached.max(reached);
    }

    /// Records a relayed span and returns its effect. If it is applied, the caller applies
    /// the changes for which [`Self::is_new`] is true and then calls [`Self::advance`].
    pub fn accept_span(&mut self, span: RelayedSpan) -> RelayOutcome {
        self.announced = self.announced.max(span.reached);
        if span.after > self.reached {
            self.proven_at = None;
            return RelayOutcome::Gap;
        }
        if span.reached < self.reached {
            return RelayOutcome::Behind;
        }
        let was_trusted = self.trusts_relay(span.proven_at);
        self.proven_at = Some(self.proven_at.unwrap_or_default().max(span.proven_at));
        RelayOutcome::Applied {
            is_regained: !was_trusted,
        }
    }

    /// Records a full view that was complete at `proven_at`. Returns true if the caller
    /// should apply it, that is, if it is no older than this view.
    pub fn accept_full_view(&mut self, reached: u64, proven_at: Moment) -> bool {
        self.announced = self.announced.max(reached);
        if reached < self.reached {
            return false;
        }
        self.proven_at = Some(self.proven_at.unwrap_or_default().max(proven_at));
        true
    }

    /// Returns true while the proof that the relay is complete is valid.
    pub fn trusts_relay(&self, now: Moment) -> bool {
        self.relay_trusted_until().is_some_and(|until| now < until)
    }

    /// Returns when the relay stops being trusted if no further span arrives.
    pub fn relay_trusted_until(&self) -> Option<Moment> {
        self.proven_at
            .map(|proven_at| proven_at + self.config.proof_lifetime)
    }

    /// Records that the relay was lost.
    pub fn relay_lost(&mut self) {
        self.proven_at = None;
    }
}
