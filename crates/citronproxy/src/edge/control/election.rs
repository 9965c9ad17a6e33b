//! Election of the planner.
//!
//! A row in the store names the planner. Correctness does not depend on there being only
//! one: each change of a map is written under the condition that the row still names its
//! writer. The row only prevents two planners from working against each other.

use {
    super::{
        controller::{ControlState, PlannerId},
        peers::Peer,
    },
    crate::edge::EdgeSettings,
    citron_core::{
        dispatch::Reachability,
        freshness::HolderLiveness,
        id::{Incarnation, StoreVersion},
        time::Time,
    },
    citron_wire::heartbeat::ReachWire,
    std::time::Duration,
};

/// Delay between the claims of two instances, multiplied by their rank. It suffices for
/// the first claim to be written and to reach all instances.
const CLAIM_STAGGER: Duration = Duration::from_millis(150);
/// How long a planner that cannot reach the store keeps the leadership. It can still
/// renew leases meanwhile; only moves are delayed.
const STORE_OUTAGE_GRACE: Duration = Duration::from_secs(2);

/// How long the first instances of a deployment wait before one of them claims. By then
/// their heartbeats have been exchanged, which report how large a share of a processor
/// each has.
const FIRST_CLAIM_DELAY: Duration = Duration::from_secs(1);

/// Instance that may claim the leadership.
#[derive(Debug)]
pub struct Claimant<'a> {
    /// Whether backend servers respond to the instance.
    pub reach: Reachability,
    /// Settings of the instance.
    pub settings: &'a EdgeSettings,
    /// Incarnation of the instance.
    pub incarnation: u64,
    /// When the instance was registered as a member and knew the others; `None` before.
    pub registered_at: Option<Time>,
}

/// Decides when this instance claims the leadership.
#[derive(Debug)]
pub struct Election {
    started_at: Time,
    vacant_since: Option<Time>,
    planner_silence: HolderLiveness,
}

impl Election {
    /// Creates the state of an instance that started at `now`.
    pub fn new(now: Time) -> Self {
        Self {
            started_at: now,
            vacant_since: None,
            planner_silence: HolderLiveness::new(now),
        }
    }

    /// Whether this instance should claim the leadership now.
    pub fn should_claim(
        &mut self,
        state: &ControlState,
        claimant: &Claimant<'_>,
        now: Time,
    ) -> bool {
        let claim = state
            .leadership
            .as_ref()
            .map_or(StoreVersion::NONE, |row| row.claim);
        self.planner_silence.record_claim(claim, now);
        if must_leave_planning(state, claimant.reach, now) {
            self.vacant_since = None;
            return false;
        }
        if !self.is_vacant(state, claimant, now) {
            self.vacant_since = None;
            return false;
        }
        if !receives_planner_heartbeats(state, claimant.settings, now) {
            return false;
        }
        let vacant_since = *self.vacant_since.get_or_insert(now);
        let rank = match is_own(state, claimant) {
            true => 0,
            false => claim_rank(state, claimant.settings, now),
        };
        now - vacant_since >= CLAIM_STAGGER * rank
    }

    /// Restarts the delay after a claim, so that other instances get their turn.
    pub fn restart_claim_delay(&mut self, now: Time) {
        self.vacant_since = Some(now);
    }

    fn is_vacant(&self, state: &ControlState, claimant: &Claimant<'_>, now: Time) -> bool {
        let Some(leadership) = &state.leadership else {
            return now - self.started_at > FIRST_CLAIM_DELAY;
        };
        let planner = &leadership.planner;
        if planner.instance == claimant.settings.instance {
            // If the answer to a claim was lost, the row names this incarnation although
            // it does not plan.
            return planner.incarnation != claimant.incarnation
                || !state.is_planning
                || leadership.has_lapsed();
        }
        if has_ended(state, planner, leadership.claim) {
            return true;
        }
        // Until this instance is registered, the others do not know its address, so that
        // their silence means nothing.
        let Some(registered_at) = claimant.registered_at else {
            return false;
        };
        // Heartbeats of another process of the instance are none of the planner.
        let peer = state.peers.get(&planner.instance);
        let heard = peer.and_then(|peer| {
            let heartbeat = peer.heartbeat.as_ref()?;
            (heartbeat.start == planner.incarnation).then_some((peer.last_heard, heartbeat))
        });
        let last_heard = heard.and_then(|(last_heard, _)| last_heard);
        if self
            .planner_silence
            .is_lost(last_heard.max(Some(registered_at)), now)
        {
            return true;
        }
        let Some((_, heartbeat)) = heard else {
            return false;
        };
        // It has resigned, as its orders reach no server, and waits for another planner.
        let has_resigned = heartbeat.reach == ReachWire::CutOff && !heartbeat.planning;
        let may_follow = has_resigned && claimant.reach != Reachability::CutOff;
        heartbeat.leaving
            || may_follow
            || (!heartbeat.store && now - self.started_at > STORE_OUTAGE_GRACE)
    }
}

/// Whether this instance must not plan, as its orders reach no server and those of another
/// one do. Where nobody reaches them, the planner stays, so that the leadership is not passed
/// on for nothing.
pub fn must_leave_planning(state: &ControlState, reach: Reachability, now: Time) -> bool {
    reach == Reachability::CutOff && state.peers.any_reaches_servers(now)
}

/// Whether this incarnation was the last to claim the leadership. The others wait for it.
fn is_own(state: &ControlState, claimant: &Claimant<'_>) -> bool {
    let leadership = state.leadership.as_ref();
    leadership.is_some_and(|row| row.is_held_by(&claimant.settings.instance, claimant.incarnation))
}

/// Whether a planner that claimed the leadership at `claim` or before has certainly ended.
pub fn has_ended(state: &ControlState, planner: &PlannerId, claim: StoreVersion) -> bool {
    let report = state.peers.holder_report(&planner.instance);
    report.is_some_and(|report| report.shows_end(Incarnation(planner.incarnation), claim))
}

/// Whether a former planner has certainly stopped, given that another one claimed the
/// leadership at `successor`.
pub fn has_stopped_planning(
    state: &ControlState,
    planner: &PlannerId,
    successor: StoreVersion,
) -> bool {
    let report = state.peers.holder_report(&planner.instance);
    report.is_some_and(|report| report.shows_stop(Incarnation(planner.incarnation), successor))
}

/// Whether the planner's heartbeats reach this instance. In a partial mesh, they reach
/// only its own failure domain and the first instance of each other one.
fn receives_planner_heartbeats(state: &ControlState, settings: &EdgeSettings, now: Time) -> bool {
    let same_domain = |peer: &Peer| peer.domain.as_ref() == Some(&settings.domain);
    // One that reaches no server does not claim.
    let may_claim = |peer: &Peer| !peer.is_cut_off();
    let is_first = state
        .peers
        .is_first_in_domain(&settings.instance, now, may_claim);
    let planner = state
        .leadership
        .as_ref()
        .and_then(|leadership| state.peers.get(&leadership.planner.instance));
    is_first || state.peers.is_full_mesh() || planner.is_some_and(same_domain)
}

/// Number of live instances that claim before this one.
fn claim_rank(state: &ControlState, settings: &EdgeSettings, now: Time) -> u32 {
    let preferred = state
        .peers
        .preferred_with_store(&settings.instance, settings.cpu_percent, now)
        .filter(|(_, peer)| !peer.is_cut_off())
        .count();
    u32::try_from(preferred).unwrap_or(u32::MAX)
}
