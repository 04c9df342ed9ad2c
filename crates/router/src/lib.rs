//! Serves callers' requests by the routes of the operators' configuration.
//!
//! One control thread follows the store and the other instances and publishes immutable views; the
//! traffic thread routes by the latest one. A request goes to one replica, or to one replica of
//! each shard. Both use the same scatter-gather code, with one shard or many.

mod backend;
mod cold;
mod connections;
mod control;
mod daemon;
pub mod events;
mod gather;
mod losses;
mod model;
mod outcome;
mod output;
mod peers;
mod relay;
mod reload;
mod route_state;
mod router;
mod setup;
mod suspects;
mod told;
mod view;
mod zone_bytes;

pub use backend::{Attempt, Backend, BackendFuture, Reply};
pub use daemon::{Adapters, RunError, run};
pub use model::{Learnt, Merged, Outcome, Request};
pub use output::{finish_log, log_to_stdout};
pub use reload::SettingsFile;
pub use router::Router;
pub use setup::Setup;
pub use view::{Peer, Replicas, Shared, View};
