//! Admission control: which requests run now, wait or are refused at once.
//!
//! There are two rules, for two sources of information. The [`Gate`] limits the requests of a
//! service by what it has seen answered in time, and divides them between teams; it needs no
//! information from the backend servers. [`plan()`] uses the queue lengths reported by the backend
//! servers: it determines which shards of one request would be late, which of them may be left out,
//! and when the request is refused as a whole. While more requests arrive than can be served, a
//! [`PriorityTracker`] restricts its limits by the priority and the customer of the request.

mod gate;
mod plan;
mod priority;
mod recent;
mod shares;

pub use gate::{Completion, Decision, Gate, LoadSignal, Resolution, Ticket};
pub use plan::{Plan, divide_allowed_misses, plan, plan_group};
pub use priority::{
    Candidate, GroupKey, PriorityPlan, PriorityTracker, Protected, QueueLimit, RequestEnd,
    plan_with_priority,
};
