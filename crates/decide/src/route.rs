//! Routes: which service, or which shards, a caller's request goes to.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// One service of a weighted split.
#[derive(Debug, Clone, PartialEq)]
pub struct Weighted {
    /// Name of the service.
    pub service: Arc<str>,
    /// Its part of the requests, relative to the others'.
    pub weight: f64,
}

/// Where the requests of a route go.
#[derive(Debug, Clone, PartialEq)]
pub enum Target {
    /// To one replica of one service.
    Service(Arc<str>),
    /// To one replica of one of several services, chosen by weight.
    Split(Vec<Weighted>),
    /// To one replica of each shard; every shard is a service of its own.
    Shards(Arc<[Arc<str>]>),
}

/// One route of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: Arc<str>,
    /// Host that callers name, in lower case.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Where its requests go.
    pub target: Target,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Replicas that one request may be sent to, for each shard.
    pub attempts: usize,
    /// Longest time that a caller is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is worth most, in milliseconds.
    pub target_latency_ms: u64,
    /// Rank, where 0 is the most urgent.
    pub rank: u32,
    /// Records of a merged answer.
    pub top_k: usize,
    /// Least share of the shards that an answer must cover, 0 to 1.
    pub least_share: f64,
    /// Regions in which its requests may run; none for anywhere.
    pub home_regions: Arc<[Arc<str>]>,
}

impl Route {
    /// Shards that an answer must cover at least, of `total`.
    #[must_use]
    pub fn least_shards(&self, total: usize) -> usize {
        // Rounding must not lift 0.9 x 10 = 9.000001 to 10.
        const ROUNDING: f64 = 1e-9;
        let exact = self.least_share * f64::from(u32::try_from(total).unwrap_or(u32::MAX));
        let mut least = 1;
        while f64::from(u32::try_from(least).unwrap_or(u32::MAX)) + ROUNDING < exact {
            least += 1;
        }
        least
    }
}

/// What callers may send, and how long they may take or stay idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time for which a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Generous bounds until a configuration says its own.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 256 << 10,
            header_timeout_ms: 5_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// What the configuration says of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Connections that one of its replicas accepts from all instances together.
    pub max_connections: u32,
    /// Path of its health check.
    pub health_path: String,
    /// Time for which a replica is cold after its start, in milliseconds.
    pub warm_up_ms: u64,
    /// Requests that a cold replica stands, in thousandths of one a second; 0 for no bound.
    pub cold_rate_milli: u64,
}

/// One version of the operators' configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Configuration {
    /// Its version; versions only grow.
    pub version: u64,
    /// Its routes.
    pub routes: Vec<Arc<Route>>,
    /// Its services by name.
    pub services: BTreeMap<Arc<str>, ServiceLimits>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

/// Routes by host, the longest prefix first.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    by_host: HashMap<String, Vec<Arc<Route>>>,
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
        Self { by_host }
    }
}

impl RouteTable {
    /// The route of `host` with the longest prefix that begins `path`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = without_port(host).to_ascii_lowercase();
        self.by_host.get(&host)?.iter().find(|r| path.starts_with(&r.path_prefix))
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Deals requests to the services of a split in the proportion of their weights.
///
/// Each service's credit grows by its weight; the highest is served and pays the sum.
/// After any number of requests each service is within one request of its part, where
/// random choice would need thousands to come that near.
#[derive(Debug, Clone, Default)]
pub struct Dealer {
    credits: HashMap<Arc<str>, f64>,
}

impl Dealer {
    /// The service of `split` that is next.
    pub fn next(&mut self, split: &[Weighted]) -> Option<Arc<str>> {
        let total: f64 = split.iter().map(|w| w.weight).sum();
        self.credits.retain(|service, _| split.iter().any(|w| w.service == *service));
        for part in split {
            *self.credits.entry(Arc::clone(&part.service)).or_default() += part.weight;
        }
        let credit = |w: &&Weighted| self.credits.get(&w.service).copied().unwrap_or_default();
        let served = split.iter().filter(|w| w.weight > 0.0);
        let chosen = served.max_by(|a, b| credit(a).total_cmp(&credit(b)))?;
        let chosen = Arc::clone(&chosen.service);
        if let Some(credit) = self.credits.get_mut(&chosen) {
            *credit -= total;
        }
        Some(chosen)
    }
}
