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
    Backends(#[bpaf(external(backends::backend_options))] backends::BackendOptions),
    #[bpaf(command)]
    /// Generate load on instances and report tail latency, coverage and extra load
    Load(#[bpaf(external(load::options))] load::Options),
    #[bpaf(command)]
    /// Run and measure a test cluster on this machine
    Demo(#[bpaf(external(demo::options))] demo::Options),
    #[bpaf(command)]
    /// Compare replica choice and hedging policies under a fault
    Compare(#[bpaf(external(compare::options))] compare::Options),
    #[bpaf(command)]
    /// Measure the scaling figures for docs/CAPACITY.md
    Slopes(#[bpaf(external(slopes::options))] slopes::Options),
}

fn main() -> ExitCode {
    let command = command().run();
    let result = actix_rt::System::new().block_on(async {
        match command {
            Command::Platform => platform::serve().await.map_err(|e| e.to_string()),
            Command::Backends(options) => backends::serve(options).await.map_err(|e| e.to_string()),
            Command::Load(options) => load::run_and_print(&options).await,
            Command::Demo(options) => demo::run(&options).await,
            Command::Compare(options) => compare::run(&options).await,
            Command::Slopes(options) => slopes::run(&options),
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
