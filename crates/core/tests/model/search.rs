//! Exhaustive breadth-first search.

use {
    super::{
        events::Model,
        setup::Setup,
        state::{SearchNode, State, Violation},
    },
    citron_core::ownership::ProtocolRules,
    pathfinding::directed::bfs::bfs,
    std::cell::Cell,
};

/// Result of a search.
#[derive(Debug)]
pub struct SearchResult {
    /// Number of states reached.
    pub states: usize,
    /// The shortest run that violates an invariant, and the invariant.
    pub violation: Option<(Violation, Vec<(&'static str, usize)>)>,
}

/// Searches all runs within the bounds, the shortest first.
pub fn search<R: ProtocolRules>(setup: Setup) -> SearchResult {
    let model = Model::new(setup);
    let count = Cell::new(0);
    let first = SearchNode {
        event: ("start", 0),
        state: State::<R>::initial(&setup),
    };
    let next = |node: &SearchNode<R>| {
        count.set(count.get() + 1);
        model.successors(&node.state)
    };
    let path = bfs(&first, next, |node| node.state.violation.is_some());
    let violation = path.map(|path| {
        let last = path.last().and_then(|node| node.state.violation);
        let events = path.iter().skip(1).map(|node| node.event);
        (last.unwrap(), events.collect())
    });
    SearchResult {
        states: count.get(),
        violation,
    }
}
