//! Taking over.

use {
    super::{
        formers,
        term::{ServicePlan, Term},
    },
    crate::{
        edge::control::{
            codec::{LeadershipWire, PLANNER},
            election::{Claimant, Election},
            node::{Holder, Node},
            refresh,
        },
        events,
    },
    citron_core::ranges::{BalanceTimer, Demand, LeaseTimes, LeaseTracker, Reconciler},
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
    let before = formers::still_acting(node, former.as_ref());
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
        spawn_local(formers::note(
            node,
            leadership,
            before,
            begun,
            times.outage_limit,
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
    let foreign = formers::stopped_by(&state, &before, times.outage_limit, now);
    let maps = state.maps.iter();
    let plans = maps.filter_map(|(service, map)| {
        let book = LeaseTracker::new(times, foreign);
        let mut reconciler = Reconciler::new(map.to_map()?, book);
        for news in node.board.move_news(service, now) {
            reconciler.restore_release(&news);
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
        even: BalanceTimer::new(now),
    })
}
