//! Taking over.

use {
    super::{
        former_planners,
        term::{ServicePlan, Term},
    },
    crate::{
        edge::control::{
            codec::{LeadershipWire, PLANNER},
            controller::{Holder, Node},
            election::{Claimant, Election},
            refresh,
        },
        events,
    },
    citron_core::ranges::{Demand, EvenClock, LeaseBook, LeaseTimes, Reconciler},
    citron_ports::{Adapter, RowCommit, RowStore, RowTable, StoreError},
    std::rc::Rc,
    tokio::task::spawn_local,
};

/// Whether this instance should plan from now on.
pub fn wants_leadership<A: Adapter>(node: &Node<A>, election: &mut Election) -> bool {
    let state = node.state.borrow();
    let ready =
        *node.store.borrow() && !node.leaving() && state.mirrors.iter().all(|m| m.version > 0);
    let now = node.clock.now();
    let me = Claimant {
        settings: &node.settings,
        start: node.start,
        enlisted: node.enlisted.get(),
    };
    ready && election.claims(&state, &me, now)
}

/// Claims the planner's row, and begins a term if that was done.
pub async fn take_leadership<A: Adapter>(
    node: &Rc<Node<A>>,
    election: &mut Election,
    times: LeaseTimes,
) -> Option<Term> {
    let former = node.state.borrow().leadership.clone();
    let before = former_planners::still_acting(node, former.as_ref());
    let wire = LeadershipWire {
        instance: node.settings.instance.to_string(),
        start: node.start,
        before: before
            .iter()
            .map(|holder| (holder.instance.to_string(), holder.start))
            .collect(),
    };
    let commit = RowCommit {
        expected: vec![(
            RowTable::Ranges,
            PLANNER.to_string(),
            former.as_ref().map_or(0, |leadership| leadership.version),
        )],
        writes: vec![(
            RowTable::Ranges,
            PLANNER.to_string(),
            serde_json::to_vec(&wire).ok()?,
        )],
        removes: Vec::new(),
    };
    let claimed = node.adapter.store().commit(&commit).await;
    election.wait(node.clock.now());
    match claimed {
        Ok(_) | Err(StoreError::Conflict) => {}
        Err(error) => {
            node.store_failed("claim", &error);
            return None;
        }
    }
    // Whoever planned before may have written maps up to the claim.
    let begun = node.clock.now();
    if !refresh::read_maps(node).await {
        return None;
    }
    let term = begin_term(node, before, times)?;
    if !term.before.is_empty() {
        let (leadership, before) = (term.leadership.clone(), term.before.clone());
        let node = Rc::clone(node);
        spawn_local(former_planners::note(
            node,
            leadership,
            before,
            begun,
            times.blind,
        ));
    }
    Some(term)
}

fn begin_term<A: Adapter>(node: &Node<A>, before: Vec<Holder>, times: LeaseTimes) -> Option<Term> {
    let mut state = node.state.borrow_mut();
    let leadership = state.leadership.clone()?;
    if leadership.holder.instance != node.settings.instance || leadership.holder.start != node.start
    {
        return None;
    }
    let now = node.clock.now();
    let foreign = former_planners::stopped_by(&state, &before, times.blind, now);
    let maps = state.maps.iter();
    let plans = maps.filter_map(|(service, map)| {
        let book = LeaseBook::new(times, foreign);
        let mut reconciler = Reconciler::new(map.whole()?, book);
        for news in node.board.move_news(service, now) {
            reconciler.note_release(&news);
        }
        let demand = Demand::default();
        let plan = ServicePlan { reconciler, demand };
        Some((service.clone(), plan))
    });
    let plans = plans.collect();
    state.planning = true;
    log::info!(
        "{} this instance plans, row version {}",
        events::PLANNER,
        leadership.version
    );
    node.hurry.notify_one();
    Some(Term {
        leadership,
        before,
        plans,
        even: EvenClock::new(now),
    })
}
