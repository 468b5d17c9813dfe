//! The promises that a run must keep.

use super::{Fleet, NodeState, Span, DEADLINE_MS, SETTLE_MS};

/// Share of the others' rate that the callers of cut nodes must get.
const MIN_RATE: f64 = 0.9;
/// Requests below which a rate says nothing.
const MIN_REQUESTS: usize = 20;

impl Fleet {
    pub(super) fn is_cut_off(&self, node: usize) -> bool {
        self.nodes[node]
            .paths
            .is_cut_off_from(|_| true, || self.replicas.len())
    }

    /// A node whose paths were never cut must not take itself for cut off.
    pub(super) fn check_not_cut_off(&mut self, node: usize) {
        if !self.nodes[node].was_cut && self.is_cut_off(node) {
            let now = self.now;
            self.violations
                .push(format!("{now} ms: node {node} takes itself for cut off"));
        }
    }

    /// A node must know by the end of a partition that it is cut off, if another one was in service.
    pub(super) fn check_cut_off(&mut self) {
        let now = self.now;
        let Some(span) = self.spans.last() else { return };
        let since = span.from;
        if now < since + 2 * SETTLE_MS
            || self.replicas.iter().filter(|(fault, _)| fault.is_none()).count() < 3
        {
            return;
        }
        let is_steady = |node: usize| {
            self.nodes[node].state == NodeState::Serving
                && now >= self.nodes[node].state_since + 2 * SETTLE_MS
                && !self
                    .absences
                    .iter()
                    .any(|(absent, _, to)| *absent == node && *to > since)
        };
        let has_helper = (0..self.nodes.len()).any(|node| self.nodes[node].cut.is_none() && is_steady(node));
        let unaware = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].cut.is_some() && is_steady(*node) && !self.is_cut_off(*node));
        let unaware: Vec<usize> = unaware.collect();
        if has_helper && !unaware.is_empty() {
            self.violations.push(format!(
                "{now} ms: nodes {unaware:?} do not know that they are cut off"
            ));
        }
    }

    /// Compares the callers of cut nodes with the others', from [`SETTLE_MS`] after the cut.
    pub(super) fn check_span(&self, span: &Span) -> Option<String> {
        let from = span.from + SETTLE_MS;
        let to = span.to.saturating_sub(DEADLINE_MS);
        let in_service = |node: usize| {
            let is_absent =
                |absence: &&(usize, u64, u64)| absence.0 == node && absence.1 < to && absence.2 > span.from;
            let is_away = self.nodes[node].state != NodeState::Serving && self.nodes[node].state_since < to;
            !is_away && self.absences.iter().find(is_absent).is_none()
        };
        let count = |is_cut: bool| {
            let nodes = (0..self.nodes.len()).filter(|node| span.cut[*node] == is_cut && in_service(*node));
            let nodes: Vec<usize> = nodes.collect();
            let requests = self.requests.iter().filter(|request| {
                nodes.contains(&request.node) && request.arrived_at >= from && request.arrived_at < to
            });
            let outcomes: Vec<bool> = requests.map(|request| request.served == Some(true)).collect();
            (outcomes.iter().filter(|served| **served).count(), outcomes.len())
        };
        let (cut, others) = (count(true), count(false));
        if cut.1 < MIN_REQUESTS || others.1 < MIN_REQUESTS {
            return None;
        }
        let rate = |(served, all): (usize, usize)| served as f64 / all as f64;
        (rate(cut) < MIN_RATE * rate(others)).then(|| {
            format!(
                "{from} to {to} ms: {} of {} served at cut nodes, {} of {} at others",
                cut.0, cut.1, others.0, others.1
            )
        })
    }
}
