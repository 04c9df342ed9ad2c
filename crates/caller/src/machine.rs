//! Limits that the operating system sets for this process.

/// Returns the number of descriptors that this process may open; `None` if there is no limit or it
/// can't be read.
#[must_use]
pub fn max_open_descriptors() -> Option<u64> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Returns the memory of the machine, or of the control group of this process if that is less, in
/// bytes; `None` if it can't be read.
#[must_use]
pub fn memory_bytes() -> Option<u64> {
    const KB: u64 = 1024;
    let information = std::fs::read_to_string("/proc/meminfo").ok()?;
    let total = information.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let total_kb: u64 = total.trim().trim_end_matches(" kB").parse().ok()?;
    // Contains "max" if there is no limit.
    let group = std::fs::read_to_string("/sys/fs/cgroup/memory.max").unwrap_or_default();
    let group_bytes: Option<u64> = group.trim().parse().ok();
    Some(group_bytes.map_or(total_kb * KB, |bytes| bytes.min(total_kb * KB)))
}
