//! Which requests crash the replicas that begin to run them.
//!
//! A replica that ends takes all its requests with it, so one end is evidence
//! against each request that had just begun there. What tells them apart:
//!
//! - a request that was answered whole anywhere is cleared of all ends before;
//! - of the requests that had begun at a replica, those with the most ends bear
//!   the blame, and the others were only beside them.
//!
//! Ends count by replica incarnation. Reports of several nodes are united as sets,
//! so doubled and late ones change nothing, and every node comes to the same count.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::replica::BornMs;
use crate::time::Moment;

/// Identity of a request's content: its path, caller and body.
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

/// Identity of a replica incarnation that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndedReplica(pub u64);

impl EndedReplica {
    /// The key of the incarnation with this id that started then.
    pub fn of(id: &str, born_ms: Option<BornMs>) -> Self {
        EndedReplica(xxh3_64_with_seed(id.as_bytes(), born_ms.unwrap_or(0)))
    }
}

/// Ends for which a request bears the blame from which on it is not sent any more.
/// The users allow three replicas to end under one request.
const ENDS_TO_REFUSE: usize = 3;
/// Ends from which on it is not sent whoever else was there: two crashing requests
/// that always come together would shield one another, and the users allow three
/// sends after the third end.
const ENDS_TO_REFUSE_IN_COMPANY: usize = 5;
/// Ends under a request that alone had most of them, from which on it is held
/// back: a crash costs all of a replica's streams, while two independent ends
/// within the first seconds of both runs of an innocent request are rare.
const ENDS_TO_HOLD: usize = 2;
/// How long such a request is held back, so that an innocent one is served after
/// all: twice the longest time that callers of known routes wait (15 s). A crashing
/// request that its caller sends again and again costs no third replica meanwhile.
pub const HOLD: Duration = Duration::from_secs(30);
/// Requests that had just begun at an ended replica, up to which each of them is
/// sent one at a time. Of more, each is hardly suspect, and the calls to the store
/// would be many: a rack of full replicas leaves hundreds.
const MOST_BEGUN_TO_TRY: usize = 8;
/// Reports of other nodes are united this rarely: uniting those of 380 nodes takes
/// 0.7 ms usually, and 66 ms if all are full (`croftrill-bench capacity`).
const UNITE_EVERY: Duration = Duration::from_millis(100);
/// How long a node reports a request after it last crashed a replica or was
/// refused, and how long another node's report counts after it was last told. As
/// long as the longest lease of a store.
pub const KEEP: Duration = Duration::from_secs(600);
/// What is over is forgotten this rarely: soon enough beside `KEEP`.
const FORGET_EVERY: Duration = Duration::from_secs(60);
/// Most requests in one node's report, at some 100 bytes: those that had just
/// begun at two full replicas.
const MOST_REPORTED: usize = 128;
/// Most ends of one request in a report: more change no verdict.
const MOST_ENDS: usize = 8;

/// What is reported of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Suspicion {
    /// Replicas that ended when it had just begun there.
    pub ended: BTreeSet<EndedReplica>,
    /// Those of them of which it was cleared.
    pub cleared: BTreeSet<EndedReplica>,
}

impl Suspicion {
    fn unite(&mut self, other: &Suspicion) {
        self.ended.extend(&other.ended);
        self.cleared.extend(&other.cleared);
    }

    fn open(&self) -> impl Iterator<Item = EndedReplica> + '_ {
        self.ended.difference(&self.cleared).copied()
    }
}

/// What one node reports.
pub type CrashReport = BTreeMap<Fingerprint, Suspicion>;

/// What may happen with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent.
    Free,
    /// It may be sent while no other copy of it has just been.
    OneAtATime,
    /// It may be sent after this time.
    Held(Duration),
    /// It is not sent any more.
    Refused,
}

/// What all reports together say of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// Replicas that ended under it, without those of which it was cleared.
    pub ends: BTreeSet<EndedReplica>,
    /// Ends at which no other request had more.
    pub blamed: usize,
    /// Ends at which every other request had fewer.
    pub alone: usize,
    /// Requests that had just begun at the ended replica, where they were fewest.
    pub fewest_begun: usize,
    /// When the newest end became known here.
    pub known_at: Moment,
}

