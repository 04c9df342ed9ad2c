//! Connections that were lost with requests in progress: which of these may have ended a backend server.
//!
//! A lost connection has many causes: a server resets those beyond its cap, ends an answer
//! midway, or its process ends. Only the last speaks against a request, and only one more
//! connection shows it: nothing listens any more. What was lost meanwhile waits for that.

use std::collections::HashMap;

use crate::fingerprint::Fingerprint;

/// Time for which what was found out of a server holds for other losses, in milliseconds: the
/// connections of a process that has ended are lost within a few milliseconds of each other,
/// and it takes longer to start again.
const FINDING_LIFE_MS: u64 = 500;
/// Requests that wait for what is found out of one server; it runs a few at a time.
const MOST_WAITING: usize = 32;

/// One send of a request that was lost and that nobody has answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lost {
    /// The request.
    pub request: Fingerprint,
    /// Mark of the send.
    pub send: u32,
    /// Whether the request was being tried on the server by itself.
    pub is_tried: bool,
}

/// A send that has ended its server, or was lost with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ended {
    /// The request.
    pub request: Fingerprint,
    /// Mark of the send.
    pub send: u32,
    /// Whether the request was tried by itself and nothing else that is unanswered was lost.
    pub is_alone: bool,
}

/// What is to be done about one more loss.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Known {
    /// It must be found out whether the server still listens.
    Unknown,
    /// That is being found out.
    Awaited,
    /// The server lives.
    Lives,
    /// The server has ended.
    HasEnded(Ended),
}

#[derive(Debug, Clone)]
struct AtServer {
    at_ms: u64,
    waiting: Vec<Lost>,
    /// Whether it has ended, once that is known.
    has_ended: Option<bool>,
}

/// Backend servers that have just lost requests.
#[derive(Debug, Clone, Default)]
pub struct Losses {
    by_server: HashMap<u64, AtServer>,
}

impl Losses {
    /// Notes one more loss.
    pub fn add(&mut self, server: u64, lost: Lost, now_ms: u64) -> Known {
        self.by_server.retain(|_, s| s.has_ended.is_none() || now_ms < s.at_ms + FINDING_LIFE_MS);
        let Some(known) = self.by_server.get_mut(&server) else {
            let first = AtServer { at_ms: now_ms, waiting: vec![lost], has_ended: None };
            self.by_server.insert(server, first);
            return Known::Unknown;
        };
        match known.has_ended {
            // Something else was lost with it, and found to have been.
            Some(true) => {
                let Lost { request, send, .. } = lost;
                Known::HasEnded(Ended { request, send, is_alone: false })
            }
            Some(false) => Known::Lives,
            None => {
                if known.waiting.len() < MOST_WAITING {
                    known.waiting.push(lost);
                }
                Known::Awaited
            }
        }
    }

    /// Notes whether a server has ended; returns the sends that were lost with it if it has.
    pub fn resolve(&mut self, server: u64, has_ended: bool, now_ms: u64) -> Vec<Ended> {
        let Some(known) = self.by_server.get_mut(&server) else { return Vec::new() };
        (known.has_ended, known.at_ms) = (Some(has_ended), now_ms);
        let mut lost = std::mem::take(&mut known.waiting);
        lost.sort_by_key(|l| (l.request, !l.is_tried));
        lost.dedup_by_key(|l| l.request);
        lost.retain(|_| has_ended);
        let is_only = lost.len() == 1;
        let ended = |Lost { request, send, is_tried }| Ended {
            request,
            send,
            is_alone: is_tried && is_only,
        };
        lost.into_iter().map(ended).collect()
    }

    /// Notes that a request was answered elsewhere: its losses say nothing.
    pub fn answered(&mut self, request: Fingerprint) {
        for server in self.by_server.values_mut() {
            server.waiting.retain(|l| l.request != request);
        }
    }

    /// Servers that have lost a request and of which it is not known yet whether they ended.
    #[must_use]
    pub fn awaited(&self, request: Fingerprint) -> usize {
        let is_lost = |s: &&AtServer| s.waiting.iter().any(|l| l.request == request);
        self.by_server.values().filter(is_lost).count()
    }
}
