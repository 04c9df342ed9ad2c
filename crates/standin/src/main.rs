//! Command line of the test doubles, load generator and benchmarks.

use std::process::ExitCode;

use bpaf::Bpaf;
use eelgrasspier_standin::{backends, compare, demo, load, platform, slopes};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Test doubles and benchmarks for eelgrasspier
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    #[bpaf(command)]
    /// Serve a simulated platform
    Platform,
    #[bpaf(command)]
    /// Serve simulated backend servers of one service
    Backends(#[bpaf(external(backends::shape))] backends::Shape),
    #[bpaf(command)]
    /// Generate load on instances and report tail latency, coverage and extra load
    Load(#[bpaf(external(load::plan))] load::Plan),
    #[bpaf(command)]
    /// Run and measure a test cluster on this machine
    Demo(#[bpaf(external(demo::plan))] demo::Plan),
    #[bpaf(command)]
    /// Compare replica choice and hedging policies under a fault
    Compare(#[bpaf(external(compare::plan))] compare::Plan),
    #[bpaf(command)]
    /// Measure the scaling figures for docs/CAPACITY.md
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
