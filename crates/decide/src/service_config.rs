//! Parser for the operators' configuration text: services, their shards and dependencies.
//!
//! The text is INI. Each section is a service; `shard.N` lists the replicas of shard N as
//! `availability-zone@address`. Every error is reported with its line.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use ini::{Ini, Properties};

use crate::prelude::ShardId;
use crate::rendezvous;
use crate::text_error::{Lines, first_line};
pub use crate::text_error::{ProblemKind, TextError, TextErrors};

/// Maximum size of the text in bytes; the platform stores up to 1 MB.
pub const MAX_TEXT_BYTES: usize = 900 * 1024;

/// Default deadline in milliseconds; 0 means none, so callers must set one.
const DEFAULT_DEADLINE_MS: u64 = 0;
/// Default for the maximum deadline that a caller may set, in milliseconds.
const DEFAULT_MAX_DEADLINE_MS: u64 = 30_000;
/// Default for the number of connections that a replica accepts.
const DEFAULT_CONNECTIONS: u32 = 25;
/// Default for the number of requests that a replica runs at a time.
const DEFAULT_SLOTS: u32 = 2;
/// Default for the number of hedges, in percent of ordinary parts.
const DEFAULT_HEDGE_PERCENT: u32 = 5;
/// Default for the maximum size of a request body, in bytes.
const DEFAULT_MAX_REQUEST_BYTES: usize = 64 * 1024;
/// Default for the maximum size of a part of an answer, in bytes.
const DEFAULT_MAX_PART_BYTES: usize = 256 * 1024;
/// Maximum number of shards of one service.
const MAX_SHARDS: u32 = 10_000;

/// Replica of a shard: address and availability zone of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaSpec {
    /// Hash of the address; the same on every instance.
    pub id: u64,
    /// Listen address.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: String,
}

/// Service as configured by the operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name in the callers' URLs.
    pub name: String,
    /// Replicas of each shard, by shard number.
    pub shards: Vec<Vec<ReplicaSpec>>,
    /// Total number of connections that each replica accepts.
    pub connections: u32,
    /// Number of these connections reserved for runs; 0 if the service accepts no runs.
    pub run_connections: u32,
    /// Number of requests that each replica runs at a time.
    pub slots: u32,
    /// Deadline in milliseconds if the caller sets none; 0 means that the caller must set one.
    pub deadline_ms: u64,
    /// Maximum deadline that a caller may set, in milliseconds.
    pub max_deadline_ms: u64,
    /// Maximum number of hedges, in percent of ordinary parts.
    pub hedge_percent: u32,
    /// Maximum size of a request body in bytes.
    pub max_request_bytes: usize,
    /// Maximum size of a part of an answer in bytes.
    pub max_part_bytes: usize,
    /// Weight of each team that may use the service; empty if any team may.
    pub teams: BTreeMap<String, u32>,
    /// Services whose index versions must match the version of this one.
    pub depends_on: Vec<String>,
}

/// Services of one version of the text.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Services {
    /// Services by name.
    pub by_name: BTreeMap<String, Arc<Service>>,
}

impl TryFrom<&str> for Services {
    type Error = TextErrors;

    fn try_from(text: &str) -> Result<Self, TextErrors> {
        let mut reader = Reader { lines: Lines::new(text), errors: Vec::new() };
        let services = reader.read(text);
        if reader.errors.is_empty() {
            return Ok(services);
        }
        reader.errors.sort_by_key(|e| e.line);
        reader.errors.dedup();
        Err(TextErrors(reader.errors))
    }
}

impl Services {
    /// Returns a service and all its direct and indirect dependencies.
    #[must_use]
    pub fn with_dependencies(&self, name: &str) -> Vec<&Arc<Service>> {
        let mut seen = BTreeSet::new();
        let mut pending = vec![name];
        let mut found = Vec::new();
        while let Some(next) = pending.pop() {
            let Some(service) = self.by_name.get(next) else { continue };
            if seen.insert(next) {
                pending.extend(service.depends_on.iter().map(String::as_str));
                found.push(service);
            }
        }
        found
    }
}

/// Section that is being parsed.
struct Section<'a> {
    line: usize,
    properties: &'a Properties,
}

struct Reader<'a> {
    lines: Lines<'a>,
    errors: Vec<TextError>,
}

