//! Taking over.

use {
    super::term::{ServicePlan, Term},
    crate::{
        edge::control::{
            codec::{LeadershipWire, PLANNER},
            election::{Election, has_ended},
            node::{Holder, Leadership, Node},
            watch::RANGES,
        },
        events,
    },
    citron_core::ranges::{Demand, LeaseBook, LeaseTimes, RangeMap, Reconciler},
    citron_ports::{Adapter, RowCommit, RowStore, RowTable, StoreError},
};

/// Whether this instance should plan from now on.
pub fn wants_leadership<A: Adapter>(node: &Node<A>, election: &mut Election) -> bool {
    let state = node.state.borrow();
    let ready =
        *node.store.borrow() && !node.leaving() && state.mirrors.iter().all(|m| m.version > 0);
    let now = node.clock.now();
    ready && election.claims(&state, &node.settings, node.start, now)
}

/// Claims the planner's row, and begins a term if that was done.
pub async fn take_leadership<A: Adapter>(
    node: &Node<A>,
    election: &mut Election,
    times: LeaseTimes,
) -> Option<Term> {
    let former = node.state.borrow().leadership.clone();
    let before = still_acting(node, former.as_ref());
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
    match node.adapter.store().rows(RowTable::Ranges).await {
        Ok(set) => {
            node.store_answered(begun);
            node.take(RANGES, set, true);
        }
        Err(error) => {
            node.store_failed("maps", &error);
            return None;
        }
    }
    begin_term(node, before, times)
}

/// Planners that may not know yet that another has the leadership. Not only the last
/// one: an earlier one that is cut off may still renew when the last has ended.
fn still_acting<A: Adapter>(node: &Node<A>, former: Option<&Leadership>) -> Vec<Holder> {
    let Some(former) = former else {
        return Vec::new();
    };
    let state = node.state.borrow();
    let me = &node.settings.instance;
    let mut before = former.before.clone();
    before.push(former.holder.clone());
    before.retain(|holder| holder.instance != *me && !has_ended(&state, holder));
    before
}

fn begin_term<A: Adapter>(node: &Node<A>, before: Vec<Holder>, times: LeaseTimes) -> Option<Term> {
    let mut state = node.state.borrow_mut();
    let leadership = state.leadership.clone()?;
    if leadership.holder.instance != node.settings.instance || leadership.holder.start != node.start
    {
        return None;
    }
    let now = node.clock.now();
    let foreign = match before.is_empty() {
        true => now,
        false => now + times.blind,
    };
    let maps = state.maps.iter();
    let plans = maps.map(|(service, (map, version))| {
        let book = LeaseBook::new(times, foreign);
        let reconciler = Reconciler::new(RangeMap::clone(map), book);
        let version = *version;
        let demand = Demand::default();
        let plan = ServicePlan {
            reconciler,
            version,
            demand,
        };
        (service.clone(), plan)
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
        evened: now,
    })
}
