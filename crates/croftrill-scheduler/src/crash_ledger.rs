//! Detection of requests that crash the replicas running them.
//!
//! A replica that ends loses all its requests, so its end is evidence against every request
//! that had just started there. Two rules separate the causes from the bystanders:
//!
//! - A request that receives a complete answer anywhere is cleared of all earlier ends.
//! - Of the requests that had just started at a replica, those with the most ends are
//!   blamed for its end; the others count as bystanders.
//!
//! Ends are counted per replica incarnation. The reports of the nodes are merged as sets, so
//! duplicate and delayed reports change nothing and all nodes arrive at the same counts.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::replica::StartedMs;
use crate::time::Moment;

/// Hash that identifies a request by its content: path, caller and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Fingerprint)
    }
}

/// Hash that identifies a replica incarnation that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndedReplica(pub u64);

impl EndedReplica {
    /// Returns the key of the incarnation with this ID and start time.
    pub fn of(id: &str, started_ms: Option<StartedMs>) -> Self {
        EndedReplica(xxh3_64_with_seed(id.as_bytes(), started_ms.unwrap_or(0)))
    }
}

/// Number of blamed ends at which a request is refused: users accept that three replicas
/// end under one request.
const BLAMED_ENDS_TO_REFUSE: usize = 3;
/// Total number of ends at which a request is refused, whichever other requests were there.
/// Two crashing requests that always run together would shield one another, and users
/// accept three sends after the third end.
const TOTAL_ENDS_TO_REFUSE: usize = 5;
/// Number of ends at which a request is held back if it alone had the most ends at these
/// replicas. A crash costs all streams of a replica, while two independent ends within the
/// first seconds of both runs of an innocent request are rare.
const ENDS_TO_HOLD: usize = 2;
/// How long such a request is held back, so that an innocent one is served eventually. Twice
/// the longest time that callers of the known routes wait (15 s): a crashing request that its
/// caller keeps retrying ends no third replica meanwhile.
pub const HOLD_DURATION: Duration = Duration::from_secs(30);
/// Maximum number of requests that had just started at an ended replica for which each is
/// sent one at a time. Of more requests each is hardly suspect, and they would cause many
/// store calls: a rack of full replicas leaves hundreds of requests.
const MAX_STARTED_FOR_ONE_AT_A_TIME: usize = 8;
/// Minimum interval between two merges of other nodes' reports: merging those of 380 nodes
/// takes 0.7 ms usually, and 66 ms if all are full (`croftrill-bench capacity`).
const MERGE_INTERVAL: Duration = Duration::from_millis(100);
/// How long a node reports a request after it last ended a replica or was refused, and how
/// long another node's report counts after it was last received. Equals the longest lease of
/// a store.
pub const REPORT_RETENTION: Duration = Duration::from_secs(600);
/// Interval at which expired reports are removed; short compared with [`REPORT_RETENTION`].
const EXPIRY_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum number of requests in a node's report, at about 100 bytes each: those that had
/// just started at two full replicas.
const MAX_REPORTED_REQUESTS: usize = 128;
/// Maximum number of ends of one request in a report: more would not change a verdict.
const MAX_ENDS_PER_REQUEST: usize = 8;

/// Evidence against one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Suspicion {
    /// Replicas that ended when the request had just started there.
    pub ended: BTreeSet<EndedReplica>,
    /// Those of them of which the request was cleared.
    pub cleared: BTreeSet<EndedReplica>,
}

impl Suspicion {
    fn merge(&mut self, other: &Suspicion) {
        self.ended.extend(&other.ended);
        self.cleared.extend(&other.cleared);
    }

    fn open(&self) -> impl Iterator<Item = EndedReplica> + '_ {
        self.ended.difference(&self.cleared).copied()
    }
}

/// The evidence that one node reports.
pub type CrashReport = BTreeMap<Fingerprint, Suspicion>;

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be sent.
    Free,
    /// The request may be sent unless another copy of it has just been sent.
    OneAtATime,
    /// The request may be sent after this time.
    Held(Duration),
    /// The request is not sent any more.
    Refused,
}

/// Merged evidence of all reports against one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// Replicas that ended under the request, without those of which it was cleared.
    pub ends: BTreeSet<EndedReplica>,
    /// Number of these replicas at which no other request had more ends.
    pub blamed: usize,
    /// Number of these replicas at which every other request had fewer ends.
    pub alone: usize,
    /// Minimum over these replicas of the number of requests that had just started there.
    pub fewest_started: usize,
    /// When the newest end became known to this node.
    pub known_at: Moment,
}

impl Suspect {
    /// Returns the verdict on the request.
    pub fn verdict(&self, now: Moment) -> Verdict {
        if self.blamed >= BLAMED_ENDS_TO_REFUSE || self.ends.len() >= TOTAL_ENDS_TO_REFUSE {
            return Verdict::Refused;
        }
        let held_for = now.since(self.known_at);
        if self.alone >= ENDS_TO_HOLD && held_for < HOLD_DURATION {
            return Verdict::Held(HOLD_DURATION - held_for);
        }
        if self.ends.len() >= ENDS_TO_HOLD || self.fewest_started <= MAX_STARTED_FOR_ONE_AT_A_TIME {
            return Verdict::OneAtATime;
        }
        Verdict::Free
    }
}

