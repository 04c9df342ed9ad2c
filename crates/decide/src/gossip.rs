//! Wire format of the gossip between instances.

use std::net::SocketAddr;

use crate::quarantine::Report;
use crate::rendezvous;

/// State that an instance announces for itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum InstanceState {
    /// It has no configuration yet, or no share of connections.
    Starting = 0,
    /// It serves callers.
    Ready = 1,
    /// It drains: it finishes the work in progress and accepts none.
    Leaving = 2,
    /// It has closed all connections to backend servers.
    Left = 3,
}

/// Liveness of an instance as seen by the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Liveness {
    /// It answers probes.
    Alive = 0,
    /// It did not answer a probe and has not refuted the suspicion yet.
    Suspect = 1,
    /// It did not refute the suspicion in time.
    Dead = 2,
}

/// Record of one instance.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Member {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Start time of its process in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number that the instance raises with every change of its record.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// State that it announces.
    #[prost(enumeration = "InstanceState", tag = "4")]
    pub state: i32,
    /// Liveness as seen by the others.
    #[prost(enumeration = "Liveness", tag = "5")]
    pub liveness: i32,
    /// Its availability zone.
    #[prost(string, tag = "6")]
    pub zone: String,
    /// Address for gossip and for connections from other instances.
    #[prost(string, tag = "7")]
    pub peer_addr: String,
    /// Address for callers and operators.
    #[prost(string, tag = "8")]
    pub http_addr: String,
    /// Configuration version in force on it; 0 for none.
    #[prost(uint64, tag = "9")]
    pub config_version: u64,
    /// Digest of the member list from which its share of connections follows.
    #[prost(fixed64, tag = "10")]
    pub share_digest: u64,
    /// Revision up to which it has applied changes of the replica list.
    #[prost(uint64, tag = "11")]
    pub replicas_revision: u64,
    /// Revision up to which it has applied changes of the configuration.
    #[prost(uint64, tag = "12")]
    pub configuration_revision: u64,
    /// True if the store answers its requests.
    #[prost(bool, tag = "13")]
    pub is_store_reached: bool,
    /// Its CPU capacity in thousandths of a core.
    #[prost(uint32, tag = "14")]
    pub capacity_milli: u32,
    /// Revision up to which it has applied changes of the evacuated zones.
    #[prost(uint64, tag = "15")]
    pub evacuations_revision: u64,
    /// Store era of [`Self::replicas_revision`].
    #[prost(uint64, tag = "16")]
    pub replicas_era: u64,
    /// Store era of [`Self::configuration_revision`].
    #[prost(uint64, tag = "17")]
    pub configuration_era: u64,
    /// Store era of [`Self::evacuations_revision`].
    #[prost(uint64, tag = "18")]
    pub evacuations_era: u64,
    /// True if it watches the store's configuration and the last watch was answered.
    ///
    /// Instances that don't watch notice only by their next poll that the store is lost, which in a
    /// large fleet is a minute later.
    #[prost(bool, tag = "19")]
    pub is_watching_store: bool,
}

impl Member {
    /// Returns the key of the instance in member lists and rendezvous hashing.
    #[must_use]
    pub fn key(&self) -> u64 {
        rendezvous::hash(&self.name)
    }

    /// Returns true if it may hold roles: it is neither suspected nor about to leave.
    #[must_use]
    pub fn may_hold_roles(&self) -> bool {
        self.liveness() == Liveness::Alive
            && matches!(self.state(), InstanceState::Starting | InstanceState::Ready)
    }

