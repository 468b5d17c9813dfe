//! Keeps a replica up to date: from peers, and on a few nodes from the
//! key-value service.
//!
//! Two live members (chosen by rendezvous hashing, so on each side of a
//! partition) and the coordinators wait on the service; all others learn from
//! peers. The service therefore sees the same rate at any number of nodes. A
//! node that hears from no peer at all reads the service itself.

use super::{Backoff, LiveMembers, PeerConnector, Replica, ToldHead};
use croftrill_state::{rendezvous, Revision};
use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// Chooses the members that wait on the key-value service.
const READER_KEY: &str = "log-reader";

/// How a follower behaves.
#[derive(Clone, Debug)]
pub struct FollowerConfig {
    /// `ip:port` of peers to ask at the start.
    pub seeds: Vec<String>,
    /// Rounds of asking the seeds before the service is asked.
    pub seed_rounds: u32,
    /// Time for membership to form before readers are chosen, in milliseconds.
    pub settle_millis: u64,
    /// Entries asked from a peer at once.
    pub fetch_limit: u32,
    /// Live members that wait on the key-value service.
    pub readers: usize,
    /// Length of one wait, in milliseconds.
    pub wait_millis: u64,
    /// Between two looks whether any peer is heard; a node that hears none reads
    /// the service itself, in milliseconds.
    pub isolated_look_millis: u64,
    /// First pause after a failure, in milliseconds; doubles each time.
    pub first_backoff_millis: u64,
    /// Longest pause after a failure, in milliseconds.
    pub longest_backoff_millis: u64,
}

impl Default for FollowerConfig {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            seed_rounds: 3,
            settle_millis: 4_000,
            fetch_limit: 256,
            readers: 2,
            wait_millis: 20_000,
            isolated_look_millis: 20_000,
            first_backoff_millis: 250,
            longest_backoff_millis: 15_000,
        }
    }
}

/// Keeps a replica up to date.
pub struct Follower {
    config: FollowerConfig,
    replica: Arc<Replica>,
    connector: Arc<dyn PeerConnector>,
    members: Arc<dyn LiveMembers>,
    coordinating: AtomicBool,
}

impl Follower {
    /// A follower of `replica`; [`Follower::run`] starts it.
    pub fn new(
        config: FollowerConfig,
        replica: Arc<Replica>,
        connector: Arc<dyn PeerConnector>,
        members: Arc<dyn LiveMembers>,
    ) -> Self {
        Self {
            config,
            replica,
            connector,
            members,
            coordinating: AtomicBool::new(false),
        }
    }

    /// Makes this node wait on the service while it is a coordinator.
    pub fn set_coordinating(&self, coordinating: bool) {
        self.coordinating.store(coordinating, Ordering::Relaxed);
    }

    /// Brings the replica up to date at the start, then keeps it so.
    pub async fn run(&self, shutdown: CancellationToken) {
        if stopped(&shutdown, self.bootstrap()).await {
            return;
        }
        self.keep_up(shutdown).await;
    }

    /// Keeps a replica that has its first copy up to date.
    pub async fn keep_up(&self, shutdown: CancellationToken) {
        tokio::join!(
            stopped(&shutdown, self.follow_peers()),
            stopped(&shutdown, self.follow_service()),
        );
    }

    /// Gets a first copy of the log from a seed or from the service. Returns
    /// once one of them answered; both may be down for long.
    pub async fn bootstrap(&self) {
        let mut backoff = self.backoff();
        let mut rounds = 0;
        loop {
            if self.bootstrap_once(rounds).await {
                log::info!("log: copy ready revision={}", self.replica.head());
                return;
            }
            rounds += 1;
            backoff.pause(self.replica.random()).await;
        }
    }

