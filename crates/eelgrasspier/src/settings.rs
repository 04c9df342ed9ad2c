//! Settings of the daemon, read from an INI file and validated as a whole.

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;

use displaydoc::Display;
use eelgrasspier_caller::{max_open_descriptors, memory_bytes};
use eelgrasspier_decide::caller_budget::CallerBudget;
use eelgrasspier_decide::replica::SelectionPolicy;
use eelgrasspier_decide::service_config::is_valid_name;
use ini::Ini;

/// Memory of a machine whose size can't be read, in bytes.
const DEFAULT_MEMORY_BYTES: u64 = 256_000_000;
/// Descriptors of a process whose limit can't be read.
const DEFAULT_MAX_DESCRIPTORS: u64 = 1024;
/// Default time in milliseconds for which a stopping instance continues to serve.
const DEFAULT_LAME_DUCK_MS: u64 = 5_000;
/// Default time in milliseconds for requests in progress to finish.
const DEFAULT_STOP_LIMIT_MS: u64 = 30_000;
/// Default timeout of a call to the platform in milliseconds.
const DEFAULT_PLATFORM_TIMEOUT_MS: u64 = 1_000;
/// Default quantile of the part latency after which a hedge is sent, per mille.
const DEFAULT_HEDGE_PER_MILLE: u32 = 950;

/// Settings of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of the instance in the platform's instance list.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Address for callers and operators; port 0 picks a free port.
    pub http_addr: SocketAddr,
    /// Address for peers, over TCP and UDP; port 0 picks a free port.
    pub peer_addr: SocketAddr,
    /// Number of threads that serve callers.
    pub traffic_threads: usize,
    /// Peers to contact while no other instance is known, such as when the platform is unreachable.
    pub seeds: Vec<SocketAddr>,
    /// Time for which a stopping instance continues to serve until load balancers notice, in
    /// milliseconds.
    pub lame_duck_ms: u64,
    /// Time for requests in progress to finish after that, in milliseconds.
    pub stop_limit_ms: u64,
    /// Token required to submit edits; without it all edits are refused.
    pub admin_token: Option<String>,
    /// Memory and connections that callers may hold.
    pub caller_budget: CallerBudget,
    /// Base URL of the platform's object API.
    pub platform_url: String,
    /// Timeout of a call to the platform, in milliseconds.
    pub platform_timeout_ms: u64,
    /// Policy options, which allow policies to be compared.
    pub policy: Policy,
}

/// Policy options.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Replica selection policy.
    pub choice: SelectionPolicy,
    /// Quantile of the part latency after which a hedge is sent, per mille; 0 disables hedging.
    pub hedge_per_mille: u32,
}

/// Error in the settings.
#[derive(Debug, Display, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// cannot read {path}: {reason}
    Unreadable {
        /// Path of the file.
        path: String,
        /// Reason.
        reason: String,
    },
    /// [{section}] {key} is missing
    Missing {
        /// Section.
        section: &'static str,
        /// Key.
        key: &'static str,
    },
    /// [{section}] {key} = {value} is invalid
    BadValue {
        /// Section.
        section: &'static str,
        /// Key.
        key: &'static str,
        /// Value in the file.
        value: String,
    },
    /// [{section}] {key} is an unknown setting
    Unknown {
        /// Section.
        section: String,
        /// Key.
        key: String,
    },
}

const INSTANCE: &str = "instance";
const PLATFORM: &str = "platform";
const POLICY: &str = "policy";

/// All known settings; any other key is rejected, which catches misspellings.
const KNOWN_SETTINGS: [(&str, &str); 15] = [
    (INSTANCE, "name"),
    (INSTANCE, "zone"),
    (INSTANCE, "http"),
    (INSTANCE, "peer"),
    (INSTANCE, "traffic_threads"),
    (INSTANCE, "seeds"),
    (INSTANCE, "lame_duck_ms"),
    (INSTANCE, "stop_limit_ms"),
    (INSTANCE, "admin_token"),
    (INSTANCE, "memory_mb"),
    (INSTANCE, "max_descriptors"),
    (PLATFORM, "url"),
    (PLATFORM, "timeout_ms"),
    (POLICY, "replica_choice"),
    (POLICY, "hedge_per_mille"),
];

impl TryFrom<&Path> for Settings {
    type Error = SettingsError;

    fn try_from(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|e| SettingsError::Unreadable {
            path: path.display().to_string(),
            reason: e.to_string(),
        })?;
        Self::try_from(text.as_str())
    }
}

impl TryFrom<&str> for Settings {
    type Error = SettingsError;

