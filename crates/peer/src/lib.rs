//! Communication between instances: gossip datagrams over UDP and framed requests over TCP.

mod client;
pub mod compression;
mod gossip;
mod server;
pub mod wire;

pub use client::{PeerConnections, PeerError};
pub use gossip::GossipSender;
pub use server::{AnswerFuture, PeerService, serve};