impl Reader<'_> {
    fn fail(&mut self, line: usize, problem: ProblemKind) {
        self.errors.push(TextError { line, problem });
    }

    fn read(&mut self, text: &str) -> Services {
        let mut services = Services::default();
        if text.len() > MAX_TEXT_BYTES {
            self.fail(1, ProblemKind::TooLong { size_bytes: text.len() });
            return services;
        }
        let ini = match Ini::load_from_str_noescape(text) {
            Ok(ini) => ini,
            Err(error) => {
                // The library counts from 0, and reports a line past the end if something is
                // missing.
                let line = (error.line + 1).clamp(1, self.lines.lines.len().max(1));
                self.fail(line, ProblemKind::Syntax(error.msg.to_string()));
                return services;
            }
        };
        for (name, properties) in &ini {
            self.read_section(name, properties, &mut services);
        }
        if services.by_name.is_empty() && self.errors.is_empty() {
            self.fail(1, ProblemKind::NoService);
        }
        self.check_dependencies(&services);
        services
    }

    fn read_section(&mut self, name: Option<&str>, properties: &Properties, into: &mut Services) {
        let Some(name) = name else {
            let stray_keys = properties.iter().map(|(k, _)| first_line(k).to_owned());
            let stray_keys: Vec<String> = stray_keys.collect();
            for key in stray_keys {
                let line = self.lines.key(0, &key, 0);
                self.fail(line, ProblemKind::OutsideSection(key));
            }
            return;
        };
        let nth = usize::from(into.by_name.contains_key(name));
        let line = self.lines.section(name, nth);
        if nth > 0 {
            return self.fail(line, ProblemKind::DuplicateService(name.to_owned()));
        }
        if !is_valid_name(name) {
            return self.fail(line, ProblemKind::BadName(name.to_owned()));
        }
        let section = Section { line, properties };
        let service = self.read_service(name, &section);
        into.by_name.insert(name.to_owned(), Arc::new(service));
    }

    fn read_service(&mut self, name: &str, section: &Section<'_>) -> Service {
        self.check_keys(section);
        let service = Service {
            name: name.to_owned(),
            shards: self.read_shards(name, section),
            connections: self.number(section, "connections", DEFAULT_CONNECTIONS, 1, 10_000),
            run_connections: self.number(section, "run_connections", 0, 0, 10_000),
            slots: self.number(section, "slots", DEFAULT_SLOTS, 1, 10_000),
            deadline_ms: self.number(section, "deadline_ms", DEFAULT_DEADLINE_MS, 0, 600_000),
            max_deadline_ms: self.number(
                section,
                "max_deadline_ms",
                DEFAULT_MAX_DEADLINE_MS,
                1,
                600_000,
            ),
            hedge_percent: self.number(section, "hedge_percent", DEFAULT_HEDGE_PERCENT, 0, 100),
            max_request_bytes: self.number(
                section,
                "max_request_bytes",
                DEFAULT_MAX_REQUEST_BYTES,
                1,
                1 << 20,
            ),
            max_part_bytes: self.number(
                section,
                "max_part_bytes",
                DEFAULT_MAX_PART_BYTES,
                1,
                1 << 24,
            ),
            teams: self.read_teams(section),
            depends_on: read_list(section.properties.get("depends_on")),
        };
        if service.run_connections >= service.connections {
            let value = service.run_connections.to_string();
            self.bad_value(section, "run_connections", &value, "fewer than connections");
        }
        if service.deadline_ms > service.max_deadline_ms {
            let line = self.lines.key(section.line, "deadline_ms", 0);
            self.fail(line, ProblemKind::DeadlineAboveMaximum);
        }
        service
    }

    fn check_keys(&mut self, section: &Section<'_>) {
        const KNOWN: [&str; 10] = [
            "connections",
            "run_connections",
            "slots",
            "deadline_ms",
            "max_deadline_ms",
            "hedge_percent",
            "max_request_bytes",
            "max_part_bytes",
            "teams",
            "depends_on",
        ];
        let mut seen = BTreeMap::new();
        for (key, _) in section.properties {
            let nth = seen.entry(key).and_modify(|n| *n += 1).or_insert(0);
            let line = self.lines.key(section.line, key, *nth);
            if *nth > 0 {
                self.fail(line, ProblemKind::DuplicateKey(key.to_owned()));
            } else if !KNOWN.contains(&key) && !key.starts_with("shard.") {
                self.fail(line, ProblemKind::UnknownKey(first_line(key).to_owned()));
            }
        }
    }

    fn number<T>(&mut self, section: &Section<'_>, key: &str, default: T, min: T, max: T) -> T
    where
        T: std::str::FromStr + PartialOrd + Copy,
    {
        let Some(value) = section.properties.get(key) else { return default };
        match value.trim().parse::<T>() {
            Ok(number) if number >= min && number <= max => number,
            parsed => {
                let expected = match parsed {
                    Ok(_) => "a number within the allowed range",
                    Err(_) => "a whole number without a unit",
                };
                self.bad_value(section, key, value, expected);
                default
            }
        }
    }

    fn bad_value(&mut self, section: &Section<'_>, key: &str, value: &str, expected: &'static str) {
        let line = self.lines.key(section.line, key, 0);
        let (key, value) = (key.to_owned(), value.to_owned());
        self.fail(line, ProblemKind::BadValue { key, value, expected });
    }

    fn read_shards(&mut self, name: &str, section: &Section<'_>) -> Vec<Vec<ReplicaSpec>> {
        let mut by_number: BTreeMap<ShardId, Vec<ReplicaSpec>> = BTreeMap::new();
        let mut seen = BTreeSet::new();
        for (key, value) in section.properties {
            let Some(number) = key.strip_prefix("shard.") else { continue };
            match number.parse::<ShardId>() {
                Ok(number) if number < MAX_SHARDS => {
                    let replicas = self.read_replicas(section, key, value, &mut seen);
                    by_number.entry(number).or_insert(replicas);
                }
                _ => self.bad_value(section, key, value, "a shard number below 10000"),
            }
        }
        if by_number.is_empty() {
            self.fail(section.line, ProblemKind::NoShard(name.to_owned()));
        }
        let last = by_number.keys().last().copied().map_or(0, |n| n + 1);
        for missing in (0..last).filter(|n| !by_number.contains_key(n)) {
            self.fail(section.line, ProblemKind::MissingShard(missing));
        }
        by_number.into_values().collect()
    }

    fn read_replicas(
        &mut self,
        section: &Section<'_>,
        key: &str,
        value: &str,
        seen: &mut BTreeSet<SocketAddr>,
    ) -> Vec<ReplicaSpec> {
        const EXPECTED: &str = "a list of availability-zone@address:port";
        let mut replicas = Vec::new();
        for entry in read_list(Some(value)) {
            match ReplicaSpec::try_from(entry.as_str()) {
                Ok(replica) if seen.insert(replica.addr) => replicas.push(replica),
                Ok(replica) => {
                    let line = self.lines.key(section.line, key, 0);
                    self.fail(line, ProblemKind::DuplicateReplica(replica.addr));
                }
                Err(()) => self.bad_value(section, key, &entry, EXPECTED),
            }
        }
        if replicas.is_empty() {
            self.bad_value(section, key, value, EXPECTED);
        }
        replicas
    }

    fn read_teams(&mut self, section: &Section<'_>) -> BTreeMap<String, u32> {
        let mut teams = BTreeMap::new();
        for entry in read_list(section.properties.get("teams")) {
            let (name, weight) = entry.split_once(':').unwrap_or((&entry, "1"));
            match weight.trim().parse::<u32>() {
                Ok(weight @ 1..=1000) if is_valid_name(name.trim()) => {
                    teams.insert(name.trim().to_owned(), weight);
                }
                _ => self.bad_value(section, "teams", &entry, "a list of team:weight"),
            }
        }
        teams
    }

    fn check_dependencies(&mut self, services: &Services) {
        for (name, service) in &services.by_name {
            let section = self.lines.section(name, 0);
            let line = self.lines.key(section, "depends_on", 0);
            for dependency in &service.depends_on {
                if !services.by_name.contains_key(dependency) {
                    self.fail(line, ProblemKind::UnknownDependency(dependency.clone()));
                }
            }
            if let Some(path) = cycle_from(services, name) {
                self.fail(line, ProblemKind::Cycle(path));
            }
        }
    }
}

