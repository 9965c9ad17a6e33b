//! State that the tasks of the control thread share.

use {
    super::{ControlConfig, ControlMetrics, PeerReports, Replica},
    crate::{
        clock::Clock,
        events,
        peer::{PeerClient, PeerError, PeerHandler},
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
    citron_wire::peer::{AcknowledgeRequest, AcknowledgeResponse, Asker},
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        sync::{Notify, watch},
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Maximum time to wait for a revision to settle before the acknowledgement is denied.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause between two refresh requests while waiting for a newer revision.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);
/// Pause between two checks whether a revision is settled.
const SETTLE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Delay from when grants of a newer revision are sent to when traffic is routed by it.
/// Without it, a new owner would receive requests before its grant, and refuse them.
const GRANT_LEAD: Duration = Duration::from_millis(5);

/// Result of a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommitResult {
    /// Whether the platform confirmed that the commit took effect.
    pub is_committed: bool,
    /// Whether a table read that started after the commit succeeded.
    pub is_reread: bool,
}

/// Shared state of one instance's control thread. Clones share it.
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
    peer_client: PeerClient,
    metrics: ControlMetrics,
    peer_reports: PeerReports,
    /// Notifies the follower to read at once.
    refresh_request: Notify,
    /// Latest revision of the table in this instance.
    revision: watch::Sender<Revision>,
}

