//! Opening connections, and finding out whether a server process has ended.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

use crate::failure::PartFailure;

/// Timeout for opening a connection. Zones are a few milliseconds apart and a server takes up to
/// 6 ms to accept, so a longer wait means that packets were lost or the server is full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a check for a listening server looks whether its connection is still open.
///
/// A process that ends closes its sockets one after another, and its listener may be the last. A
/// connection that is accepted or being opened meanwhile is reset.
pub(crate) const RECHECK_DELAY: Duration = Duration::from_millis(30);

/// Returns true if the server process has ended, that is, its address refuses connections.
pub async fn refuses_connections(addr: SocketAddr) -> bool {
    matches!(check_listening(addr).await, Err(PartFailure::NotListening))
}

/// Checks that a server listens; see [`crate::ConnectionPool::check_listening`].
pub(crate) async fn check_listening(addr: SocketAddr) -> Result<(), PartFailure> {
    let opened = connect(addr).await;
    if let Err(failure) = &opened
        && is_final(failure)
    {
        return Err(failure.clone());
    }
    actix_rt::time::sleep(RECHECK_DELAY).await;
    let is_open = |stream: TcpStream| {
        stream.try_read(&mut [0]).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    };
    if opened.is_ok_and(is_open) { Ok(()) } else { connect(addr).await.map(drop) }
}

/// True if another attempt to connect shows nothing else: the server has ended or is silent.
pub(crate) fn is_final(failure: &PartFailure) -> bool {
    *failure == PartFailure::NotListening || *failure == connect_timed_out()
}

/// Opens a connection.
pub(crate) async fn connect(addr: SocketAddr) -> Result<TcpStream, PartFailure> {
    let result = actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    result.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())).map_err(|error| {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => PartFailure::NotListening,
            io::ErrorKind::TimedOut => connect_timed_out(),
            _ => PartFailure::NotReached(error.to_string()),
        }
    })
}

/// Returns the failure of an attempt to connect that took too long.
pub(crate) fn connect_timed_out() -> PartFailure {
    PartFailure::NotReached("connect timed out".to_owned())
}
