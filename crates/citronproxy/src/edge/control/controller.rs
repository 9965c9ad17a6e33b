//! State of the control thread, and the tasks that it runs.

use {
    super::{
        codec::{PLANNER_KEY, TermKey},
        demand::DemandTracker,
        heartbeat, members,
        metrics::ControlMetrics,
        moves::MoveOutbox,
        peers::Peers,
        permits::Permits,
        planner, reach, refresh, relay,
        replica::TableReplica,
        slots::Slots,
        statements,
        watch::{self, CONFIG, RANGES, SERVERS, WATCHED},
    },
    crate::{
        clock::Clock,
        edge::{EdgeError, EdgeSettings, http_server, shared::SharedState, view::View},
        events,
    },
    citron_core::{
        dispatch::Reachability,
        freshness::{
            FetchTimes, Fetches, Freshness, FreshnessTimes, HeartbeatSchedule, REWRITE_TIME,
            Sender, StoreHealth, StoreOutage, VersionTracker,
        },
        id::{Epoch, InstanceId, ServerName, ServiceName, StoreEra, StoreVersion},
        ranges::{KeyRange, MapPartition, MapReplica, Witnesses},
        registry::{Registry, RegistryTimes},
        routes::RouteConfig,
        slowstart::{COLD_WINDOW, SlowStartGroup},
        time::{StoreClock, StoreTime, Time},
    },
    citron_ports::{Adapter, RowSet, RowTable, StoreError},
    citron_wire::{
        heartbeat::{CrashesWire, Heartbeat},
        relay::AgeWire,
    },
    http::Request,
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        fmt,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::{Notify, watch as latest},
        task::LocalSet,
        time::sleep,
    },
};

/// Interval between two checks for expired server entries.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);
/// One incarnation of an instance that is, or was, the planner.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlannerId {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Number drawn at the start of its process.
    pub incarnation: u64,
}

impl fmt::Display for PlannerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} (incarnation {})", self.instance, self.incarnation)
    }
}

/// The current planner, and the version of the row that names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leadership {
    /// The current planner.
    pub planner: PlannerId,
    /// Former planners that may still be acting.
    pub predecessors: Vec<PlannerId>,
    /// Witnesses of the planner and of the former ones. Planners without witnesses act for as
    /// long as any may.
    pub witnesses: BTreeMap<PlannerId, Witnesses>,
    /// Version of the row when the planner claimed the leadership.
    pub claim: StoreVersion,
    /// Version of the row in the store; its number is 0 if there is none. Differs from
    /// `claim` if the store came back from a copy since, so that the row may name an earlier
    /// planner.
    pub version: StoreVersion,
}

impl fmt::Display for Leadership {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (planner, claim, row) = (&self.planner, self.claim, self.version);
        write!(f, "{planner}, claimed at {claim}, row {row}, predecessors:")?;
        write_list(f, &self.predecessors)
    }
}

/// Writes the names of planners, or `none`.
fn write_list(f: &mut fmt::Formatter<'_>, planners: &[PlannerId]) -> fmt::Result {
    if planners.is_empty() {
        return write!(f, " none");
    }
    planners
        .iter()
        .try_for_each(|planner| write!(f, " {planner}"))
}

impl Leadership {
    /// Whether the store came back from a copy since the claim. The planner must claim the
    /// leadership again before it acts.
    pub fn has_lapsed(&self) -> bool {
        self.claim != self.version
    }

    /// Whether this incarnation of an instance was the last to claim the leadership.
    pub fn is_held_by(&self, instance: &InstanceId, incarnation: u64) -> bool {
        self.planner.instance == *instance && self.planner.incarnation == incarnation
    }

    /// Preconditions of a commit under this leadership.
    pub fn preconditions(&self) -> Vec<(RowTable, String, StoreVersion)> {
        let term_key = TermKey(self.claim.era());
        let keys = [PLANNER_KEY.to_string(), term_key.to_string()];
        let keys = keys.into_iter();
        keys.map(|key| (RowTable::Ranges, key, self.claim))
            .collect()
    }

    /// Lowest epoch of the era in which the planner claimed the leadership.
    pub fn epoch_floor(&self) -> Epoch {
        Epoch::first_of(self.claim.era())
    }
}

/// When the store last confirmed the maps and the leadership to this instance.
#[derive(Debug, Default)]
pub struct RangesConfirmed {
    era: StoreEra,
    /// Start of the last call in this era that returned the rows, or wrote under the condition
    /// that they are unchanged.
    pub at: Time,
    /// The same for the last era before it in which there was such a call.
    pub before_era: Time,
}

