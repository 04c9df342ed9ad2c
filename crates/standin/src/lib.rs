//! Stand-ins for what surrounds the daemons, for tests, measurements and the demo.
//!
//! Small on purpose: a platform, backend servers, a load driver, and a fleet of
//! processes on loopback. Nothing here is part of the daemon.

pub mod backends;
pub mod compare;
pub mod demo;
pub mod fleet;
pub mod gossip_net;
pub mod load;
pub mod platform;
pub mod process;
pub mod report;
pub mod slopes;
