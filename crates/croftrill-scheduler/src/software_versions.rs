//! Software versions of replicas, and at which version a stream may go on.
//!
//! What two versions of a service's software write does not fit together, so a stream goes on only
//! at the version that wrote its first event. [`SoftwareVersions`] says which version each replica
//! runs and which versions a service has had; [`VersionRecords`] keeps the versions of streams that
//! began while there were several; [`decide`] combines what nodes answer about a stream.
//!
//! Safety: a version is known for one incarnation of a replica only, and an unknown version never
//! counts as equal to another one.

use std::borrow::Cow;
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_128, xxh3_64_with_seed};

use crate::catalog::ServiceName;
use crate::crash_ledger::CrashLedger;
use crate::replica::{Incarnation, ReplicaId, StartedMs};
use crate::stored_versions::VersionsRecord;
use crate::time::Moment;

/// Name of a version of the replicas' software.
pub type SoftwareVersion = Arc<str>;

/// Maximum time from the first event of a stream to a resumption of it.
pub const MAX_STREAM_LIFETIME: Duration = Duration::from_secs(60);
/// Number of nodes to which the version of a stream is written.
pub const KEEPERS: usize = 2;
/// Number of nodes that are asked for it, as their lists of nodes may differ.
pub const KEEPERS_ASKED: usize = 4;
/// Maximum number of replicas without a listing whose version is kept.
const MAX_UNLISTED: usize = 1024;
/// Maximum number of own streams whose versions nobody else knows: more than a node can run.
const MAX_OWN_STREAMS: usize = 4096;
/// Maximum size of the name of an attempt that nodes keep or tell each other, in bytes.
const MAX_ATTEMPT_KEY_BYTES: usize = 64;
/// Maximum number of records, about 2 MB.
const MAX_RECORDS: usize = 16 * 1024;

/// Which versions the replicas of a service ran at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServiceVersions {
    /// There are no replicas, or it is not known which versions they run.
    Unknown,
    /// All run this version.
    Sole(SoftwareVersion),
    /// They run several versions.
    Several,
}

impl ServiceVersions {
    /// Returns the versions of a service's replicas, given that of each if it is known.
    pub fn of<'a>(replicas: impl IntoIterator<Item = Option<&'a SoftwareVersion>>) -> Self {
        let versions: BTreeSet<Option<&SoftwareVersion>> = replicas.into_iter().collect();
        let known = versions.iter().flatten().count();
        match versions.first() {
            _ if known > 1 => ServiceVersions::Several,
            Some(Some(version)) => ServiceVersions::Sole(SoftwareVersion::clone(version)),
            _ => ServiceVersions::Unknown,
        }
    }
}

/// Which versions a service has had for as long as a stream lives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LifetimeVersions {
    /// Only this one.
    Sole(SoftwareVersion),
    /// Several, or it is not known which ones at some time.
    Mixed,
    /// The node has observed the service for too short a time, and only this version in it.
    Unclear(Option<SoftwareVersion>),
}

/// Which versions a service has had, the newest last.
#[derive(Debug, Default)]
struct History {
    observed: VecDeque<(Moment, ServiceVersions)>,
    /// Version that the service has had alone since a time, as another node said.
    told: Option<(Moment, SoftwareVersion)>,
}

impl History {
    fn observe(&mut self, versions: ServiceVersions, now: Moment) {
        if self.observed.back().is_none_or(|(_, known)| *known != versions) {
            self.observed.push_back((now, versions));
        }
        // The oldest one is in force at the beginning of the span that matters.
        let is_over = |next: &(Moment, ServiceVersions)| now.since(next.0) >= MAX_STREAM_LIFETIME;
        while self.observed.get(1).is_some_and(is_over) {
            self.observed.pop_front();
        }
    }

    /// Returns for how long the service is known to have had `version` alone, if it has it since the
    /// first observation.
    fn known_for(&self, version: &SoftwareVersion, now: Moment) -> Duration {
        let observed = self.observed.front().map(|(at, _)| *at);
        let told = self.told.as_ref().filter(|(_, told)| told == version);
        let since = observed.into_iter().chain(told.map(|(at, _)| *at)).min();
        since.map_or(Duration::ZERO, |since| now.since(since))
    }
}

/// The versions of replicas, as far as a node knows them.
#[derive(Debug, Default)]
pub struct SoftwareVersions {
    replicas: HashMap<ReplicaId, (Option<StartedMs>, SoftwareVersion)>,
    services: HashMap<ServiceName, History>,
    /// True if no stream began before this process did.
    is_first_start: bool,
    /// The store's records of the present era.
    recorded: HashMap<ServiceName, VersionsRecord>,
    /// How often the store came back from an older copy, and when it last did.
    restores: (u64, Option<Moment>),
}

