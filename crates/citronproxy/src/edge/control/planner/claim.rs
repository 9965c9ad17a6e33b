//! Claiming the leadership.

use {
    super::{
        former_planners,
        term::{ServicePlan, Term},
    },
    crate::{
        edge::control::{
            codec::{LeadershipWire, PLANNER_KEY},
            controller::{Controller, PlannerId},
            election::{Claimant, Election},
            refresh,
            replica::TableReplica,
        },
        events,
    },
    citron_core::id::StoreVersion,
    citron_core::ranges::{BalanceTimer, Demand, LeaseTimes, LeaseTracker, Reconciler},
    citron_ports::{Adapter, RowCommit, RowStore, RowTable, StoreError},
    std::rc::Rc,
    tokio::task::spawn_local,
};

/// Whether this instance should claim the leadership now.
pub fn should_claim_leadership<A: Adapter>(
    controller: &Controller<A>,
    election: &mut Election,
) -> bool {
    let state = controller.state.borrow();
    let is_ready = *controller.store_up.borrow()
        && !controller.is_leaving()
        && state.replicas.iter().all(TableReplica::is_read);
    let now = controller.clock.now();
    let claimant = Claimant {
        settings: &controller.settings,
        incarnation: controller.incarnation,
        registered_at: controller.registered_at.get(),
    };
    is_ready && election.should_claim(&state, &claimant, now)
}

/// Claims the leadership row. Returns the new term, or `None` if the claim failed.
pub async fn claim_leadership<A: Adapter>(
    controller: &Rc<Controller<A>>,
    election: &mut Election,
    lease_times: LeaseTimes,
) -> Option<Term> {
    let current = controller.state.borrow().leadership.clone();
    let predecessors = former_planners::still_acting(controller, current.as_ref());
    let wire = LeadershipWire {
        instance: controller.settings.instance.to_string(),
        start: controller.incarnation,
        before: predecessors
            .iter()
            .map(|planner| (planner.instance.to_string(), planner.incarnation))
            .collect(),
    };
    let commit = RowCommit {
        expected: vec![(
            RowTable::Ranges,
            PLANNER_KEY.to_string(),
            current
                .as_ref()
                .map_or(StoreVersion::NONE, |leadership| leadership.version),
        )],
        writes: vec![(
            RowTable::Ranges,
            PLANNER_KEY.to_string(),
            serde_json::to_vec(&wire).ok()?,
        )],
        removes: Vec::new(),
    };
    let result = controller.adapter.store().commit(&commit).await;
    election.restart_claim_delay(controller.clock.now());
    match result {
        Ok(_) | Err(StoreError::Conflict) => {}
        Err(error) => {
            controller.on_store_failure("claim", &error);
            return None;
        }
    }
    // Former planners may have written maps until the claim was committed.
    let call_started = controller.clock.now();
    if !refresh::read_maps(controller).await {
        return None;
    }
    let term = begin_term(controller, predecessors, lease_times)?;
    if !term.predecessors.is_empty() {
        let (leadership, predecessors) = (term.leadership.clone(), term.predecessors.clone());
        let controller = Rc::clone(controller);
        spawn_local(former_planners::store_stop_times(
            controller,
            leadership,
            predecessors,
            call_started,
            lease_times.outage_limit,
        ));
    }
    Some(term)
}

fn begin_term<A: Adapter>(
    controller: &Controller<A>,
    predecessors: Vec<PlannerId>,
    lease_times: LeaseTimes,
) -> Option<Term> {
    let mut state = controller.state.borrow_mut();
    let leadership = state.leadership.clone()?;
    if leadership.planner.instance != controller.settings.instance
        || leadership.planner.incarnation != controller.incarnation
    {
        return None;
    }
    let now = controller.clock.now();
    let foreign_leases_end =
        former_planners::stopped_by(&state, &predecessors, lease_times.outage_limit, now);
    let maps = state.maps.iter();
    let plans = maps.filter_map(|(service, map)| {
        let book = LeaseTracker::new(lease_times, foreign_leases_end);
        let mut reconciler = Reconciler::new(map.to_map()?, book);
        for update in controller.shared.recent_moves(service, now) {
            reconciler.restore_release(&update);
        }
        let demand = Demand::default();
        let plan = ServicePlan { reconciler, demand };
        Some((service.clone(), plan))
    });
    let plans = plans.collect();
    state.is_planning = true;
    log::info!(
        "{} this instance is now the planner, row version {}",
        events::PLANNER,
        leadership.version
    );
    controller.heartbeat_trigger.notify_one();
    Some(Term {
        leadership,
        predecessors,
        plans,
        balance_clock: BalanceTimer::new(now),
    })
}
