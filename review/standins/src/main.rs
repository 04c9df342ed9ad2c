//! Stand-ins for the platform, replicas and callers, and the cases that use them.
//!
//! Usage: `review-standins CASE FOLDER TEMPORARY`, from the root of the repository. The exit status
//! is 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.

mod callers;
mod deployment;
mod http;
mod lost_watchers;
mod machines;
mod moved_store;
mod record;
mod replicas;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, temporary] = arguments.as_slice() else {
        eprintln!("usage: review-standins CASE FOLDER TEMPORARY");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (folder, temporary) = (PathBuf::from(folder), PathBuf::from(temporary));
    let result = match case.as_str() {
        "lost-watchers" => lost_watchers::run(&folder, &temporary, has_trouble),
        "moved-store" => moved_store::run(&folder, &temporary, has_trouble),
        other => Err(std::io::Error::other(format!("unknown case {other}"))),
    };
    match result {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
