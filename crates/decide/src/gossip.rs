//! What instances tell each other by gossip, as it travels.

use std::net::SocketAddr;

use crate::quarantine::Report;
use crate::rendezvous;

/// What an instance says about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum State {
    /// It has no configuration yet, or no share of connections.
    Starting = 0,
    /// It serves callers.
    Ready = 1,
    /// It finishes what is in progress and takes nothing new.
    Leaving = 2,
    /// It has let go of all connections.
    Left = 3,
}

/// What others think of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Liveness {
    /// It answers.
    Alive = 0,
    /// It did not answer a probe and has not refuted yet.
    Suspect = 1,
    /// It did not refute in time.
    Dead = 2,
}

/// Record of one instance, as it travels.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Member {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Start time of its process in milliseconds since the epoch.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Raised by the instance itself with every change.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// What it says about itself.
    #[prost(enumeration = "State", tag = "4")]
    pub state: i32,
    /// What others think of it.
    #[prost(enumeration = "Liveness", tag = "5")]
    pub liveness: i32,
    /// Its availability zone.
    #[prost(string, tag = "6")]
    pub zone: String,
    /// Where it gossips and where it takes peer connections.
    #[prost(string, tag = "7")]
    pub peer_addr: String,
    /// Where it serves callers and operators.
    #[prost(string, tag = "8")]
    pub http_addr: String,
    /// Configuration version in force there; 0 for none.
    #[prost(uint64, tag = "9")]
    pub config_version: u64,
    /// Digest of the member list that bounds its share.
    #[prost(fixed64, tag = "10")]
    pub share_digest: u64,
    /// Number of the last change to the list of replicas that it has taken in.
    #[prost(uint64, tag = "11")]
    pub replicas_revision: u64,
    /// Number of the last change to the configuration that it has taken in.
    #[prost(uint64, tag = "12")]
    pub configuration_revision: u64,
    /// Whether the store answers it.
    #[prost(bool, tag = "13")]
    pub is_store_reached: bool,
    /// Its processor time, in thousandths of a core.
    #[prost(uint32, tag = "14")]
    pub capacity_milli: u32,
    /// Number of the last change to the evacuated zones that it has taken in.
    #[prost(uint64, tag = "15")]
    pub evacuations_revision: u64,
    /// Era of the store to which [`Self::replicas_revision`] belongs.
    #[prost(uint64, tag = "16")]
    pub replicas_era: u64,
    /// Era of the store to which [`Self::configuration_revision`] belongs.
    #[prost(uint64, tag = "17")]
    pub configuration_era: u64,
    /// Era of the store to which [`Self::evacuations_revision`] belongs.
    #[prost(uint64, tag = "18")]
    pub evacuations_era: u64,
}

impl Member {
    /// Key of the instance in member lists and rendezvous order.
    #[must_use]
    pub fn key(&self) -> u64 {
        rendezvous::hash(&self.name)
    }

    /// Order of records about the same instance; a higher one replaces a lower.
    pub(crate) fn rank(&self) -> (u64, u64, i32) {
        (self.incarnation, self.revision, self.liveness)
    }
}

/// A backend server that is leaving, as it travels.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct LeavingServer {
    /// Hash of its address.
    #[prost(fixed64, tag = "1")]
    pub replica: u64,
    /// Its start time.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// One gossip datagram.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Datagram {
    /// What it is for.
    #[prost(enumeration = "Purpose", tag = "1")]
    pub purpose: i32,
    /// Number of the probe that it belongs to.
    #[prost(uint64, tag = "2")]
    pub probe: u64,
    /// Name of the instance to be probed, for [`Purpose::ProbeFor`].
    #[prost(string, tag = "3")]
    pub target: String,
    /// Records, the sender's own first.
    #[prost(message, repeated, tag = "4")]
    pub members: Vec<Member>,
    /// Backend servers that are leaving.
    #[prost(message, repeated, tag = "5")]
    pub leaving: Vec<LeavingServer>,
    /// Bucket whose digest the sender gives for comparison.
    #[prost(uint64, tag = "6")]
    pub bucket: u64,
    /// Digest of the records in that bucket.
    #[prost(fixed64, tag = "7")]
    pub bucket_digest: u64,
    /// The sender's clock stamp, which orders events over all processes.
    #[prost(uint64, tag = "8")]
    pub stamp: u64,
    /// Number of buckets that the sender splits its records into.
    #[prost(uint64, tag = "9")]
    pub buckets: u64,
    /// What is known of requests that end replicas.
    #[prost(message, repeated, tag = "10")]
    pub reports: Vec<Report>,
    /// Digest of all such requests that the sender does not treat as usual.
    #[prost(fixed64, tag = "11")]
    pub reports_digest: u64,
}

/// What a datagram is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Purpose {
    /// Asks for an answer.
    Probe = 0,
    /// Answers a probe.
    Answer = 1,
    /// Asks to probe `target` in the sender's place.
    ProbeFor = 2,
    /// Only brings records.
    Records = 3,
}

/// An instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where it gossips.
    pub peer_addr: SocketAddr,
}

/// A datagram to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Send {
    /// Where to.
    pub to: SocketAddr,
    /// What.
    pub datagram: Datagram,
}

/// What a datagram or a tick has changed, for the events log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// An instance was heard of for the first time, or came back.
    Joined(String),
    /// An instance says something new of its state.
    State(String),
    /// An instance is suspected.
    Suspected(String),
    /// An instance is taken for dead.
    Died(String),
    /// An instance has left.
    Left(String),
    /// This instance was suspected and has refuted it.
    Refuted,
    /// A leaving backend server was learnt from a peer.
    ServerLeaving(LeavingServer),
    /// More was learnt of a request that ends replicas.
    Reported(Report),
}
