//! Stand-ins from the command line.

use std::process::ExitCode;

use bpaf::Bpaf;
use eelgrasspier_standin::{backends, compare, demo, load, platform, slopes};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// What to stand in for.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    #[bpaf(command)]
    /// Stand in for the platform's object API
    Platform,
    #[bpaf(command)]
    /// Stand in for all backend servers of one service
    Backends(#[bpaf(external(backends::shape))] backends::Shape),
    #[bpaf(command)]
    /// Drive load at instances and print the three measures
    Load(#[bpaf(external(load::plan))] load::Plan),
    #[bpaf(command)]
    /// Run a whole deployment on this machine and measure it
    Demo(#[bpaf(external(demo::plan))] demo::Plan),
    #[bpaf(command)]
    /// Compare ways of the policy under a fault
    Compare(#[bpaf(external(compare::plan))] compare::Plan),
    #[bpaf(command)]
    /// Measure the slopes behind docs/CAPACITY.md
    Slopes(#[bpaf(external(slopes::plan))] slopes::Plan),
}

fn main() -> ExitCode {
    let command = command().run();
    let result = actix_rt::System::new().block_on(async {
        match command {
            Command::Platform => platform::serve().await.map_err(|e| e.to_string()),
            Command::Backends(shape) => backends::serve(shape).await.map_err(|e| e.to_string()),
            Command::Load(plan) => load::run_and_print(&plan).await,
            Command::Demo(plan) => demo::run(&plan).await,
            Command::Compare(plan) => compare::run(&plan).await,
            Command::Slopes(plan) => slopes::run(&plan),
        }
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}
