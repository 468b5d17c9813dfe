//! Decides what a node announces, requests and sends to bring the newest configuration to all
//! nodes, over whatever links there are between them.
//!
//! A configuration is complete in itself and its versions only rise. So a node takes a newer one
//! from any node, whatever its role and whether or not its view of the store has gaps. Both ends
//! of a link announce the version that they hold when it is newer than what the other end
//! announced. A node that hears of a newer version requests it from one link at a time. It is sent
//! the version that is the newest when the request is served, so versions that were replaced are
//! never queued. While nothing changes, nothing is sent.
//!
//! Safety: a node never takes a version that is no newer than its own, nor one of an era of the
//! store before the newest that it knows, and does not announce such a version.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Moment;

/// Time within which a requested configuration should arrive; doubled for each further attempt,
/// as a large one may need longer over a narrow link.
const FIRST_FETCH_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum time to wait for a requested configuration.
const MAX_FETCH_TIMEOUT: Duration = Duration::from_millis(2400);

/// A version of the configuration, and the era of the store in which it was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldVersion {
    /// The version; 0 if there is none.
    pub version: u64,
    /// Number of eras of the store before the one in which it was written.
    pub era: u64,
}

impl HeldVersion {
    /// The state of a node without a configuration.
    pub const NONE: HeldVersion = HeldVersion { version: 0, era: 0 };
}

/// Identifies a link of one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(u64);

/// What a node should send over a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkAction {
    /// Announce the version that the node holds.
    Announce(HeldVersion),
    /// Request the newest configuration that the peer holds.
    Request,
    /// Send the configuration that the node holds, as requested.
    Send,
}

/// A version of the configuration that a node has heard of and does not hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MissedVersion {
    /// The highest such version.
    pub version: u64,
    /// The latest era of the store in which such a version was written.
    pub era: u64,
    /// When the node first heard of a version newer than its own.
    pub since: Moment,
}

#[derive(Debug, Default)]
struct Link {
    /// True once the peer is known to take part.
    is_ready: bool,
    /// Newest version that the peer announced.
    announced_by_peer: Option<HeldVersion>,
    /// Version that was last announced to the peer.
    announced_to_peer: Option<u64>,
    /// True if the peer requested the configuration.
    is_requested: bool,
    /// Until when other links are preferred for requests.
    avoided_until: Moment,
}

#[derive(Debug)]
struct Fetch {
    link: LinkId,
    until: Moment,
}

/// A node's part in spreading the newest configuration.
#[derive(Debug)]
pub struct ConfigurationExchange {
    held: HeldVersion,
    /// The newest known era of the store.
    era: u64,
    links: BTreeMap<LinkId, Link>,
    next_link: u64,
    fetch: Option<Fetch>,
    /// Number of requests without success since the last configuration arrived.
    failed_fetches: u32,
    /// Highest version whose content cannot be read.
    unreadable_version: u64,
    missed: Option<MissedVersion>,
}

impl Default for ConfigurationExchange {
    fn default() -> Self {
        ConfigurationExchange {
            held: HeldVersion::NONE,
            era: 0,
            links: BTreeMap::new(),
            next_link: 0,
            fetch: None,
            failed_fetches: 0,
            unreadable_version: 0,
            missed: None,
        }
    }
}

impl ConfigurationExchange {
    /// Returns the version that the node holds.
    pub fn held(&self) -> HeldVersion {
        self.held
    }

    /// Returns the newest version that the node has heard of and does not hold, if any.
    pub fn missed(&self) -> Option<MissedVersion> {
        self.missed
    }

    /// Records the version that the node holds. An older one changes nothing; the same one may be
    /// confirmed in a later era.
    pub fn record_held(&mut self, held: HeldVersion) {
        let is_newer = held.version > self.held.version;
        let is_confirmed = held.version == self.held.version && held.era > self.held.era;
        if !is_newer && !is_confirmed {
            return;
        }
        self.held = held;
        if is_newer {
            self.fetch = None;
            self.failed_fetches = 0;
        }
        if is_confirmed {
            // Peers that know the later era passed over the earlier announcement.
            let announced = self.links.values_mut().map(|link| &mut link.announced_to_peer);
            announced.for_each(|version| *version = version.map(|_| 0));
        }
        self.missed.take_if(|missed| missed.version <= held.version);
    }

    /// Records the newest known era of the store.
    pub fn record_era(&mut self, era: u64) {
        self.era = self.era.max(era);
        self.missed.take_if(|missed| missed.era < era);
    }

