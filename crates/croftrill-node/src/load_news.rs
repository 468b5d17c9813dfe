//! News of replicas' loads between nodes: what this node heard goes up to the orderers,
//! what these tell comes down, over relays both ways.
//!
//! Nothing is sent unless replicas tell how fast they work, or the node's settings say that
//! callers compete. Whoever listens says so by such a message of its own, if only an empty
//! one, which goes only to nodes whose entries say that they understand it.
//!
//! Accounts come from a replica ([`hear_answer`]), from a follower of this relay
//! ([`LoadFollower`]) and from orderers ([`hear_told`]). [`tell`] sends what the first two
//! brought to the orderers, and what these told to the followers. What an orderer of this
//! node makes of them: `orderer_task::loads`.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::capacity::ReplicaLoad;
use croftrill_scheduler::followed_view::LinkDelay;
use croftrill_scheduler::load_updates::{LoadBuffer, LoadKey, LoadKeys, LoadSample, SampleOutcome};
use croftrill_scheduler::replica::{Incarnation, ReplicaId, StartedMs};
use croftrill_scheduler::shard::Shard;
use croftrill_scheduler::time::Moment;
use nanoserde::SerBin;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::{broadcast, Notify};
use tokio::time::sleep;

use crate::metrics::Metrics;
use crate::node::Node;
use crate::peer::{FromOrderer, ToOrderer, WireLoads};
use crate::ports::Platform;
use crate::tree::Uplink;

/// Least time between two messages to the same side.
const TELL_EVERY: Duration = Duration::from_millis(100);
/// A node with nothing to tell says so often that it listens.
const HELLO_EVERY: Duration = Duration::from_secs(1);
/// Time after the last told work time for which replicas count as telling it: several times
/// as long as a node usually goes without an answer of any replica.
const WORK_TIME_COUNTS: Duration = Duration::from_secs(30);
/// Messages that a slow follower may fall behind before it misses the oldest.
const BACKLOG: usize = 4;
/// Time between two lines of the log.
const LOG_EVERY: Duration = Duration::from_secs(1);
/// Ages kept for such a line.
const MOST_AGES: usize = 512;

/// What a node heard of replicas' loads, and tells on.
pub struct LoadNews {
    /// Until when replicas count as telling their work time.
    on_until: Cell<Moment>,
    keys: RefCell<LoadKeys>,
    /// For the orderers, from this node's answers and its followers.
    to_orderers: RefCell<LoadBuffer>,
    /// For the followers, from the orderers.
    to_followers: RefCell<LoadBuffer>,
    /// When the orderers were last told that this node listens.
    said_hello_at: Cell<Moment>,
    followers: broadcast::Sender<Rc<ToldLoads>>,
    /// Told when there is something to send.
    wanted: Notify,
    arrivals: RefCell<Arrivals>,
}

impl Default for LoadNews {
    fn default() -> Self {
        LoadNews {
            on_until: Cell::default(),
            keys: RefCell::default(),
            to_orderers: RefCell::default(),
            to_followers: RefCell::default(),
            said_hello_at: Cell::default(),
            followers: broadcast::channel(BACKLOG).0,
            wanted: Notify::new(),
            arrivals: RefCell::default(),
        }
    }
}

/// Ages of the accounts that came from other nodes since the last line of the log.
#[derive(Default)]
struct Arrivals {
    ages_ms: Vec<u64>,
    since: Moment,
}

/// Accounts for followers, encoded once for those that know all replicas.
#[derive(Debug)]
pub struct ToldLoads {
    accounts: Vec<(ReplicaId, LoadSample)>,
    told_at: Moment,
    message: Bytes,
}

impl ToldLoads {
    fn new(accounts: Vec<(ReplicaId, LoadSample)>, told_at: Moment) -> Self {
        let message = encode(accounts.iter().map(|(_, account)| account), told_at);
        ToldLoads {
            accounts,
            told_at,
            message,
        }
    }

    /// The message about all of them.
    pub fn message(&self) -> &Bytes {
        &self.message
    }

