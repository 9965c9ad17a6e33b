//! Asks the store anew where what is known has grown old.

use {
    super::{
        controller::Controller,
        transfer::TableTransfer,
        watch::{self, CONFIG, RANGES, SERVERS, WATCHED, jitter_factor},
    },
    crate::events,
    citron_core::{
        freshness::{PropagationTimes, Role},
        time::Time,
    },
    citron_ports::{Adapter, RowSet, RowStore, RowTable, StoreError},
    citron_wire::heartbeat::Heartbeat,
    std::{cell::Cell, future::Future, rc::Rc, time::Duration},
    tokio::{sync::Notify, time::sleep},
};

/// How long the begin of an answer may take: the store answers in some milliseconds,
/// and in a quarter of a second when it is slow.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);
/// The longest time between two looks, as the role may change meanwhile.
const CHECK_INTERVAL_MAX: Duration = Duration::from_millis(200);
/// An open question whose news came on another way for so long counts as swallowed:
/// its own answer cannot be that far behind.
const STALLED_AFTER: Duration = PropagationTimes::STANDARD.call_duration;

/// Questions to the store that stay open until there is news, one for each table.
///
/// The failure: the answer to one is lost while its connection stays open, and each
/// later change reaches this failure domain late, from another one. News that came on
/// another way proves it.
#[derive(Debug, Default)]
pub struct LongPolls {
    polls: [LongPoll; WATCHED.len()],
}

#[derive(Debug, Default)]
struct LongPoll {
    /// When it was asked.
    started_at: Cell<Option<Time>>,
    /// When news came that it should have told.
    overtaken_at: Cell<Option<Time>>,
    cancel: Notify,
}

impl LongPolls {
    /// Asks a question; nothing if it was found to be swallowed.
    pub async fn run<T>(
        &self,
        table: usize,
        call_started: Time,
        read: impl Future<Output = T>,
    ) -> Option<T> {
        let poll = &self.polls[table];
        poll.started_at.set(Some(call_started));
        poll.overtaken_at.set(None);
        let answer = tokio::select! {
            answer = read => Some(answer),
            () = poll.cancel.notified() => None,
        };
        poll.started_at.set(None);
        answer
    }

    /// News of a table came as the answer to a call that began at `begun`.
    pub fn record_change(&self, table: usize, call_started: Time) {
        let poll = &self.polls[table];
        let is_earlier = poll
            .started_at
            .get()
            .is_some_and(|started_at| started_at < call_started);
        if is_earlier && poll.overtaken_at.get().is_none() {
            poll.overtaken_at.set(Some(call_started));
        }
    }

    /// Drops questions that were swallowed, so that they are asked anew.
    fn cancel_stalled(&self, now: Time) {
        for (poll, row_table) in self.polls.iter().zip(WATCHED) {
            let overtaken_at = poll.overtaken_at.get();
            if overtaken_at.is_none_or(|overtaken_at| now - overtaken_at < STALLED_AFTER) {
                continue;
            }
            poll.overtaken_at.set(None);
            if let Some(started_at) = poll.started_at.get() {
                let open_for = now - started_at;
                log::warn!(
                    "{} {row_table:?}, asked {open_for:?} ago",
                    events::ANSWER_LOST
                );
                poll.cancel.notify_one();
            }
        }
    }
}

/// Looks after the ages of tables for good.
pub async fn run<A: Adapter>(controller: Rc<Controller<A>>) {
    loop {
        let delay = controller.time_until_refresh();
        sleep(delay.clamp(PropagationTimes::STANDARD.poll_interval, CHECK_INTERVAL_MAX)).await;
        controller.long_polls.cancel_stalled(controller.clock.now());
        if controller.time_until_refresh().is_zero()
            && controller.state.borrow().replicas[RANGES].version > 0
        {
            refresh_tables(&controller).await;
        }
    }
}

/// Another instance's heartbeat says how old its tables were when it was sent.
pub fn apply_peer_ages<A: Adapter>(controller: &Controller<A>, heartbeat: &Heartbeat, sent: Time) {
    for (table, age) in heartbeat.ages.into_iter().enumerate() {
        if heartbeat.versions[table] == controller.state.borrow().replicas[table].newest_change {
            controller.record_peer_age(table, age.into(), sent);
        }
    }
}

