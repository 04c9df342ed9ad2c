//! A budget that is paid in by ordinary work and spent by extra work.

/// Thousandths of a unit of work, so that the account stays in whole numbers.
type Milli = u64;

/// One whole unit of work.
const UNIT: Milli = 1000;

/// Account of extra work, such as hedges and retries.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Paid in for each unit of ordinary work.
    rate: Milli,
    /// Most that can be saved.
    cap: Milli,
    balance: Milli,
}

impl Budget {
    /// An account that allows `percent` of extra work, and `burst` at once.
    #[must_use]
    pub fn new(percent: u32, burst: u32) -> Self {
        const MILLI_PER_PERCENT: u64 = 10;
        let cap = if percent == 0 { 0 } else { u64::from(burst) * UNIT };
        Self { rate: u64::from(percent) * MILLI_PER_PERCENT, cap, balance: cap }
    }

    /// Notes one unit of ordinary work.
    pub fn earn(&mut self) {
        self.balance = (self.balance + self.rate).min(self.cap);
    }

    /// Takes one unit of extra work; returns whether there was one.
    pub fn spend(&mut self) -> bool {
        if self.balance < UNIT {
            return false;
        }
        self.balance -= UNIT;
        true
    }
}