    /// The message about some replicas; `None` if there is nothing about them.
    pub fn message_about(&self, knows: impl Fn(&str) -> bool) -> Option<Bytes> {
        let known = self.accounts.iter().filter(|(id, _)| knows(id));
        let known: Vec<&LoadSample> = known.map(|(_, account)| account).collect();
        (!known.is_empty()).then(|| encode(known, self.told_at))
    }
}

fn encode<'a>(accounts: impl IntoIterator<Item = &'a LoadSample>, now: Moment) -> Bytes {
    FromOrderer::Loads(WireLoads::from_accounts(accounts, now)).encode()
}

/// True while this node tells on what it hears of replicas' loads, of all services.
pub(crate) fn is_on<P: Platform>(node: &Node<P>) -> bool {
    node.settings.callers_compete || node.clock.now() < node.load_news.on_until.get()
}

fn note_work_time<P: Platform>(node: &Node<P>, load: ReplicaLoad) {
    if load.work_time_pct.is_some() {
        node.load_news.on_until.set(node.clock.now() + WORK_TIME_COUNTS);
    }
}

fn count<P: Platform>(node: &Node<P>, kind: &'static str, outcome: &'static str) {
    Metrics::count(&node.metrics.load_news, kind, outcome);
}

/// Counts accounts that are not told on, as there are too many.
pub(crate) fn note_left_out<P: Platform>(node: &Node<P>, kind: &'static str, count: usize) {
    Metrics::count_many(&node.metrics.load_news, kind, "left out", count as u64);
}

/// An answer told the load of a replica, of the incarnation that started at `started_ms`.
/// `is_sure`: false if the answer may be another replica's, of which others are not told.
pub(crate) fn hear_answer<P: Platform>(
    node: &Node<P>,
    id: &ReplicaId,
    started_ms: Option<StartedMs>,
    load: ReplicaLoad,
    is_sure: bool,
) {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    let Some(entry) = state.replicas.get(id) else {
        return;
    };
    let present = entry.listing.started_ms;
    if Incarnation::of(started_ms, present) == Incarnation::Earlier {
        return;
    }
    state.replicas.record_load(id, load, now);
    drop(state);
    node.room_changed.notify_waiters();
    note_work_time(node, load);
    if !is_sure || !is_on(node) {
        return;
    }
    let account = LoadSample {
        key: LoadKey::of(id, present),
        load,
        at: now,
    };
    keep_for_orderers(node, account, "answer");
}

fn keep_for_orderers<P: Platform>(node: &Node<P>, account: LoadSample, kind: &'static str) {
    let news = &node.load_news;
    let hearing = news.to_orderers.borrow_mut().record(account, node.clock.now());
    let outcome = match hearing {
        SampleOutcome::Stored => "heard",
        SampleOutcome::Outdated => "old",
        SampleOutcome::Dropped => "left out",
    };
    count(node, kind, outcome);
    news.wanted.notify_one();
}

/// Takes accounts of other nodes into this node's table; returns those that are about
/// replicas that it knows.
pub(crate) fn take_in<P: Platform>(
    node: &Node<P>,
    accounts: &[LoadSample],
    kind: &'static str,
) -> Vec<(ReplicaId, LoadSample)> {
    let mut state = node.state.borrow_mut();
    let mut keys = node.load_news.keys.borrow_mut();
    keys.follow(&state.replicas);
    let mut known = Vec::with_capacity(accounts.len());
    for account in accounts {
        let Some(id) = keys.replica(account.key) else {
            count(node, kind, "unknown");
            continue;
        };
        let newest = state.replicas.get(id).and_then(|entry| entry.capacity.newest());
        if account.is_update_to(newest) {
            state.replicas.record_load(id, account.load, account.at);
            note_work_time(node, account.load);
            count(node, kind, "heard");
        } else {
            count(node, kind, "old");
        }
        known.push((id.clone(), *account));
    }
    if !known.is_empty() {
        node.room_changed.notify_waiters();
    }
    known
}

