//! Connection of a caller whose reads and writes are recorded in the account.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::account::{Connection, Phase};

/// Bytes that `actix-http` reads before it processes them.
const MAX_READ_BYTES: usize = 8 << 10;

/// Stream whose reads and writes are recorded in the account.
#[derive(Debug)]
pub struct AccountedStream {
    stream: TcpStream,
    connection: Rc<Connection>,
    /// Bytes after which a reader has to process what it has read.
    max_read_bytes: usize,
    read_bytes: usize,
}

impl AccountedStream {
    /// Creates a stream that is read without pauses.
    pub(crate) fn new(stream: TcpStream, connection: Rc<Connection>) -> Self {
        Self { stream, connection, max_read_bytes: usize::MAX, read_bytes: 0 }
    }

    /// Creates a stream for `actix-http`, which reads on until nothing is left.
    ///
    /// The stream makes it process what it has read every few kilobytes, so that its buffer stays
    /// small.
    #[must_use]
    pub fn with_pauses(stream: TcpStream, connection: Rc<Connection>) -> Self {
        Self { stream, connection, max_read_bytes: MAX_READ_BYTES, read_bytes: 0 }
    }

    /// Returns the connection in the account.
    #[must_use]
    pub fn connection(&self) -> &Rc<Connection> {
        &self.connection
    }

    pub(crate) fn into_inner(self) -> TcpStream {
        self.stream
    }
}

impl AsyncRead for AccountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read_bytes >= self.max_read_bytes {
            self.read_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if read.is_pending() {
            self.read_bytes = 0;
        }
        ready!(read)?;
        let bytes = buf.filled().len() - before;
        self.read_bytes += bytes;
        if bytes > 0 && !self.connection.record_read(bytes) {
            return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for AccountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Servers flush once they have written all their data, so that an answer is complete.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        if self.connection.phase() == Phase::Answer {
            self.connection.set_phase(Phase::Head);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
