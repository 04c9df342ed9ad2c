//! Command line tool for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    let command = eelgrasspier_operator::options().run();
    actix_rt::System::new().block_on(eelgrasspier_operator::run(&command))
}