/// The orderers told of loads, over a link of `delay`.
pub(crate) fn hear_told<P: Platform>(node: &Node<P>, told: &WireLoads, delay: &mut LinkDelay) {
    let now = node.clock.now();
    let accounts = told.to_accounts(delay, now);
    note_arrivals(node, &accounts, now);
    let known = take_in(node, &accounts, "orderer");
    pass_on(node, known.iter().map(|(_, account)| account), now);
}

/// Accounts for this node's followers.
pub(crate) fn pass_on<'a, P: Platform>(
    node: &Node<P>,
    accounts: impl IntoIterator<Item = &'a LoadSample>,
    now: Moment,
) {
    let news = &node.load_news;
    if news.followers.receiver_count() == 0 {
        return;
    }
    let mut to_followers = news.to_followers.borrow_mut();
    for account in accounts {
        to_followers.record(*account, now);
    }
    news.wanted.notify_one();
}

/// The accounts of a message from this node to its own orderer.
pub(crate) fn own_accounts<P: Platform>(node: &Node<P>, told: &WireLoads) -> Vec<LoadSample> {
    let now = node.clock.now();
    let mut delay = LinkDelay::default();
    // The queue between them is a link whose least delay is zero.
    delay.excess(now.since(Moment::default()), now);
    told.to_accounts(&mut delay, now)
}

/// A message as it goes to the node at an address; `None` for news of loads unless its
/// entry says that it understands them.
pub(crate) fn outgoing<P: Platform>(node: &Node<P>, peer: SocketAddr, message: &ToOrderer) -> Option<Bytes> {
    let is_loads = matches!(message, ToOrderer::Loads(_));
    if is_loads && !node.state.borrow().members.tell_loads_at(peer) {
        count(node, "message", "not understood");
        return None;
    }
    let message = Bytes::from(message.serialize_bin());
    if is_loads {
        note_sent(node, &message);
    }
    Some(message)
}

/// A message with accounts goes out.
pub(crate) fn note_sent<P: Platform>(node: &Node<P>, message: &Bytes) {
    node.metrics.load_news_bytes.inc_by(message.len() as u64);
}

/// Tells on what was heard, whenever there is something and at a bounded pace.
pub(crate) async fn tell<P: Platform>(node: Rc<Node<P>>) {
    loop {
        tokio::select! {
            () = node.load_news.wanted.notified() => {}
            () = sleep(HELLO_EVERY), if is_on(&node) => {}
        }
        tell_orderers(&node);
        tell_followers(&node);
        sleep(TELL_EVERY).await;
    }
}

fn tell_orderers<P: Platform>(node: &Node<P>) {
    let now = node.clock.now();
    let news = &node.load_news;
    let accounts = news.to_orderers.borrow_mut().take(now);
    if !is_on(node) {
        return;
    }
    let is_hello_due = now.since(news.said_hello_at.get()) >= HELLO_EVERY;
    if accounts.is_empty() && !is_hello_due {
        return;
    }
    if is_hello_due {
        news.said_hello_at.set(now);
    }
    let uplink = node.state.borrow().tree.uplink;
    match uplink {
        Uplink::Relay(_) => node.tell_orderers(&message_up(&accounts, now)),
        Uplink::Orderers => tell_each_orderer(node, &accounts, is_hello_due, now),
        Uplink::Nobody => {}
    }
}

/// Each orderer is told of the replicas of its shard.
fn tell_each_orderer<P: Platform>(node: &Node<P>, accounts: &[LoadSample], is_hello: bool, now: Moment) {
    let mut keys = node.load_news.keys.borrow_mut();
    keys.follow(&node.state.borrow().replicas);
    for shard in Shard::all() {
        let is_of_shard = |account: &&LoadSample| {
            keys.replica(account.key)
                .is_some_and(|id| Shard::of_replica(id) == shard)
        };
        let of_shard: Vec<LoadSample> = accounts.iter().filter(is_of_shard).copied().collect();
        if is_hello || !of_shard.is_empty() {
            node.tell_orderer(shard, message_up(&of_shard, now));
        }
    }
}

