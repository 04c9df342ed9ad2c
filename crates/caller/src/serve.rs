//! Server for callers' connections, which drains them without aborting requests.
//!
//! `actix-web`, which serves the HTTP interface of the `eelgrasspier` daemon, lets a handler finish
//! after its caller has disconnected, and closes idle connections as soon as a shutdown begins.
//! This server drops the future of a request when its caller disconnects, and shuts down in two
//! steps: answers first ask the caller to close the connection, and idle connections are closed
//! only later.

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

/// Pause after a failed accept, which is most likely caused by a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Minimum buffer size that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Phase of a planned shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Requests are served normally.
    Serving,
    /// Requests are served, and answers ask callers to reconnect.
    Draining,
    /// Idle connections are closed; requests in progress finish.
    Closing,
}

/// Future of an answer.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response<Full<Bytes>>>>>;

/// Handler of callers' requests.
pub trait Handler {
    /// Answers one request; the future is dropped if the caller disconnects.
    fn answer(&self, request: Request<Incoming>) -> ResponseFuture;

    /// Returns the limits for the next connection.
    fn limits(&self) -> CallerLimits;
}

/// Accepts connections until [`ShutdownPhase::Closing`]; returns after the last one has ended.
pub async fn serve(
    listener: TcpListener,
    handler: Rc<dyn Handler>,
    mut phase: watch::Receiver<ShutdownPhase>,
) {
    // Every connection holds a clone of the sender; the receiver returns `None` once all are
    // dropped.
    let (connection_guard, mut all_ended) = tokio::sync::mpsc::channel::<()>(1);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|p| *p == ShutdownPhase::Closing) => break,
        };
        match accepted {
            Ok((stream, from)) => {
                let guard = connection_guard.clone();
                let connection = serve_connection(stream, from, Rc::clone(&handler), phase.clone());
                actix_rt::spawn(async move {
                    connection.await;
                    drop(guard);
                });
            }
            Err(error) => {
                log::warn!("failed to accept a caller's connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(connection_guard);
    drop(listener);
    while all_ended.recv().await.is_some() {}
}

async fn serve_connection(
    stream: TcpStream,
    from: SocketAddr,
    handler: Rc<dyn Handler>,
    mut phase: watch::Receiver<ShutdownPhase>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("failed to set TCP_NODELAY on the connection from {from}: {error}");
    }
    let limits = handler.limits();
    let current_phase = phase.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let response_future = handler.answer(request);
        let current_phase = current_phase.clone();
        async move {
            let mut answer = response_future.await;
            if *current_phase.borrow() > ShutdownPhase::Serving {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, std::convert::Infallible>(answer)
        }
    });
    // The library's header timeout also runs while a connection is idle, so the longer of the two
    // limits is used. It cuts off callers that send their headers slowly.
    let header_read_timeout_ms = limits.idle_timeout_ms.max(limits.header_timeout_ms);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(header_read_timeout_ms))
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = phase.wait_for(|p| *p == ShutdownPhase::Closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("connection from {from} ended: {error}");
    }
}
