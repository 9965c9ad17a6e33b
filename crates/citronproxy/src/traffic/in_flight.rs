//! Requests that a backend server may be running for this thread.

use {
    super::{load::Load, slo_counters::Burn},
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
const READ_TIME: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Entry {
    server: Arc<ServerRow>,
    revision: Revision,
}

#[derive(Debug)]
struct Abandoned {
    entry: Entry,
    until: Time,
}

/// The table of one thread.
#[derive(Debug)]
pub struct Flights {
    /// Load by scope.
    pub load: Load,
    /// Counts for service-level objectives.
    pub burn: Burn,
    clock: Clock,
    entries: FxHashMap<u64, Entry>,
    abandoned: Vec<Abandoned>,
    next: u64,
}

impl Flights {
    /// An empty table.
    pub fn new(clock: Clock) -> Self {
        Self {
            load: Load::default(),
            burn: Burn::default(),
            clock,
            entries: FxHashMap::default(),
            abandoned: Vec::new(),
            next: 0,
        }
    }

    /// Whether no request that was routed below a revision can still reach the
    /// server or run there.
    ///
    /// A request that was written and then abandoned may still run; the server
    /// was told its deadline, so it counts until then.
    pub fn quiet(&mut self, server: &ServerName, below: Revision) -> bool {
        let now = self.clock.now();
        self.abandoned.retain(|left| left.until > now);
        let older = |entry: &Entry| entry.revision < below && entry.server.name == *server;
        let waiting = self.entries.values().any(older);
        let running = self.abandoned.iter().any(|left| older(&left.entry));
        !waiting && !running
    }

    /// How many requests are under way.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// When the last abandoned request can run no more; `None` if there is none.
    pub fn abandoned_until(&self) -> Option<Time> {
        self.abandoned.iter().map(|left| left.until).max()
    }
}

/// One request's entry; taken out when dropped.
#[derive(Debug)]
pub struct Flight {
    flights: Rc<RefCell<Flights>>,
    number: u64,
    service: Arc<ServiceRoutes>,
    scope: Scope,
    begun: Option<Time>,
    until: Option<Time>,
}

impl Flight {
    /// Enters a request in the same step that read the snapshot, so that no
    /// question about an older revision can come between the two.
    pub fn enter(
        flights: &Rc<RefCell<Flights>>,
        service: &Arc<ServiceRoutes>,
        scope: Scope,
        server: &Arc<ServerRow>,
        revision: Revision,
    ) -> Self {
        let mut table = flights.borrow_mut();
        let number = table.next;
        table.next += 1;
        let server = Arc::clone(server);
        table.entries.insert(number, Entry { server, revision });
        Self {
            flights: Rc::clone(flights),
            number,
            service: Arc::clone(service),
            scope,
            begun: None,
            until: None,
        }
    }

    /// Notes that the request is being written and may run until its deadline.
    pub fn written(&mut self, until: Time) {
        let now = self.flights.borrow().clock.now();
        self.begun.get_or_insert(now);
        self.until = Some(until);
    }

    /// Notes that the server runs it no more, or never did.
    pub fn settled(&mut self) {
        self.until = None;
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut table = self.flights.borrow_mut();
        let now = table.clock.now();
        let service = &self.service.row.name;
        let time = self.begun.map(|begun| now - begun);
        if let Some(time) = time {
            table.load.add(service, self.scope, time);
        }
        let Some(entry) = table.entries.remove(&self.number) else {
            return;
        };
        if let Some(time) = time {
            table.burn.busy(service, &entry.server.name, time);
        }
        if let Some(until) = self.until.filter(|until| *until > now) {
            let until = until + READ_TIME;
            table.abandoned.push(Abandoned { entry, until });
        }
    }
}
