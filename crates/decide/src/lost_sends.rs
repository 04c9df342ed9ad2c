//! Lost connections with requests in progress, and whether their backend server crashed.
//!
//! A connection may be lost for many reasons: the server resets those beyond its limit, aborts an
//! answer midway, or its process ends. Only the last is evidence against a request. Another
//! connection attempt shows it if nothing listens any more. Losses in the meantime wait for the
//! result.
//!
//! If the server still listens, it may have crashed all the same: its listener may be that of a
//! parent process, of a supervisor or of a proxy. Such a loss is unexplained; it is weighed by how
//! rarely other requests lose sends.

use std::collections::HashMap;

use crate::fingerprint::Fingerprint;
use crate::loss_rate::LossRate;

/// Time for which the state found for a server applies to further losses, in milliseconds.
///
/// The connections of a crashed process are lost within a few milliseconds of each other, and a
/// restart takes longer than this.
const STATE_RETENTION_MS: u64 = 500;
/// Maximum number of requests that wait for the state of one server; it runs only a few at a time.
const MAX_WAITING: usize = 32;
/// Maximum number of servers whose last crash is stored.
const MAX_LAST_CRASHES: usize = 1024;

/// Lost send of a request that has no answer yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostSend {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Id of the send.
    pub send_id: u32,
    /// Id of the crash that may have ended the send, see [`CrashedSend::crash_id`].
    pub crash_id: u32,
    /// True if the send was a trial on this one replica.
    pub is_trial: bool,
}

/// Send that crashed its server or was lost in the crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashedSend {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Id of the send.
    pub send_id: u32,
    /// Id of the crash, the same at all instances whose sends it ended.
    ///
    /// It equals `send_id` if the run of the server is unknown.
    pub crash_id: u32,
    /// True if the send was a trial.
    pub is_trial: bool,
    /// True if the send was a trial and no other unanswered request was lost in the crash.
    pub is_isolated: bool,
}

/// Lost send of an unanswered request that may or may not have crashed its server.
///
/// The server still accepts connections, or it crashed with another unanswered request on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnexplainedLoss {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Id of the send.
    pub send_id: u32,
    /// Id of the crash that it may have been, see [`CrashedSend::crash_id`].
    pub crash_id: u32,
    /// True if the send was a trial.
    pub is_trial: bool,
    /// How strongly it speaks against the request, in thousandths of a natural logarithm.
    ///
    /// 0 unless the send was a trial.
    pub weight_milli: u32,
}

/// State of the server at one more loss.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// Unknown; the caller must check whether the server still listens.
    Unknown,
    /// A check is in progress.
    Checking,
    /// The server is running.
    Running,
    /// The server has crashed.
    Crashed(CrashedSend),
}

#[derive(Debug, Clone)]
struct ServerLosses {
    at_ms: u64,
    /// Id of the crash, if it is one.
    crash_id: u32,
    waiting: Vec<LostSend>,
    /// True if the server has crashed, false if it is running, `None` if not known yet.
    has_crashed: Option<bool>,
    /// True if it is being probed since it has not answered in time.
    is_silence: bool,
}

/// Backend servers with recently lost connections.
#[derive(Debug, Clone, Default)]
pub struct LostSends {
    by_server: HashMap<u64, ServerLosses>,
    /// Id of the last crash of each server, with its time.
    last_crashes: HashMap<u64, (u32, u64)>,
    rate: LossRate,
    /// Unexplained losses that were not taken yet.
    unexplained: Vec<UnexplainedLoss>,
}

impl LostSends {
    /// Records that a server was the first to answer a request.
    pub fn record_answer(&mut self, server: u64, now_ms: u64) {
        self.rate.record_answer(server, now_ms);
    }

    /// Records that a request that has been answered lost another send.
    pub fn record_answered_loss(&mut self, server: u64, request: Fingerprint, now_ms: u64) {
        self.rate.record_loss(server, request, now_ms);
    }

    /// Takes the losses that turned out to be unexplained since the last call.
    pub fn take_unexplained(&mut self) -> Vec<UnexplainedLoss> {
        std::mem::take(&mut self.unexplained)
    }

    /// Records a loss and returns the state of its server.
    pub fn record_loss(&mut self, server: u64, lost: LostSend, now_ms: u64) -> ServerState {
        self.record(server, lost, false, now_ms)
    }

    /// Records a send that reached its deadline without an answer, like [`Self::record_loss`].
    ///
    /// A probe of the server decides whether it was lost, which takes longer than another check.
    pub fn record_silence(&mut self, server: u64, lost: LostSend, now_ms: u64) -> ServerState {
        self.record(server, lost, true, now_ms)
    }

