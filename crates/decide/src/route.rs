//! Routes from a caller's request to a service or to shards.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use crate::customers::Customers;

/// Service in a weighted split.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the requests, relative to the other weights.
    pub weight: f64,
}

/// Target of the requests of a route.
#[derive(Debug, Clone, PartialEq)]
pub enum Target {
    /// One replica of one service.
    Service(Arc<str>),
    /// One replica of one of several services, selected by weight.
    Split(Vec<WeightedService>),
    /// One replica of each shard; every shard is a separate service.
    Shards(Arc<[Arc<str>]>),
}

/// Route of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name for logs and metrics.
    pub name: Arc<str>,
    /// Host in the requests of callers, in lower case.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Target of its requests.
    pub target: Target,
    /// True if a request may run more than once.
    pub is_idempotent: bool,
    /// Maximum number of replicas per shard that one request may be sent to.
    pub attempts: usize,
    /// Maximum time until a caller gets an answer, in milliseconds.
    pub timeout_ms: u64,
    /// Latency within which an answer has its full value, in milliseconds.
    pub target_latency_ms: u64,
    /// Priority, where 0 is the most urgent.
    pub priority: u32,
    /// Number of records in a merged answer.
    pub top_k: usize,
    /// Minimum fraction of the shards that an answer must cover, from 0 to 1.
    pub min_coverage: f64,
    /// Regions in which its requests may run; empty for no restriction.
    pub home_regions: Arc<[Arc<str>]>,
    /// True if its requests need no API key.
    pub is_public: bool,
}

impl Route {
    /// Returns the minimum number of `total` shards that an answer must cover.
    #[must_use]
    pub fn min_shards(&self, total: usize) -> usize {
        // A rounding error must not raise 0.9 x 10 = 9.000001 to 10.
        const ROUNDING_ERROR_SHARDS: f64 = 1e-9;
        let exact = self.min_coverage * f64::from(u32::try_from(total).unwrap_or(u32::MAX));
        let mut count = 1;
        while f64::from(u32::try_from(count).unwrap_or(u32::MAX)) + ROUNDING_ERROR_SHARDS < exact {
            count += 1;
        }
        count
    }
}

/// Size limits and timeouts for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Timeout for idle connections, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Generous limits that apply until a configuration sets its own.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 256 << 10,
            header_timeout_ms: 5_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Settings of a service in the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Number of connections that one replica accepts from all instances together.
    pub max_connections: u32,
    /// Path of the health check.
    pub health_path: String,
    /// Time for which a replica is cold after its start, in milliseconds.
    pub warm_up_ms: u64,
    /// Rate limit of a cold replica, in thousandths of a request per second; 0 for no limit.
    pub cold_rate_milli: u64,
}

/// Version of the operators' configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Configuration {
    /// Version number, which only increases.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, ServiceLimits>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Customers; `None` if requests need no API key.
    pub customers: Option<Arc<Customers>>,
}

/// Routes by host, with the longest prefix first.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    by_host: HashMap<String, Vec<Arc<Route>>>,
    /// Services that are shards of some route.
    shard_services: HashSet<Arc<str>>,
}

impl From<&Configuration> for RouteTable {
    fn from(configuration: &Configuration) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::clone(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.path_prefix.len()));
        }
        let shards = configuration.routes.iter().filter_map(|route| match &route.target {
            Target::Shards(shards) => Some(shards),
            Target::Service(_) | Target::Split(_) => None,
        });
        let shard_services = shards.flat_map(|shards| shards.iter().cloned()).collect();
        Self { by_host, shard_services }
    }
}

impl RouteTable {
    /// Returns the route of `host` with the longest matching prefix of `path`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = without_port(host).to_ascii_lowercase();
        self.by_host.get(&host)?.iter().find(|r| path.starts_with(&r.path_prefix))
    }

    /// Returns true if a service is a shard of some route.
    #[must_use]
    pub fn is_shard(&self, service: &str) -> bool {
        self.shard_services.contains(service)
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Smooth weighted round robin over the services of a split.
///
/// The credit of each service grows by its weight; the service with the highest credit is selected
/// and pays the sum of the weights. After any number of requests, each service is within about one
/// request of its share. Random selection would need thousands of requests to come as close.
#[derive(Debug, Clone, Default)]
pub struct WeightedRoundRobin {
    credits: HashMap<Arc<str>, f64>,
}

impl WeightedRoundRobin {
    /// Returns the next service of `split`.
    pub fn next_service(&mut self, split: &[WeightedService]) -> Option<Arc<str>> {
        let total: f64 = split.iter().map(|w| w.weight).sum();
        self.credits.retain(|service, _| split.iter().any(|w| w.service == *service));
        for weighted in split {
            *self.credits.entry(Arc::clone(&weighted.service)).or_default() += weighted.weight;
        }
        let credit =
            |w: &&WeightedService| self.credits.get(&w.service).copied().unwrap_or_default();
        let eligible = split.iter().filter(|w| w.weight > 0.0);
        let chosen = eligible.max_by(|a, b| credit(a).total_cmp(&credit(b)))?;
        let chosen = Arc::clone(&chosen.service);
        if let Some(credit) = self.credits.get_mut(&chosen) {
            *credit -= total;
        }
        Some(chosen)
    }
}
