//! Checked requests of callers.

use std::collections::BTreeSet;

use actix_web::HttpRequest;
use displaydoc::Display;
use eelgrasspier_decide::claim::Key;
use eelgrasspier_decide::prelude::{IndexVersion, Service, ShardId};
use eelgrasspier_decide::text::is_name;

/// Headers of a caller's request.
pub mod headers {
    /// Time in milliseconds in which the caller needs the answer.
    pub const DEADLINE: &str = "deadline-ms";
    /// The caller's team.
    pub const TEAM: &str = "team";
    /// Shards wanted, such as `0,4-7`; all if absent.
    pub const SHARDS: &str = "shards";
    /// Least share of the wanted shards that the caller accepts, in percent.
    pub const LEAST_COVERAGE: &str = "least-coverage-percent";
    /// Index version that the answer must be made from, or was made from.
    pub const SNAPSHOT: &str = "index-version";
    /// Key of a request that must not run twice: a `UUIDv7`.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// Id of the request, given by the instance.
    pub const REQUEST_ID: &str = "request-id";
    /// Coverage of an answer, as `covered/wanted`.
    pub const COVERAGE: &str = "coverage";
    /// Whether a refused request may have run.
    pub const VERDICT: &str = "verdict";
}

/// Team of callers that name none.
const NO_TEAM: &str = "default";
/// Time by which a key's issue may lie ahead of this instance's clock.
const MAX_AHEAD_MS: u64 = 60_000;
/// Number of the UUID version that carries its time of issue.
const TIMED_UUID_VERSION: usize = 7;

/// What is wrong with a caller's request.
#[derive(Debug, Display, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// header deadline-ms is required: the time in milliseconds in which the answer is needed
    NoDeadline,
    /// deadline-ms must lie between 1 and {max_ms}, got {given_ms}
    DeadlineOutOfRange {
        /// What the caller asked for.
        given_ms: u64,
        /// The most that the service allows.
        max_ms: u64,
    },
    /// header {name} makes no sense: {value}
    BadHeader {
        /// Name of the header.
        name: &'static str,
        /// What it says.
        value: String,
    },
    /// team {0} may not use this service
    UnknownTeam(String),
    /// header idempotency-key is required: a UUIDv7
    NoKey,
    /// idempotency-key must be a UUIDv7, got {0}
    BadKey(String),
    /// idempotency-key was issued in the future
    KeyAhead,
    /// the service takes no runs: the operators' text sets no run_connections
    NoRuns,
    /// unknown shard {shard}: index version {version} has {shard_count}
    UnknownShard {
        /// The shard asked for.
        shard: ShardId,
        /// The version of the partition map.
        version: IndexVersion,
        /// Number of shards in it.
        shard_count: u32,
    },
    /// the body is longer than {0} bytes
    BodyTooLarge(usize),
}

/// What every request of a caller says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Time in which the answer is needed.
    pub deadline_ms: u64,
    /// The caller's team.
    pub team: String,
    /// Weight of the team.
    pub weight: u32,
    /// Shards wanted; `None` for all.
    pub shards: Option<BTreeSet<ShardId>>,
    /// Least share of the wanted shards that is accepted, in percent.
    pub least_coverage_percent: u32,
    /// Index version asked for.
    pub version: Option<IndexVersion>,
}

/// What a request that must not run twice says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunCall {
    /// Deadline, team and shard.
    pub call: Call,
    /// The idempotency key.
    pub key: Key,
    /// The key as the caller wrote it.
    pub key_text: String,
}

impl TryFrom<(&HttpRequest, &Service)> for Call {
    type Error = CallError;

    fn try_from((request, service): (&HttpRequest, &Service)) -> Result<Self, CallError> {
        let (team, weight) = read_team(request, service)?;
        Ok(Self {
            deadline_ms: read_deadline(request, service)?,
            team,
            weight,
            shards: header(request, headers::SHARDS)?.map(read_shards).transpose()?,
            least_coverage_percent: read_percent(request)?,
            version: number(request, headers::SNAPSHOT)?,
        })
    }
}