    /// Records that a version exists, whoever said so.
    pub fn record_seen(&mut self, seen: HeldVersion, now: Moment) {
        if !self.is_wanted(seen) {
            return;
        }
        let missed = self.missed.get_or_insert(MissedVersion {
            version: seen.version,
            era: seen.era,
            since: now,
        });
        missed.version = missed.version.max(seen.version);
        missed.era = missed.era.max(seen.era);
    }

    /// Returns whether the node should take this version.
    pub fn is_wanted(&self, offered: HeldVersion) -> bool {
        offered.version > self.held.version.max(self.unreadable_version) && offered.era >= self.era
    }

    /// Opens a link. `is_ready` is true if the peer is known to take part.
    pub fn open_link(&mut self, is_ready: bool) -> LinkId {
        let id = LinkId(self.next_link);
        self.next_link += 1;
        let link = Link {
            is_ready,
            ..Link::default()
        };
        self.links.insert(id, link);
        id
    }

    /// Closes a link. What was requested over it is requested over another one.
    pub fn close_link(&mut self, id: LinkId) {
        self.links.remove(&id);
        self.fetch.take_if(|fetch| fetch.link == id);
    }

    /// Returns whether the peer of a link is known to take part.
    pub fn is_ready(&self, id: LinkId) -> bool {
        self.links.get(&id).is_some_and(|link| link.is_ready)
    }

    /// Returns whether a configuration was requested over a link and has not arrived.
    pub fn is_fetching(&self, id: LinkId) -> bool {
        self.fetch.as_ref().is_some_and(|fetch| fetch.link == id)
    }

    /// Records that the peer of a link announced a version.
    pub fn receive_announcement(&mut self, id: LinkId, announced: HeldVersion, now: Moment) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        link.is_ready = true;
        let known = link.announced_by_peer.map_or(0, |known| known.version);
        if announced.version >= known {
            link.announced_by_peer = Some(announced);
        }
        self.record_seen(announced, now);
    }

    /// Records that the peer of a link requested the configuration.
    pub fn receive_request(&mut self, id: LinkId) {
        if let Some(link) = self.links.get_mut(&id) {
            link.is_ready = true;
            link.is_requested = true;
        }
    }

    /// Records that a configuration arrived over a link. If it was newer and could be read,
    /// [`Self::record_held`] follows; `unreadable` is its version if it could not.
    pub fn receive_content(&mut self, id: LinkId, unreadable: Option<u64>) {
        if let Some(link) = self.links.get_mut(&id) {
            link.is_ready = true;
        }
        self.fetch.take_if(|fetch| fetch.link == id);
        let Some(version) = unreadable else {
            return;
        };
        self.unreadable_version = self.unreadable_version.max(version);
        self.missed.take_if(|missed| missed.version <= version);
    }

    /// Records that a configuration that arrived over a link cannot be decoded by this node, as it
    /// does not hold what the content is based on.
    pub fn record_failed_content(&mut self, id: LinkId, now: Moment) {
        if self.fetch.take_if(|fetch| fetch.link == id).is_some() {
            self.record_failed_fetch(id, now);
        }
    }

    /// Returns what to send over a link now, if anything, and records that it is sent.
    pub fn next_action(&mut self, id: LinkId, now: Moment) -> Option<LinkAction> {
        self.end_late_fetch(now);
        let held = self.held;
        let is_current = held.version > 0 && held.era >= self.era;
        let link = self.links.get_mut(&id).filter(|link| link.is_ready)?;
        if std::mem::take(&mut link.is_requested) && is_current {
            link.announced_to_peer = Some(held.version);
            return Some(LinkAction::Send);
        }
        // The first announcement tells the peer that this node takes part.
        let is_first = link.announced_to_peer.is_none();
        let known_to_peer = link.announced_by_peer.map_or(0, |known| known.version);
        let is_news = is_current && held.version > known_to_peer.max(link.announced_to_peer.unwrap_or(0));
        if is_first || is_news {
            let announced = if is_current { held } else { HeldVersion::NONE };
            link.announced_to_peer = Some(announced.version);
            return Some(LinkAction::Announce(announced));
        }
        self.should_request(id, now).then(|| {
            self.fetch = Some(Fetch {
                link: id,
                until: now + self.fetch_timeout(),
            });
            LinkAction::Request
        })
    }

    /// Returns when [`Self::next_action`] may return something else without another event.
    pub fn next_wakeup(&self) -> Option<Moment> {
        self.fetch.as_ref().map(|fetch| fetch.until)
    }

    fn should_request(&self, id: LinkId, now: Moment) -> bool {
        if self.fetch.is_some() {
            return false;
        }
        let offers = |link: &Link| {
            link.announced_by_peer
                .is_some_and(|offered| self.is_wanted(offered))
        };
        let Some(link) = self.links.get(&id).filter(|link| offers(link)) else {
            return false;
        };
        let is_avoided = |link: &Link| link.avoided_until > now;
        let has_other = || {
            self.links
                .values()
                .any(|other| offers(other) && !is_avoided(other))
        };
        !is_avoided(link) || !has_other()
    }

    fn fetch_timeout(&self) -> Duration {
        let factor = 2u32.saturating_pow(self.failed_fetches.min(8));
        (FIRST_FETCH_TIMEOUT * factor).min(MAX_FETCH_TIMEOUT)
    }

    fn end_late_fetch(&mut self, now: Moment) {
        if let Some(fetch) = self.fetch.take_if(|fetch| fetch.until <= now) {
            self.record_failed_fetch(fetch.link, now);
        }
    }

    fn record_failed_fetch(&mut self, id: LinkId, now: Moment) {
        self.failed_fetches += 1;
        let avoided_until = now + self.fetch_timeout();
        if let Some(link) = self.links.get_mut(&id) {
            link.avoided_until = avoided_until;
        }
    }
}

