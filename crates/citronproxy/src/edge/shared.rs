//! State shared by the threads of an instance.

use {
    super::{freshness::SharedFreshness, slots::SlotCall, view::View},
    crate::events,
    arc_swap::ArcSwapOption,
    citron_core::{
        crash::{CrashConfig, CrashTracker},
        dispatch::{Failure, Links, LoadTracker, PermitAnswer, PermitRequest, Reach, StatedLimits},
        id::{ServerName, ServiceName},
        ranges::{MoveLog, MoveNotice, OwnerHint, RangeKey, Slice},
        time::Time,
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::{Notify, oneshot, watch},
        time::timeout,
    },
};

/// Largest number of requested keys kept for the planner while it cannot be reached.
const PENDING_KEYS_MAX: usize = 4_096;

/// Time within which the planner answers a request for a permit. A datagram that is lost is
/// not sent again.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(120);

/// Request for a permit that waits for its answer.
#[derive(Debug)]
pub struct PermitCall {
    /// The request.
    pub request: PermitRequest,
    /// Where the answer goes; dropped if there is none.
    pub reply: oneshot::Sender<PermitAnswer>,
}

/// Items that the traffic thread leaves for the control thread.
#[derive(Debug)]
struct Handoff<T> {
    items: Mutex<Vec<T>>,
    added: Notify,
}

impl<T> Default for Handoff<T> {
    fn default() -> Self {
        Self {
            items: Mutex::default(),
            added: Notify::new(),
        }
    }
}

impl<T> Handoff<T> {
    fn push(&self, item: T) {
        let items = self.items.lock();
        items.unwrap_or_else(PoisonError::into_inner).push(item);
        self.added.notify_one();
    }

    /// Waits for items, and returns all of them.
    async fn next(&self) -> Vec<T> {
        self.added.notified().await;
        let items = self.items.lock();
        std::mem::take(&mut *items.unwrap_or_else(PoisonError::into_inner))
    }
}

/// State shared between the control thread and the traffic thread. The locks are held
/// only for single operations on maps in memory.
#[derive(Debug)]
pub struct SharedState {
    view: ArcSwapOption<View>,
    freshness: SharedFreshness,
    publications: watch::Sender<u64>,
    loads: Mutex<LoadTracker>,
    limits: Mutex<StatedLimits>,
    reach: Mutex<Reach>,
    links: watch::Sender<Links>,
    permit_calls: Handoff<PermitCall>,
    slot_calls: Handoff<SlotCall>,
    leaving_servers: Handoff<(ServerName, Time)>,
    pending_keys: Mutex<Vec<(ServiceName, RangeKey)>>,
    crashes: Mutex<CrashTracker>,
    moves: Mutex<BTreeMap<ServiceName, MoveLog>>,
    leaving: watch::Sender<bool>,
}

impl Default for SharedState {
    fn default() -> Self {
        Self {
            view: ArcSwapOption::empty(),
            freshness: SharedFreshness::default(),
            publications: watch::Sender::new(0),
            loads: Mutex::default(),
            limits: Mutex::default(),
            reach: Mutex::default(),
            links: watch::Sender::new(Links::Sound),
            permit_calls: Handoff::default(),
            slot_calls: Handoff::default(),
            leaving_servers: Handoff::default(),
            pending_keys: Mutex::default(),
            crashes: Mutex::new(CrashTracker::new(CrashConfig::PER_START)),
            moves: Mutex::default(),
            leaving: watch::Sender::new(false),
        }
    }
}

impl SharedState {
    /// Replaces the view by which requests are routed, and notifies subscribers.
    pub fn publish(&self, view: View) {
        self.view.store(Some(Arc::new(view)));
        self.publications.send_modify(|count| *count += 1);
    }

    /// The view in force; `None` until a configuration is known.
    pub fn view(&self) -> Option<Arc<View>> {
        self.view.load_full()
    }

    /// Freshness of the tables behind the view.
    pub fn freshness(&self) -> &SharedFreshness {
        &self.freshness
    }

    /// Subscribes to publications of views. The value counts them.
    pub fn subscribe_views(&self) -> watch::Receiver<u64> {
        self.publications.subscribe()
    }

    /// Load statistics of servers.
    pub fn loads(&self) -> MutexGuard<'_, LoadTracker> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Rate limits that servers stated.
    pub fn limits(&self) -> MutexGuard<'_, StatedLimits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Which servers respond to this instance.
    pub fn reach(&self) -> MutexGuard<'_, Reach> {
        self.reach.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a server has responded to this instance.
    pub fn record_response(&self, server: &ServerName, now: Time) {
        self.update_reach(server, |reach| reach.record_response(server, now));
    }

    /// Records that an attempt at a server failed, which began at `started`.
    pub fn record_failure(&self, server: &ServerName, failure: Failure, started: Time, now: Time) {
        self.update_reach(server, |reach| {
            reach.record_failure(server, failure, started, now)
        });
    }

    /// Records that a server has not responded for a while to what was sent at `started`.
    pub fn record_silence(&self, server: &ServerName, failure: Failure, started: Time, now: Time) {
        self.update_reach(server, |reach| {
            reach.record_silence(server, failure, started, now)
        });
    }

