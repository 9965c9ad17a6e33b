//! What control sees of traffic.

use {
    super::{
        command::Command,
        crash_log::CrashEvent,
        limiters::Quotas,
        load::{LoadSample, merge},
        metrics::Metrics,
        phase::Phase,
    },
    arc_swap::{ArcSwapOption, Guard},
    citron_core::{
        admission::{Demand, ServerQuota},
        crash::{CrashEntry, CrashReport},
        id::{Revision, ServerName, ServiceName},
        routing::Snapshot,
        slo::Tally,
    },
    prometheus::Registry,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, OnceLock, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot, watch},
        time::sleep,
    },
};

/// The pause between two rounds of questions to the threads.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Hands snapshots to the traffic threads without a lock, and asks them things.
#[derive(Debug, Clone, Default)]
pub struct TrafficHandle {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    snapshot: ArcSwapOption<Snapshot>,
    /// One channel a thread; locked by control only, never by a request.
    threads: Mutex<Vec<mpsc::UnboundedSender<Command>>>,
    published: watch::Sender<Revision>,
    phase: watch::Sender<Phase>,
    metrics: OnceLock<Metrics>,
}

impl TrafficHandle {
    /// Makes a snapshot the one that requests are routed by from now on. An
    /// older revision than the one in force is ignored.
    pub fn publish(&self, snapshot: Snapshot) {
        let revision = snapshot.map.revision;
        if revision < *self.shared.published.borrow() {
            return;
        }
        self.shared.snapshot.store(Some(Arc::new(snapshot)));
        self.shared.published.send_replace(revision);
    }

    /// The snapshot in force; `None` until the first one is published.
    pub fn snapshot(&self) -> Guard<Option<Arc<Snapshot>>> {
        self.shared.snapshot.load()
    }

    /// Tells every publication of a snapshot.
    pub fn subscribe_revisions(&self) -> watch::Receiver<Revision> {
        self.shared.published.subscribe()
    }

