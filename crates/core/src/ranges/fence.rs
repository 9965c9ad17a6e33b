//! Releases by which a planner makes sure that servers hold no keys but those of its map.

use {
    super::{
        KeyRange, Order, OrderOutcome, OwnerState, Owners, RangeMap,
        key::subtract,
        reconciler::{RETRY_DELAY, not_moving},
    },
    crate::{
        id::{Epoch, ServerName},
        time::Time,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Time after which all servers that run are registered in a store that came back from a copy.
const REGISTRATION_TIME: Duration = Duration::from_millis(2_200);
/// Time in which servers answer a release, after the requests on the keys.
const ANSWER_TIME: Duration = Duration::from_millis(3_500);
/// Largest number of releases in progress. Sent together, thousands of them would occupy a
/// small processor for seconds.
const IN_PROGRESS_MAX: usize = 40;
/// How long a release without an answer counts as in progress, so that servers that do not
/// answer do not hold up the releases at others.
const IN_PROGRESS_TIME: Duration = Duration::from_millis(100);

/// Releases of all keys at all servers to which a map does not assign them, and of keys in
/// motion at all servers.
///
/// A planner that takes over after the store came back from a copy does not know which moves
/// the copy lacks: any server may hold any key. Once all servers have answered, each holds at
/// most what the map assigns to it, and rejects late grants of earlier planners for the rest.
///
/// That says nothing of servers that run and are not registered any more. Unless the planner
/// has a record of all grants, a key is free only once its owner has accepted a renewal under
/// the epoch of the map, as it rejects that after a release, or all leases have ended.
///
/// ```
/// use citron_core::{
///     id::Epoch,
///     ranges::{Fence, GrantRecord, Order, OrderOutcome, OwnerState, Owners, RangeMap},
///     id::ServerName, time::Time,
/// };
/// use std::time::Duration;
/// struct AllServing;
/// impl Owners for AllServing {
///     fn state(&self, _: &ServerName) -> OwnerState { OwnerState::Serving }
/// }
/// let (one, two) = ("s-1".parse().unwrap(), "s-2".parse().unwrap());
/// let mut map = RangeMap::new();
/// map.assign("0-99".parse().unwrap(), &one, None);
/// let now = Time::ZERO;
/// let mut fence = Fence::new(Epoch(7), GrantRecord::Lost);
/// fence.include(&map, &[], [&one, &two], &AllServing, now);
/// let orders = fence.orders(now, &AllServing);
/// let released = |order: &Order| match order {
///     Order::Release { server, range, .. } => format!("{server} {range}"),
///     _ => String::new(),
/// };
/// let released: Vec<String> = orders.iter().map(released).collect();
/// assert_eq!(released, ["s-1 100-65535", "s-2 0-65535"]);
/// let later = now + Duration::from_secs(3);
/// assert!(!fence.is_done(later));
/// fence.complete(&one, "100-65535".parse().unwrap(), Epoch(7), &OrderOutcome::Done { handover: None }, now);
/// fence.complete(&two, "0-65535".parse().unwrap(), Epoch(7), &OrderOutcome::Done { handover: None }, now);
/// assert!(fence.is_done(later));
/// ```
#[derive(Debug)]
pub struct Fence {
    epoch: Epoch,
    record: GrantRecord,
    /// When servers were included first, by a table read in the era of the fence.
    started: Option<Time>,
    included: BTreeSet<ServerName>,
    /// Releases without an answer.
    unanswered: BTreeMap<(ServerName, KeyRange), ReleaseState>,
}

/// What a planner knows of the grants that were sent before the store came back from a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantRecord {
    /// It sent all of them itself.
    Complete,
    /// Others may have sent grants that the copy does not show.
    Lost,
}

#[derive(Debug, Clone, Copy)]
enum ReleaseState {
    /// To be sent at that time.
    Due(Time),
    /// Sent at that time, and not completed.
    Sent(Time),
}

impl Fence {
    /// Creates a fence with the epoch of its releases.
    pub fn new(epoch: Epoch, record: GrantRecord) -> Self {
        Self {
            epoch,
            record,
            started: None,
            included: BTreeSet::new(),
            unanswered: BTreeMap::new(),
        }
    }

    /// Adds registered servers that were unknown so far, and drops those whose process has
    /// ended: the next process at the address is registered, and added in the same call.
    /// `moving` are disjoint ranges in key order that no server is to hold.
    pub fn include<'a>(
        &mut self,
        map: &RangeMap,
        moving: &[KeyRange],
        servers: impl IntoIterator<Item = &'a ServerName>,
        owners: &impl Owners,
        now: Time,
    ) {
        self.started.get_or_insert(now);
        for server in servers {
            if self.included.contains(server) {
                continue;
            }
            self.included.insert(server.clone());
            // An owner whose lease is to end may hold the keys by a grant that the copy lacks.
            let owned = map.owned_by(server).filter(|slice| slice.expiry.is_none());
            let kept = owned.flat_map(|slice| not_moving(slice.range, moving));
            let others = kept.fold(vec![KeyRange::ALL], subtract);
            for range in others {
                self.unanswered
                    .insert((server.clone(), range), ReleaseState::Due(now));
            }
        }
        self.unanswered
            .retain(|(server, _), _| owners.state(server) != OwnerState::Ended);
    }

    /// Returns the releases that are due. Servers whose process has ended are skipped.
    pub fn orders(&mut self, now: Time, owners: &impl Owners) -> Vec<Order> {
        let in_progress = |state: &&ReleaseState| match state {
            ReleaseState::Due(_) => false,
            ReleaseState::Sent(sent) => now - *sent < IN_PROGRESS_TIME,
        };
        let in_progress = self.unanswered.values().filter(in_progress).count();
        let mut due: Vec<(Time, (ServerName, KeyRange))> = Vec::new();
        for (release, state) in &self.unanswered {
            match state {
                ReleaseState::Due(at)
                    if *at <= now && owners.state(&release.0) != OwnerState::Ended =>
                {
                    due.push((*at, release.clone()))
                }
                _ => {}
            }
        }
        due.sort();
        due.truncate(IN_PROGRESS_MAX.saturating_sub(in_progress));
        let mut orders = Vec::with_capacity(due.len());
        for (_, release) in due {
            let (server, range) = release.clone();
            self.unanswered.insert(release, ReleaseState::Sent(now));
            let epoch = self.epoch;
            orders.push(Order::Release {
                server,
                range,
                epoch,
            });
        }
        orders
    }

    /// Applies the outcome of a release; a failed one is sent again. One with another epoch
    /// is not of this fence.
    pub fn complete(
        &mut self,
        server: &ServerName,
        range: KeyRange,
        epoch: Epoch,
        outcome: &OrderOutcome,
        now: Time,
    ) {
        if epoch != self.epoch {
            return;
        }
        let release = (server.clone(), range);
        match outcome {
            OrderOutcome::Done { .. } => {
                self.unanswered.remove(&release);
            }
            _ => {
                if let Some(state) = self.unanswered.get_mut(&release) {
                    *state = ReleaseState::Due(now + RETRY_DELAY);
                }
            }
        }
    }

    /// What the planner knows of earlier grants.
    pub fn record(&self) -> GrantRecord {
        self.record
    }

    /// When servers were included first.
    pub fn started(&self) -> Option<Time> {
        self.started
    }

    /// Whether all that run and reach the store are registered, and have answered. A planner
    /// without a record of all grants waits no longer than servers take to answer: what it
    /// grants does not follow from these answers alone.
    pub fn is_done(&self, now: Time) -> bool {
        let Some(started) = self.started else {
            return false;
        };
        let is_late = self.record == GrantRecord::Lost && now - started >= ANSWER_TIME;
        (self.unanswered.is_empty() || is_late) && now - started >= REGISTRATION_TIME
    }
}
