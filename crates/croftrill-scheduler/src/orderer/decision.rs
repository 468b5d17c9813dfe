//! Decisions of an orderer that its node logs.

use crate::catalog::ModelName;
use crate::placement::WeightSource;
use crate::replica::ReplicaId;
use crate::replica_room::RoomUse;

/// The reason for which a replica got a goal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GoalReason {
    /// Requests wait for the model and no replica holds it.
    Waiting,
    /// The demand for the model justifies one more holder.
    Demand,
    /// Streams go on only at replicas of one software version, none of which holds the model.
    StreamVersion,
}

/// A placement decision, for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// A replica is to load a model.
    Goal {
        /// The replica.
        replica: ReplicaId,
        /// The model.
        model: ModelName,
        /// The reason.
        reason: GoalReason,
        /// Number of other replicas that hold the model or are to load it.
        holders: usize,
        /// The source of its weights.
        source: WeightSource,
    },
    /// A model is to be evicted for a replica's goal.
    Evict {
        /// The replica.
        replica: ReplicaId,
        /// The model to evict.
        model: ModelName,
        /// Requests per second that depend on this holder.
        value: f64,
        /// Number of replicas that hold the model or are to load it.
        holders: usize,
    },
    /// A replica reported that it holds, or has on the way, more than is counted at the same sequence.
    UncountedRoom {
        /// The replica.
        replica: ReplicaId,
        /// Its sequence.
        sequence: u64,
        /// What takes room there according to the report.
        reported: RoomUse,
        /// What was counted until then.
        counted: RoomUse,
        /// Number of reported adapters in transit.
        in_transit: usize,
    },
}
