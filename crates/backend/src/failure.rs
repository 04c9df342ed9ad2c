//! Errors of exchanges with backend servers.

use awc::error::{ConnectError, SendRequestError};
use displaydoc::Display;
use eelgrasspier_decide::verdict::Verdict;

use crate::report::ServerReport;

/// Reason why an exchange returned no usable answer.
#[derive(Debug, Display, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PartFailure {
    /// the backend server could not be reached: {0}
    NotReached(String),
    /// nothing listens at the backend server's address
    NotListening,
    /// the backend server shed the request
    Shed(Box<ServerReport>),
    /// the backend server does not hold the index version
    WrongVersion(Box<ServerReport>),
    /// the connection was lost: {0}
    Lost(String),
    /// no answer came in time
    TimedOut,
    /// the backend server answered with status {0}
    Status(u16),
    /// the answer is longer than {0} bytes
    TooLarge(usize),
    /// the answer does not fit into the {0} bytes for all answers
    NoMemory(usize),
    /// all connections that may be open to the backend server are in use
    Crowded,
    /// another backend server has the address now
    Misdirected,
    /// the answer can't be used: {0}
    Unusable(String),
}

impl PartFailure {
    /// Returns the verdict on whether the backend server may have run the request.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::NotReached(_)
            | Self::NotListening
            | Self::Shed(_)
            | Self::WrongVersion(_)
            | Self::Crowded
            | Self::Misdirected => Verdict::NotRun,
            Self::Lost(_)
            | Self::TimedOut
            | Self::Status(_)
            | Self::TooLarge(_)
            | Self::NoMemory(_)
            | Self::Unusable(_) => Verdict::MayHaveRun,
        }
    }

    /// Returns the failure kind used as a metric label.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::NotReached(_) => "not_reached",
            Self::NotListening => "not_listening",
            Self::Shed(_) => "shed",
            Self::WrongVersion(_) => "wrong_version",
            Self::Lost(_) => "lost",
            Self::TimedOut => "timed_out",
            Self::Status(_) => "status",
            Self::TooLarge(_) => "too_large",
            Self::NoMemory(_) => "no_memory",
            Self::Crowded => "crowded",
            Self::Misdirected => "misdirected",
            Self::Unusable(_) => "unusable",
        }
    }

    /// Returns true if another replica may succeed.
    #[must_use]
    pub fn is_retryable(&self) -> bool {
        !matches!(self, Self::Status(400..=499) | Self::TooLarge(_))
    }
}

impl From<&SendRequestError> for PartFailure {
    /// Classifies an error of the HTTP client.
    ///
    /// Only a failure before any byte was written proves that the request did not run. `awc`
    /// reports a server that read the whole request and then closed the connection as
    /// `Connect(Disconnected)`. Mapping that to [`PartFailure::NotReached`] would report "not run"
    /// for a request that ran, and the caller's retry would run it a second time.
    fn from(error: &SendRequestError) -> Self {
        match error {
            SendRequestError::Timeout => Self::TimedOut,
            SendRequestError::Url(_) => Self::NotReached(error.to_string()),
            SendRequestError::Connect(connect) if failed_before_connecting(connect) => {
                Self::NotReached(error.to_string())
            }
            _ => Self::Lost(error.to_string()),
        }
    }
}

fn failed_before_connecting(error: &ConnectError) -> bool {
    use std::io::ErrorKind;
    match error {
        ConnectError::Timeout | ConnectError::Resolver(_) | ConnectError::NoRecords => true,
        ConnectError::Io(io) => {
            let kinds = [
                ErrorKind::ConnectionRefused,
                ErrorKind::HostUnreachable,
                ErrorKind::NetworkUnreachable,
                ErrorKind::AddrNotAvailable,
            ];
            kinds.contains(&io.kind())
        }
        _ => false,
    }
}

/// Checks that a body has no transfer coding but `chunked`, which the clients decode.
///
/// They would give out other bodies encoded, or as empty ones.
pub(crate) fn check_transfer_codings<'a>(
    mut codings: impl Iterator<Item = &'a [u8]>,
) -> Result<(), PartFailure> {
    let is_supported = match (codings.next(), codings.next()) {
        (None, _) => true,
        (Some(coding), None) => coding.eq_ignore_ascii_case(b"chunked"),
        (Some(_), Some(_)) => false,
    };
    if is_supported {
        return Ok(());
    }
    Err(PartFailure::Unusable("the transfer coding is not supported".to_owned()))
}
