//! Applies rows of the watched tables to the control state, whether read from the store
//! or fetched from another instance.

use {
    super::{
        codec::{
            FORMER_PLANNERS_KEY, FormerPlannersWire, LeadershipWire, MapKey, MapWire, PLANNER_KEY,
        },
        controller::{ControlState, Controller, Leadership, PlannerId},
        watch::WATCHED,
    },
    crate::events,
    citron_core::{
        id::{ParseIdError, StoreEra, StoreVersion},
        ranges::{MapPartition, MapReplica},
        registry::Evacuation,
        time::{StoreTime, Time},
    },
    citron_ports::{Adapter, Row, RowSet, RowTable},
    citron_wire::relay::TableWire,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// Largest number of server entries changed at once that are logged one by one; beyond
/// it, only their count is logged.
const LOGGED_SERVERS_MAX: usize = 16;

/// Rows of a table that changed in its replica.
struct TableChanges {
    rows: Vec<Row>,
    /// Whether the store came back from a copy since the replica was last changed.
    is_restored: bool,
    /// Keys of rows in the copy that the replica had seen removed.
    removed_before: BTreeSet<String>,
}

impl TableChanges {
    /// Whether a row is missing in the copy, or present, although the replica knows a newer
    /// state.
    fn is_older_state(&self, row: &Row) -> bool {
        self.is_restored && (row.value.is_none() || self.removed_before.contains(&row.key))
    }
}

impl<A: Adapter> Controller<A> {
    /// Applies a read of a watched table from the store. `is_snapshot` is true if
    /// `row_set` holds all rows of the table, false if only the changed ones. A change
    /// triggers a round of heartbeats, which advertises the new version to the other
    /// instances.
    pub fn apply_store_rows(&self, table: usize, row_set: RowSet, is_snapshot: bool) {
        let newest_change = match is_snapshot {
            true => row_set.version,
            false => StoreVersion::NONE,
        };
        let changes = self.merge_rows(table, row_set, newest_change, is_snapshot);
        if self.apply_changes(table, &changes) {
            self.heartbeat_trigger.notify_one();
        }
    }

    /// Applies a table fetched from another instance by a call that began at
    /// `call_started`.
    pub fn apply_peer_table(&self, table: usize, wire: TableWire, call_started: Time) {
        let (newest_change, is_snapshot) = (StoreVersion(wire.head.changed), wire.head.whole);
        self.merge_peer_age(table, wire.head.age.into(), call_started);
        let changes = self.merge_rows(table, wire.into(), newest_change, is_snapshot);
        if self.apply_changes(table, &changes) {
            self.long_polls.record_change(table, call_started);
            if self.is_domain_reader() {
                self.heartbeat_trigger.notify_one();
            }
        }
        self.publish_freshness(table);
    }

    /// Brings the replica of a table up to date and returns the rows that changed.
    fn merge_rows(
        &self,
        table: usize,
        row_set: RowSet,
        newest_change: StoreVersion,
        is_snapshot: bool,
    ) -> TableChanges {
        self.record_era(&row_set);
        let state = &mut *self.state.borrow_mut();
        let replica = &mut state.replicas[table];
        let is_restored = replica.is_read() && row_set.version.era() > replica.version.era();
        match WATCHED[table] {
            RowTable::Servers if is_restored => {
                state.registry.on_store_restored(self.clock.now());
            }
            RowTable::Ranges if is_restored => {
                state
                    .maps
                    .values_mut()
                    .for_each(MapReplica::on_store_restored);
            }
            _ => {}
        }
        let keys = row_set.rows.iter().map(|row| &row.key);
        let removed_before = match is_restored {
            true => keys
                .filter(|key| replica.is_removed(key))
                .cloned()
                .collect(),
            false => BTreeSet::new(),
        };
        let rows = match is_snapshot {
            true => replica.replace(row_set, newest_change),
            false => replica.apply(row_set, newest_change),
        };
        TableChanges {
            rows,
            is_restored,
            removed_before,
        }
    }

    /// Applies changed rows, then publishes the view and wakes the planner. Returns false
    /// if there were none.
    fn apply_changes(&self, table: usize, changes: &TableChanges) -> bool {
        let changed = &changes.rows;
        if changed.is_empty() {
            return false;
        }
        self.relay.caught_up(table);
        let mut state = self.state.borrow_mut();
        let is_logged = changed.len() <= LOGGED_SERVERS_MAX;
        if WATCHED[table] == RowTable::Servers && !is_logged {
            let (event, count) = (events::SERVER_ENTRY, changed.len());
            log::info!("{event} {count} entries changed at once");
        }
        for row in changed {
            match WATCHED[table] {
                RowTable::Config => self.apply_config(&mut state, row, changes.is_older_state(row)),
                RowTable::Servers => self.apply_server(&mut state, row, is_logged),
                RowTable::Ranges | RowTable::Members => self.apply_range_row(&mut state, row),
            }
        }
        if WATCHED[table] == RowTable::Ranges {
            state.maps.values_mut().for_each(MapReplica::forget_older);
        }
        drop(state);
        self.publish_view();
        self.plan_trigger.notify_one();
        true
    }

    /// Applies a row of the configuration table: an evacuation or a configuration. The
    /// highest configuration version wins, in whatever order rows arrive; an unreadable
    /// row leaves the last valid configuration in force.
    ///
    /// `is_older_state` is true for what a copy of the store implies against better knowledge.
    fn apply_config(&self, state: &mut ControlState, row: &Row, is_older_state: bool) {
        match self.adapter.decode_evacuation(row) {
            Ok(None) => {}
            Ok(Some(evacuation)) if is_older_state => {
                return self.defer_evacuation(state, evacuation);
            }
            Ok(Some(evacuation)) => return self.apply_evacuation(state, evacuation, row.version),
            Err(error) => return log::error!("{} {error}", events::EVACUATION_REFUSED),
        }
        let config = match self.adapter.decode_config(row) {
            Ok(Some(config)) => config,
            Ok(None) => return,
            Err(error) => {
                log::error!("{} {error}", events::CONFIG_REFUSED);
                state.config_versions.record_unreadable(row.version);
                return;
            }
        };
        state.config_versions.record_readable(row.version);
        let current_version = state.config.as_ref().map(|config| config.version);
        if current_version.is_none_or(|current| config.version > current) {
            log::info!("{} version {}", events::CONFIG_IN_FORCE, config.version);
            state.config = Some(Arc::new(config));
        }
    }

    /// Leaves an evacuation as it was before the store came back from a copy, until the
    /// operators had time to write it again.
    fn defer_evacuation(&self, state: &mut ControlState, evacuation: Evacuation) {
        let now = self.clock.now();
        log::warn!(
            "{} {evacuation:?} in the copy of the store, waiting for the operators",
            events::EVACUATION
        );
        let warm_up = max_slow_start(state);
        let registry = &mut state.registry;
        match evacuation {
            Evacuation::Begun(domain) => registry.begin_restored_evacuation(domain, now),
            Evacuation::Ended(domain) => registry.end_restored_evacuation(domain, warm_up, now),
        }
    }

    fn apply_evacuation(
        &self,
        state: &mut ControlState,
        evacuation: Evacuation,
        version: StoreVersion,
    ) {
        let now = self.clock.now();
        let (domain, change) = match &evacuation {
            Evacuation::Begun(domain) => (domain, "begun"),
            Evacuation::Ended(domain) => (domain, "ended"),
        };
        let servers = state.registry.iter();
        let servers = servers.filter(|known| known.entry.domain == *domain);
        let servers = servers.count();
        let event = events::EVACUATION;
        log::info!(
            "{event} of {domain}: {change}, row {version}, {servers} known servers affected"
        );
        match evacuation {
            Evacuation::Begun(domain) => state.registry.evacuate(domain, now),
            Evacuation::Ended(domain) => {
                let warm_up = max_slow_start(state);
                state.registry.end_evacuation(&domain, warm_up, now);
            }
        }
    }

    fn apply_server(&self, state: &mut ControlState, row: &Row, is_logged: bool) {
        let now = self.clock.now();
        if row.value.is_none() {
            let retention = state.registry.remove_entry(&row.key, now);
            let (event, id, version) = (events::SERVER_ENTRY, &row.key, row.version);
            if is_logged {
                log::info!(
                    "{event} {id}: no longer registered, row {version}, kept for {retention:?}"
                );
            }
            return;
        }
        match self.adapter.decode_server(row) {
            Ok(entry) => {
                let known = state.registry.get(&entry.name);
                if is_logged && known.is_none_or(|known| known.entry.state != entry.state) {
                    let (event, version) = (events::SERVER_ENTRY, row.version);
                    log::info!("{event} {}: {:?}, row {version}", entry.name, entry.state);
                }
                let is_changed = known.is_none_or(|known| known.entry.slots != entry.slots);
                let (name, stated) = (entry.name.clone(), entry.slots);
                state.registry.apply_entry(entry, now);
                // Looking at each of a whole table would take quadratic time.
                if is_logged
                    && is_changed
                    && let Some(counted) = state.registry.counted_slots(&name)
                    && counted < stated
                {
                    let event = events::SLOTS_LIMITED;
                    log::warn!("{event} {name}: {stated} stated, {counted} counted");
                }
            }
            Err(error) => {
                log::error!("{} {error}", events::SERVER_ENTRY_REFUSED);
                state.registry.mark_unreadable(&row.key, now);
            }
        }
    }

    fn apply_range_row(&self, state: &mut ControlState, row: &Row) {
        if row.key == PLANNER_KEY {
            let named = row.value.as_deref();
            let named = named.and_then(|value| parse_leadership(value, row.version));
            let known = state.leadership.take();
            state.leadership = newest_leadership(known, named, row);
            match &state.leadership {
                Some(leadership) => log::info!("{} {leadership}", events::PLANNER),
                None => log::info!("{} none, row {}", events::PLANNER, row.version),
            }
        }
        if row.key == FORMER_PLANNERS_KEY {
            state.former_planners = row
                .value
                .as_deref()
                .map(parse_former_planners)
                .unwrap_or_default();
        }
        if self.settings.keep_loads {
            self.load_rows.apply(row);
        }
        if let Ok(key) = row.key.parse::<MapKey>() {
            apply_map(state, key, row);
        }
    }
}

/// The longest slow start of the servers of any service.
fn max_slow_start(state: &ControlState) -> Duration {
    let config = state.config.as_ref();
    config
        .map(|config| config.max_slow_start())
        .unwrap_or_default()
}

fn apply_map(state: &mut ControlState, key: MapKey, row: &Row) {
    let (range, version) = (key.range, row.version);
    let map = state.maps.entry(key.service).or_default();
    let Some(value) = row.value.as_deref() else {
        return map.stored_mut().remove(range, version);
    };
    let wire = serde_json::from_slice::<MapWire>(value).map_err(|error| error.to_string());
    match wire.and_then(|wire| wire.into_slices(range)) {
        Ok(slices) => {
            map.stored_mut().insert(MapPartition {
                range,
                version,
                slices,
            });
        }
        Err(error) => log::error!("{} {}: {error}", events::OWN_ROW_REFUSED, row.key),
    }
}

fn parse_leadership(value: &[u8], version: StoreVersion) -> Option<Leadership> {
    let wire: LeadershipWire = serde_json::from_slice(value)
        .inspect_err(|error| log::error!("{} {PLANNER_KEY}: {error}", events::OWN_ROW_REFUSED))
        .ok()?;
    let log_refused =
        |error: &ParseIdError| log::error!("{} {PLANNER_KEY}: {error}", events::OWN_ROW_REFUSED);
    let planner_id = |instance: &str, incarnation| {
        let instance = instance.parse().inspect_err(log_refused).ok()?;
        Some(PlannerId {
            instance,
            incarnation,
        })
    };
    let predecessors = wire.before.iter();
    let witnesses = wire.witnesses.iter().map(TryInto::try_into);
    let witnesses: Result<_, ParseIdError> = witnesses.collect();
    let witnesses = witnesses.inspect_err(log_refused).unwrap_or_default();
    Some(Leadership {
        planner: planner_id(&wire.instance, wire.start)?,
        predecessors: predecessors
            .filter_map(|(name, incarnation)| planner_id(name, *incarnation))
            .collect(),
        witnesses,
        claim: StoreVersion::new(StoreEra(wire.era), version.number())?,
        version,
    })
}

/// The leadership after a change of its row. A row of a copy may name a former planner, or be
/// missing, and one of another writer may name none: the newest leadership known is then kept, to
/// be claimed again. Its planner counts as one that may still be acting.
fn newest_leadership(
    known: Option<Leadership>,
    named: Option<Leadership>,
    row: &Row,
) -> Option<Leadership> {
    if named.as_ref().is_some_and(|named| !named.has_lapsed()) {
        return named;
    }
    let is_unreadable = row.value.is_some() && named.is_none();
    let known = known.filter(|known| is_unreadable || known.claim.era() < row.version.era());
    let newest = known.into_iter().chain(named).max_by_key(|one| one.claim)?;
    let version = match row.value {
        Some(_) => row.version,
        None => StoreVersion::new(row.version.era(), 0)?,
    };
    Some(Leadership { version, ..newest })
}

fn parse_former_planners(value: &[u8]) -> BTreeMap<PlannerId, StoreTime> {
    let wire = serde_json::from_slice::<FormerPlannersWire>(value).inspect_err(|error| {
        log::error!("{} {FORMER_PLANNERS_KEY}: {error}", events::OWN_ROW_REFUSED)
    });
    let listed = wire.map_or_else(|_| Vec::new(), |wire| wire.0);
    let parse_entry = |(instance, incarnation, stopped_by): (String, u64, u64)| {
        let instance = instance.parse().ok()?;
        Some((
            PlannerId {
                instance,
                incarnation,
            },
            StoreTime(stopped_by),
        ))
    };
    listed.into_iter().filter_map(parse_entry).collect()
}
