//! Account of the memory and connections that callers hold.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use eelgrasspier_decide::caller_budget::{CallerBudget, Holding};
use eelgrasspier_decide::piece_buffer::PieceBuffer;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::serve::{RECEIVE_BUFFER_BYTES, UNREAD_GRACE};

/// Memory of a connection without requests, in bytes: buffers of the HTTP library, its task and the
/// receive buffer of the socket.
const CONNECTION_BYTES: usize = (20 << 10) + RECEIVE_BUFFER_BYTES as usize;
/// Size up to which an answer is part of [`CONNECTION_BYTES`].
const FREE_ANSWER_BYTES: usize = 4 << 10;
/// Time in which evicted connections end before more of them are evicted.
const EVICTION_TIME: Duration = Duration::from_millis(20);
/// Number of levels of use of which each is logged when it is first reached.
const LOGGED_LEVELS: usize = 8;
/// Part of the connections that end when the process has no descriptors left; replicas and the
/// store need some too.
const EXHAUSTION_DIVISOR: usize = 4;
/// Interval between two lines on evictions.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// What a connection is doing.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// head
    Head,
    /// body
    Body,
    /// service
    Service,
    /// answer
    Answer,
}

/// Bound that led to an eviction.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
enum Bound {
    /// memory
    Memory,
    /// answers
    Answers,
    /// connections
    Connections,
    /// stop
    Stop,
}

/// Reason why a request is refused before its body is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Eviction {
    /// The memory or the connections of all callers are used up.
    NoRoom,
    /// The process stops.
    Stopping,
}

/// Memory and connections that the callers of one thread hold.
#[derive(Debug)]
pub struct CallerAccount {
    budget: CallerBudget,
    /// Lowered if the process runs out of descriptors earlier.
    max_connections: Cell<usize>,
    used_bytes: Arc<AtomicUsize>,
    connections: RefCell<HashMap<u64, Rc<Connection>>>,
    last_id: Cell<u64>,
    /// Size of the answers that are being written.
    unread_bytes: Cell<usize>,
    /// Memory of closed connections that have not ended yet.
    closing_bytes: Cell<usize>,
    /// Evicted connections that have not ended yet.
    evicted_count: Cell<usize>,
    /// Wakes listeners when a connection has ended.
    ended: Notify,
    /// Highest level of use that was logged.
    logged_level: Cell<usize>,
    last_line: Cell<Option<Instant>>,
    skipped_lines: Cell<u64>,
}

impl CallerAccount {
    /// Creates an account without connections.
    #[must_use]
    pub fn new(budget: CallerBudget) -> Rc<Self> {
        log::info!(
            "event=caller_budget max_bytes={} max_connections={}",
            budget.max_bytes,
            budget.max_connections
        );
        Rc::new(Self {
            budget,
            max_connections: Cell::new(budget.max_connections),
            used_bytes: Arc::default(),
            connections: RefCell::default(),
            last_id: Cell::default(),
            unread_bytes: Cell::default(),
            closing_bytes: Cell::default(),
            evicted_count: Cell::default(),
            ended: Notify::new(),
            logged_level: Cell::default(),
            last_line: Cell::default(),
            skipped_lines: Cell::default(),
        })
    }

    /// Adds a connection, and evicts others if the account is full.
    #[must_use]
    pub fn open(self: &Rc<Self>) -> OpenConnection {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let connection = Rc::new(Connection {
            account: Rc::clone(self),
            id,
            phase: Cell::new(Phase::Head),
            phase_started: Cell::new(Instant::now()),
            buffered: RefCell::new(Charge::new(&self.used_bytes)),
            body: RefCell::new(BodyBuffer::new(&self.used_bytes)),
            answer_bytes: Cell::default(),
            head_bytes: Cell::default(),
            unparsed_bytes: Cell::default(),
            has_read_body: Cell::default(),
            eviction: Cell::default(),
            closing_bytes: Cell::default(),
            evicted: Notify::new(),
            closed: Notify::new(),
        });
        self.connections.borrow_mut().insert(id, Rc::clone(&connection));
        self.make_room(CONNECTION_BYTES, None);
        connection.buffered.borrow_mut().set(CONNECTION_BYTES);
        self.set_gauges();
        OpenConnection(connection)
    }

