//! Rows from outside, and the product's own, taken in one by one.

use {
    super::{
        codec::{FORMERS, FormersWire, LeadershipWire, MapKey, MapWire, PLANNER},
        node::{Holder, Leadership, Node, State},
        watch::WATCHED,
    },
    crate::events,
    citron_core::{
        ranges::MapPart,
        registry::Evacuation,
        time::{StoreTime, Time},
    },
    citron_ports::{Adapter, Row, RowSet, RowTable},
    citron_wire::relay::TableWire,
    std::{collections::BTreeMap, sync::Arc},
};

/// Entries of servers that change together, up to which each has a log line.
const LOGGED_MAX: usize = 16;

impl<A: Adapter> Node<A> {
    /// Takes in what the store said of a watched table; `whole` if these are all
    /// rows there are. Other instances hear of changes at once.
    pub fn take(&self, at: usize, set: RowSet, whole: bool) {
        let newest = if whole { set.version } else { 0 };
        let changed = self.merge(at, set, newest, whole);
        if self.take_rows(at, &changed) {
            self.hurry.notify_one();
        }
    }

    /// Takes in what has changed by another instance's word, in an answer to a call
    /// that began at `begun`.
    pub fn take_over(&self, at: usize, table: TableWire, begun: Time) {
        let (newest, whole) = (table.head.changed, table.head.whole);
        self.known_from(at, table.head.age.into(), begun);
        let changed = self.merge(at, table.into(), newest, whole);
        if self.take_rows(at, &changed) {
            self.questions.missed(at, begun);
            if self.leads() {
                self.hurry.notify_one();
            }
        }
        self.note_known(at);
    }

    /// Brings the copy of a table up to date; the changed rows.
    fn merge(&self, at: usize, set: RowSet, newest: u64, whole: bool) -> Vec<Row> {
        let mirror = &mut self.state.borrow_mut().mirrors[at];
        match whole {
            true => mirror.replace(set, newest),
            false => mirror.apply(set, newest),
        }
    }

    /// Whether there was anything to take in.
    fn take_rows(&self, at: usize, changed: &[Row]) -> bool {
        if changed.is_empty() {
            return false;
        }
        self.relay.caught_up(at);
        let mut state = self.state.borrow_mut();
        let few = changed.len() <= LOGGED_MAX;
        if WATCHED[at] == RowTable::Servers && !few {
            let (event, count) = (events::SERVER_STATE, changed.len());
            log::info!("{event} {count} entries at once");
        }
        for row in changed {
            match WATCHED[at] {
                RowTable::Config => self.take_config(&mut state, row),
                RowTable::Servers => self.take_server(&mut state, row, few),
                RowTable::Ranges | RowTable::Members => self.take_range(&mut state, row),
            }
        }
        drop(state);
        self.publish();
        self.wake.notify_one();
        true
    }

    /// The newest configuration counts, whatever comes in which order; one that
    /// cannot be read leaves the last good one in force.
    fn take_config(&self, state: &mut State, row: &Row) {
        match self.adapter.evacuation(row) {
            Ok(None) => {}
            Ok(Some(evacuation)) => return self.take_evacuation(state, evacuation, row.version),
            Err(error) => return log::error!("{} {error}", events::EVACUATION_REFUSED),
        }
        let config = match self.adapter.config(row) {
            Ok(Some(config)) => config,
            Ok(None) => return,
            Err(error) => {
                log::error!("{} {error}", events::CONFIG_REFUSED);
                state.newest.record_unreadable(row.version);
                return;
            }
        };
        state.newest.record_readable(row.version);
        let known = state.config.as_ref().map(|config| config.version);
        if known.is_none_or(|known| config.version > known) {
            log::info!("{} version {}", events::CONFIG, config.version);
            state.config = Some(Arc::new(config));
        }
    }

