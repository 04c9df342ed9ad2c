//! Admission of requests: who runs now, who waits, who is refused at once.
//!
//! Two rules for two kinds of knowledge. The [`Gate`] bounds the requests of a service by what
//! it has seen answered in time, and shares them between teams; it needs to know nothing of
//! the backend servers. [`plan`] goes by what the backend servers say of their queues: which
//! shards of one request would be late, which of them may be left out, and when the request
//! is refused as a whole.

mod gate;
mod plan;

pub use gate::{Decision, Ended, Ending, Gate, Resolved, Ticket};
pub use plan::{Plan, plan, plan_part, share_misses};
