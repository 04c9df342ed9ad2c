//! Object API over HTTP.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use awc::error::{ConnectError, SendRequestError};
use awc::http::{StatusCode, header};
use bytes::Bytes;
use eelgrasspier_backend::{read_body, strict_connector};
use eelgrasspier_decide::history::{EraComparison, EraTracker, Position};
use serde_json::value::RawValue;

use crate::store::{ListedInstance, Object, ObjectStore, ReadError, StoreFuture, UpdateError};

/// Header with the number of times that the platform was restored from a backup.
const ERA: &str = "store-era";
/// Maximum size of an object in bytes; the platform stores up to one megabyte.
const MAX_OBJECT_BYTES: usize = 1 << 20;
/// Maximum number of connections from one process to the platform.
const MAX_CONNECTIONS: usize = 16;
/// Time in milliseconds that the answer to a watch may take beyond its wait time.
const WATCH_MARGIN_MS: u64 = 2_000;

/// Client for the platform's object API at one base address.
#[derive(Clone)]
pub struct HttpStore {
    base: String,
    client: Client,
    timeout_ms: u64,
    eras: Rc<RefCell<EraTracker>>,
}

impl std::fmt::Debug for HttpStore {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpStore").field("base", &self.base).finish_non_exhaustive()
    }
}

impl HttpStore {
    /// Creates a client for the API at `base`, such as `http://127.0.0.1:7000`.
    ///
    /// The client must be used on the calling thread only. `timeout_ms` is the timeout of each call
    /// except watches, in milliseconds.
    #[must_use]
    pub fn new(base: &str, timeout_ms: u64) -> Self {
        let connector =
            strict_connector().limit(MAX_CONNECTIONS).timeout(Duration::from_millis(timeout_ms));
        let client = Client::builder()
            .connector(connector)
            .timeout(Duration::from_millis(timeout_ms))
            .finish();
        Self {
            base: base.trim_end_matches('/').to_owned(),
            client,
            timeout_ms,
            eras: Rc::default(),
        }
    }

    /// Returns the version in an answer's headers, within its era.
    ///
    /// # Errors
    /// Fails with a message if there is no version or the answer predates a restore.
    fn version_of(&self, headers: &header::HeaderMap, request_era: u64) -> Result<u64, String> {
        let etag = headers.get(header::ETAG).and_then(|tag| tag.to_str().ok());
        let version = etag.and_then(|tag| tag.trim_matches('"').parse().ok());
        let revision = version.ok_or_else(|| format!("no version in ETag {etag:?}"))?;
        self.update_era(headers, request_era)?;
        Ok(Position { era: self.era(), revision }.to_packed())
    }

    /// Applies the era in an answer's headers.
    fn update_era(&self, headers: &header::HeaderMap, request_era: u64) -> Result<(), String> {
        let text = headers.get(ERA).and_then(|era| era.to_str().ok());
        let era = text.and_then(|era| era.trim().parse().ok());
        let before = self.era();
        match self.eras.borrow_mut().observe_answer(era, request_era, false) {
            EraComparison::Unchanged => {}
            EraComparison::Restored => {
                log::warn!(
                    "platform was restored from a backup: era {text:?}, previously {before}"
                );
                metrics::counter!("eelgrasspier_platform_restores_total").increment(1);
            }
            EraComparison::Stale => {
                return Err(format!("answer from earlier era {text:?}, current era is {before}"));
            }
            EraComparison::Regressed => {
                log::debug!("platform reports earlier era {text:?}, previously {before}");
            }
        }
        Ok(())
    }

    fn object_url(&self, name: &str) -> String {
        format!("{}/objects/{name}", self.base)
    }

