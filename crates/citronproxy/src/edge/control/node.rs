//! What control knows, and the tasks that keep it so.

use {
    super::{
        counts::Counts,
        demands::Demands,
        gossip, members,
        mirror::Mirror,
        moves::Outbox,
        peers::Peers,
        planner, refresh, relay,
        watch::{self, CONFIG, RANGES, SERVERS, WATCHED},
    },
    crate::{
        clock::Clock,
        edge::{EdgeError, EdgeSettings, board::SharedState, pages, view::View},
        events,
    },
    citron_core::{
        freshness::{
            FetchTimes, Fetches, Freshness, FreshnessTimes, HeartbeatSchedule, Sender, StoreHealth,
            StoreOutage, VersionTracker,
        },
        id::{InstanceId, ServerName, ServiceName},
        ranges::{MapPart, PartedMap},
        registry::{Registry, RegistryTimes},
        routes::RouteConfig,
        slowstart::{COLD_WINDOW, Group},
        time::{StoreClock, StoreTime, Time},
    },
    citron_ports::{Adapter, RowSet, StoreError},
    citron_wire::{
        heartbeat::{CrashesWire, Heartbeat},
        relay::AgeWire,
    },
    http::Request,
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
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

/// How often entries whose time is over are looked for.
const TICK: Duration = Duration::from_millis(200);
/// One start of an instance that plans, or planned.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Holder {
    /// The instance.
    pub instance: InstanceId,
    /// Its start.
    pub start: u64,
}

/// Who plans, and the version of the row that says so.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leadership {
    /// The planner.
    pub holder: Holder,
    /// Those before it that may not have stopped yet.
    pub before: Vec<Holder>,
    /// Version of the row.
    pub version: u64,
}

/// Everything that control knows.
#[derive(Debug)]
pub struct State {
    /// Copies of the watched tables, in the order of [`WATCHED`].
    pub mirrors: [Mirror; 3],
    /// Servers.
    pub registry: Registry,
    /// The newest configuration.
    pub config: Option<Arc<RouteConfig>>,
    /// Owners of keys.
    pub maps: BTreeMap<ServiceName, Arc<PartedMap>>,
    /// Who plans.
    pub leadership: Option<Leadership>,
    /// Other instances.
    pub peers: Peers,
    /// Whether this instance acts as the planner.
    pub planning: bool,
    /// When the store last told what the maps and the leadership are: the begin of
    /// the call. Answers about other tables do not tell a planner that it still is.
    pub confirmed: Time,
    /// Planners that were replaced, and when each has surely stopped.
    pub formers: BTreeMap<Holder, StoreTime>,
    /// The store's clock.
    pub times: StoreClock,
    /// Whether the store answers.
    pub health: StoreHealth,
    /// As of when the watched tables are known.
    pub fresh: Freshness<{ WATCHED.len() }>,
    /// The newest configuration that was heard of.
    pub newest: VersionTracker,
    /// Who sends to cold servers, once the other instances are known.
    pub group: Option<Arc<Group>>,
}

/// The control thread's centre.
#[derive(Debug)]
pub struct Node<A> {
    /// The platform.
    pub adapter: A,
    /// The settings.
    pub settings: EdgeSettings,
    /// The clock.
    pub clock: Clock,
    /// What is shared with traffic.
    pub board: Arc<SharedState>,
    /// Drawn at each start of the process.
    pub start: u64,
    /// What is known.
    pub state: RefCell<State>,
    /// Whether the store answers.
    pub store: latest::Sender<bool>,
    /// When this instance was entered among the members, and knew them.
    pub enlisted: Cell<Option<Time>>,
    /// Questions to the store that are open.
    pub questions: refresh::Questions,
    /// What callers ask for, if this instance plans.
    pub demands: RefCell<Demands>,
    /// Tables that are on their way here.
    pub fetches: RefCell<Fetches<{ WATCHED.len() }>>,
    /// Tables asked for from others.
    pub relay: relay::Relay,
    /// Keys on their way, to be told to others.
    pub outbox: Outbox,
    /// How many instances were heard for the first time, or again, since the last view.
    pub heard_anew: Cell<usize>,
    /// Edits of the other instances that the group goes by.
    grouped: Cell<u64>,
    /// Wakes the planner.
    pub wake: Notify,
    /// Wakes the sender of heartbeats.
    pub hurry: Notify,
    /// What is counted.
    pub counts: Counts,
}

