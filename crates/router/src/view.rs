//! The immutable view of control state that the traffic thread works from.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use eelgrasspier_decide::directory::ReplicaEntry;
use eelgrasspier_decide::route::{Configuration, RouteTable};
use tokio::sync::Notify;

/// Another instance that gathers parts for others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Peer {
    /// Its name.
    pub(crate) name: Arc<str>,
    /// Where it takes connections of other instances.
    pub(crate) addr: SocketAddr,
    /// Its availability zone.
    pub(crate) zone: Arc<str>,
}

/// One state of control, published as a whole.
#[derive(Debug, Clone, Default)]
pub(crate) struct View {
    /// The configuration in force; `None` before there is one.
    pub(crate) configuration: Option<Arc<Configuration>>,
    /// Its routes.
    pub(crate) table: Arc<RouteTable>,
    /// Replicas that take new work, by service.
    pub(crate) replicas: Arc<HashMap<Arc<str>, Vec<Arc<ReplicaEntry>>>>,
    /// Whether the list of replicas was ever read.
    pub(crate) has_replicas: bool,
    /// Instances that share connections and repeats, this one included.
    pub(crate) instances: u64,
    /// The other live instances.
    pub(crate) peers: Arc<Vec<Peer>>,
}

impl View {
    /// Whether callers can be served.
    pub(crate) fn is_ready(&self) -> bool {
        self.configuration.is_some() && self.has_replicas
    }
}

/// What the threads of one process share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) view: ArcSwap<View>,
    /// Rings when a new view was published.
    pub(crate) has_changed: Notify,
    pub(crate) started: Instant,
}

impl Shared {
    pub(crate) fn new() -> Self {
        Self { view: ArcSwap::default(), has_changed: Notify::new(), started: Instant::now() }
    }

    /// Milliseconds since this process started.
    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub(crate) fn publish(&self, view: View) {
        self.view.store(Arc::new(view));
        self.has_changed.notify_one();
    }
}
