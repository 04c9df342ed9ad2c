//! The immutable view of control state that traffic threads work from.

use std::net::SocketAddr;
use std::sync::Arc;

use eelgrasspier_decide::leaving::Leaving;
use eelgrasspier_decide::membership::State;
use eelgrasspier_decide::prelude::{ConfigVersion, Services};
use eelgrasspier_decide::share;

/// Another instance, as traffic threads need it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Key in member lists.
    pub key: u64,
    /// Where it takes peer connections.
    pub addr: SocketAddr,
    /// Whether it was heard to be ready.
    pub is_ready: bool,
}

/// One state of control, published as a whole.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Counts up with each view.
    pub serial: u64,
    /// Version of the text in force; `None` before there is one.
    pub version: Option<ConfigVersion>,
    /// The services of that text.
    pub services: Arc<Services>,
    /// Key of this instance in member lists.
    pub own_key: u64,
    /// Member lists that bound the share of connections.
    pub bounds: Vec<Vec<u64>>,
    /// Backend servers that are leaving.
    pub leaving: Leaving,
    /// The other live instances that are not leaving.
    pub peers: Vec<Peer>,
    /// What this instance says of itself.
    pub state: State,
}

impl View {
    /// Connections that this process may hold to `replica`.
    #[must_use]
    pub fn connection_share(&self, replica: u64, limit: u32) -> u32 {
        share::share_within(&self.bounds, self.own_key, replica, limit)
    }

    /// Whether callers can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state == State::Ready
    }

    /// Whether a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.state >= State::Leaving
    }
}