impl Suspect {
    /// The verdict on the request.
    pub fn verdict(&self, now: Moment) -> Verdict {
        if self.blamed >= ENDS_TO_REFUSE || self.ends.len() >= ENDS_TO_REFUSE_IN_COMPANY {
            return Verdict::Refused;
        }
        let held_for = now.since(self.known_at);
        if self.alone >= ENDS_TO_HOLD && held_for < HOLD {
            return Verdict::Held(HOLD - held_for);
        }
        if self.ends.len() >= ENDS_TO_HOLD || self.fewest_begun <= MOST_BEGUN_TO_TRY {
            return Verdict::OneAtATime;
        }
        Verdict::Free
    }
}

#[derive(Debug, Clone, Default)]
struct Own {
    suspicion: Suspicion,
    touched: Moment,
}

/// Another node's report. It outlives its key in the store: the store may drop
/// keys, and what is known of a request does not change with that.
#[derive(Debug, Clone)]
struct Told {
    report: CrashReport,
    at: Moment,
}

/// All that a node knows of requests that crash replicas.
#[derive(Debug, Default)]
pub struct CrashLedger {
    own: BTreeMap<Fingerprint, Own>,
    reports: BTreeMap<String, Told>,
    suspects: HashMap<Fingerprint, Suspect>,
    /// When something changed that `suspects` does not show yet.
    changed_at: Option<Moment>,
    /// True if that is this node's own report, which counts at once.
    own_changed: bool,
    united_at: Moment,
}

