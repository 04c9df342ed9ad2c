//! Immutable view of the control state for the traffic threads.

use std::net::SocketAddr;
use std::sync::Arc;

use eelgrasspier_decide::draining::DrainingServers;
use eelgrasspier_decide::membership::InstanceState;
use eelgrasspier_decide::prelude::{ConfigVersion, Services};
use eelgrasspier_decide::share;

/// Another instance, as seen by traffic threads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Key of the instance in member lists.
    pub key: u64,
    /// Address for peer connections.
    pub addr: SocketAddr,
    /// True if the instance announced that it is ready.
    pub is_ready: bool,
}

/// Control state, published as a whole.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Serial number, incremented with each view.
    pub serial: u64,
    /// Version of the text in force; `None` if there is none yet.
    pub version: Option<ConfigVersion>,
    /// Services defined by that text.
    pub services: Arc<Services>,
    /// Key of this instance in member lists.
    pub own_key: u64,
    /// Member lists that limit the connection shares.
    pub share_bounds: Vec<Vec<u64>>,
    /// Backend servers that are leaving.
    pub leaving: DrainingServers,
    /// Other live instances that are not leaving.
    pub peers: Vec<Peer>,
    /// State that this instance announces.
    pub state: InstanceState,
}

impl View {
    /// Returns the number of connections this process may open to `replica`.
    #[must_use]
    pub fn connection_share(&self, replica: u64, limit: u32) -> u32 {
        share::min_share(&self.share_bounds, self.own_key, replica, limit)
    }

    /// Returns true if the instance can serve callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state == InstanceState::Ready
    }

    /// Returns true if a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.state >= InstanceState::Leaving
    }
}
