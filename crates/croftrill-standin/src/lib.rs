//! Small stand-ins of the platform's services, for tests and for trying the
//! system on one machine. Each keeps a ledger of what really happened, apart
//! from the state that it answers from, so that tests can check the promises of
//! the system without trusting it.

pub mod control;
pub mod engine;
pub mod key_value;
pub mod machine_list;
pub mod proxy;
mod rate_limit;
pub mod server;
pub mod weight_store;

pub use control::ControlClient;
pub use engine::{expected_answer, Engine, EngineConfig, EngineFaults, EngineLedger, RunningEngine};
pub use key_value::{
    ChangeKind, KeyValue, KeyValueCalls, KeyValueChange, KeyValueConfig, KeyValueFaults, RunningKeyValue,
};
pub use machine_list::{MachineChange, MachineListConfig, MachineListService, RunningMachineList};
pub use proxy::{ProxyConfig, ProxyMode, RunningProxy};
pub use weight_store::{RunningWeightStore, WeightStoreConfig, WeightStoreFaults, WeightStoreService};