    /// Ends all connections that wait for their callers, since the process stops.
    ///
    /// Callers have a second to read their answers. Returns true if no connections are left.
    pub fn stop(&self) -> bool {
        let all: Vec<_> = self.connections.borrow().values().cloned().collect();
        for connection in &all {
            match connection.phase.get() {
                Phase::Body => connection.stop(),
                Phase::Head => connection.close(),
                Phase::Answer if connection.waiting() >= UNREAD_GRACE => connection.close(),
                Phase::Answer | Phase::Service => {}
            }
        }
        all.is_empty()
    }

    /// Waits until there are no more connections than permitted; evicts some if there are.
    pub async fn settle(&self) {
        while self.connections.borrow().len() > self.max_connections.get() {
            let excess = self.connections.borrow().len() - self.max_connections.get();
            if self.evicted_count.get() < excess {
                self.evict_for_descriptor();
            }
            let ended = tokio::time::timeout(EVICTION_TIME, self.ended.notified()).await;
            if ended.is_err() {
                // Evicted callers that don't read the refusal.
                let all: Vec<_> = self.connections.borrow().values().cloned().collect();
                all.iter().filter(|c| c.eviction.get().is_some()).for_each(|c| c.close());
            }
        }
    }

    fn evict_for_descriptor(&self) {
        if let Some(victim) = self.costliest(|c| !c.is_evicted(), None) {
            victim.evict(Bound::Connections);
        }
    }

    /// Permits fewer connections, since the process has no descriptors left.
    pub fn record_exhaustion(&self) {
        let connections = self.connections.borrow().len();
        let max_connections = (connections - connections / EXHAUSTION_DIVISOR).max(1);
        if max_connections < self.max_connections.get() {
            self.max_connections.set(max_connections);
            log::warn!(
                "event=descriptors_exhausted connections={connections} \
                 max_connections={max_connections}"
            );
        }
    }

    /// Evicts connections until `bytes` more fit; false if they don't.
    ///
    /// `requester` is the connection that needs them, which gets nothing if it would then be the
    /// costliest.
    fn make_room(&self, bytes: usize, requester: Option<&Connection>) -> bool {
        loop {
            let used_bytes = self.used_bytes.load(Ordering::Relaxed);
            let used_bytes = used_bytes.saturating_sub(self.closing_bytes.get());
            if used_bytes + bytes <= self.budget.max_bytes {
                return true;
            }
            let costliest = self.costliest(|c| !c.is_closed(), requester.map(|r| (r, bytes)));
            match costliest {
                Some(victim) if requester.is_none_or(|r| r.id != victim.id) => {
                    victim.evict(Bound::Memory);
                }
                _ => return false,
            }
        }
    }

    fn costliest(
        &self,
        is_candidate: impl Fn(&Connection) -> bool,
        requester: Option<(&Connection, usize)>,
    ) -> Option<Rc<Connection>> {
        let now = Instant::now();
        let cost = |c: &Rc<Connection>| {
            let added = requester.filter(|(r, _)| r.id == c.id).map_or(0, |(_, bytes)| bytes);
            let bytes = c.held_bytes() + added;
            Holding { bytes, waiting: now.duration_since(c.phase_started.get()) }.cost()
        };
        let connections = self.connections.borrow();
        let waiting =
            connections.values().filter(|c| c.phase.get() != Phase::Service && is_candidate(c));
        waiting.max_by_key(|c| cost(c)).cloned()
    }

