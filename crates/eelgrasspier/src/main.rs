//! The daemon of one instance.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use eelgrasspier::{Settings, run};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Serves queries and runs of callers from the backend servers of the configured services
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Settings file of this instance (INI)
    #[bpaf(positional("SETTINGS"))]
    settings: PathBuf,
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let options = options().run();
    let settings = match Settings::try_from(options.settings.as_path()) {
        Ok(settings) => settings,
        Err(error) => return fail(&error),
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    log::error!("{error}");
    ExitCode::FAILURE
}
