//! One exchange on its way, which is cancelled when it is no longer wanted.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use eelgrasspier_backend::{Exchanger, PartAnswer, PartFailure, PartFuture};

use crate::replica::{Lane, Permit, Replica};

/// Time that a cancelled exchange has to end, before its connection is closed.
///
/// A connection costs several milliseconds to open again, so it is worth waiting
/// for the server to act on the cancellation; a silent one is closed.
const CANCEL_WAIT: Duration = Duration::from_millis(30);

/// One exchange; dropping it early tells the server to stop working.
pub(crate) struct Flight {
    open: Option<Open>,
}

struct Open {
    exchange: PartFuture<PartAnswer>,
    permit: Permit,
    id: String,
    exchanger: Rc<dyn Exchanger>,
    started: Instant,
    /// The same in milliseconds since the process started.
    started_ms: u64,
}

/// The end of an exchange.
pub(crate) struct Landed {
    pub(crate) replica: Rc<Replica>,
    pub(crate) result: Result<PartAnswer, PartFailure>,
    pub(crate) took: Duration,
}

impl Flight {
    pub(crate) fn new(
        exchange: PartFuture<PartAnswer>,
        permit: Permit,
        id: String,
        exchanger: Rc<dyn Exchanger>,
        started_ms: u64,
    ) -> Self {
        let started = Instant::now();
        Self { open: Some(Open { exchange, permit, id, exchanger, started, started_ms }) }
    }
}

impl Future for Flight {
    type Output = Landed;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Landed> {
        let Some(open) = &mut self.open else { return Poll::Pending };
        let Poll::Ready(result) = open.exchange.as_mut().poll(context) else {
            return Poll::Pending;
        };
        let replica = Rc::clone(open.permit.replica());
        let took = open.started.elapsed();
        self.open = None;
        Poll::Ready(Landed { replica, result, took })
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if let Some(open) = self.open.take() {
            metrics::counter!("eelgrasspier_parts_cancelled_total").increment(1);
            let elapsed_us = u64::try_from(open.started.elapsed().as_micros()).unwrap_or(u64::MAX);
            let now_ms = open.started_ms + elapsed_us / 1000;
            open.permit.replica().load.borrow_mut().outrun(elapsed_us, now_ms);
            actix_rt::spawn(abandon(open));
        }
    }
}

async fn abandon(open: Open) {
    let replica = open.permit.replica();
    let addr = replica.spec.addr;
    let message = replica.take(Lane::Query).map(|permit| {
        let cancel = open.exchanger.cancel(addr, &open.id, CANCEL_WAIT);
        async move {
            drop(cancel.await);
            drop(permit);
        }
    });
    if let Some(message) = message {
        actix_rt::spawn(message);
    }
    drop(actix_rt::time::timeout(CANCEL_WAIT, open.exchange).await);
}
