//! Typed identifiers. Each names one kind of object, so that two kinds are
//! never mixed up in a call or in a map.

use nanoserde::{DeBin, DeBinErr, SerBin};
use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! text_identifier {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// Makes an identifier from any text.
            pub fn new(text: impl Into<String>) -> Self {
                Self(text.into())
            }

            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl SerBin for $name {
            fn ser_bin(&self, output: &mut Vec<u8>) {
                self.0.ser_bin(output);
            }
        }

        impl DeBin for $name {
            fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
                Ok(Self(DeBin::de_bin(offset, bytes)?))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_string())
            }
        }
    };
}

macro_rules! number_identifier {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl SerBin for $name {
            fn ser_bin(&self, output: &mut Vec<u8>) {
                self.0.ser_bin(output);
            }
        }

        impl DeBin for $name {
            fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
                Ok(Self(DeBin::de_bin(offset, bytes)?))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    };
}

text_identifier!(
    /// A machine that runs the croftrill daemon.
    NodeId
);
text_identifier!(
    /// One model engine process and the accelerators it drives.
    EngineId
);
text_identifier!(
    /// A model; its versions share the identifier.
    ModelId
);
text_identifier!(
    /// An adapter of a base model.
    AdapterId
);
text_identifier!(
    /// A research group, the unit of fair sharing.
    GroupId
);
text_identifier!(
    /// A failure domain inside a region.
    ZoneId
);
text_identifier!(
    /// A configured set of zones that shares one coordinator.
    CellId
);
text_identifier!(
    /// A plan offered to an operator: `<node>/<random number>`.
    PlanId
);
text_identifier!(
    /// The caller's or the gateway's key of an unrepeatable request.
    IdempotencyKey
);

number_identifier!(
    /// A position in the revision log. The first entry has revision 1; 0 means
    /// "nothing applied yet".
    Revision
);
number_identifier!(
    /// A random number unique to one attempt to append a log entry. A writer
    /// whose answer was lost compares it to learn whether its entry won.
    EntryId
);
number_identifier!(
    /// Counts the coordinators of a cell; a later term fences earlier ones.
    Term
);
number_identifier!(
    /// One request of a caller, from arrival to its final answer.
    RequestId
);
number_identifier!(
    /// One attempt to run a request; a retry or a resume gets a new one.
    AttemptId
);
number_identifier!(
    /// Orders given to an engine carry it; an engine refuses one that is lower
    /// than the highest it has seen. It is the revision of the log entry that
    /// assigned the engine to its owner.
    FencingToken
);

impl Revision {
    /// The revision after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