    fn take_evacuation(&self, state: &mut State, evacuation: Evacuation, version: u64) {
        let now = self.clock.now();
        let (domain, what) = match &evacuation {
            Evacuation::Begun(domain) => (domain, "begun"),
            Evacuation::Ended(domain) => (domain, "ended"),
        };
        let servers = state.registry.iter();
        let servers = servers.filter(|known| known.entry.domain == *domain);
        let servers = servers.count();
        let event = events::EVACUATION;
        log::info!("{event} of {domain}: {what}, row {version}, {servers} servers known there");
        match evacuation {
            Evacuation::Begun(domain) => state.registry.evacuate(domain, now),
            Evacuation::Ended(domain) => {
                let cold = state.config.as_ref().map(|config| config.max_slow_start());
                state
                    .registry
                    .restore(&domain, cold.unwrap_or_default(), now);
            }
        }
        let evacuated = state.registry.evacuated().len();
        self.counts.evacuated.set(evacuated as i64);
    }

    fn take_server(&self, state: &mut State, row: &Row, logged: bool) {
        let now = self.clock.now();
        if row.value.is_none() {
            let kept = state.registry.removed(&row.key, now);
            let (event, id, version) = (events::SERVER_STATE, &row.key, row.version);
            if logged {
                log::info!("{event} {id}: listed no more, row {version}, kept for {kept:?}");
            }
            return;
        }
        match self.adapter.server(row) {
            Ok(entry) => {
                let known = state.registry.get(&entry.name);
                if logged && known.is_none_or(|known| known.entry.state != entry.state) {
                    let (event, version) = (events::SERVER_STATE, row.version);
                    log::info!("{event} {}: {:?}, row {version}", entry.name, entry.state);
                }
                state.registry.listed(entry, now);
            }
            Err(error) => {
                log::error!("{} {error}", events::SERVER_REFUSED);
                state.registry.unreadable(&row.key, now);
            }
        }
    }

    fn take_range(&self, state: &mut State, row: &Row) {
        if row.key == PLANNER {
            state.leadership = row
                .value
                .as_deref()
                .and_then(|value| leadership(value, row.version));
            log::info!("{} {:?}", events::PLANNER, state.leadership);
        }
        if row.key == FORMERS {
            state.formers = row.value.as_deref().map(formers).unwrap_or_default();
        }
        if let Ok(key) = row.key.parse::<MapKey>() {
            take_map(state, key, row);
        }
    }
}

fn take_map(state: &mut State, key: MapKey, row: &Row) {
    let (range, version) = (key.range, row.version);
    let map = state.maps.entry(key.service).or_default();
    let Some(value) = row.value.as_deref() else {
        return Arc::make_mut(map).remove(range, version);
    };
    let wire = serde_json::from_slice::<MapWire>(value).map_err(|error| error.to_string());
    match wire.and_then(|wire| wire.into_slices(range)) {
        Ok(slices) => {
            Arc::make_mut(map).put(MapPart {
                range,
                version,
                slices,
            });
        }
        Err(error) => log::error!("{} {}: {error}", events::MAP_REFUSED, row.key),
    }
}

fn leadership(value: &[u8], version: u64) -> Option<Leadership> {
    let wire: LeadershipWire = serde_json::from_slice(value)
        .inspect_err(|error| log::error!("{} {PLANNER}: {error}", events::MAP_REFUSED))
        .ok()?;
    let holder = |instance: &str, start| {
        let instance = instance.parse().ok()?;
        Some(Holder { instance, start })
    };
    let before = wire.before.iter();
    Some(Leadership {
        holder: holder(&wire.instance, wire.start)?,
        before: before
            .filter_map(|(name, start)| holder(name, *start))
            .collect(),
        version,
    })
}

fn formers(value: &[u8]) -> BTreeMap<Holder, StoreTime> {
    let wire = serde_json::from_slice::<FormersWire>(value)
        .inspect_err(|error| log::error!("{} {FORMERS}: {error}", events::MAP_REFUSED));
    let listed = wire.map_or_else(|_| Vec::new(), |wire| wire.0);
    let former = |(instance, start, until): (String, u64, u64)| {
        let instance = instance.parse().ok()?;
        Some((Holder { instance, start }, StoreTime(until)))
    };
    listed.into_iter().filter_map(former).collect()
}
