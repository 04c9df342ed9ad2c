//! Selects the shards that one request is sent to, or refuses the request.
//!
//! A request to many shards is answered in time if nearly all of them answer in time. If some
//! shards are overloaded, a request sent to all of them waits for the fullest, and the work of the
//! others is wasted. So each request leaves out the shards that would be late, as far as its
//! coverage permits; if more shards would be late, it is refused before anything runs.

/// Part of the remaining time within which a shard must be expected to answer, in percent.
///
/// The expected latency is a mean: the work of one part varies by a third, that of a queue of seven
/// by an eighth, and pauses of a replica add to both. Below 60, requests are refused that could be
/// served; above 85, more of the admitted requests fail; in between the difference is small.
pub(super) const MAX_EXPECTED_LATENCY_PERCENT: f64 = 70.0;

/// Decision on a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Plan {
    /// The request is sent.
    Send {
        /// Positions of the shards that it is not sent to.
        left_out: Vec<usize>,
    },
    /// The request is refused, because more shards would be late than may be left out.
    Refuse {
        /// Number of shards that would be late.
        late_count: usize,
        /// Time after which a retry may succeed, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Decides on a request whose shards are expected to answer after `answer_ms`.
///
/// Up to `may_miss` of them may be left out, and `left_ms` is the time until the answer is late.
/// `jitter`, between 0 and 1, spreads the retries of requests that are refused at the same time.
#[must_use]
pub fn plan(answer_ms: &[f64], may_miss: usize, left_ms: f64, jitter: f64) -> Plan {
    plan_group(answer_ms, may_miss, may_miss, left_ms, jitter)
}

/// Decides like [`plan`] for a group of shards of which up to `may_leave_out` may be left out.
///
/// `may_miss` still applies to the whole request: if more shards of this group alone are late, the
/// request cannot be served. Otherwise the least late shards are tried.
#[must_use]
pub fn plan_group(
    answer_ms: &[f64],
    may_miss: usize,
    may_leave_out: usize,
    left_ms: f64,
    jitter: f64,
) -> Plan {
    let max_expected_ms = left_ms * MAX_EXPECTED_LATENCY_PERCENT / 100.0;
    let limits = Limits { may_miss, may_leave_out, max_expected_ms, left_ms };
    plan_within(answer_ms, &limits, jitter)
}

/// Limits of one request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limits {
    /// Number of shards that the whole request may miss.
    pub(super) may_miss: usize,
    /// Number of them that may be left out here.
    pub(super) may_leave_out: usize,
    /// Time within which a shard must be expected to answer, in milliseconds.
    pub(super) max_expected_ms: f64,
    /// Time over which retries of refused requests are spread, in milliseconds.
    pub(super) left_ms: f64,
}

/// Decides like [`plan_group`] with the given limits.
pub(super) fn plan_within(answer_ms: &[f64], limits: &Limits, jitter: f64) -> Plan {
    let Limits { may_miss, may_leave_out, max_expected_ms, left_ms } = *limits;
    let mut late: Vec<usize> =
        (0..answer_ms.len()).filter(|&i| answer_ms[i] > max_expected_ms).collect();
    late.sort_by(|&a, &b| answer_ms[b].total_cmp(&answer_ms[a]));
    if late.len() <= may_miss {
        late.truncate(may_leave_out);
        late.sort_unstable();
        return Plan::Send { left_out: late };
    }
    // By then, the queues of all shards that may not be left out must have become short enough.
    let excess_ms = answer_ms[late[may_miss]] - max_expected_ms;
    let retry_after_ms = retry_after_ms(excess_ms, left_ms, jitter);
    Plan::Refuse { late_count: late.len(), retry_after_ms }
}

/// Divides the number of shards that may be missed between groups, in proportion to their sizes.
///
/// Each instance that is asked for a group leaves out late shards independently. When each had the
/// whole allowance, eight of them left out six shards of an answer that may miss four, and the work
/// of all others was lost.
#[must_use]
pub fn divide_allowed_misses(may_miss: usize, sizes: &[usize]) -> Vec<usize> {
    let total = sizes.iter().sum::<usize>().max(1);
    let mut shares: Vec<usize> = sizes.iter().map(|size| may_miss * size / total).collect();
    let mut by_remainder: Vec<usize> = (0..sizes.len()).collect();
    by_remainder.sort_by_key(|&i| std::cmp::Reverse(may_miss * sizes[i] % total));
    let remainder = may_miss - shares.iter().sum::<usize>();
    for &i in by_remainder.iter().take(remainder) {
        shares[i] += 1;
    }
    shares
}

/// Returns the time until the queues are shorter by `excess_ms`, plus a random delay.
///
/// The delay is at most the remaining time of the request and keeps retries from arriving together.
fn retry_after_ms(excess_ms: f64, left_ms: f64, jitter: f64) -> u64 {
    let wait = std::time::Duration::try_from_secs_f64((excess_ms + left_ms * jitter) / 1000.0);
    wait.map_or(0, |wait| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX))
}
