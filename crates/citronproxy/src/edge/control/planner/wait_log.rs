//! Log and metrics of keys that wait for an owner.

use {
    super::term::{Term, planned_owners},
    crate::{edge::control::controller::Controller, events},
    citron_core::{
        id::{ServerName, ServiceName},
        ranges::{KeyWait, WaitReason},
        time::Time,
    },
    citron_ports::Adapter,
    std::{collections::BTreeMap, time::Duration},
};

/// Change of the end of a wait from which on it is logged anew.
const NOTABLE_CHANGE: Duration = Duration::from_secs(1);

/// Waits of the services as last logged.
#[derive(Debug, Default)]
pub struct WaitLog {
    services: BTreeMap<ServiceName, LoggedWait>,
}

#[derive(Debug)]
struct LoggedWait {
    since: Time,
    until: Option<Time>,
    /// Keys by reason and former owner.
    keys: WaitingKeys,
}

type WaitingKeys = BTreeMap<(WaitReason, Option<ServerName>), u32>;

impl WaitLog {
    /// Logs waits that began, changed or ended since the last call, and sets the metrics.
    pub fn update<A: Adapter>(&mut self, controller: &Controller<A>, term: &Term) {
        let now = controller.clock.now();
        let state = controller.state.borrow();
        let owners = planned_owners(controller, &state);
        let (mut key_count, mut longest) = (0, Duration::ZERO);
        self.services
            .retain(|name, _| term.plans.contains_key(name));
        for (service, plan) in &term.plans {
            let waits = plan.reconciler.waits(now, &state.store_clock, &owners);
            let until = waits.iter().filter_map(|wait| wait.until).max();
            let keys = count_keys(&waits);
            key_count += keys.values().sum::<u32>();
            longest = longest.max(until.map_or(Duration::ZERO, |until| until - now));
            let claim = term.leadership.claim;
            if keys.is_empty() {
                if let Some(logged) = self.services.remove(service) {
                    let waited = now - logged.since;
                    log::info!(
                        "{} service={service} claim={claim} after={waited:.1?}",
                        events::KEYS_ASSIGNED
                    );
                }
                continue;
            }
            let logged = self.services.get(service);
            if logged.is_some_and(|logged| !logged.differs(&keys, until)) {
                continue;
            }
            let left = until.map(|until| until - now);
            log::info!(
                "{} service={service} claim={claim} keys={} at_most={left:.1?}: {}; {}",
                events::KEYS_WAITING,
                keys.values().sum::<u32>(),
                describe(&keys),
                describe_planners(term, now),
            );
            let since = logged.map_or(now, |logged| logged.since);
            let logged = LoggedWait { since, until, keys };
            self.services.insert(service.clone(), logged);
        }
        controller.metrics.waiting_keys.set(i64::from(key_count));
        controller
            .metrics
            .waiting_seconds
            .set(longest.as_secs_f64());
    }

    /// Forgets all waits, as this instance does not plan.
    pub fn clear<A: Adapter>(&mut self, controller: &Controller<A>) {
        self.services.clear();
        controller.metrics.waiting_keys.set(0);
        controller.metrics.waiting_seconds.set(0.0);
    }
}

impl LoggedWait {
    /// Whether keys wait for other reasons or owners now, or until another time.
    fn differs(&self, keys: &WaitingKeys, until: Option<Time>) -> bool {
        let is_other_end = match (self.until, until) {
            (Some(before), Some(until)) => {
                until - before > NOTABLE_CHANGE || before - until > NOTABLE_CHANGE
            }
            (before, until) => before.is_some() != until.is_some(),
        };
        is_other_end || !self.keys.keys().eq(keys.keys())
    }
}

fn count_keys(waits: &[KeyWait]) -> WaitingKeys {
    let mut keys = WaitingKeys::new();
    for wait in waits {
        *keys.entry((wait.reason, wait.owner.clone())).or_default() += wait.range.len();
    }
    keys
}

fn describe(keys: &WaitingKeys) -> String {
    let describe_part = |((reason, owner), count): (&(WaitReason, Option<ServerName>), &u32)| {
        let reason = reason.name();
        match owner {
            Some(owner) => format!("{count} of {owner} ({reason})"),
            None => format!("{count} ({reason})"),
        }
    };
    let parts: Vec<String> = keys.iter().map(describe_part).collect();
    parts.join(", ")
}

/// Earlier planners that may still grant keys.
fn describe_planners(term: &Term, now: Time) -> String {
    let predecessors = term.predecessors.iter().map(|one| one.to_string());
    let unlisted = term
        .unlisted_until
        .map(|_| "those that the store lost".to_string());
    let planners: Vec<String> = predecessors.chain(unlisted).collect();
    if planners.is_empty() {
        return "no earlier planner may grant".to_string();
    }
    let left = term.foreign_grants_until - now;
    format!("may grant for {left:.1?}: {}", planners.join(", "))
}
