//! Decision logic of the query tier as pure state machines.
//!
//! Time, randomness and events are passed in as arguments; actions are returned as values. Nothing
//! here does I/O, reads a clock or starts a thread, so each decision can be model-checked, tested
//! in virtual time and used unchanged by the daemon.

pub mod admission;
pub mod allowance;
mod applied;
pub mod budget;
pub mod changes;
pub mod claim;
pub mod cold;
pub mod config;
pub mod connections;
pub mod contacts;
pub mod directory;
pub mod evacuations;
pub mod fingerprint;
pub mod gatherers;
pub mod gossip;
pub mod hedge;
pub mod history;
pub mod holders;
pub mod homes;
pub mod leaving;
pub mod losses;
pub mod membership;
pub mod merge;
pub mod mirror;
pub mod outage;
pub mod patience;
pub mod prelude;
pub mod problem;
pub mod pulls;
pub mod quarantine;
pub mod relays;
pub mod rendezvous;
pub mod replica;
pub mod roster;
pub mod route;
pub mod share;
pub mod snapshot;
pub mod standing;
pub mod text;
pub mod transit;
pub mod verdict;
pub mod watchers;
