//! The administration API and its command line: types, client and commands.

mod cli;
mod client;
mod messages;
mod output;

pub use cli::{Command, options, run};
pub use client::{AdminClient, AdminError};
pub use messages::{
    InstanceStatus, ShownText, SubmitAnswer, Submitted, TimelineEntry, is_same_token,
};
