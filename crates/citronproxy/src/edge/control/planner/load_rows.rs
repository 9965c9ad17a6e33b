//! What planners learn of the load of services, in rows of its own for later planners.

use {
    super::{capacity::measured_speeds, term::Term},
    crate::{
        edge::control::{
            codec::{LoadsKey, LoadsWire},
            controller::{Controller, Leadership},
        },
        events,
    },
    citron_core::{
        id::{ServiceName, StoreVersion},
        ranges::{LearnedLoads, LoadLearner},
        registry::ServerRecord,
        time::Time,
    },
    citron_ports::{Adapter, Row, RowCommit, RowStore, RowTable},
    std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration},
    tokio::{task::spawn_local, time::timeout},
};

/// How long a write may remain unanswered. It is not repeated: the next one follows after ten
/// seconds, under a condition that holds for one of the two at most.
const WRITE_TIMEOUT: Duration = Duration::from_millis(800);

/// Row of one service, as the store holds it.
#[derive(Debug, Clone, Default)]
struct StoredLoads {
    version: StoreVersion,
    loads: LearnedLoads,
}

/// Learned loads of all services.
#[derive(Debug, Default)]
pub struct LoadRows {
    stored: RefCell<BTreeMap<ServiceName, StoredLoads>>,
    term: RefCell<TermLoads>,
}

/// What this instance learns during a term.
#[derive(Debug, Default)]
struct TermLoads {
    /// Claim that began the term.
    claim: StoreVersion,
    learners: BTreeMap<ServiceName, LoadLearner>,
}

impl LoadRows {
    /// Applies a row of the table of ranges, if it holds learned loads. One that cannot be read
    /// counts as empty.
    pub fn apply(&self, row: &Row) {
        let Ok(LoadsKey(service)) = row.key.parse() else {
            return;
        };
        let mut stored = self.stored.borrow_mut();
        let Some(value) = row.value.as_deref() else {
            stored.remove(&service);
            return;
        };
        let loads = serde_json::from_slice::<LoadsWire>(value)
            .map_err(|error| error.to_string())
            .and_then(LearnedLoads::try_from)
            .inspect_err(|error| log::error!("{} {}: {error}", events::OWN_ROW_REFUSED, row.key));
        let version = row.version;
        let loads = loads.unwrap_or_default();
        stored.insert(service, StoredLoads { version, loads });
    }

    /// What former planners have learned of `servers`; empty if nothing.
    pub fn learned(&self, service: &ServiceName, servers: &[&ServerRecord]) -> LearnedLoads {
        let stored = self.stored.borrow();
        let stored = stored.get(service).map(|stored| &stored.loads);
        let names = || servers.iter().map(|known| &known.entry.name);
        let stored = stored.filter(|loads| loads.concerns(names()));
        stored.cloned().unwrap_or_default()
    }

    /// Records what `term` knows now, and returns the loads of services to be written.
    fn due_writes<A: Adapter>(
        &self,
        controller: &Controller<A>,
        term: &Term,
        now: Time,
    ) -> Vec<(ServiceName, StoreVersion, LearnedLoads)> {
        let lists = controller
            .state
            .borrow_mut()
            .registry
            .server_lists()
            .clone();
        let is_commit_open = term.has_open_commit();
        let mut term_loads = self.term.borrow_mut();
        if term_loads.claim != term.leadership.claim {
            *term_loads = TermLoads {
                claim: term.leadership.claim,
                learners: BTreeMap::new(),
            };
        }
        let mut writes = Vec::new();
        for (service, plan) in &term.plans {
            let servers = lists.get(service).map_or(&[][..], |list| list.as_slice());
            let servers: Vec<&ServerRecord> = servers.iter().map(|known| &**known).collect();
            let learner = term_loads.learners.entry(service.clone());
            let learner =
                learner.or_insert_with(|| LoadLearner::new(now, self.learned(service, &servers)));
            let speeds = measured_speeds(&servers, &controller.shared.loads(), now);
            let names = servers.iter().map(|known| &known.entry.name);
            learner.record(names.zip(speeds), &plan.demand, now);
            let stored = self.stored.borrow().get(service).cloned();
            let StoredLoads { version, loads } = stored.unwrap_or_default();
            if let Some(loads) = learner.take_due(&loads, is_commit_open, now) {
                writes.push((service.clone(), version, loads));
            }
        }
        writes
    }
}

/// Records what the term knows now, and writes what has changed, in tasks of their own.
pub fn write_due<A: Adapter>(controller: &Rc<Controller<A>>, term: &Term) {
    if !controller.settings.keep_loads || !*controller.store_up.borrow() {
        return;
    }
    let now = controller.clock.now();
    for (service, version, loads) in controller.load_rows.due_writes(controller, term, now) {
        let leadership = term.leadership.clone();
        let controller = Rc::clone(controller);
        spawn_local(write(controller, leadership, service, version, loads));
    }
}

/// Writes the row of a service, on condition that the leadership and the row are unchanged.
/// Without it, the next planner assigns keys by slots, but nothing else goes wrong.
async fn write<A: Adapter>(
    controller: Rc<Controller<A>>,
    leadership: Leadership,
    service: ServiceName,
    version: StoreVersion,
    loads: LearnedLoads,
) {
    let Some(value) = LoadsWire::encode(loads, controller.settings.row_bytes_max) else {
        return;
    };
    let key = LoadsKey(service).to_string();
    let row = (RowTable::Ranges, key.clone());
    let mut commit = RowCommit {
        expected: leadership.preconditions(),
        writes: vec![(row.0, row.1.clone(), value)],
        removes: Vec::new(),
    };
    commit.expected.push((row.0, row.1, version));
    let result = timeout(WRITE_TIMEOUT, controller.adapter.store().commit(&commit)).await;
    let error = match result {
        Ok(Ok(_)) => return controller.metrics.count_store_call(true),
        Ok(Err(error)) => error.to_string(),
        Err(_) => format!("no response within {WRITE_TIMEOUT:?}"),
    };
    // Not counted as a failure of the store, which would pause moves of keys.
    controller.metrics.count_store_call(false);
    log::info!("{} {key}: {error}", events::STORE_CALL_FAILED);
}
