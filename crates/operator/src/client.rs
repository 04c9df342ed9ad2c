//! Client of the administration API.

use std::time::Duration;

use awc::http::StatusCode;
use awc::{Client, ClientRequest};
use displaydoc::Display;
use serde::de::DeserializeOwned;

use crate::messages::{InstanceStatus, SubmitRequest, SubmitResponse, TextResponse, TimelineEntry};

/// Timeout of a call.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Error of a call to the administration API.
#[derive(Debug, Display, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AdminError {
    /// instance unreachable: {0}
    Unreachable(String),
    /// instance answered with HTTP status {0}
    Status(u16),
    /// cannot encode request or decode answer: {0}
    Malformed(String),
}

/// Client of one instance's administration API.
#[derive(Clone)]
pub struct AdminClient {
    base: String,
    token: Option<String>,
    client: Client,
}

impl std::fmt::Debug for AdminClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AdminClient").field("base", &self.base).finish_non_exhaustive()
    }
}

impl AdminClient {
    /// Creates a client for the instance at `base`, such as `http://127.0.0.1:8080`.
    #[must_use]
    pub fn new(base: &str, token: Option<&str>) -> Self {
        let client = Client::builder().timeout(REQUEST_TIMEOUT).finish();
        let base = base.trim_end_matches('/').to_owned();
        Self { base, token: token.map(str::to_owned), client }
    }

    /// Returns the status of all instances.
    ///
    /// # Errors
    /// Fails if the instance is unreachable or its answer is invalid.
    pub async fn status(&self) -> Result<Vec<InstanceStatus>, AdminError> {
        self.get("/admin/status").await
    }

    /// Returns the text in force.
    ///
    /// # Errors
    /// Fails if the instance is unreachable, has no text or its answer is invalid.
    pub async fn text(&self) -> Result<TextResponse, AdminError> {
        self.get("/admin/text").await
    }

    /// Returns the events of all instances, ordered by stamp.
    ///
    /// # Errors
    /// Fails if the instance is unreachable or its answer is invalid.
    pub async fn timeline(
        &self,
        about: &str,
        from_stamp: u64,
    ) -> Result<Vec<TimelineEntry>, AdminError> {
        let request = self.client.get(format!("{}/admin/timeline", self.base));
        let query = [("about", about.to_owned()), ("from_stamp", from_stamp.to_string())];
        let request = request.query(&query).map_err(|e| AdminError::Malformed(e.to_string()))?;
        fetch(request).await
    }

    /// Submits an edit.
    ///
    /// # Errors
    /// Fails if the instance is unreachable or its answer is invalid; submitting the same edit
    /// again is safe.
    pub async fn submit(&self, edit: &SubmitRequest) -> Result<SubmitResponse, AdminError> {
        let mut request = self.client.put(format!("{}/admin/text", self.base));
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        let sent = request.send_json(edit).await;
        let mut answer = sent.map_err(|e| AdminError::Unreachable(e.to_string()))?;
        let body = answer.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|e| AdminError::Unreachable(e.to_string()))?;
        decode(&body)
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, AdminError> {
        fetch(self.client.get(format!("{}{path}", self.base))).await
    }
}

async fn fetch<T: DeserializeOwned>(request: ClientRequest) -> Result<T, AdminError> {
    let sent = request.send().await;
    let mut answer = sent.map_err(|e| AdminError::Unreachable(e.to_string()))?;
    if answer.status() != StatusCode::OK {
        return Err(AdminError::Status(answer.status().as_u16()));
    }
    let body = answer.body().limit(MAX_ANSWER_BYTES).await;
    decode(&body.map_err(|e| AdminError::Unreachable(e.to_string()))?)
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, AdminError> {
    serde_json::from_slice(body).map_err(|e| AdminError::Malformed(e.to_string()))
}
