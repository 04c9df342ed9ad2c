//! Decision logic of the query tier as pure state machines.
//!
//! Time, randomness and events are passed in as arguments; actions are returned as values. Nothing
//! here does I/O, reads a clock or starts a thread, so each decision can be model-checked, tested
//! in virtual time and used unchanged by the daemon.

pub mod admission;
mod apply_result;
pub mod authentication;
pub mod caller_budget;
pub mod changes;
pub mod claim;
pub mod cold_limit;
pub mod config;
pub mod connections;
pub mod customer_limits;
pub mod customers;
pub mod directory;
pub mod draining;
pub mod evacuations;
pub mod excess_delay;
pub mod fingerprint;
pub mod fleet_limit;
pub mod freshness;
pub mod gatherers;
pub mod gossip;
pub mod hedge;
pub mod history;
mod loss_rate;
pub mod lost_sends;
pub mod membership;
pub mod merge;
pub mod mirror;
pub mod pauses;
pub mod piece_buffer;
pub mod prelude;
pub mod pulls;
pub mod quarantine;
pub mod regions;
pub mod relays;
pub mod rendezvous;
pub mod replica;
pub mod replica_stats;
pub mod retry_budget;
pub mod route;
pub mod service_config;
pub mod share;
pub mod slice_peers;
pub mod snapshot;
pub mod stale_entries;
pub mod store_backoff;
pub mod store_contacts;
pub mod text_error;
pub mod token_bucket;
pub mod verdict;
pub mod wait_policy;
pub mod watcher_health;
pub mod watchers;
