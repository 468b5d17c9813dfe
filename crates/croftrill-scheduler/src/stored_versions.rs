//! At which software versions streams of a service may have begun, as the store keeps it.
//!
//! What nodes have observed of a service's versions is lost if all of them end at once. The store
//! therefore holds a record per service, which changes only with a roll. It names each version before
//! the first stream begins at a replica of it, so that a record of one version alone proves that all
//! streams run at it, also to a process that has just started.
//!
//! Safety: a record proves something only in the era of the store in which it was written, and a
//! change is written on the condition that the record did not change since it was read.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use crate::catalog::ServiceName;
use crate::replica::StartedMs;
use crate::software_versions::{LifetimeVersions, SoftwareVersion, SoftwareVersions, MAX_STREAM_LIFETIME};
use crate::time::Moment;

/// The record of a service.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct VersionsRecord {
    /// The versions at which streams may have begun for as long as a stream lives.
    pub versions: BTreeSet<SoftwareVersion>,
    /// Whether there are no others, also of the time before the record. Otherwise it only permits
    /// streams to begin at these.
    pub is_complete: bool,
    /// The store's era in which it was written.
    pub era: Option<u64>,
}

/// What a node knows of the record of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Known {
    Present(VersionsRecord),
    Absent,
}

#[derive(Debug)]
struct KnownRecord {
    known: Known,
    revision: u64,
    /// Since when the node knows it as it is.
    since: Moment,
    /// When versions were added to it, of which the node saw that.
    added_at: BTreeMap<SoftwareVersion, Moment>,
}

impl KnownRecord {
    /// Returns when the versions were added that this record did not name before.
    fn additions(&self, next: &Known, now: Moment) -> BTreeMap<SoftwareVersion, Moment> {
        let (Known::Present(former), Known::Present(next)) = (&self.known, next) else {
            return BTreeMap::new();
        };
        let added_at = |version: &SoftwareVersion| {
            if former.versions.contains(version) {
                self.added_at.get(version).copied()
            } else {
                Some(now)
            }
        };
        let versions = next.versions.iter();
        versions
            .filter_map(|version| Some((version.clone(), added_at(version)?)))
            .collect()
    }
}

/// The records of all services, as a node knows them.
#[derive(Debug, Default)]
pub struct StoredVersions {
    records: HashMap<ServiceName, KnownRecord>,
    /// The store's newest era that the node knows.
    era: Option<u64>,
    /// Whether the node has read the whole store, so that there are no other records.
    has_read_all: bool,
}

/// A change that the record of a service needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum NeededChange {
    /// It is missing, or of a former era, or should become complete.
    Completion,
    /// A version is listed that it does not name, so that streams cannot begin there.
    Addition,
}

/// What a node knows of the versions of a service's replicas.
#[derive(Debug, Clone, Default)]
pub struct SeenVersions {
    /// The versions that are listed now.
    pub listed: BTreeSet<SoftwareVersion>,
    /// Those that nodes have observed for as long as a stream lives, if the view is complete.
    pub observed: Option<LifetimeVersions>,
    /// True if no stream began before this process did.
    pub is_first_start: bool,
}

impl StoredVersions {
    /// Records the store's newest era.
    pub fn record_era(&mut self, era: Option<u64>) {
        self.era = era;
    }

    /// Records a service's record as of a revision; `None` if the store holds none.
    pub fn apply(
        &mut self,
        service: &ServiceName,
        record: Option<VersionsRecord>,
        revision: u64,
        now: Moment,
    ) {
        let known = record.map_or(Known::Absent, Known::Present);
        let former = self.records.get(service);
        if former.is_some_and(|former| former.revision > revision) {
            return;
        }
        let is_same = former.is_some_and(|former| former.known == known);
        let since = former.filter(|_| is_same).map_or(now, |former| former.since);
        let added_at = former.map(|former| former.additions(&known, now));
        self.records.insert(
            service.clone(),
            KnownRecord {
                known,
                revision,
                since,
                added_at: added_at.unwrap_or_default(),
            },
        );
    }

    /// Records that the store held only the records of these services at a revision.
    pub fn retain(&mut self, is_held: impl Fn(&str) -> bool, revision: u64, now: Moment) {
        self.has_read_all = true;
        let gone = self.records.keys().filter(|service| !is_held(service));
        let gone: Vec<ServiceName> = gone.cloned().collect();
        for service in gone {
            self.apply(&service, None, revision, now);
        }
    }

    /// Returns the services whose records are known.
    pub fn records(&self) -> impl Iterator<Item = (&ServiceName, &VersionsRecord)> {
        self.records
            .iter()
            .filter_map(|(service, record)| match &record.known {
                Known::Present(present) => Some((service, present)),
                Known::Absent => None,
            })
    }

    /// Returns whether it is known if there is a record of a service.
    pub fn is_known(&self, service: &str) -> bool {
        self.has_read_all || self.records.contains_key(service)
    }