impl SoftwareVersions {
    /// Creates the state of a process. `is_first_start` is true if no stream began before it did.
    pub fn new(is_first_start: bool) -> Self {
        SoftwareVersions {
            is_first_start,
            ..SoftwareVersions::default()
        }
    }

    /// Records the version of the incarnation of a replica that started at `started_ms`.
    pub fn record(&mut self, id: &ReplicaId, started_ms: Option<StartedMs>, version: SoftwareVersion) {
        let known = self.replicas.get(id);
        let is_earlier =
            known.is_some_and(|(known, _)| Incarnation::of(started_ms, *known) == Incarnation::Earlier);
        if !is_earlier {
            self.replicas.insert(id.clone(), (started_ms, version));
        }
    }

    /// Returns the version of the incarnation of a replica that started at `started_ms`.
    pub fn version_of(&self, id: &str, started_ms: Option<StartedMs>) -> Option<&SoftwareVersion> {
        let (known, version) = self.replicas.get(id)?;
        (*known == started_ms).then_some(version)
    }

    /// Drops versions of replicas that are not listed, if there are many.
    pub fn forget_unlisted(&mut self, listed: usize, is_listed: impl Fn(&str) -> bool) {
        if self.replicas.len() > listed + MAX_UNLISTED {
            self.replicas.retain(|id, _| is_listed(id));
        }
    }

    /// Records which versions the replicas of a service run now.
    pub fn observe(&mut self, service: &ServiceName, versions: ServiceVersions, now: Moment) {
        self.services
            .entry(service.clone())
            .or_default()
            .observe(versions, now);
    }

    /// Returns which versions the replicas of a service run, by the last observation.
    pub fn present(&self, service: &str) -> ServiceVersions {
        let last = self
            .services
            .get(service)
            .and_then(|history| history.observed.back());
        last.map_or(ServiceVersions::Unknown, |(_, versions)| versions.clone())
    }

    /// Returns which versions the replicas of each service run, by the last observation.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceVersions)> {
        let services = self.services.iter();
        services.filter_map(|(service, history)| Some((service, &history.observed.back()?.1)))
    }

    /// Returns whether it is known of no replica of a service which version it runs. Then versions
    /// do not restrict where streams go on.
    pub fn is_unversioned(&self, service: &str) -> bool {
        let history = self.services.get(service);
        history.is_none_or(|history| {
            let mut observed = history.observed.iter();
            observed.all(|(_, versions)| *versions == ServiceVersions::Unknown)
        })
    }

    /// Returns true if no stream began before this process did.
    pub fn is_first_start(&self) -> bool {
        self.is_first_start
    }

    /// Records how often the store has come back from an older copy. It may have forgotten versions that
    /// this node never saw.
    pub fn record_restores(&mut self, restores: u64, now: Moment) {
        if restores > self.restores.0 {
            self.restores = (restores, Some(now));
        }
    }

    /// Sets the store's record of a service; `None` if there is none of the present era.
    pub fn set_record(&mut self, service: &ServiceName, record: Option<VersionsRecord>) {
        match record {
            Some(record) => self.recorded.insert(service.clone(), record),
            None => self.recorded.remove(service),
        };
    }

    /// Returns whether all replicas of a service run a version, by the last observation.
    pub fn is_sole(&self, service: &str, version: &SoftwareVersion) -> bool {
        let last = self
            .services
            .get(service)
            .and_then(|history| history.observed.back());
        last.is_some_and(|(_, versions)| matches!(versions, ServiceVersions::Sole(sole) if sole == version))
    }

    /// Returns which versions a service has had for as long as a stream lives, by what nodes have
    /// observed and by the store's record. The record also names versions of a time in which this node
    /// saw nothing.
    pub fn within_lifetime(&self, service: &str, now: Moment) -> LifetimeVersions {
        let observed = self.observed_within_lifetime(service, now);
        let (LifetimeVersions::Sole(version) | LifetimeVersions::Unclear(Some(version))) = &observed else {
            return observed;
        };
        let Some(record) = self.recorded.get(service) else {
            return observed;
        };
        if record.versions.iter().any(|recorded| recorded != version) {
            return LifetimeVersions::Mixed;
        }
        if record.is_complete && !record.versions.is_empty() {
            return LifetimeVersions::Sole(version.clone());
        }
        observed
    }

    /// Returns which versions a service has had for as long as a stream lives, as far as nodes have
    /// observed.
    pub fn observed_within_lifetime(&self, service: &str, now: Moment) -> LifetimeVersions {
        let Some(history) = self.services.get(service) else {
            return LifetimeVersions::Unclear(None);
        };
        let mut sole: Option<&SoftwareVersion> = None;
        for (_, versions) in &history.observed {
            match versions {
                // Nothing ran before the first replica was known.
                ServiceVersions::Unknown if sole.is_none() => {}
                ServiceVersions::Sole(version) if sole.is_none_or(|known| known == version) => {
                    sole = Some(version);
                }
                _ => return LifetimeVersions::Mixed,
            }
        }
        match sole {
            Some(version)
                if self.is_first_start || history.known_for(version, now) >= MAX_STREAM_LIFETIME =>
            {
                LifetimeVersions::Sole(version.clone())
            }
            known => LifetimeVersions::Unclear(known.cloned()),
        }
    }

    /// Returns for how long a service is known to have had its present version alone, at most
    /// [`MAX_STREAM_LIFETIME`].
    pub fn sole_for(&self, service: &str, now: Moment) -> Duration {
        match self.within_lifetime(service, now) {
            LifetimeVersions::Sole(_) => MAX_STREAM_LIFETIME,
            LifetimeVersions::Unclear(Some(version)) => {
                let history = self.services.get(service);
                history.map_or(Duration::ZERO, |history| history.known_for(&version, now))
            }
            LifetimeVersions::Mixed | LifetimeVersions::Unclear(None) => Duration::ZERO,
        }
    }

    /// Records that a service has had a version alone since a time, as another node observed. It
    /// counts for the time before this node's own observations.
    pub fn record_sole_since(&mut self, service: &ServiceName, version: &SoftwareVersion, since: Moment) {
        let told = &mut self.services.entry(service.clone()).or_default().told;
        let is_known = told
            .as_ref()
            .is_some_and(|(at, known)| known == version && *at <= since);
        if !is_known {
            *told = Some((since, version.clone()));
        }
    }

    /// Returns the version at which each stream of a service runs that no other node has a record of, as
    /// if all had been asked. That cannot be told for as long as a stream lives after the store came
    /// back from an older copy.
    pub fn sole_version_without_asking(&self, service: &str, now: Moment) -> Option<SoftwareVersion> {
        let is_recent = |at: Moment| now.since(at) < MAX_STREAM_LIFETIME;
        if self.restores.1.is_some_and(is_recent) {
            return None;
        }
        self.sole_version(service, now)
    }

    /// Returns the version that a service has had alone for as long as a stream lives.
    pub fn sole_version(&self, service: &str, now: Moment) -> Option<SoftwareVersion> {
        match self.within_lifetime(service, now) {
            LifetimeVersions::Sole(version) => Some(version),
            LifetimeVersions::Mixed | LifetimeVersions::Unclear(_) => None,
        }
    }
}

