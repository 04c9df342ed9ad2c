//! Body of a caller's request, read into memory that is accounted for.

use std::convert::Infallible;
use std::rc::Rc;
use std::task::Poll;

use actix_web::web::Payload;
use bytes::Bytes;
use displaydoc::Display;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::Instant;

use crate::account::{Connection, Eviction, Phase};

/// Memory that `hyper` takes for chunks and trailers, in bytes.
const CHUNKED_BODY_BYTES: usize = 40 << 10;
/// Memory that `actix-http` takes for chunks, each of which has an entry in a queue, in bytes.
const CHUNKED_PAYLOAD_BYTES: usize = 96 << 10;

/// Body of a request that has not been read.
#[derive(Debug)]
pub struct CallerBody {
    incoming: Incoming,
    connection: Rc<Connection>,
}

/// Error that ends the reading of a body.
#[derive(Debug, Display, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BodyError<E> {
    /// the body is longer than {0} bytes
    TooLarge(usize),
    /// the body ended early
    Incomplete,
    /// the body was not complete in time
    TimedOut,
    /// there is no memory or connection left for the body
    NoRoom,
    /// the process stops
    Stopping,
    /// {0}
    Refused(E),
}

impl<E> From<Eviction> for BodyError<E> {
    fn from(eviction: Eviction) -> Self {
        match eviction {
            Eviction::NoRoom => Self::NoRoom,
            Eviction::Stopping => Self::Stopping,
        }
    }
}

impl CallerBody {
    pub(crate) fn new(incoming: Incoming, connection: Rc<Connection>) -> Self {
        Self { incoming, connection }
    }

    /// Reads the whole body of at most `max_bytes`.
    ///
    /// If it has not arrived together with the head, `check` is called once, before anything is
    /// waited for. It returns the time by which the body must be complete.
    ///
    /// # Errors
    /// Fails if the body is too large, incomplete or late, if there is no memory for it, if the
    /// process stops, or if `check` fails.
    pub async fn read<E>(
        mut self,
        max_bytes: usize,
        check: impl FnOnce() -> Result<Instant, E>,
    ) -> Result<Bytes, BodyError<E>> {
        if self.incoming.is_end_stream() {
            return Ok(Bytes::new());
        }
        let declared_bytes = self.incoming.size_hint().lower();
        if usize::try_from(declared_bytes).map_or(true, |bytes| bytes > max_bytes) {
            return Err(BodyError::TooLarge(max_bytes));
        }
        self.connection.set_phase(Phase::Body);
        if !self.read_available(max_bytes).await? {
            let until = check().map_err(BodyError::Refused)?;
            if self.incoming.size_hint().upper().is_none() {
                self.connection.charge_chunks(CHUNKED_BODY_BYTES)?;
            }
            self.read_until(until, max_bytes).await?;
        }
        let body = self.connection.take_whole_body()?;
        self.connection.set_phase(Phase::Service);
        Ok(body)
    }

    /// Reads what has arrived; true if the body is complete.
    async fn read_available<E>(&mut self, max_bytes: usize) -> Result<bool, BodyError<E>> {
        loop {
            let frame = {
                let mut frame = self.incoming.frame();
                std::future::poll_fn(|cx| {
                    Poll::Ready(match std::pin::Pin::new(&mut frame).poll(cx) {
                        Poll::Ready(frame) => Some(frame),
                        Poll::Pending => None,
                    })
                })
                .await
            };
            let Some(frame) = frame else { return Ok(false) };
            if self.append(frame, max_bytes)? {
                return Ok(true);
            }
        }
    }

    async fn read_until<E>(
        &mut self,
        until: Instant,
        max_bytes: usize,
    ) -> Result<(), BodyError<E>> {
        let connection = Rc::clone(&self.connection);
        let mut evicted = std::pin::pin!(connection.wait_evicted());
        let mut timeout = std::pin::pin!(tokio::time::sleep_until(until));
        loop {
            let frame = tokio::select! {
                biased;
                eviction = &mut evicted => return Err(eviction.into()),
                () = &mut timeout => return Err(BodyError::TimedOut),
                frame = self.incoming.frame() => frame,
            };
            if self.append(frame, max_bytes)? {
                return Ok(());
            }
        }
    }

    /// Appends a frame; true if it is the end of the body.
    fn append<E>(
        &self,
        frame: Option<hyper::Result<hyper::body::Frame<Bytes>>>,
        max_bytes: usize,
    ) -> Result<bool, BodyError<E>> {
        let Some(frame) = frame else { return Ok(true) };
        let frame = frame.map_err(|_| BodyError::Incomplete)?;
        self.connection.record_parsed();
        if let Some(data) = frame.data_ref() {
            append(&self.connection, data, max_bytes)?;
        }
        Ok(false)
    }
}

fn append<E>(connection: &Connection, data: &[u8], max_bytes: usize) -> Result<(), BodyError<E>> {
    if data.len() > max_bytes - connection.body_len() {
        return Err(BodyError::TooLarge(max_bytes));
    }
    Ok(connection.append(data)?)
}

/// Reads the whole body of at most `max_bytes` from an `actix-web` payload.
///
/// `until` is the time by which it must be complete.
///
/// # Errors
/// Fails if the body is too large, incomplete or late, if there is no memory for it, or if the
/// process stops.
pub async fn read_payload(
    connection: &Connection,
    mut payload: Payload,
    is_chunked: bool,
    max_bytes: usize,
    until: Instant,
) -> Result<Bytes, BodyError<Infallible>> {
    connection.set_phase(Phase::Body);
    if is_chunked {
        connection.charge_chunks(CHUNKED_PAYLOAD_BYTES)?;
    }
    let mut evicted = std::pin::pin!(connection.wait_evicted());
    let mut timeout = std::pin::pin!(tokio::time::sleep_until(until));
    loop {
        let part = tokio::select! {
            biased;
            eviction = &mut evicted => return Err(eviction.into()),
            () = &mut timeout => return Err(BodyError::TimedOut),
            part = payload.next() => part,
        };
        let Some(part) = part else { break };
        let part = part.map_err(|_| BodyError::Incomplete)?;
        connection.record_parsed();
        append(connection, &part, max_bytes)?;
    }
    let body = connection.take_whole_body()?;
    connection.set_phase(Phase::Service);
    Ok(body)
}