    fn record_eviction(&self, victim: &Connection, bound: Bound) {
        let phase = victim.phase.get();
        metrics::counter!(
            "eelgrasspier_callers_evicted_total",
            "bound" => bound.to_string(), "phase" => phase.to_string()
        )
        .increment(1);
        let now = Instant::now();
        if self.last_line.get().is_some_and(|last| now < last + LINE_INTERVAL) {
            self.skipped_lines.set(self.skipped_lines.get() + 1);
            return;
        }
        self.last_line.set(Some(now));
        log::info!(
            "event=caller_evicted bound={bound} phase={phase} bytes={} waiting_ms={} \
             used_bytes={} max_bytes={} connections={} max_connections={} skipped={}",
            victim.held_bytes(),
            now.duration_since(victim.phase_started.get()).as_millis(),
            self.used_bytes.load(Ordering::Relaxed),
            self.budget.max_bytes,
            self.connections.borrow().len(),
            self.max_connections.get(),
            self.skipped_lines.take()
        );
    }

    fn set_gauges(&self) {
        let (connections, used_bytes) =
            (self.connections.borrow().len(), self.used_bytes.load(Ordering::Relaxed));
        let to_f64 = |value: usize| f64::from(u32::try_from(value).unwrap_or(u32::MAX));
        metrics::gauge!("eelgrasspier_caller_connections").set(to_f64(connections));
        metrics::gauge!("eelgrasspier_caller_bytes").set(to_f64(used_bytes));
        let (max_bytes, max_connections) = (self.budget.max_bytes, self.max_connections.get());
        let level = |used: usize, max: usize| used.saturating_mul(LOGGED_LEVELS) / max.max(1);
        let level = level(used_bytes, max_bytes).max(level(connections, max_connections));
        if level > self.logged_level.get() {
            self.logged_level.set(level);
            log::info!(
                "event=caller_usage_peak used_bytes={used_bytes} max_bytes={max_bytes} \
                 connections={connections} max_connections={max_connections}"
            );
        }
    }
}

/// One connection of a caller in the account.
#[derive(Debug)]
pub struct Connection {
    account: Rc<CallerAccount>,
    id: u64,
    phase: Cell<Phase>,
    phase_started: Cell<Instant>,
    /// Connection, head and trailers.
    buffered: RefCell<Charge>,
    body: RefCell<BodyBuffer>,
    /// Size of the answer that is being written.
    answer_bytes: Cell<usize>,
    /// Size of the head of the current request, and of the buffers for its chunks.
    head_bytes: Cell<usize>,
    /// Bytes read since the last part of the request that is complete.
    unparsed_bytes: Cell<usize>,
    has_read_body: Cell<bool>,
    eviction: Cell<Option<Eviction>>,
    /// Memory that a closed connection will release.
    closing_bytes: Cell<Option<usize>>,
    evicted: Notify,
    closed: Notify,
}

impl Connection {
    pub(crate) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Returns the time since the phase began.
    pub(crate) fn waiting(&self) -> Duration {
        self.phase_started.get().elapsed()
    }

    /// Records what the connection does from now on.
    pub fn set_phase(&self, phase: Phase) {
        match phase {
            Phase::Head => {
                self.release_answer();
                self.head_bytes.set(0);
                self.has_read_body.set(false);
                self.set_unparsed(0);
            }
            Phase::Service if self.phase.get() == Phase::Head => {
                self.head_bytes.set(self.unparsed_bytes.get());
                self.set_unparsed(0);
            }
            Phase::Answer => drop(self.body.replace(BodyBuffer::new(&self.account.used_bytes))),
            Phase::Body | Phase::Service => {}
        }
        self.phase.set(phase);
        self.phase_started.set(Instant::now());
    }

    fn held_bytes(&self) -> usize {
        self.charged_bytes() + self.answer_bytes.get()
    }

    fn charged_bytes(&self) -> usize {
        self.buffered.borrow().bytes + self.body.borrow().charge.bytes
    }

    /// Counts bytes read from the caller; false if there is no memory for them.
    pub(crate) fn record_read(&self, bytes: usize) -> bool {
        // Data that arrives while a request is served is bounded by the HTTP library's buffer.
        if self.phase.get() == Phase::Service {
            return true;
        }
        if !self.is_closed() && !self.account.make_room(bytes, Some(self)) {
            self.evict(Bound::Memory);
        }
        if !self.is_closed() {
            self.set_unparsed(self.unparsed_bytes.get() + bytes);
        }
        !self.is_closed()
    }

