//! From how many instances changes are being pulled at a time.
//!
//! A pull has two ways to be late. The instance may be frozen or cut off: then another one
//! must be asked soon, since a change has to be in force within seconds. Or the answer is
//! long and the link is thin: twenty instances of a zone that pull a configuration of 1,800
//! routes from one over 30 Mbit/s take two seconds. To give the pull up then is worse than
//! to wait, since the next one starts from nothing and the version never comes into force.
//! So a late pull goes on, and another is started beside it.

/// Time after which another instance is asked as well, in milliseconds: some hundred ways
/// there and back within a region.
pub const ASK_ANOTHER_MS: u64 = 400;
/// Time after which a pull is given up, in milliseconds: 10 MB through a link of 30 Mbit/s.
pub const GIVE_UP_MS: u64 = 2_500;
/// Pulls side by side at the most; each more takes bytes from the others.
const MOST: usize = 3;

/// Pulls of one kind of objects that are in progress.
#[derive(Debug, Clone, Default)]
pub struct Pulls {
    /// Who was asked, and when, in milliseconds; the latest comes last.
    in_progress: Vec<(String, u64)>,
}

impl Pulls {
    /// Whether another instance may be asked now.
    #[must_use]
    pub fn may_start(&self, now_ms: u64) -> bool {
        let is_late = |(_, since_ms): &(String, u64)| now_ms >= since_ms + ASK_ANOTHER_MS;
        self.in_progress.len() < MOST && self.in_progress.last().is_none_or(is_late)
    }

    /// Whether `instance` is being asked.
    #[must_use]
    pub fn is_asked(&self, instance: &str) -> bool {
        self.in_progress.iter().any(|(name, _)| name == instance)
    }

    /// Notes that `instance` is asked.
    pub fn start(&mut self, instance: &str, now_ms: u64) {
        self.in_progress.push((instance.to_owned(), now_ms));
    }

    /// Notes that `instance` has answered, or was given up.
    pub fn end(&mut self, instance: &str) {
        self.in_progress.retain(|(name, _)| name != instance);
    }
}