    /// Returns true if the instance serves callers and isn't suspected.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.state() == InstanceState::Ready && self.liveness() == Liveness::Alive
    }

    /// Returns true if the instance has died or left.
    #[must_use]
    pub fn is_dead_or_left(&self) -> bool {
        self.liveness() == Liveness::Dead || self.state() == InstanceState::Left
    }

    /// Returns what the roles of other instances depend on.
    pub(crate) fn presence(&self) -> Presence<'_> {
        if self.is_serving() {
            let Self { zone, peer_addr, capacity_milli, .. } = self;
            Presence::Serving { zone, peer_addr, capacity_milli: *capacity_milli }
        } else if self.is_dead_or_left() {
            Presence::Absent
        } else {
            Presence::Live
        }
    }

    /// Returns the precedence among records of the same instance; the highest one wins.
    pub(crate) fn rank(&self) -> (u64, u64, i32) {
        (self.incarnation, self.revision, self.liveness)
    }
}

/// What the roles of other instances depend on in a record.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Presence<'m> {
    /// It is unknown, has died or has left.
    #[default]
    Absent,
    /// It counts as an instance, but requests are not sent to it.
    Live,
    /// Requests are sent to it.
    Serving { zone: &'m str, peer_addr: &'m str, capacity_milli: u32 },
}

/// Announcement that a backend server is leaving.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct LeavingServer {
    /// Hash of its address.
    #[prost(fixed64, tag = "1")]
    pub address_hash: u64,
    /// Start time as reported by the server; 0 if it reports none.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// One gossip datagram.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Datagram {
    /// Purpose of the datagram.
    #[prost(enumeration = "Purpose", tag = "1")]
    pub purpose: i32,
    /// Number of the probe that it belongs to.
    #[prost(uint64, tag = "2")]
    pub probe_number: u64,
    /// Name of the instance to be probed, for [`Purpose::ProbeFor`].
    #[prost(string, tag = "3")]
    pub target: String,
    /// Member records, the sender's own first.
    #[prost(message, repeated, tag = "4")]
    pub members: Vec<Member>,
    /// Backend servers that are leaving.
    #[prost(message, repeated, tag = "5")]
    pub leaving: Vec<LeavingServer>,
    /// Bucket whose digest is given for comparison.
    #[prost(uint64, tag = "6")]
    pub bucket: u64,
    /// Digest of the records in that bucket.
    #[prost(fixed64, tag = "7")]
    pub bucket_digest: u64,
    /// Hybrid logical clock of the sender, which orders events over all processes.
    #[prost(uint64, tag = "8")]
    pub clock_stamp: u64,
    /// Number of buckets into which the sender splits its records.
    #[prost(uint64, tag = "9")]
    pub buckets: u64,
    /// Reports on requests that crash replicas.
    #[prost(message, repeated, tag = "10")]
    pub reports: Vec<Report>,
    /// Digest of the requests that the sender refuses or sends to one replica at a time.
    #[prost(fixed64, tag = "11")]
    pub reports_digest: u64,
}

/// Purpose of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Purpose {
    /// Asks for an answer.
    Probe = 0,
    /// Answers a probe.
    Answer = 1,
    /// Asks the receiver to probe `target` on the sender's behalf.
    ProbeFor = 2,
    /// Carries records only.
    Records = 3,
    /// Asks whether the receiver is able to watch the store; carries nothing else.
    WatcherCheck = 4,
    /// Answers that it is.
    AbleToWatch = 5,
}

/// An instance as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Its address for gossip.
    pub peer_addr: SocketAddr,
}

/// A datagram to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingDatagram {
    /// Destination.
    pub to: SocketAddr,
    /// Datagram.
    pub datagram: Datagram,
}

/// Change caused by a datagram or a tick, for the event log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipChange {
    /// A new instance appeared, or one that was dead or had left came back.
    Joined(String),
    /// An instance announced a new state.
    StateChanged(String),
    /// An instance became suspect.
    Suspected(String),
    /// An instance is no longer suspect.
    Recovered(String),
    /// An instance was declared dead.
    DeclaredDead(String),
    /// An instance has left.
    Left(String),
    /// This instance was suspected and refuted it.
    Refuted,
    /// A peer announced that a backend server is leaving.
    ServerLeaving(LeavingServer),
    /// A peer's report on a request that crashes replicas added information.
    ReportReceived(Report),
}
