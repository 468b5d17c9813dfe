//! The coordinator of a cell: a role that some node holds for a while.
//!
//! The lease in the key-value service only keeps candidates apart. What makes
//! the role safe is the log: on taking the role a node appends a new term, and
//! entries of an earlier term are rejected. A holder that was paused therefore
//! changes nothing, however late it wakes up. Every plan is made for one
//! revision and appended directly after it or not at all.
//!
//! A node that reaches the service but not its peers would see everybody dead
//! and take all engines. It gives the role up before that.

mod candidacy;
mod isolation;
mod lease;
mod machine_watch;

pub use lease::{CoordinatorLease, LeaseConfig, LeaseError};

use crate::replication::{Backoff, Follower, LiveMembers, ProposeOutcome, Replica};
use crate::revision_log::SnapshotError;
use candidacy::Candidacy;
use croftrill_platform::key_value::KeyValueService;
use croftrill_platform::machine_list::MachineList;
use croftrill_state::entry::Change;
use croftrill_state::reconcile::{Observation, ReconcileConfig, Reconciler};
use croftrill_state::{CellId, ClusterState, Revision, Term};
use machine_watch::MachineWatch;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Looks at membership before a coordinator counts as isolated.
const ISOLATION_LOOKS: u64 = 4;

/// How a coordinator and the candidates behave.
#[derive(Clone, Debug)]
pub struct CoordinatorConfig {
    /// The cell.
    pub cell: CellId,
    /// The lease.
    pub lease: LeaseConfig,
    /// Between two readings of the machine list, in milliseconds.
    pub machine_poll_millis: u64,
    /// Between two looks at membership when nothing else happens, in
    /// milliseconds.
    pub reconcile_millis: u64,
    /// How much later than the candidate before it each candidate tries, in
    /// milliseconds.
    pub rank_delay_millis: u64,
    /// Candidates that look at the lease although the coordinator seems alive.
    pub watching_candidates: usize,
    /// Between two such looks, in milliseconds.
    pub lease_look_millis: u64,
    /// A candidate that sees fewer than half of the cell's nodes alive lets all
    /// others try for this long first, in milliseconds.
    pub isolated_delay_millis: u64,
    /// A coordinator that sees fewer than half of the cell's nodes alive for
    /// this long gives the role up, in milliseconds. Shorter than the time
    /// after which it would take their engines away.
    pub isolated_after_millis: u64,
    /// Longest pause of a candidate after the service failed, in milliseconds.
    pub longest_backoff_millis: u64,
    /// Entries after which a new snapshot is written.
    pub snapshot_every: u64,
    /// Patience with machines and owners.
    pub reconcile: ReconcileConfig,
}

impl CoordinatorConfig {
    /// The usual values for a cell.
    pub fn new(cell: CellId) -> Self {
        Self {
            cell,
            lease: LeaseConfig::default(),
            machine_poll_millis: 3_000,
            reconcile_millis: 1_000,
            rank_delay_millis: 1_500,
            watching_candidates: 3,
            lease_look_millis: 10_000,
            isolated_delay_millis: 10_000,
            isolated_after_millis: 2_000,
            longest_backoff_millis: 15_000,
            snapshot_every: 500,
            reconcile: ReconcileConfig::default(),
        }
    }
}

/// What a coordinator is made of.
pub struct CoordinatorParts {
    /// The node's copy of the log.
    pub replica: Arc<Replica>,
    /// Told to wait on the service while this node is the coordinator.
    pub follower: Arc<Follower>,
    /// Holds the lease.
    pub service: Arc<dyn KeyValueService>,
    /// The platform's list.
    pub machines: Arc<dyn MachineList>,
    /// Who is alive.
    pub members: Arc<dyn LiveMembers>,
}

/// Takes and keeps the role of coordinator, when it is this node's turn.
pub struct Coordinator {
    config: CoordinatorConfig,
    parts: CoordinatorParts,
    started: Instant,
    role: watch::Sender<Option<Term>>,
}

