//! Errors in the operators' configuration text, with line numbers.

use std::net::SocketAddr;

use displaydoc::Display;

/// Error in a line of the text.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum ProblemKind {
    /// invalid INI syntax: {0}
    Syntax(String),
    /// the text has {size_bytes} bytes, which is more than the platform can store
    TooLong {
        /// Size of the text in bytes.
        size_bytes: usize,
    },
    /// the text lists no service
    NoService,
    /// service {0} is listed twice
    DuplicateService(String),
    /// {0} is set twice
    DuplicateKey(String),
    /// {0} is not a setting of a service
    UnknownKey(String),
    /// {0} is outside of any service section
    OutsideSection(String),
    /// {0} is not a name of lower-case letters, digits and hyphens
    BadName(String),
    /// {key} = {value}: expected {expected}
    BadValue {
        /// Name of the setting.
        key: String,
        /// Value in the text.
        value: String,
        /// Description of valid values.
        expected: &'static str,
    },
    /// service {0} has no shard.0
    NoShard(String),
    /// shard {0} is missing though later ones are listed
    MissingShard(u32),
    /// replica {0} is listed twice
    DuplicateReplica(SocketAddr),
    /// unknown dependency {0}
    UnknownDependency(String),
    /// the dependencies form a cycle: {0}
    Cycle(String),
    /// deadline_ms is above max_deadline_ms
    DeadlineAboveMaximum,
}

/// Error in the text with its line.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
#[displaydoc("line {line}: {problem}")]
pub struct TextError {
    /// Line number, counted from 1.
    pub line: usize,
    /// Kind of error.
    pub problem: ProblemKind,
}

/// All errors of a text, in order of lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TextErrors(pub Vec<TextError>);

impl std::fmt::Display for TextErrors {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for TextErrors {}

/// Finds the line of a section or key, since the INI library does not record line numbers.
#[derive(Debug)]
pub(crate) struct Lines<'a> {
    pub(crate) lines: Vec<&'a str>,
}

impl<'a> Lines<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        Self { lines: text.lines().map(str::trim).collect() }
    }

    pub(crate) fn section(&self, name: &str, nth: usize) -> usize {
        let header = |line: &&str| {
            line.strip_prefix('[').and_then(|l| l.split(']').next()).map(str::trim) == Some(name)
        };
        let mut found = self.lines.iter().enumerate().filter(|(_, l)| header(l));
        found.nth(nth).map_or(1, |(i, _)| i + 1)
    }

    /// Returns the line of the `nth` setting of `key` after line `section`.
    pub(crate) fn key(&self, section: usize, key: &str, nth: usize) -> usize {
        let body = self.lines.iter().enumerate().skip(section);
        // The library lets a key span several lines up to its equals sign.
        let key = first_line(key);
        let mut found = body
            .take_while(|(_, l)| !l.starts_with('['))
            .filter(|(_, l)| l.split(['=', ':']).next().map(str::trim) == Some(key));
        found.nth(nth).map_or(section.max(1), |(i, _)| i + 1)
    }
}

/// Returns the first line of a key, since the library lets a key span several lines.
pub(crate) fn first_line(text: &str) -> &str {
    text.lines().next().unwrap_or_default().trim()
}
