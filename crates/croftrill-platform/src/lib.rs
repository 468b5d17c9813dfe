//! The platform's services, each behind one small trait with one HTTP adapter.
//! The users' own bench will define the real protocols; only the adapters know
//! the present ones.

pub mod engine;
pub mod http;
pub mod key_value;
pub mod machine_list;
pub mod weight_store;
pub mod wire;

pub use http::{
    HttpEndpoint, HttpEngineClient, HttpEngineConfig, HttpKeyValueService, HttpMachineList, HttpWeightStore,
};