    fn try_from(text: &str) -> Result<Self, SettingsError> {
        let ini = Ini::load_from_str_noescape(text).map_err(|e| SettingsError::Unreadable {
            path: "settings".to_owned(),
            reason: e.to_string(),
        })?;
        check_known_keys(&ini)?;
        let name: String = required(&ini, INSTANCE, "name")?;
        let zone: String = required(&ini, INSTANCE, "zone")?;
        for (key, value) in [("name", &name), ("zone", &zone)] {
            if !is_valid_name(value) {
                let value = value.clone();
                return Err(SettingsError::BadValue { section: INSTANCE, key, value });
            }
        }
        Ok(Self {
            name,
            zone,
            http_addr: required(&ini, INSTANCE, "http")?,
            peer_addr: required(&ini, INSTANCE, "peer")?,
            traffic_threads: optional(&ini, INSTANCE, "traffic_threads")?.unwrap_or(1).max(1),
            seeds: list(&ini, INSTANCE, "seeds")?,
            lame_duck_ms: optional(&ini, INSTANCE, "lame_duck_ms")?.unwrap_or(DEFAULT_LAME_DUCK_MS),
            stop_limit_ms: optional(&ini, INSTANCE, "stop_limit_ms")?
                .unwrap_or(DEFAULT_STOP_LIMIT_MS),
            admin_token: optional(&ini, INSTANCE, "admin_token")?,
            caller_budget: read_caller_budget(&ini)?,
            platform_url: required(&ini, PLATFORM, "url")?,
            platform_timeout_ms: optional(&ini, PLATFORM, "timeout_ms")?
                .unwrap_or(DEFAULT_PLATFORM_TIMEOUT_MS),
            policy: read_policy(&ini)?,
        })
    }
}

fn read_caller_budget(ini: &Ini) -> Result<CallerBudget, SettingsError> {
    const MB: u64 = 1_000_000;
    let memory_mb: Option<u64> = optional(ini, INSTANCE, "memory_mb")?;
    let memory_bytes = memory_mb.map(|mb| mb.saturating_mul(MB)).or_else(memory_bytes);
    let max_descriptors = optional(ini, INSTANCE, "max_descriptors")?.or_else(max_open_descriptors);
    Ok(CallerBudget::of_machine(
        memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES),
        max_descriptors.unwrap_or(DEFAULT_MAX_DESCRIPTORS),
    ))
}

fn read_policy(ini: &Ini) -> Result<Policy, SettingsError> {
    let key = "replica_choice";
    let choice = match ini.get_from(Some(POLICY), key) {
        None | Some("least-cost") => SelectionPolicy::LeastCost,
        Some("random") => SelectionPolicy::Random,
        Some(value) => {
            let value = value.to_owned();
            return Err(SettingsError::BadValue { section: POLICY, key, value });
        }
    };
    let hedge_per_mille =
        optional(ini, POLICY, "hedge_per_mille")?.unwrap_or(DEFAULT_HEDGE_PER_MILLE);
    Ok(Policy { choice, hedge_per_mille })
}

fn check_known_keys(ini: &Ini) -> Result<(), SettingsError> {
    for (section, properties) in ini {
        let section = section.unwrap_or_default();
        for (key, _) in properties {
            if !KNOWN_SETTINGS.contains(&(section, key)) {
                let (section, key) = (section.to_owned(), key.to_owned());
                return Err(SettingsError::Unknown { section, key });
            }
        }
    }
    Ok(())
}

fn optional<T: FromStr>(
    ini: &Ini,
    section: &'static str,
    key: &'static str,
) -> Result<Option<T>, SettingsError> {
    let Some(value) = ini.get_from(Some(section), key) else { return Ok(None) };
    let bad = || SettingsError::BadValue { section, key, value: value.to_owned() };
    value.trim().parse().map(Some).map_err(|_| bad())
}

fn required<T: FromStr>(
    ini: &Ini,
    section: &'static str,
    key: &'static str,
) -> Result<T, SettingsError> {
    optional(ini, section, key)?.ok_or(SettingsError::Missing { section, key })
}

fn list<T: FromStr>(
    ini: &Ini,
    section: &'static str,
    key: &'static str,
) -> Result<Vec<T>, SettingsError> {
    let text = ini.get_from(Some(section), key).unwrap_or_default();
    let entries = text.split(',').map(str::trim).filter(|e| !e.is_empty());
    let bad = |e: &str| SettingsError::BadValue { section, key, value: e.to_owned() };
    entries.map(|e| e.parse().map_err(|_| bad(e))).collect()
}
