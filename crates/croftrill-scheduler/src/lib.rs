//! The decision logic of the serving system, free of I/O.
//!
//! Every module is a state machine or a pure function: it takes events and the
//! current time and returns decisions. `croftrill-node` carries them out.

pub mod admission;
pub mod answer_times;
pub mod brittle;
pub mod candidacy;
pub mod capacity;
pub mod catalog;
pub mod configuration_exchange;
pub mod connection_slots;
pub mod crash_ledger;
pub mod demand;
pub mod fair_queue;
pub mod fleet_share;
pub mod followed_view;
pub mod full_holders;
pub mod hand_over;
pub mod health;
pub mod interest;
pub mod lease;
pub mod load_ceiling;
pub mod load_concurrency;
pub mod load_summary;
pub mod load_updates;
pub mod memory_account;
pub mod orderer;
pub mod path_search;
pub mod peer_paths;
pub mod placement;
pub mod planner;
pub mod process_limits;
pub mod quota;
pub mod relay_log;
pub mod relay_tree;
pub mod replica;
pub mod replica_estimate;
pub mod replica_ledger;
pub mod replica_paths;
pub mod replica_room;
pub mod replica_table;
pub mod retry_budget;
pub mod routing;
pub mod shard;
pub mod software_versions;
pub mod stored_streams;
pub mod stored_versions;
pub mod tenants;
pub mod time;
pub mod unanswered_orders;
pub mod waiting_requests;
pub mod work;
