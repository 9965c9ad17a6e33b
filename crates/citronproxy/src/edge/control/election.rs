//! Which instance plans.
//!
//! A row of the store names it. Safety never rests on there being one planner:
//! each change of a map is written under the condition that the row is still the
//! planner's own. The row only keeps two from working against each other.

use {
    super::{
        node::{Holder, State},
        peers::Peer,
    },
    crate::edge::EdgeSettings,
    citron_core::{freshness::HolderLiveness, time::Time},
    citron_wire::heartbeat::Heartbeat,
    std::time::Duration,
};

/// Pause between the claims of two instances, by their rank: the first one's is
/// written and known to all meanwhile.
const RANK: Duration = Duration::from_millis(150);
/// How long a planner that the store does not answer is left its leadership: it may
/// still renew, and only lacks moves.
const STORELESS: Duration = Duration::from_secs(2);

/// How long the first instances of a deployment wait before one of them claims: by then they
/// have heard which of them has the most of a processor.
const FIRST_CLAIM: Duration = Duration::from_secs(1);

/// An instance that may claim the leadership.
#[derive(Debug)]
pub struct Claimant<'a> {
    /// Its settings.
    pub settings: &'a EdgeSettings,
    /// Its start.
    pub start: u64,
    /// When it was entered among the members.
    pub enlisted: Option<Time>,
}

/// Watches the leadership.
#[derive(Debug)]
pub struct Election {
    begun: Time,
    vacant: Option<Time>,
    silence: HolderLiveness,
}

impl Election {
    /// For an instance that started now.
    pub fn new(now: Time) -> Self {
        Self {
            begun: now,
            vacant: None,
            silence: HolderLiveness::new(now),
        }
    }

    /// Whether this instance should claim the leadership now.
    pub fn claims(&mut self, state: &State, me: &Claimant<'_>, now: Time) -> bool {
        let version = state.leadership.as_ref().map_or(0, |row| row.version);
        self.silence.record_claim(version, now);
        if !self.is_vacant(state, me, now) {
            self.vacant = None;
            return false;
        }
        if !hears_planner(state, me.settings, now) {
            return false;
        }
        let since = *self.vacant.get_or_insert(now);
        now - since >= RANK * rank(state, me.settings, now)
    }

    /// After a claim that was not the first: others are given time.
    pub fn wait(&mut self, now: Time) {
        self.vacant = Some(now);
    }

    fn is_vacant(&self, state: &State, me: &Claimant<'_>, now: Time) -> bool {
        let Some(leadership) = &state.leadership else {
            return now - self.begun > FIRST_CLAIM;
        };
        let holder = &leadership.holder;
        if holder.instance == me.settings.instance {
            // This start is named and does not plan if the answer to its claim was lost.
            return holder.start != me.start || !state.planning;
        }
        if has_ended(state, holder) {
            return true;
        }
        // Before others know this instance they cannot tell it anything.
        let Some(enlisted) = me.enlisted else {
            return false;
        };
        let peer = state.peers.get(&holder.instance);
        let heard = peer.and_then(|peer| peer.heard);
        if self.silence.is_lost(heard.max(Some(enlisted)), now) {
            return true;
        }
        let Some(heartbeat) = peer.and_then(|peer| peer.heartbeat.as_ref()) else {
            return false;
        };
        heartbeat.leaving || (!heartbeat.store && now - self.begun > STORELESS)
    }
}

/// Whether a start has surely ended.
pub fn has_ended(state: &State, holder: &Holder) -> bool {
    let peer = state.peers.get(&holder.instance);
    let heartbeat = peer.and_then(|peer| peer.heartbeat.as_ref());
    heartbeat.is_some_and(|heartbeat| heartbeat.start != holder.start)
}

/// Whether a former planner has surely stopped, now that `version` of the row
/// names another.
pub fn has_stopped(state: &State, holder: &Holder, version: u64) -> bool {
    let peer = state.peers.get(&holder.instance);
    let heartbeat = peer.and_then(|peer| peer.heartbeat.as_ref());
    let stopped = |heartbeat: &Heartbeat| !heartbeat.planning && heartbeat.leadership >= version;
    has_ended(state, holder) || heartbeat.is_some_and(stopped)
}

/// Whether a planner's heartbeats reach this instance: with many instances only in
/// its failure domain, and the first one of each other.
fn hears_planner(state: &State, me: &EdgeSettings, now: Time) -> bool {
    let near = |peer: &Peer| peer.domain.as_ref() == Some(&me.domain);
    let mut live = state.peers.live(now);
    let first = !live.any(|(name, peer)| *name < me.instance && near(peer));
    let planner = state
        .leadership
        .as_ref()
        .and_then(|leadership| state.peers.get(&leadership.holder.instance));
    first || state.peers.hears_all() || planner.is_some_and(near)
}

/// Live instances that come before this one.
fn rank(state: &State, me: &EdgeSettings, now: Time) -> u32 {
    let before = state.peers.before(&me.instance, me.cpu, now).count();
    u32::try_from(before).unwrap_or(u32::MAX)
}
