//! How an exchange with a backend server can fail.

use awc::error::{ConnectError, SendRequestError};
use displaydoc::Display;
use eelgrasspier_decide::verdict::Verdict;

use crate::report::Report;

/// An exchange that brought no usable answer.
#[derive(Debug, Display, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PartFailure {
    /// the backend server could not be reached: {0}
    NotReached(String),
    /// nothing listens at the backend server's address
    NotListening,
    /// the backend server shed the request
    Shed(Box<Report>),
    /// the backend server does not hold the index version
    WrongVersion(Box<Report>),
    /// the connection was lost: {0}
    Lost(String),
    /// no answer came in time
    TimedOut,
    /// the backend server answered with status {0}
    Status(u16),
    /// the answer is longer than {0} bytes
    TooLarge(usize),
    /// all connections that may be open to the backend server are in use
    Crowded,
    /// another backend server has the address now
    Misdirected,
    /// the answer can't be used: {0}
    Unusable(String),
}

impl PartFailure {
    /// Whether the request may have run on the backend server.
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
            | Self::Unusable(_) => Verdict::MayHaveRun,
        }
    }

    /// What kind of failure it is, as a label.
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
            Self::Crowded => "crowded",
            Self::Misdirected => "misdirected",
            Self::Unusable(_) => "unusable",
        }
    }

    /// Whether another replica may do better.
    #[must_use]
    pub fn is_retryable(&self) -> bool {
        !matches!(self, Self::Status(400..=499) | Self::TooLarge(_))
    }
}

impl From<&SendRequestError> for PartFailure {
    /// Only a failure before any byte could go out says that nothing ran.
    ///
    /// awc reports a server that read the whole request and closed the connection
    /// as `Connect(Disconnected)`. Taken for "not reached", a request that ran
    /// would be refused as not run; the caller would notice a second run.
    fn from(error: &SendRequestError) -> Self {
        match error {
            SendRequestError::Timeout => Self::TimedOut,
            SendRequestError::Url(_) => Self::NotReached(error.to_string()),
            SendRequestError::Connect(connect) if is_before_connection(connect) => {
                Self::NotReached(error.to_string())
            }
            _ => Self::Lost(error.to_string()),
        }
    }
}

fn is_before_connection(error: &ConnectError) -> bool {
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
