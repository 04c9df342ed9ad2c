//! Limits that the operating system sets for this process.

/// Returns the number of descriptors that this process may open; `None` if there is no limit or it
/// can't be read.
#[must_use]
pub fn max_open_descriptors() -> Option<u64> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