/// Why a term ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TermEnd {
    LeaseLost,
    Superseded,
    Isolated,
    Shutdown,
}

impl Coordinator {
    /// A coordinator that does nothing until [`Coordinator::run`].
    pub fn new(config: CoordinatorConfig, parts: CoordinatorParts) -> Self {
        Self {
            config,
            parts,
            started: Instant::now(),
            role: watch::Sender::new(None),
        }
    }

    /// The term in which this node holds the role, as far as it knows.
    pub fn role(&self) -> watch::Receiver<Option<Term>> {
        self.role.subscribe()
    }

    /// Runs until `shutdown`; then gives the lease back.
    pub async fn run(&self, shutdown: CancellationToken) {
        let mut candidacy = Candidacy::new(&self.config, &self.parts);
        while !shutdown.is_cancelled() {
            let taken = tokio::select! {
                () = shutdown.cancelled() => return,
                taken = candidacy.next_lease() => taken,
            };
            let Some(mut lease) = taken else {
                continue;
            };
            if let Some(term) = self.take_role().await {
                let end = self.hold_role(&mut lease, term, &shutdown).await;
                self.leave_role(term, end);
            }
            lease.give_back().await;
            candidacy.pause_after_term().await;
        }
    }

    /// Fences the former coordinator through the log.
    async fn take_role(&self) -> Option<Term> {
        let replica = &self.parts.replica;
        if let Err(error) = replica.catch_up_from_log().await {
            log::warn!("coordinator: log not read error=\"{error}\"");
            return None;
        }
        let present = self.present_term(&replica.state());
        let term = Term(present.0 + 1);
        let change = Change::ElectCoordinator {
            cell: self.config.cell.clone(),
            node: replica.node().clone(),
        };
        match replica.propose(change, term).await {
            ProposeOutcome::Applied(revision) => {
                log::info!(
                    "coordinator: role taken cell={} term={term} revision={revision}",
                    self.config.cell
                );
                Some(term)
            }
            outcome => {
                log::warn!("coordinator: role not taken term={term} outcome={outcome:?}");
                None
            }
        }
    }

    async fn hold_role(
        &self,
        lease: &mut CoordinatorLease,
        term: Term,
        shutdown: &CancellationToken,
    ) -> TermEnd {
        self.role.send_replace(Some(term));
        self.parts.follower.set_coordinating(true);
        tokio::select! {
            () = shutdown.cancelled() => TermEnd::Shutdown,
            () = lease.keep() => TermEnd::LeaseLost,
            () = self.superseded(term) => TermEnd::Superseded,
            () = self.became_isolated() => TermEnd::Isolated,
            () = self.work(term) => TermEnd::Superseded,
            () = self.keep_snapshots() => TermEnd::Shutdown,
        }
    }

    fn leave_role(&self, term: Term, end: TermEnd) {
        self.role.send_replace(None);
        self.parts.follower.set_coordinating(false);
        log::info!(
            "coordinator: role left cell={} term={term} reason={end:?}",
            self.config.cell
        );
    }

