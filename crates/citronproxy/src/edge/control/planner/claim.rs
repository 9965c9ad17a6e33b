//! Claiming the leadership.

use {
    super::{
        former_planners,
        term::{ServicePlan, Term},
    },
    crate::{
        edge::control::{
            codec::{FORMER_PLANNERS_KEY, LeadershipWire, PLANNER_KEY, TermKey},
            controller::{ControlState, Controller, Leadership, PlannerId},
            election::{Claimant, Election},
            refresh,
            replica::TableReplica,
            watch::RANGES,
        },
        events,
    },
    citron_core::id::{StoreEra, StoreVersion},
    citron_core::ranges::{
        BalanceTimer, Demand, EraStart, LeaseTimes, LeaseTracker, Probes, Reconciler, Tenure,
        Witnesses, act_limit,
    },
    citron_core::time::Time,
    citron_ports::{Adapter, RowCommit, RowStore, RowTable, StoreError},
    std::{
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
        time::Duration,
    },
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
        reach: controller.shared.reach().state(now),
        settings: &controller.settings,
        incarnation: controller.incarnation,
        registered_at: controller.registered_at.get(),
    };
    is_ready && election.should_claim(&state, &claimant, now)
}

/// Claims the leadership row. Returns the new term, or `None` if the claim failed. `former` is
/// the term of this instance that lapsed when the store came back from a copy, if there is one.
pub async fn claim_leadership<A: Adapter>(
    controller: &Rc<Controller<A>>,
    election: &mut Election,
    lease_times: LeaseTimes,
    former: &mut Option<Term>,
) -> Option<Term> {
    let current = controller.state.borrow().leadership.clone();
    let era = controller.state.borrow().replicas[RANGES].version.era();
    let planner_version = row_version(controller, PLANNER_KEY);
    let mut predecessors = former_planners::still_acting(controller, current.as_ref());
    if current.is_none() && planner_version != StoreVersion::NONE {
        predecessors.extend(former_planners::unnamed(planner_version));
    }
    let witnesses = stated_witnesses(controller, current.as_ref(), &predecessors, &lease_times);
    let wire = LeadershipWire {
        instance: controller.settings.instance.to_string(),
        start: controller.incarnation,
        era: era.0,
        before: predecessors
            .iter()
            .map(|planner| (planner.instance.to_string(), planner.incarnation))
            .collect(),
        witnesses: witnesses.iter().map(Into::into).collect(),
    };
    let commit = RowCommit {
        expected: vec![
            (
                RowTable::Ranges,
                PLANNER_KEY.to_string(),
                current
                    .as_ref()
                    .map_or(planner_version, |leadership| leadership.version),
            ),
            // A stop time of this incarnation, written since, would outlive the claim.
            (
                RowTable::Ranges,
                FORMER_PLANNERS_KEY.to_string(),
                row_version(controller, FORMER_PLANNERS_KEY),
            ),
        ],
        writes: vec![
            (
                RowTable::Ranges,
                PLANNER_KEY.to_string(),
                wire.encode(controller.settings.row_bytes_max)?,
            ),
            (
                RowTable::Ranges,
                TermKey(era).to_string(),
                wire.instance.clone().into_bytes(),
            ),
        ]
        .into_iter()
        .chain(former_planners::without_own(controller))
        .collect(),
        removes: earlier_terms(controller, era),
    };
    let result = controller.adapter.store().commit(&commit).await;
    election.restart_claim_delay(controller.clock.now());
    match result {
        Ok(_) | Err(StoreError::Conflict) => {}
        Err(error) => {
            controller.on_store_write_failure("claim", &error);
            return None;
        }
    }
    // Former planners may have written maps until the claim was committed.
    let call_started = controller.clock.now();
    if !refresh::read_maps(controller).await {
        return None;
    }
    let leadership = claimed_leadership(controller)?;
    let is_unbroken = former
        .as_ref()
        .is_some_and(|former| is_unbroken(controller, former, current.as_ref(), &leadership));
    let former = former.take().filter(|_| is_unbroken);
    let term = match former {
        Some(former) => resume_term(controller, former, leadership, predecessors, lease_times),
        None => begin_term(controller, leadership, predecessors, lease_times),
    };
    if !term.predecessors.is_empty() {
        let limits = former_planners::act_limits(&term.predecessors, lease_times.outage_limit);
        let leadership = term.leadership.clone();
        let controller = Rc::clone(controller);
        spawn_local(former_planners::store_stop_times(
            controller,
            leadership,
            limits,
            call_started,
        ));
    }
    Some(term)
}

