//! Whole bodies from `awc`, which takes the end of a connection for the end of any body.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::{Service, ServiceExt};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::error::PayloadError;
use awc::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use awc::http::{Uri, Version};
use awc::{ClientResponse, Connector};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Connection whose reads fail once the server has closed it.
#[derive(Debug)]
pub struct StrictStream(TcpStream);

/// Returns a connector to servers whose bodies are read by [`read_body`].
#[must_use]
pub fn strict_connector() -> Connector<
    impl Service<ConnectInfo<Uri>, Response = Connection<Uri, StrictStream>, Error = ConnectError>
    + Clone,
> {
    let service = actix_tls::connect::Connector::default().service();
    Connector::new().connector(service.map(|connection: Connection<Uri, TcpStream>| {
        let (stream, connection) = connection.replace_io(());
        connection.replace_io(StrictStream(stream)).1
    }))
}

/// Reads a body of at most `max_bytes` from a connection of a [`strict_connector`].
///
/// Without a length, a body of HTTP/1.0 ends with its connection; `awc` skips one of HTTP/1.1.
///
/// # Errors
/// Fails if the body is too long, the connection ends before it, or a body was skipped.
pub async fn read_body<S>(
    answer: &mut ClientResponse<S>,
    max_bytes: usize,
) -> Result<Bytes, PayloadError>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let headers = answer.headers();
    if headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING) {
        return answer.body().limit(max_bytes).await;
    }
    if answer.version() != Version::HTTP_10 {
        return Err(PayloadError::UnknownLength);
    }
    let mut body = BytesMut::new();
    while let Some(part) = answer.next().await {
        match part {
            Ok(part) if part.len() > max_bytes - body.len() => return Err(PayloadError::Overflow),
            Ok(part) => body.extend_from_slice(&part),
            Err(error) if is_closed(&error) => break,
            Err(error) => return Err(error),
        }
    }
    Ok(body.freeze())
}

/// True if the server has closed the connection, rather than reset it.
fn is_closed(error: &PayloadError) -> bool {
    let (PayloadError::Incomplete(Some(error)) | PayloadError::Io(error)) = error else {
        return false;
    };
    error.kind() == io::ErrorKind::UnexpectedEof
}

impl AsyncRead for StrictStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.remaining();
        ready!(Pin::new(&mut self.0).poll_read(cx, buffer))?;
        let is_closed = before > 0 && buffer.remaining() == before;
        Poll::Ready(if is_closed { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(()) })
    }
}

impl AsyncWrite for StrictStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }
}

impl ActixStream for StrictStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, cx)
    }
}
