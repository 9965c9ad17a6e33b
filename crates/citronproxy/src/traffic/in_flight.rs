//! Requests that a backend server may be running for this thread.

use {
    super::{load::ScopeLoads, slo_counters::SloCounters},
    crate::clock::Clock,
    citron_core::{
        id::{Revision, ServerName},
        ownership::Scope,
        routing::ServiceRoutes,
        table::ServerRow,
        time::Time,
    },
    rustc_hash::FxHashMap,
    std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration},
};

/// How much later a server may read a request than it was written; the server
/// counts the deadline from then.
const READ_DELAY: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Entry {
    server: Arc<ServerRow>,
    revision: Revision,
}

#[derive(Debug)]
struct Abandoned {
    entry: Entry,
    runs_until: Time,
}

/// The table of one thread.
#[derive(Debug)]
pub struct InFlightTable {
    /// Load by scope.
    pub load: ScopeLoads,
    /// Counts for service-level objectives.
    pub slo_counters: SloCounters,
    clock: Clock,
    entries: FxHashMap<u64, Entry>,
    abandoned: Vec<Abandoned>,
    next_id: u64,
}

impl InFlightTable {
    /// An empty table.
    pub fn new(clock: Clock) -> Self {
        Self {
            load: ScopeLoads::default(),
            slo_counters: SloCounters::default(),
            clock,
            entries: FxHashMap::default(),
            abandoned: Vec::new(),
            next_id: 0,
        }
    }

    /// Whether no request that was routed below a revision can still reach the
    /// server or run there.
    ///
    /// A request that was written and then abandoned may still run; the server
    /// was told its deadline, so it counts until then.
    pub fn is_quiescent(&mut self, server: &ServerName, below: Revision) -> bool {
        let now = self.clock.now();
        self.abandoned
            .retain(|abandoned| abandoned.runs_until > now);
        let is_older = |entry: &Entry| entry.revision < below && entry.server.name == *server;
        let is_open = self.entries.values().any(is_older);
        let may_run = self
            .abandoned
            .iter()
            .any(|abandoned| is_older(&abandoned.entry));
        !is_open && !may_run
    }

    /// How many requests are under way.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// When the last abandoned request can run no more; `None` if there is none.
    pub fn abandoned_until(&self) -> Option<Time> {
        self.abandoned
            .iter()
            .map(|abandoned| abandoned.runs_until)
            .max()
    }
}

/// One request's entry; taken out when dropped.
#[derive(Debug)]
pub struct InFlightRequest {
    in_flight: Rc<RefCell<InFlightTable>>,
    id: u64,
    service: Arc<ServiceRoutes>,
    scope: Scope,
    written_at: Option<Time>,
    runs_until: Option<Time>,
}

impl InFlightRequest {
    /// Enters a request in the same step that read the snapshot, so that no
    /// question about an older revision can come between the two.
    pub fn register(
        in_flight: &Rc<RefCell<InFlightTable>>,
        service: &Arc<ServiceRoutes>,
        scope: Scope,
        server: &Arc<ServerRow>,
        revision: Revision,
    ) -> Self {
        let mut table = in_flight.borrow_mut();
        let id = table.next_id;
        table.next_id += 1;
        let server = Arc::clone(server);
        table.entries.insert(id, Entry { server, revision });
        Self {
            in_flight: Rc::clone(in_flight),
            id,
            service: Arc::clone(service),
            scope,
            written_at: None,
            runs_until: None,
        }
    }

    /// Notes that the request is being written and may run until its deadline.
    pub fn mark_written(&mut self, runs_until: Time) {
        let now = self.in_flight.borrow().clock.now();
        self.written_at.get_or_insert(now);
        self.runs_until = Some(runs_until);
    }

    /// Notes that the server runs it no more, or never did.
    pub fn mark_settled(&mut self) {
        self.runs_until = None;
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let mut table = self.in_flight.borrow_mut();
        let now = table.clock.now();
        let service = &self.service.row.name;
        let time = self.written_at.map(|written_at| now - written_at);
        if let Some(time) = time {
            table.load.add(service, self.scope, time);
        }
        let Some(entry) = table.entries.remove(&self.id) else {
            return;
        };
        if let Some(time) = time {
            table
                .slo_counters
                .add_busy_time(service, &entry.server.name, time);
        }
        if let Some(runs_until) = self.runs_until.filter(|runs_until| *runs_until > now) {
            let runs_until = runs_until + READ_DELAY;
            table.abandoned.push(Abandoned { entry, runs_until });
        }
    }
}
