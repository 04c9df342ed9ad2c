//! Communication between instances: gossip datagrams over UDP and framed requests over TCP.

mod client;
mod gossip;
pub mod packed;
mod server;
pub mod wire;

pub use client::{Links, PeerError};
pub use gossip::Gossip;
pub use server::{AnswerFuture, PeerService, serve};
