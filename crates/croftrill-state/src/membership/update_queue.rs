//! News that still has to be told, each a bounded number of times.

use super::message::MemberUpdate;
use crate::identifiers::NodeId;
use nanoserde::SerBin;
use std::collections::BTreeMap;

/// One piece of news a member, the least often told first.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    queued: BTreeMap<NodeId, QueuedUpdate>,
}

#[derive(Debug)]
struct QueuedUpdate {
    update: MemberUpdate,
    bytes: usize,
    told: u32,
}

impl UpdateQueue {
    /// Queues news, in place of older news about the same member.
    pub(super) fn push(&mut self, update: MemberUpdate) {
        let queued = QueuedUpdate {
            bytes: update.serialize_bin().len(),
            told: 0,
            update,
        };
        self.queued.insert(queued.update.node.clone(), queued);
    }

    /// Takes news that fits into `bytes`; each is dropped after `limit` tellings.
    pub(super) fn take(&mut self, mut bytes: usize, limit: u32) -> Vec<MemberUpdate> {
        let mut order: Vec<(u32, NodeId)> = self
            .queued
            .iter()
            .map(|(node, queued)| (queued.told, node.clone()))
            .collect();
        order.sort();
        let mut taken = Vec::new();
        for (_, node) in order {
            let Some(queued) = self.queued.get_mut(&node) else {
                continue;
            };
            if queued.bytes > bytes {
                break;
            }
            bytes -= queued.bytes;
            queued.told += 1;
            taken.push(queued.update.clone());
            if queued.told >= limit {
                self.queued.remove(&node);
            }
        }
        taken
    }

    /// Drops news about a member that was forgotten.
    pub(super) fn forget(&mut self, node: &NodeId) {
        self.queued.remove(node);
    }
}