/// Witnesses to name in a claim: those of this instance unless it knows no other one, and of the
/// former planners as far as they are known.
fn stated_witnesses<A: Adapter>(
    controller: &Controller<A>,
    replaced: Option<&Leadership>,
    predecessors: &[PlannerId],
    lease_times: &LeaseTimes,
) -> BTreeMap<PlannerId, Witnesses> {
    let state = controller.state.borrow();
    let own = controller.planner_id();
    let live = state.peers.pick_witnesses(controller.clock.now());
    let limit = act_limit(state.peers.schedule(), lease_times);
    let is_alone = controller.registered_at.get().is_some() && state.peers.is_empty();
    let named = (!is_alone).then(|| (own, Witnesses::new(live, limit)));
    let known = predecessors.iter().filter_map(|planner| {
        let witnesses = replaced?.witnesses.get(planner)?;
        Some((planner.clone(), witnesses.clone()))
    });
    known.chain(named).collect()
}

/// The time for which this instance may act under a leadership that it has just claimed.
fn new_tenure(leadership: &Leadership, lease_times: &LeaseTimes) -> Tenure {
    let witnesses = leadership.witnesses.get(&leadership.planner).cloned();
    Tenure::new(witnesses, lease_times)
}

/// Version of a row of the table of ranges, readable or not.
fn row_version<A: Adapter>(controller: &Controller<A>, key: &str) -> StoreVersion {
    let state = controller.state.borrow();
    state.replicas[RANGES].live_version(key)
}

/// Rows of terms of earlier eras.
fn earlier_terms<A: Adapter>(controller: &Controller<A>, era: StoreEra) -> Vec<(RowTable, String)> {
    let state = controller.state.borrow();
    let keys = state.replicas[RANGES].live_keys();
    let terms = keys.filter_map(|key| key.parse::<TermKey>().ok());
    let earlier = terms.filter(|term| term.0 < era);
    earlier
        .map(|term| (RowTable::Ranges, term.to_string()))
        .collect()
}

/// The leadership row, if it names this incarnation as of the current era of the store.
fn claimed_leadership<A: Adapter>(controller: &Controller<A>) -> Option<Leadership> {
    let leadership = controller.state.borrow().leadership.clone()?;
    let is_own = leadership.is_held_by(&controller.settings.instance, controller.incarnation);
    (is_own && !leadership.has_lapsed()).then_some(leadership)
}

/// Whether no other instance is known to have planned between a term that lapsed and its
/// renewal. One of which this instance has not heard may have, so that the term continues
/// behind a fence. `current` is the leadership that was known before.
fn is_unbroken<A: Adapter>(
    controller: &Controller<A>,
    former: &Term,
    current: Option<&Leadership>,
    renewed: &Leadership,
) -> bool {
    let claim = former.leadership.claim;
    let state = controller.state.borrow();
    let now = controller.clock.now();
    let mut peers = state.peers.live(now);
    let is_outbid = peers.any(|(_, peer)| {
        let heartbeat = peer.heartbeat.as_ref();
        heartbeat.is_some_and(|heartbeat| {
            heartbeat.leadership > claim.0 && heartbeat.leadership != renewed.claim.0
        })
    });
    // In an era that this instance has missed, others may have planned.
    let is_next_era = renewed.claim.era().0 == claim.era().0 + 1;
    current.is_some_and(|current| current.claim == claim) && is_next_era && !is_outbid
}