impl RangesConfirmed {
    /// Records a call begun at `call_started`. Responses of an earlier era confirm nothing.
    fn record(&mut self, era: StoreEra, call_started: Time) {
        if era > self.era {
            *self = Self {
                era,
                at: call_started,
                before_era: self.at,
            };
        } else if era == self.era {
            self.at = self.at.max(call_started);
        }
    }

    /// Start of the last such call in this era or an earlier one.
    pub fn until_era(&self, era: StoreEra) -> Time {
        match self.era <= era {
            true => self.at,
            false => self.before_era,
        }
    }
}

/// State of the control thread.
#[derive(Debug)]
pub struct ControlState {
    /// Replicas of the watched tables, in the order of [`WATCHED`].
    pub replicas: [TableReplica; 3],
    /// Registered backend servers.
    pub registry: Registry,
    /// Newest valid configuration.
    pub config: Option<Arc<RouteConfig>>,
    /// Owners of keys, by service.
    pub maps: BTreeMap<ServiceName, MapReplica>,
    /// Current planner; `None` until the store has named one.
    pub leadership: Option<Leadership>,
    /// Other instances.
    pub peers: Peers,
    /// Whether this instance is the planner.
    pub is_planning: bool,
    /// Confirmations of the maps and the leadership. Reads of other tables do not confirm to
    /// a planner that it still has the leadership.
    pub ranges_confirmed: RangesConfirmed,
    /// Former planners, and the store time by which each has certainly stopped.
    pub former_planners: BTreeMap<PlannerId, StoreTime>,
    /// Estimate of the store's clock.
    pub store_clock: StoreClock,
    /// Whether the store answers this instance.
    pub store_health: StoreHealth,
    /// Moments as of which the watched tables are known.
    pub freshness: Freshness<{ WATCHED.len() }>,
    /// Configuration versions that this instance has applied and that peers advertise.
    pub config_versions: VersionTracker,
    /// Instances among which the request rate of cold servers is divided. `None` until
    /// the other instances are known.
    pub slow_start_group: Option<Arc<SlowStartGroup>>,
}

/// Context of the control thread, shared by its tasks.
#[derive(Debug)]
pub struct Controller<A> {
    /// Adapter of the operator's platform.
    pub adapter: A,
    /// Settings of this instance.
    pub settings: EdgeSettings,
    /// Monotonic clock.
    pub clock: Clock,
    /// State shared with the traffic thread.
    pub shared: Arc<SharedState>,
    /// Incarnation of this instance: a random number drawn at each start of the process.
    pub incarnation: u64,
    /// State of the control thread.
    pub state: RefCell<ControlState>,
    /// Whether the store is reachable; tasks wait for it to change.
    pub store_up: latest::Sender<bool>,
    /// Era of the store, once it has answered; tasks wait for it to rise.
    pub store_era: latest::Sender<Option<StoreEra>>,
    /// When this instance learned of the era of the store; `None` if the store never came back
    /// from a copy.
    pub restored_at: Cell<Option<Time>>,
    /// When this instance had written its member row, or tried to, and had read those of
    /// the others.
    pub registered_at: Cell<Option<Time>>,
    /// Long polls that are open at the store.
    pub long_polls: refresh::LongPolls,
    /// Demand for keys. Only the planner collects it.
    pub demands: RefCell<DemandTracker>,
    /// What planners have learned of the load of services.
    pub load_rows: planner::LoadRows,
    /// Transfers of tables to this instance that are in progress.
    pub fetches: RefCell<Fetches<{ WATCHED.len() }>>,
    /// Exchange of tables with other instances.
    pub relay: relay::Relay,
    /// Permits for requests to servers with rate limits.
    pub permits: Permits,
    /// Slots of servers that brokers allocate.
    pub slots: Slots,
    /// Key moves that wait to be broadcast.
    pub move_outbox: MoveOutbox,
    /// Number of peers that appeared, or reappeared, since the last published view.
    pub new_peers: Cell<usize>,
    /// Value of [`Peers::membership_edits`] as of which the slow-start group was
    /// computed.
    grouped_edits: Cell<u64>,
    /// Reads of the leadership that orders wait for.
    pub confirmations: refresh::Confirmations,
    /// Wakes the planner.
    pub plan_trigger: Notify,
    /// Triggers a round of heartbeats to all recipients at once.
    pub heartbeat_trigger: Notify,
    /// Metrics of the control thread.
    pub metrics: ControlMetrics,
}

