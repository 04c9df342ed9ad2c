//! Table and JSON output for the terminal.

use std::time::{SystemTime, UNIX_EPOCH};

use eelgrasspier_decide::history::Position;
use serde::Serialize;

use crate::messages::{InstanceStatus, TimelineEntry};

/// Number of low bits of a stamp that order events within one millisecond.
const STAMP_COUNTER_BITS: u32 = 16;
/// Width of a table column in characters.
const COLUMN_WIDTH: usize = 14;
/// Milliseconds per day.
const DAY_MS: u64 = 24 * 60 * 60 * 1000;

/// Prints a value as indented JSON.
pub(crate) fn print_json<T: Serialize>(value: &T) -> Result<(), String> {
    let text = serde_json::to_string_pretty(value).map_err(|e| e.to_string())?;
    println!("{text}");
    Ok(())
}

/// Returns the stamp of the time `seconds` ago.
pub(crate) fn stamp_before(seconds: u64) -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let now_ms = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
    now_ms.saturating_sub(seconds * 1000) << STAMP_COUNTER_BITS
}

/// Formats a table of instances.
pub(crate) fn status_table(all: &[InstanceStatus]) -> String {
    let mut table = String::new();
    let header = ["instance", "zone", "state", "text", "members", "holders", "agreed", "leaving"];
    push_row(&mut table, &header.map(str::to_owned));
    for s in all {
        let version = s
            .config_version
            .map_or_else(|| "-".to_owned(), |v| Position::from_packed(v).to_string());
        let agreed = if s.is_share_agreed { "yes" } else { "no" };
        push_row(
            &mut table,
            &[
                s.name.clone(),
                s.zone.clone(),
                s.state.clone(),
                version,
                s.members.to_string(),
                s.holders.to_string(),
                agreed.to_owned(),
                s.leaving_servers.to_string(),
            ],
        );
    }
    table
}

/// Formats a table of events, in the given order.
pub(crate) fn timeline_table(entries: &[TimelineEntry]) -> String {
    let mut table = String::new();
    for e in entries {
        let line = format!("E{} {}: {} {}", e.number, e.title, e.about, e.detail);
        let line = format!("{} {:<12} {}\n", format_time(e.stamp), e.instance, line.trim_end());
        table.push_str(&line);
    }
    table
}

/// Formats a stamp as UTC time of day with the counter that orders events within a millisecond.
fn format_time(stamp: u64) -> String {
    let ms = (stamp >> STAMP_COUNTER_BITS) % DAY_MS;
    let counter = stamp & ((1 << STAMP_COUNTER_BITS) - 1);
    let (s, ms) = (ms / 1000, ms % 1000);
    format!("{:02}:{:02}:{:02}.{ms:03}+{counter}", s / 3600, s / 60 % 60, s % 60)
}

fn push_row(table: &mut String, cells: &[String]) {
    for cell in cells {
        table.push_str(cell);
        table.extend(std::iter::repeat_n(' ', COLUMN_WIDTH.saturating_sub(cell.len()).max(1)));
    }
    let end = table.trim_end().len();
    table.truncate(end);
    table.push('\n');
}
