//! Accepts callers' connections, and ends them without cutting a request.
//!
//! The web framework of the own interface keeps a handler running when its caller has
//! gone, and closes idle connections the moment a stop begins. Here a caller that goes
//! away drops its request's future, and a stop has two steps: answers first ask the
//! caller to close, and only later are idle connections closed.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eelgrasspier_decide::route::CallerLimits;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Pause after a failed accept, most likely for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Least buffer that the HTTP library accepts, in bytes.
const LEAST_BUFFER_BYTES: usize = 8192;

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// Callers are served.
    Serving,
    /// Callers are served, and asked to come back by another connection.
    Leaving,
    /// Idle connections are closed; requests in progress finish.
    Closing,
}

/// An answer on its way.
pub type Answering = Pin<Box<dyn Future<Output = Response<Full<Bytes>>>>>;

/// What answers callers' requests.
pub trait Handler {
    /// Answers one request; dropped if the caller goes away.
    fn answer(&self, request: Request<Incoming>) -> Answering;

    /// Bounds for the next connection.
    fn limits(&self) -> CallerLimits;
}

/// Accepts connections until the stop closes them; returns when the last has ended.
pub async fn serve(
    listener: TcpListener,
    handler: Rc<dyn Handler>,
    mut phase: watch::Receiver<StopPhase>,
) {
    // Every connection holds a clone; the receiver learns when all are dropped.
    let (open, mut all_closed) = tokio::sync::mpsc::channel::<()>(1);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|p| *p == StopPhase::Closing) => break,
        };
        match accepted {
            Ok((stream, from)) => {
                let guard = open.clone();
                let connection = serve_one(stream, from, Rc::clone(&handler), phase.clone());
                actix_rt::spawn(async move {
                    connection.await;
                    drop(guard);
                });
            }
            Err(error) => {
                log::warn!("caller's connection not accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(open);
    drop(listener);
    while all_closed.recv().await.is_some() {}
}

async fn serve_one(
    stream: TcpStream,
    from: SocketAddr,
    handler: Rc<dyn Handler>,
    mut phase: watch::Receiver<StopPhase>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("no-delay not set on a connection from {from}: {error}");
    }
    let limits = handler.limits();
    let now = phase.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let answering = handler.answer(request);
        let now = now.clone();
        async move {
            let mut answer = answering.await;
            if *now.borrow() > StopPhase::Serving {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, std::convert::Infallible>(answer)
        }
    });
    // The library's header timeout also runs while a connection is idle, so it is the
    // longer of the two bounds; a caller that trickles its head is cut off by it.
    let head_timeout_ms = limits.idle_timeout_ms.max(limits.header_timeout_ms);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(head_timeout_ms))
        .max_buf_size(limits.max_header_bytes.max(LEAST_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = phase.wait_for(|p| *p == StopPhase::Closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("connection from {from} ended: {error}");
    }
}
