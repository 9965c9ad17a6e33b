//! Planners that were replaced, and until when each may still act.
//!
//! One that is cut off, or gone for good, cannot say that it has stopped; it renews
//! leases for as long as it may without the store, counted from when it was
//! replaced. Only the planner that replaced it knows when that was. It writes it
//! down for those after it: otherwise each of them would wait the whole time anew
//! for an instance that left the deployment long ago.

use {
    crate::edge::control::{
        codec::{FORMER_PLANNERS_KEY, FormerPlannersWire, PLANNER_KEY},
        controller::{ControlState, Controller, Leadership, PlannerId},
        election::has_ended,
    },
    citron_core::time::{StoreTime, Time},
    citron_ports::{Adapter, RowCommit, RowStore, RowTable},
    std::{rc::Rc, time::Duration},
};

/// Planners that may not know yet that another has the leadership. Not only the last
/// one: an earlier one that is cut off may still renew when the last has ended.
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
        planner.instance != *own_name && !has_stopped && !has_ended(&state, planner)
    });
    predecessors
}

/// When the last of these has surely stopped, if they were replaced by now; `blind`
/// is how long a planner acts without the store.
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

/// Writes down until when these may still act; they were replaced before a call
/// that began at `read` was answered.
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
        expected: vec![(
            RowTable::Ranges,
            PLANNER_KEY.to_string(),
            leadership.version,
        )],
        writes: vec![(RowTable::Ranges, FORMER_PLANNERS_KEY.to_string(), value)],
        removes: Vec::new(),
    };
    // Without it the next planner waits longer, and nothing else.
    if let Err(error) = controller.adapter.store().commit(&commit).await {
        controller.on_store_failure("formers", &error);
    }
}

fn encode_stop_times(
    state: &ControlState,
    predecessors: &[PlannerId],
    read_started: Time,
    offline_max: Duration,
) -> Option<Vec<u8>> {
    let now = state.store_clock.at_or_after(read_started)?;
    let entry = |planner: &PlannerId| {
        let known: Option<StoreTime> = state.former_planners.get(planner).copied();
        let stopped_by = known.unwrap_or(now + offline_max);
        (
            planner.instance.to_string(),
            planner.incarnation,
            stopped_by.0,
        )
    };
    let wire = FormerPlannersWire(predecessors.iter().map(entry).collect());
    serde_json::to_vec(&wire).ok()
}
