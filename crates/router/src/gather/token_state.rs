//! The token that a request takes from its customer's rate limit.

use std::time::Duration;

use eelgrasspier_backend::DispatchFlag;

use super::Gather;
use crate::customer_limiter::{LimitCause, LimitRefusal, Token, TokenOutcome};

/// Token of one request.
#[derive(Debug, Default)]
pub(super) enum TokenState {
    /// None is needed, or none was taken yet.
    #[default]
    None,
    /// Taken here.
    Taken(Token),
    /// The delegate takes it.
    AtDelegate,
    /// The delegate was lost, and it is unknown whether it has taken the token.
    DelegateLost,
}

impl TokenState {
    /// Records that the instance which gathers the shards was lost.
    pub(super) fn on_delegate_lost(&mut self) {
        if self.is_at_delegate() {
            *self = Self::DelegateLost;
        }
    }

    /// Returns true if the delegate takes the token and is not known to be lost.
    pub(super) fn is_at_delegate(&self) -> bool {
        matches!(self, Self::AtDelegate)
    }

    /// Gives the token back if nothing of the request has run.
    pub(super) fn settle(&mut self, may_have_run: bool) {
        if let Self::Taken(token) = self
            && !may_have_run
        {
            token.revert_commit();
        }
    }
}

impl Gather<'_> {
    /// Takes a token of the customer; returns false if the request must not run.
    pub(super) async fn take_token(&mut self) -> bool {
        if self.request.customer.is_none() {
            return true;
        }
        let left_ms = self.deadlines.limit_at_ms.saturating_sub(self.router.shared.now_ms());
        let taking = self.router.take_token(self.view, self.request);
        let Ok(outcome) = tokio::time::timeout(Duration::from_millis(left_ms), taking).await else {
            self.gathered.is_timed_out = true;
            return false;
        };
        // Replicas may have left and zones may have been evacuated in the meantime.
        self.current_view = self.router.shared.view.load_full();
        match outcome {
            TokenOutcome::NotLimited => true,
            TokenOutcome::Taken(token) => {
                self.gathered.limit_source = Some(token.source().label());
                self.token = TokenState::Taken(token);
                true
            }
            TokenOutcome::Refused(limit_refusal) => {
                self.gathered.limit_source = Some("none");
                self.gathered.limit_refusal = Some(limit_refusal);
                false
            }
        }
    }

    /// Returns the flag of a send or relay request that is about to start.
    ///
    /// The token counts as used from then on, because a caller that leaves does not stop a replica.
    pub(super) fn begin_send(&mut self) -> DispatchFlag {
        match &mut self.token {
            TokenState::None | TokenState::AtDelegate => {}
            TokenState::Taken(token) => token.commit(),
            TokenState::DelegateLost => {
                let token = self.router.force_token(self.view, self.request);
                self.gathered.limit_source = token.as_ref().map(|t| t.source().label());
                self.token = token.map_or(TokenState::None, TokenState::Taken);
            }
        }
        let dispatched = DispatchFlag::default();
        self.write_flags.push(dispatched.clone());
        dispatched
    }

    /// Records that the delegate refused the request by the customer's rate limit.
    pub(super) fn apply_limit_refusal(&mut self, limited_ms: u64, limit_unavailable_ms: u64) {
        let (cause, retry_after_ms) = match (limited_ms, limit_unavailable_ms) {
            (0, 0) => return,
            (0, retry_after_ms) => (LimitCause::Unavailable, retry_after_ms),
            (retry_after_ms, _) => (LimitCause::Limited, retry_after_ms),
        };
        let customer = self.request.customer.clone().unwrap_or_default();
        self.gathered.limit_refusal = Some(LimitRefusal { customer, cause, retry_after_ms });
    }
}