/// Returns a dependency cycle through `start`.
fn cycle_from(services: &Services, start: &str) -> Option<String> {
    let mut pending = vec![vec![start]];
    let mut seen = BTreeSet::new();
    while let Some(path) = pending.pop() {
        let last = services.by_name.get(*path.last()?)?;
        for next in last.depends_on.iter().map(String::as_str) {
            if next == start {
                return Some([path.join(" -> "), start.to_owned()].join(" -> "));
            }
            if services.by_name.contains_key(next) && seen.insert(next) {
                pending.push([path.as_slice(), &[next]].concat());
            }
        }
    }
    None
}

impl TryFrom<&str> for ReplicaSpec {
    type Error = ();

    fn try_from(entry: &str) -> Result<Self, ()> {
        let (zone, addr) = entry.split_once('@').ok_or(())?;
        let addr: SocketAddr = addr.trim().parse().map_err(|_| ())?;
        let zone = zone.trim();
        if !is_valid_name(zone) {
            return Err(());
        }
        Ok(Self { id: rendezvous::hash(&addr.to_string()), addr, zone: zone.to_owned() })
    }
}

/// Returns true if `name` consists of up to 64 lower-case letters, digits and hyphens.
#[must_use]
pub fn is_valid_name(name: &str) -> bool {
    const MAX_NAME_BYTES: usize = 64;
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(allowed)
}

fn read_list(value: Option<&str>) -> Vec<String> {
    let entries = value.unwrap_or_default().split(',').map(str::trim);
    entries.filter(|e| !e.is_empty()).map(str::to_owned).collect()
}
