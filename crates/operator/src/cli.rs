//! Commands of the command line tool and their options.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use eelgrasspier_decide::history::Position;
use eelgrasspier_decide::prelude::Services;

use crate::client::{AdminClient, AdminError};
use crate::messages::{InstanceStatus, SubmitRequest, SubmitResponse};
use crate::output;

/// Time between polls of the instances or retries of an edit.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of polls before waiting is given up.
const MAX_POLLS: usize = 150;
/// Maximum number of attempts to submit an edit whose outcome is unknown.
const MAX_SUBMIT_ATTEMPTS: usize = 5;

/// Checks, submits and shows the operators' text, and shows status and events of all instances
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    #[bpaf(command)]
    /// Check an operators' text and report every error with its line
    Check {
        /// File with the operators' text
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    #[bpaf(command)]
    /// Submit an operators' text, edited from the version given
    Submit {
        /// Instance to send the request to
        #[bpaf(external)]
        target: Target,
        /// Version the edit is based on; 0 for the first text
        #[bpaf(long, argument("VERSION"))]
        base: Position,
        /// Name of the submitter, recorded with the edit
        #[bpaf(long, argument("NAME"), fallback("operator".to_owned()))]
        submitter: String,
        /// Wait until the text is in force on all instances
        #[bpaf(long, switch)]
        wait: bool,
        /// File with the operators' text
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    #[bpaf(command)]
    /// Show the text in force; its version is printed to standard error
    Show {
        /// Instance to send the request to
        #[bpaf(external)]
        target: Target,
    },
    #[bpaf(command)]
    /// Show the state of all instances
    Status {
        /// Instance to send the request to
        #[bpaf(external)]
        target: Target,
        /// Print as JSON
        #[bpaf(long, switch)]
        json: bool,
    },
    #[bpaf(command)]
    /// Show the events of all instances in chronological order
    Timeline {
        /// Instance to send the request to
        #[bpaf(external)]
        target: Target,
        /// Only events about this request, edit, service or instance
        #[bpaf(long, argument("WHAT"), fallback(String::new()))]
        about: String,
        /// Only events of the last SECONDS seconds
        #[bpaf(long, argument("SECONDS"))]
        last_s: Option<u64>,
        /// Print as JSON
        #[bpaf(long, switch)]
        json: bool,
    },
}

/// Instance to send requests to
#[derive(Debug, Clone, Bpaf)]
pub struct Target {
    /// URL of any instance
    #[bpaf(long, argument("URL"), env("EELGRASSPIER_INSTANCE"), fallback("http://127.0.0.1:8080".to_owned()))]
    instance: String,
    /// Token that authorizes edits
    #[bpaf(long, argument("TOKEN"), env("EELGRASSPIER_TOKEN"))]
    token: Option<String>,
}

impl Target {
    fn client(&self) -> AdminClient {
        AdminClient::new(&self.instance, self.token.as_deref())
    }
}

/// Returns the parser of the command line.
#[must_use]
pub fn options() -> bpaf::OptionParser<Command> {
    command()
}

/// Executes a command and returns its exit code; errors are printed to standard error.
pub async fn run(command: &Command) -> ExitCode {
    let result = match command {
        Command::Check { file } => check(file),
        Command::Submit { target, base, submitter, wait, file } => {
            submit(target, *base, submitter, *wait, file).await
        }
        Command::Show { target } => show(target).await,
        Command::Status { target, json } => status(target, *json).await,
        Command::Timeline { target, about, last_s, json } => {
            timeline(target, about, *last_s, *json).await
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn read_file(file: &Path) -> Result<String, String> {
    std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))
}

fn check(file: &Path) -> Result<(), String> {
    let text = read_file(file)?;
    let services = Services::try_from(text.as_str())
        .map_err(|errors| format!("{}:\n{errors}", file.display()))?;
    println!("{}: {} services, no errors", file.display(), services.by_name.len());
    Ok(())
}

async fn submit(
    target: &Target,
    base: Position,
    submitter: &str,
    wait: bool,
    file: &Path,
) -> Result<(), String> {
    check(file)?;
    let edit_id = new_edit_id();
    let text = read_file(file)?;
    let base = base.to_packed();
    let edit = SubmitRequest { edit_id, base, submitter: submitter.to_owned(), text };
    println!("edit {edit_id}");
    let client = target.client();
    match submit_until_known(&client, &edit).await {
        Ok(SubmitResponse::Accepted { version }) => {
            println!("accepted as version {}", Position::from_packed(version));
            if wait { wait_in_force(&client, version).await } else { Ok(()) }
        }
        Ok(SubmitResponse::Superseded { version }) => {
            println!("accepted, and superseded by version {}", Position::from_packed(version));
            Ok(())
        }
        Ok(SubmitResponse::Conflict { version }) => {
            let now = Position::from_packed(version);
            Err(format!(
                "edit rejected: the text is at version {now} now; base the edit on that version"
            ))
        }
        Ok(SubmitResponse::Broken { errors }) => Err(errors),
        Ok(SubmitResponse::Forbidden) => {
            Err("not authorized: token is missing or wrong".to_owned())
        }
        Ok(SubmitResponse::Unknown { reason }) => Err(format!("edit not confirmed: {reason}")),
        Err(error) => Err(error.to_string()),
    }
}

/// Submits the same edit until its outcome is known or the attempts are exhausted.
async fn submit_until_known(
    client: &AdminClient,
    edit: &SubmitRequest,
) -> Result<SubmitResponse, AdminError> {
    let mut last = client.submit(edit).await;
    for _ in 1..MAX_SUBMIT_ATTEMPTS {
        if !matches!(last, Ok(SubmitResponse::Unknown { .. }) | Err(AdminError::Unreachable(_))) {
            break;
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
        last = client.submit(edit).await;
    }
    last
}

/// Returns a random id, taken from the random half of a UUID.
fn new_edit_id() -> u64 {
    uuid::Uuid::now_v7().as_u64_pair().1
}

async fn wait_in_force(client: &AdminClient, version: u64) -> Result<(), String> {
    let is_in_force = |s: &&InstanceStatus| s.config_version >= Some(version);
    for _ in 0..MAX_POLLS {
        let all = client.status().await.map_err(|e| e.to_string())?;
        let count = all.iter().filter(is_in_force).count();
        if count == all.len() {
            println!("in force on {count} of {} instances", all.len());
            return Ok(());
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    let version = Position::from_packed(version);
    Err(format!("timed out: version {version} is not in force on all instances yet"))
}

async fn show(target: &Target) -> Result<(), String> {
    let shown = target.client().text().await.map_err(|e| e.to_string())?;
    eprintln!("version {}", Position::from_packed(shown.version));
    print!("{}", shown.text);
    Ok(())
}

async fn status(target: &Target, json: bool) -> Result<(), String> {
    let all = target.client().status().await.map_err(|e| e.to_string())?;
    if json {
        return output::print_json(&all);
    }
    print!("{}", output::status_table(&all));
    Ok(())
}

async fn timeline(
    target: &Target,
    about: &str,
    last_s: Option<u64>,
    json: bool,
) -> Result<(), String> {
    let from_stamp = last_s.map_or(0, output::stamp_before);
    let entries = target.client().timeline(about, from_stamp).await.map_err(|e| e.to_string())?;
    if json {
        return output::print_json(&entries);
    }
    print!("{}", output::timeline_table(&entries));
    Ok(())
}
