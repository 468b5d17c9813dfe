//! Who may give orders: a lease on one key, judged by the node's clock.
//!
//! Safety: a holder acts only while `now < valid_until`, where `valid_until` is
//! counted from when its last successful renewal was *sent*. The store counts
//! the lease from when that call arrived, which is never earlier. So another
//! node can take the lease only after this one has stopped acting.
//!
//! The store also records which machine last had the right to order; a machine
//! records itself before its first order. How a term begins ([`TermStart`]):
//!
//! - The machine finds itself recorded, and settled: it goes on at once, as
//!   nobody else can have ordered since. Its record is written anew together
//!   with the key, so that an earlier resignation of its own is void.
//! - Its predecessor handed over ([`crate::hand_over`]): it records itself at once
//!   (or once all of its predecessor's orders are known) and waits at single
//!   replicas only. Until the last of these is free its record is
//!   not settled: should it restart, it does not know them any more.
//! - The store came back from an older copy ([`TermStart::AfterRestore`]): it waits for a
//!   whole lease and a `quiet_period`.
//! - Otherwise it waits for `quiet_period`, within which the former's orders may
//!   still arrive, and records itself only then: a machine that restarts within
//!   its quiet period must not find itself recorded.

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
    /// Time after an acquisition before the first order, if another machine could order before.
    pub quiet_period: Duration,
}

/// How a term begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TermStart {
    /// This machine is recorded as the last that could order, and was recorded
    /// anew together with the key.
    Continues,
    /// All earlier orders are known.
    HandedOver {
        /// From when this machine may order where no known order forbids it.
        free_from: Moment,
        /// When the last of the predecessors' orders stops counting.
        settled_from: Moment,
    },
    /// Another machine may have ordered until the key was taken.
    AfterUnknown,
    /// The store came back from an older copy: another machine may order for as long as
    /// it believes in a lease that the store has lost.
    AfterRestore,
}

/// The record that the store should hold of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordKind {
    /// The machine may order, but orders of others count still at some replicas.
    Unsettled,
    /// Only this machine's orders count.
    Settled,
}

/// A record that the store took.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Record {
    /// What it says.
    pub kind: RecordKind,
    /// The store's revision of it.
    pub revision: u64,
}

/// A lease that is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Held {
    fencing_token: u64,
    lease: u64,
    valid_until: Moment,
    quiet_until: Moment,
    settled_from: Moment,
    record: Option<Record>,
}

/// Keeps the orderer's lease of one node.
#[derive(Debug)]
pub struct OrdererLease {
    config: LeaseConfig,
    held: Option<Held>,
}

impl OrdererLease {
    /// A lease that is not held.
    pub fn new(config: LeaseConfig) -> Self {
        OrdererLease { config, held: None }
    }

    /// The key was created under `lease`; `asked_at` is when the lease was asked
    /// for. The key's first revision is the fencing token, and that of the record
    /// if this machine continues.
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

    /// A renewal sent at `asked_at` succeeded.
    pub fn renewed(&mut self, asked_at: Moment) {
        let usable = self.usable();
        if let Some(held) = &mut self.held {
            held.valid_until = held.valid_until.max(asked_at + usable);
        }
    }

    /// The record that the store should get now, if it lacks one: before the
    /// first order, and again once only this machine's orders count.
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

    /// The store recorded this machine, on the condition that it still held the key.
    pub fn recorded(&mut self, record: Record) {
        if let Some(held) = &mut self.held {
            held.record = Some(record);
        }
    }

    /// The record under which this machine may order.
    pub fn record(&self) -> Option<Record> {
        self.held.and_then(|held| held.record)
    }

    /// The lease is gone: over at the store, released, or fenced by a successor.
    pub fn lost(&mut self) {
        self.held = None;
    }

    /// The store's lease to renew, if this node believes that it holds one.
    pub fn lease(&self) -> Option<u64> {
        self.held.map(|held| held.lease)
    }

    /// The fencing token, if this node may act as the orderer at `now`.
    /// Before it may order, it may plan and listen.
    pub fn token(&self, now: Moment) -> Option<u64> {
        self.held
            .filter(|held| now < held.valid_until)
            .map(|held| held.fencing_token)
    }

    /// The fencing token, if an order may be sent at `now`.
    pub fn order_token(&self, now: Moment) -> Option<u64> {
        let may_order = self
            .held
            .is_some_and(|held| held.record.is_some() && now >= held.quiet_until);
        self.token(now).filter(|_| may_order)
    }

    /// Forgets a lease whose validity is over; true if there was one.
    pub fn expire(&mut self, now: Moment) -> bool {
        let over = self.held.is_some_and(|held| now >= held.valid_until);
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
