//! Polls the store for tables whose age has reached the limit, and detects stalled long
//! polls.

use {
    super::{
        controller::{Controller, Leadership},
        transfer::TableTransfer,
        watch::{self, CONFIG, RANGES, SERVERS, WATCHED, jitter_factor},
    },
    crate::events,
    citron_core::{
        freshness::{PropagationTimes, Role},
        id::StoreVersion,
        time::Time,
    },
    citron_ports::{Adapter, RowSet, RowStore, RowTable, StoreError},
    citron_wire::heartbeat::Heartbeat,
    std::{cell::Cell, future::Future, pin::pin, rc::Rc, time::Duration},
    tokio::{
        sync::Notify,
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// How long the store may take to begin its response. It usually takes a few
/// milliseconds, and a quarter of a second when it is slow.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay after which a read without a response is repeated on another connection. A planner
/// whose read failed gives up the leadership, and a single lost response must not cause that.
/// Above the response time of a slow store, and half of [`RESPONSE_TIMEOUT`], so that both
/// reads have the same time and an unreachable store is detected no later.
const SECOND_CALL_DELAY: Duration = Duration::from_millis(300);
/// Longest interval between two checks, as the role of the instance may change meanwhile.
const CHECK_INTERVAL_MAX: Duration = Duration::from_millis(200);
/// A long poll counts as stalled when a change that it should have returned arrived
/// another way this long ago. Its own response cannot be that far behind.
const STALLED_AFTER: Duration = PropagationTimes::STANDARD.call_duration;

/// Long polls that are open at the store, one for each watched table.
///
/// Guards against a lost response on a connection that stays open: each later change
/// would then reach this failure domain only late, from another one. A change that
/// arrives another way reveals the loss.
#[derive(Debug, Default)]
pub struct LongPolls {
    polls: [LongPoll; WATCHED.len()],
}

#[derive(Debug, Default)]
struct LongPoll {
    /// When the long poll began; `None` while there is none.
    started_at: Cell<Option<Time>>,
    /// When a call began that returned a change which the long poll should have returned.
    overtaken_at: Cell<Option<Time>>,
    cancel: Notify,
}

impl LongPolls {
    /// Runs a long poll. Returns `None` if it was cancelled because it had stalled.
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

    /// Records that a call begun at `call_started` returned a change of the table.
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

    /// Cancels stalled long polls, so that they are started again.
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
                    "{} {row_table:?}, long poll open for {open_for:?}",
                    events::ANSWER_LOST
                );
                poll.cancel.notify_one();
            }
        }
    }
}

/// Checks the ages of the tables, and refreshes them when due, until the process exits.
pub async fn run<A: Adapter>(controller: Rc<Controller<A>>) {
    loop {
        let delay = controller.time_until_refresh();
        sleep(delay.clamp(PropagationTimes::STANDARD.poll_interval, CHECK_INTERVAL_MAX)).await;
        controller.long_polls.cancel_stalled(controller.clock.now());
        if controller.time_until_refresh().is_zero()
            && controller.state.borrow().replicas[RANGES].is_read()
        {
            refresh_tables(&controller).await;
        }
    }
}

/// Records the ages that a peer's heartbeat reports for tables of the same version.
/// `sent` is when the heartbeat was sent.
pub fn apply_peer_ages<A: Adapter>(controller: &Controller<A>, heartbeat: &Heartbeat, sent: Time) {
    for (table, age) in heartbeat.ages.into_iter().enumerate() {
        let newest_change = controller.state.borrow().replicas[table].newest_change;
        if heartbeat.versions[table] == newest_change.0 {
            controller.record_peer_age(table, age.into(), sent);
        }
    }
}

/// Refreshes all tables. The response for one table contains the newest version of all,
/// so that a single call suffices while nothing is written.
async fn refresh_tables<A: Adapter>(controller: &Rc<Controller<A>>) {
    let Some(newest) = refresh_table(controller, RANGES).await else {
        return;
    };
    let is_older = |table: usize| {
        let replica = &controller.state.borrow().replicas[table];
        replica.is_read() && replica.version < newest && !controller.is_transferring(table)
    };
    let refresh_if_older = async |table| {
        if is_older(table) {
            refresh_table(controller, table).await;
        }
    };
    tokio::join!(refresh_if_older(CONFIG), refresh_if_older(SERVERS));
    // Reports the new ages to the other instances at once.
    controller.heartbeat_trigger.notify_one();
}

/// Reads all maps and the leadership. Returns whether the read succeeded.
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
            controller.on_store_read_failure("maps", call_started, &error);
            return false;
        }
    }
    true
}

/// Reads of the leadership that orders wait for. One serves all that began to wait before it.
#[derive(Debug, Default)]
pub struct Confirmations {
    is_reading: Cell<bool>,
    read_ended: Notify,
}

