//! Starting the claim holder.
//!
//! Before it counts for anything, this process must have applied all that the
//! log held at some time since the process started. Must hold before any grant:
//! otherwise a restarted node could follow a ring that was replaced long ago.

use crate::control_thread::ControlTasks;
use crate::peer_calls::PeerCalls;
use crate::peer_parts::StartedClaims;
use crate::probe_limits;
use crate::retry_pause::RetryPause;
use croftrill_coordination::claim_service::{ClaimHolderConfig, ClaimHolderService};
use croftrill_coordination::membership_driver::{MembershipHandle, MonotonicClock};
use croftrill_coordination::replication::Replica;
use croftrill_settings::Settings;
use croftrill_state::claims::{membership_revision, ClaimConfig, ClaimHolder};
use croftrill_state::{CellId, NodeId, Revision};
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for the answer to one call of the claim holders to each other.
const HAND_OVER_CALL_LIMIT: Duration = Duration::from_secs(2);

/// What the claim holder is made of.
pub struct ClaimStart {
    /// The node's cell.
    pub cell: CellId,
    /// The node.
    pub node: NodeId,
    /// Settings of claims.
    pub claims: ClaimConfig,
    /// The node's copy of the log.
    pub replica: Arc<Replica>,
    /// Membership.
    pub membership: MembershipHandle,
    /// The clock of membership.
    pub clock: MonotonicClock,
    /// Calls to peers.
    pub calls: Arc<PeerCalls>,
    /// Where the started holder is put.
    pub started: StartedClaims,
}

/// Settings of claims; the authority window stays well inside the claim window.
pub fn claim_config(settings: &Settings) -> ClaimConfig {
    let defaults = ClaimConfig::default();
    let window_millis = settings.timings.claim_window.as_millis() as u64;
    ClaimConfig {
        window_millis,
        authority_millis: defaults.authority_millis.min(window_millis / 2),
        view_limit_millis: probe_limits::view_limit(settings.timings.probe_period).as_millis() as u64,
        ..defaults
    }
}

impl ClaimStart {
    /// Catches up with the log, however long that takes, then starts the holder.
    pub async fn run(self, tasks: ControlTasks) {
        tokio::select! {
            () = tasks.stop.cancelled() => return,
            () = catch_up(&self.replica) => {}
        }
        self.membership.set_caught_up();
        self.start_holder(&tasks);
    }

    fn start_holder(self, tasks: &ControlTasks) {
        let config = ClaimHolderConfig {
            holder: ClaimHolder {
                node: self.node,
                instance: rand::random::<u64>().max(1),
                witnessed_no_ring: has_no_ring(&self.replica, &self.cell),
            },
            cell: self.cell,
            claims: self.claims,
            call_limit: HAND_OVER_CALL_LIMIT,
        };
        let view = self.membership.shared_view();
        let holder = Arc::new(ClaimHolderService::new(config, view, self.clock, self.calls));
        holder.apply_state(&self.replica.state());
        let running = holder.clone();
        let stop = tasks.stop.clone();
        tasks.spawn(async move { running.run(stop).await });
        tasks.spawn(follow_rings(holder.clone(), self.replica, tasks.clone()));
        let _ = self.started.0.set(holder);
    }
}

async fn catch_up(replica: &Replica) {
    let mut pause = RetryPause::new();
    while let Err(error) = replica.catch_up_from_log().await {
        log::debug!("claims: log not read yet error=\"{error}\"");
        pause.sleep().await;
    }
}

/// Whether no node of the cell was ever listed, as of a copy that was caught up
/// with the log. The log may have begun: nodes that start together find the
/// coordinator's first entries.
fn has_no_ring(replica: &Replica, cell: &CellId) -> bool {
    membership_revision(&replica.state(), cell) == Revision(0)
}

/// Tells the claim holder of each applied revision.
async fn follow_rings(
    holder: Arc<ClaimHolderService<PeerCalls>>,
    replica: Arc<Replica>,
    tasks: ControlTasks,
) {
    let mut heads = replica.new_heads();
    loop {
        holder.apply_state(&replica.state());
        tokio::select! {
            () = tasks.stop.cancelled() => return,
            changed = heads.changed() => if changed.is_err() { return },
        }
    }
}
