//! Validated requests of callers.

use std::collections::BTreeSet;

use actix_web::HttpRequest;
use displaydoc::Display;
use eelgrasspier_decide::claim::Key;
use eelgrasspier_decide::prelude::{IndexVersion, Service, ShardId};
use eelgrasspier_decide::service_config::is_valid_name;

/// Headers of callers' requests and of the answers to them.
pub mod headers {
    /// Time in milliseconds within which the caller needs the answer.
    pub const DEADLINE: &str = "deadline-ms";
    /// Team of the caller.
    pub const TEAM: &str = "team";
    /// Requested shards, such as `0,4-7`; all if absent.
    pub const SHARDS: &str = "shards";
    /// Minimum share of the requested shards that the caller accepts, in percent.
    pub const MIN_COVERAGE: &str = "least-coverage-percent";
    /// Index version required for, or used for, the answer.
    pub const SNAPSHOT: &str = "index-version";
    /// Idempotency key of a run: a `UUIDv7`.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// Id of the request, assigned by the instance.
    pub const REQUEST_ID: &str = "request-id";
    /// Coverage of an answer, as `covered/wanted`.
    pub const COVERAGE: &str = "coverage";
    /// Verdict on whether a refused request may have run.
    pub const VERDICT: &str = "verdict";
}

/// Team of callers that state none.
const DEFAULT_TEAM: &str = "default";
/// Maximum time in milliseconds by which a key's issue time may be ahead of the local clock.
const MAX_CLOCK_SKEW_MS: u64 = 60_000;
/// UUID version whose ids contain their time of issue.
const TIMED_UUID_VERSION: usize = 7;

/// Error of an invalid request.
#[derive(Debug, Display, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// header deadline-ms is required: the time in milliseconds in which the answer is needed
    NoDeadline,
    /// deadline-ms must lie between 1 and {max_ms}, got {given_ms}
    DeadlineOutOfRange {
        /// Requested deadline in milliseconds.
        given_ms: u64,
        /// Maximum deadline of the service, in milliseconds.
        max_ms: u64,
    },
    /// header {name} makes no sense: {value}
    BadHeader {
        /// Name of the header.
        name: &'static str,
        /// Value of the header.
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
        /// Requested shard.
        shard: ShardId,
        /// Index version of the partition map.
        version: IndexVersion,
        /// Number of shards in that version.
        shard_count: u32,
    },
    /// the body is longer than {0} bytes
    BodyTooLarge(usize),
}

/// Parameters common to all requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestParams {
    /// Time within which the answer is needed, in milliseconds.
    pub deadline_ms: u64,
    /// Team of the caller.
    pub team: String,
    /// Weight of the team in admission control.
    pub weight: u32,
    /// Requested shards; `None` for all.
    pub shards: Option<BTreeSet<ShardId>>,
    /// Minimum accepted share of the requested shards, in percent.
    pub min_coverage_percent: u32,
    /// Requested index version.
    pub version: Option<IndexVersion>,
}

/// Parameters of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunParams {
    /// Deadline, team and shard, as in all requests.
    pub common: RequestParams,
    /// Idempotency key.
    pub key: Key,
    /// Key as written by the caller.
    pub key_text: String,
}

impl TryFrom<(&HttpRequest, &Service)> for RequestParams {
    type Error = RequestError;

    fn try_from((request, service): (&HttpRequest, &Service)) -> Result<Self, RequestError> {
        let (team, weight) = parse_team(request, service)?;
        Ok(Self {
            deadline_ms: parse_deadline(request, service)?,
            team,
            weight,
            shards: header(request, headers::SHARDS)?.map(parse_shards).transpose()?,
            min_coverage_percent: parse_percent(request)?,
            version: number(request, headers::SNAPSHOT)?,
        })
    }
}

