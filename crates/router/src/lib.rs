//! Serves callers' requests by the routes of the operators' configuration.
//!
//! One control thread follows the store and the other instances and publishes immutable views; the
//! traffic thread routes by the latest one. A request goes to one replica, or to one replica of
//! each shard. Both use the same scatter-gather code, with one shard or many.

mod authentication;
mod backend;
mod cold_limiter;
mod control;
mod crash_detection;
mod customer_limiter;
mod daemon;
pub mod events;
mod gather;
mod load_reports;
mod log_budget;
mod log_output;
mod model;
mod outcome;
mod peer_requests;
mod preconnect;
mod quarantine_state;
mod relay;
mod reload;
mod retry_pool;
mod route_state;
mod router;
mod settings;
mod traffic_metrics;
mod view;

pub use backend::{Attempt, Backend, BackendFuture, Reply};
pub use daemon::{Adapters, RunError, run};
pub use log_budget::LogBudget;
pub use log_output::{flush_log, init_stdout_log};
pub use model::{Credential, Merged, Outcome, Request, RequestProgress};
pub use reload::SettingsFile;
pub use router::Router;
pub use settings::InstanceSettings;
pub use view::{Peer, ReplicasByService, SharedState, View};
