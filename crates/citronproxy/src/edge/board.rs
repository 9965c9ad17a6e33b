//! What the threads of an instance share.

use {
    super::{as_of::AsOf, view::View},
    arc_swap::ArcSwapOption,
    citron_core::{
        crash::{CrashConfig, CrashLog},
        dispatch::LoadBook,
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
const KEYS_MAX: usize = 4_096;

/// Handed from control to traffic and back. The locks are held for single
/// steps on maps in memory only.
#[derive(Debug)]
pub struct SharedState {
    view: ArcSwapOption<View>,
    as_of: AsOf,
    published: watch::Sender<u64>,
    loads: Mutex<LoadBook>,
    keys: Mutex<Vec<(ServiceName, RangeKey)>>,
    crashes: Mutex<CrashLog>,
    moves: Mutex<BTreeMap<ServiceName, MoveLog>>,
    leaving: watch::Sender<bool>,
}

impl Default for SharedState {
    fn default() -> Self {
        Self {
            view: ArcSwapOption::empty(),
            as_of: AsOf::default(),
            published: watch::Sender::new(0),
            loads: Mutex::default(),
            keys: Mutex::default(),
            crashes: Mutex::new(CrashLog::new(CrashConfig::STARTS)),
            moves: Mutex::default(),
            leaving: watch::Sender::new(false),
        }
    }
}

impl SharedState {
    /// Makes a view the one that requests are routed by.
    pub fn publish(&self, view: View) {
        self.view.store(Some(Arc::new(view)));
        self.published.send_modify(|count| *count += 1);
    }

    /// The view in force; `None` until a configuration is known.
    pub fn view(&self) -> Option<Arc<View>> {
        self.view.load_full()
    }

    /// As of when the tables behind the view are known.
    pub fn as_of(&self) -> &AsOf {
        &self.as_of
    }

    /// Tells every publication of a view.
    pub fn published(&self) -> watch::Receiver<u64> {
        self.published.subscribe()
    }

    /// Loads of servers.
    pub fn loads(&self) -> MutexGuard<'_, LoadBook> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a request for a key.
    pub fn note_key(&self, service: &ServiceName, key: RangeKey) {
        let mut keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        if keys.len() < KEYS_MAX {
            keys.push((service.clone(), key));
        }
    }

    /// Takes the keys noted since the last call.
    pub fn take_keys(&self) -> Vec<(ServiceName, RangeKey)> {
        let mut keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *keys)
    }

    /// Takes in what the planner says of keys on their way.
    pub fn note_move(&self, service: &ServiceName, news: MoveNotice, now: Time) {
        let mut moves = self.moves.lock().unwrap_or_else(PoisonError::into_inner);
        moves.entry(service.clone()).or_default().insert(news, now);
    }

    /// What is newer about a key than its slice of the map tells.
    pub fn moved(
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
    pub fn move_news(&self, service: &ServiceName, now: Time) -> Vec<MoveNotice> {
        let moves = self.moves.lock().unwrap_or_else(PoisonError::into_inner);
        let log = moves.get(service);
        log.map_or_else(Vec::new, |log| log.recent(now).cloned().collect())
    }

    /// Requests that crash servers.
    pub fn crashes(&self) -> MutexGuard<'_, CrashLog> {
        self.crashes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The instance was asked to leave.
    pub fn leave(&self) {
        self.leaving.send_replace(true);
    }

    /// Whether the instance was asked to leave.
    pub fn leaving(&self) -> watch::Receiver<bool> {
        self.leaving.subscribe()
    }
}
