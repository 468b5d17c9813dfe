//! Replicas that fall over if they must reject too many requests for want of room.
//!
//! Such a replica tells how many rejections a second it bears, from all nodes together. A request
//! there needs a permit ([`crate::quota::permits`]). Where no keeper of permits is reached, one that
//! the replica seems to have room for is sent freely. Any other one is a risk: it takes a reservation
//! from the keeper of the replica's rejections ([`crate::quota::limits`]), which is given back unless
//! the request is rejected.

use std::collections::HashMap;
use std::time::Duration;

use crate::catalog::ServiceName;
use crate::quota::limits::ReportedLimit;
use crate::replica::{RejectionSignal, ReplicaId, RequestRate};
use crate::time::Moment;

/// Time for which one replica's signal holds for others of its service that were not heard, and for
/// which another node's report of a service holds.
pub const SERVICE_VALIDITY: Duration = Duration::from_secs(10);
/// Time for which a replica's signal holds without another answer of it.
const REPLICA_VALIDITY: Duration = Duration::from_secs(60);
/// What two keepers together grant at once beyond their rate: their savings.
const KEEPER_BURST: f64 = 4.0;
/// What two keepers together grant in a second, as a multiple of the rate.
const KEEPER_RATE_FACTOR: f64 = 1.75;
/// Slots that are left to requests which other nodes send at the same moment.
const ROOM_MARGIN: u32 = 3;
/// Part of the bearable rejections that is used as the rate where the keepers' burst exceeds them.
const MIN_RATE_FRACTION: f64 = 0.25;

/// Whether a request may be sent to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectionRisk {
    /// It may: the replica bears any rejection, or has room.
    None,
    /// It needs a reservation within this limit, on the requests that may be rejected.
    Limited(ReportedLimit),
}

/// What is known of a replica's room.
#[derive(Debug, Clone, Copy)]
pub struct KnownRoom {
    /// Free slots by the newest sample.
    pub free_slots: u32,
    /// Age of that sample.
    pub age: Duration,
    /// This node's sends since that sample.
    pub sent_since: u32,
    /// This node's sends in the last second.
    pub sent_per_s: u32,
}

impl KnownRoom {
    /// Returns whether there is room for one more request, if each of the other nodes sends as many
    /// as this one.
    fn is_enough(&self, nodes: usize) -> bool {
        let others_per_s = (nodes.max(1) - 1) as f64 * f64::from(self.sent_per_s);
        let sent_by_others = others_per_s * self.age.as_secs_f64();
        let needed = f64::from(self.sent_since + 1 + ROOM_MARGIN) + sent_by_others;
        needed <= f64::from(self.free_slots)
    }
}

/// The last signal of a replica.
#[derive(Debug, Clone, Copy)]
struct HeardSignal {
    max_per_s: Option<u32>,
    at: Moment,
}

/// The brittle replicas that this node knows.
#[derive(Debug, Default)]
pub struct BrittleReplicas {
    signals: HashMap<ServiceName, HashMap<ReplicaId, HeardSignal>>,
    /// What nodes reported of services, this one included.
    reports: HashMap<ServiceName, ServiceReport>,
}

/// What a node reported of a service's replicas.
#[derive(Debug, Clone, Copy)]
struct ServiceReport {
    max_per_s: u32,
    at: Moment,
}

impl BrittleReplicas {
    /// Records the signal of an answer. Returns whether it changed what is known of the replica.
    pub fn record_signal(
        &mut self,
        service: &ServiceName,
        replica: &ReplicaId,
        signal: RejectionSignal,
        now: Moment,
    ) -> bool {
        let max_per_s = match signal {
            RejectionSignal::Unspecified => return false,
            RejectionSignal::Unlimited => None,
            RejectionSignal::Limited { max_per_s } => Some(max_per_s),
        };
        if max_per_s.is_none() {
            // This answer is newer than what any node reported.
            self.reports.remove(service);
            if !self.signals.contains_key(service) {
                return false;
            }
        }
        let replicas = self.signals.entry(service.clone()).or_default();
        let heard = HeardSignal { max_per_s, at: now };
        let known = replicas.insert(replica.clone(), heard);
        replicas.retain(|_, heard| now.since(heard.at) < REPLICA_VALIDITY);
        if replicas.values().all(|heard| heard.max_per_s.is_none()) {
            self.signals.remove(service);
        }
        known.and_then(|known| known.max_per_s) != max_per_s
    }

