//! Settings of the daemon: a TOML file, overridden by flags.
//!
//! Every problem is collected with its file, line and column and reported
//! together. A key that the table in [`keys`] does not list is a problem too.

mod document;
mod findings;
pub mod keys;
mod load;
mod settings;
mod values;

pub use findings::{Finding, Findings, Place};
pub use settings::{
    AdvertisedAddresses, Deadlines, HttpEndpoint, KeyOverride, Limits, ListenAddresses, LogLevel,
    NodeIdentity, Overrides, PlatformEndpoints, Policy, Settings, Timings,
};
