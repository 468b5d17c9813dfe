//! Typed indexes into the vectors of a run.

use serde::Serialize;

/// Simulated time since the start of a run, in microseconds.
pub type Micros = u64;

/// Microseconds in a millisecond.
pub const MILLISECOND: Micros = 1_000;
/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;

macro_rules! index {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        #[serde(transparent)]
        pub struct $name(pub usize);
    };
}

index!(
    /// A request of the workload.
    RequestIndex
);
index!(
    /// An engine.
    EngineIndex
);
index!(
    /// A model.
    ModelIndex
);
index!(
    /// An adapter, counted over all models.
    AdapterIndex
);
index!(
    /// A group.
    GroupIndex
);
index!(
    /// A class of requests.
    ClassIndex
);
index!(
    /// A node; the first nodes stand beside the engine of the same index.
    NodeIndex
);