    /// Records that a node reported the rejections that a service's replicas bear.
    pub fn record_report(&mut self, service: &ServiceName, max_per_s: u32, now: Moment) {
        self.reports
            .retain(|_, report| now.since(report.at) < SERVICE_VALIDITY);
        let report = ServiceReport { max_per_s, at: now };
        self.reports.insert(service.clone(), report);
    }

    /// Returns the services whose replicas told this node recently that they are brittle, of which no
    /// node reported it within `report_interval`, and the rejections that they bear.
    pub fn unreported(&self, report_interval: Duration, now: Moment) -> Vec<(ServiceName, u32)> {
        let is_reported = |service: &ServiceName| {
            let report = self.reports.get(service);
            report.is_some_and(|report| now.since(report.at) < report_interval)
        };
        let services = self.signals.iter().filter(|(service, _)| !is_reported(service));
        let heard = services.filter_map(|(service, replicas)| {
            let recent = replicas
                .values()
                .filter(|heard| now.since(heard.at) < report_interval);
            let max_per_s = recent.filter_map(|heard| heard.max_per_s).min()?;
            Some((service.clone(), max_per_s))
        });
        heard.collect()
    }

    /// Returns whether no replica is known to be brittle.
    pub fn is_empty(&self) -> bool {
        self.signals.is_empty() && self.reports.is_empty()
    }

    /// Returns the risk of a request to a replica. `nodes` is the number of nodes that may send
    /// requests there by the same sample of its load.
    pub fn risk(
        &self,
        service: &str,
        replica: &str,
        room: Option<KnownRoom>,
        nodes: usize,
        now: Moment,
    ) -> RejectionRisk {
        let Some((max_per_s, received_at)) = self.signal_of(service, replica, now) else {
            return RejectionRisk::None;
        };
        if room.is_some_and(|room| room.is_enough(nodes)) {
            return RejectionRisk::None;
        }
        RejectionRisk::Limited(ReportedLimit {
            rate: rejection_rate(max_per_s),
            received_at,
        })
    }

    /// Returns the number of rejections a second that a replica bears; `None` if it bears any.
    pub fn max_rejections_per_s(&self, service: &str, replica: &str, now: Moment) -> Option<u32> {
        self.signal_of(service, replica, now)
            .map(|(max_per_s, _)| max_per_s)
    }

    /// Returns the number of rejections a second that a replica bears, and when that was heard; `None`
    /// if it bears any. A replica that was not heard is as brittle as any of its service that was
    /// heard recently, here or at another node.
    fn signal_of(&self, service: &str, replica: &str, now: Moment) -> Option<(u32, Moment)> {
        let limit_of = |heard: &HeardSignal| heard.max_per_s.map(|max_per_s| (max_per_s, heard.at));
        let report = self.reports.get(service);
        let report = report.filter(|report| now.since(report.at) < SERVICE_VALIDITY);
        let replicas = self.signals.get(service);
        let own = replicas.and_then(|replicas| replicas.get(replica));
        if let Some(heard) = own.filter(|heard| now.since(heard.at) < REPLICA_VALIDITY) {
            let is_outdated = heard.max_per_s.is_none() && report.is_some_and(|report| report.at > heard.at);
            if !is_outdated {
                return limit_of(heard);
            }
        }
        let heard = replicas.into_iter().flat_map(HashMap::values);
        let recent = heard.filter(|heard| now.since(heard.at) < SERVICE_VALIDITY);
        let reported = report.map(|report| (report.max_per_s, report.at));
        recent.filter_map(limit_of).chain(reported).min()
    }
}

/// Returns the rate at which all nodes together may risk rejections, so that a replica does not
/// count more than `max_per_s` in any second.
fn rejection_rate(max_per_s: u32) -> RequestRate {
    let max_per_s = f64::from(max_per_s);
    let beside_burst = (max_per_s - KEEPER_BURST) / KEEPER_RATE_FACTOR;
    let per_s = beside_burst.max(max_per_s * MIN_RATE_FRACTION);
    RequestRate::from_millis_per_s((per_s * 1000.0) as u64)
}

/// Returns the name under which the rejections of a replica are reserved, beside its own, under which
/// calls to it are.
pub fn reservation_subject(replica: &str) -> ReplicaId {
    format!("{replica}#rejections").as_str().into()
}
