//! Messages that spread the newest configuration. They go in both directions of any link whose ends
//! understand them.

use croftrill_scheduler::configuration_exchange::HeldVersion;
use nanoserde::{DeBin, SerBin};

use crate::wire::WireList;

/// A message about the configuration.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub enum WireConfiguration {
    /// The sender holds this version. The first one of a link says that the sender understands
    /// these messages.
    Held(WireHeldVersion),
    /// Requests the newest configuration that the recipient holds.
    Request(WireBase),
    /// The newest configuration that the sender holds.
    Content(WireContent),
}

/// A version of the configuration that a node holds, on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub struct WireHeldVersion {
    /// The version; 0 if it holds none.
    pub version: u64,
    /// Number of eras of the store before the one in which it was written.
    pub era: u64,
}

/// A configuration against which content may be encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub struct WireBase {
    /// Its version; 0 for none.
    pub version: u64,
    /// Hash of its value.
    pub digest: u64,
}

/// An encoded configuration, on the wire.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct WireContent {
    /// Its version.
    pub version: u64,
    /// Store revision of the item.
    pub revision: u64,
    /// Version that it is encoded against; 0 for none.
    pub base_version: u64,
    /// Size of the decoded value, in bytes.
    pub size_bytes: u32,
    /// Hash of the decoded value.
    pub digest: u64,
    /// The encoded value.
    pub encoded: WireList<u8>,
}

impl WireHeldVersion {
    /// Converts a held version into its wire form.
    pub fn from_held(held: HeldVersion) -> Self {
        WireHeldVersion {
            version: held.version,
            era: held.era,
        }
    }

    /// Returns the held version.
    pub fn to_held(self) -> HeldVersion {
        HeldVersion {
            version: self.version,
            era: self.era,
        }
    }
}