#[derive(Debug, Clone, Default)]
struct OwnEvidence {
    suspicion: Suspicion,
    refreshed_at: Moment,
}

/// The report of another node. It is retained when its key disappears from the store: the
/// store may lose keys, which does not invalidate the evidence.
#[derive(Debug, Clone)]
struct ReceivedReport {
    report: CrashReport,
    at: Moment,
}

/// All evidence known to a node about requests that crash replicas.
#[derive(Debug, Default)]
pub struct CrashLedger {
    own: BTreeMap<Fingerprint, OwnEvidence>,
    reports: BTreeMap<String, ReceivedReport>,
    suspects: HashMap<Fingerprint, Suspect>,
    /// Replicas whose ends count against some suspect.
    ended: HashSet<EndedReplica>,
    /// Time of the latest change that `suspects` does not include yet.
    changed_at: Option<Moment>,
    /// True if this node's own report changed; such a change takes effect at once.
    own_changed: bool,
    merged_at: Moment,
}

impl CrashLedger {
    /// Returns true if there is no evidence, so that requests need not be looked up.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty() && self.reports.is_empty()
    }

    /// Records that a replica ended when this request had just started there.
    pub fn record_end(&mut self, fingerprint: Fingerprint, replica: EndedReplica, now: Moment) {
        let own = self.refresh(fingerprint, now);
        if own.suspicion.ended.len() < MAX_ENDS_PER_REQUEST {
            own.suspicion.ended.insert(replica);
        }
        self.own_report_changed(now);
    }

    /// Clears a request of all ends so far, because a replica answered it completely or an
    /// operator decided so. Returns true if there were any; then this node's report must be
    /// published, since the other nodes would continue to count the ends.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Moment) -> bool {
        let Some(suspect) = self.suspect(fingerprint).cloned() else {
            return false;
        };
        let own = self.refresh(fingerprint, now);
        own.suspicion.ended.extend(&suspect.ends);
        own.suspicion.cleared.extend(&suspect.ends);
        self.own_report_changed(now);
        true
    }

    /// Withdraws an end of a replica that answered a request sent after the end was known here, so
    /// that it had not ended. Returns true if this node's report must be published.
    pub fn withdraw_end(&mut self, replica: EndedReplica, sent_at: Moment, now: Moment) -> bool {
        if !self.ended.contains(&replica) {
            return false;
        }
        let is_refuted = |suspect: &Suspect| suspect.known_at < sent_at && suspect.ends.contains(&replica);
        let suspects = self.suspects.iter();
        let refuted = suspects.filter(|(_, suspect)| is_refuted(suspect));
        let refuted: Vec<Fingerprint> = refuted.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in &refuted {
            let own = self.refresh(*fingerprint, now);
            own.suspicion.ended.insert(replica);
            own.suspicion.cleared.insert(replica);
        }
        if !refuted.is_empty() {
            self.own_report_changed(now);
        }
        !refuted.is_empty()
    }

    /// Copies all evidence against a request into this node's own report, so that it does not
    /// expire. Returns true if the report should be published again.
    pub fn adopt(&mut self, fingerprint: Fingerprint, now: Moment) -> bool {
        let known: Vec<Suspicion> = self
            .reports
            .values()
            .filter_map(|received| received.report.get(&fingerprint))
            .cloned()
            .collect();
        let refreshed_before = self.own.get(&fingerprint).map(|own| own.refreshed_at);
        let own = self.refresh(fingerprint, now);
        let before = own.suspicion.clone();
        known.iter().for_each(|known| own.suspicion.merge(known));
        let is_old =
            refreshed_before.is_none_or(|refreshed_at| now.since(refreshed_at) > REPORT_RETENTION / 2);
        is_old || own.suspicion != before
    }

    /// Merges the report of a node that cannot publish it itself into this node's own report.
    /// Returns true if the own report changed.
    pub fn adopt_report(&mut self, report: &CrashReport, now: Moment) -> bool {
        let mut is_changed = false;
        for (fingerprint, suspicion) in report {
            let own = self.refresh(*fingerprint, now);
            let before = own.suspicion.clone();
            own.suspicion.merge(suspicion);
            is_changed |= own.suspicion != before;
        }
        if is_changed {
            self.own_report_changed(now);
        }
        is_changed
    }

    /// Replaces the report of another node by a new, complete one.
    pub fn apply_report(&mut self, source: &str, report: CrashReport, now: Moment) {
        self.reports
            .retain(|_, received| now.since(received.at) <= REPORT_RETENTION);
        let received = ReceivedReport { report, at: now };
        self.reports.insert(source.to_string(), received);
        self.changed_at = Some(now);
    }

    /// Iterates over the received reports, with their sources.
    pub fn reports(&self) -> impl Iterator<Item = (&str, &CrashReport)> {
        self.reports
            .iter()
            .map(|(source, received)| (source.as_str(), &received.report))
    }

    /// Returns this node's own report.
    pub fn own_report(&mut self, now: Moment) -> CrashReport {
        self.own
            .retain(|_, own| now.since(own.refreshed_at) <= REPORT_RETENTION);
        let own = self.own.iter();
        own.map(|(fingerprint, own)| (*fingerprint, own.suspicion.clone()))
            .collect()
    }

    /// Returns whether a request may be sent.
    pub fn verdict(&mut self, fingerprint: Fingerprint, now: Moment) -> Verdict {
        if now.since(self.merged_at) >= EXPIRY_INTERVAL {
            self.changed_at.get_or_insert(now);
        }
        if self.own_changed || now.since(self.merged_at) >= MERGE_INTERVAL {
            self.merge();
            self.merged_at = now;
        }
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(Verdict::Free, |suspect| suspect.verdict(now))
    }

    /// Returns the evidence against a request; `None` if no replica ended under it.
    pub fn suspect(&mut self, fingerprint: Fingerprint) -> Option<&Suspect> {
        self.merge();
        self.suspects.get(&fingerprint)
    }

    /// Iterates over all requests under which replicas ended.
    pub fn suspects(&mut self) -> impl Iterator<Item = (Fingerprint, &Suspect)> {
        self.merge();
        self.suspects
            .iter()
            .map(|(fingerprint, suspect)| (*fingerprint, suspect))
    }

    fn own_report_changed(&mut self, now: Moment) {
        self.changed_at = Some(now);
        self.own_changed = true;
    }

    fn refresh(&mut self, fingerprint: Fingerprint, now: Moment) -> &mut OwnEvidence {
        if self.own.len() >= MAX_REPORTED_REQUESTS && !self.own.contains_key(&fingerprint) {
            self.evict_least_suspect();
        }
        let own = self.own.entry(fingerprint).or_default();
        own.refreshed_at = now;
        own
    }

    /// Removes the request with the fewest ends, and among equals the least recently seen one.
    /// A caller can thus displace a refused request only by as many crashes.
    fn evict_least_suspect(&mut self) {
        let weight = |own: &OwnEvidence| (own.suspicion.open().count(), own.refreshed_at);
        let least = self.own.iter().min_by_key(|(_, own)| weight(own));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.own.remove(&fingerprint);
        }
    }

    /// Merges all reports into `suspects` if any has changed.
    fn merge(&mut self) {
        let Some(changed_at) = self.changed_at.take() else {
            return;
        };
        self.own_changed = false;
        self.own
            .retain(|_, own| changed_at.since(own.refreshed_at) <= REPORT_RETENTION);
        let mut merged: CrashReport = BTreeMap::new();
        let own = self.own.iter().map(|(key, own)| (key, &own.suspicion));
        self.reports
            .retain(|_, received| changed_at.since(received.at) <= REPORT_RETENTION);
        let received = self.reports.values().flat_map(|received| &received.report);
        for (fingerprint, suspicion) in received.chain(own) {
            merged.entry(*fingerprint).or_default().merge(suspicion);
        }
        merged.retain(|_, suspicion| suspicion.open().next().is_some());
        let ranks = rank_by_replica(&merged);
        self.ended = ranks.keys().copied().collect();
        let former = std::mem::take(&mut self.suspects);
        for (fingerprint, suspicion) in merged {
            let ends: BTreeSet<EndedReplica> = suspicion.open().collect();
            let former = former.get(&fingerprint);
            let known_at = former.filter(|former| former.ends.is_superset(&ends));
            let suspect = Suspect {
                blamed: ends
                    .iter()
                    .filter(|end| ranks[end].most_ends == ends.len())
                    .count(),
                alone: ends.iter().filter(|end| ranks[end].is_alone(ends.len())).count(),
                fewest_started: ends
                    .iter()
                    .map(|end| ranks[end].started)
                    .min()
                    .unwrap_or_default(),
                known_at: known_at.map_or(changed_at, |former| former.known_at),
                ends,
            };
            self.suspects.insert(fingerprint, suspect);
        }
    }
}

/// Counts of the requests that had just started at a replica when it ended.
#[derive(Debug, Clone, Copy, Default)]
struct Rank {
    /// Number of these requests.
    started: usize,
    /// The highest number of ends of any of them.
    most_ends: usize,
    /// Number of requests with that many ends.
    requests_with_most: usize,
}

impl Rank {
    fn is_alone(&self, ends: usize) -> bool {
        self.most_ends == ends && self.requests_with_most == 1
    }
}

fn rank_by_replica(merged: &CrashReport) -> HashMap<EndedReplica, Rank> {
    let mut ranks: HashMap<EndedReplica, Rank> = HashMap::new();
    for suspicion in merged.values() {
        let count = suspicion.open().count();
        for replica in suspicion.open() {
            let rank = ranks.entry(replica).or_default();
            rank.started += 1;
            match count.cmp(&rank.most_ends) {
                std::cmp::Ordering::Greater => {
                    rank.most_ends = count;
                    rank.requests_with_most = 1;
                }
                std::cmp::Ordering::Equal => rank.requests_with_most += 1,
                std::cmp::Ordering::Less => {}
            }
        }
    }
    ranks
}
