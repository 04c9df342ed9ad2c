//! The validated settings of one instance.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrasspier_decide::caller_budget::CallerBudget;
use eelgrasspier_decide::cold_limit::ColdTolerance;
use eelgrasspier_decide::customer_limits::LimitTolerance;
use eelgrasspier_decide::regions::Regions;
use eelgrasspier_decide::retry_budget::RetryLimits;

/// The validated settings of one instance.
#[derive(Debug, Clone)]
pub struct InstanceSettings {
    /// Name of the instance.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Address at which callers connect.
    pub caller_addr: SocketAddr,
    /// Address of the load balancer's readiness probe.
    pub readiness_addr: SocketAddr,
    /// Address at which other instances connect.
    pub peer_addr: SocketAddr,
    /// Addresses of some other instances; they may be stale.
    pub seed_addrs: Vec<SocketAddr>,
    /// Its CPU capacity, in thousandths of a core.
    pub capacity_milli: u32,
    /// Memory and connections that callers may hold.
    pub caller_budget: CallerBudget,
    /// True if the whole system starts for the first time.
    pub is_bootstrap: bool,
    /// Address at which metrics are served.
    pub metrics_addr: Option<SocketAddr>,
    /// Limits on retries by all instances together.
    pub retry_limits: RetryLimits,
    /// Interval between reports of a replica to the store.
    pub heartbeat_interval: Duration,
    /// Time from the stop signal to the kill.
    pub grace_period: Duration,
    /// The region of each availability zone.
    pub regions: Regions,
    /// True if operators evacuate availability zones by entries in the store.
    pub is_evacuation_enabled: bool,
    /// Tolerance above the rate limit of cold replicas.
    pub cold_tolerance: ColdTolerance,
    /// Tolerance above the rate limits of customers.
    pub limit_tolerance: LimitTolerance,
    /// Time without a confirmed configuration after which API keys are refused; `None` for never.
    pub revocation_timeout: Option<Duration>,
}
