//! Who may give orders: a lease on one key, judged by the steady clock.
//!
//! Safety: a holder acts only while `now < valid_until`, where `valid_until` is
//! counted from when its last successful renewal was *sent*. The store counts
//! the lease from when that call arrived, which is never earlier. So another
//! node can take the lease only after this one has stopped acting. A new holder
//! then waits for `quiet_period`, within which the former's orders may still
//! arrive or count as turns.

use std::time::Duration;

use crate::time::Moment;

/// Bounds of the lease.
#[derive(Debug, Clone, Copy)]
pub struct LeaseConfig {
    /// Time to live that the store was asked for.
    pub time_to_live: Duration,
    /// Part of it that is given up for imprecise timers.
    pub margin: Duration,
    /// Time between renewals.
    pub renew_every: Duration,
    /// Time after an acquisition before the first order.
    pub quiet_period: Duration,
}

/// The state of the orderer's lease at one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    NotHeld,
    Held {
        fencing_token: u64,
        lease: u64,
        valid_until: Moment,
        orders_from: Moment,
    },
}

/// Keeps the orderer's lease of one node.
#[derive(Debug)]
pub struct OrdererLease {
    config: LeaseConfig,
    state: State,
}

impl OrdererLease {
    /// A lease that is not held.
    pub fn new(config: LeaseConfig) -> Self {
        OrdererLease {
            config,
            state: State::NotHeld,
        }
    }

    /// The key was created under `lease`; `asked_at` is when the lease was asked for.
    pub fn acquired(&mut self, lease: u64, fencing_token: u64, asked_at: Moment, now: Moment) {
        let valid_until = asked_at + self.usable();
        let orders_from = now + self.config.quiet_period;
        self.state = State::Held {
            fencing_token,
            lease,
            valid_until,
            orders_from,
        };
    }

    /// A renewal sent at `asked_at` succeeded.
    pub fn renewed(&mut self, asked_at: Moment) {
        let usable = self.usable();
        if let State::Held { valid_until, .. } = &mut self.state {
            *valid_until = (*valid_until).max(asked_at + usable);
        }
    }

    /// The lease is gone: over at the store, released, or fenced by a successor.
    pub fn lost(&mut self) {
        self.state = State::NotHeld;
    }

    /// The store's lease to renew, if this node believes that it holds one.
    pub fn lease(&self) -> Option<u64> {
        match self.state {
            State::NotHeld => None,
            State::Held { lease, .. } => Some(lease),
        }
    }

    /// The fencing token, if this node may act as the orderer at `now`.
    /// Before the quiet period is over it may plan and listen, not order.
    pub fn token(&self, now: Moment) -> Option<u64> {
        match self.state {
            State::Held {
                fencing_token,
                valid_until,
                ..
            } if now < valid_until => Some(fencing_token),
            _ => None,
        }
    }

    /// The fencing token, if an order may be sent at `now`.
    pub fn order_token(&self, now: Moment) -> Option<u64> {
        match self.state {
            State::Held { orders_from, .. } if now < orders_from => None,
            _ => self.token(now),
        }
    }

    /// Forgets a lease whose validity is over; true if there was one.
    pub fn expire(&mut self, now: Moment) -> bool {
        let over = matches!(self.state, State::Held { valid_until, .. } if now >= valid_until);
        if over {
            self.lost();
        }
        over
    }

    /// Time between renewals.
    pub fn renew_every(&self) -> Duration {
        self.config.renew_every
    }

    fn usable(&self) -> Duration {
        self.config.time_to_live.saturating_sub(self.config.margin)
    }
}