    /// Records that all bytes read so far belong to complete parts of the request.
    pub(crate) fn record_parsed(&self) {
        if self.unparsed_bytes.get() > 0 {
            self.set_unparsed(0);
        }
    }

    fn set_unparsed(&self, bytes: usize) {
        self.unparsed_bytes.set(bytes);
        self.buffered.borrow_mut().set(CONNECTION_BYTES + self.head_bytes.get() + bytes);
    }

    /// Charges the buffers for a chunked body; fails if there is no memory for them.
    pub(crate) fn charge_chunks(&self, bytes: usize) -> Result<(), Eviction> {
        if !self.account.make_room(bytes, Some(self)) {
            self.evict(Bound::Memory);
            return Err(Eviction::NoRoom);
        }
        self.head_bytes.set(self.head_bytes.get() + bytes);
        self.set_unparsed(self.unparsed_bytes.get());
        Ok(())
    }

    /// Returns the size of the body so far.
    pub(crate) fn body_len(&self) -> usize {
        self.body.borrow().data.len()
    }

    /// Appends a part of the body; fails if there is no memory for it.
    pub(crate) fn append(&self, part: &[u8]) -> Result<(), Eviction> {
        let mut rest = self.body.borrow_mut().data.fill(part);
        while !rest.is_empty() {
            let piece_bytes = self.body.borrow().data.next_piece_bytes(rest);
            if !self.account.make_room(piece_bytes, Some(self)) {
                self.evict(Bound::Memory);
            }
            if let Some(eviction) = self.eviction.get() {
                return Err(eviction);
            }
            let mut body = self.body.borrow_mut();
            body.data.add_piece(piece_bytes);
            let capacity = body.data.capacity();
            body.charge.set(capacity);
            rest = body.data.fill(rest);
        }
        Ok(())
    }

    /// Takes the whole body, whose memory stays charged until the last copy is dropped.
    ///
    /// Fails if the body was dropped meanwhile.
    pub(crate) fn take_whole_body(&self) -> Result<Bytes, Eviction> {
        if let Some(eviction) = self.eviction.get() {
            return Err(eviction);
        }
        self.has_read_body.set(true);
        Ok(self.take_body())
    }

    /// True if the body of the current request was read to its end.
    pub(crate) fn has_read_body(&self) -> bool {
        self.has_read_body.get()
    }

    fn take_body(&self) -> Bytes {
        self.body.replace(BodyBuffer::new(&self.account.used_bytes)).into_bytes()
    }

    /// Charges copies of the body that are made while its request is served.
    ///
    /// Returns `None` if there is no memory for them.
    #[must_use]
    pub fn charge_copies(&self, bytes: usize) -> Option<Charge> {
        if !self.account.make_room(bytes, None) {
            return None;
        }
        let mut charge = Charge::new(&self.account.used_bytes);
        charge.set(bytes);
        Some(charge)
    }

    /// Records an answer that is about to be written.
    ///
    /// Its memory belongs to the budget for answers of replicas. Connections whose callers don't
    /// read are evicted before their answers use up that budget.
    pub fn record_answer(&self, bytes: usize) {
        if bytes <= FREE_ANSWER_BYTES {
            return;
        }
        // Answers to pipelined requests may be written one after another.
        self.answer_bytes.set(self.answer_bytes.get() + bytes);
        let account = &self.account;
        account.unread_bytes.set(account.unread_bytes.get() + bytes);
        while account.unread_bytes.get() > account.budget.max_unread_bytes {
            let is_unread = |c: &Connection| {
                c.phase.get() == Phase::Answer && c.answer_bytes.get() > 0 && !c.is_closed()
            };
            let costliest = account.costliest(|c| is_unread(c) && c.id != self.id, None);
            let Some(victim) = costliest else { break };
            victim.evict(Bound::Answers);
        }
    }

