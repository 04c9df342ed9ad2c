//! Catalogue of numbered events; docs/EVENTS.md lists the same events.

use log::Level;

/// Kind of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Number of the event; its meaning never changes.
    pub number: u16,
    /// Log level.
    pub level: Level,
    /// Title in the log and the timeline.
    pub title: &'static str,
}

const fn event(number: u16, level: Level, title: &'static str) -> Event {
    Event { number, level, title }
}

/// The process has started.
pub const STARTED: Event = event(101, Level::Info, "process started");
/// The instance has started to serve callers.
pub const READY: Event = event(102, Level::Info, "ready for callers");
/// A planned stop has begun.
pub const LEAVING: Event = event(103, Level::Info, "planned stop begun");
/// All requests have ended and all connections are closed.
pub const LEFT: Event = event(104, Level::Info, "stopped");
/// The control thread was paused for longer than its connection shares remain valid.
pub const PAUSED: Event = event(105, Level::Warn, "was paused; shares given up");
/// A text is in force on this instance.
pub const TEXT_IN_FORCE: Event = event(201, Level::Info, "operators' text in force");
/// An older text was received and refused.
pub const TEXT_STALE: Event = event(202, Level::Warn, "older operators' text refused");
/// A stored text has errors; the text in force remains.
pub const TEXT_BROKEN: Event = event(203, Level::Error, "stored operators' text has errors");
/// An operator's edit was accepted.
pub const EDIT_ACCEPTED: Event = event(204, Level::Info, "edit accepted");
/// An operator's edit was refused because the text has changed since its base version.
pub const EDIT_CONFLICT: Event = event(205, Level::Info, "edit in conflict");
/// The outcome of an edit is not known yet.
pub const EDIT_UNKNOWN: Event = event(206, Level::Warn, "edit not confirmed");
/// An accepted edit is missing from the text in force after a restore of the platform.
pub const EDIT_LOST: Event = event(207, Level::Error, "accepted edit lost");
/// Another instance joined or came back.
pub const MEMBER_JOINED: Event = event(301, Level::Info, "instance joined");
/// Another instance did not answer probes and is suspected.
pub const MEMBER_SUSPECT: Event = event(302, Level::Info, "instance suspected");
/// Another instance was declared dead.
pub const MEMBER_DEAD: Event = event(303, Level::Warn, "instance dead");
/// Another instance has left.
pub const MEMBER_LEFT: Event = event(304, Level::Info, "instance left");
/// This instance was suspected and has refuted the suspicion.
pub const REFUTED: Event = event(305, Level::Info, "own suspicion refuted");
/// The connection shares have changed.
pub const SHARE_CHANGED: Event = event(306, Level::Info, "share of connections changed");
/// A backend server has announced that it is leaving.
pub const SERVER_LEAVING: Event = event(401, Level::Info, "backend server leaving");
/// A backend server is unreachable.
pub const SERVER_DOWN: Event = event(402, Level::Warn, "backend server down");
/// A backend server is reachable again.
pub const SERVER_UP: Event = event(403, Level::Info, "backend server up");
/// A service uses another snapshot than before.
pub const SNAPSHOT: Event = event(404, Level::Info, "snapshot chosen");
/// Servers crashed while executing a request: it is sent to one server at a time.
pub const REQUEST_SUSPECTED: Event = event(405, Level::Warn, "request suspected of ending servers");
/// A request crashed servers in isolated trials too: it is refused for some time.
pub const REQUEST_REFUSED: Event = event(406, Level::Warn, "request that ends servers refused");
/// A server has answered a request that was suspected or refused.
pub const REQUEST_CLEARED: Event = event(407, Level::Info, "suspected request cleared");
/// Another suspect was lost in the same crashes, or was cleared: a refusal is suspended or resumed.
pub const EVIDENCE_CONTESTED: Event = event(408, Level::Info, "evidence contested");
/// A request is paused whose trials were all lost without an answer.
pub const REQUEST_PAUSED: Event = event(409, Level::Warn, "unanswered request paused");
/// The idempotency key of a run was claimed.
pub const RUN_CLAIMED: Event = event(501, Level::Debug, "run claimed");
/// A run was sent to a backend server.
pub const RUN_SENT: Event = event(502, Level::Debug, "run sent");
/// A run was answered.
pub const RUN_DONE: Event = event(503, Level::Debug, "run answered");
/// A run was refused.
pub const RUN_REFUSED: Event = event(504, Level::Info, "run refused");
/// A query was answered without some of its shards.
pub const QUERY_PARTIAL: Event = event(505, Level::Debug, "query answered in part");
/// A query was refused.
pub const QUERY_REFUSED: Event = event(506, Level::Debug, "query refused");
/// The platform does not answer.
pub const PLATFORM_DOWN: Event = event(601, Level::Warn, "platform does not answer");
/// The platform answers again.
pub const PLATFORM_UP: Event = event(602, Level::Info, "platform answers again");
/// The platform was restored from a copy.
pub const RESTORED: Event = event(603, Level::Warn, "platform restored from a copy");

/// All kinds of events, ordered by number.
pub const CATALOGUE: [Event; 36] = [
    STARTED,
    READY,
    LEAVING,
    LEFT,
    PAUSED,
    TEXT_IN_FORCE,
    TEXT_STALE,
    TEXT_BROKEN,
    EDIT_ACCEPTED,
    EDIT_CONFLICT,
    EDIT_UNKNOWN,
    EDIT_LOST,
    MEMBER_JOINED,
    MEMBER_SUSPECT,
    MEMBER_DEAD,
    MEMBER_LEFT,
    REFUTED,
    SHARE_CHANGED,
    SERVER_LEAVING,
    SERVER_DOWN,
    SERVER_UP,
    SNAPSHOT,
    REQUEST_SUSPECTED,
    REQUEST_REFUSED,
    REQUEST_CLEARED,
    EVIDENCE_CONTESTED,
    REQUEST_PAUSED,
    RUN_CLAIMED,
    RUN_SENT,
    RUN_DONE,
    RUN_REFUSED,
    QUERY_PARTIAL,
    QUERY_REFUSED,
    PLATFORM_DOWN,
    PLATFORM_UP,
    RESTORED,
];
