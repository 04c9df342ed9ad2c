//! Whether a request may run, by its API key.

use std::sync::Arc;

use displaydoc::Display;

use crate::customers::{Customer, Customers};
use crate::freshness::ConfigurationSources;

/// Credential of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PresentedKey<'a> {
    /// No API key was sent.
    Missing,
    /// An API key.
    Key(&'a [u8]),
    /// Something that is no API key, such as another scheme or two keys.
    Malformed,
}

/// Cause for refusing a request by its credential; the text is the label in logs and metrics.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum KeyRefusal {
    /// missing
    Missing,
    /// malformed
    Malformed,
    /// unknown
    Unknown,
    /// not_current
    NotCurrent,
    /// unconfirmed
    Unconfirmed,
}

impl KeyRefusal {
    /// Returns true if the key may be valid, so that the caller should retry.
    ///
    /// [`Self::NotCurrent`] is an unknown key that a newer configuration may have;
    /// [`Self::Unconfirmed`] is any key, since it may have been revoked.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::NotCurrent | Self::Unconfirmed)
    }
}

/// State by which keys are checked.
#[derive(Debug, Clone, Copy)]
pub struct KeyCheck<'a> {
    /// Customers of the configuration in force.
    pub customers: &'a Customers,
    /// Confirmations of this configuration, read before the configuration itself.
    pub sources: &'a ConfigurationSources,
    /// Time without confirmation after which no key is accepted, in milliseconds.
    pub revocation_timeout_ms: Option<u64>,
    /// Time now, in milliseconds.
    pub now_ms: u64,
}

impl<'a> KeyCheck<'a> {
    /// Returns the customer of a request; `None` if its route needs no key and it has no valid one.
    ///
    /// # Errors
    /// Fails if the request must not run.
    pub fn authenticate(
        &self,
        key: PresentedKey<'_>,
        is_public: bool,
    ) -> Result<Option<&'a Arc<Customer>>, KeyRefusal> {
        match self.find(key) {
            Ok(customer) => Ok(Some(customer)),
            Err(_) if is_public => Ok(None),
            Err(refusal) => Err(refusal),
        }
    }

    fn find(&self, key: PresentedKey<'_>) -> Result<&'a Arc<Customer>, KeyRefusal> {
        let key = match key {
            PresentedKey::Missing => return Err(KeyRefusal::Missing),
            PresentedKey::Malformed => return Err(KeyRefusal::Malformed),
            PresentedKey::Key(key) => key,
        };
        let unconfirmed_ms = self.sources.unconfirmed_ms(self.now_ms);
        if self.revocation_timeout_ms.is_some_and(|timeout_ms| unconfirmed_ms >= timeout_ms) {
            return Err(KeyRefusal::Unconfirmed);
        }
        let is_current = self.sources.is_current(self.now_ms);
        let cause = if is_current { KeyRefusal::Unknown } else { KeyRefusal::NotCurrent };
        self.customers.find(key).ok_or(cause)
    }
}
