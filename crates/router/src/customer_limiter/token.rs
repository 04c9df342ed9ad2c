//! Token of one request, which goes back unless the request may have run.

use std::rc::Rc;
use std::sync::Arc;

use crate::router::Router;

/// Origin of a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TokenSource {
    /// Held in advance.
    Advance,
    /// Granted by another instance.
    Asked,
    /// Granted by this instance as the owner or its deputy.
    Owner,
    /// Taken afterwards for a request that was sent to a delegate.
    Forced,
}

impl TokenSource {
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Advance => "advance",
            Self::Asked => "asked",
            Self::Owner => "owner",
            Self::Forced => "forced",
        }
    }
}

/// Token of one request; given back when dropped, unless it is committed.
pub(crate) struct Token {
    router: Rc<Router>,
    customer: Arc<str>,
    source: TokenSource,
    is_committed: bool,
}

impl std::fmt::Debug for Token {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Token")
            .field("customer", &self.customer)
            .field("source", &self.source)
            .field("is_committed", &self.is_committed)
            .finish_non_exhaustive()
    }
}

impl Token {
    pub(super) fn new(router: Rc<Router>, customer: Arc<str>, source: TokenSource) -> Self {
        Self { router, customer, source, is_committed: false }
    }

    pub(crate) fn source(&self) -> TokenSource {
        self.source
    }

    /// Keeps the token used, because something of the request may have run.
    pub(crate) fn commit(&mut self) {
        self.is_committed = true;
    }

    /// Reverts [`Self::commit`] once it is known that nothing of the request has run.
    pub(crate) fn revert_commit(&mut self) {
        self.is_committed = false;
    }
}

impl Drop for Token {
    fn drop(&mut self) {
        if !self.is_committed {
            self.router.give_back_token(&self.customer);
        }
    }
}
