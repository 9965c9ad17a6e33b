//! Room on one instance, shared by operators.

use {crate::id::OperatorName, std::collections::BTreeMap};

/// How much of the free room an operator may hold, as a factor.
const ALPHA: usize = 2;

/// Counts the requests in progress on one instance, by operator.
///
/// An operator may hold at most twice the room that is still free. A single one
/// can fill two thirds; the rest is there for the others, whose requests would
/// else be refused for a flood that is not theirs. Nobody has to be
/// configured, and nothing that runs is cut.
///
/// ```
/// use citron_core::admission::OperatorRoom;
/// let mut room = OperatorRoom::new(30);
/// let (one, two) = ("one".parse().unwrap(), "two".parse().unwrap());
/// while room.enter(&one) {}
/// assert_eq!(room.held(&one), 20);
/// assert!(room.enter(&two));
/// room.leave(&two);
/// ```
#[derive(Debug)]
pub struct OperatorRoom {
    limit: usize,
    total: usize,
    held: BTreeMap<OperatorName, usize>,
}

impl OperatorRoom {
    /// Room for so many requests, running and waiting.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            total: 0,
            held: BTreeMap::new(),
        }
    }

    /// Takes room for a request; `false` if the operator has its part.
    pub fn enter(&mut self, operator: &OperatorName) -> bool {
        let free = self.limit.saturating_sub(self.total);
        let held = self.held(operator);
        if held >= ALPHA * free {
            return false;
        }
        self.held.insert(operator.clone(), held + 1);
        self.total += 1;
        true
    }

    /// Gives the room of a request back.
    pub fn leave(&mut self, operator: &OperatorName) {
        let Some(held) = self.held.get_mut(operator) else {
            return;
        };
        *held -= 1;
        self.total -= 1;
        if *held == 0 {
            self.held.remove(operator);
        }
    }

    /// Requests of an operator in progress.
    pub fn held(&self, operator: &OperatorName) -> usize {
        self.held.get(operator).copied().unwrap_or(0)
    }
}
