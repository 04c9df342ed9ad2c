//! Which shards of one request are asked, and whether it is begun at all.
//!
//! A request to many shards is answered in time if nearly all of them are. Where some shards
//! are over full, a request that is sent to all of them waits for the fullest, and then all
//! others have worked for nothing. So each request leaves out those that would be late, as far
//! as its answer may; where more would be, it is refused before anything runs.

/// Part of the time left within which a shard must be expected to answer, in hundredths.
///
/// What is expected is a mean: the work of one part varies by a third, that of a queue of seven
/// by an eighth, and a replica that pauses adds to both. Below 60 requests are refused that
/// could be served, above 85 more of those that are begun fail; between them little changes.
const FIT_PERCENT: f64 = 70.0;

/// What becomes of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Plan {
    /// It is begun.
    Begin {
        /// Positions of the shards that are not asked.
        left_out: Vec<usize>,
    },
    /// It is refused: more shards would be late than may be left out.
    Refuse {
        /// Shards that would be late.
        late: usize,
        /// When a new try is worth it, in milliseconds.
        retry_after_ms: u64,
    },
}

/// What becomes of a request whose shards are expected to answer after `answer_ms`.
///
/// `may_miss` of them may be left out and `left_ms` is the time until its answer is late.
/// `draw`, between 0 and 1, spreads the returns of those that are refused together.
#[must_use]
pub fn plan(answer_ms: &[f64], may_miss: usize, left_ms: f64, draw: f64) -> Plan {
    plan_part(answer_ms, may_miss, may_miss, left_ms, draw)
}

/// The same for a part of the shards of a request, of which `may_leave_out` may be left out.
///
/// `may_miss` is for the whole request still: with more late ones in this part alone it can't be
/// served. Up to that those that are the least late are tried.
#[must_use]
pub fn plan_part(
    answer_ms: &[f64],
    may_miss: usize,
    may_leave_out: usize,
    left_ms: f64,
    draw: f64,
) -> Plan {
    let fit_ms = left_ms * FIT_PERCENT / 100.0;
    let mut late: Vec<usize> = (0..answer_ms.len()).filter(|&i| answer_ms[i] > fit_ms).collect();
    late.sort_by(|&a, &b| answer_ms[b].total_cmp(&answer_ms[a]));
    if late.len() <= may_miss {
        late.truncate(may_leave_out);
        late.sort_unstable();
        return Plan::Begin { left_out: late };
    }
    // The queues of all but those that may be left out must have become shorter by then.
    let excess_ms = answer_ms[late[may_miss]] - fit_ms;
    let retry_after_ms = retry_after_ms(excess_ms, left_ms, draw);
    Plan::Refuse { late: late.len(), retry_after_ms }
}

/// Divides what an answer may miss between groups of its shards, in proportion to their sizes.
///
/// Each instance that is asked for a group leaves out late shards by itself. With the whole
/// allowance for each, eight of them left out six shards of an answer that may miss four, and
/// what all others had brought was lost.
#[must_use]
pub fn share_misses(may_miss: usize, sizes: &[usize]) -> Vec<usize> {
    let total = sizes.iter().sum::<usize>().max(1);
    let mut shares: Vec<usize> = sizes.iter().map(|size| may_miss * size / total).collect();
    let mut by_rest: Vec<usize> = (0..sizes.len()).collect();
    by_rest.sort_by_key(|&i| std::cmp::Reverse(may_miss * sizes[i] % total));
    let rest = may_miss - shares.iter().sum::<usize>();
    for &i in by_rest.iter().take(rest) {
        shares[i] += 1;
    }
    shares
}

/// When the queues have become shorter by `excess_ms`, and at the most as much later as a
/// request may take: returns that are spread over it don't meet.
fn retry_after_ms(excess_ms: f64, left_ms: f64, draw: f64) -> u64 {
    let wait = std::time::Duration::try_from_secs_f64((excess_ms + left_ms * draw) / 1000.0);
    wait.map_or(0, |wait| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX))
}