/// Runs the control thread until the process exits.
///
/// # Errors
/// If an address cannot be listened on, or a metric name is already registered.
pub async fn run<A: Adapter>(
    adapter: A,
    settings: EdgeSettings,
    clock: Clock,
    shared: Arc<SharedState>,
    registry: &prometheus::Registry,
) -> Result<(), EdgeError> {
    let metrics = ControlMetrics::new(registry)?;
    let controller = Rc::new(Controller::new(adapter, settings, clock, shared, metrics));
    let local = LocalSet::new();
    for (table, row_table) in WATCHED.into_iter().enumerate() {
        local.spawn_local(watch::follow_table(
            Rc::clone(&controller),
            table,
            row_table,
        ));
    }
    local.spawn_local(refresh::run(Rc::clone(&controller)));
    local.spawn_local(members::run(Rc::clone(&controller)));
    local.spawn_local(expire_loop(Rc::clone(&controller)));
    local.spawn_local(planner::run(Rc::clone(&controller)));
    local.spawn_local(statements::apply_leaving(Rc::clone(&controller)));
    local.spawn_local(reach::run(Rc::clone(&controller)));
    let listener = http_server::listen(controller.settings.peer_address).await?;
    let handler_controller = Rc::clone(&controller);
    let handler =
        move |request: &Request<_>| relay::serve_table(&handler_controller, request.uri().path());
    local.spawn_local(http_server::serve(listener, handler));
    let socket = heartbeat::bind(controller.settings.peer_address).await?;
    local.run_until(heartbeat::run(controller, socket)).await;
    Ok(())
}

async fn expire_loop<A: Adapter>(controller: Rc<Controller<A>>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        let now = controller.clock.now();
        controller.permits.issuer.borrow_mut().expire(now);
        let changed = controller.state.borrow_mut().registry.tick(now);
        // The links of other instances may change as well while this one depends on them.
        let is_cut_off = controller.shared.is_cut_off();
        let is_outdated = controller.update_slow_start_group()
            || is_cut_off
            || controller.new_peers.get() > 0
            || controller.broker_candidates_changed();
        if is_outdated && !changed {
            controller.publish_view();
        }
        if changed {
            // Each start of a server has a name of its own, so the loads of expired
            // servers would otherwise accumulate.
            let state = controller.state.borrow();
            let is_registered = |name: &ServerName| state.registry.get(name).is_some();
            controller.shared.loads().retain(is_registered);
            controller.shared.limits().retain(is_registered);
            controller.shared.reach().retain(is_registered);
            drop(state);
            controller.publish_view();
        }
    }
}

impl<A: Adapter> Controller<A> {
    fn new(
        adapter: A,
        settings: EdgeSettings,
        clock: Clock,
        shared: Arc<SharedState>,
        metrics: ControlMetrics,
    ) -> Self {
        let state = ControlState {
            replicas: Default::default(),
            registry: Registry::new(RegistryTimes::for_drain(settings.drain_period)),
            config: None,
            maps: BTreeMap::new(),
            leadership: None,
            peers: Peers::new(settings.domain.clone()),
            is_planning: false,
            ranges_confirmed: RangesConfirmed::default(),
            former_planners: BTreeMap::new(),
            store_clock: StoreClock::default(),
            store_health: StoreHealth::default(),
            freshness: Freshness::new(FreshnessTimes::STANDARD),
            config_versions: VersionTracker::new(FreshnessTimes::STANDARD),
            slow_start_group: None,
        };
        Self {
            adapter,
            slots: Slots::new(settings.peer_address),
            settings,
            clock,
            shared,
            incarnation: rand::random(),
            state: RefCell::new(state),
            store_up: latest::Sender::new(false),
            store_era: latest::Sender::new(None),
            restored_at: Cell::default(),
            registered_at: Cell::default(),
            long_polls: refresh::LongPolls::default(),
            demands: RefCell::default(),
            load_rows: planner::LoadRows::default(),
            fetches: RefCell::new(Fetches::new(FetchTimes::STANDARD)),
            relay: relay::Relay::default(),
            permits: Permits::default(),
            move_outbox: MoveOutbox::default(),
            new_peers: Cell::default(),
            grouped_edits: Cell::default(),
            confirmations: refresh::Confirmations::default(),
            plan_trigger: Notify::new(),
            heartbeat_trigger: Notify::new(),
            metrics,
        }
    }

