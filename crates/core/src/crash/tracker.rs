//! Counts crashes and refuses the requests behind them.

use {
    super::{CrashCount, CrashEntry, CrashReport, Fingerprint, Lift},
    crate::{
        id::{Incarnation, InstanceId, ServerName},
        time::Time,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// When and for how long requests are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashConfig {
    /// Crashes, over all instances together, that the requests are refused after.
    pub crashes: u32,
    /// How long a crash counts, and how long the requests are refused.
    pub hold: Duration,
    /// Fingerprints that one instance counts; the oldest give way.
    pub entries: usize,
    /// Whether servers are named by their starts, each of which crashes once at
    /// most: more losses at one of them are a cut, and no crash.
    pub starts: bool,
}

impl CrashConfig {
    /// The defaults.
    pub const STANDARD: Self = Self {
        crashes: 3,
        hold: Duration::from_secs(600),
        entries: 256,
        starts: false,
    };

    /// For servers that are named by their starts. Half a minute outlasts three
    /// crashes of one server after the other, each away for some seconds; a
    /// request refused without reason should not be for long.
    pub const STARTS: Self = Self {
        hold: Duration::from_secs(30),
        starts: true,
        ..Self::STANDARD
    };
}

/// Deaths of connections to one server this close together are one crash.
const SAME_CRASH: Duration = Duration::from_millis(500);
/// The longest label kept.
const LABEL_MAX: usize = 120;

#[derive(Debug, Clone)]
struct Count {
    label: String,
    crashes: u32,
    ends: Time,
    last: Option<(ServerName, Time)>,
}

#[derive(Debug, Default)]
struct Peer {
    number: u64,
    heard: Time,
    counts: BTreeMap<Fingerprint, Count>,
}

/// The crashes that one instance knows of, its own and those of others.
///
/// A request that crashes its server, sent again and again by its caller, takes
/// down one server after the other, and every instance alone would see too few
/// crashes to tell. Counts are therefore added up over the instances. Requests
/// that were merely in flight on the crashing server are told apart by being
/// answered elsewhere: one whole answer clears the crashes before it.
///
/// ```
/// use {citron_core::{crash::*, time::Time}, std::time::Duration};
/// let mut log = CrashLog::new(CrashConfig::STANDARD);
/// let bad = Fingerprint::of(&[b"GET", b"/sets/666"]);
/// for second in 0..3 {
///     let now = Time::ZERO + Duration::from_secs(second);
///     assert_eq!(log.refused(bad, now), None);
///     log.crashed(bad, "GET /sets/666", &"server-1".parse().unwrap(), now);
/// }
/// let now = Time::ZERO + Duration::from_secs(3);
/// assert!(log.refused(bad, now).is_some());
/// log.lift(bad, now);
/// assert_eq!(log.refused(bad, now), None);
/// ```
#[derive(Debug)]
pub struct CrashLog {
    config: CrashConfig,
    number: u64,
    own: BTreeMap<Fingerprint, Count>,
    peers: BTreeMap<(InstanceId, Incarnation), Peer>,
    /// Crashes that would be forgotten no later than this are void.
    lifts: BTreeMap<Fingerprint, Time>,
}

impl CrashLog {
    /// Nothing counted.
    pub fn new(config: CrashConfig) -> Self {
        Self {
            config,
            number: 0,
            own: BTreeMap::new(),
            peers: BTreeMap::new(),
            lifts: BTreeMap::new(),
        }
    }

    /// Whether there is nothing to compare requests with.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty() && self.peers.is_empty() && self.lifts.is_empty()
    }

    /// A connection died after a part of the request was written to it. Timeouts
    /// and refused connections are no crashes.
    pub fn crashed(&mut self, print: Fingerprint, label: &str, server: &ServerName, now: Time) {
        self.forget(now);
        let ends = now + self.config.hold;
        let count = self.own.entry(print).or_insert_with(|| Count {
            label: label.chars().take(LABEL_MAX).collect(),
            crashes: 0,
            ends,
            last: None,
        });
        let starts = self.config.starts;
        let same =
            |(name, at): &(ServerName, Time)| name == server && (starts || now - *at < SAME_CRASH);
        if !count.last.as_ref().is_some_and(same) {
            count.crashes += 1;
        }
        count.ends = ends;
        count.last = Some((server.clone(), now));
        if self.own.len() > self.config.entries {
            drop_oldest(&mut self.own, |count| count.ends);
        }
    }

    /// A request was answered whole: those like it do not crash servers, and the
    /// crashes so far had another cause.
    pub fn answered(&mut self, print: Fingerprint, now: Time) {
        if self.knows(print, now) {
            self.lift(print, now);
        }
    }

    /// Whether a crash of such requests still counts.
    pub fn knows(&self, print: Fingerprint, now: Time) -> bool {
        self.counts(print, now).next().is_some()
    }

    /// How much longer the request is refused; `None` if it may be sent. To be
    /// asked before each try.
    pub fn refused(&self, print: Fingerprint, now: Time) -> Option<Duration> {
        if self.own.is_empty() && self.peers.is_empty() {
            return None;
        }
        let crashes: u32 = self.counts(print, now).map(|count| count.crashes).sum();
        if crashes < self.config.crashes {
            return None;
        }
        let counts = self.counts(print, now);
        counts.map(|count| count.ends - now).max()
    }

    /// Lets requests through again until they reach the number of crashes anew;
    /// the other instances hear of it by the next report.
    pub fn lift(&mut self, print: Fingerprint, now: Time) {
        self.apply_lift(print, now + self.config.hold);
    }

    /// What to send to the other instances.
    pub fn report(&mut self, now: Time) -> CrashReport {
        self.forget(now);
        self.number += 1;
        let hold = self.config.hold;
        let age = |ends: Time| hold.saturating_sub(ends - now);
        let count = |(print, count): (&Fingerprint, &Count)| CrashCount {
            fingerprint: *print,
            label: count.label.clone(),
            crashes: count.crashes,
            age: age(count.ends),
        };
        let lift = |(print, ends): (&Fingerprint, &Time)| Lift {
            fingerprint: *print,
            age: age(*ends),
        };
        CrashReport {
            number: self.number,
            counts: self.own.iter().map(count).collect(),
            lifts: self.lifts.iter().map(lift).collect(),
        }
    }

    /// Takes in what another instance sent, in whatever order reports come.
    pub fn merge(&mut self, from: (InstanceId, Incarnation), report: CrashReport, now: Time) {
        self.forget(now);
        let hold = self.config.hold;
        let ends = |age: Duration| now + hold.saturating_sub(age);
        for lift in report.lifts {
            self.apply_lift(lift.fingerprint, ends(lift.age));
        }
        let peer = self.peers.entry(from).or_default();
        if report.number <= peer.number {
            return;
        }
        let count = |count: CrashCount| {
            let known = Count {
                label: count.label,
                crashes: count.crashes,
                ends: ends(count.age),
                last: None,
            };
            (count.fingerprint, known)
        };
        peer.number = report.number;
        peer.heard = now;
        let most = self.config.entries;
        peer.counts = report.counts.into_iter().take(most).map(count).collect();
    }

    /// All fingerprints with a crash that still counts, for operators.
    pub fn entries(&self, now: Time) -> Vec<CrashEntry> {
        let peers = self.peers.values().flat_map(|peer| &peer.counts);
        let mut sums: BTreeMap<Fingerprint, CrashEntry> = BTreeMap::new();
        for (print, count) in self.own.iter().chain(peers) {
            if !self.is_valid(*print, count, now) {
                continue;
            }
            let entry = sums.entry(*print).or_insert_with(|| CrashEntry {
                fingerprint: *print,
                label: count.label.clone(),
                crashes: 0,
                refused: self.refused(*print, now),
            });
            entry.crashes += count.crashes;
        }
        sums.into_values().collect()
    }

    fn counts(&self, print: Fingerprint, now: Time) -> impl Iterator<Item = &Count> {
        let peers = self.peers.values();
        let heard = peers.filter_map(move |peer| peer.counts.get(&print));
        let all = self.own.get(&print).into_iter().chain(heard);
        all.filter(move |count| self.is_valid(print, count, now))
    }

    fn is_valid(&self, print: Fingerprint, count: &Count, now: Time) -> bool {
        let lifted = self
            .lifts
            .get(&print)
            .is_some_and(|lift| count.ends <= *lift);
        count.ends > now && !lifted
    }

    fn apply_lift(&mut self, print: Fingerprint, ends: Time) {
        let lift = self.lifts.entry(print).or_insert(ends);
        *lift = ends.max(*lift);
        let lift = *lift;
        if self.own.get(&print).is_some_and(|count| count.ends <= lift) {
            self.own.remove(&print);
        }
        if self.lifts.len() > self.config.entries {
            drop_oldest(&mut self.lifts, |ends| *ends);
        }
    }

    fn forget(&mut self, now: Time) {
        self.own.retain(|_, count| count.ends > now);
        self.lifts.retain(|_, ends| *ends > now);
        let hold = self.config.hold;
        self.peers.retain(|_, peer| now - peer.heard < hold);
        for peer in self.peers.values_mut() {
            peer.counts.retain(|_, count| count.ends > now);
        }
    }
}

fn drop_oldest<T>(map: &mut BTreeMap<Fingerprint, T>, ends: impl Fn(&T) -> Time) {
    let oldest = map.iter().min_by_key(|(_, value)| ends(value));
    if let Some(print) = oldest.map(|(print, _)| *print) {
        map.remove(&print);
    }
}