/// Brings all tables up to date. The answer about one tells the newest version of
/// all: as long as nothing is written, one call does.
async fn refresh_tables<A: Adapter>(controller: &Rc<Controller<A>>) {
    let Some(newest) = refresh_table(controller, RANGES).await else {
        return;
    };
    let is_older = |table: usize| {
        let version = controller.state.borrow().replicas[table].version;
        version > 0 && version < newest && !controller.is_transferring(table)
    };
    let refresh_if_older = async |table| {
        if is_older(table) {
            refresh_table(controller, table).await;
        }
    };
    tokio::join!(refresh_if_older(CONFIG), refresh_if_older(SERVERS));
    // Others are told at once how old their tables are.
    controller.heartbeat_trigger.notify_one();
}

/// Reads all maps and the leadership; whether the store told them.
pub async fn read_maps<A: Adapter>(controller: &Controller<A>) -> bool {
    let call_started = controller.clock.now();
    let mut transfer = TableTransfer::from_store(controller, RANGES, watch::READ_RESPONSE_TIMEOUT);
    let read = controller
        .adapter
        .store()
        .rows(RowTable::Ranges, &mut transfer);
    match read.await {
        Ok(row_set) => controller.on_table_read(RANGES, row_set, true, call_started),
        Err(error) => {
            controller.on_store_failure("maps", &error);
            return false;
        }
    }
    true
}

/// Brings a table up to date, and waits for no change; the store's version.
async fn refresh_table<A: Adapter>(controller: &Rc<Controller<A>>, table: usize) -> Option<u64> {
    let call_started = controller.clock.now();
    match read_table(controller, table).await {
        Ok((row_set, is_snapshot)) => Some(apply_read(
            controller,
            table,
            row_set,
            is_snapshot,
            call_started,
        )),
        Err(error) => on_read_failure(controller, table, &error),
    }
}

/// What has changed in a table, or all there is, if so. What an instance knows that
/// hears of changes from others may be older than the store's history, though nothing
/// has changed since.
async fn read_table<A: Adapter>(
    controller: &Controller<A>,
    table: usize,
) -> Result<(RowSet, bool), StoreError> {
    let store = controller.adapter.store();
    let after = controller.state.borrow().replicas[table].version;
    let mut transfer = TableTransfer::from_store(controller, table, RESPONSE_TIMEOUT);
    let changes = store.changes(WATCHED[table], after, Duration::ZERO, &mut transfer);
    match changes.await {
        Err(StoreError::Forgotten) => {
            let mut transfer = TableTransfer::from_store(controller, table, RESPONSE_TIMEOUT);
            Ok((store.rows(WATCHED[table], &mut transfer).await?, true))
        }
        changes => Ok((changes?, false)),
    }
}

fn apply_read<A: Adapter>(
    controller: &Controller<A>,
    table: usize,
    row_set: RowSet,
    is_snapshot: bool,
    call_started: Time,
) -> u64 {
    let version = row_set.version;
    if !is_snapshot && !row_set.rows.is_empty() {
        controller.long_polls.record_change(table, call_started);
    }
    controller.on_table_read(table, row_set, is_snapshot, call_started);
    version
}

fn on_read_failure<A: Adapter>(
    controller: &Controller<A>,
    table: usize,
    error: &StoreError,
) -> Option<u64> {
    let now = controller.clock.now();
    let role = controller.role();
    controller
        .state
        .borrow_mut()
        .freshness
        .record_failure(role, jitter_factor(), now);
    let row_table = WATCHED[table];
    log::warn!(
        "{} {row_table:?} of the store: {error}",
        events::TABLE_NOT_FETCHED
    );
    controller.on_store_failure(&format!("{row_table:?}"), error);
    None
}

impl<A: Adapter> Controller<A> {
    /// How long until the store should be asked.
    fn time_until_refresh(&self) -> Duration {
        // The planner must hear from the store itself that it still has the leadership.
        let in_transfer = [0, 1, 2].map(|table| table != RANGES && self.is_transferring(table));
        let state = self.state.borrow();
        let now = self.clock.now();
        state
            .freshness
            .time_until_due_except(in_transfer, self.role(), now)
    }

    /// Whether parts of a table are coming.
    pub fn is_transferring(&self, table: usize) -> bool {
        let now = self.clock.now();
        self.fetches.borrow().is_arriving(table, now)
    }

    fn role(&self) -> Role {
        if self.state.borrow().is_planning {
            return Role::Planner;
        }
        // Where the store answers nobody, all of a domain would read it.
        let reads_store = match *self.store_up.borrow() {
            true => self.is_domain_reader(),
            false => self.is_first_in_domain(),
        };
        if reads_store {
            Role::Reader
        } else {
            Role::Follower
        }
    }
}
