//! Direct checks of the watchers by the instances that replace them.

use std::net::SocketAddr;

use eelgrasspier_decide::membership::{Datagram, OutgoingDatagram, Purpose};
use eelgrasspier_decide::watchers;
use eelgrasspier_store::CollectionKind;

use super::Control;
use super::follow::MIN_WATCH_AGE_MS;

impl Control {
    /// Sends the checks that are due if this instance is a standby.
    pub(super) fn check_watchers(&self) {
        let now_ms = self.shared.now_ms();
        // While a fleet starts, no instance answers checks yet.
        if now_ms < MIN_WATCH_AGE_MS || !self.watcher_health.borrow().is_check_due(now_ms) {
            return;
        }
        let targets = self.check_targets();
        let unresponsive = self.watcher_health.borrow_mut().record_checks(&targets, now_ms);
        self.send(targets.iter().map(|(_, to)| message(*to, Purpose::WatcherCheck)).collect());
        for &key in &unresponsive {
            log::info!("event=watcher_silent instance={}", self.name_of(key));
        }
        if !unresponsive.is_empty() {
            self.update_roles();
        }
    }

    /// Processes a check or an answer to one; returns false for other datagrams.
    pub(super) fn process_watcher_check(&self, from: SocketAddr, purpose: Purpose) -> bool {
        match purpose {
            Purpose::WatcherCheck => {
                if self.is_able_to_watch() {
                    self.send(vec![message(from, Purpose::AbleToWatch)]);
                }
            }
            Purpose::AbleToWatch => {
                let answered = self.watcher_health.borrow_mut().record_answer(from);
                if let Some(key) = answered {
                    log::info!("event=watcher_answers instance={}", self.name_of(key));
                    self.update_roles();
                }
            }
            _ => return false,
        }
        true
    }

    /// Returns the keys and addresses of the instances to check.
    fn check_targets(&self) -> Vec<(u64, SocketAddr)> {
        let (own, others) = self.role_candidates();
        let keys = watchers::check_targets(own, &others);
        let membership = self.membership.borrow();
        let targets = membership.live_peers().filter(|m| keys.contains(&m.key()));
        targets.filter_map(|m| Some((m.key(), m.peer_addr.parse().ok()?))).collect()
    }

    /// True if this process is old enough to watch and knows from where.
    ///
    /// One that has just started does not answer checks, so that others watch until it does.
    fn is_able_to_watch(&self) -> bool {
        self.shared.now_ms() >= MIN_WATCH_AGE_MS
            && self.complete_position(CollectionKind::Configuration).is_some()
            && self.complete_position(CollectionKind::Replicas).is_some()
    }

    fn name_of(&self, key: u64) -> String {
        let membership = self.membership.borrow();
        let named = membership.peers().find(|m| m.key() == key);
        named.map_or_else(String::new, |m| m.name.clone())
    }
}

fn message(to: SocketAddr, purpose: Purpose) -> OutgoingDatagram {
    OutgoingDatagram { to, datagram: Datagram { purpose: purpose as i32, ..Datagram::default() } }
}
