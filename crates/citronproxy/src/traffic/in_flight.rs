//! Table of requests of one traffic thread that a backend server may be running.

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

/// Allowance for the time between the write of a request and its read by the server,
/// which counts the deadline from the read.
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

/// In-flight table of one traffic thread.
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
    /// Creates an empty table.
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

    /// Whether no request that was routed under a revision older than `below` can still
    /// reach the server or run there.
    ///
    /// An abandoned request, which was written and whose client or connection was lost,
    /// may still run. It counts until its deadline, which was sent to the server.
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

    /// Number of requests in progress.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Latest time at which an abandoned request may still run; `None` if there is none.
    pub fn abandoned_until(&self) -> Option<Time> {
        self.abandoned
            .iter()
            .map(|abandoned| abandoned.runs_until)
            .max()
    }
}

/// Entry of one request, which is removed when dropped.
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
    /// Registers a request. Called in the same synchronous step that reads the snapshot,
    /// so that no query about an older revision can be served between the two.
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

    /// Records that the request is being written and may run until `runs_until`.
    pub fn mark_written(&mut self, runs_until: Time) {
        let now = self.in_flight.borrow().clock.now();
        self.written_at.get_or_insert(now);
        self.runs_until = Some(runs_until);
    }

    /// Records that the server does not run the request any more or never did.
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