    /// Returns once the log shows another term.
    async fn superseded(&self, term: Term) {
        let mut heads = self.parts.replica.new_heads();
        loop {
            if self.present_term(&self.parts.replica.state()) != term {
                return;
            }
            if heads.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns once this node saw most of the cell alive and then, for a while,
    /// did not. If most of the cell is really gone, the node gets the role back
    /// after the others had their chance.
    async fn became_isolated(&self) {
        let look = Duration::from_millis(self.config.isolated_after_millis / ISOLATION_LOOKS);
        let mut was_connected = false;
        let mut looks = 0;
        loop {
            if self.is_isolated() {
                looks += 1;
            } else {
                was_connected = true;
                looks = 0;
            }
            if was_connected && looks >= ISOLATION_LOOKS {
                return;
            }
            tokio::time::sleep(look).await;
        }
    }

    fn is_isolated(&self) -> bool {
        let state = self.parts.replica.state();
        isolation::is_isolated(&state, &self.config.cell, self.parts.members.as_ref())
    }

    /// Reconciles until it finds that its term is over.
    async fn work(&self, term: Term) {
        let mut machines = MachineWatch::new(self.parts.machines.clone(), self.config.machine_poll_millis);
        let mut reconciler = Reconciler::new(self.config.cell.clone(), self.config.reconcile.clone());
        let mut heads = self.parts.replica.new_heads();
        let pause = Duration::from_millis(self.config.reconcile_millis);
        loop {
            machines.refresh().await;
            heads.mark_unchanged();
            let planned = self.plan(&mut reconciler, &machines);
            match planned {
                Some((base, change)) => match self.append(base, change, term).await {
                    Appended::Yes => continue,
                    Appended::Retry(millis) => tokio::time::sleep(Duration::from_millis(millis)).await,
                    Appended::TermOver => return,
                },
                None => {
                    let _ = tokio::time::timeout(pause, heads.changed()).await;
                }
            }
        }
    }

    fn plan(&self, reconciler: &mut Reconciler, machines: &MachineWatch) -> Option<(Revision, Change)> {
        let state = self.parts.replica.state();
        let members = &self.parts.members;
        let observation = Observation {
            machines: machines.listed(),
            alive: &|node| members.is_alive(node),
            leaving: &|node| members.is_leaving(node),
            now: croftrill_state::Instant(self.started.elapsed().as_millis() as u64),
        };
        let change = reconciler.plan(&state, &observation)?;
        Some((state.revision, change))
    }

    async fn append(&self, base: Revision, change: Change, term: Term) -> Appended {
        let pause = self.config.reconcile_millis;
        match self.parts.replica.propose_at(base, change, term).await {
            ProposeOutcome::Applied(revision) => {
                log::info!("coordinator: placement changed revision={revision}");
                Appended::Yes
            }
            ProposeOutcome::Stale { .. } => Appended::Yes,
            ProposeOutcome::Rejected(croftrill_state::cluster::ApplyError::StaleTerm { .. }) => {
                Appended::TermOver
            }
            ProposeOutcome::Rejected(error) => {
                log::error!("coordinator: plan rejected error=\"{error}\"");
                Appended::Retry(pause)
            }
            ProposeOutcome::Unavailable { retry_after_millis } => {
                Appended::Retry(retry_after_millis.max(pause))
            }
            ProposeOutcome::OutcomeUnknown => Appended::Retry(pause),
        }
    }

    /// Writes a snapshot whenever the log grew enough; never returns while the
    /// replica lives.
    async fn keep_snapshots(&self) {
        let replica = &self.parts.replica;
        let mut heads = replica.new_heads();
        let mut backoff = Backoff::new(self.config.rank_delay_millis, self.config.longest_backoff_millis);
        loop {
            match self.snapshot_if_due().await {
                Ok(()) => backoff.reset(),
                Err(error) => {
                    log::warn!("coordinator: snapshot not written error=\"{error}\"");
                    backoff.pause(replica.random()).await;
                    continue;
                }
            }
            let due = Revision(replica.head().0 + self.config.snapshot_every);
            if heads.wait_for(|head| *head >= due).await.is_err() {
                return;
            }
        }
    }

    async fn snapshot_if_due(&self) -> Result<(), SnapshotError> {
        let replica = &self.parts.replica;
        let present = replica.snapshot_revision().await?;
        if replica.head().0 < present.0 + self.config.snapshot_every {
            return Ok(());
        }
        match replica.write_snapshot().await {
            Err(SnapshotError::Superseded(_)) => Ok(()),
            result => result,
        }
    }

    fn present_term(&self, state: &ClusterState) -> Term {
        let present = state.coordinators.get(&self.config.cell);
        present.map_or(Term(0), |coordinator| coordinator.term)
    }
}

/// What became of a plan.
enum Appended {
    Yes,
    Retry(u64),
    TermOver,
}
