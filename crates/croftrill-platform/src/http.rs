//! Adapters of the platform's traits to its present HTTP/JSON protocols.
//!
//! They are exact about effects: an error that says "no effect" is returned
//! only if the connection could not be made, the request was not sent, or the
//! service itself refused.

mod caller;
mod engine;
mod event_stream;
mod key_value;
mod machine_list;
mod weight_store;

pub use caller::HttpEndpoint;
pub use engine::{HttpEngineClient, HttpEngineConfig};
pub use key_value::HttpKeyValueService;
pub use machine_list::HttpMachineList;
pub use weight_store::{HttpWeightStore, ReadOutcome};
