//! Room on one instance, shared by operators.

use {crate::id::OperatorName, std::collections::BTreeMap};

/// How much of the free room an operator may hold, as a factor.
const FREE_ROOM_FACTOR: usize = 2;

/// Counts the requests in progress on one instance, by operator.
///
/// An operator may hold at most twice the room that is still free. A single one
/// can fill two thirds; the rest is there for the others, whose requests would
/// else be refused for a flood that is not theirs. Nobody has to be
/// configured, and nothing that runs is cut.
///
/// ```
/// use citron_core::admission::OperatorLimiter;
/// let mut limiter = OperatorLimiter::new(30);
/// let (one, two) = ("one".parse().unwrap(), "two".parse().unwrap());
/// while limiter.try_acquire(&one) {}
/// assert_eq!(limiter.in_progress(&one), 20);
/// assert!(limiter.try_acquire(&two));
/// limiter.release(&two);
/// ```
#[derive(Debug)]
pub struct OperatorLimiter {
    limit: usize,
    total: usize,
    in_progress: BTreeMap<OperatorName, usize>,
}

impl OperatorLimiter {
    /// Room for so many requests, running and waiting.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            total: 0,
            in_progress: BTreeMap::new(),
        }
    }

    /// Takes room for a request; `false` if the operator has its part.
    pub fn try_acquire(&mut self, operator: &OperatorName) -> bool {
        let free = self.limit.saturating_sub(self.total);
        let in_progress = self.in_progress(operator);
        if in_progress >= FREE_ROOM_FACTOR * free {
            return false;
        }
        self.in_progress.insert(operator.clone(), in_progress + 1);
        self.total += 1;
        true
    }

    /// Gives the room of a request back.
    pub fn release(&mut self, operator: &OperatorName) {
        let Some(in_progress) = self.in_progress.get_mut(operator) else {
            return;
        };
        *in_progress -= 1;
        self.total -= 1;
        if *in_progress == 0 {
            self.in_progress.remove(operator);
        }
    }

    /// Requests of an operator in progress.
    pub fn in_progress(&self, operator: &OperatorName) -> usize {
        self.in_progress.get(operator).copied().unwrap_or(0)
    }
}
