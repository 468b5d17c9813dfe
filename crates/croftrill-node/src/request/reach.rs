//! Replicas to which a waiting request could not connect.
//!
//! That a replica is out of reach is known for a short time only, as it may come back. A request that
//! waits for another holder meanwhile keeps the knowledge up to date: it tries again once the time is
//! over, so that the replica neither counts as a holder while it is listed and gone, nor is passed over
//! when it is back.

use croftrill_scheduler::health::SendOutcome;
use croftrill_scheduler::path_search::SearchFailure;
use croftrill_scheduler::replica::ReplicaId;
use croftrill_scheduler::replica_table::ReplicaEntry;
use http::HeaderMap;

use super::RequestRun;
use crate::ports::Platform;
use crate::replica_path::{self, ConnectOptions, PathTarget};

impl<P: Platform> RequestRun<P> {
    /// Records that no connection to a replica came up.
    pub(super) fn add_unreached(&mut self, replica: &ReplicaId) {
        if !self.unreached.contains(replica) {
            self.unreached.push(replica.clone());
        }
    }

    /// Connects once more to the replicas that were out of reach and are no longer known to be.
    /// Returns true if one is in reach, so that it may be chosen again.
    pub(super) async fn reaches_lost_replica(&mut self) -> bool {
        let mut reaches_one = false;
        for target in self.unknown_reach() {
            let options = ConnectOptions { may_reuse: true };
            match replica_path::connect(&self.node, &self.node.pool, &target, options).await {
                Ok(connection) => {
                    self.node.pool.put_back(connection, &HeaderMap::new());
                    let is_other = |id: &ReplicaId| *id != target.replica;
                    self.unreached.retain(is_other);
                    self.tried.retain(is_other);
                    reaches_one = true;
                }
                Err(SearchFailure::NoPath) => {}
                Err(_) => {
                    let now = self.now();
                    let replicas = &mut self.node.state.borrow_mut().replicas;
                    replicas.record_outcome(&target.replica, SendOutcome::Unreachable, now);
                }
            }
        }
        reaches_one
    }

    /// Returns the listed replicas that this request did not reach, and of which it is not known
    /// whether they are in reach now.
    fn unknown_reach(&self) -> Vec<PathTarget> {
        let now = self.now();
        let state = self.node.state.borrow();
        let entries = self.unreached.iter().filter_map(|id| state.replicas.get(id));
        let is_open = |entry: &&ReplicaEntry| entry.is_ready() && entry.is_in_reach(now);
        entries.filter(is_open).filter_map(PathTarget::of).collect()
    }
}