/// Runs control until the process ends.
///
/// # Errors
/// If an address cannot be listened on.
pub async fn run<A: Adapter>(
    adapter: A,
    settings: EdgeSettings,
    clock: Clock,
    board: Arc<SharedState>,
    registry: &prometheus::Registry,
) -> Result<(), EdgeError> {
    let counts = Counts::new(registry)?;
    let node = Rc::new(Node::new(adapter, settings, clock, board, counts));
    let local = LocalSet::new();
    for (at, table) in WATCHED.into_iter().enumerate() {
        local.spawn_local(watch::follow(Rc::clone(&node), at, table));
    }
    local.spawn_local(refresh::run(Rc::clone(&node)));
    local.spawn_local(members::enlist(Rc::clone(&node)));
    local.spawn_local(expire(Rc::clone(&node)));
    local.spawn_local(planner::run(Rc::clone(&node)));
    let listener = pages::listen(node.settings.peer).await?;
    let tables = Rc::clone(&node);
    let answer = move |request: &Request<_>| relay::table(&tables, request.uri().path());
    local.spawn_local(pages::serve(listener, answer));
    let socket = gossip::bind(node.settings.peer).await?;
    local.run_until(gossip::run(node, socket)).await;
    Ok(())
}

async fn expire<A: Adapter>(node: Rc<Node<A>>) {
    loop {
        sleep(TICK).await;
        let changed = node.state.borrow_mut().registry.tick(node.clock.now());
        if (node.regroup() || node.heard_anew.get() > 0) && !changed {
            node.publish();
        }
        if changed {
            // Each start of a server has a name of its own: kept for ever, their
            // loads would add up.
            let state = node.state.borrow();
            let known = |name: &ServerName| state.registry.get(name).is_some();
            node.board.loads().retain(known);
            drop(state);
            node.publish();
        }
    }
}

impl<A: Adapter> Node<A> {
    fn new(
        adapter: A,
        settings: EdgeSettings,
        clock: Clock,
        board: Arc<SharedState>,
        counts: Counts,
    ) -> Self {
        let state = State {
            mirrors: Default::default(),
            registry: Registry::new(RegistryTimes::for_drain(settings.drain)),
            config: None,
            maps: BTreeMap::new(),
            leadership: None,
            peers: Peers::new(settings.domain.clone()),
            planning: false,
            confirmed: Time::ZERO,
            formers: BTreeMap::new(),
            times: StoreClock::default(),
            health: StoreHealth::default(),
            fresh: Freshness::new(FreshnessTimes::STANDARD),
            newest: VersionTracker::new(FreshnessTimes::STANDARD),
            group: None,
        };
        Self {
            adapter,
            settings,
            clock,
            board,
            start: rand::random(),
            state: RefCell::new(state),
            store: latest::Sender::new(false),
            enlisted: Cell::default(),
            questions: refresh::Questions::default(),
            demands: RefCell::default(),
            fetches: RefCell::new(Fetches::new(FetchTimes::STANDARD)),
            relay: relay::Relay::default(),
            outbox: Outbox::default(),
            heard_anew: Cell::default(),
            grouped: Cell::default(),
            wake: Notify::new(),
            hurry: Notify::new(),
            counts,
        }
    }

    /// Whether the instance was asked to leave.
    pub fn leaving(&self) -> bool {
        *self.board.leaving().borrow()
    }

