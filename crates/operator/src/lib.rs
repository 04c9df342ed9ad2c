//! The administration API: message types, client and command line tool.

mod cli;
mod client;
mod messages;
mod output;

pub use cli::{Command, options, run};
pub use client::{AdminClient, AdminError};
pub use messages::{
    InstanceStatus, SubmitRequest, SubmitResponse, TextResponse, TimelineEntry, tokens_match,
};
