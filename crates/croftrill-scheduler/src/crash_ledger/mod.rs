//! Detection of requests, and of parts of prompts, that crash the replicas running them.
//!
//! A replica that ends loses all its requests, so its end is evidence against every request that had
//! just started there, and against the parts of their prompts. Two rules separate the causes from the
//! bystanders:
//!
//! - A suspect that receives a complete answer anywhere is cleared of all earlier ends.
//! - Of the suspects at a replica, those with the most ends are blamed for its end. Of these, parts that
//!   this node saw answered come last, and the most specific ones first: a request before the parts of
//!   its prompt, and a part before those in front of it. The others count as bystanders.
//!
//! Ends are counted per replica incarnation. The reports of the nodes are merged as sets, so
//! duplicate and delayed reports change nothing and all nodes arrive at the same counts.

mod rank;
mod suspect_id;
mod verdict;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

pub use self::rank::SAME_MOMENT;
use self::rank::{companies, company_of, count_moments, rank_by_replica, Weight};
pub use self::suspect_id::{EndedReplica, Fingerprint, PartHash, Sighting, SuspectId};
use self::verdict::ENDS_TO_HOLD;
pub use self::verdict::{Suspect, Verdict, HOLD_DURATION};
use crate::replica::StartedMs;
use crate::time::Moment;

/// Minimum interval between two merges of other nodes' reports.
const MERGE_INTERVAL: Duration = Duration::from_millis(100);
/// The same by suspect in each report: about ten times what a merge takes (`croftrill-bench capacity`).
const MERGE_INTERVAL_PER_ROW: Duration = Duration::from_micros(15);
/// Longest such interval, so that all nodes know of an end well within the contact time.
const MAX_MERGE_INTERVAL: Duration = Duration::from_secs(1);
/// How long a node reports a request after it last ended a replica or was refused, and how
/// long another node's report counts after it was last received. Equals the longest lease of
/// a store.
pub const REPORT_RETENTION: Duration = Duration::from_secs(600);
/// Interval at which expired reports are removed; short compared with [`REPORT_RETENTION`].
const EXPIRY_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum number of requests in a node's report, at about 100 bytes each: those that had
/// just started at two full replicas.
const MAX_REPORTED_REQUESTS: usize = 128;
/// Maximum number of parts in a node's report, at about 60 bytes each.
const MAX_REPORTED_PARTS: usize = 128;
/// Maximum number of parts of one request that its replica's end counts against.
pub const MAX_PARTS_OF_REQUEST: usize = 64;
/// Maximum number of parts of which a node remembers that they were answered.
const MAX_ANSWERED_PARTS: usize = 4096;
/// Maximum number of ends of one request in a report: more would not change a verdict.
const MAX_ENDS_PER_REQUEST: usize = 8;

/// Evidence against one suspect.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Suspicion {
    /// Replicas that ended when the suspect had just started there.
    pub ended: BTreeSet<EndedReplica>,
    /// Those of them of which the suspect was cleared.
    pub cleared: BTreeSet<EndedReplica>,
    /// The last position at which a part stood in a prompt.
    pub position: u32,
}

impl Suspicion {
    fn merge(&mut self, other: &Suspicion) {
        self.position = self.position.max(other.position);
        self.ended.extend(&other.ended);
        self.cleared.extend(&other.cleared);
    }

    fn open(&self) -> impl Iterator<Item = EndedReplica> + '_ {
        self.ended.difference(&self.cleared).copied()
    }
}

/// The evidence that one node reports.
pub type CrashReport = BTreeMap<SuspectId, Suspicion>;

#[derive(Debug, Clone, Default)]
struct OwnEvidence {
    suspicion: Suspicion,
    refreshed_at: Moment,
}