impl<S: TableStore + 'static> Node<S> {
    /// Creates a node with an empty table.
    pub fn new(
        config: ControlConfig,
        store: S,
        handle: TrafficHandle,
        clock: Clock,
        metrics: ControlMetrics,
    ) -> Self {
        let replica = Replica::new(
            config.member.clone(),
            config.domain.clone(),
            Self::lease_durations(),
        );
        let inner = Inner {
            config,
            store,
            replica: RefCell::new(replica),
            handle,
            clock,
            peer_client: PeerClient::default(),
            metrics,
            peer_reports: PeerReports::default(),
            refresh_request: Notify::new(),
            revision: watch::Sender::default(),
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// Lease durations that all instances agree on.
    pub fn lease_durations() -> LeaseDurations {
        LeaseDurations::default()
    }

    /// Identity and addresses of this instance.
    pub fn config(&self) -> &ControlConfig {
        &self.inner.config
    }

    /// The platform's table store.
    pub fn store(&self) -> &S {
        &self.inner.store
    }

    /// Client for calls to other instances.
    pub fn peer_client(&self) -> &PeerClient {
        &self.inner.peer_client
    }

    /// Handle to the traffic threads.
    pub fn handle(&self) -> &TrafficHandle {
        &self.inner.handle
    }

    /// Metrics of the control thread.
    pub fn metrics(&self) -> &ControlMetrics {
        &self.inner.metrics
    }

    pub(super) fn peer_reports(&self) -> &PeerReports {
        &self.inner.peer_reports
    }

    /// Current monotonic time.
    pub fn now(&self) -> Time {
        self.inner.clock.now()
    }

    /// Calls `read` with the replica. `read` must not block.
    pub fn with_replica<T>(&self, read: impl FnOnce(&Replica) -> T) -> T {
        read(&self.inner.replica.borrow())
    }

    /// Calls `read` with the table. `read` must not block.
    pub fn with_table<T>(&self, read: impl FnOnce(&Table) -> T) -> T {
        read(self.inner.replica.borrow().table())
    }

    /// Reports this instance as leaving in its status from now on.
    pub fn mark_leaving(&self) {
        self.inner.replica.borrow_mut().mark_leaving();
    }

    /// Channel that delivers each newer revision.
    pub fn revisions(&self) -> watch::Receiver<Revision> {
        self.inner.revision.subscribe()
    }

    /// Requests that the follower reads the platform at once.
    pub fn request_refresh(&self) {
        self.inner.refresh_request.notify_one();
    }

    /// Waits for a refresh request.
    pub async fn refresh_requested(&self) {
        self.inner.refresh_request.notified().await;
    }

    /// Reads the platform and publishes the table.
    ///
    /// # Errors
    /// [`PlatformError`] if the platform does not answer, or with changes that do not
    /// apply.
    pub async fn refresh(&self) -> Result<(), PlatformError> {
        let started = self.now();
        let since = self.with_table(Table::revision);
        let read = self.inner.store.changes(since).await?;
        let answered = self.now();
        for error in &read.unreadable {
            log::error!("{} {error}", events::TABLE_ROW_REFUSED);
        }
        let mut replica = self.inner.replica.borrow_mut();
        let applied = replica.apply_read(started, answered, read.changes);
        drop(replica);
        self.publish_read(applied.map_err(invalid_answer)?);
        Ok(())
    }

    /// Asks another instance for changed rows and a routing lease, and publishes them.
    /// Returns whether the answer included a lease.
    ///
    /// # Errors
    /// [`PeerError`] if the instance does not answer, or with changes that do not apply.
    pub async fn relay_from(&self, address: SocketAddr) -> Result<bool, PeerError> {
        let sent = self.now();
        let since = self.with_table(Table::revision);
        let me = &self.inner.config.member;
        let asker = Asker {
            instance: me.instance.clone(),
            incarnation: me.incarnation,
        };
        let answer = self.inner.peer_client.changes(address, &asker, since).await;
        let (status, changes) = answer?;
        let times = (sent, self.now());
        let mut replica = self.inner.replica.borrow_mut();
        let applied = replica.apply_relay(times, status.remaining, changes);
        drop(replica);
        let is_newer = applied.map_err(|error| capnp::Error::failed(error.to_string()))?;
        self.publish_read(is_newer);
        Ok(status.remaining.is_some())
    }

    /// Writes a commit, then reads the table, whatever the outcome of the commit.
    pub async fn commit(&self, commit: Commit) -> CommitResult {
        let checks = self.with_table(|table| commit.new_owner_checks(table));
        let answer = self.inner.store.commit_checked(commit, &checks).await;
        self.inner.metrics.count_commit(&answer);
        let is_reread = self.refresh().await.is_ok();
        let is_committed = matches!(answer, Ok(CommitOutcome::Committed(_)));
        CommitResult {
            is_committed,
            is_reread,
        }
    }

    /// Announces the current revision to the other instances, so that clients that wait
    /// for a key being moved need not wait for those instances' next read.
    pub fn announce_revision(&self) {
        let revision = self.with_table(Table::revision);
        for row in self.other_instances() {
            let peers = self.inner.peer_client.clone();
            spawn_local(async move {
                let _ = peers.announce(row.peer_address, revision).await;
            });
        }
    }

    /// Rows of the other instances that are not expelled, in the order of their ids.
    pub fn other_instances(&self) -> Vec<InstanceRow> {
        let me = &self.inner.config.member.instance;
        self.with_table(|table| {
            let rows = table.instances();
            let others = rows.filter(|row| row.id != *me && row.state != InstanceState::Expelled);
            others.cloned().collect()
        })
    }

    /// Number of listed instances, without expelled ones, that precede this one in acting
    /// for a service.
    ///
    /// Every instance computes the same order without communication. The order differs
    /// between services, so that no instance acts for all of them.
    pub fn rank(&self, service: &ServiceName) -> u32 {
        let score = |id: &InstanceId| KeyHash::from_key(format!("{service}/{id}").as_bytes());
        let me = &self.inner.config.member.instance;
        let mine = (score(me), me);
        let others = self.other_instances();
        let before = others.iter().filter(|row| (score(&row.id), &row.id) < mine);
        before.count() as u32
    }

    fn publish_read(&self, is_newer: bool) {
        if !is_newer {
            self.publish();
            return;
        }
        let revision = self.with_table(Table::revision);
        log::info!("{} {revision}", events::REVISION_IN_FORCE);
        self.inner.metrics.revision.set(revision.0 as i64);
        self.inner.revision.send_replace(revision);
        let node = self.clone();
        spawn_local(async move {
            sleep(GRANT_LEAD).await;
            node.publish();
        });
    }

    fn publish(&self) {
        if let Some(snapshot) = self.with_replica(Replica::snapshot) {
            self.inner.handle.publish(snapshot);
        }
    }

    /// Waits until this instance routes nothing to the server under a revision before the
    /// requested one, and no instance routes by a lease relayed from here under one.
    async fn wait_settled(&self, ask: &AcknowledgeRequest) {
        let mut revisions = self.revisions();
        while self.with_table(Table::revision) < ask.revision {
            self.request_refresh();
            let _ = timeout(REFRESH_INTERVAL, revisions.changed()).await;
        }
        while !self.with_replica(|r| r.is_settled(ask.revision, self.now())) {
            sleep(SETTLE_CHECK_INTERVAL).await;
        }
        // Before the first snapshot is published no request is routed at all.
        if self.inner.handle.snapshot().is_some() {
            self.inner
                .handle
                .wait_quiescent(&ask.server, ask.revision)
                .await;
        }
    }

    /// Row of a backend server.
    pub fn server_row(&self, name: &ServerName) -> Option<ServerRow> {
        self.with_table(|table| table.server(name).cloned())
    }
}

fn invalid_answer(error: TableError) -> PlatformError {
    PlatformError::InvalidResponse(error.to_string())
}

impl<S: TableStore + 'static> PeerHandler for Node<S> {
    fn status(&self) -> InstanceStatus {
        self.with_replica(|replica| replica.status(self.now()))
    }

    async fn acknowledge(&self, ask: AcknowledgeRequest) -> AcknowledgeResponse {
        let settled = timeout(SETTLE_TIMEOUT, self.wait_settled(&ask))
            .await
            .is_ok();
        AcknowledgeResponse {
            incarnation: self.inner.config.member.incarnation,
            settled,
        }
    }

    fn changes(&self, asker: Asker, since: Revision) -> (InstanceStatus, Changes) {
        let asker = Member {
            instance: asker.instance,
            incarnation: asker.incarnation,
        };
        let now = self.now();
        self.inner
            .replica
            .borrow_mut()
            .answer_relay(&asker, since, now)
    }

    fn announce(&self, revision: Revision) {
        if revision > self.with_table(Table::revision) {
            self.request_refresh();
        }
    }

    fn report(&self, report: InstanceReport) {
        self.record_report(report);
    }
}
