//! State and events of all instances, collected by any one of them.

use std::net::SocketAddr;
use std::sync::PoisonError;
use std::time::Duration;

use eelgrasspier_decide::membership::Member;
use eelgrasspier_operator::{InstanceStatus, TimelineEntry};
use eelgrasspier_peer::wire::{Body, Empty, EventsRequest};
use futures_util::StreamExt;
use futures_util::stream;
use serde::de::DeserializeOwned;

use super::Control;

/// Timeout for the answer of another instance.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of instances queried concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 64;

impl Control {
    pub(super) fn own_status(&self) -> InstanceStatus {
        let membership = self.membership.borrow();
        let own = membership.own();
        let agreement = self.agreement.borrow();
        let snapshots = self.shared.snapshots.lock().unwrap_or_else(PoisonError::into_inner);
        InstanceStatus {
            name: own.name.clone(),
            incarnation: own.incarnation,
            zone: own.zone.clone(),
            state: state_name(own),
            config_version: self.in_force.borrow().version(),
            members: membership.live_count(),
            holders: agreement.current_members().len(),
            is_share_agreed: agreement.is_agreed(),
            leaving_servers: self.leaving.borrow().iter().count(),
            snapshots: snapshots.clone(),
        }
    }

    /// Returns the state of every known instance.
    ///
    /// Instances that do not answer are listed as `unreachable`.
    pub(super) async fn all_status(&self) -> Vec<InstanceStatus> {
        let others: Vec<Member> = self.membership.borrow().live_peers().cloned().collect();
        let requests = others.iter().map(|member| async move {
            let answer = self.request_json(member, Body::StatusAsk(Empty {})).await;
            answer.unwrap_or_else(|| unreachable_status(member))
        });
        let mut all: Vec<InstanceStatus> =
            stream::iter(requests).buffer_unordered(MAX_CONCURRENT_REQUESTS).collect().await;
        all.push(self.own_status());
        all.sort_by(|a, b| a.name.cmp(&b.name));
        all
    }

    /// Returns the events of every live instance, ordered by stamp.
    pub(super) async fn all_events(&self, about: &str, from_stamp: u64) -> Vec<TimelineEntry> {
        let others: Vec<Member> = self.membership.borrow().live_peers().cloned().collect();
        let requests = others.iter().map(|member| {
            let request = EventsRequest { about: about.to_owned(), from_stamp };
            self.request_json::<Vec<TimelineEntry>>(member, Body::EventsAsk(request))
        });
        let answers: Vec<_> =
            stream::iter(requests).buffer_unordered(MAX_CONCURRENT_REQUESTS).collect().await;
        let mut all = self.shared.timeline.entries(about, from_stamp);
        all.extend(answers.into_iter().flatten().flatten());
        all.sort_by_key(|entry| entry.stamp);
        all
    }

    async fn request_json<T: DeserializeOwned>(&self, member: &Member, body: Body) -> Option<T> {
        let addr: SocketAddr = member.peer_addr.parse().ok()?;
        match self.peer_connections.request(addr, body, REQUEST_TIMEOUT).await {
            Ok(Body::Status(json) | Body::Events(json)) => serde_json::from_slice(&json).ok(),
            _ => None,
        }
    }
}

fn state_name(member: &Member) -> String {
    format!("{:?}", member.state()).to_lowercase()
}

fn unreachable_status(member: &Member) -> InstanceStatus {
    InstanceStatus {
        name: member.name.clone(),
        incarnation: member.incarnation,
        zone: member.zone.clone(),
        state: "unreachable".to_owned(),
        config_version: None,
        members: 0,
        holders: 0,
        is_share_agreed: false,
        leaving_servers: 0,
        snapshots: std::collections::BTreeMap::new(),
    }
}
