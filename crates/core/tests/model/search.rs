//! The exhaustive search.

use {
    super::{
        events::Model,
        setup::Setup,
        state::{Broken, Node, State},
    },
    citron_core::ownership::Rules,
    pathfinding::directed::bfs::bfs,
    std::cell::Cell,
};

/// What a search found.
#[derive(Debug)]
pub struct Found {
    /// States that were reached.
    pub states: usize,
    /// The shortest run that breaks a promise, and the promise.
    pub broken: Option<(Broken, Vec<(&'static str, usize)>)>,
}

/// Searches all runs within the bounds, the shortest first.
pub fn check<R: Rules>(setup: Setup) -> Found {
    let model = Model::new(setup);
    let count = Cell::new(0);
    let first = Node {
        event: ("start", 0),
        state: State::<R>::first(&setup),
    };
    let next = |node: &Node<R>| {
        count.set(count.get() + 1);
        model.next(&node.state)
    };
    let path = bfs(&first, next, |node| node.state.broken.is_some());
    let broken = path.map(|path| {
        let last = path.last().and_then(|node| node.state.broken);
        let events = path.iter().skip(1).map(|node| node.event);
        (last.unwrap(), events.collect())
    });
    Found {
        states: count.get(),
        broken,
    }
}
