//! One instance's own settings, checked.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrasspier_decide::allowance::RepeatLimits;
use eelgrasspier_decide::cold::ColdBounds;
use eelgrasspier_decide::homes::Regions;

/// One instance's own settings.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Name of the instance.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where callers connect.
    pub front_addr: SocketAddr,
    /// Where the balancer asks whether callers can be sent here.
    pub ready_addr: SocketAddr,
    /// Where other instances connect.
    pub peer_addr: SocketAddr,
    /// Where some of the other instances are, or were.
    pub seeds: Vec<SocketAddr>,
    /// Its processor time, in thousandths of a core.
    pub capacity_milli: u32,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// Where metrics are served.
    pub metrics_addr: Option<SocketAddr>,
    /// What all instances together may send twice.
    pub repeat_limits: RepeatLimits,
    /// Time between two reports of a replica to the store.
    pub heartbeat: Duration,
    /// Time from the signal to stop to the kill.
    pub grace: Duration,
    /// The region of each availability zone.
    pub regions: Regions,
    /// Whether operators evacuate availability zones by entries in the store.
    pub has_evacuations: bool,
    /// What cold replicas may get beyond what they stand.
    pub cold_bounds: ColdBounds,
}
