//! What the heaviest customers of a group of services were served lately.

use super::recent::{RecentCount, SPANS};

/// Number of customers that are counted.
const MAX_CUSTOMERS: usize = 32;
/// Deviation from the fair share that changes nothing, as a fraction of the share.
const TOLERANCE: f64 = 0.1;

/// A customer's share of the served requests, compared with its max-min fair share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ServedShare {
    Overserved,
    Usual,
    Underserved,
}

#[derive(Debug, Clone)]
struct Customer {
    /// Hash of the name.
    hash: u64,
    asked: RecentCount,
    served: RecentCount,
}

/// Space-saving sketch of the customers with the most requests.
#[derive(Debug, Clone, Default)]
pub(super) struct CustomerShares {
    customers: Vec<Customer>,
}

impl CustomerShares {
    /// Counts a request of a customer.
    ///
    /// If the sketch is full, the customer with the fewest requests is replaced. The new one takes
    /// over its count of requests, so that a heavy customer can't be displaced by light ones, but
    /// not its count of served requests.
    pub(super) fn record_asked(&mut self, hash: u64, now_ms: u64) {
        let index = self.customers.iter().position(|c| c.hash == hash).unwrap_or_else(|| {
            if self.customers.len() < MAX_CUSTOMERS {
                let (asked, served) = Default::default();
                self.customers.push(Customer { hash, asked, served });
                return self.customers.len() - 1;
            }
            let asked = |i: &usize| self.customers[*i].asked.sum(SPANS, now_ms);
            let lightest = (0..MAX_CUSTOMERS).min_by_key(asked).unwrap_or(0);
            self.customers[lightest].hash = hash;
            self.customers[lightest].served = RecentCount::default();
            lightest
        });
        self.customers[index].asked.add(now_ms);
    }

    /// Counts a request of a customer that was answered in time.
    pub(super) fn record_served(&mut self, hash: u64, now_ms: u64) {
        if let Some(customer) = self.customers.iter_mut().find(|c| c.hash == hash) {
            customer.served.add(now_ms);
        }
    }

    /// Compares a customer with its max-min fair share of what all were served.
    ///
    /// A customer that is not counted has few requests and counts as underserved.
    pub(super) fn compare(&self, hash: u64, now_ms: u64) -> ServedShare {
        let Some(customer) = self.customers.iter().find(|c| c.hash == hash) else {
            return ServedShare::Underserved;
        };
        let served = f64::from(customer.served.sum(SPANS, now_ms));
        let asked = f64::from(customer.asked.sum(SPANS, now_ms));
        let level = self.fair_level(now_ms);
        if served > level * (1.0 + TOLERANCE) {
            ServedShare::Overserved
        } else if served < asked.min(level) * (1.0 - TOLERANCE) {
            ServedShare::Underserved
        } else {
            ServedShare::Usual
        }
    }

    /// Returns the number of requests up to which each customer would be served if the served
    /// requests were divided max-min fairly.
    fn fair_level(&self, now_ms: u64) -> f64 {
        let mut asked = [0_u32; MAX_CUSTOMERS];
        let mut left = 0_u32;
        for (asked, customer) in asked.iter_mut().zip(&self.customers) {
            *asked = customer.asked.sum(SPANS, now_ms);
            left += customer.served.sum(SPANS, now_ms);
        }
        let asked = &mut asked[..self.customers.len()];
        asked.sort_unstable();
        let mut remaining = u32::try_from(asked.len()).unwrap_or(u32::MAX);
        for &asked in asked.iter() {
            if u64::from(asked) * u64::from(remaining) > u64::from(left) {
                return f64::from(left) / f64::from(remaining);
            }
            left -= asked;
            remaining -= 1;
        }
        f64::INFINITY
    }
}
