//! Interface of the traffic threads to the rest of the instance.

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

/// Interval at which [`TrafficHandle::wait_quiescent`] queries the threads.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Publishes snapshots to the traffic threads without a lock and sends them commands.
#[derive(Debug, Clone, Default)]
pub struct TrafficHandle {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    snapshot: ArcSwapOption<Snapshot>,
    /// Command channel of each thread. Ordinary requests do not lock the list; control,
    /// requests for the metrics and crash events do.
    threads: Mutex<Vec<mpsc::UnboundedSender<Command>>>,
    published: watch::Sender<Revision>,
    phase: watch::Sender<Phase>,
    metrics: OnceLock<Metrics>,
}

impl TrafficHandle {
    /// Publishes the snapshot by which requests are routed from now on. A snapshot with
    /// an older revision than the current one is ignored.
    pub fn publish(&self, snapshot: Snapshot) {
        let revision = snapshot.map.revision;
        if revision < *self.shared.published.borrow() {
            return;
        }
        self.shared.snapshot.store(Some(Arc::new(snapshot)));
        self.shared.published.send_replace(revision);
    }

    /// Current snapshot; `None` until the first one is published.
    pub fn snapshot(&self) -> Guard<Option<Arc<Snapshot>>> {
        self.shared.snapshot.load()
    }

    /// Subscribes to the revisions of published snapshots.
    pub fn subscribe_revisions(&self) -> watch::Receiver<Revision> {
        self.shared.published.subscribe()
    }

    /// Resolves once no request that was routed under a revision older than `below` can
    /// still be written to the server or run there on behalf of this instance.
    ///
    /// It waits until `below` is published, since until then new requests would still be
    /// routed under an older revision. A written request whose client or connection was
    /// lost counts until its deadline, which was sent to the server.
    pub async fn wait_quiescent(&self, server: &ServerName, below: Revision) {
        loop {
            // The order matters: a thread that replies after the publication routes
            // nothing more under an older revision.
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
            // A thread that has ended has no requests left.
            if !reply.await.unwrap_or(true) {
                return false;
            }
        }
        true
    }

    /// Takes the load of every scope since the last call, ordered by service and scope.
    pub async fn take_loads(&self) -> Vec<LoadSample> {
        let mut samples = Vec::new();
        for reply in self.query_all(|reply| Command::Load { reply }) {
            samples.extend(reply.await.unwrap_or_default());
        }
        merge(samples)
    }

    /// Takes the counts for service-level objectives since the last call.
    pub async fn take_tallies(&self) -> BTreeMap<ServiceName, Tally> {
        let mut tallies: BTreeMap<ServiceName, Tally> = BTreeMap::new();
        for reply in self.query_all(|reply| Command::Tallies { reply }) {
            for (service, tally) in reply.await.unwrap_or_default() {
                *tallies.entry(service).or_default() += &tally;
            }
        }
        tallies
    }

    /// Takes the request rates by server since the last call, for the exchange with other
    /// instances.
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

    /// Sets this instance's quotas of the servers. Of a server without a quota, the
    /// instance may use all slots. Resolves when the quotas are in force.
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
            // A thread that has ended needs no quotas.
            let _ = reply.await;
        }
    }

    /// Sends a crash event to all threads. Takes a lock, so it is called only by control
    /// and when a crash is recorded or cleared.
    pub fn send_crash_event(&self, event: &CrashEvent) {
        let threads = self.shared.threads.lock();
        let threads = threads.unwrap_or_else(PoisonError::into_inner);
        for thread in threads.iter() {
            let _ = thread.send(Command::ApplyCrash(event.clone()));
        }
    }

    /// Report of the crashes that this instance knows, for other instances.
    pub async fn crash_report(&self) -> Option<CrashReport> {
        // All threads have the same crash log, so one reply is enough.
        let replies = self.query_all(|reply| Command::CrashReport { reply });
        replies.into_iter().next()?.await.ok()
    }

    /// Requests that crashed servers, for operators.
    pub async fn crash_entries(&self) -> Vec<CrashEntry> {
        let replies = self.query_all(|reply| Command::CrashEntries { reply });
        match replies.into_iter().next() {
            Some(reply) => reply.await.unwrap_or_default(),
            None => Vec::new(),
        }
    }

    /// All metrics in the Prometheus text format.
    pub async fn metrics(&self) -> String {
        let mut in_flight = 0;
        for reply in self.query_all(|reply| Command::Metrics { reply }) {
            in_flight += reply.await.unwrap_or(0);
        }
        let metrics = self.shared_metrics();
        metrics.set_in_flight(in_flight);
        metrics.to_text()
    }

    /// Registry to which other modules of the instance add their metrics.
    pub fn registry(&self) -> &Registry {
        self.shared_metrics().registry()
    }

    /// Metrics that the threads add to.
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
            // Sending to a thread that has ended drops `sender`, and the receiver then
            // yields an error.
            let _ = thread.send(make(sender));
            receiver
        });
        replies.collect()
    }

    /// Registers a new thread and returns the receiver of its commands.
    pub(super) fn register_thread(&self) -> mpsc::UnboundedReceiver<Command> {
        let (thread, commands) = mpsc::unbounded_channel();
        let threads = self.shared.threads.lock();
        threads.unwrap_or_else(PoisonError::into_inner).push(thread);
        commands
    }

    /// Starts draining: the instance is no longer ready, and each connection is closed
    /// after its current response. Connections are still accepted, since clients notice
    /// only after a while that the instance is shutting down.
    pub fn drain(&self) {
        self.advance(Phase::Draining);
    }

    /// Stops accepting connections; requests in progress are completed.
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

    /// Current lifecycle phase.
    pub fn phase(&self) -> Phase {
        *self.shared.phase.borrow()
    }

    /// Subscribes to changes of the phase.
    pub(super) fn subscribe_phase(&self) -> watch::Receiver<Phase> {
        self.shared.phase.subscribe()
    }
}
