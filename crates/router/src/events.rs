//! The catalogue of the router's log events; docs/ROUTER-EVENTS.md lists the same.

/// One kind of log event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Its number, whose meaning never changes.
    pub number: u16,
    /// Its name in the field `event` of the line.
    pub name: &'static str,
}

const fn event(number: u16, name: &'static str) -> Event {
    Event { number, name }
}

/// All events, by number.
pub const CATALOGUE: &[Event] = &[
    event(701, "started"),
    event(702, "ready"),
    event(703, "reload"),
    event(704, "settings_unusable"),
    event(705, "stopping"),
    event(706, "stopped"),
    event(707, "failed"),
    event(708, "metrics_not_served"),
    event(711, "store_lost"),
    event(712, "store_regained"),
    event(713, "store_call_failed"),
    event(714, "not_announced"),
    event(715, "instances_not_listed"),
    event(716, "instance_unreadable"),
    event(717, "instance_withdrawn"),
    event(718, "instance_not_withdrawn"),
    event(719, "announced"),
    event(721, "configuration"),
    event(722, "configuration_stale"),
    event(723, "configuration_unreadable"),
    event(724, "configuration_deleted"),
    event(725, "route_type_unknown"),
    event(731, "replica_entry"),
    event(732, "entry_unreadable"),
    event(733, "lapsed_entries_dropped"),
    event(734, "not_warmed"),
    event(735, "object_unreadable"),
    event(736, "listed"),
    event(737, "zone_evacuated"),
    event(738, "zone_taken_back"),
    event(739, "content_unknown"),
    event(741, "instance_joined"),
    event(742, "instance_state"),
    event(743, "instance_suspected"),
    event(744, "instance_dead"),
    event(745, "instance_left"),
    event(746, "suspicion_refuted"),
    event(747, "fetch_failed"),
    event(748, "fetch_refused"),
    event(749, "members_fetched"),
    event(751, "merged"),
    event(752, "relayed"),
    event(753, "refused"),
    event(754, "gathered"),
    event(755, "gathered_for_peer"),
    event(756, "send_failed"),
    event(757, "relay_failed"),
    event(758, "relay_silent"),
    event(759, "relay_refused"),
    event(760, "relay_unreadable"),
    event(761, "replica_replaced"),
    event(762, "sent_again"),
    event(763, "relay_replaced"),
    event(764, "overloaded"),
    event(765, "question_too_late"),
    event(766, "loss_checked"),
    event(767, "suspected"),
    event(768, "tried_alone"),
    event(769, "quarantined"),
    event(770, "cleared"),
    event(771, "request_kept"),
    event(772, "request_not_kept"),
    event(773, "requests_recalled"),
    event(774, "requests_not_recalled"),
    event(775, "request_unreadable"),
    event(776, "cold_send"),
    event(777, "store_restored"),
    event(778, "change_left_out"),
    event(779, "answer_late"),
    event(780, "store_era_back"),
    event(781, "object_kept"),
    event(782, "object_doubted"),
    event(783, "not_confirmed"),
    event(784, "requests_kept_again"),
    event(785, "key_refused"),
    event(786, "keys_unusable"),
    event(787, "limit_refused"),
    event(788, "limit_unavailable"),
    event(789, "limit_role"),
    event(790, "budget_refused"),
    event(791, "priority_refused"),
    event(792, "evidence_contested"),
    event(793, "merge_rejected"),
    event(794, "loss_unexplained"),
    event(795, "paused"),
    event(796, "silence_checked"),
    event(797, "watch_role"),
    event(798, "watcher_silent"),
    event(799, "watcher_answers"),
    event(800, "watch_report"),
    event(801, "delay_assumed"),
    event(802, "instance_recovered"),
];

/// Returns the number of the event that a line names, if the catalogue has it.
#[must_use]
pub fn number_of(line: &str) -> Option<u16> {
    let name = line.strip_prefix("event=")?.split(' ').next()?;
    CATALOGUE.iter().find(|e| e.name == name).map(|e| e.number)
}
