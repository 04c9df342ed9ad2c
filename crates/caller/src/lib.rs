//! Interface to callers: validated requests, answers and refusals.
//!
//! Callers use HTTP. `POST /v1/services/{service}/query` is repeatable and gathers parts from
//! shards. `POST /v1/services/{service}/run` must not run twice and carries an `Idempotency-Key`.
//! Refusals are `application/problem+json` (RFC 9457) with a verdict and `Retry-After`.

mod account;
mod answer;
mod body;
mod machine;
mod problem;
mod request;
mod serve;
mod stream;

pub use account::CallerAccount;
pub use answer::{Answer, Missed, Part, RunAnswer};
pub use body::{BodyError, CallerBody};
pub use machine::max_open_descriptors;
pub use problem::{Problem, problem_response};
pub use request::{RequestError, RequestParams, RunParams, headers};
pub use serve::{Handler, ResponseFuture, ShutdownPhase, bind, serve};
