//! Communication between instances: gossip datagrams over UDP and framed requests over TCP.

mod gossip;
mod link;
pub mod packed;
mod server;
pub mod wire;

pub use gossip::Gossip;
pub use link::{Links, PeerError};
pub use server::{AnswerFuture, PeerService, serve};
