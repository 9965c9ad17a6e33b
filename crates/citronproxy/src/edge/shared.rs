//! What the threads of an instance share.

use {
    super::{freshness::SharedFreshness, view::View},
    arc_swap::ArcSwapOption,
    citron_core::{
        crash::{CrashConfig, CrashTracker},
        dispatch::LoadTracker,
        id::ServiceName,
        ranges::{MoveLog, MoveNotice, OwnerHint, RangeKey, Slice},
        time::Time,
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::sync::watch,
};

/// Keys that are kept for the planner at most, if it cannot be reached.
const PENDING_KEYS_MAX: usize = 4_096;

/// Handed from control to traffic and back. The locks are held for single
/// steps on maps in memory only.
#[derive(Debug)]
pub struct SharedState {
    view: ArcSwapOption<View>,
    freshness: SharedFreshness,
    publications: watch::Sender<u64>,
    loads: Mutex<LoadTracker>,
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
            pending_keys: Mutex::default(),
            crashes: Mutex::new(CrashTracker::new(CrashConfig::PER_START)),
            moves: Mutex::default(),
            leaving: watch::Sender::new(false),
        }
    }
}

impl SharedState {
    /// Makes a view the one that requests are routed by.
    pub fn publish(&self, view: View) {
        self.view.store(Some(Arc::new(view)));
        self.publications.send_modify(|count| *count += 1);
    }

    /// The view in force; `None` until a configuration is known.
    pub fn view(&self) -> Option<Arc<View>> {
        self.view.load_full()
    }

    /// As of when the tables behind the view are known.
    pub fn freshness(&self) -> &SharedFreshness {
        &self.freshness
    }

    /// Tells every publication of a view.
    pub fn subscribe_views(&self) -> watch::Receiver<u64> {
        self.publications.subscribe()
    }

    /// Loads of servers.
    pub fn loads(&self) -> MutexGuard<'_, LoadTracker> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a request for a key.
    pub fn record_key(&self, service: &ServiceName, key: RangeKey) {
        let mut keys = self
            .pending_keys
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if keys.len() < PENDING_KEYS_MAX {
            keys.push((service.clone(), key));
        }
    }

    /// Takes the keys noted since the last call.
    pub fn take_keys(&self) -> Vec<(ServiceName, RangeKey)> {
        let mut keys = self
            .pending_keys
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *keys)
    }

    /// Takes in what the planner says of keys on their way.
    pub fn record_move(&self, service: &ServiceName, update: MoveNotice, now: Time) {
        let mut moves = self.moves.lock().unwrap_or_else(PoisonError::into_inner);
        moves
            .entry(service.clone())
            .or_default()
            .insert(update, now);
    }

    /// What is newer about a key than its slice of the map tells.
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

    /// What was told lately of a service's keys on their way.
    pub fn recent_moves(&self, service: &ServiceName, now: Time) -> Vec<MoveNotice> {
        let moves = self.moves.lock().unwrap_or_else(PoisonError::into_inner);
        let log = moves.get(service);
        log.map_or_else(Vec::new, |log| log.recent(now).cloned().collect())
    }

    /// Requests that crash servers.
    pub fn crashes(&self) -> MutexGuard<'_, CrashTracker> {
        self.crashes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The instance was asked to leave.
    pub fn start_leaving(&self) {
        self.leaving.send_replace(true);
    }

    /// Whether the instance was asked to leave.
    pub fn subscribe_leaving(&self) -> watch::Receiver<bool> {
        self.leaving.subscribe()
    }
}