impl CrashLedger {
    /// True if nothing is suspected, so that requests need not be looked up.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty() && self.reports.is_empty()
    }

    /// A replica ended when this request had just begun there.
    pub fn record_end(&mut self, fingerprint: Fingerprint, replica: EndedReplica, now: Moment) {
        let own = self.touch(fingerprint, now);
        if own.suspicion.ended.len() < MOST_ENDS {
            own.suspicion.ended.insert(replica);
        }
        self.own_report_changed(now);
    }

    /// Clears a request of all ends so far: a replica answered it whole, or an
    /// operator says so. True if there were any, which the other nodes must hear:
    /// they would count the ends on.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Moment) -> bool {
        let Some(suspect) = self.suspect(fingerprint).cloned() else {
            return false;
        };
        let own = self.touch(fingerprint, now);
        own.suspicion.ended.extend(&suspect.ends);
        own.suspicion.cleared.extend(&suspect.ends);
        self.own_report_changed(now);
        true
    }

    /// What all know of the request becomes part of this node's own report, which
    /// keeps it alive. True if the report should be told anew.
    pub fn adopt(&mut self, fingerprint: Fingerprint, now: Moment) -> bool {
        let known: Vec<Suspicion> = self
            .reports
            .values()
            .filter_map(|told| told.report.get(&fingerprint))
            .cloned()
            .collect();
        let touched_before = self.own.get(&fingerprint).map(|own| own.touched);
        let own = self.touch(fingerprint, now);
        let before = own.suspicion.clone();
        known.iter().for_each(|known| own.suspicion.unite(known));
        let is_old = touched_before.is_none_or(|touched| now.since(touched) > KEEP / 2);
        is_old || own.suspicion != before
    }

    /// Another node cannot tell its report itself: this one's tells it too.
    pub fn adopt_report(&mut self, report: &CrashReport, now: Moment) -> bool {
        let mut is_changed = false;
        for (fingerprint, suspicion) in report {
            let own = self.touch(*fingerprint, now);
            let before = own.suspicion.clone();
            own.suspicion.unite(suspicion);
            is_changed |= own.suspicion != before;
        }
        if is_changed {
            self.own_report_changed(now);
        }
        is_changed
    }

    /// A node's report, whole, replaces its former one.
    pub fn take_report(&mut self, source: &str, report: CrashReport, now: Moment) {
        self.reports.retain(|_, told| now.since(told.at) <= KEEP);
        let told = Told { report, at: now };
        self.reports.insert(source.to_string(), told);
        self.changed_at = Some(now);
    }

    /// The reports that were told, by source.
    pub fn reports(&self) -> impl Iterator<Item = (&str, &CrashReport)> {
        self.reports
            .iter()
            .map(|(source, told)| (source.as_str(), &told.report))
    }

    /// This node's own report.
    pub fn own_report(&mut self, now: Moment) -> CrashReport {
        self.own.retain(|_, own| now.since(own.touched) <= KEEP);
        let own = self.own.iter();
        own.map(|(fingerprint, own)| (*fingerprint, own.suspicion.clone()))
            .collect()
    }

    /// What may happen with a request.
    pub fn verdict(&mut self, fingerprint: Fingerprint, now: Moment) -> Verdict {
        if now.since(self.united_at) >= FORGET_EVERY {
            self.changed_at.get_or_insert(now);
        }
        if self.own_changed || now.since(self.united_at) >= UNITE_EVERY {
            self.unite();
            self.united_at = now;
        }
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(Verdict::Free, |suspect| suspect.verdict(now))
    }

    /// What is known of a request; `None` if no replica ended under it.
    pub fn suspect(&mut self, fingerprint: Fingerprint) -> Option<&Suspect> {
        self.unite();
        self.suspects.get(&fingerprint)
    }

    /// All requests under which replicas ended.
    pub fn suspects(&mut self) -> impl Iterator<Item = (Fingerprint, &Suspect)> {
        self.unite();
        self.suspects
            .iter()
            .map(|(fingerprint, suspect)| (*fingerprint, suspect))
    }

    fn own_report_changed(&mut self, now: Moment) {
        self.changed_at = Some(now);
        self.own_changed = true;
    }

    fn touch(&mut self, fingerprint: Fingerprint, now: Moment) -> &mut Own {
        if self.own.len() >= MOST_REPORTED && !self.own.contains_key(&fingerprint) {
            self.drop_least();
        }
        let own = self.own.entry(fingerprint).or_default();
        own.touched = now;
        own
    }

    /// Forgets the request with the fewest ends, the one that came longest ago
    /// first. So nobody makes a node forget a request that it refuses, but by as
    /// many crashes.
    fn drop_least(&mut self) {
        let weight = |own: &Own| (own.suspicion.open().count(), own.touched);
        let least = self.own.iter().min_by_key(|(_, own)| weight(own));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.own.remove(&fingerprint);
        }
    }

    /// Unites all reports, if any changed.
    fn unite(&mut self) {
        let Some(changed_at) = self.changed_at.take() else {
            return;
        };
        self.own_changed = false;
        self.own.retain(|_, own| changed_at.since(own.touched) <= KEEP);
        let mut united: CrashReport = BTreeMap::new();
        let own = self.own.iter().map(|(key, own)| (key, &own.suspicion));
        self.reports.retain(|_, told| changed_at.since(told.at) <= KEEP);
        let told = self.reports.values().flat_map(|told| &told.report);
        for (fingerprint, suspicion) in told.chain(own) {
            united.entry(*fingerprint).or_default().unite(suspicion);
        }
        united.retain(|_, suspicion| suspicion.open().next().is_some());
        let ranks = rank_by_replica(&united);
        let former = std::mem::take(&mut self.suspects);
        for (fingerprint, suspicion) in united {
            let ends: BTreeSet<EndedReplica> = suspicion.open().collect();
            let former = former.get(&fingerprint);
            let known_at = former.filter(|former| former.ends.is_superset(&ends));
            let suspect = Suspect {
                blamed: ends.iter().filter(|end| ranks[end].most == ends.len()).count(),
                alone: ends.iter().filter(|end| ranks[end].is_alone(ends.len())).count(),
                fewest_begun: ends.iter().map(|end| ranks[end].begun).min().unwrap_or_default(),
                known_at: known_at.map_or(changed_at, |former| former.known_at),
                ends,
            };
            self.suspects.insert(fingerprint, suspect);
        }
    }
}

/// The most ends of any request that had begun at a replica, and of how many.
#[derive(Debug, Clone, Copy, Default)]
struct Rank {
    begun: usize,
    most: usize,
    with_most: usize,
}

impl Rank {
    fn is_alone(&self, ends: usize) -> bool {
        self.most == ends && self.with_most == 1
    }
}

fn rank_by_replica(united: &CrashReport) -> HashMap<EndedReplica, Rank> {
    let mut ranks: HashMap<EndedReplica, Rank> = HashMap::new();
    for suspicion in united.values() {
        let count = suspicion.open().count();
        for replica in suspicion.open() {
            let rank = ranks.entry(replica).or_default();
            rank.begun += 1;
            match count.cmp(&rank.most) {
                std::cmp::Ordering::Greater => {
                    rank.most = count;
                    rank.with_most = 1;
                }
                std::cmp::Ordering::Equal => rank.with_most += 1,
                std::cmp::Ordering::Less => {}
            }
        }
    }
    ranks
}