/// A version that a request requires of its replica.
#[derive(Debug, Clone, Copy)]
pub struct RequiredVersion<'a> {
    /// The version.
    pub version: &'a str,
    /// The versions of replicas.
    pub versions: &'a SoftwareVersions,
    /// The ends of replicas that are known.
    pub ends: &'a CrashLedger,
}

impl RequiredVersion<'_> {
    /// Returns whether the incarnation of a replica that started at `started_ms` is known to run
    /// the version, and not known to have ended: another one, which may run another version, answers
    /// before its listing is here.
    pub fn is_run_by(&self, id: &str, started_ms: Option<StartedMs>) -> bool {
        let known = self.versions.version_of(id, started_ms);
        known.is_some_and(|known| **known == *self.version) && !self.ends.has_ended(id, started_ms)
    }
}

/// Returns the name under which nodes keep the version of an attempt's stream: the attempt's id, or a hash
/// of an id that is longer than usual ones.
pub fn attempt_key(attempt: &str) -> Cow<'_, str> {
    if attempt.len() <= MAX_ATTEMPT_KEY_BYTES {
        return Cow::Borrowed(attempt);
    }
    Cow::Owned(format!("{:032x}", xxh3_128(attempt.as_bytes())))
}

/// Versions of streams by the attempt that brought their first event.
#[derive(Debug, Default)]
pub struct VersionRecords {
    records: HashMap<Arc<str>, (SoftwareVersion, Moment)>,
    by_age: VecDeque<Arc<str>>,
}

impl VersionRecords {
    /// Adds a record that is valid until `expires_at`. The first one of an attempt stays.
    pub fn insert(&mut self, attempt: &str, version: SoftwareVersion, expires_at: Moment, now: Moment) {
        while let Some(oldest) = self.by_age.front() {
            let is_expired = self.records.get(oldest).is_none_or(|(_, until)| *until <= now);
            if !is_expired && self.records.len() < MAX_RECORDS {
                break;
            }
            if let Some(oldest) = self.by_age.pop_front() {
                self.records.remove(&oldest);
            }
        }
        if self.find(attempt, now).is_some() {
            return;
        }
        let attempt: Arc<str> = attempt.into();
        if self
            .records
            .insert(attempt.clone(), (version, expires_at))
            .is_none()
        {
            self.by_age.push_back(attempt);
        }
    }