/// What a node knows about its connection to the store, by itself or over other nodes.
#[derive(Debug, Clone, Copy)]
pub struct StoreContact {
    /// When its view was last proven complete.
    pub proven_at: Option<Moment>,
    /// Time for which such a proof is trusted.
    pub proof_lifetime: Duration,
    /// Whether its own calls to the store fail.
    pub own_calls_fail: bool,
    /// When it last received something from an orderer or a relay, or became ready; `None` if it
    /// depends on none.
    pub uplink_heard_at: Option<Moment>,
    /// Time after which a silent uplink may be dead.
    pub max_uplink_silence: Duration,
}

impl StoreContact {
    /// Returns whether the node should open links to other nodes, as it may have missed a
    /// configuration, and so may all nodes that it is linked to.
    pub fn needs_probes(&self, now: Moment) -> bool {
        let is_silent = |at: Moment| now.since(at) > self.max_uplink_silence;
        if self.uplink_heard_at.is_some_and(is_silent) {
            return true;
        }
        let max_age = if self.own_calls_fail {
            self.proof_lifetime / 2
        } else {
            self.proof_lifetime
        };
        self.proven_at.is_none_or(|at| now.since(at) > max_age)
    }
}

/// Interval at which a node that needs probes opens links to other nodes.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Lifetime of such a link.
pub const PROBE_LIFETIME: Duration = Duration::from_millis(900);
/// Number of connections that should succeed per interval, as some of the nodes may have missed
/// the same.
const CONNECTIONS_PER_INTERVAL: u32 = 2;
/// Maximum number of attempts per interval, while most nodes are unreachable.
const MAX_ATTEMPTS_PER_INTERVAL: usize = 32;

/// Chooses the nodes to open links to: those that were chosen longest ago, and the more of them the
/// fewer can be connected.
#[derive(Debug)]
pub struct ProbeTargets<K> {
    chosen_at: BTreeMap<K, Moment>,
    attempts: u32,
    connections: u32,
}

impl<K> Default for ProbeTargets<K> {
    fn default() -> Self {
        ProbeTargets {
            chosen_at: BTreeMap::new(),
            attempts: 0,
            connections: 0,
        }
    }
}

impl<K: Ord + Copy> ProbeTargets<K> {
    /// Returns the next targets among `candidates`, which are in random order.
    pub fn choose(&mut self, candidates: impl Iterator<Item = K>, now: Moment) -> Vec<K> {
        let mut candidates: Vec<K> = candidates.collect();
        self.chosen_at.retain(|key, _| candidates.contains(key));
        candidates.sort_by_key(|key| self.chosen_at.get(key).copied());
        candidates.truncate(self.attempts_per_interval());
        for key in &candidates {
            self.chosen_at.insert(*key, now);
        }
        self.attempts += candidates.len() as u32;
        candidates
    }

    /// Records that a target was connected.
    pub fn record_connection(&mut self) {
        self.connections += 1;
    }

    /// Starts over, once no links need to be opened.
    pub fn clear(&mut self) {
        *self = ProbeTargets::default();
    }

    fn attempts_per_interval(&self) -> usize {
        let attempts_per_connection = (self.attempts + 1) / (self.connections + 1);
        let attempts = CONNECTIONS_PER_INTERVAL * attempts_per_connection.max(1);
        (attempts as usize).min(MAX_ATTEMPTS_PER_INTERVAL)
    }
}
