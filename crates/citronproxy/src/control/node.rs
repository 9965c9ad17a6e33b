//! What the tasks of the control thread share.

use {
    super::{ControlConfig, ControlMetrics, Exchange, Replica},
    crate::{
        clock::Clock,
        events,
        peer::{PeerError, PeerHost, Peers},
        traffic::TrafficHandle,
    },
    citron_core::{
        id::{InstanceId, KeyHash, Revision, ServerName, ServiceName},
        membership::{InstanceReport, InstanceStatus, Member},
        ownership::LeaseDurations,
        table::{
            Changes, Commit, CommitOutcome, InstanceRow, InstanceState, ServerRow, Table,
            TableError,
        },
        time::Time,
    },
    citron_ports::{PlatformError, TableStore},
    citron_wire::peer::{AckAnswer, AckAsk, Asker},
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        sync::{Notify, watch},
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// How long an acknowledgement may take before it is refused.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);
/// The pause between two reads while a newer revision is waited for.
const WAKE_PAUSE: Duration = Duration::from_millis(50);
/// The pause between two looks at whether a revision is settled.
const SETTLE_PAUSE: Duration = Duration::from_millis(5);

/// How much earlier grants go out than traffic follows a newer revision. A new
/// owner would otherwise be sent requests before its grant and refuse them.
const GRANT_LEAD: Duration = Duration::from_millis(5);

/// What became of a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Committed {
    /// The platform said that it took effect.
    pub done: bool,
    /// The table was read by a read begun after.
    pub reread: bool,
}

/// The state of one instance's control thread; clones share it.
#[derive(Debug)]
pub struct Node<S> {
    inner: Rc<Inner<S>>,
}

impl<S> Clone for Node<S> {
    fn clone(&self) -> Self {
        let inner = Rc::clone(&self.inner);
        Self { inner }
    }
}

#[derive(Debug)]
struct Inner<S> {
    config: ControlConfig,
    store: S,
    replica: RefCell<Replica>,
    handle: TrafficHandle,
    clock: Clock,
    peers: Peers,
    metrics: ControlMetrics,
    exchange: Exchange,
    /// Asks the follower to read at once.
    wake: Notify,
    /// The revision in force here.
    revision: watch::Sender<Revision>,
}

