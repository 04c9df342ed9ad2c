//! A pending exchange with a backend server, cancelled when dropped.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use eelgrasspier_backend::{BackendClient, PartAnswer, PartFailure, PartFuture};

use crate::replica::{ConnectionKind, Permit, Replica};

/// Time for a cancelled exchange to finish before its connection is closed.
///
/// Reopening a connection costs several milliseconds, so it is worth waiting for the server to act
/// on the cancellation. The connection is closed if the server does not respond.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(30);

/// A pending exchange; dropping it early sends a cancellation to the server.
pub(crate) struct PendingExchange {
    state: Option<ExchangeState>,
}

struct ExchangeState {
    exchange: PartFuture<PartAnswer>,
    permit: Permit,
    id: String,
    client: Rc<dyn BackendClient>,
    started: Instant,
    /// Start time in milliseconds since the process started.
    started_ms: u64,
}

/// A completed exchange.
pub(crate) struct CompletedExchange {
    pub(crate) replica: Rc<Replica>,
    pub(crate) result: Result<PartAnswer, PartFailure>,
    pub(crate) took: Duration,
    /// Start time in milliseconds since the process started.
    pub(crate) started_ms: u64,
}

impl CompletedExchange {
    /// True if the server has answered nothing since the exchange began.
    pub(crate) fn is_silent(&self) -> bool {
        self.replica.is_silent_since(self.started_ms)
    }
}

impl PendingExchange {
    /// Returns the server if it has answered nothing since the exchange began.
    pub(crate) fn silent_replica(&self) -> Option<&Rc<Replica>> {
        let state = self.state.as_ref()?;
        Some(state.permit.replica()).filter(|r| r.is_silent_since(state.started_ms))
    }

    pub(crate) fn new(
        exchange: PartFuture<PartAnswer>,
        permit: Permit,
        id: String,
        client: Rc<dyn BackendClient>,
        started_ms: u64,
    ) -> Self {
        let started = Instant::now();
        Self { state: Some(ExchangeState { exchange, permit, id, client, started, started_ms }) }
    }
}

impl Future for PendingExchange {
    type Output = CompletedExchange;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<CompletedExchange> {
        let Some(state) = &mut self.state else { return Poll::Pending };
        let Poll::Ready(result) = state.exchange.as_mut().poll(context) else {
            return Poll::Pending;
        };
        let replica = Rc::clone(state.permit.replica());
        let (took, started_ms) = (state.started.elapsed(), state.started_ms);
        self.state = None;
        Poll::Ready(CompletedExchange { replica, result, took, started_ms })
    }
}

impl Drop for PendingExchange {
    fn drop(&mut self) {
        if let Some(state) = self.state.take() {
            metrics::counter!("eelgrasspier_parts_cancelled_total").increment(1);
            let elapsed_us = u64::try_from(state.started.elapsed().as_micros()).unwrap_or(u64::MAX);
            let now_ms = state.started_ms + elapsed_us / 1000;
            state.permit.replica().load.borrow_mut().record_abandoned(elapsed_us, now_ms);
            actix_rt::spawn(cancel_exchange(state));
        }
    }
}

async fn cancel_exchange(state: ExchangeState) {
    let replica = state.permit.replica();
    let addr = replica.spec.addr;
    let cancellation = replica.acquire(ConnectionKind::Query).map(|permit| {
        let cancel = state.client.cancel(addr, &state.id, CANCEL_TIMEOUT);
        async move {
            drop(cancel.await);
            drop(permit);
        }
    });
    if let Some(cancellation) = cancellation {
        actix_rt::spawn(cancellation);
    }
    drop(actix_rt::time::timeout(CANCEL_TIMEOUT, state.exchange).await);
}
