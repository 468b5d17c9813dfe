//! The node's copy of the revision log.
//!
//! Invariants:
//! - entries are applied in order without a gap, so the published state is
//!   always one that every node passes through;
//! - the published revision never goes back, whatever a peer or the service
//!   answers;
//! - the first published state is a whole copy of what a peer or the service
//!   had, never a part of the log: a node serves as soon as it has one;
//! - a proposal takes effect at most once: it is offered at the next revision
//!   only after another entry was seen to have won the last one.

mod backoff;
mod first_copy;
mod follower;
mod live_members;
mod peer_connector;
mod proposals;
mod random_source;
mod recent_entries;
mod releases;

pub(crate) use backoff::Backoff;
pub use follower::{Follower, FollowerConfig};
pub use live_members::LiveMembers;
pub use peer_connector::{PeerConnector, PeerError};
pub use proposals::ProposeOutcome;

use crate::revision_log::{ReadError, ReadOutcome, RevisionLog, Snapshot, SnapshotError};
use arc_swap::ArcSwap;
use croftrill_protocol::peer::LogPage;
use croftrill_state::entry::LogEntry;
use croftrill_state::{ClusterState, NodeId, Revision};
use random_source::RandomSource;
use recent_entries::RecentEntries;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{watch, Notify};

/// Peers whose heads are remembered at once.
const REMEMBERED_HEADS: usize = 8;

/// Limits of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// This node.
    pub node: NodeId,
    /// Entries kept for peers.
    pub kept_entries: usize,
    /// Bytes of the entries kept for peers.
    pub kept_bytes: usize,
    /// Entries read from the key-value service at once.
    pub read_limit: u32,
    /// Most bytes of entries in one answer to a peer.
    pub page_bytes: usize,
    /// Decides every random choice of the node's coordination parts. Must differ
    /// from that of any other process, also of an earlier one of the node.
    pub random_seed: u64,
    /// Most lost races of one proposal before it is given up as unavailable.
    pub propose_attempts: u32,
    /// Longest time that one proposal waits, all in all, because the service
    /// asks for a moment's patience, in milliseconds.
    pub propose_patience_millis: u64,
}

impl ReplicaConfig {
    /// The usual limits for a node.
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            kept_entries: 1_000,
            kept_bytes: 4 * 1024 * 1024,
            read_limit: 64,
            page_bytes: 1024 * 1024,
            random_seed: rand::random(),
            propose_attempts: 20,
            propose_patience_millis: 1_500,
        }
    }
}

/// A peer that told its head.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ToldHead {
    address: String,
    head: Revision,
}

/// What the lock guards.
struct Guarded {
    recent: RecentEntries,
    told: Vec<ToldHead>,
}

/// The node's copy of the log.
pub struct Replica {
    config: ReplicaConfig,
    log: RevisionLog,
    published: Arc<ArcSwap<ClusterState>>,
    heads: watch::Sender<Revision>,
    guarded: Mutex<Guarded>,
    /// Serializes this node's own proposals, so that they do not race.
    proposing: tokio::sync::Mutex<()>,
    told_heads: Notify,
    random: RandomSource,
}

impl Replica {
    /// An empty copy, at revision 0.
    pub fn new(config: ReplicaConfig, log: RevisionLog) -> Self {
        let recent = RecentEntries::new(config.kept_entries, config.kept_bytes);
        let random = RandomSource::new(config.random_seed);
        Self {
            config,
            log,
            random,
            published: Arc::new(ArcSwap::from_pointee(ClusterState::default())),
            heads: watch::Sender::new(Revision(0)),
            guarded: Mutex::new(Guarded {
                recent,
                told: Vec::new(),
            }),
            proposing: tokio::sync::Mutex::new(()),
            told_heads: Notify::new(),
        }
    }

    /// This node.
    pub fn node(&self) -> &NodeId {
        &self.config.node
    }

    /// The node's random numbers.
    pub(crate) fn random(&self) -> &RandomSource {
        &self.random
    }

    /// The present state.
    pub fn state(&self) -> Arc<ClusterState> {
        self.published.load_full()
    }

    /// The cell of states, for traffic threads.
    pub fn published(&self) -> Arc<ArcSwap<ClusterState>> {
        self.published.clone()
    }

    /// The last applied revision.
    pub fn head(&self) -> Revision {
        self.published.load().revision
    }

    /// Announces each new head; the membership driver pushes it to peers.
    pub fn new_heads(&self) -> watch::Receiver<Revision> {
        self.heads.subscribe()
    }

    /// Takes in that a peer has applied the log up to `head`; fetching what is
    /// missing is the follower's job.
    pub fn observe_head(&self, from_address: String, head: Revision) {
        let mut guarded = self.guarded();
        if head <= self.head() {
            return;
        }
        guarded.told.retain(|told| told.address != from_address);
        guarded.told.push(ToldHead {
            address: from_address,
            head,
        });
        if guarded.told.len() > REMEMBERED_HEADS {
            guarded.told.remove(0);
        }
        drop(guarded);
        self.told_heads.notify_one();
    }