fn resume_term<A: Adapter>(
    controller: &Controller<A>,
    former: Term,
    leadership: Leadership,
    predecessors: Vec<PlannerId>,
    lease_times: LeaseTimes,
) -> Term {
    let state = controller.state.borrow();
    let (now, outage_limit) = (controller.clock.now(), lease_times.outage_limit);
    let limits = former_planners::act_limits(&predecessors, outage_limit);
    let stopped_by = former_planners::stopped_by(&state, &limits, now);
    let claim = leadership.claim;
    let unlisted_until = unlisted_planners_end(controller, &state, claim, outage_limit);
    let era = EraStart {
        floor: leadership.epoch_floor(),
        former_until: state.ranges_confirmed.before_era + outage_limit,
        others_until: stopped_by.max(unlisted_until.unwrap_or_default()),
    };
    log::info!(
        "{} this instance plans on after the term claimed at {}: {leadership}; renews former \
         leases for {:?}, earlier planners may grant for {:?}",
        events::PLANNER,
        former.leadership.claim,
        era.former_until - now,
        era.others_until - now,
    );
    let tenure = new_tenure(&leadership, &lease_times);
    former.resume(leadership, tenure, predecessors, unlisted_until, era, now)
}

/// Time until which planners may act whose claims the copy lacks from which the store came back,
/// and of which this instance has never heard; `None` if there are none.
fn unlisted_planners_end<A: Adapter>(
    controller: &Controller<A>,
    state: &ControlState,
    claim: StoreVersion,
    outage_limit: Duration,
) -> Option<Time> {
    let now = controller.clock.now();
    let restored_at = controller.restored_at.get()?;
    let until = restored_at + outage_limit;
    (until > now && !state.peers.all_follow(claim, now)).then_some(until)
}

fn begin_term<A: Adapter>(
    controller: &Controller<A>,
    leadership: Leadership,
    predecessors: Vec<PlannerId>,
    lease_times: LeaseTimes,
) -> Term {
    let mut state = controller.state.borrow_mut();
    let now = controller.clock.now();
    let floor = leadership.epoch_floor();
    let (claim, outage_limit) = (leadership.claim, lease_times.outage_limit);
    let limits = former_planners::act_limits(&predecessors, outage_limit);
    let stopped_by = former_planners::stopped_by(&state, &limits, now);
    let unlisted_until = unlisted_planners_end(controller, &state, claim, outage_limit);
    let foreign_leases_end = stopped_by.max(unlisted_until.unwrap_or_default());
    let maps = state.maps.iter();
    let plans = maps.filter_map(|(service, map)| {
        let book = LeaseTracker::new(lease_times, foreign_leases_end);
        let mut reconciler = Reconciler::new(map.newest().to_map()?, book).with_floor(floor);
        if !reconciler.map().is_above(floor) {
            reconciler.fence();
        }
        for update in controller.shared.recent_moves(service, now) {
            reconciler.restore_release(&update);
        }
        let demand = Demand::default();
        let probes = Probes::default();
        let plan = ServicePlan {
            reconciler,
            demand,
            probes,
        };
        Some((service.clone(), plan))
    });
    let plans = plans.collect();
    state.is_planning = true;
    controller.permits.issuer.borrow_mut().clear();
    log::info!(
        "{} this instance is now the planner: {leadership}; earlier planners may grant for {:?}, \
         those that the store lost for {:?}",
        events::PLANNER,
        stopped_by - now,
        unlisted_until.map(|until| until - now),
    );
    controller.heartbeat_trigger.notify_one();
    let leadership_era = leadership.claim.era();
    Term {
        tenure: new_tenure(&leadership, &lease_times),
        leadership,
        predecessors,
        unconfirmed: BTreeMap::new(),
        unstored_stops: None,
        plans,
        is_restored: leadership_era > StoreEra(0),
        unlisted_until,
        foreign_grants_until: foreign_leases_end,
        incomplete_maps: BTreeSet::new(),
        balance_clock: BalanceTimer::new(now),
    }
}
