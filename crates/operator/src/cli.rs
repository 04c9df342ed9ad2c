//! The commands, their options and what they do.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use eelgrasspier_decide::history::Position;
use eelgrasspier_decide::prelude::Services;

use crate::client::{AdminClient, AdminError};
use crate::messages::{InstanceStatus, SubmitAnswer, Submitted};
use crate::output;

/// Time between two looks at the instances while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Looks before waiting is given up.
const MAX_POLLS: usize = 150;
/// Tries of an edit whose fate is not known.
const MAX_SUBMIT_ATTEMPTS: usize = 5;

/// What to do.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    #[bpaf(command)]
    /// Check an operators' text; every error is reported with its line
    Check {
        /// The text
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    #[bpaf(command)]
    /// Submit an operators' text, edited from the version given
    Submit {
        /// Which instance to ask
        #[bpaf(external)]
        target: Target,
        /// Version that the edit was made from; 0 for the first text
        #[bpaf(long, argument("VERSION"))]
        base: Position,
        /// Who submits, for the record
        #[bpaf(long, argument("NAME"), fallback("operator".to_owned()))]
        submitter: String,
        /// Wait until the text is in force on all instances
        #[bpaf(long, switch)]
        wait: bool,
        /// The text
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    #[bpaf(command)]
    /// Show the text in force; its version goes to standard error
    Show {
        /// Which instance to ask
        #[bpaf(external)]
        target: Target,
    },
    #[bpaf(command)]
    /// Show the state of all instances
    Status {
        /// Which instance to ask
        #[bpaf(external)]
        target: Target,
        /// Print JSON
        #[bpaf(long, switch)]
        json: bool,
    },
    #[bpaf(command)]
    /// Show the events of all instances in one order
    Timeline {
        /// Which instance to ask
        #[bpaf(external)]
        target: Target,
        /// Only events about this request, edit, service or instance
        #[bpaf(long, argument("WHAT"), fallback(String::new()))]
        about: String,
        /// Only events of the last so many seconds
        #[bpaf(long, argument("SECONDS"))]
        last_s: Option<u64>,
        /// Print JSON
        #[bpaf(long, switch)]
        json: bool,
    },
}

/// The instance to talk to.
#[derive(Debug, Clone, Bpaf)]
pub struct Target {
    /// Address of any instance
    #[bpaf(long, argument("URL"), env("EELGRASSPIER_INSTANCE"), fallback("http://127.0.0.1:8080".to_owned()))]
    instance: String,
    /// Token that allows edits
    #[bpaf(long, argument("TOKEN"), env("EELGRASSPIER_TOKEN"))]
    token: Option<String>,
}

impl Target {
    fn client(&self) -> AdminClient {
        AdminClient::new(&self.instance, self.token.as_deref())
    }
}

/// The command line's parser.
#[must_use]
pub fn options() -> bpaf::OptionParser<Command> {
    command()
}

/// Carries out a command; its failure is the exit code.
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
    let base = base.to_number();
    let edit = Submitted { edit_id, base, submitter: submitter.to_owned(), text };
    println!("edit {edit_id}");
    let client = target.client();
    match submit_until_known(&client, &edit).await {
        Ok(SubmitAnswer::Accepted { version }) => {
            println!("accepted as version {}", Position::from_number(version));
            if wait { wait_in_force(&client, version).await } else { Ok(()) }
        }
        Ok(SubmitAnswer::Superseded { version }) => {
            println!("accepted, and superseded by version {}", Position::from_number(version));
            Ok(())
        }
        Ok(SubmitAnswer::Conflict { version }) => {
            let now = Position::from_number(version);
            Err(format!("not accepted: the text is at version {now} now; edit from that one"))
        }
        Ok(SubmitAnswer::Broken { errors }) => Err(errors),
        Ok(SubmitAnswer::Forbidden) => Err("not allowed: token missing or wrong".to_owned()),
        Ok(SubmitAnswer::Unknown { reason }) => Err(format!("not confirmed: {reason}")),
        Err(error) => Err(error.to_string()),
    }
}

/// Submits the same edit until its fate is known, or tries run out.
async fn submit_until_known(
    client: &AdminClient,
    edit: &Submitted,
) -> Result<SubmitAnswer, AdminError> {
    let mut last = client.submit(edit).await;
    for _ in 1..MAX_SUBMIT_ATTEMPTS {
        if !matches!(last, Ok(SubmitAnswer::Unknown { .. }) | Err(AdminError::Unreachable(_))) {
            break;
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
        last = client.submit(edit).await;
    }
    last
}

/// A random id, from the random half of a UUID.
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
    let version = Position::from_number(version);
    Err(format!("version {version} is not in force on all instances yet"))
}

async fn show(target: &Target) -> Result<(), String> {
    let shown = target.client().text().await.map_err(|e| e.to_string())?;
    eprintln!("version {}", Position::from_number(shown.version));
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