    /// Whether this instance plans under this version of the planner's row.
    pub fn is_leader(&self, version: u64) -> bool {
        let state = self.state.borrow();
        let known = state.leadership.as_ref().map(|row| row.version);
        state.planning && known == Some(version)
    }

    /// The store told what the maps and the leadership are, or took a write on the
    /// condition of them, in a call that began at `begun`.
    pub fn confirmed(&self, begun: Time) {
        let mut state = self.state.borrow_mut();
        state.confirmed = state.confirmed.max(begun);
    }

    /// The store answered a call that began at `begun`, and may have told its time.
    pub fn store_answered(&self, begun: Time, told: Option<StoreTime>) {
        self.counts.count_call(true);
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        if let Some(told) = told {
            state.times.record(begun, now, told);
        }
        state.health.record_answer(now);
        drop(state);
        self.store
            .send_if_modified(|answers| !std::mem::replace(answers, true));
    }

    /// The store answered a question about a table that began at `begun`; `whole` if
    /// it told all rows there are.
    pub fn on_table_read(&self, at: usize, set: RowSet, whole: bool, begun: Time) {
        self.store_answered(begun, set.now);
        if at == RANGES {
            self.confirmed(begun);
        }
        self.known_as_of(at, begun);
        for other in 0..WATCHED.len() {
            // Nothing at all was written since that one was read.
            if self.state.borrow().mirrors[other].version == set.version {
                self.known_as_of(other, begun);
            }
        }
        self.take(at, set, whole);
        (0..WATCHED.len()).for_each(|at| self.note_known(at));
    }

    /// A table is known as of a moment. To be called before what it tells is taken in:
    /// entries that are missing after an outage may have lapsed in it.
    fn known_as_of(&self, at: usize, moment: Time) {
        let outage = self.state.borrow_mut().fresh.record_read(at, moment);
        self.outage_over(at, outage);
    }

    /// Another instance, whose table is the same, said then how old it is.
    pub fn record_peer_age(&self, at: usize, age: Option<Duration>, said: Time) {
        self.known_from(at, age, said);
        self.note_known(at);
    }

    /// As [`Self::known_elsewhere`], before the other's table is taken in.
    pub fn known_from(&self, at: usize, age: Option<Duration>, said: Time) {
        let outage = self.state.borrow_mut().fresh.record_peer_age(at, age, said);
        self.outage_over(at, outage);
    }

    /// Tells traffic how current a table is. To be called once what is known is in
    /// force: traffic would deny requests by the old table as if it were the new one.
    pub fn note_known(&self, at: usize) {
        let mut state = self.state.borrow_mut();
        if at == CONFIG {
            let mirror = &state.mirrors[CONFIG];
            let known = mirror.version.max(mirror.changed);
            state.newest.record_applied(known);
            self.note_lag(&state);
        }
        if let Some(moment) = state.fresh.as_of(at) {
            self.board.as_of().note(at, moment);
        }
    }