    /// Records that the answer is written, or never will be.
    fn release_answer(&self) {
        let unread_bytes = &self.account.unread_bytes;
        unread_bytes.set(unread_bytes.get() - self.answer_bytes.take());
    }

    fn evict(&self, bound: Bound) {
        self.account.record_eviction(self, bound);
        if self.phase.get() == Phase::Body && self.eviction.get().is_none() {
            let eviction = if bound == Bound::Stop { Eviction::Stopping } else { Eviction::NoRoom };
            self.eviction.set(Some(eviction));
            self.account.evicted_count.set(self.account.evicted_count.get() + 1);
            self.body.replace(BodyBuffer::new(&self.account.used_bytes));
            self.evicted.notify_one();
        } else {
            self.close();
        }
    }

    /// Refuses the request if its body is incomplete, since the process stops.
    pub(crate) fn stop(&self) {
        if self.phase.get() == Phase::Body && self.eviction.get().is_none() {
            self.evict(Bound::Stop);
        }
    }

    /// Closes the connection without an answer.
    fn close(&self) {
        if !self.is_closed() {
            let account = &self.account;
            let bytes = self.charged_bytes();
            self.release_answer();
            self.closing_bytes.set(Some(bytes));
            account.closing_bytes.set(account.closing_bytes.get() + bytes);
            if self.eviction.get().is_none() {
                account.evicted_count.set(account.evicted_count.get() + 1);
            }
            self.closed.notify_one();
        }
    }

    /// Waits until the request is to be refused.
    pub(crate) async fn wait_evicted(&self) -> Eviction {
        loop {
            if let Some(eviction) = self.eviction.get() {
                return eviction;
            }
            self.evicted.notified().await;
        }
    }

    fn is_closed(&self) -> bool {
        self.closing_bytes.get().is_some()
    }

    /// Waits until the connection is to be closed without an answer.
    pub async fn wait_closed(&self) {
        while !self.is_closed() {
            self.closed.notified().await;
        }
    }

    /// True if connections are being evicted, so that this one must end at once.
    pub(crate) fn is_evicted(&self) -> bool {
        self.eviction.get().is_some() || self.is_closed()
    }
}

/// Connection in the account, removed on drop.
#[derive(Debug)]
pub struct OpenConnection(Rc<Connection>);

impl OpenConnection {
    /// Returns the connection.
    #[must_use]
    pub fn connection(&self) -> &Rc<Connection> {
        &self.0
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let connection = &self.0;
        let account = &connection.account;
        connection.release_answer();
        if let Some(bytes) = connection.closing_bytes.get() {
            account.closing_bytes.set(account.closing_bytes.get() - bytes);
        }
        if connection.is_evicted() {
            account.evicted_count.set(account.evicted_count.get() - 1);
        }
        account.connections.borrow_mut().remove(&connection.id);
        account.set_gauges();
        account.ended.notify_waiters();
    }
}

/// Memory in the account, released on drop.
#[derive(Debug)]
pub struct Charge {
    used_bytes: Arc<AtomicUsize>,
    bytes: usize,
}

impl Charge {
    fn new(used_bytes: &Arc<AtomicUsize>) -> Self {
        Self { used_bytes: Arc::clone(used_bytes), bytes: 0 }
    }

    fn set(&mut self, bytes: usize) {
        self.used_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = bytes;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Body that is being read.
#[derive(Debug)]
struct BodyBuffer {
    data: PieceBuffer,
    charge: Charge,
}

impl BodyBuffer {
    fn new(used_bytes: &Arc<AtomicUsize>) -> Self {
        Self { data: PieceBuffer::default(), charge: Charge::new(used_bytes) }
    }

    /// Returns the body in one piece, with its charge.
    fn into_bytes(mut self) -> Bytes {
        let data = self.data.into_vec();
        if data.is_empty() {
            return Bytes::new();
        }
        self.charge.set(data.capacity());
        Bytes::from_owner(ChargedBytes { data, _charge: self.charge })
    }
}

/// Bytes with their charge.
#[derive(Debug)]
struct ChargedBytes {
    data: Vec<u8>,
    _charge: Charge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}
