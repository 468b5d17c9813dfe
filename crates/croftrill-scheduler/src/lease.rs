//! The orderer's lease: a leased key in the store, with validity judged by the
//! node's own clock.
//!
//! Safety: a holder acts only while `now < valid_until`, where `valid_until` is
//! counted from when its last successful renewal was *sent*. The store counts
//! the lease from the arrival of that call, which is never earlier. So another
//! node can acquire the lease only after this one has stopped acting.
//!
//! The store also records which machine was last allowed to order; a machine
//! records itself before its first order. A term starts in one of four ways
//! ([`TermStart`]):
//!
//! - The store has a settled record of this machine: the machine continues at
//!   once, as no other machine can have ordered since. It rewrites its record in
//!   the same write as the key, which invalidates any earlier resignation of its own.
//! - The predecessor handed over ([`crate::hand_over`]): the machine records itself
//!   at once (or once all orders of its predecessor are known) and waits only at
//!   the replicas that the predecessor named. Its record stays unsettled until
//!   the last of these waits ends, because a restart would lose them.
//! - The store was restored from an older copy ([`TermStart::AfterRestore`]): the
//!   machine waits for a full lease and a `quiet_period`.
//! - Otherwise it waits for `quiet_period`, within which orders of the previous
//!   orderer may still arrive, and records itself only afterwards: a machine
//!   that restarts within its quiet period must not find itself recorded.

use std::time::Duration;

use crate::time::Moment;

/// Timing of the lease.
#[derive(Debug, Clone, Copy)]
pub struct LeaseConfig {
    /// Time to live that is requested from the store.
    pub time_to_live: Duration,
    /// Safety margin for imprecise timers, subtracted from the time to live.
    pub margin: Duration,
    /// Time between renewals.
    pub renew_every: Duration,
    /// Delay from an acquisition to the first order if another machine could order before.
    pub quiet_period: Duration,
}

/// How a term starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TermStart {
    /// This machine is recorded as the last that could order, and its record was
    /// rewritten together with the key.
    Continues,
    /// All earlier orders that still count are known.
    HandedOver {
        /// When this machine may start ordering at replicas without a known hold.
        free_from: Moment,
        /// When the last hold of a predecessor's order ends.
        settled_from: Moment,
    },
    /// Another machine may have ordered until the key was acquired.
    AfterUnknown,
    /// The store was restored from an older copy: another machine may order until the
    /// lease that the store has lost expires by that machine's clock.
    AfterRestore,
}

/// What the store's record says about a machine's right to order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordKind {
    /// The machine may order, but orders of other machines still hold some replicas.
    Unsettled,
    /// No other machine's orders hold any replica.
    Settled,
}

/// A record as written in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Record {
    /// Its kind.
    pub kind: RecordKind,
    /// The store revision at which it was written.
    pub revision: u64,
}

/// The state of a lease that is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Held {
    fencing_token: u64,
    lease: u64,
    valid_until: Moment,
    quiet_until: Moment,
    settled_from: Moment,
    record: Option<Record>,
}

/// One node's view of the orderer's lease of a shard.
#[derive(Debug)]
pub struct OrdererLease {
    config: LeaseConfig,
    held: Option<Held>,
}

impl OrdererLease {
    /// Creates a lease that is not held.
    pub fn new(config: LeaseConfig) -> Self {
        OrdererLease { config, held: None }
    }

    /// Records that the key was created under `lease`, which was requested at
    /// `asked_at`. The key's first revision is the fencing token; if this machine
    /// continues, it is also the revision of its record.
    pub fn acquired(
        &mut self,
        lease: u64,
        fencing_token: u64,
        asked_at: Moment,
        now: Moment,
        start: TermStart,
    ) {
        let (quiet_until, settled_from) = match start {
            TermStart::Continues => (now, now),
            TermStart::HandedOver {
                free_from,
                settled_from,
            } => (now.max(free_from), settled_from),
            TermStart::AfterUnknown => (now + self.config.quiet_period, now + self.config.quiet_period),
            TermStart::AfterRestore => {
                let quiet_until = now + self.usable() + self.config.quiet_period;
                (quiet_until, quiet_until)
            }
        };
        let record = (start == TermStart::Continues).then_some(Record {
            kind: RecordKind::Settled,
            revision: fencing_token,
        });
        self.held = Some(Held {
            fencing_token,
            lease,
            valid_until: asked_at + self.usable(),
            quiet_until,
            settled_from,
            record,
        });
    }

    /// Records that a renewal sent at `asked_at` succeeded.
    pub fn renewed(&mut self, asked_at: Moment) {
        let usable = self.usable();
        if let Some(held) = &mut self.held {
            held.valid_until = held.valid_until.max(asked_at + usable);
        }
    }

    /// Returns the record to write to the store now, if one is missing: before the
    /// first order, and again once the holds of other machines' orders have ended.
    pub fn wanted_record(&self, now: Moment) -> Option<RecordKind> {
        let held = self
            .held
            .filter(|held| now >= held.quiet_until && now < held.valid_until)?;
        let kind = if now >= held.settled_from {
            RecordKind::Settled
        } else {
            RecordKind::Unsettled
        };
        let lacks = match held.record.map(|record| record.kind) {
            None => true,
            Some(recorded) => recorded == RecordKind::Unsettled && kind == RecordKind::Settled,
        };
        lacks.then_some(kind)
    }

    /// Notes a record of this machine that the store wrote on the condition that the
    /// machine still held the key.
    pub fn recorded(&mut self, record: Record) {
        if let Some(held) = &mut self.held {
            held.record = Some(record);
        }
    }

    /// Returns the record under which this machine may order.
    pub fn record(&self) -> Option<Record> {
        self.held.and_then(|held| held.record)
    }

    /// Drops the lease: it expired at the store, was released, or a successor fenced it.
    pub fn lost(&mut self) {
        self.held = None;
    }

    /// Returns the store's id of the lease to renew, if this node has not seen it end.
    pub fn lease(&self) -> Option<u64> {
        self.held.map(|held| held.lease)
    }

    /// Returns the fencing token if this node may act as the orderer at `now`, that is,
    /// accept followers and plan. Sending orders requires [`Self::order_token`].
    pub fn token(&self, now: Moment) -> Option<u64> {
        self.held
            .filter(|held| now < held.valid_until)
            .map(|held| held.fencing_token)
    }

    /// Returns the fencing token if an order may be sent at `now`.
    pub fn order_token(&self, now: Moment) -> Option<u64> {
        let may_order = self
            .held
            .is_some_and(|held| held.record.is_some() && now >= held.quiet_until);
        self.token(now).filter(|_| may_order)
    }

    /// Drops a lease whose validity has ended. Returns true if there was one.
    pub fn expire(&mut self, now: Moment) -> bool {
        let over = self.held.is_some_and(|held| now >= held.valid_until);
        if over {
            self.lost();
        }
        over
    }

    /// Returns the time between renewals.
    pub fn renew_every(&self) -> Duration {
        self.config.renew_every
    }

    fn usable(&self) -> Duration {
        self.config.time_to_live.saturating_sub(self.config.margin)
    }
}