fn message_up(accounts: &[LoadSample], now: Moment) -> ToOrderer {
    ToOrderer::Loads(WireLoads::from_accounts(accounts, now))
}

fn tell_followers<P: Platform>(node: &Node<P>) {
    let now = node.clock.now();
    let news = &node.load_news;
    let accounts = news.to_followers.borrow_mut().take(now);
    if accounts.is_empty() || news.followers.receiver_count() == 0 {
        return;
    }
    let mut keys = news.keys.borrow_mut();
    keys.follow(&node.state.borrow().replicas);
    let known = accounts
        .into_iter()
        .filter_map(|account| keys.replica(account.key).map(|id| (id.clone(), account)));
    let told = ToldLoads::new(known.collect(), now);
    // It fails only once the last follower has left.
    let _ = news.followers.send(Rc::new(told));
}

/// A node that may listen to news of loads at this node's orderer.
#[derive(Default)]
pub(crate) struct LoadListener {
    delay: LinkDelay,
    news: Option<broadcast::Receiver<Bytes>>,
}

impl LoadListener {
    /// It told of loads, so it understands such news: from now on it listens at `source`.
    pub(crate) fn hear(
        &mut self,
        told: &WireLoads,
        source: &broadcast::Sender<Bytes>,
        now: Moment,
    ) -> Vec<LoadSample> {
        self.news.get_or_insert_with(|| source.subscribe());
        told.to_accounts(&mut self.delay, now)
    }

    /// The next message for it; never if it does not listen.
    pub(crate) async fn next(&mut self) -> Bytes {
        next(&mut self.news).await
    }
}

/// A follower of this relay that may listen to news of loads.
#[derive(Default)]
pub(crate) struct LoadFollower {
    delay: LinkDelay,
    news: Option<broadcast::Receiver<Rc<ToldLoads>>>,
}

impl LoadFollower {
    /// It told of loads, which go up with this node's own; from now on it listens.
    pub(crate) fn hear<P: Platform>(&mut self, node: &Node<P>, told: &WireLoads) {
        self.news
            .get_or_insert_with(|| node.load_news.followers.subscribe());
        let accounts = told.to_accounts(&mut self.delay, node.clock.now());
        for (_, account) in take_in(node, &accounts, "follower") {
            keep_for_orderers(node, account, "relay");
        }
    }

    /// The next news for it; never if it does not listen.
    pub(crate) async fn next(&mut self) -> Rc<ToldLoads> {
        next(&mut self.news).await
    }
}

async fn next<T: Clone>(news: &mut Option<broadcast::Receiver<T>>) -> T {
    let Some(receiver) = news else {
        return std::future::pending().await;
    };
    loop {
        match receiver.recv().await {
            Ok(news) => return news,
            // What it missed is old by now.
            Err(RecvError::Lagged(_)) => {}
            // The link ends for the same reason.
            Err(RecvError::Closed) => return std::future::pending().await,
        }
    }
}

/// Notes how old accounts are as they come, for the log.
fn note_arrivals<P: Platform>(node: &Node<P>, accounts: &[LoadSample], now: Moment) {
    let mut arrivals = node.load_news.arrivals.borrow_mut();
    let room = MOST_AGES.saturating_sub(arrivals.ages_ms.len());
    let ages = accounts.iter().take(room);
    arrivals
        .ages_ms
        .extend(ages.map(|account| now.since(account.at).as_millis() as u64));
    if now.since(arrivals.since) < LOG_EVERY || arrivals.ages_ms.is_empty() {
        return;
    }
    arrivals.since = now;
    let mut ages_ms = std::mem::take(&mut arrivals.ages_ms);
    ages_ms.sort_unstable();
    let part = |numerator: usize| ages_ms[(ages_ms.len() - 1) * numerator / 10];
    tracing::debug!(target: "load news", event = "accounts came", count = ages_ms.len(),
        p50_ms = part(5), p90_ms = part(9), sent_bytes = node.metrics.load_news_bytes.get());
}
