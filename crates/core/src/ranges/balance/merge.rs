//! Moves that merge small slices with their neighbours.

use {
    super::{Balancer, Reassignment},
    crate::{id::ServerName, ranges::KeyRange},
};

/// Share of the recipient's fair load below which a slice may be merged into a neighbour
/// without affecting the balance.
const SMALL_FRACTION: f64 = 0.1;

impl Balancer<'_> {
    /// Plans moves of slices with little demand to the owner of an adjacent slice, while
    /// `open_moves` moves are in progress. `slices` are the slices that are not moving,
    /// in key order.
    ///
    /// A range that is hot for some seconds is split into as many slices as servers share
    /// it. If they stayed, each would cost the planner a renewal every 2.5 s, and after a
    /// few such ranges the limit on slices would leave no room to split the next one.
    pub fn merges(
        &self,
        open_moves: usize,
        slices: &[(KeyRange, ServerName)],
    ) -> Vec<Reassignment> {
        let max_merges = self.limits.max_moves.saturating_sub(open_moves);
        let mut merges = Vec::new();
        let mut index = 1;
        while index < slices.len() && merges.len() < max_merges {
            match self.merge(&slices[index - 1], &slices[index]) {
                Some(merge) => {
                    merges.push(merge);
                    // Neither of the two slices takes part in another merge of this plan.
                    index += 2;
                }
                None => index += 1,
            }
        }
        merges
    }

    /// Plans a move that merges two adjacent slices, if either is small enough.
    fn merge(
        &self,
        below: &(KeyRange, ServerName),
        above: &(KeyRange, ServerName),
    ) -> Option<Reassignment> {
        if below.0.next_key() != Some(above.0.first) || below.1 == above.1 {
            return None;
        }
        let reassignment = |range: KeyRange, from: &ServerName, to: &ServerName| Reassignment {
            range,
            from: Some(from.clone()),
            to: to.clone(),
        };
        if self.is_small(above.0, &below.1) {
            return Some(reassignment(above.0, &above.1, &below.1));
        }
        let is_small_below = self.is_small(below.0, &above.1);
        is_small_below.then(|| reassignment(below.0, &below.1, &above.1))
    }

    /// Whether `to` can take over `range` without affecting the balance.
    fn is_small(&self, range: KeyRange, to: &ServerName) -> bool {
        let recipient = self
            .by_server
            .get(to)
            .filter(|recipient| recipient.accepts_keys);
        recipient.is_some_and(|recipient| {
            let fair = self.fair_utilization * recipient.rate;
            let demand = self.demand.rate(range);
            demand < fair * SMALL_FRACTION
                && recipient.load + demand < fair * self.limits.busy_ratio
        })
    }
}
