//! Metrics of the control parts, set when they are scraped.

use crate::control::Control;
use croftrill_coordination::replication::Replica;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Gauges of what control is and costs.
#[derive(Default)]
pub struct ControlMetrics {
    revision: Gauge,
    coordinating: Gauge,
    alive_members: Gauge,
    probe_bytes_sent: Gauge,
    probe_bytes_received: Gauge,
    peer_bytes_sent: Gauge,
    peer_bytes_received: Gauge,
}

impl ControlMetrics {
    /// Registers the gauges.
    pub fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let gauges = [
            ("log_revision", "Last applied revision", &metrics.revision),
            (
                "coordinating",
                "1 while this node coordinates its cell",
                &metrics.coordinating,
            ),
            (
                "alive_members",
                "Members believed to be alive, this node included",
                &metrics.alive_members,
            ),
            (
                "probe_sent_bytes",
                "Bytes of membership probes sent since the start",
                &metrics.probe_bytes_sent,
            ),
            (
                "probe_received_bytes",
                "Bytes of membership probes received since the start",
                &metrics.probe_bytes_received,
            ),
            (
                "peer_sent_bytes",
                "Bytes of peer calls of the control parts sent since the start",
                &metrics.peer_bytes_sent,
            ),
            (
                "peer_received_bytes",
                "Bytes of peer calls of the control parts received since the start",
                &metrics.peer_bytes_received,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        metrics
    }

    /// Sets the gauges from the present state.
    pub fn update(&self, replica: &Replica, control: Option<&Control>) {
        self.revision.set(replica.head().0 as i64);
        let Some(control) = control else {
            return;
        };
        let traffic = control.membership.traffic();
        self.coordinating.set(i64::from(control.role.borrow().is_some()));
        self.alive_members
            .set(control.membership.view().alive_count() as i64);
        self.probe_bytes_sent.set(traffic.bytes_sent as i64);
        self.probe_bytes_received.set(traffic.bytes_received as i64);
        let peer_traffic = control.peer_traffic.counts();
        self.peer_bytes_sent.set(peer_traffic.bytes_sent as i64);
        self.peer_bytes_received.set(peer_traffic.bytes_received as i64);
    }
}
