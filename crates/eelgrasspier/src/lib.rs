//! The query tier's library: joins callers, backend servers, platform and peers.
//!
//! One control thread keeps membership, configuration, shares and claims, and
//! publishes immutable views; traffic threads serve callers from the latest view
//! and never wait for control, but for the claim of a request that must run once.

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

pub use daemon::{StartError, run};
pub use settings::{Policy, Settings, SettingsError};
