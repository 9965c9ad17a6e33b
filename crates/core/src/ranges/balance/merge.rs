//! Moves that join slices again.

use {
    super::{Balance, Shift},
    crate::{id::ServerName, ranges::KeyRange},
};

/// Part of its next owner's fair load up to which a slice is given to the owner of a
/// neighbour: the balance stays as it is.
const SMALL: f64 = 0.1;

impl Balance<'_> {
    /// Moves that join slices which hardly anybody asks for with a neighbour, where
    /// `under` moves are under way; `parts` are slices in the order of their keys
    /// that are not on their way.
    ///
    /// A range that is hot for some seconds is cut into as many slices as servers
    /// share it. Left alone they cost the planner an order each every other second,
    /// and after a few such ranges there would be no room for the cuts of the next.
    pub fn joins(&self, under: usize, parts: &[(KeyRange, ServerName)]) -> Vec<Shift> {
        let most = self.limits.moves.saturating_sub(under);
        let mut joins = Vec::new();
        let mut at = 1;
        while at < parts.len() && joins.len() < most {
            match self.join(&parts[at - 1], &parts[at]) {
                Some(join) => {
                    joins.push(join);
                    // Neither of the two is joined with another one meanwhile.
                    at += 2;
                }
                None => at += 1,
            }
        }
        joins
    }

    fn join(
        &self,
        below: &(KeyRange, ServerName),
        above: &(KeyRange, ServerName),
    ) -> Option<Shift> {
        if below.0.above() != Some(above.0.first) || below.1 == above.1 {
            return None;
        }
        let shift = |range: KeyRange, from: &ServerName, to: &ServerName| Shift {
            range,
            from: Some(from.clone()),
            to: to.clone(),
        };
        if self.is_small(above.0, &below.1) {
            return Some(shift(above.0, &above.1, &below.1));
        }
        let small = self.is_small(below.0, &above.1);
        small.then(|| shift(below.0, &below.1, &above.1))
    }

    fn is_small(&self, range: KeyRange, to: &ServerName) -> bool {
        let taker = self.shares.get(to).filter(|taker| taker.takes);
        taker.is_some_and(|taker| {
            let fair = self.fair * taker.rate;
            let demand = self.demand.of(range);
            demand < fair * SMALL && taker.load + demand < fair * self.limits.ratio
        })
    }
}
