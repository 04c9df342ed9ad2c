//! The record of a run.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::time::Instant;

/// Lines with the time since the start of the run.
#[derive(Debug)]
pub struct Record {
    started: Instant,
    lines: Vec<(Instant, String)>,
}

impl Record {
    /// Creates an empty record.
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Vec::new() }
    }

    /// Adds a line for an event that happens now, and prints it.
    pub fn note(&mut self, text: &str) {
        println!("{:8.3} s  {text}", self.started.elapsed().as_secs_f64());
        self.add(Instant::now(), text.to_owned());
    }

    /// Adds a line for an event at a time.
    pub fn add(&mut self, at: Instant, text: String) {
        self.lines.push((at, text));
    }

    /// Returns a time in seconds since the start of the run.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    /// Writes all lines in the order of their times, and the verdict.
    pub fn write(mut self, path: &Path, verdict: &str) -> io::Result<()> {
        self.lines.sort_by_key(|(at, _)| *at);
        let mut file = BufWriter::new(File::create(path)?);
        writeln!(file, "{verdict}\n")?;
        for (at, text) in &self.lines {
            writeln!(file, "{:8.3} s  {text}", self.seconds(*at))?;
        }
        file.flush()
    }
}