/// What shows that an answer came from the incarnation of a replica that is recorded as ended. A replica
/// that is back under its id answers before its entry tells so, so that its name alone shows nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifeProof {
    /// It came on a connection that has been open since this time.
    Connection {
        /// When the connection was open at the latest.
        opened_at: Moment,
    },
    /// It names the start of the incarnation.
    Start,
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
    own: BTreeMap<SuspectId, OwnEvidence>,
    reports: BTreeMap<String, ReceivedReport>,
    suspects: HashMap<SuspectId, Suspect>,
    /// When these replicas ended, as far as this node knows.
    end_times: HashMap<EndedReplica, Moment>,
    /// When requests of this node first broke at these replicas, if it found their ends itself.
    broke_here: HashMap<EndedReplica, Moment>,
    /// When parts were last answered at this node, since there is any evidence.
    answered_parts: HashMap<PartHash, Moment>,
    /// Replicas whose ends count against some suspect.
    ended: HashSet<EndedReplica>,
    /// Time of the latest change that `suspects` does not include yet.
    changed_at: Option<Moment>,
    /// True if this node's own report changed; such a change takes effect at once.
    own_changed: bool,
    merged_at: Moment,
    /// Number of suspects in the reports at that time, each counted for each report.
    merged_rows: u32,
}

