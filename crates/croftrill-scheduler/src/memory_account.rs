//! One account of the memory that bodies, answers and streams hold while they are in flight.
//!
//! A holder asks for room before its bytes are read. One of up to [`SMALL_BYTES`] may use the whole
//! account, a larger one leaves the reserve of the small ones free. Large ones get room in the order in
//! which they asked, each for all that it may come to hold, so that those that got room can end. If there is
//! none, holders that do not move give way, the largest first.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::process_limits::ProcessLimits;
use crate::time::Moment;

/// Maximum size of a small body or answer, in bytes.
pub const SMALL_BYTES: u64 = 64 * 1024;
/// Bytes that a holder that moves passes on within [`STALL_TIME`].
const PROGRESS_BYTES: u64 = 16 * 1024;
/// Time without progress after which a holder gives way to others: longer than lost packets take to be
/// sent again.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Identifies a holder in its account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(u64);

/// Outcome of a question for room.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Room {
    /// The holder has the room.
    Granted,
    /// It has to wait. The listed holders give way, if there are any.
    Wait {
        /// Holders that do not move.
        giving_way: Vec<HolderId>,
    },
    /// It asks for more than the account ever has.
    TooMuch,
}

#[derive(Debug)]
struct Holder {
    bytes: u64,
    /// When it last moved, and how much it moved since.
    moved_at: Moment,
    moved_bytes: u64,
    /// Whether it waits for its caller, so that it may give way.
    waits_for_caller: bool,
    /// Whether it was told to give way.
    gives_way: bool,
}

impl Holder {
    fn is_stalled(&self, now: Moment) -> bool {
        self.waits_for_caller && !self.gives_way && now.since(self.moved_at) >= STALL_TIME
    }
}

/// The account of one process.
#[derive(Debug)]
pub struct MemoryAccount {
    large_bytes: u64,
    reserve_bytes: u64,
    held_bytes: u64,
    next_id: u64,
    holders: BTreeMap<HolderId, Holder>,
    /// Holders that wait for more than a small body takes, in the order in which they asked.
    waiting: Vec<HolderId>,
}

impl MemoryAccount {
    /// Returns an empty account for bodies, answers and streams.
    pub fn new(limits: ProcessLimits) -> Self {
        Self::with_shares(limits.large_bytes(), limits.small_reserve_bytes())
    }

    /// Returns an empty account for messages of other nodes, so that no caller takes their room.
    pub fn for_messages(limits: ProcessLimits) -> Self {
        Self::with_shares(limits.message_bytes(), 0)
    }

    fn with_shares(large_bytes: u64, reserve_bytes: u64) -> Self {
        MemoryAccount {
            large_bytes,
            reserve_bytes,
            held_bytes: 0,
            next_id: 0,
            holders: BTreeMap::new(),
            waiting: Vec::new(),
        }
    }

    /// Returns the number of bytes that all hold together.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Returns the maximum that one holder may hold.
    pub fn max_holder_bytes(&self) -> u64 {
        self.large_bytes
    }

    /// Adds a holder of no bytes, which waits for its caller.
    pub fn open(&mut self, now: Moment) -> HolderId {
        let id = HolderId(self.next_id);
        self.next_id += 1;
        let holder = Holder {
            bytes: 0,
            moved_at: now,
            moved_bytes: 0,
            waits_for_caller: true,
            gives_way: false,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Removes a holder.
    pub fn close(&mut self, id: HolderId) {
        self.stop_waiting(id);
        if let Some(holder) = self.holders.remove(&id) {
            self.held_bytes -= holder.bytes;
        }
    }

    /// Records that bytes passed between a holder and its caller.
    pub fn record_moved(&mut self, id: HolderId, bytes: u64, now: Moment) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        holder.moved_bytes += bytes;
        if holder.moved_bytes >= PROGRESS_BYTES {
            holder.moved_bytes = 0;
            holder.moved_at = now;
        }
    }

    /// Sets whether a holder waits for its caller.
    pub fn set_waits_for_caller(&mut self, id: HolderId, waits_for_caller: bool, now: Moment) {
        let holder = self.holders.get_mut(&id);
        if let Some(holder) = holder.filter(|holder| holder.waits_for_caller != waits_for_caller) {
            holder.waits_for_caller = waits_for_caller;
            holder.moved_at = now;
            holder.moved_bytes = 0;
        }
    }

    /// Asks that a holder may hold so many bytes in all.
    pub fn ask(&mut self, id: HolderId, bytes: u64, now: Moment) -> Room {
        if bytes > self.large_bytes {
            return Room::TooMuch;
        }
        let Some(held) = self.holders.get(&id).map(|holder| holder.bytes) else {
            return Room::TooMuch;
        };
        if bytes <= held {
            return Room::Granted;
        }
        let is_large = bytes > SMALL_BYTES;
        let others_first = is_large && self.waiting.first().is_some_and(|first| *first != id);
        let missing = self.missing_bytes(bytes - held, is_large);
        if missing == 0 && !others_first {
            self.stop_waiting(id);
            self.held_bytes += bytes - held;
            self.set_bytes(id, bytes);
            return Room::Granted;
        }
        if is_large && !self.waiting.contains(&id) {
            self.waiting.push(id);
        }
        Room::Wait {
            giving_way: self.give_way(id, missing, now),
        }
    }

    /// Takes back what a holder has beyond `bytes`. Returns how much that is.
    pub fn shrink(&mut self, id: HolderId, bytes: u64) -> u64 {
        let Some(holder) = self.holders.get_mut(&id) else {
            return 0;
        };
        let freed = holder.bytes.saturating_sub(bytes);
        holder.bytes -= freed;
        self.held_bytes -= freed;
        freed
    }

    /// Takes back a question that was told to wait.
    pub fn stop_waiting(&mut self, id: HolderId) {
        self.waiting.retain(|waiting| *waiting != id);
    }

    fn set_bytes(&mut self, id: HolderId, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.bytes = bytes;
        }
    }

    /// Returns by how much the account would be overdrawn.
    fn missing_bytes(&self, added: u64, is_large: bool) -> u64 {
        let reserve = if is_large { 0 } else { self.reserve_bytes };
        (self.held_bytes + added).saturating_sub(self.large_bytes + reserve)
    }

    /// Chooses holders that do not move, until `missing` bytes become free.
    fn give_way(&mut self, asker: HolderId, missing: u64, now: Moment) -> Vec<HolderId> {
        // Those that were told to give way have not been removed yet.
        let leaving = self.holders.values().filter(|holder| holder.gives_way);
        let mut freed: u64 = leaving.map(|holder| holder.bytes).sum();
        if freed >= missing {
            return Vec::new();
        }
        let stalled = self
            .holders
            .iter()
            .filter(|(id, holder)| **id != asker && holder.bytes > 0 && holder.is_stalled(now));
        let mut stalled: Vec<(HolderId, u64)> = stalled.map(|(id, holder)| (*id, holder.bytes)).collect();
        stalled.sort_by_key(|(id, bytes)| (std::cmp::Reverse(*bytes), *id));
        let mut chosen = Vec::new();
        for (id, bytes) in stalled {
            if freed >= missing {
                break;
            }
            freed += bytes;
            chosen.push(id);
        }
        for id in &chosen {
            if let Some(holder) = self.holders.get_mut(id) {
                holder.gives_way = true;
            }
        }
        chosen
    }
}
