//! Token bucket that is filled by ordinary work and spent by extra work.

/// Thousandths of a unit of work, so that the balance stays an integer.
type Milli = u64;

/// One unit of work.
const UNIT_MILLI: Milli = 1000;

/// Token bucket for extra work, such as hedges and retries.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Tokens earned per unit of ordinary work.
    rate_milli: Milli,
    /// Maximum balance.
    cap_milli: Milli,
    balance_milli: Milli,
}

impl TokenBucket {
    /// Creates a budget that allows `percent` of extra work and a burst of `burst` units.
    #[must_use]
    pub fn new(percent: u32, burst: u32) -> Self {
        const MILLI_PER_PERCENT: u64 = 10;
        let cap_milli = if percent == 0 { 0 } else { u64::from(burst) * UNIT_MILLI };
        Self {
            rate_milli: u64::from(percent) * MILLI_PER_PERCENT,
            cap_milli,
            balance_milli: cap_milli,
        }
    }

    /// Adds the tokens for one unit of ordinary work.
    pub fn earn(&mut self) {
        self.balance_milli = (self.balance_milli + self.rate_milli).min(self.cap_milli);
    }

    /// Takes one unit of extra work; returns false if the balance does not suffice.
    pub fn try_take(&mut self) -> bool {
        if self.balance_milli < UNIT_MILLI {
            return false;
        }
        self.balance_milli -= UNIT_MILLI;
        true
    }
}