    /// Returns the recorded version of an attempt's stream.
    pub fn find(&self, attempt: &str, now: Moment) -> Option<SoftwareVersion> {
        let (version, expires_at) = self.records.get(attempt)?;
        (*expires_at > now).then(|| version.clone())
    }
}

/// Returns nodes in the order in which they keep the record of an attempt, each identified by its
/// name.
pub fn keeper_order<'a, T>(
    attempt: &str,
    nodes: impl Iterator<Item = T>,
    name: impl Fn(&T) -> &'a str,
) -> Vec<T> {
    let seed = xxh3_64_with_seed(attempt.as_bytes(), 0);
    let mut nodes: Vec<T> = nodes.collect();
    nodes.sort_by_cached_key(|node| Reverse(xxh3_64_with_seed(name(node).as_bytes(), seed)));
    nodes
}

/// Streams that a node began and whose versions it has told to nobody, as their service had only one.
#[derive(Debug, Default)]
pub struct OwnStreams {
    streams: HashMap<Arc<str>, OwnStream>,
}

/// A stream that a node began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnStream {
    /// The service.
    pub service: ServiceName,
    /// The version that wrote its first event.
    pub version: SoftwareVersion,
    /// Until when its caller may take it up.
    pub expires_at: Moment,
}

impl OwnStreams {
    /// Adds the stream that an attempt began. If there are too many, it is not kept, and cannot be
    /// resumed elsewhere once the service has several versions.
    pub fn insert(&mut self, attempt: &str, stream: OwnStream, now: Moment) {
        if self.streams.len() >= MAX_OWN_STREAMS {
            self.streams.retain(|_, known| known.expires_at > now);
        }
        if self.streams.len() < MAX_OWN_STREAMS {
            self.streams.insert(attempt.into(), stream);
        }
    }

    /// Removes a stream that was answered completely.
    pub fn remove(&mut self, attempt: &str) {
        self.streams.remove(attempt);
    }

    /// Returns the services of the streams.
    pub fn services(&self) -> BTreeSet<ServiceName> {
        self.streams
            .values()
            .map(|stream| stream.service.clone())
            .collect()
    }

    /// Takes the streams of a service, to tell their versions to their keepers.
    pub fn take(&mut self, service: &str, now: Moment) -> Vec<(Arc<str>, OwnStream)> {
        let streams = std::mem::take(&mut self.streams);
        let (taken, kept) = streams
            .into_iter()
            .partition(|(_, stream)| &*stream.service == service);
        self.streams = kept;
        let taken: HashMap<Arc<str>, OwnStream> = taken;
        taken
            .into_iter()
            .filter(|(_, stream)| stream.expires_at > now)
            .collect()
    }
}

/// What a node knows about the version of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeeperAnswer {
    /// It has a record.
    Found(SoftwareVersion),
    /// It has none, and has observed these versions of the service.
    NotFound(LifetimeVersions),
    /// It did not answer.
    Unanswered,
}

/// Returns the version of a stream by the answers of its keepers and by what this node knows itself.
/// Without a record, that is the only version of the service as long as streams live: those that
/// began before the service had several are recorded as soon as it has.
pub fn decide(own: KeeperAnswer, keepers: &[KeeperAnswer]) -> Option<SoftwareVersion> {
    let mut found: Option<&SoftwareVersion> = None;
    let mut observed: Option<&SoftwareVersion> = None;
    let (mut is_sole, mut is_contradicted) = (false, false);
    for answer in keepers.iter().chain([&own]) {
        match answer {
            KeeperAnswer::Found(version) if found.is_none_or(|known| known == version) => {
                found = Some(version)
            }
            KeeperAnswer::Found(_) => return None,
            KeeperAnswer::NotFound(LifetimeVersions::Mixed) => is_contradicted = true,
            KeeperAnswer::NotFound(LifetimeVersions::Unclear(None)) | KeeperAnswer::Unanswered => {}
            KeeperAnswer::NotFound(
                versions @ (LifetimeVersions::Sole(version) | LifetimeVersions::Unclear(Some(version))),
            ) => {
                is_sole |= matches!(versions, LifetimeVersions::Sole(_));
                is_contradicted |= observed.is_some_and(|known| known != version);
                observed = Some(version);
            }
        }
    }
    let is_answered = keepers.is_empty() || keepers.iter().any(|answer| *answer != KeeperAnswer::Unanswered);
    let sole = observed.filter(|_| is_sole && is_answered && !is_contradicted);
    found.or(sole).cloned()
}
