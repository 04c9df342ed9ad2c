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

pub use account::{CallerAccount, Charge, Connection, OpenConnection, Phase};
pub use answer::{Answer, Missed, Part, RunAnswer};
pub use body::{BodyError, CallerBody, read_payload};
pub use machine::{max_open_descriptors, memory_bytes};
pub use problem::{Problem, problem_response};
pub use request::{RequestError, RequestParams, RunParams, headers};
pub use serve::{
    ACCEPT_PAUSE, Handler, ResponseFuture, ShutdownPhase, bind, is_out_of_descriptors, serve,
};
pub use stream::AccountedStream;