impl<S: TableStore + 'static> Node<S> {
    /// A node that knows nothing yet.
    pub fn new(
        config: ControlConfig,
        store: S,
        handle: TrafficHandle,
        clock: Clock,
        metrics: ControlMetrics,
    ) -> Self {
        let replica = Replica::new(config.me.clone(), config.domain.clone(), Self::spans());
        let inner = Inner {
            config,
            store,
            replica: RefCell::new(replica),
            handle,
            clock,
            peers: Peers::default(),
            metrics,
            exchange: Exchange::default(),
            wake: Notify::new(),
            revision: watch::Sender::default(),
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// The spans that all instances agree on.
    pub fn spans() -> LeaseDurations {
        LeaseDurations::default()
    }

    /// Who this instance is.
    pub fn config(&self) -> &ControlConfig {
        &self.inner.config
    }

    /// The platform's table.
    pub fn store(&self) -> &S {
        &self.inner.store
    }

    /// Calls to other instances.
    pub fn peers(&self) -> &Peers {
        &self.inner.peers
    }

    /// The traffic threads.
    pub fn handle(&self) -> &TrafficHandle {
        &self.inner.handle
    }

    /// Counters of control.
    pub fn metrics(&self) -> &ControlMetrics {
        &self.inner.metrics
    }

    pub(super) fn exchange(&self) -> &Exchange {
        &self.inner.exchange
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.inner.clock.now()
    }

    /// Looks at the replica; nothing in `look` may wait.
    pub fn look<T>(&self, look: impl FnOnce(&Replica) -> T) -> T {
        look(&self.inner.replica.borrow())
    }

    /// Looks at the table; nothing in `look` may wait.
    pub fn table<T>(&self, look: impl FnOnce(&Table) -> T) -> T {
        look(self.inner.replica.borrow().table())
    }

    /// Says to others from now on that this instance is leaving.
    pub fn leave(&self) {
        self.inner.replica.borrow_mut().leave();
    }

    /// Tells each newer revision.
    pub fn revisions(&self) -> watch::Receiver<Revision> {
        self.inner.revision.subscribe()
    }

    /// Asks the follower to read at once.
    pub fn wake(&self) {
        self.inner.wake.notify_one();
    }

    /// Resolves when the follower is to read at once.
    pub async fn woken(&self) {
        self.inner.wake.notified().await;
    }

    /// Reads the platform, and publishes what it says.
    ///
    /// # Errors
    /// [`PlatformError`] if there is no answer that makes sense.
    pub async fn refresh(&self) -> Result<(), PlatformError> {
        let begun = self.now();
        let since = self.table(Table::revision);
        let changes = self.inner.store.changes(since).await?;
        let answered = self.now();
        let mut replica = self.inner.replica.borrow_mut();
        let taken = replica.take_read(begun, answered, changes);
        drop(replica);
        self.published(taken.map_err(bad_answer)?);
        Ok(())
    }

    /// Asks another instance for rows and leave, and publishes them. Tells
    /// whether the answer rested on a platform read.
    ///
    /// # Errors
    /// [`PeerError`] if there is no answer that makes sense.
    pub async fn relay_from(&self, address: SocketAddr) -> Result<bool, PeerError> {
        let sent = self.now();
        let since = self.table(Table::revision);
        let me = &self.inner.config.me;
        let asker = Asker {
            instance: me.instance.clone(),
            incarnation: me.incarnation,
        };
        let answer = self.inner.peers.changes(address, &asker, since).await;
        let (status, changes) = answer?;
        let times = (sent, self.now());
        let mut replica = self.inner.replica.borrow_mut();
        let taken = replica.take_relay(times, status.remaining, changes);
        drop(replica);
        let newer = taken.map_err(|error| capnp::Error::failed(error.to_string()))?;
        self.published(newer);
        Ok(status.remaining.is_some())
    }

    /// Commits, then reads the table, whatever the answer; `reread` tells
    /// whether that worked.
    pub async fn commit(&self, commit: Commit) -> Committed {
        let checks = self.table(|table| commit.new_owner_checks(table));
        let answer = self.inner.store.commit_checked(commit, &checks).await;
        self.inner.metrics.count_commit(&answer);
        let reread = self.refresh().await.is_ok();
        let done = matches!(answer, Ok(CommitOutcome::Committed(_)));
        Committed { done, reread }
    }

    /// Tells the other instances that the table has changed, so that callers
    /// who wait for a moving key need not wait for the next read.
    pub fn announce_all(&self) {
        let revision = self.table(Table::revision);
        for row in self.others() {
            let peers = self.inner.peers.clone();
            spawn_local(async move {
                let _ = peers.announce(row.peer_address, revision).await;
            });
        }
    }

    /// The rows of the other instances that are not expelled, by id.
    pub fn others(&self) -> Vec<InstanceRow> {
        let me = &self.inner.config.me.instance;
        self.table(|table| {
            let rows = table.instances();
            let others = rows.filter(|row| row.id != *me && row.state != InstanceState::Expelled);
            others.cloned().collect()
        })
    }

    /// How many live instances go before this one in deciding for a service.
    ///
    /// Every instance gets the same order without talking, and each service
    /// another one, so that no instance decides for all of them.
    pub fn rank(&self, service: &ServiceName) -> u32 {
        let score = |id: &InstanceId| KeyHash::from_key(format!("{service}/{id}").as_bytes());
        let me = &self.inner.config.me.instance;
        let mine = (score(me), me);
        let others = self.others();
        let before = others.iter().filter(|row| (score(&row.id), &row.id) < mine);
        before.count() as u32
    }

    fn published(&self, newer: bool) {
        if !newer {
            self.publish();
            return;
        }
        let revision = self.table(Table::revision);
        log::info!("{} {revision}", events::REVISION);
        self.inner.metrics.revision.set(revision.0 as i64);
        self.inner.revision.send_replace(revision);
        let node = self.clone();
        spawn_local(async move {
            sleep(GRANT_LEAD).await;
            node.publish();
        });
    }

    fn publish(&self) {
        if let Some(snapshot) = self.look(Replica::snapshot) {
            self.inner.handle.publish(snapshot);
        }
    }

    /// Whether this instance routes nothing to a server under a revision before
    /// `revision`, and nobody does on leave from here.
    async fn settle(&self, ask: &AckAsk) {
        let mut revisions = self.revisions();
        while self.table(Table::revision) < ask.revision {
            self.wake();
            let _ = timeout(WAKE_PAUSE, revisions.changed()).await;
        }
        while !self.look(|r| r.is_settled(ask.revision, self.now())) {
            sleep(SETTLE_PAUSE).await;
        }
        // Before the first publication no request is routed at all.
        if self.inner.handle.snapshot().is_some() {
            self.inner
                .handle
                .wait_quiescent(&ask.server, ask.revision)
                .await;
        }
    }

    /// The row of a server.
    pub fn server(&self, name: &ServerName) -> Option<ServerRow> {
        self.table(|table| table.server(name).cloned())
    }
}

fn bad_answer(error: TableError) -> PlatformError {
    PlatformError::Answer(error.to_string())
}

impl<S: TableStore + 'static> PeerHost for Node<S> {
    fn status(&self) -> InstanceStatus {
        self.look(|replica| replica.status(self.now()))
    }

    async fn acknowledge(&self, ask: AckAsk) -> AckAnswer {
        let settled = timeout(SETTLE_TIME, self.settle(&ask)).await.is_ok();
        AckAnswer {
            incarnation: self.inner.config.me.incarnation,
            settled,
        }
    }

    fn changes(&self, asker: Asker, since: Revision) -> (InstanceStatus, Changes) {
        let asker = Member {
            instance: asker.instance,
            incarnation: asker.incarnation,
        };
        let now = self.now();
        self.inner.replica.borrow_mut().relay(&asker, since, now)
    }

    fn announce(&self, revision: Revision) {
        if revision > self.table(Table::revision) {
            self.wake();
        }
    }

    fn report(&self, report: InstanceReport) {
        self.hear(report);
    }
}