impl RunCall {
    /// Checks a request that must not run twice; `now_ms` is since the epoch.
    ///
    /// # Errors
    /// Fails if a header is missing or makes no sense, or the service takes none.
    pub fn check(request: &HttpRequest, service: &Service, now_ms: u64) -> Result<Self, CallError> {
        if service.run_connections == 0 {
            return Err(CallError::NoRuns);
        }
        let call = Call::try_from((request, service))?;
        let text = header(request, headers::IDEMPOTENCY_KEY)?.ok_or(CallError::NoKey)?;
        // The header's grammar makes it a quoted string; many clients leave the quotes out.
        let bare = text.trim().trim_matches('"');
        let parsed = uuid::Uuid::try_parse(bare).ok();
        let timed = parsed.filter(|u| u.get_version_num() == TIMED_UUID_VERSION);
        let uuid = timed.ok_or_else(|| CallError::BadKey(text.to_owned()))?;
        let key = Key(uuid.as_u128());
        if key.issued_ms() > now_ms + MAX_AHEAD_MS {
            return Err(CallError::KeyAhead);
        }
        Ok(Self { call, key, key_text: uuid.to_string() })
    }
}

fn header<'a>(request: &'a HttpRequest, name: &'static str) -> Result<Option<&'a str>, CallError> {
    let Some(value) = request.headers().get(name) else { return Ok(None) };
    let bad =
        || CallError::BadHeader { name, value: String::from_utf8_lossy(value.as_bytes()).into() };
    value.to_str().map(Some).map_err(|_| bad())
}

fn number<T: std::str::FromStr>(
    request: &HttpRequest,
    name: &'static str,
) -> Result<Option<T>, CallError> {
    let Some(text) = header(request, name)? else { return Ok(None) };
    let bad = || CallError::BadHeader { name, value: text.to_owned() };
    text.trim().parse().map(Some).map_err(|_| bad())
}

fn read_deadline(request: &HttpRequest, service: &Service) -> Result<u64, CallError> {
    let given = number::<u64>(request, headers::DEADLINE)?;
    let default = (service.deadline_ms > 0).then_some(service.deadline_ms);
    let deadline_ms = given.or(default).ok_or(CallError::NoDeadline)?;
    if deadline_ms == 0 || deadline_ms > service.max_deadline_ms {
        let max_ms = service.max_deadline_ms;
        return Err(CallError::DeadlineOutOfRange { given_ms: deadline_ms, max_ms });
    }
    Ok(deadline_ms)
}

fn read_team(request: &HttpRequest, service: &Service) -> Result<(String, u32), CallError> {
    let name = header(request, headers::TEAM)?.unwrap_or(NO_TEAM);
    if !is_name(name) {
        return Err(CallError::BadHeader { name: headers::TEAM, value: name.to_owned() });
    }
    if service.teams.is_empty() {
        return Ok((name.to_owned(), 1));
    }
    let weight = service.teams.get(name).copied();
    weight.map(|w| (name.to_owned(), w)).ok_or_else(|| CallError::UnknownTeam(name.to_owned()))
}

fn read_percent(request: &HttpRequest) -> Result<u32, CallError> {
    const ALL: u32 = 100;
    let percent = number::<u32>(request, headers::LEAST_COVERAGE)?.unwrap_or(0);
    if percent > ALL {
        let value = percent.to_string();
        return Err(CallError::BadHeader { name: headers::LEAST_COVERAGE, value });
    }
    Ok(percent)
}

fn read_shards(list: &str) -> Result<BTreeSet<ShardId>, CallError> {
    let bad = || CallError::BadHeader { name: headers::SHARDS, value: list.to_owned() };
    let mut shards = BTreeSet::new();
    for entry in list.split(',') {
        shards.extend(read_range(entry).ok_or_else(bad)?);
    }
    Ok(shards)
}

/// Reads `4` or `4-7`.
fn read_range(entry: &str) -> Option<std::ops::RangeInclusive<ShardId>> {
    const MOST: ShardId = 10_000;
    let (from, to) = entry.split_once('-').unwrap_or((entry, entry));
    let range = from.trim().parse().ok()?..=to.trim().parse().ok()?;
    (!range.is_empty() && *range.end() < MOST).then_some(range)
}
