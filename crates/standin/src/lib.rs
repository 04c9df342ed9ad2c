//! Test doubles for the services around the daemon, for tests, benchmarks and the demo.
//!
//! Provides a minimal platform, backend servers, a load generator, and a test cluster of
//! processes on loopback. The daemon itself does not depend on this crate.

pub mod backends;
pub mod cluster;
pub mod compare;
pub mod crowd;
pub mod demo;
pub mod gossip_net;
pub mod load;
pub mod platform;
pub mod ports;
pub mod process;
pub mod report;
pub mod slopes;
