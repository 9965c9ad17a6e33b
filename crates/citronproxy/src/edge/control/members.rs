//! Registration of this instance in the table of members, and discovery of the others.

use {
    super::{
        codec::MemberWire,
        controller::Controller,
        watch::{READ_RESPONSE_TIMEOUT, jitter_factor},
    },
    crate::events,
    citron_core::freshness::{FreshnessTimes, Role},
    citron_core::id::{InstanceId, StoreEra, StoreVersion},
    citron_ports::{Adapter, IdleTimeout, Row, RowCommit, RowStore, RowTable, StoreError},
    rand::Rng,
    std::{ops::Range, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Rate of the registrations of all instances together after a restore of the store.
const REGISTRATIONS_PER_S: f64 = 100.0;
/// Range of the random delay after a throttled call, in seconds. Several hundred
/// instances may start at the same moment, and the store accepts only about a second's
/// worth of writes at a time.
const THROTTLED_DELAY_SECS: Range<f64> = 0.5..4.5;

/// Registers this instance, and again after each restore of the store from a copy, which may
/// lack its row, until the process exits.
pub async fn run<A: Adapter>(controller: Rc<Controller<A>>) {
    let member = MemberWire {
        address: controller.settings.peer_address,
        domain: controller.settings.domain.to_string(),
        detour: controller.settings.detour_address,
    };
    let Ok(value) = serde_json::to_vec(&member) else {
        return;
    };
    let commit = RowCommit {
        writes: vec![(
            RowTable::Members,
            controller.settings.instance.to_string(),
            value,
        )],
        ..RowCommit::default()
    };
    let mut eras = controller.store_era.subscribe();
    loop {
        let registered_era = register(&controller, &commit).await;
        let is_restored = |era: &Option<StoreEra>| era.is_some_and(|era| era > registered_era);
        // The sender lives as long as the controller.
        if eras.wait_for(is_restored).await.is_err() {
            return;
        }
        sleep(registration_delay(&controller)).await;
    }
}

/// Random delay that spreads the registrations of all instances.
fn registration_delay<A: Adapter>(controller: &Controller<A>) -> Duration {
    let now = controller.clock.now();
    let instances = controller.state.borrow().peers.instance_count(now);
    let span = Duration::from_secs(1).mul_f64(instances as f64 / REGISTRATIONS_PER_S);
    span.mul_f64(rand::rng().random())
}

/// Writes this instance's row to the table of members, then reads the rows of the others.
/// The order ensures that of two instances that register at once at least one reads the row
/// of the other. If the write fails, the instance sends heartbeats to the members that it
/// has read, and retries the write. Returns the era of the store in which the row was written.
async fn register<A: Adapter>(controller: &Controller<A>, commit: &RowCommit) -> StoreEra {
    let result = write_member(controller, commit).await;
    let known_version = read_members(controller).await;
    if controller.registered_at.get().is_none() {
        controller.registered_at.set(Some(controller.clock.now()));
    }
    controller.heartbeat_trigger.notify_one();
    let mut error = match result {
        Ok(version) => return version.era(),
        Err(error) => error,
    };
    let mut retry = RetryDelay::default();
    let version = loop {
        retry.wait_after(controller, &error).await;
        match write_member(controller, commit).await {
            Ok(version) => break version,
            Err(next) => error = next,
        }
    };
    read_members_since(controller, known_version).await;
    controller.heartbeat_trigger.notify_one();
    version.era()
}

async fn write_member<A: Adapter>(
    controller: &Controller<A>,
    commit: &RowCommit,
) -> Result<StoreVersion, StoreError> {
    let call_started = controller.clock.now();
    let version = controller.adapter.store().commit(commit).await?;
    controller.on_store_success(call_started, None);
    Ok(version)
}

/// Reads all members, and returns the version of the read.
async fn read_members<A: Adapter>(controller: &Controller<A>) -> StoreVersion {
    let mut retry = RetryDelay::default();
    loop {
        let call_started = controller.clock.now();
        let mut idle = IdleTimeout::new(READ_RESPONSE_TIMEOUT, READ_RESPONSE_TIMEOUT);
        let read = controller
            .adapter
            .store()
            .rows(RowTable::Members, &mut idle);
        match read.await {
            Ok(row_set) => {
                controller.on_store_success(call_started, row_set.store_time);
                add_peers(controller, &row_set.rows);
                return row_set.version;
            }
            Err(error) => retry.wait_after(controller, &error).await,
        }
    }
}

/// Reads the members that were written after a version.
async fn read_members_since<A: Adapter>(controller: &Controller<A>, version: StoreVersion) {
    let mut retry = RetryDelay::default();
    loop {
        let call_started = controller.clock.now();
        let mut idle = IdleTimeout::new(READ_RESPONSE_TIMEOUT, READ_RESPONSE_TIMEOUT);
        let store = controller.adapter.store();
        let read = store.changes(RowTable::Members, version, Duration::ZERO, &mut idle);
        match read.await {
            Ok(row_set) => {
                controller.on_store_success(call_started, row_set.store_time);
                return add_peers(controller, &row_set.rows);
            }
            Err(error) if error.requires_full_read() => {
                read_members(controller).await;
                return;
            }
            Err(error) => retry.wait_after(controller, &error).await,
        }
    }
}

fn add_peers<A: Adapter>(controller: &Controller<A>, rows: &[Row]) {
    let now = controller.clock.now();
    for row in rows {
        let value = row.value.as_deref().unwrap_or_default();
        let (Ok(name), Ok(member)) = (
            row.key.parse::<InstanceId>(),
            serde_json::from_slice::<MemberWire>(value),
        ) else {
            log::error!(
                "{} unreadable row of member {}",
                events::OWN_ROW_REFUSED,
                row.key
            );
            continue;
        };
        if name != controller.settings.instance {
            let domain = member.domain.parse().ok();
            let mut state = controller.state.borrow_mut();
            state.peers.add(name.clone(), member.address, domain, now);
            state.peers.set_detour(&name, member.detour);
        }
    }
}

/// Delay between retries of a call, randomised: instances that start together fail
/// together, and the store accepts a limited number of writes a second.
#[derive(Debug, Default)]
struct RetryDelay {
    failures: u32,
}

impl RetryDelay {
    async fn wait_after<A: Adapter>(&mut self, controller: &Controller<A>, error: &StoreError) {
        controller.on_store_write_failure("members", error);
        let delay = match error {
            StoreError::Throttled => {
                let seconds = rand::rng().random_range(THROTTLED_DELAY_SECS);
                Duration::from_secs_f64(seconds)
            }
            _ => {
                let delay = FreshnessTimes::STANDARD.backoff(Role::Follower, self.failures);
                delay.mul_f64(jitter_factor())
            }
        };
        self.failures += 1;
        sleep(delay).await;
    }
}