    async fn get(&self, url: &str, timeout_ms: u64) -> Result<Option<Object>, ReadError> {
        let request_era = self.era();
        let result = self.client.get(url).timeout(Duration::from_millis(timeout_ms)).send().await;
        let mut answer = result.map_err(|e| ReadError::Unavailable(e.to_string()))?;
        match answer.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => {
                self.update_era(answer.headers(), request_era).map_err(ReadError::Unavailable)?;
                return Ok(None);
            }
            status => return Err(ReadError::Unavailable(format!("status {status}"))),
        }
        let version =
            self.version_of(answer.headers(), request_era).map_err(ReadError::Malformed)?;
        let body = read_body(&mut answer, MAX_OBJECT_BYTES).await;
        let value = body.map_err(|e| ReadError::Unavailable(e.to_string()))?;
        Ok(Some(Object { version, value }))
    }

    async fn put(
        &self,
        name: &str,
        expected: Option<u64>,
        value: Bytes,
    ) -> Result<u64, UpdateError> {
        let request = self.client.put(self.object_url(name));
        let request = match expected {
            Some(version) => {
                let revision = Position::from_packed(version).revision;
                request.insert_header((header::IF_MATCH, format!("\"{revision}\"")))
            }
            None => request.insert_header((header::IF_NONE_MATCH, "*")),
        };
        let request_era = self.era();
        let answer = request.send_body(value).await.map_err(|e| update_error(&e))?;
        match answer.status() {
            StatusCode::OK | StatusCode::CREATED | StatusCode::NO_CONTENT => {
                let version = self.version_of(answer.headers(), request_era);
                let version = version.map_err(UpdateError::Unknown)?;
                let era = Position::from_packed(version).era;
                let is_other_era = |expected| Position::from_packed(expected).era != era;
                if expected.is_some_and(is_other_era) || era != request_era {
                    let text = format!("the platform was restored during the update: era {era}");
                    return Err(UpdateError::Unknown(text));
                }
                Ok(version)
            }
            StatusCode::PRECONDITION_FAILED => Err(UpdateError::Conflict),
            status if status.is_client_error() => {
                Err(UpdateError::NotApplied(format!("status {status}")))
            }
            status => Err(UpdateError::Unknown(format!("status {status}"))),
        }
    }
}

/// Classifies an error of an update: only a failure before any byte was sent proves that the update
/// did not take effect.
fn update_error(error: &SendRequestError) -> UpdateError {
    match error {
        SendRequestError::Connect(ConnectError::Timeout | ConnectError::Resolver(_)) => {
            UpdateError::NotApplied(error.to_string())
        }
        SendRequestError::Connect(ConnectError::Io(io))
            if io.kind() == std::io::ErrorKind::ConnectionRefused =>
        {
            UpdateError::NotApplied(error.to_string())
        }
        _ => UpdateError::Unknown(error.to_string()),
    }
}

/// Parses an entry of the list of instances; logs a malformed one, which must not hide the others.
fn parse_instance(entry: &RawValue) -> Option<ListedInstance> {
    let read = serde_json::from_str::<ListedInstance>(entry.get());
    // The error's text may quote the whole entry.
    let report = |e: &serde_json::Error| {
        log::warn!("skipping an invalid entry of the list of instances: {:?} error", e.classify());
    };
    read.inspect_err(report).ok()
}

fn count_call(kind: &'static str) {
    metrics::counter!("eelgrasspier_platform_calls_total", "kind" => kind).increment(1);
}

impl ObjectStore for HttpStore {
    fn read<'a>(&'a self, name: &'a str) -> StoreFuture<'a, Result<Option<Object>, ReadError>> {
        count_call("read");
        Box::pin(async move { self.get(&self.object_url(name), self.timeout_ms).await })
    }

    fn watch<'a>(
        &'a self,
        name: &'a str,
        after: u64,
        wait_ms: u64,
    ) -> StoreFuture<'a, Result<Option<Object>, ReadError>> {
        count_call("watch");
        // After a restore, every object counts as changed.
        let Position { era, revision } = Position::from_packed(after);
        let after = if era == self.era() { revision } else { 0 };
        let url = format!("{}?watch_after={after}&wait_ms={wait_ms}", self.object_url(name));
        Box::pin(async move { self.get(&url, wait_ms + WATCH_MARGIN_MS).await })
    }

    fn update<'a>(
        &'a self,
        name: &'a str,
        expected: Option<u64>,
        value: Bytes,
    ) -> StoreFuture<'a, Result<u64, UpdateError>> {
        count_call("update");
        Box::pin(self.put(name, expected, value))
    }

    fn era(&self) -> u64 {
        self.eras.borrow().current()
    }

    fn instances(&self) -> StoreFuture<'_, Result<Vec<ListedInstance>, ReadError>> {
        count_call("instances");
        Box::pin(async move {
            let url = format!("{}/instances", self.base);
            let request_era = self.era();
            let result = self.client.get(url).send().await;
            let mut answer = result.map_err(|e| ReadError::Unavailable(e.to_string()))?;
            self.update_era(answer.headers(), request_era).map_err(ReadError::Unavailable)?;
            if answer.status() != StatusCode::OK {
                return Err(ReadError::Unavailable(format!("status {}", answer.status())));
            }
            let body = read_body(&mut answer, MAX_OBJECT_BYTES).await;
            let body = body.map_err(|e| ReadError::Unavailable(e.to_string()))?;
            let entries: Vec<&RawValue> =
                serde_json::from_slice(&body).map_err(|e| ReadError::Malformed(e.to_string()))?;
            Ok(entries.into_iter().filter_map(parse_instance).collect())
        })
    }
}
