//! Stand-ins and scripts of the review: each subcommand plays one case and checks one rule.

mod clients;
mod cold;
mod edge;
mod http;
mod quota;
mod record;
mod replica;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// How a case ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// What every case gets: whether to cause the disruption, and where to write.
pub struct Setting {
    pub has_trouble: bool,
    pub record_path: String,
    pub folder: PathBuf,
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(0))
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(record_path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standins-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let folder = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        return ExitCode::from(2);
    }
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let setting = Setting { has_trouble, record_path, folder: folder.clone() };
    let verdict = match case.as_str() {
        "quota" => quota::play(&setting),
        "cold" => cold::play(&setting),
        _ => Verdict::NotRun,
    };
    if std::env::var("KEEP").is_err() {
        drop(std::fs::remove_dir_all(folder));
    }
    println!("{verdict:?}");
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::NotRun => ExitCode::from(2),
    }
}
