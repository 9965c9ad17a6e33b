//! Planners that were replaced, and until when each may still act.
//!
//! One that is cut off, or gone for good, cannot say that it has stopped; it renews
//! leases for as long as it may without the store, counted from when it was
//! replaced. Only the planner that replaced it knows when that was. It writes it
//! down for those after it: otherwise each of them would wait the whole time anew
//! for an instance that left the deployment long ago.

use {
    crate::edge::control::{
        codec::{FORMERS, FormersWire, PLANNER},
        election::has_ended,
        node::{Holder, Leadership, Node, State},
    },
    citron_core::time::{StoreTime, Time},
    citron_ports::{Adapter, RowCommit, RowStore, RowTable},
    std::{rc::Rc, time::Duration},
};

/// Planners that may not know yet that another has the leadership. Not only the last
/// one: an earlier one that is cut off may still renew when the last has ended.
pub fn still_acting<A: Adapter>(node: &Node<A>, former: Option<&Leadership>) -> Vec<Holder> {
    let Some(former) = former else {
        return Vec::new();
    };
    let state = node.state.borrow();
    let now = node.clock.now();
    let me = &node.settings.instance;
    let mut before = former.before.clone();
    before.push(former.holder.clone());
    before.retain(|holder| {
        let until = state.formers.get(holder);
        let stopped = until.is_some_and(|until| state.times.is_past(*until, now));
        holder.instance != *me && !stopped && !has_ended(&state, holder)
    });
    before
}

/// When the last of these has surely stopped, if they were replaced by now; `blind`
/// is how long a planner acts without the store.
pub fn stopped_by(state: &State, before: &[Holder], blind: Duration, now: Time) -> Time {
    let left = |holder: &Holder| {
        let until = state.formers.get(holder);
        let left = until.and_then(|until| state.times.time_until(*until, now));
        left.unwrap_or(blind).min(blind)
    };
    now + before.iter().map(left).max().unwrap_or_default()
}

/// Writes down until when these may still act; they were replaced before a call
/// that began at `read` was answered.
pub async fn note<A: Adapter>(
    node: Rc<Node<A>>,
    leadership: Leadership,
    before: Vec<Holder>,
    read: Time,
    blind: Duration,
) {
    let Some(value) = noted(&node.state.borrow(), &before, read, blind) else {
        return;
    };
    let commit = RowCommit {
        expected: vec![(RowTable::Ranges, PLANNER.to_string(), leadership.version)],
        writes: vec![(RowTable::Ranges, FORMERS.to_string(), value)],
        removes: Vec::new(),
    };
    // Without it the next planner waits longer, and nothing else.
    if let Err(error) = node.adapter.store().commit(&commit).await {
        node.store_failed("formers", &error);
    }
}

fn noted(state: &State, before: &[Holder], read: Time, blind: Duration) -> Option<Vec<u8>> {
    let now = state.times.at_or_after(read)?;
    let until = |holder: &Holder| {
        let known: Option<StoreTime> = state.formers.get(holder).copied();
        let until = known.unwrap_or(now + blind);
        (holder.instance.to_string(), holder.start, until.0)
    };
    let wire = FormersWire(before.iter().map(until).collect());
    serde_json::to_vec(&wire).ok()
}
