//! Server for callers' connections, which drains them without aborting requests.
//!
//! The `eelgrasspier` daemon serves its HTTP interface by `actix-http`, which lets a handler finish
//! after its caller has disconnected. This server drops the future of a request when its caller disconnects, and shuts down in two
//! steps: answers first ask the caller to close the connection, and idle connections are closed
//! only later. What its callers hold is bounded by a [`CallerAccount`].

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eelgrasspier_decide::route::CallerLimits;
use futures_util::FutureExt;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use crate::account::{CallerAccount, Connection, Phase};
use crate::body::CallerBody;
use crate::stream::AccountedStream;

/// Pause after a failed accept, which is most likely caused by a lack of file descriptors.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Error of the system if the process has no descriptors left (`EMFILE`).
const TOO_MANY_DESCRIPTORS: i32 = 24;
/// Minimum buffer size that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;
/// Receive buffer of each connection in bytes; the system would let it grow to megabytes.
pub(crate) const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;
/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Time for which a closing instance waits for callers to read their answers.
pub(crate) const UNREAD_GRACE: Duration = Duration::from_secs(1);
/// Time for which the rest of a refused request is read.
const LINGER_TIME: Duration = Duration::from_secs(1);

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
    fn answer(&self, request: Request<CallerBody>) -> ResponseFuture;

    /// Returns the limits for the next connection.
    fn limits(&self) -> CallerLimits;
}

/// Binds an address for callers, whose connections get bounded receive buffers.
///
/// # Errors
/// Fails if the address can't be bound.
pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        log::debug!("failed to set the receive buffers of connections to {addr}: {error}");
    }
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// True if a connection can't be accepted because the process has no descriptors left.
#[must_use]
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    error.raw_os_error() == Some(TOO_MANY_DESCRIPTORS)
}

/// Accepts connections until [`ShutdownPhase::Closing`]; returns after the last one has ended.
pub async fn serve(
    listener: TcpListener,
    handler: Rc<dyn Handler>,
    account: Rc<CallerAccount>,
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
                let open = account.open();
                let connection = serve_connection(
                    stream,
                    from,
                    Rc::clone(open.connection()),
                    Rc::clone(&handler),
                    phase.clone(),
                );
                actix_rt::spawn(async move {
                    connection.await;
                    drop(open);
                    drop(guard);
                });
                account.settle().await;
            }
            Err(error) => {
                log::warn!("failed to accept a caller's connection: {error}");
                if is_out_of_descriptors(&error) {
                    account.record_exhaustion();
                    account.settle().await;
                }
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
    connection: Rc<Connection>,
    handler: Rc<dyn Handler>,
    mut phase: watch::Receiver<ShutdownPhase>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("failed to set TCP_NODELAY on the connection from {from}: {error}");
    }
    let limits = handler.limits();
    let is_cut_off = Rc::new(Cell::new(false));
    let service = {
        let (connection, phase, is_cut_off) =
            (Rc::clone(&connection), phase.clone(), Rc::clone(&is_cut_off));
        service_fn(move |request: Request<Incoming>| {
            connection.set_phase(Phase::Service);
            let has_body = !request.body().is_end_stream();
            let request = request.map(|body| CallerBody::new(body, Rc::clone(&connection)));
            let (connection, phase, is_cut_off) =
                (Rc::clone(&connection), phase.clone(), Rc::clone(&is_cut_off));
            handler.answer(request).map(move |answer| {
                let is_body_unread = has_body && !connection.has_read_body();
                is_cut_off.set(is_body_unread);
                let is_stopping = *phase.borrow() > ShutdownPhase::Serving;
                Ok::<_, Infallible>(complete(answer, &connection, is_body_unread || is_stopping))
            })
        })
    };
    // The library's header timeout also runs while a connection is idle, so the longer of the two
    // limits is used. It cuts off callers that send their headers slowly.
    let header_read_timeout_ms = limits.idle_timeout_ms.max(limits.header_timeout_ms);
    let mut http = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(header_read_timeout_ms))
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(
            TokioIo::new(AccountedStream::new(stream, Rc::clone(&connection))),
            service,
        );
    let mut closed = std::pin::pin!(connection.wait_closed());
    let mut is_closing = false;
    let ended = loop {
        tokio::select! {
            biased;
            () = &mut closed => return,
            ended = std::future::poll_fn(|cx| http.poll_without_shutdown(cx)) => break ended,
            _ = phase.wait_for(|p| *p == ShutdownPhase::Closing), if !is_closing => {
                is_closing = true;
                Pin::new(&mut http).graceful_shutdown();
                connection.stop();
            }
            () = tokio::time::sleep(UNREAD_GRACE), if is_closing => {
                if connection.phase() != Phase::Service && connection.waiting() >= UNREAD_GRACE {
                    return;
                }
            }
        }
    };
    if let Err(error) = ended {
        log::debug!("connection from {from} ended: {error}");
        return;
    }
    if is_cut_off.get() && !connection.is_evicted() {
        let stream = http.into_parts().io.into_inner().into_inner();
        tokio::select! {
            () = closed => {}
            () = linger(stream) => {}
        }
    }
}

/// Records an answer in the account, and asks the caller to close the connection if needed.
fn complete(
    mut answer: Response<Full<Bytes>>,
    connection: &Connection,
    is_last: bool,
) -> Response<Full<Bytes>> {
    connection.set_phase(Phase::Answer);
    let bytes = answer.body().size_hint().lower();
    connection.record_answer(usize::try_from(bytes).unwrap_or(usize::MAX));
    if is_last {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// Reads the rest of a refused request.
///
/// A connection that is closed with unread bytes is reset, and its caller may lose the answer.
async fn linger(mut stream: TcpStream) {
    const BUFFER_BYTES: usize = 4 << 10;
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut buffer = vec![0; BUFFER_BYTES];
    let read_all = async { while stream.read(&mut buffer).await.is_ok_and(|bytes| bytes > 0) {} };
    // The answer was given; what happens to the rest of the request doesn't matter.
    let _is_timed_out = tokio::time::timeout(LINGER_TIME, read_all).await.is_err();
}
