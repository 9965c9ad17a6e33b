//! Moves that join slices again.

use {
    super::{Balancer, Reassignment},
    crate::{id::ServerName, ranges::KeyRange},
};

/// Part of its next owner's fair load up to which a slice is given to the owner of a
/// neighbour: the balance stays as it is.
const SMALL_FRACTION: f64 = 0.1;

impl Balancer<'_> {
    /// Moves that join slices which hardly anybody asks for with a neighbour, where
    /// `open_moves` moves are under way; `slices` are slices in the order of their keys
    /// that are not on their way.
    ///
    /// A range that is hot for some seconds is cut into as many slices as servers
    /// share it. Left alone they cost the planner an order each every other second,
    /// and after a few such ranges there would be no room for the cuts of the next.
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
                    // Neither of the two is joined with another one meanwhile.
                    index += 2;
                }
                None => index += 1,
            }
        }
        merges
    }

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
