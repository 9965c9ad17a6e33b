//! Limit on each operator's concurrent requests on one instance.

use {crate::id::OperatorName, std::collections::BTreeMap};

/// Requests that an operator may have in progress, as a multiple of the free capacity.
const FREE_ROOM_FACTOR: usize = 2;

/// Counts the requests in progress on one instance, by operator.
///
/// An operator may have at most twice as many requests in progress as there is free
/// capacity. A single operator can use two thirds of the capacity. The rest stays free
/// for others, whose requests would otherwise be rejected in a flood that is not theirs.
/// The limit needs no settings per operator and ends no running request.
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
    /// Creates a limiter for up to `limit` requests, running and queued.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            total: 0,
            in_progress: BTreeMap::new(),
        }
    }

    /// Counts a request of an operator; `false` if the operator is at its limit.
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

    /// Counts the end of an operator's request.
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

    /// Requests of an operator that are in progress.
    pub fn in_progress(&self, operator: &OperatorName) -> usize {
        self.in_progress.get(operator).copied().unwrap_or(0)
    }
}