impl RunParams {
    /// Validates a run; `now_ms` is in milliseconds since the Unix epoch.
    ///
    /// # Errors
    /// Fails if a header is missing or invalid, or the service does not accept runs.
    pub fn parse(
        request: &HttpRequest,
        service: &Service,
        now_ms: u64,
    ) -> Result<Self, RequestError> {
        if service.run_connections == 0 {
            return Err(RequestError::NoRuns);
        }
        let common = RequestParams::try_from((request, service))?;
        let text = header(request, headers::IDEMPOTENCY_KEY)?.ok_or(RequestError::NoKey)?;
        // The header's grammar requires a quoted string, but many clients omit the quotes.
        let unquoted = text.trim().trim_matches('"');
        let parsed = uuid::Uuid::try_parse(unquoted).ok();
        let time_based = parsed.filter(|u| u.get_version_num() == TIMED_UUID_VERSION);
        let uuid = time_based.ok_or_else(|| RequestError::BadKey(text.to_owned()))?;
        let key = Key(uuid.as_u128());
        if key.issued_ms() > now_ms + MAX_CLOCK_SKEW_MS {
            return Err(RequestError::KeyAhead);
        }
        Ok(Self { common, key, key_text: uuid.to_string() })
    }
}

fn header<'a>(
    request: &'a HttpRequest,
    name: &'static str,
) -> Result<Option<&'a str>, RequestError> {
    let Some(value) = request.headers().get(name) else { return Ok(None) };
    let bad_header = || RequestError::BadHeader {
        name,
        value: String::from_utf8_lossy(value.as_bytes()).into(),
    };
    value.to_str().map(Some).map_err(|_| bad_header())
}

fn number<T: std::str::FromStr>(
    request: &HttpRequest,
    name: &'static str,
) -> Result<Option<T>, RequestError> {
    let Some(text) = header(request, name)? else { return Ok(None) };
    let bad_header = || RequestError::BadHeader { name, value: text.to_owned() };
    text.trim().parse().map(Some).map_err(|_| bad_header())
}

fn parse_deadline(request: &HttpRequest, service: &Service) -> Result<u64, RequestError> {
    let given = number::<u64>(request, headers::DEADLINE)?;
    let default = (service.deadline_ms > 0).then_some(service.deadline_ms);
    let deadline_ms = given.or(default).ok_or(RequestError::NoDeadline)?;
    if deadline_ms == 0 || deadline_ms > service.max_deadline_ms {
        let max_ms = service.max_deadline_ms;
        return Err(RequestError::DeadlineOutOfRange { given_ms: deadline_ms, max_ms });
    }
    Ok(deadline_ms)
}

fn parse_team(request: &HttpRequest, service: &Service) -> Result<(String, u32), RequestError> {
    let name = header(request, headers::TEAM)?.unwrap_or(DEFAULT_TEAM);
    if !is_valid_name(name) {
        return Err(RequestError::BadHeader { name: headers::TEAM, value: name.to_owned() });
    }
    if service.teams.is_empty() {
        return Ok((name.to_owned(), 1));
    }
    let weight = service.teams.get(name).copied();
    weight.map(|w| (name.to_owned(), w)).ok_or_else(|| RequestError::UnknownTeam(name.to_owned()))
}

fn parse_percent(request: &HttpRequest) -> Result<u32, RequestError> {
    const MAX_PERCENT: u32 = 100;
    let percent = number::<u32>(request, headers::MIN_COVERAGE)?.unwrap_or(0);
    if percent > MAX_PERCENT {
        let value = percent.to_string();
        return Err(RequestError::BadHeader { name: headers::MIN_COVERAGE, value });
    }
    Ok(percent)
}

fn parse_shards(list: &str) -> Result<BTreeSet<ShardId>, RequestError> {
    let bad_header = || RequestError::BadHeader { name: headers::SHARDS, value: list.to_owned() };
    let mut shards = BTreeSet::new();
    for entry in list.split(',') {
        shards.extend(parse_range(entry).ok_or_else(bad_header)?);
    }
    Ok(shards)
}

/// Parses `4` or `4-7`.
fn parse_range(entry: &str) -> Option<std::ops::RangeInclusive<ShardId>> {
    const MAX_SHARDS: ShardId = 10_000;
    let (from, to) = entry.split_once('-').unwrap_or((entry, entry));
    let range = from.trim().parse().ok()?..=to.trim().parse().ok()?;
    (!range.is_empty() && *range.end() < MAX_SHARDS).then_some(range)
}
