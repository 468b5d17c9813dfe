//! What the nodes of a cluster used between two looks.

use crate::cluster::HollowCluster;
use crate::counted_platform::CallCounts;
use crate::meter::{resident_bytes, ProcessorTimes, ThreadId};
use croftrill_coordination::membership_driver::ProbeTrafficCounts;
use croftrill_state::NodeId;
use croftrill_transport::peer::PeerTrafficCounts;
use std::collections::BTreeMap;
use tokio::time::Instant;

/// Headers of TCP and IP for one frame and its acknowledgement, in bytes.
const TCP_FRAME_BYTES: u64 = 104;

/// All counters at one time.
#[derive(Clone)]
pub struct Sample {
    at: Instant,
    times: ProcessorTimes,
    nodes: BTreeMap<NodeId, NodeSample>,
    platform: ThreadId,
    /// Resident memory of the process, in bytes.
    pub resident_bytes: u64,
}

#[derive(Clone, Copy)]
struct NodeSample {
    thread: ThreadId,
    probes: ProbeTrafficCounts,
    peers: PeerTrafficCounts,
    calls: CallCounts,
    coordinates: bool,
}

impl NodeSample {
    fn not_started(thread: ThreadId) -> Self {
        Self {
            thread,
            probes: ProbeTrafficCounts::default(),
            peers: PeerTrafficCounts::default(),
            calls: CallCounts::default(),
            coordinates: false,
        }
    }
}

/// What one node used in a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeUsage {
    /// Whether it coordinated at the end.
    pub coordinates: bool,
    /// Whether it was started during this time.
    pub started: bool,
    /// Processor time, in seconds.
    pub processor_seconds: f64,
    /// Bytes of probes, both ways, with headers.
    pub probe_bytes: u64,
    /// Bytes of peer calls sent, with headers.
    pub peer_bytes_sent: u64,
    /// Bytes of peer calls received, with headers.
    pub peer_bytes_received: u64,
    /// Calls to the platform.
    pub calls: CallCounts,
}

impl NodeUsage {
    /// All control bytes but those of the machine list, both ways.
    pub fn control_bytes(&self) -> u64 {
        self.probe_bytes + self.peer_bytes_sent + self.peer_bytes_received + self.calls.bytes
    }
}

/// What all nodes used between two samples.
pub struct Usage {
    /// Length of the time, in seconds.
    pub seconds: f64,
    /// By node, for the nodes that ran at the end.
    pub nodes: BTreeMap<NodeId, NodeUsage>,
    /// Processor time of the platform's stand-ins, in seconds.
    pub platform_processor_seconds: f64,
}

impl Sample {
    /// Reads all counters.
    pub fn take(cluster: &HollowCluster) -> anyhow::Result<Sample> {
        let nodes = cluster.nodes().map(|node| {
            let sample = NodeSample {
                thread: node.thread,
                probes: node.control.membership.traffic(),
                peers: node.control.peer_traffic.counts(),
                calls: node.calls.counts(),
                coordinates: node.is_coordinator(),
            };
            (node.spec.id.clone(), sample)
        });
        Ok(Sample {
            nodes: nodes.collect(),
            times: ProcessorTimes::read()?,
            platform: cluster.platform.thread,
            resident_bytes: resident_bytes()?,
            at: Instant::now(),
        })
    }

    /// What was used after `earlier`.
    pub fn since(&self, earlier: &Sample) -> Usage {
        let nodes = self.nodes.iter().map(|(id, now)| {
            let before = earlier.nodes.get(id).filter(|before| before.thread == now.thread);
            (id.clone(), self.node_usage(earlier, before, now))
        });
        Usage {
            seconds: (self.at - earlier.at).as_secs_f64(),
            nodes: nodes.collect(),
            platform_processor_seconds: self.times.used_since(&earlier.times, self.platform).as_secs_f64(),
        }
    }

    fn node_usage(&self, earlier: &Sample, before: Option<&NodeSample>, now: &NodeSample) -> NodeUsage {
        let started = before.is_none();
        let zero = NodeSample::not_started(now.thread);
        let before = before.unwrap_or(&zero);
        let probes = |counts: &ProbeTrafficCounts| counts.bytes_sent + counts.bytes_received;
        let sent = |counts: &PeerTrafficCounts| counts.bytes_sent + counts.frames_sent * TCP_FRAME_BYTES;
        let received =
            |counts: &PeerTrafficCounts| counts.bytes_received + counts.frames_received * TCP_FRAME_BYTES;
        NodeUsage {
            coordinates: now.coordinates,
            started,
            processor_seconds: self.times.used_since(&earlier.times, now.thread).as_secs_f64(),
            probe_bytes: probes(&now.probes) - probes(&before.probes),
            peer_bytes_sent: sent(&now.peers) - sent(&before.peers),
            peer_bytes_received: received(&now.peers) - received(&before.peers),
            calls: now.calls.since(&before.calls),
        }
    }
}

impl Usage {
    /// One figure of each node that did not coordinate.
    pub fn ordinary(&self, figure: impl Fn(&NodeUsage) -> f64) -> Vec<f64> {
        let ordinary = self.nodes.values().filter(|usage| !usage.coordinates);
        ordinary.map(figure).collect()
    }

    /// One figure of each coordinator.
    pub fn coordinators(&self, figure: impl Fn(&NodeUsage) -> f64) -> Vec<f64> {
        let coordinators = self.nodes.values().filter(|usage| usage.coordinates);
        coordinators.map(figure).collect()
    }

    /// One figure of each node, chosen by whether it was started in the time.
    pub fn by_start(&self, started: bool, figure: impl Fn(&NodeUsage) -> f64) -> Vec<f64> {
        let chosen = self.nodes.values().filter(|usage| usage.started == started);
        chosen.map(figure).collect()
    }

    /// Calls of all nodes.
    pub fn calls(&self) -> CallCounts {
        let calls = self.nodes.values().map(|usage| usage.calls);
        calls.fold(CallCounts::default(), |sum, calls| sum.plus(&calls))
    }
}
