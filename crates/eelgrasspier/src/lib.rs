//! Library of the query tier: connects callers, backend servers, the platform and peers.
//!
//! The control thread maintains membership, configuration, connection shares and claims, and
//! publishes immutable views. Traffic threads serve callers from the latest view. They wait for the
//! control thread only to claim the key of a run, and for requests of the administration API.

pub mod clock;
mod control;
mod crash_tracker;
mod daemon;
pub mod event;
mod exchange;
mod forward;
mod gather;
mod part;
mod quarantine;
mod query;
mod replica;
mod run;
mod service;
mod settings;
mod shared;
pub mod timeline;
mod traffic;
mod view;
mod web;
mod worker;

pub use daemon::{StartError, run};
pub use settings::{Policy, Settings, SettingsError};
