//! The daemon's own settings: a small INI, checked as a whole.

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;

use displaydoc::Display;
use eelgrasspier_decide::replica::Choice;
use eelgrasspier_decide::text::is_name;
use ini::Ini;

/// Time in milliseconds for which a stopping instance still serves by default.
const DEFAULT_LAME_DUCK_MS: u64 = 5_000;
/// Time in milliseconds in which requests in progress must end by default.
const DEFAULT_STOP_LIMIT_MS: u64 = 30_000;
/// Time-out of a call to the platform in milliseconds by default.
const DEFAULT_PLATFORM_TIMEOUT_MS: u64 = 1_000;
/// Part latency quantile after which a hedge is sent by default, in thousandths.
const DEFAULT_HEDGE_PER_MILLE: u32 = 950;

/// Settings of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of the instance, as the platform lists it.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where callers and operators are served; port 0 picks a free one.
    pub http_addr: SocketAddr,
    /// Where peers are served, over TCP and UDP; port 0 picks a free one.
    pub peer_addr: SocketAddr,
    /// Threads that serve callers.
    pub traffic_threads: usize,
    /// Peers to ask where the platform can't be.
    pub seeds: Vec<SocketAddr>,
    /// Time for which a stopping instance still serves, so that balancers notice.
    pub lame_duck_ms: u64,
    /// Time in which requests in progress must end after that.
    pub stop_limit_ms: u64,
    /// Token that operators must show to submit; without it edits are refused.
    pub admin_token: Option<String>,
    /// Base address of the platform's object API.
    pub platform_url: String,
    /// Time-out of a call to the platform.
    pub platform_timeout_ms: u64,
    /// Policy switches, for comparison.
    pub policy: Policy,
}

/// Policy switches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// How a replica is chosen.
    pub choice: Choice,
    /// Part latency quantile after which a hedge is sent, in thousandths; 0 for never.
    pub hedge_per_mille: u32,
}

/// The settings can't be used.
#[derive(Debug, Display, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// {path} can't be read: {reason}
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        reason: String,
    },
    /// [{section}] {key} is missing
    Missing {
        /// The section.
        section: &'static str,
        /// The setting.
        key: &'static str,
    },
    /// [{section}] {key} = {value} makes no sense
    BadValue {
        /// The section.
        section: &'static str,
        /// The setting.
        key: &'static str,
        /// What it says.
        value: String,
    },
    /// [{section}] {key} is not a setting
    Unknown {
        /// The section.
        section: String,
        /// The setting.
        key: String,
    },
}

const INSTANCE: &str = "instance";
const PLATFORM: &str = "platform";
const POLICY: &str = "policy";

/// Every setting, so that a misspelt one is noticed.
const KNOWN_SETTINGS: [(&str, &str); 13] = [
    (INSTANCE, "name"),
    (INSTANCE, "zone"),
    (INSTANCE, "http"),
    (INSTANCE, "peer"),
    (INSTANCE, "traffic_threads"),
    (INSTANCE, "seeds"),
    (INSTANCE, "lame_duck_ms"),
    (INSTANCE, "stop_limit_ms"),
    (INSTANCE, "admin_token"),
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
            if !is_name(value) {
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
            platform_url: required(&ini, PLATFORM, "url")?,
            platform_timeout_ms: optional(&ini, PLATFORM, "timeout_ms")?
                .unwrap_or(DEFAULT_PLATFORM_TIMEOUT_MS),
            policy: read_policy(&ini)?,
        })
    }
}

fn read_policy(ini: &Ini) -> Result<Policy, SettingsError> {
    let key = "replica_choice";
    let choice = match ini.get_from(Some(POLICY), key) {
        None | Some("least-cost") => Choice::LeastCost,
        Some("random") => Choice::Random,
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
