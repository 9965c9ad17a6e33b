//! Former planners, and the time by which each must have stopped.
//!
//! A former planner that is partitioned or permanently gone cannot report that it has
//! stopped. It may renew leases without the store for a limited time, counted from when
//! it was replaced. Only its successor can tell when that was, and stores the time for
//! later planners. Each of them would otherwise wait the full time again for an instance
//! that left the deployment long ago.

use {
    crate::edge::control::{
        codec::{FORMER_PLANNERS_KEY, FormerPlannersWire},
        controller::{ControlState, Controller, Leadership, PlannerId},
        election::has_ended,
    },
    citron_core::time::{StoreTime, Time},
    citron_ports::{Adapter, RowCommit, RowStore, RowTable},
    std::{rc::Rc, time::Duration},
};

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

/// Time by which all of `predecessors` have certainly stopped, if they were replaced by
/// now. `offline_max` is how long a planner acts without reaching the store.
pub fn stopped_by(
    state: &ControlState,
    predecessors: &[PlannerId],
    offline_max: Duration,
    now: Time,
) -> Time {
    let time_left = |planner: &PlannerId| {
        let stopped_by = state.former_planners.get(planner);
        let left = stopped_by.and_then(|time| state.store_clock.time_until(*time, now));
        left.unwrap_or(offline_max).min(offline_max)
    };
    now + predecessors.iter().map(time_left).max().unwrap_or_default()
}

/// The row of stop times without that of an earlier term of this incarnation, if there is one.
/// To be written with a claim: this incarnation acts again, and would count as stopped once the
/// claim of another one replaces it.
pub fn without_own<A: Adapter>(controller: &Controller<A>) -> Option<(RowTable, String, Vec<u8>)> {
    let own = PlannerId {
        instance: controller.settings.instance.clone(),
        incarnation: controller.incarnation,
    };
    let state = controller.state.borrow();
    if !state.former_planners.contains_key(&own) {
        return None;
    }
    let others = state.former_planners.iter();
    let others = others.filter(|(planner, _)| **planner != own);
    let value = encode(others.map(|(planner, time)| (planner, *time)))?;
    Some((RowTable::Ranges, FORMER_PLANNERS_KEY.to_string(), value))
}

/// Stores the times by which former planners have stopped. They were replaced before the
/// response to a call that began at `read_started`.
pub async fn store_stop_times<A: Adapter>(
    controller: Rc<Controller<A>>,
    leadership: Leadership,
    predecessors: Vec<PlannerId>,
    read_started: Time,
    offline_max: Duration,
) {
    let Some(value) = encode_stop_times(
        &controller.state.borrow(),
        &predecessors,
        read_started,
        offline_max,
    ) else {
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

fn encode_stop_times(
    state: &ControlState,
    predecessors: &[PlannerId],
    read_started: Time,
    offline_max: Duration,
) -> Option<Vec<u8>> {
    let now = state.store_clock.at_or_after(read_started)?;
    let stop_time = |planner: &PlannerId| {
        let known: Option<StoreTime> = state.former_planners.get(planner).copied();
        known.unwrap_or(now + offline_max)
    };
    encode(
        predecessors
            .iter()
            .map(|planner| (planner, stop_time(planner))),
    )
}

fn encode<'a>(stop_times: impl Iterator<Item = (&'a PlannerId, StoreTime)>) -> Option<Vec<u8>> {
    let entries = stop_times.map(|(planner, stopped_by)| {
        let name = planner.instance.to_string();
        (name, planner.incarnation, stopped_by.0)
    });
    serde_json::to_vec(&FormerPlannersWire(entries.collect())).ok()
}