    fn record(
        &mut self,
        server: u64,
        lost: LostSend,
        is_silence: bool,
        now_ms: u64,
    ) -> ServerState {
        self.rate.record_loss(server, lost.request, now_ms);
        self.by_server
            .retain(|_, s| s.has_crashed.is_none() || now_ms < s.at_ms + STATE_RETENTION_MS);
        let crash_id = self.current_crash_id(server, &lost);
        let Some(server_losses) = self.by_server.get_mut(&server) else {
            let waiting = vec![lost];
            let at_ms = now_ms;
            let first = ServerLosses { at_ms, crash_id, waiting, has_crashed: None, is_silence };
            self.by_server.insert(server, first);
            return ServerState::Unknown;
        };
        if lost.is_trial {
            // A trial knows the run of its server for certain.
            server_losses.crash_id = crash_id;
        }
        match server_losses.has_crashed {
            // Another send was lost in the same crash.
            Some(true) => {
                let LostSend { request, send_id, is_trial, .. } = lost;
                let (crash_id, is_isolated) = (server_losses.crash_id, false);
                let crashed = CrashedSend { request, send_id, crash_id, is_trial, is_isolated };
                if is_trial {
                    self.add_unexplained(server, crash_id, lost, now_ms);
                }
                ServerState::Crashed(crashed)
            }
            Some(false) => {
                self.add_unexplained(server, crash_id, lost, now_ms);
                ServerState::Running
            }
            None => {
                if server_losses.waiting.len() < MAX_WAITING {
                    server_losses.waiting.push(lost);
                }
                ServerState::Checking
            }
        }
    }

    /// Records the state of a server; returns the sends lost with it if it has crashed.
    pub fn record_server_state(
        &mut self,
        server: u64,
        has_crashed: bool,
        now_ms: u64,
    ) -> Vec<CrashedSend> {
        let Some(server_losses) = self.by_server.get_mut(&server) else { return Vec::new() };
        (server_losses.has_crashed, server_losses.at_ms) = (Some(has_crashed), now_ms);
        let crash_id = server_losses.crash_id;
        let mut lost = std::mem::take(&mut server_losses.waiting);
        if !has_crashed {
            for lost in lost {
                self.add_unexplained(server, crash_id, lost, now_ms);
            }
            return Vec::new();
        }
        self.record_last_crash(server, crash_id, now_ms);
        lost.sort_by_key(|l| (l.request, !l.is_trial));
        lost.dedup_by_key(|l| l.request);
        let is_only = lost.len() == 1;
        for trial in lost.iter().filter(|l| l.is_trial && !is_only) {
            self.add_unexplained(server, crash_id, *trial, now_ms);
        }
        let ended = |LostSend { request, send_id, is_trial, .. }| CrashedSend {
            request,
            send_id,
            crash_id,
            is_trial,
            is_isolated: is_trial && is_only,
        };
        lost.into_iter().map(ended).collect()
    }

    /// Adds an unexplained loss, and weighs it if the send was a trial.
    fn add_unexplained(&mut self, server: u64, crash_id: u32, lost: LostSend, now_ms: u64) {
        let LostSend { request, send_id, is_trial, .. } = lost;
        let weight_milli =
            if is_trial { self.rate.weight_milli(request, server, now_ms) } else { 0 };
        self.unexplained.push(UnexplainedLoss {
            request,
            send_id,
            crash_id,
            is_trial,
            weight_milli,
        });
    }

    /// Returns the id of the crash that may have ended a send.
    ///
    /// If that crash is already over, the server has restarted since and its new run is not known
    /// here yet.
    fn current_crash_id(&self, server: u64, lost: &LostSend) -> u32 {
        let is_over = !self.by_server.contains_key(&server)
            && self.last_crashes.get(&server).is_some_and(|(id, _)| *id == lost.crash_id);
        if is_over { lost.send_id } else { lost.crash_id }
    }

    fn record_last_crash(&mut self, server: u64, crash_id: u32, now_ms: u64) {
        if self.last_crashes.len() >= MAX_LAST_CRASHES {
            let oldest = self.last_crashes.iter().min_by_key(|(_, (_, at_ms))| *at_ms);
            if let Some(oldest) = oldest.map(|(server, _)| *server) {
                self.last_crashes.remove(&oldest);
            }
        }
        self.last_crashes.insert(server, (crash_id, now_ms));
    }

    /// Records that another server answered the request, so its losses are no evidence.
    pub fn discard_answered(&mut self, request: Fingerprint) {
        for server in self.by_server.values_mut() {
            server.waiting.retain(|l| l.request != request);
        }
    }

    /// Records that a server whose state was unknown has answered a probe: it has lost nothing.
    pub fn record_probe_answer(&mut self, server: u64) {
        self.by_server.remove(&server);
    }

    /// Returns the number of servers of unknown state that have lost the request.
    ///
    /// Those that are probed for their silence are not counted.
    #[must_use]
    pub fn pending_checks(&self, request: Fingerprint) -> usize {
        self.pending(request).filter(|s| !s.is_silence).count()
    }

    /// Returns the number of servers that are probed since they have not answered the request.
    #[must_use]
    pub fn pending_silences(&self, request: Fingerprint) -> usize {
        self.pending(request).filter(|s| s.is_silence).count()
    }

    fn pending(&self, request: Fingerprint) -> impl Iterator<Item = &ServerLosses> {
        let is_lost = move |s: &&ServerLosses| s.waiting.iter().any(|l| l.request == request);
        self.by_server.values().filter(is_lost)
    }
}