    /// Returns the record of a service if it is of the present era.
    pub fn current(&self, service: &str) -> Option<&VersionsRecord> {
        let Known::Present(record) = &self.records.get(service)?.known else {
            return None;
        };
        (record.era == self.era).then_some(record)
    }

    /// Returns whether a stream of a service may begin at a version. Without a record it may, as then
    /// no process relies on one. While it is not known whether there is a record, it may if the
    /// service has only that version. A version that was added may be unknown to nodes whose views were
    /// proven before that, for as long as such a view counts.
    pub fn may_begin(
        &self,
        service: &str,
        version: &SoftwareVersion,
        is_only_one: bool,
        at: BeginTime,
    ) -> bool {
        if !self.is_known(service) {
            return is_only_one;
        }
        let Some(record) = self.current(service) else {
            return true;
        };
        let added_at = self
            .records
            .get(service)
            .and_then(|known| known.added_at.get(version));
        let is_known_to_all = added_at.is_none_or(|added_at| at.now.since(*added_at) >= at.proof_lifetime);
        record.versions.contains(version) && is_known_to_all
    }

    /// Returns the change that a service's record needs by what a node knows of its replicas.
    pub fn needed_change(&self, service: &str, seen: &SeenVersions, now: Moment) -> Option<NeededChange> {
        if seen.listed.is_empty() {
            return None;
        }
        let Some(record) = self.current(service) else {
            let is_urgent = !self.is_known(service) && seen.listed.len() > 1;
            let change = if is_urgent {
                NeededChange::Addition
            } else {
                NeededChange::Completion
            };
            return Some(change);
        };
        if !seen.listed.is_subset(&record.versions) {
            return Some(NeededChange::Addition);
        }
        let completed = self.completed(service, record, seen, now)?;
        (completed != *record).then_some(NeededChange::Completion)
    }

    /// Returns the record to write after `read` was read from the store; `None` if that needs no
    /// change. `was_known` tells whether the node knew the record as it was read: what it has observed
    /// does not tell of a change that it did not know.
    pub fn next_record(
        &self,
        service: &str,
        read: Option<&VersionsRecord>,
        was_known: bool,
        seen: &SeenVersions,
        now: Moment,
    ) -> Option<VersionsRecord> {
        let Some(current) = read.filter(|record| record.era == self.era) else {
            return Some(VersionsRecord {
                versions: seen.listed.clone(),
                is_complete: false,
                era: self.era,
            });
        };
        let next = if !seen.listed.is_subset(&current.versions) {
            VersionsRecord {
                versions: current.versions.union(&seen.listed).cloned().collect(),
                ..current.clone()
            }
        } else {
            let completed = self.completed(service, current, seen, now);
            completed.filter(|_| was_known)?
        };
        (next != *current).then_some(next)
    }

    /// Returns a record without the versions that the service no longer has, if that is known.
    fn completed(
        &self,
        service: &str,
        record: &VersionsRecord,
        seen: &SeenVersions,
        now: Moment,
    ) -> Option<VersionsRecord> {
        let LifetimeVersions::Sole(version) = seen.observed.as_ref()? else {
            return None;
        };
        let versions = BTreeSet::from([version.clone()]);
        let since = self.records.get(service)?.since;
        let has_stood = now.since(since) >= MAX_STREAM_LIFETIME;
        // No stream began before the first start. A version that the record names may have had some
        // since, whatever this node has seen.
        let may_complete = has_stood || seen.is_first_start && versions == record.versions;
        may_complete.then_some(VersionsRecord {
            versions,
            is_complete: true,
            era: record.era,
        })
    }
}

/// The versions at which a stream of a service may begin.
#[derive(Debug, Clone, Copy)]
pub struct RecordedVersions<'a> {
    /// The service.
    pub service: &'a str,
    /// The records.
    pub stored: &'a StoredVersions,
    /// The versions of replicas.
    pub versions: &'a SoftwareVersions,
    /// When the stream begins.
    pub at: BeginTime,
}

/// When a stream begins, and how old the views of nodes may be that tell at which version it runs.
#[derive(Debug, Clone, Copy)]
pub struct BeginTime {
    /// The time.
    pub now: Moment,
    /// Maximum age of the proof of such a view.
    pub proof_lifetime: Duration,
}

impl RecordedVersions<'_> {
    /// Returns whether a stream may begin at the incarnation of a replica that started at
    /// `started_ms`. One of unknown version may: its streams go on nowhere else.
    pub fn permit(&self, id: &str, started_ms: Option<StartedMs>) -> bool {
        let version = self.versions.version_of(id, started_ms);
        version.is_none_or(|version| {
            let is_only_one = self.versions.is_sole(self.service, version);
            self.stored.may_begin(self.service, version, is_only_one, self.at)
        })
    }
}
