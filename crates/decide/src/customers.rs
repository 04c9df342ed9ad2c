//! Customers, their API keys and their rate limits.
//!
//! Keys are kept as digests: a copy of the table, a log line or a comparison that ends early reveals
//! no key.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use displaydoc::Display;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Largest accepted rate and burst; larger integers have no exact representation in the
/// configuration's number format.
const MAX_LIMIT: f64 = 9_007_199_254_740_992.0;
const MILLI: f64 = 1000.0;

/// Rate limit of a customer over all instances together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimit {
    /// Requests per second, in thousandths; never 0.
    pub rate_milli: u64,
    /// Requests that may exceed the rate at once.
    pub burst: u64,
}

/// Customer of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Name for replicas, logs and metrics.
    pub name: Arc<str>,
    /// Priority that replaces the route's; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Rate limit; `None` for no limit.
    pub limit: Option<RateLimit>,
}

/// Customer as written by the operators.
#[derive(Debug, Clone, PartialEq)]
pub struct RawCustomer {
    /// Name of the customer.
    pub name: Arc<str>,
    /// API keys.
    pub keys: Vec<String>,
    /// Priority, if set.
    pub priority: Option<u32>,
    /// Requests per second; 0 for no limit.
    pub per_s: f64,
    /// Requests that may exceed the rate at once.
    pub burst: f64,
}

/// Invalid customer in the configuration.
#[derive(Debug, Display, Clone, PartialEq, thiserror::Error)]
pub enum CustomerError {
    /// customer {0:?} is listed twice
    Duplicate(Arc<str>),
    /// customer {0:?}: {1} is {2}, expected a number from 0 to 2^53
    BadLimit(Arc<str>, &'static str, f64),
}

/// SHA-256 digest of an API key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest([u8; 32]);

impl From<&[u8]> for KeyDigest {
    fn from(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

/// Customers of one version of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Customers {
    by_key: HashMap<KeyDigest, Arc<Customer>>,
    by_name: HashMap<Arc<str>, Arc<Customer>>,
    unusable_keys: Vec<Arc<str>>,
}

impl TryFrom<Vec<RawCustomer>> for Customers {
    type Error = CustomerError;

    fn try_from(raw: Vec<RawCustomer>) -> Result<Self, CustomerError> {
        let mut customers = Self::default();
        let mut shared_keys = BTreeSet::new();
        let mut unusable_keys = BTreeSet::new();
        for RawCustomer { name, keys, priority, per_s, burst } in raw {
            let limit = rate_limit(&name, per_s, burst)?;
            let customer = Arc::new(Customer { name: Arc::clone(&name), priority, limit });
            if customers.by_name.insert(Arc::clone(&name), Arc::clone(&customer)).is_some() {
                return Err(CustomerError::Duplicate(name));
            }
            for key in keys {
                if key.is_empty() {
                    unusable_keys.insert(Arc::clone(&name));
                    continue;
                }
                let digest = KeyDigest::from(key.as_bytes());
                let holder = customers.by_key.insert(digest, Arc::clone(&customer));
                if let Some(other) = holder.filter(|other| other.name != name) {
                    unusable_keys.extend([Arc::clone(&name), Arc::clone(&other.name)]);
                    shared_keys.insert(digest);
                }
            }
        }
        customers.by_key.retain(|digest, _| !shared_keys.contains(digest));
        customers.unusable_keys = unusable_keys.into_iter().collect();
        Ok(customers)
    }
}

impl Customers {
    /// Returns the customer that holds a key.
    #[must_use]
    pub fn find(&self, key: &[u8]) -> Option<&Arc<Customer>> {
        let digest = KeyDigest::from(key);
        let (known, customer) = self.by_key.get_key_value(&digest)?;
        bool::from(known.0.ct_eq(&digest.0)).then_some(customer)
    }

    /// Returns the customer with a name.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<&Arc<Customer>> {
        self.by_name.get(name)
    }

    /// Returns the customers with an empty key or a key that another customer has too.
    ///
    /// Such keys are accepted for nobody, because it is unknown whose requests they are.
    #[must_use]
    pub fn with_unusable_keys(&self) -> &[Arc<str>] {
        &self.unusable_keys
    }

    /// Returns the number of customers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns true if there are no customers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}

fn rate_limit(name: &Arc<str>, per_s: f64, burst: f64) -> Result<Option<RateLimit>, CustomerError> {
    let check = |field, value: f64| {
        if (0.0..=MAX_LIMIT).contains(&value) {
            Ok(value)
        } else {
            Err(CustomerError::BadLimit(Arc::clone(name), field, value))
        }
    };
    let (per_s, burst) = (check("per_s", per_s)?, check("burst", burst)?);
    if per_s <= 0.0 {
        return Ok(None);
    }
    // A positive rate must not round to 0, which would mean no limit.
    let rate_milli = saturating_integer(per_s * MILLI).max(1);
    Ok(Some(RateLimit { rate_milli, burst: saturating_integer(burst) }))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "float-to-integer casts saturate, and the values are never negative"
)]
fn saturating_integer(value: f64) -> u64 {
    value.round() as u64
}