    /// Resolves once no request that was routed under a revision older than
    /// `below` can still be written to the server or run there for this instance.
    ///
    /// It waits for `below` to be published: until then new requests would still
    /// be routed under an older one. A written request whose caller or connection
    /// went away counts until its deadline, which the server was told.
    pub async fn wait_quiescent(&self, server: &ServerName, below: Revision) {
        loop {
            // The order matters: a thread that answers after the publication
            // routes nothing more under an older revision.
            let is_published = *self.shared.published.borrow() >= below;
            if is_published && self.is_quiescent(server, below).await {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn is_quiescent(&self, server: &ServerName, below: Revision) -> bool {
        let replies = self.query_all(|reply| Command::IsQuiescent {
            server: server.clone(),
            below,
            reply,
        });
        for reply in replies {
            // A thread that has ended has no request left.
            if !reply.await.unwrap_or(true) {
                return false;
            }
        }
        true
    }

    /// Load of every scope since this was last asked, in the order of service
    /// and scope.
    pub async fn take_loads(&self) -> Vec<LoadSample> {
        let mut samples = Vec::new();
        for reply in self.query_all(|reply| Command::Load { reply }) {
            samples.extend(reply.await.unwrap_or_default());
        }
        merge(samples)
    }

    /// Counts for service-level objectives since this was last asked.
    pub async fn take_tallies(&self) -> BTreeMap<ServiceName, Tally> {
        let mut tallies: BTreeMap<ServiceName, Tally> = BTreeMap::new();
        for reply in self.query_all(|reply| Command::Tallies { reply }) {
            for (service, tally) in reply.await.unwrap_or_default() {
                *tallies.entry(service).or_default() += &tally;
            }
        }
        tallies
    }

    /// Rates of requests by server since this was last asked, for the exchange
    /// with other instances.
    pub async fn take_demand(&self) -> BTreeMap<ServerName, Demand> {
        let mut sums = BTreeMap::new();
        for reply in self.query_all(|reply| Command::Demand { reply }) {
            for (server, demand) in reply.await.unwrap_or_default() {
                let sum = sums.entry(server).or_insert(Demand::NONE);
                sum.arrivals.0 += demand.arrivals.0;
                sum.answers.0 += demand.answers.0;
            }
        }
        sums
    }

    /// Sets what this instance may take of each server; of a server without a
    /// part it takes all slots. Resolves when the parts are in force.
    pub async fn set_quotas(&self, servers: BTreeMap<ServerName, ServerQuota>) {
        let threads = self.shared.threads.lock();
        let threads = threads.unwrap_or_else(PoisonError::into_inner).len();
        let quotas = Arc::new(Quotas { servers, threads });
        let quotas = || Arc::clone(&quotas);
        let replies = self.query_all(|reply| Command::SetQuotas {
            quotas: quotas(),
            reply,
        });
        for reply in replies {
            // A thread that has ended needs no part.
            let _ = reply.await;
        }
    }

    /// Tells all threads of a crash, an answer, a lift or another instance's count.
    /// Called only when a request failed that way, or by control.
    pub fn send_crash_event(&self, event: &CrashEvent) {
        let threads = self.shared.threads.lock();
        let threads = threads.unwrap_or_else(PoisonError::into_inner);
        for thread in threads.iter() {
            let _ = thread.send(Command::ApplyCrash(event.clone()));
        }
    }

    /// What this instance counted of crashes, for the others.
    pub async fn crash_report(&self) -> Option<CrashReport> {
        // All threads keep the same log.
        let replies = self.query_all(|reply| Command::CrashReport { reply });
        replies.into_iter().next()?.await.ok()
    }

    /// The requests that crashed servers, for operators.
    pub async fn crash_entries(&self) -> Vec<CrashEntry> {
        let replies = self.query_all(|reply| Command::CrashEntries { reply });
        match replies.into_iter().next() {
            Some(reply) => reply.await.unwrap_or_default(),
            None => Vec::new(),
        }
    }

    /// All metrics as text, in the format of Prometheus.
    pub async fn metrics(&self) -> String {
        let mut in_flight = 0;
        for reply in self.query_all(|reply| Command::Metrics { reply }) {
            in_flight += reply.await.unwrap_or(0);
        }
        let metrics = self.shared_metrics();
        metrics.set_in_flight(in_flight);
        metrics.to_text()
    }

    /// Where the other parts of the instance add metrics of their own.
    pub fn registry(&self) -> &Registry {
        self.shared_metrics().registry()
    }

    /// The metrics that the threads add to.
    pub(super) fn shared_metrics(&self) -> &Metrics {
        let new = || Metrics::new().expect("the names are valid");
        self.shared.metrics.get_or_init(new)
    }

    fn query_all<T>(
        &self,
        make: impl Fn(oneshot::Sender<T>) -> Command,
    ) -> Vec<oneshot::Receiver<T>> {
        let threads = self.shared.threads.lock();
        let threads = threads.unwrap_or_else(PoisonError::into_inner);
        let replies = threads.iter().map(|thread| {
            let (sender, receiver) = oneshot::channel();
            // A refused question drops `reply`, which the answer's side sees.
            let _ = thread.send(make(sender));
            receiver
        });
        replies.collect()
    }

    /// Takes in a new thread; its questions arrive at the receiver.
    pub(super) fn register_thread(&self) -> mpsc::UnboundedReceiver<Command> {
        let (thread, commands) = mpsc::unbounded_channel();
        let threads = self.shared.threads.lock();
        threads.unwrap_or_else(PoisonError::into_inner).push(thread);
        commands
    }

    /// Begins the drain: not ready any more, and every connection ends with the
    /// answer it is about. Connections are still taken, since callers learn only
    /// after a while that the instance leaves.
    pub fn drain(&self) {
        self.advance(Phase::Draining);
    }

    /// Ends the taking of connections; requests under way go on to their end.
    pub fn stop(&self) {
        self.advance(Phase::Closing);
    }

    fn advance(&self, phase: Phase) {
        let advance = |current: &mut Phase| {
            let is_later = phase > *current;
            *current = phase.max(*current);
            is_later
        };
        self.shared.phase.send_if_modified(advance);
    }

    /// Resolves once all threads have ended after [`Self::stop`].
    pub async fn wait_stopped(&self) {
        let threads = self.shared.threads.lock();
        let threads = threads.unwrap_or_else(PoisonError::into_inner).clone();
        for thread in threads {
            thread.closed().await;
        }
    }

    /// Where the instance stands between its start and its end.
    pub fn phase(&self) -> Phase {
        *self.shared.phase.borrow()
    }

    /// Tells when the phase changes.
    pub(super) fn subscribe_phase(&self) -> watch::Receiver<Phase> {
        self.shared.phase.subscribe()
    }
}