impl CrashLedger {
    /// Returns true if there is no evidence, so that requests need not be looked up.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty() && self.reports.is_empty()
    }

    /// Notes when a replica ended, before its end is recorded. The earliest note stands, as all others
    /// include a longer way to this node.
    pub fn note_end_time(&mut self, replica: EndedReplica, ended_at: Moment) {
        let noted = self.end_times.entry(replica).or_insert(ended_at);
        *noted = ended_at.min(*noted);
    }

    /// Notes that this node finds that a replica ended, and when its own requests first broke there.
    pub fn note_own_finding(&mut self, replica: EndedReplica, broke_at: Moment) {
        let noted = self.broke_here.entry(replica).or_insert(broke_at);
        *noted = broke_at.min(*noted);
    }

    /// Returns whether the incarnation of a replica that started at `started_ms` is recorded as ended, as
    /// evidence against some suspect. Without a start time the record may be of an earlier one.
    pub fn has_ended(&self, id: &str, started_ms: Option<StartedMs>) -> bool {
        started_ms.is_some() && self.ended.contains(&EndedReplica::of(id, started_ms))
    }

    /// Returns how long ago a replica ended, as far as this node knows.
    pub fn end_age(&self, replica: EndedReplica, now: Moment) -> Duration {
        let ended_at = self.end_times.get(&replica);
        ended_at.map_or(Duration::ZERO, |ended_at| now.since(*ended_at))
    }

    /// Records that a replica ended when this suspect had just started there.
    pub fn record_end(&mut self, seen: impl Into<Sighting>, replica: EndedReplica, now: Moment) {
        let seen = seen.into();
        self.note_end_time(replica, now);
        self.ended.insert(replica);
        let own = self.refresh(seen.id, now);
        own.suspicion.position = own.suspicion.position.max(seen.position);
        if own.suspicion.ended.len() < MAX_ENDS_PER_REQUEST {
            own.suspicion.ended.insert(replica);
        }
        self.own_report_changed(now);
    }

    /// Returns the sightings of the parts of a prompt, given in order, at a replica that ended: without
    /// the last part, which is the request's own. Of more than [`MAX_PARTS_OF_REQUEST`], those that are
    /// suspects already come first.
    pub fn sightings_of_parts(&self, parts: &[PartHash]) -> Vec<Sighting> {
        let shared = &parts[..parts.len().saturating_sub(1)];
        let sightings = shared.iter().enumerate().map(|(position, part)| Sighting {
            id: SuspectId::Part(*part),
            position: position as u32,
        });
        let (known, new): (Vec<Sighting>, Vec<Sighting>) = sightings
            .partition(|seen| self.own.contains_key(&seen.id) || self.suspects.contains_key(&seen.id));
        known.into_iter().chain(new).take(MAX_PARTS_OF_REQUEST).collect()
    }

    /// Clears the parts of a prompt, given in order, of all ends so far, because a request that holds
    /// them was answered. Returns true if another node's verdict may depend on it, so that this node's
    /// report should be published.
    pub fn clear_parts(&mut self, parts: &[PartHash], now: Moment) -> bool {
        let shared = &parts[..parts.len().saturating_sub(1)];
        self.merge_if_due(now);
        let mut matters = false;
        for part in shared.iter().take(MAX_PARTS_OF_REQUEST) {
            self.record_answered(*part, now);
            let id = SuspectId::Part(*part);
            let suspect = self.suspects.get(&id);
            let ends = suspect.map_or(0, |suspect| suspect.ends.len());
            matters |= ends >= ENDS_TO_HOLD;
            if ends > 0 {
                self.clear(id, now);
            }
        }
        matters
    }

    fn record_answered(&mut self, part: PartHash, now: Moment) {
        if self.answered_parts.len() >= MAX_ANSWERED_PARTS && !self.answered_parts.contains_key(&part) {
            let is_recent = |at: &Moment| now.since(*at) <= REPORT_RETENTION / 2;
            self.answered_parts.retain(|_, at| is_recent(at));
        }
        if self.answered_parts.len() < MAX_ANSWERED_PARTS || self.answered_parts.contains_key(&part) {
            self.answered_parts.insert(part, now);
        }
    }

    /// Returns whether this node has cleared parts of ends of which no other node's report clears them.
    pub fn has_unshared_clearances(&self) -> bool {
        let parts = self.own.iter();
        let mut parts = parts.filter(|(id, _)| matches!(id, SuspectId::Part(_)));
        parts.any(|(id, own)| {
            let cleared = own.suspicion.cleared.iter();
            let mut cleared = cleared.filter(|end| self.ended_elsewhere(*id, **end));
            cleared.any(|end| !self.is_cleared_elsewhere(*id, *end))
        })
    }

    fn ended_elsewhere(&self, id: SuspectId, end: EndedReplica) -> bool {
        let reports = self.reports.values();
        let mut suspicions = reports.filter_map(|received| received.report.get(&id));
        suspicions.any(|suspicion| suspicion.ended.contains(&end))
    }

    fn is_cleared_elsewhere(&self, id: SuspectId, end: EndedReplica) -> bool {
        let reports = self.reports.values();
        let mut suspicions = reports.filter_map(|received| received.report.get(&id));
        suspicions.any(|suspicion| suspicion.cleared.contains(&end))
    }

    /// Clears a suspect of all ends so far, because a replica answered it completely or an
    /// operator decided so. Returns true if there were any; then this node's report must be
    /// published, since the other nodes would continue to count the ends.
    pub fn clear(&mut self, id: impl Into<SuspectId>, now: Moment) -> bool {
        let id = id.into();
        let Some(suspect) = self.suspect(id).cloned() else {
            return false;
        };
        let own = self.refresh(id, now);
        own.suspicion.ended.extend(&suspect.ends);
        own.suspicion.cleared.extend(&suspect.ends);
        self.own_report_changed(now);
        true
    }

    /// Withdraws the end of a replica that answered a request sent after the end was known here, if
    /// `proof` shows that the answer is of the incarnation that is recorded as ended. Returns true if
    /// this node's report must be published.
    pub fn withdraw_end(
        &mut self,
        replica: EndedReplica,
        proof: LifeProof,
        sent_at: Moment,
        now: Moment,
    ) -> bool {
        if !self.ended.contains(&replica) || !self.is_proven_alive(replica, proof) {
            return false;
        }
        let is_refuted = |suspect: &Suspect| suspect.known_at < sent_at && suspect.ends.contains(&replica);
        let suspects = self.suspects.iter();
        let refuted = suspects.filter(|(_, suspect)| is_refuted(suspect));
        let refuted: Vec<SuspectId> = refuted.map(|(id, _)| *id).collect();
        for id in &refuted {
            let own = self.refresh(*id, now);
            own.suspicion.ended.insert(replica);
            own.suspicion.cleared.insert(replica);
        }
        if !refuted.is_empty() {
            self.own_report_changed(now);
        }
        !refuted.is_empty()
    }

    /// Returns whether a proof shows that an incarnation lives on. A connection does if it is older than
    /// the end, which only the node knows for sure that found it: reports come later.
    fn is_proven_alive(&self, replica: EndedReplica, proof: LifeProof) -> bool {
        match proof {
            LifeProof::Start => true,
            LifeProof::Connection { opened_at } => {
                let broke_at = self.broke_here.get(&replica);
                broke_at.is_some_and(|broke_at| opened_at < *broke_at)
            }
        }
    }

    /// Copies all evidence against a suspect into this node's own report, so that it does not
    /// expire. Returns true if the report should be published again.
    pub fn adopt(&mut self, id: impl Into<SuspectId>, now: Moment) -> bool {
        let id = id.into();
        let known: Vec<Suspicion> = self
            .reports
            .values()
            .filter_map(|received| received.report.get(&id))
            .cloned()
            .collect();
        let refreshed_before = self.own.get(&id).map(|own| own.refreshed_at);
        let own = self.refresh(id, now);
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
        for (id, suspicion) in report {
            let own = self.refresh(*id, now);
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
        for suspicion in report.values() {
            for replica in &suspicion.ended {
                self.note_end_time(*replica, now);
            }
            self.ended.extend(suspicion.open());
        }
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
        own.map(|(id, own)| (*id, own.suspicion.clone())).collect()
    }

    /// Returns whether a request may be sent, as far as this suspect tells.
    pub fn verdict(&mut self, id: impl Into<SuspectId>, now: Moment) -> Verdict {
        self.merge_if_due(now);
        self.merged_verdict(id.into(), now)
    }

    fn merge_if_due(&mut self, now: Moment) {
        if now.since(self.merged_at) >= EXPIRY_INTERVAL {
            self.changed_at.get_or_insert(now);
        }
        if self.own_changed || now.since(self.merged_at) >= self.merge_interval() {
            self.merge();
            self.merged_at = now;
        }
    }

    /// Returns the verdict on a part in a prompt with these parts. A part that is held back may be tried
    /// in a prompt without some of the parts that ran at just the same replicas, as its answer, or
    /// another end, tells them apart.
    pub fn verdict_in_prompt(&mut self, part: PartHash, prompt: &[PartHash], now: Moment) -> Verdict {
        let verdict = self.verdict(SuspectId::Part(part), now);
        let suspect = self.suspects.get(&SuspectId::Part(part));
        match verdict {
            Verdict::Held(_) if suspect.is_some_and(|suspect| suspect.is_told_apart_by(prompt)) => {
                Verdict::Retrial
            }
            other => other,
        }
    }

    /// Returns the verdict by the reports that are merged.
    fn merged_verdict(&self, id: SuspectId, now: Moment) -> Verdict {
        let Some(suspect) = self.suspects.get(&id) else {
            return Verdict::Free;
        };
        match id {
            SuspectId::Request(_) => suspect.verdict_on_request(now),
            SuspectId::Part(part) => {
                let was_answered = self.answered_parts.contains_key(&part);
                suspect.verdict_on_part(was_answered, now)
            }
        }
    }

    /// Returns whether replicas ended under a part, by the reports merged so far.
    pub fn is_suspect(&self, part: PartHash) -> bool {
        self.suspects.contains_key(&SuspectId::Part(part))
    }

    /// Returns the evidence against a suspect; `None` if no replica ended under it.
    pub fn suspect(&mut self, id: impl Into<SuspectId>) -> Option<&Suspect> {
        self.merge();
        self.suspects.get(&id.into())
    }

    /// Iterates over all suspects, with the verdicts on them.
    pub fn suspects(&mut self, now: Moment) -> impl Iterator<Item = (SuspectId, &Suspect, Verdict)> {
        self.merge();
        let ledger = &*self;
        let suspects = ledger.suspects.iter();
        suspects.map(move |(id, suspect)| (*id, suspect, ledger.merged_verdict(*id, now)))
    }

    fn own_report_changed(&mut self, now: Moment) {
        self.changed_at = Some(now);
        self.own_changed = true;
    }

    fn refresh(&mut self, id: SuspectId, now: Moment) -> &mut OwnEvidence {
        if !self.own.contains_key(&id) {
            self.make_room(id);
        }
        let own = self.own.entry(id).or_default();
        own.refreshed_at = now;
        own
    }

    /// Makes room for evidence against a suspect. Requests do not displace parts, nor parts requests.
    fn make_room(&mut self, id: SuspectId) {
        let is_alike = |other: &SuspectId| std::mem::discriminant(other) == std::mem::discriminant(&id);
        let limit = match id {
            SuspectId::Request(_) => MAX_REPORTED_REQUESTS,
            SuspectId::Part(_) => MAX_REPORTED_PARTS,
        };
        let alike = self.own.iter().filter(|(other, _)| is_alike(other));
        if alike.clone().count() < limit {
            return;
        }
        // A caller can displace a suspect that is refused only by as many crashes.
        let weight = |own: &OwnEvidence| (own.suspicion.open().count(), own.refreshed_at);
        let least = alike.min_by_key(|(_, own)| weight(own));
        if let Some(least) = least.map(|(other, _)| *other) {
            self.own.remove(&least);
        }
    }

    fn merge_interval(&self) -> Duration {
        let by_rows = MERGE_INTERVAL_PER_ROW * self.merged_rows;
        by_rows.clamp(MERGE_INTERVAL, MAX_MERGE_INTERVAL)
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
        let mut rows = 0;
        let own = self.own.iter().map(|(key, own)| (key, &own.suspicion));
        self.reports
            .retain(|_, received| changed_at.since(received.at) <= REPORT_RETENTION);
        let received = self.reports.values().flat_map(|received| &received.report);
        for (id, suspicion) in received.chain(own) {
            rows += 1;
            merged.entry(*id).or_default().merge(suspicion);
        }
        self.merged_rows = rows;
        merged.retain(|_, suspicion| suspicion.open().next().is_some());
        let ranks = rank_by_replica(&merged, &self.answered_parts);
        let companies = companies(&merged);
        self.ended = ranks.keys().copied().collect();
        self.end_times.retain(|replica, _| ranks.contains_key(replica));
        self.broke_here.retain(|replica, _| ranks.contains_key(replica));
        let former = std::mem::take(&mut self.suspects);
        for (id, suspicion) in merged {
            let ends: BTreeSet<EndedReplica> = suspicion.open().collect();
            let weight = Weight::of(id, &suspicion, &self.answered_parts);
            let former = former.get(&id);
            let known_at = former.filter(|former| former.ends.is_superset(&ends));
            let blamed = ends.iter().filter(|end| ranks[end].highest == Some(weight));
            let suspect = Suspect {
                blamed: blamed.clone().count(),
                blamed_moments: count_moments(blamed.filter_map(|end| self.end_times.get(end)).copied()),
                alone: ends.iter().filter(|end| ranks[end].is_alone(weight)).count(),
                fewest_started: ends
                    .iter()
                    .map(|end| ranks[end].started)
                    .min()
                    .unwrap_or_default(),
                known_at: known_at.map_or(changed_at, |former| former.known_at),
                company: company_of(id, &ends, &companies),
                ends,
            };
            self.suspects.insert(id, suspect);
        }
        if self.is_empty() {
            self.answered_parts.clear();
        }
    }
}