    /// This incarnation of the instance, as a planner.
    pub fn planner_id(&self) -> PlannerId {
        PlannerId {
            instance: self.settings.instance.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Whether the instance was asked to leave.
    pub fn is_leaving(&self) -> bool {
        *self.shared.subscribe_leaving().borrow()
    }

    /// Whether this instance is the planner under the given version of the leadership
    /// row.
    pub fn is_planning_under(&self, version: StoreVersion) -> bool {
        let state = self.state.borrow();
        let version_in_force = state.leadership.as_ref().map(|row| row.version);
        state.is_planning && version_in_force == Some(version)
    }

    /// Records that a call begun at `call_started` returned the maps and the leadership,
    /// or wrote under the condition that they are unchanged, in this era of the store.
    pub fn confirm_ranges(&self, era: StoreEra, call_started: Time) {
        let mut state = self.state.borrow_mut();
        state.ranges_confirmed.record(era, call_started);
    }

    /// Whether this instance has a leadership now. It has not once the store came back from a
    /// copy, until it has claimed the leadership again.
    pub fn is_in_force(&self, leadership: &Leadership) -> bool {
        let state = self.state.borrow();
        let newest = state.leadership.as_ref();
        newest.is_some_and(|row| !row.has_lapsed() && row.claim == leadership.claim)
    }

    /// Whether the store has confirmed a leadership of this instance in a call begun at `since`
    /// or later, and nothing has replaced it.
    pub fn is_confirmed_since(&self, leadership: &Leadership, since: Time) -> bool {
        self.is_in_force(leadership) && self.state.borrow().ranges_confirmed.at >= since
    }

    /// Whether the store has confirmed the leadership in a call of the former era begun at
    /// `since` or later.
    pub fn was_confirmed_in_former_era(&self, since: Time) -> bool {
        self.state.borrow().ranges_confirmed.before_era >= since
    }

    /// Records that the store answered a call begun at `call_started`. `store_time` is
    /// the store's clock, if the answer contains it.
    pub fn on_store_success(&self, call_started: Time, store_time: Option<StoreTime>) {
        self.metrics.count_store_call(true);
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        if let Some(store_time) = store_time {
            state.store_clock.record(call_started, now, store_time);
        }
        state.store_health.record_answer(now);
        drop(state);
        self.store_up
            .send_if_modified(|is_up| !std::mem::replace(is_up, true));
    }

    /// Applies a read of a table from the store, begun at `call_started`. `is_snapshot`
    /// is true if `row_set` holds all rows of the table.
    pub fn on_table_read(
        &self,
        table: usize,
        row_set: RowSet,
        is_snapshot: bool,
        call_started: Time,
    ) {
        self.on_store_success(call_started, row_set.store_time);
        if table == RANGES {
            self.confirm_ranges(row_set.version.era(), call_started);
        }
        self.record_store_read(table, call_started);
        for other in 0..WATCHED.len() {
            // No row of any table has been written since the other table was read.
            if self.state.borrow().replicas[other].version == row_set.version {
                self.record_store_read(other, call_started);
            }
        }
        self.apply_store_rows(table, row_set, is_snapshot);
        (0..WATCHED.len()).for_each(|table| self.publish_freshness(table));
    }

    /// Records, logs and exports a new era of the store. An instance that starts does not know
    /// how long ago the era began.
    pub fn record_era(&self, row_set: &RowSet) {
        let era = row_set.version.era();
        let known_era = *self.store_era.borrow();
        if known_era.is_some_and(|known_era| era <= known_era) {
            return;
        }
        self.store_era.send_replace(Some(era));
        self.metrics.store_era.set(era.0.into());
        if era > StoreEra(0) {
            let now = self.clock.now();
            self.restored_at.set(Some(now));
            self.shared
                .freshness()
                .set_restored_until(now + REWRITE_TIME);
        }
        if let Some(known_era) = known_era {
            let (event, number) = (events::STORE_RESTORED, row_set.version.number());
            log::warn!("{event} era {era} after {known_era}, version {number}");
        }
    }

    /// Records that a table is known as of `as_of`. Must run before the rows are applied:
    /// entries missing after an outage may have expired during the outage.
    fn record_store_read(&self, table: usize, as_of: Time) {
        let outage = self.state.borrow_mut().freshness.record_read(table, as_of);
        self.on_outage_end(table, outage);
    }

    /// Records the age that a peer with the same version of a table reported at
    /// `reported_at`, and publishes the freshness.
    pub fn record_peer_age(&self, table: usize, age: Option<Duration>, reported_at: Time) {
        self.merge_peer_age(table, age, reported_at);
        self.publish_freshness(table);
    }

    /// Records the age that a peer reported at `reported_at`, without publishing it. Used
    /// before the rows of the peer's table are applied.
    pub fn merge_peer_age(&self, table: usize, age: Option<Duration>, reported_at: Time) {
        let outage = self
            .state
            .borrow_mut()
            .freshness
            .record_peer_age(table, age, reported_at);
        self.on_outage_end(table, outage);
    }

    /// Publishes to the traffic thread how current a table is. Must run after the rows
    /// are in force; otherwise traffic would deny requests by the old table as if it were
    /// the new one.
    pub fn publish_freshness(&self, table: usize) {
        let mut state = self.state.borrow_mut();
        if table == CONFIG {
            let replica = &state.replicas[CONFIG];
            let newest_version = replica.version.max(replica.newest_change);
            state.config_versions.record_applied(newest_version);
            self.publish_lag(&state);
        }
        if let Some(as_of) = state.freshness.as_of(table) {
            self.shared.freshness().set_as_of(table, as_of);
        }
    }

    /// Records the configuration version that a peer advertises.
    pub fn record_peer_config_version(&self, heartbeat: &Heartbeat) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        state
            .config_versions
            .record_advertised(StoreVersion(heartbeat.versions[CONFIG]), now);
        self.publish_lag(&state);
    }

    fn publish_lag(&self, state: &ControlState) {
        let lag = state.config_versions.lag(state.freshness.as_of(CONFIG));
        self.shared.freshness().set_lag(lag);
    }

    fn on_outage_end(&self, table: usize, outage: Option<StoreOutage>) {
        let Some(outage) = outage.filter(|_| table == SERVERS) else {
            return;
        };
        self.state
            .borrow_mut()
            .registry
            .on_store_recovered(outage.end);
        log::info!(
            "{} no instance reached the store for {:?}",
            events::STORE_BACK,
            outage.duration
        );
    }

    /// Records that a read from the store, begun at `call_started`, failed. `call` names the
    /// call in the log.
    pub fn on_store_read_failure(&self, call: &str, call_started: Time, error: &StoreError) {
        if error.requires_full_read() {
            // The store has responded: it is reachable.
            log::info!("{} {call}: {error}", events::STORE_CALL_FAILED);
            return self.on_store_success(call_started, None);
        }
        let now = self.clock.now();
        let health = &mut self.state.borrow_mut().store_health;
        health.record_failed_read(call_started, now);
        self.on_store_failure(call, error, health.is_up());
    }

    /// Records that a write to the store failed. `call` names the call in the log.
    pub fn on_store_write_failure(&self, call: &str, error: &StoreError) {
        let now = self.clock.now();
        let health = &mut self.state.borrow_mut().store_health;
        health.record_failed_write(now);
        self.on_store_failure(call, error, health.is_up());
    }

    fn on_store_failure(&self, call: &str, error: &StoreError, is_up: bool) {
        self.metrics.count_store_call(false);
        if is_up {
            return log::info!("{} {call}: {error}", events::STORE_CALL_FAILED);
        }
        let was_up = self
            .store_up
            .send_if_modified(|is_up| std::mem::replace(is_up, false));
        if was_up {
            log::warn!("{} {call}: {error}", events::STORE_LOST);
        }
    }

    /// Applies parts of a map that this instance has just written.
    pub fn apply_committed_parts(
        &self,
        service: &ServiceName,
        parts: &[MapPartition],
        removes: &[KeyRange],
        version: StoreVersion,
    ) {
        let mut state = self.state.borrow_mut();
        let map = state.maps.entry(service.clone()).or_default();
        for range in removes {
            map.stored_mut().remove(*range, version);
        }
        for part in parts {
            map.stored_mut().insert(MapPartition {
                range: part.range,
                version,
                slices: part.slices.clone(),
            });
        }
        map.forget_older();
        drop(state);
        self.publish_view();
    }

    /// Publishes a view to the traffic thread, once a configuration is known and the
    /// table of servers has been read.
    pub fn publish_view(&self) {
        let new_peers = self.new_peers.take();
        if new_peers > heartbeat::LOGGED_PEERS_MAX {
            log::info!("{} {new_peers} instances appeared", events::INSTANCE_HEARD);
        }
        let servers = self.state.borrow_mut().registry.server_lists().clone();
        let state = self.state.borrow();
        let evacuated = state.registry.evacuated_domains().len();
        self.metrics.evacuated_domains.set(evacuated as i64);
        let Some(config) = &state.config else { return };
        if !state.replicas[SERVERS].is_read() {
            return;
        }
        let now = self.clock.now();
        let reporting_count = state.peers.reporting_count(&self.settings.domain, now);
        let version = i64::try_from(config.version.0).unwrap_or(i64::MAX);
        self.metrics.config_version.set(version);
        self.metrics
            .instances
            .set(1 + state.peers.live(now).count() as i64);
        self.shared.publish(View {
            config: Arc::clone(config),
            servers,
            maps: state
                .maps
                .iter()
                .map(|(service, map)| (service.clone(), Arc::clone(map.newest())))
                .collect(),
            instance_count: state.peers.instance_count(now),
            reporting_count,
            report_interval: HeartbeatSchedule::for_instances(reporting_count)
                .interval(Sender::SameDomain),
            detours: state.peers.detours(now),
            broker_candidates: self.update_broker_candidates(),
            slow_start_group: state.slow_start_group.clone(),
        });
    }

    /// Recomputes the instances among which the request rate of cold servers is divided.
    /// Returns whether they have changed.
    fn update_slow_start_group(&self) -> bool {
        let now = self.clock.now();
        let is_settled = |registered_at| now - registered_at > COLD_WINDOW;
        if !self.registered_at.get().is_some_and(is_settled) {
            return false;
        }
        let mut state = self.state.borrow_mut();
        let edits = state.peers.membership_edits();
        if state.slow_start_group.is_some() && self.grouped_edits.replace(edits) == edits {
            return false;
        }
        let instance = &self.settings.instance;
        let mut members = state.peers.members();
        members.insert(instance.clone(), self.settings.domain.clone());
        let group = state.slow_start_group.as_ref();
        if group.is_some_and(|group| *group.members() == members) {
            return false;
        }
        let number = group.map_or(0, |group| group.generation()) + 1;
        state.slow_start_group = Some(Arc::new(SlowStartGroup::new(
            instance.clone(),
            members,
            number,
        )));
        true
    }

    /// Crashes for the heartbeat. The planner, which sends to all instances, and the first
    /// instance of each failure domain, to which all send, pass on those of others.
    fn crash_report(&self, state: &ControlState) -> Option<CrashesWire> {
        let now = self.clock.now();
        let is_first = || {
            let instance = &self.settings.instance;
            state.peers.is_first_in_domain(instance, now, |_| true)
        };
        let passes_on = state.is_planning || is_first();
        let mut tracker = self.shared.crashes();
        if tracker.is_empty() {
            return None;
        }
        let report = match passes_on {
            true => tracker.relayed_report(now),
            false => tracker.report(now),
        };
        (!report.is_empty()).then(|| report.into())
    }

    /// Builds the heartbeat that this instance sends now.
    pub fn heartbeat(&self) -> Heartbeat {
        let now = self.clock.now();
        let loads = self.shared.loads().local_loads(now);
        let limited_count = self.shared.limits().limited_count(now);
        self.metrics.limited_servers.set(limited_count as i64);
        let state = self.state.borrow();
        let ages = state.freshness.ages(now);
        self.metrics.set_table_age(&ages);
        self.metrics.planning.set(i64::from(state.is_planning));
        let reach = self.shared.reach().state(now);
        let is_cut_off = reach == Reachability::CutOff;
        self.metrics.cut_off.set(i64::from(is_cut_off));
        Heartbeat {
            instance: self.settings.instance.to_string(),
            start: self.incarnation,
            domain: self.settings.domain.to_string(),
            leaving: self.is_leaving(),
            cpu: self.settings.cpu_percent,
            planning: state.is_planning,
            store: *self.store_up.borrow(),
            versions: [0, 1, 2].map(|table: usize| state.replicas[table].newest_change.0),
            ages: ages.map(AgeWire::from),
            leadership: state
                .leadership
                .as_ref()
                .map_or(0, |leadership| leadership.claim.0),
            loads: loads.into_iter().map(Into::into).collect(),
            crashes: self.crash_report(&state),
            reach: reach.into(),
            detour: self.settings.detour_address,
        }
    }
}
