//! The software version at which a stream goes on, within an answer and over a caller's attempts.

use std::time::Duration;

use croftrill_scheduler::admission::Admission;
use croftrill_scheduler::catalog::RouteKind;
use croftrill_scheduler::demand::ModelKey;
use croftrill_scheduler::replica_table::{Availability, ReplicaEntry};
use croftrill_scheduler::software_versions::{
    OwnStream, RequiredVersion, SoftwareVersion, MAX_STREAM_LIFETIME,
};

use croftrill_scheduler::stored_versions::{BeginTime, RecordedVersions};

use super::cold::{MIN_READY_IN, ORDER_DELAY};
use super::{RequestRun, DEFAULT_DEADLINE, DEFAULT_RETRY_AFTER};
use crate::node::NodeState;
use crate::peer::{ToOrderer, WireModel, WireVersionWait};
use crate::ports::Platform;
use crate::{replica_versions, stream_versions};

/// At which software version a request's replica must be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StreamVersion {
    /// At any: no event of its stream has been sent, or its service's replicas have no versions.
    Any,
    /// At this one, which wrote the first event of its stream.
    Only(SoftwareVersion),
    /// It is not known which one wrote the first event, so no replica may go on.
    Unknown,
}

impl<P: Platform> RequestRun<P> {
    /// Returns whether the request's stream may go on at another replica.
    fn is_resumable_stream(&self) -> bool {
        self.route.kind == RouteKind::Streaming && self.route.resumable
    }

    /// Returns whether the request goes on with a stream of an earlier attempt.
    fn resumes_earlier_attempt(&self) -> bool {
        self.facts.resumed_attempt.is_some() || self.facts.last_event_id.is_some()
    }

    /// Finds the version of the stream that the request goes on with, if it does.
    pub(super) async fn find_stream_version(&mut self) {
        if !self.is_resumable_stream() || !self.resumes_earlier_attempt() || self.is_unversioned() {
            return;
        }
        let attempt = self.facts.resumed_attempt.as_deref();
        let found = stream_versions::find(&self.node, attempt, &self.service).await;
        self.stream_version = match found {
            Some(version) => StreamVersion::Only(version),
            None => StreamVersion::Unknown,
        };
    }

    /// Returns whether it is known of no replica of the service which version it runs.
    fn is_unversioned(&self) -> bool {
        let state = self.node.state.borrow();
        let versions = &state.software_versions;
        let has_version = |entry: &ReplicaEntry| {
            let listing = &entry.listing;
            versions.version_of(&listing.id, listing.started_ms).is_some()
        };
        versions.is_unversioned(&self.service) && !state.replicas.of_service(&self.service).any(has_version)
    }

    /// Binds the stream to the version of the replica that is about to write its first event, and
    /// keeps it for the caller's attempts at other nodes.
    pub(super) async fn bind_stream(&mut self, version: Option<SoftwareVersion>) {
        if !self.is_resumable_stream() || self.stream_version != StreamVersion::Any || self.is_unversioned() {
            return;
        }
        let Some(version) = version else {
            self.stream_version = StreamVersion::Unknown;
            return;
        };
        self.stream_version = StreamVersion::Only(version.clone());
        // The caller's attempts go on until its own deadline, whatever the route allows for each.
        let lifetime = self.facts.deadline.unwrap_or(DEFAULT_DEADLINE);
        let stream = OwnStream {
            service: self.service.clone(),
            version,
            expires_at: self.now() + lifetime.min(MAX_STREAM_LIFETIME),
        };
        stream_versions::begin(&self.node, &self.facts.id, stream).await;
    }

    /// Returns the version that the request requires of its replica.
    pub(super) fn required_version<'a>(&'a self, state: &'a NodeState) -> Option<RequiredVersion<'a>> {
        match &self.stream_version {
            StreamVersion::Any | StreamVersion::Unknown => None,
            StreamVersion::Only(version) => Some(RequiredVersion {
                version,
                versions: &state.software_versions,
                ends: &state.crash_ledger,
            }),
        }
    }

    /// Returns at which versions the request may begin a stream, if it begins one that may go on
    /// elsewhere.
    pub(super) fn permitted_versions<'a>(&'a self, state: &'a NodeState) -> Option<RecordedVersions<'a>> {
        let begins = self.is_resumable_stream() && self.stream_version == StreamVersion::Any;
        begins.then_some(RecordedVersions {
            service: &self.service,
            stored: &state.stored_versions,
            versions: &state.software_versions,
            at: BeginTime {
                now: self.now(),
                proof_lifetime: self.node.settings.pace.relay_lifetime,
            },
        })
    }

    /// Decides what to do while no replica of the version that the request is bound to can take it.
    /// Tells the orderers of the wait if its model is the cause. Returns `None` if the request is not
    /// bound.
    pub(super) fn version_decision(&self) -> Option<Admission> {
        let StreamVersion::Only(version) = &self.stream_version else {
            return None;
        };
        let refused = Admission::Refuse {
            come_back_after: DEFAULT_RETRY_AFTER,
        };
        let Some(key) = self.model_key() else {
            return Some(refused);
        };
        let Some(ready_in) = self.ready_in_at(&key, version) else {
            self.log_no_load(&key, version);
            return Some(refused);
        };
        self.remind_orderer(&ToOrderer::WaitingAt(WireVersionWait {
            model: WireModel::from_key(&key),
            version: version.to_string(),
        }));
        let decision = self.decide_in(&key, ready_in);
        Some(if self.may_await_version { decision } else { refused })
    }

    /// Returns the expected time until a replica of a version has the model; `None` if no replica of it
    /// is in reach, one has the model, so that a load changes nothing, or the configuration lacks it.
    fn ready_in_at(&self, key: &ModelKey, version: &SoftwareVersion) -> Option<Duration> {
        let engine = self.configuration.service(&self.service)?.engine.as_ref()?;
        let spec = engine.find_model(&key.model, key.adapter.as_deref())?;
        let now = self.now();
        let ready = replica_versions::ready_replicas(&self.node, &self.service, version);
        let state = self.node.state.borrow();
        let required = self.required_version(&state);
        match state
            .replicas
            .availability(&self.service, &key.model, required, now)
        {
            Availability::Held => None,
            Availability::ExpectedAt(ready_at) => Some(ready_at.since(now).max(MIN_READY_IN)),
            Availability::Absent => {
                // A node that knows only some replicas leaves it to the orderers whether there is one.
                let may_be_loaded = !ready.is_empty() || state.tree.is_partial();
                let reload_time = || state.replicas.reload_time(&self.service, spec, now);
                may_be_loaded.then(|| ORDER_DELAY + reload_time())
            }
        }
    }

    /// Logs that the request is refused although a replica of its version may be listed, with what is
    /// known of the listed holders of its model, of any version.
    fn log_no_load(&self, key: &ModelKey, version: &SoftwareVersion) {
        let ready = replica_versions::ready_replicas(&self.node, &self.service, version);
        let state = self.node.state.borrow();
        let now = self.now();
        let listed = state.replicas.with_model(&self.service, &key.model);
        let holders = listed.filter(|entry| entry.is_ready() && entry.serves(&key.model, None));
        let (in_reach, out_of_reach): (Vec<&ReplicaEntry>, Vec<&ReplicaEntry>) =
            holders.partition(|entry| entry.is_in_reach(now));
        tracing::info!(target: "stream version", event = "no load awaited", id = self.facts.id, model = &*key.model,
            version = &**version, ready = ready.len(), holders_in_reach = in_reach.len(),
            holders_out_of_reach = out_of_reach.len(), sends = self.sends);
    }
}