    /// The answer to a peer's `fetch_log`.
    pub fn log_page(&self, after: Revision, limit: u32) -> LogPage {
        let guarded = self.guarded();
        let state = self.state();
        if after >= state.revision {
            return LogPage::Entries(Vec::new());
        }
        if after == Revision(0) {
            return LogPage::Snapshot((*state).clone());
        }
        match guarded.recent.page(after, limit as usize, self.config.page_bytes) {
            Some(entries) => LogPage::Entries(entries),
            None => LogPage::Snapshot((*state).clone()),
        }
    }

    /// Takes in a peer's answer. Returns whether the head advanced.
    pub fn apply_page(&self, page: LogPage) -> bool {
        match page {
            LogPage::Entries(entries) => self.apply_entries(&entries),
            LogPage::Snapshot(state) => self.adopt_snapshot(state),
        }
    }

    /// Reads the key-value service until nothing newer is there.
    pub async fn catch_up_from_log(&self) -> Result<(), ReadError> {
        if self.head() == Revision(0) {
            self.read_first_copy().await?;
        }
        loop {
            let before = self.head();
            let read = self.log.read_after(before, self.config.read_limit).await?;
            if !self.take_in(read).await? {
                return Ok(());
            }
        }
    }

    /// Waits on the key-value service for a new entry and applies it.
    pub async fn watch_log(&self, wait_millis: u64) -> Result<(), ReadError> {
        let read = self.log.wait_after(self.head(), wait_millis).await?;
        if self.take_in(read).await? {
            self.catch_up_from_log().await?;
        }
        Ok(())
    }

    /// Writes the present state as a snapshot and deletes what it replaces.
    pub async fn write_snapshot(&self) -> Result<(), SnapshotError> {
        let state = self.state();
        self.log.write_snapshot(&state, self.random.unique()).await?;
        let deleted = self.log.compact().await?;
        log::info!(
            "log: snapshot written revision={} deleted={deleted}",
            state.revision
        );
        Ok(())
    }

    /// The revision of the latest snapshot in the key-value service.
    pub async fn snapshot_revision(&self) -> Result<Revision, ReadError> {
        let pointer = self.log.snapshot_pointer().await?;
        Ok(pointer.map_or(Revision(0), |pointer| pointer.revision))
    }

    /// Applies what was read. Returns whether there may be more to read.
    async fn take_in(&self, read: ReadOutcome) -> Result<bool, ReadError> {
        match read {
            ReadOutcome::Entries(entries) if entries.is_empty() => Ok(false),
            ReadOutcome::Entries(entries) => Ok(self.apply_entries(&entries)),
            ReadOutcome::Compacted => self.read_latest_snapshot().await,
        }
    }

    async fn read_latest_snapshot(&self) -> Result<bool, ReadError> {
        match self.log.read_snapshot().await? {
            Snapshot::None => Ok(false),
            Snapshot::State(state) => Ok(self.adopt_snapshot(*state)),
        }
    }

    /// Applies the entries that follow the present head. Returns whether the
    /// head advanced.
    fn apply_entries(&self, entries: &[LogEntry]) -> bool {
        let mut guarded = self.guarded();
        let before = self.head();
        let mut next: Option<ClusterState> = None;
        for entry in entries {
            let present = next.as_ref().map_or(before, |state| state.revision);
            if entry.revision <= present {
                guarded.recent.compare(entry);
                continue;
            }
            if entry.revision != present.next() {
                break;
            }
            let state = next.get_or_insert_with(|| (*self.state()).clone());
            apply(state, entry);
            guarded.recent.push(entry.clone());
        }
        match next {
            None => false,
            Some(state) => {
                self.publish(state);
                true
            }
        }
    }

    fn adopt_snapshot(&self, state: ClusterState) -> bool {
        let mut guarded = self.guarded();
        if state.revision <= self.head() {
            return false;
        }
        log::info!("log: snapshot adopted revision={}", state.revision);
        guarded.recent.clear();
        self.publish(state);
        true
    }

    /// Only called with the lock held and a later state.
    fn publish(&self, state: ClusterState) {
        let revision = state.revision;
        self.published.store(Arc::new(state));
        self.heads.send_replace(revision);
    }

    fn guarded(&self) -> MutexGuard<'_, Guarded> {
        self.guarded.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Applies an entry; one that the state rejects only advances the revision.
fn apply(state: &mut ClusterState, entry: &LogEntry) {
    if let Err(error) = state.apply(entry) {
        log::info!(
            "log: entry rejected revision={} error=\"{error}\"",
            entry.revision
        );
    }
}
