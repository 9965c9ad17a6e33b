//! Former planners, and the time by which each must have stopped.
//!
//! A former planner that is partitioned or permanently gone cannot report that it has
//! stopped. It may renew leases without the store for a limited time, counted from when
//! it was replaced. Only its successor can tell when that was, and stores the time for
//! later planners. Each of them would otherwise wait the full time again for an instance
//! that left the deployment long ago.
//!
//! Without the store, a planner acts only while most of the witnesses that its claim names
//! confirm it. A successor that knows enough of them to have ended, or to follow another planner,
//! waits a second or two instead.

use {
    crate::edge::control::{
        codec::{FORMER_PLANNERS_KEY, FormerPlannersWire},
        controller::{ControlState, Controller, Leadership, PlannerId},
        election::{has_ended, has_stopped_planning},
    },
    citron_core::{
        id::StoreVersion,
        ranges::Witnesses,
        time::{StoreTime, Time},
    },
    citron_ports::{Adapter, RowCommit, RowStore, RowTable},
    std::{rc::Rc, time::Duration},
};

/// Name of a planner that is not known.
const UNNAMED: &str = "unnamed-planner";

/// Former planners that may not have stopped yet. Includes earlier ones than the last:
/// one that is partitioned may still renew leases although its successor has ended.
pub fn still_acting<A: Adapter>(
    controller: &Controller<A>,
    current: Option<&Leadership>,
) -> Vec<PlannerId> {
    let Some(current) = current else {
        return Vec::new();
    };
    let state = controller.state.borrow();
    let now = controller.clock.now();
    let own_name = &controller.settings.instance;
    let mut predecessors = current.predecessors.clone();
    predecessors.push(current.planner.clone());
    predecessors.retain(|planner| {
        let stopped_by = state.former_planners.get(planner);
        let has_stopped = stopped_by.is_some_and(|time| state.store_clock.is_past(*time, now));
        planner.instance != *own_name && !has_stopped && !has_ended(&state, planner, current.claim)
    });
    predecessors
}

/// Stands for the planner of a leadership that could not be read, so that the claims after it
/// wait for that planner too. `version` is that of the row: each such planner has a stop time of
/// its own.
pub fn unnamed(version: StoreVersion) -> Option<PlannerId> {
    let instance = UNNAMED.parse().ok()?;
    Some(PlannerId {
        instance,
        incarnation: version.0,
    })
}

/// A former planner, and how long it may act from now on at most.
pub type ActLimit = (PlannerId, Duration);

/// Whether too few witnesses are left to confirm a former planner, given that this instance
/// claimed the leadership at `claim`.
pub fn is_unconfirmed<A: Adapter>(
    controller: &Controller<A>,
    state: &ControlState,
    witnesses: &Witnesses,
    claim: StoreVersion,
) -> bool {
    !witnesses.may_confirm(|name, process| {
        let witness = PlannerId {
            instance: name.clone(),
            incarnation: process.0,
        };
        *name == controller.settings.instance || has_stopped_planning(state, &witness, claim)
    })
}

/// The same limit for each of `predecessors`: how long a planner acts without the store.
pub fn act_limits(predecessors: &[PlannerId], outage_limit: Duration) -> Vec<ActLimit> {
    let planners = predecessors.iter();
    planners
        .map(|planner| (planner.clone(), outage_limit))
        .collect()
}

/// Time by which former planners have certainly stopped.
pub fn stopped_by(state: &ControlState, limits: &[ActLimit], now: Time) -> Time {
    let time_left = |(planner, limit): &ActLimit| {
        let stopped_by = state.former_planners.get(planner);
        let left = stopped_by.and_then(|time| state.store_clock.time_until(*time, now));
        left.unwrap_or(*limit).min(*limit)
    };
    now + limits.iter().map(time_left).max().unwrap_or_default()
}

/// The row of stop times without that of an earlier term of this incarnation, if there is one.
/// To be written with a claim: this incarnation acts again, and would count as stopped once the
/// claim of another one replaces it.
pub fn without_own<A: Adapter>(controller: &Controller<A>) -> Option<(RowTable, String, Vec<u8>)> {
    let own = controller.planner_id();
    let state = controller.state.borrow();
    if !state.former_planners.contains_key(&own) {
        return None;
    }
    let others = state.former_planners.iter();
    let others = others.filter(|(planner, _)| **planner != own);
    let value = encode(others.map(|(planner, time)| (planner, *time)))?;
    Some((RowTable::Ranges, FORMER_PLANNERS_KEY.to_string(), value))
}

/// Stores the times by which former planners have stopped. Their limits count from `since`;
/// the store has answered a call that began no earlier.
pub async fn store_stop_times<A: Adapter>(
    controller: Rc<Controller<A>>,
    leadership: Leadership,
    limits: Vec<ActLimit>,
    since: Time,
) {
    let Some(value) = encode_stop_times(&controller.state.borrow(), &limits, since) else {
        return;
    };
    let commit = RowCommit {
        expected: leadership.preconditions(),
        writes: vec![(RowTable::Ranges, FORMER_PLANNERS_KEY.to_string(), value)],
        removes: Vec::new(),
    };
    // Without the row, the next planner waits longer, but nothing else goes wrong.
    if let Err(error) = controller.adapter.store().commit(&commit).await {
        controller.on_store_write_failure("former planners", &error);
    }
}

fn encode_stop_times(state: &ControlState, limits: &[ActLimit], since: Time) -> Option<Vec<u8>> {
    let start = state.store_clock.at_or_after(since)?;
    let stop_times = limits.iter().map(|(planner, limit)| {
        let known: Option<StoreTime> = state.former_planners.get(planner).copied();
        let latest = start + *limit;
        (planner, known.unwrap_or(latest).min(latest))
    });
    encode(stop_times)
}

fn encode<'a>(stop_times: impl Iterator<Item = (&'a PlannerId, StoreTime)>) -> Option<Vec<u8>> {
    let entries = stop_times.map(|(planner, stopped_by)| {
        let name = planner.instance.to_string();
        (name, planner.incarnation, stopped_by.0)
    });
    serde_json::to_vec(&FormerPlannersWire(entries.collect())).ok()
}