    /// Nodes that start together find no peer at first. They ask a few times
    /// before all of them turn to the service.
    async fn bootstrap_once(&self, earlier_rounds: u32) -> bool {
        if self.fetch_from_seeds().await {
            return true;
        }
        if !self.config.seeds.is_empty() && earlier_rounds < self.config.seed_rounds {
            return false;
        }
        if self.read_service().await {
            return true;
        }
        log::warn!("log: neither a peer nor the key-value service answers");
        false
    }

    /// Whether any seed gave a copy of a log that has begun.
    async fn fetch_from_seeds(&self) -> bool {
        let mut seeds = self.config.seeds.clone();
        self.replica.random().shuffle(&mut seeds);
        for seed in seeds {
            self.fetch_from(&seed).await;
            if self.replica.head() > Revision(0) {
                return true;
            }
        }
        false
    }

    async fn read_service(&self) -> bool {
        match self.replica.catch_up_from_log().await {
            Ok(()) => true,
            Err(error) => {
                log::debug!("log: service not read error=\"{error}\"");
                false
            }
        }
    }

    /// Fetches from one peer until it has nothing newer. Returns whether it
    /// answered.
    async fn fetch_from(&self, address: &str) -> bool {
        loop {
            let after = self.replica.head();
            let fetched = self
                .connector
                .fetch_log(address, after, self.config.fetch_limit)
                .await;
            match fetched {
                Ok(page) => {
                    if !self.replica.apply_page(page) {
                        return true;
                    }
                }
                Err(error) => {
                    log::debug!("log: not fetched error=\"{error}\"");
                    return false;
                }
            }
        }
    }

    async fn follow_peers(&self) {
        loop {
            let Some(told) = self.replica.next_told_head() else {
                self.replica.told_heads.notified().await;
                continue;
            };
            if told.head > self.replica.head() {
                self.fetch_from(&told.address).await;
            }
        }
    }

    /// At the start a node knows few members and would choose itself as reader,
    /// so it first lets membership form.
    async fn let_membership_form(&self) {
        if !self.config.seeds.is_empty() {
            let pause = self.replica.random().jittered(self.config.settle_millis);
            tokio::time::sleep(pause).await;
        }
    }

    async fn follow_service(&self) {
        self.let_membership_form().await;
        let mut backoff = self.backoff();
        loop {
            if self.reads_service() {
                match self.replica.watch_log(self.config.wait_millis).await {
                    Ok(()) => backoff.reset(),
                    Err(error) => {
                        log::debug!("log: service not watched error=\"{error}\"");
                        backoff.pause(self.replica.random()).await;
                    }
                }
            } else {
                self.pause_as_learner().await;
            }
        }
    }

    async fn pause_as_learner(&self) {
        let pause = self.replica.random().jittered(self.config.isolated_look_millis);
        tokio::time::sleep(pause).await;
        if !self.members.hears_others() && !self.reads_service() {
            self.read_service().await;
        }
    }

    fn reads_service(&self) -> bool {
        if self.coordinating.load(Ordering::Relaxed) {
            return true;
        }
        let alive = self.members.alive();
        rendezvous::ranked(READER_KEY, &alive)
            .into_iter()
            .take(self.config.readers)
            .any(|reader| reader == self.replica.node())
    }

    fn backoff(&self) -> Backoff {
        Backoff::new(
            self.config.first_backoff_millis,
            self.config.longest_backoff_millis,
        )
    }
}

impl Replica {
    /// The told head that is furthest ahead.
    fn next_told_head(&self) -> Option<ToldHead> {
        let mut guarded = self.guarded();
        let head = self.head();
        guarded.told.retain(|told| told.head > head);
        let best = (0..guarded.told.len()).max_by_key(|&index| guarded.told[index].head)?;
        Some(guarded.told.swap_remove(best))
    }
}

/// Runs a task until it ends or the token is cancelled; true if cancelled.
pub(crate) async fn stopped(token: &CancellationToken, task: impl Future<Output = ()>) -> bool {
    tokio::select! {
        () = token.cancelled() => true,
        () = task => false,
    }
}