    /// Records that an instance of another failure domain does not reach a server either.
    pub fn record_ended(&self, server: &ServerName, now: Time) {
        self.reach().record_ended(server, now);
    }

    /// Records that no server has responded to checks that began at `started`.
    pub fn record_failed_checks(&self, started: Time, now: Time) {
        let mut reach = self.reach();
        if reach.record_failed_checks(started, now) {
            log::warn!(
                "{} no server responds to this instance, nor to its checks",
                events::SERVERS_UNREACHED
            );
            self.links.send_replace(Links::CutOff);
        }
    }

    /// Records a result at a server, and notifies subscribers of what begins or ends by it.
    fn update_reach(&self, server: &ServerName, record: impl FnOnce(&mut Reach) -> bool) {
        let mut reach = self.reach();
        let was_cut_off = reach.is_cut_off();
        if !record(&mut reach) {
            return;
        }
        let links = reach.links();
        match links {
            Links::Sound if was_cut_off => {
                log::info!("{} {server} responds again", events::SERVERS_REACHED);
            }
            Links::Sound => log::debug!("{server} responds; the links are sound"),
            Links::Suspected | Links::CutOff => {
                log::debug!("{server} does not respond, and no other server does; checking");
            }
        }
        // Under the lock, so that two threads cannot notify in another order than they record.
        self.links.send_replace(links);
    }

    /// Whether no server responds to this instance.
    pub fn is_cut_off(&self) -> bool {
        *self.links.borrow() == Links::CutOff
    }

    /// Subscribes to what this instance concludes about its links to the servers.
    pub fn subscribe_links(&self) -> watch::Receiver<Links> {
        self.links.subscribe()
    }

    /// Asks the planner for a permit. Returns `None` if it does not answer in time.
    pub async fn request_permit(&self, request: PermitRequest) -> Option<PermitAnswer> {
        let (reply, answer) = oneshot::channel();
        self.permit_calls.push(PermitCall { request, reply });
        timeout(PERMIT_TIMEOUT, answer).await.ok()?.ok()
    }

    /// Waits for requests for permits, and returns them.
    pub async fn next_permit_calls(&self) -> Vec<PermitCall> {
        self.permit_calls.next().await
    }

    /// Leaves a step of a request for a slot for the control thread.
    pub fn push_slot_call(&self, call: SlotCall) {
        self.slot_calls.push(call);
    }

    /// Waits for steps of requests for slots, and returns them.
    pub async fn next_slot_calls(&self) -> Vec<SlotCall> {
        self.slot_calls.next().await
    }

    /// Records that a server stated at `now` that it leaves, for the control thread.
    pub fn record_leaving(&self, server: &ServerName, now: Time) {
        self.leaving_servers.push((server.clone(), now));
    }

    /// Waits for servers that stated that they leave, and returns them with the times of
    /// the statements.
    pub async fn next_leaving(&self) -> Vec<(ServerName, Time)> {
        self.leaving_servers.next().await
    }

    /// Records a request for a key, to be reported to the planner.
    pub fn record_key(&self, service: &ServiceName, key: RangeKey) {
        let mut keys = self
            .pending_keys
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if keys.len() < PENDING_KEYS_MAX {
            keys.push((service.clone(), key));
        }
    }

    /// Removes and returns the keys recorded since the last call.
    pub fn take_keys(&self) -> Vec<(ServiceName, RangeKey)> {
        let mut keys = self
            .pending_keys
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *keys)
    }

    /// Records a key move announced by the planner.
    pub fn record_move(&self, service: &ServiceName, update: MoveNotice, now: Time) {
        let mut moves = self.moves.lock().unwrap_or_else(PoisonError::into_inner);
        moves
            .entry(service.clone())
            .or_default()
            .insert(update, now);
    }

    /// Hint about the owner of a key, if it is newer than the key's slice of the map.
    pub fn owner_hint(
        &self,
        service: &ServiceName,
        key: RangeKey,
        slice: &Slice,
        now: Time,
    ) -> Option<OwnerHint> {
        let moves = self.moves.lock().unwrap_or_else(PoisonError::into_inner);
        moves.get(service)?.find(key, slice, now).cloned()
    }

    /// Recently announced moves of a service's keys.
    pub fn recent_moves(&self, service: &ServiceName, now: Time) -> Vec<MoveNotice> {
        let moves = self.moves.lock().unwrap_or_else(PoisonError::into_inner);
        let log = moves.get(service);
        log.map_or_else(Vec::new, |log| log.recent(now).cloned().collect())
    }

    /// Log of requests that crash servers.
    pub fn crashes(&self) -> MutexGuard<'_, CrashTracker> {
        self.crashes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the shutdown of this instance.
    pub fn start_leaving(&self) {
        self.leaving.send_replace(true);
    }

    /// Subscribes to the start of the shutdown; true once the instance is leaving.
    pub fn subscribe_leaving(&self) -> watch::Receiver<bool> {
        self.leaving.subscribe()
    }
}