    /// Another instance says which configuration it has.
    pub fn hear_newest(&self, heartbeat: &Heartbeat) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        state
            .newest
            .record_advertised(heartbeat.versions[CONFIG], now);
        self.note_lag(&state);
    }

    fn note_lag(&self, state: &State) {
        let newer = state.newest.lag(state.fresh.as_of(CONFIG));
        self.board.as_of().note_lag(newer);
    }

    fn outage_over(&self, at: usize, outage: Option<StoreOutage>) {
        let Some(outage) = outage.filter(|_| at == SERVERS) else {
            return;
        };
        self.state.borrow_mut().registry.store_back(outage.end);
        log::info!(
            "{} nothing heard for {:?}",
            events::STORE_BACK,
            outage.duration
        );
    }

    /// A call to the store failed.
    pub fn store_failed(&self, what: &str, error: &StoreError) {
        self.counts.count_call(false);
        let mut state = self.state.borrow_mut();
        state.health.record_failure(self.clock.now());
        let up = state.health.is_up();
        drop(state);
        if up {
            return log::info!("{} {what}: {error}", events::CALL_FAILED);
        }
        let answered = self
            .store
            .send_if_modified(|answers| std::mem::replace(answers, false));
        if answered {
            log::warn!("{} {what}: {error}", events::STORE_LOST);
        }
    }

    /// Takes in parts of a map that this instance has just written.
    pub fn committed(&self, service: &ServiceName, parts: &[MapPart], version: u64) {
        let mut state = self.state.borrow_mut();
        let map = state.maps.entry(service.clone()).or_default();
        let map = Arc::make_mut(map);
        for part in parts {
            map.put(MapPart {
                range: part.range,
                version,
                slices: part.slices.clone(),
            });
        }
        drop(state);
        self.publish();
    }

    /// Hands what is known to traffic, once there is a configuration and servers
    /// have been read.
    pub fn publish(&self) {
        let heard = self.heard_anew.take();
        if heard > gossip::LOGGED_MAX {
            log::info!("{} {heard} instances", events::PEER_HEARD);
        }
        let servers = self.state.borrow_mut().registry.lists().clone();
        let state = self.state.borrow();
        let Some(config) = &state.config else { return };
        if state.mirrors[1].version == 0 {
            return;
        }
        let now = self.clock.now();
        let reporting = state.peers.reporting(&self.settings.domain, now);
        let version = i64::try_from(config.version.0).unwrap_or(i64::MAX);
        self.counts.version.set(version);
        self.counts
            .instances
            .set(1 + state.peers.live(now).count() as i64);
        self.board.publish(View {
            config: Arc::clone(config),
            servers,
            maps: state.maps.clone(),
            instances: state.peers.count(now),
            reporting,
            reports: HeartbeatSchedule::for_instances(reporting).interval(Sender::SameDomain),
            group: state.group.clone(),
        });
    }

    /// Works out anew who sends to cold servers; whether that has changed.
    fn regroup(&self) -> bool {
        let now = self.clock.now();
        let settled = |enlisted| now - enlisted > COLD_WINDOW;
        if !self.enlisted.get().is_some_and(settled) {
            return false;
        }
        let mut state = self.state.borrow_mut();
        let edits = state.peers.edits();
        if state.group.is_some() && self.grouped.replace(edits) == edits {
            return false;
        }
        let me = &self.settings.instance;
        let mut members = state.peers.members();
        members.insert(me.clone(), self.settings.domain.clone());
        let former = state.group.as_ref();
        if former.is_some_and(|group| *group.members() == members) {
            return false;
        }
        let number = former.map_or(0, |group| group.number()) + 1;
        state.group = Some(Arc::new(Group::new(me.clone(), members, number)));
        true
    }

    fn crashes(&self) -> Option<CrashesWire> {
        let mut crashes = self.board.crashes();
        let report = (!crashes.is_empty()).then(|| crashes.report(self.clock.now()));
        report
            .filter(|report| !report.counts.is_empty() || !report.lifts.is_empty())
            .map(Into::into)
    }

    /// What this instance tells others now.
    pub fn heartbeat(&self) -> Heartbeat {
        let now = self.clock.now();
        let loads = self.board.loads().own(now);
        let state = self.state.borrow();
        let ages = state.fresh.ages(now);
        self.counts.count_ages(&ages);
        self.counts.planning.set(i64::from(state.planning));
        Heartbeat {
            instance: self.settings.instance.to_string(),
            start: self.start,
            domain: self.settings.domain.to_string(),
            leaving: self.leaving(),
            cpu: self.settings.cpu,
            planning: state.planning,
            store: *self.store.borrow(),
            versions: [0, 1, 2].map(|at: usize| state.mirrors[at].changed),
            ages: ages.map(AgeWire::from),
            leadership: state
                .leadership
                .as_ref()
                .map_or(0, |leadership| leadership.version),
            loads: loads.into_iter().map(Into::into).collect(),
            crashes: self.crashes(),
        }
    }
}
