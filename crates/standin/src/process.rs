//! Child processes that are killed when their owner is dropped.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use serde_json::Value;

/// Child process that has printed its startup line; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// JSON object that the process printed at startup.
    pub startup_info: Value,
}

impl Process {
    /// Starts a program of this workspace and waits for its startup line of JSON.
    ///
    /// # Errors
    /// Fails if the program can't be started or does not print JSON.
    pub fn start(program: &str, args: &[String]) -> Result<Self, String> {
        let path = find_program(program)?;
        let mut child = Command::new(&path)
            .args(args)
            .env("RUST_LOG", std::env::var("RUST_LOG").unwrap_or_else(|_| "error".to_owned()))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| format!("{}: {e}", path.display()))?;
        let stdout = child.stdout.take().ok_or("standard output of the child is not captured")?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).map_err(|e| e.to_string())?;
        let startup_info =
            serde_json::from_str(&line).map_err(|e| format!("{program}: {line:?}: {e}"));
        if startup_info.is_err() {
            drop(child.kill());
            drop(child.wait());
        }
        Ok(Self { child, startup_info: startup_info? })
    }

    /// Returns a string field of the startup line, or an empty string.
    #[must_use]
    pub fn startup_field(&self, name: &str) -> String {
        self.startup_info[name].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal such as `STOP` with the `kill` command.
    pub fn signal(&self, name: &str) {
        let mut kill = Command::new("kill");
        drop(kill.arg(format!("-{name}")).arg(self.id().to_string()).status());
    }

    /// Kills the process and waits for it to exit.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Returns true if the process has exited.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Returns CPU time used in milliseconds and resident memory in kilobytes.
    #[must_use]
    pub fn usage(&self) -> (u64, u64) {
        const CLOCK_TICK_MS: u64 = 10;
        const PAGE_KB: u64 = 4;
        const UTIME_FIELD: usize = 10;
        const STIME_FIELD: usize = 11;
        let read = |file: &str| {
            std::fs::read_to_string(format!("/proc/{}/{file}", self.id())).unwrap_or_default()
        };
        let stat = read("stat");
        // Fields are counted after the process name, which may contain spaces.
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<u64> =
            after_name.split_whitespace().skip(1).map(|f| f.parse().unwrap_or(0)).collect();
        let ticks = fields.get(UTIME_FIELD).unwrap_or(&0) + fields.get(STIME_FIELD).unwrap_or(&0);
        let statm = read("statm");
        let pages: u64 = statm.split_whitespace().nth(1).and_then(|p| p.parse().ok()).unwrap_or(0);
        (ticks * CLOCK_TICK_MS, pages * PAGE_KB)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Finds a program in the directory of the current one or, for tests, in its parent.
///
/// # Errors
/// Fails if the program is not built.
pub fn find_program(program: &str) -> Result<PathBuf, String> {
    let exe = std::env::current_exe().map_err(|e| e.to_string())?;
    let dirs = exe.ancestors().skip(1).take(2);
    let paths: Vec<PathBuf> = dirs.map(|dir: &Path| dir.join(program)).collect();
    let found = paths.iter().find(|path| path.is_file());
    found.cloned().ok_or_else(|| format!("{program} not found; run `cargo build --workspace`"))
}