/// Whether the store confirms that this instance has had a leadership at `since` and later.
/// Reads the leadership if it was not confirmed since. A read goes on if the caller gives up,
/// so that it serves the next one.
pub async fn confirm_leadership<A: Adapter>(
    controller: &Rc<Controller<A>>,
    leadership: &Leadership,
    since: Time,
) -> bool {
    loop {
        if controller.is_confirmed_since(leadership, since) {
            return true;
        }
        // The store is read on in any case, so that its return is noticed.
        if !controller.is_in_force(leadership) || !*controller.store_up.borrow() {
            return false;
        }
        let confirmations = &controller.confirmations;
        let read_ended = confirmations.read_ended.notified();
        if !confirmations.is_reading.replace(true) {
            let controller = Rc::clone(controller);
            spawn_local(async move {
                refresh_table(&controller, RANGES).await;
                controller.confirmations.is_reading.set(false);
                controller.confirmations.read_ended.notify_waiters();
            });
        }
        read_ended.await;
    }
}

/// Reads the changes of a table without waiting for new ones, and applies them. Returns
/// the store's version, or `None` if the read failed.
async fn refresh_table<A: Adapter>(
    controller: &Rc<Controller<A>>,
    table: usize,
) -> Option<StoreVersion> {
    let call_started = controller.clock.now();
    match read_table(controller, table).await {
        Ok((row_set, is_snapshot)) => Some(apply_read(
            controller,
            table,
            row_set,
            is_snapshot,
            call_started,
        )),
        Err(error) => on_read_failure(controller, table, call_started, &error),
    }
}

/// Reads what has changed in a table, or all rows if the store's history no longer
/// reaches back to the version of the replica. The latter can happen although nothing has
/// changed: a replica that is kept current by peers does not advance its version while
/// there are no changes. The flag is true if all rows were read.
async fn read_table<A: Adapter>(
    controller: &Controller<A>,
    table: usize,
) -> Result<(RowSet, bool), StoreError> {
    let store = controller.adapter.store();
    let after = controller.state.borrow().replicas[table].version;
    let changes = async |timeout| {
        let mut transfer = TableTransfer::from_store(controller, table, timeout);
        let changes = store.changes(WATCHED[table], after, Duration::ZERO, &mut transfer);
        changes.await
    };
    let is_arriving = || controller.is_transferring(table);
    match call_twice(changes, is_arriving).await {
        Err(error) if error.requires_full_read() => {
            let mut transfer = TableTransfer::from_store(controller, table, RESPONSE_TIMEOUT);
            Ok((store.rows(WATCHED[table], &mut transfer).await?, true))
        }
        changes => Ok((changes?, false)),
    }
}

/// Makes a call, and a second one beside it if the first has no response in time. The first
/// successful response counts. `is_arriving` tells whether a response has begun.
async fn call_twice<T>(
    call: impl AsyncFn(Duration) -> Result<T, StoreError>,
    is_arriving: impl Fn() -> bool,
) -> Result<T, StoreError> {
    let mut first = pin!(call(RESPONSE_TIMEOUT));
    if let Ok(response) = timeout(SECOND_CALL_DELAY, &mut first).await {
        return response;
    }
    if is_arriving() {
        return first.await;
    }
    let mut second = pin!(call(RESPONSE_TIMEOUT - SECOND_CALL_DELAY));
    tokio::select! {
        response = &mut first => match response {
            Err(_) => second.await,
            response => response,
        },
        response = &mut second => match response {
            Err(_) => first.await,
            response => response,
        },
    }
}

fn apply_read<A: Adapter>(
    controller: &Controller<A>,
    table: usize,
    row_set: RowSet,
    is_snapshot: bool,
    call_started: Time,
) -> StoreVersion {
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
    call_started: Time,
    error: &StoreError,
) -> Option<StoreVersion> {
    let now = controller.clock.now();
    let role = controller.role();
    controller
        .state
        .borrow_mut()
        .freshness
        .record_failure(role, jitter_factor(), now);
    let row_table = WATCHED[table];
    log::warn!(
        "{} {row_table:?} from the store: {error}",
        events::TABLE_NOT_FETCHED
    );
    controller.on_store_read_failure(&format!("{row_table:?}"), call_started, error);
    None
}

impl<A: Adapter> Controller<A> {
    /// Time until the store should be polled.
    fn time_until_refresh(&self) -> Duration {
        // A transfer from a peer does not postpone the poll of the ranges: the planner
        // must confirm at the store itself that it still has the leadership.
        let in_transfer = [0, 1, 2].map(|table| table != RANGES && self.is_transferring(table));
        let state = self.state.borrow();
        let now = self.clock.now();
        state
            .freshness
            .time_until_due_except(in_transfer, self.role(), now)
    }

    /// Whether a transfer of the table to this instance is in progress.
    pub fn is_transferring(&self, table: usize) -> bool {
        let now = self.clock.now();
        self.fetches.borrow().is_arriving(table, now)
    }

    fn role(&self) -> Role {
        if self.state.borrow().is_planning {
            return Role::Planner;
        }
        // If the store answers no instance of the failure domain, only the first one
        // polls as a reader; otherwise all of them would.
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
