//! Counts crashes and quarantines the requests that cause them.

use {
    super::{CrashCount, CrashEntry, CrashReport, Fingerprint, Lift, RelayedReport},
    crate::{
        id::{Incarnation, InstanceId, ServerName},
        time::Time,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Settings of the quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashConfig {
    /// Crashes over all instances from which requests are refused.
    pub crash_limit: u32,
    /// Time for which a crash counts, and for which requests are refused after their last
    /// crash.
    pub retention: Duration,
    /// Largest number of fingerprints that one instance counts; the oldest are evicted.
    pub max_entries: usize,
    /// Whether each start of a server has its own name. Such a name crashes at most once:
    /// further losses there are network failures.
    pub servers_are_starts: bool,
}

impl CrashConfig {
    /// Default settings.
    pub const STANDARD: Self = Self {
        crash_limit: 3,
        retention: Duration::from_secs(600),
        max_entries: 256,
        servers_are_starts: false,
    };

    /// For servers with a new name at each start. Half a minute outlasts three crashes of
    /// servers one after the other, each down for some seconds; a request that is refused
    /// wrongly should not be refused for long.
    pub const PER_START: Self = Self {
        retention: Duration::from_secs(30),
        servers_are_starts: true,
        ..Self::STANDARD
    };
}

/// Connections to one server that die within this time count as one crash.
const SAME_CRASH: Duration = Duration::from_millis(500);
/// Longest label that is kept, in characters.
const LABEL_MAX: usize = 120;

#[derive(Debug, Clone)]
struct CrashRecord {
    label: String,
    crashes: u32,
    expires: Time,
    last_crash: Option<(ServerName, Time)>,
    /// Whether the instance that counted the crashes reported them here itself.
    is_direct: bool,
}

#[derive(Debug, Default)]
struct PeerCrashes {
    number: u64,
    received: Time,
    counts: BTreeMap<Fingerprint, CrashRecord>,
    /// Lifts that the instance reported here itself.
    lifts: BTreeMap<Fingerprint, Time>,
}

/// Crashes that one instance knows, from itself and from other instances' reports.
///
/// A request that crashes its server and is retried by its client takes down one server
/// after the other, and each instance alone would see too few crashes to detect it. The
/// counts of all instances are therefore added up. Requests that were merely in flight on
/// a crashing server are told apart by their responses elsewhere: one whole response
/// clears the crashes before it.
///
/// Where only some instances report to each other, those that hear of others pass their
/// counts and lifts on in a relayed report. Only what came from its origin is passed on: an
/// age grows by less than the time that a report takes, so that what went round in circles
/// would never expire, and a lift would cover crashes after it.
///
/// ```
/// use {citron_core::{crash::*, time::Time}, std::time::Duration};
/// let mut tracker = CrashTracker::new(CrashConfig::STANDARD);
/// let bad = Fingerprint::from_parts(&[b"GET", b"/sets/666"]);
/// for second in 0..3 {
///     let now = Time::ZERO + Duration::from_secs(second);
///     assert_eq!(tracker.refused_for(bad, now), None);
///     tracker.record_crash(bad, "GET /sets/666", &"server-1".parse().unwrap(), now);
/// }
/// let now = Time::ZERO + Duration::from_secs(3);
/// assert!(tracker.refused_for(bad, now).is_some());
/// tracker.lift(bad, now);
/// assert_eq!(tracker.refused_for(bad, now), None);
/// ```
#[derive(Debug)]
pub struct CrashTracker {
    config: CrashConfig,
    number: u64,
    own: BTreeMap<Fingerprint, CrashRecord>,
    peers: BTreeMap<(InstanceId, Incarnation), PeerCrashes>,
    /// Crash records that expire no later than this time do not count.
    lifts: BTreeMap<Fingerprint, Time>,
    /// The lifts that began at this instance.
    own_lifts: BTreeMap<Fingerprint, Time>,
}

impl CrashTracker {
    /// Creates a tracker with no crashes.
    pub fn new(config: CrashConfig) -> Self {
        Self {
            config,
            number: 0,
            own: BTreeMap::new(),
            peers: BTreeMap::new(),
            lifts: BTreeMap::new(),
            own_lifts: BTreeMap::new(),
        }
    }

    /// Whether no crash, report or lift is recorded, so that fingerprints need not be
    /// computed.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty() && self.peers.is_empty() && self.lifts.is_empty()
    }

    /// Counts a connection that died after part of the request was written to it.
    /// Timeouts and refused connections do not count.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        label: &str,
        server: &ServerName,
        now: Time,
    ) {
        self.expire(now);
        let expires = now + self.config.retention;
        let count = self.own.entry(fingerprint).or_insert_with(|| CrashRecord {
            label: label.chars().take(LABEL_MAX).collect(),
            crashes: 0,
            expires,
            last_crash: None,
            is_direct: true,
        });
        let servers_are_starts = self.config.servers_are_starts;
        let is_same_crash = |(name, at): &(ServerName, Time)| {
            name == server && (servers_are_starts || now - *at < SAME_CRASH)
        };
        if !count.last_crash.as_ref().is_some_and(is_same_crash) {
            count.crashes += 1;
        }
        count.expires = expires;
        count.last_crash = Some((server.clone(), now));
        if self.own.len() > self.config.max_entries {
            evict_oldest(&mut self.own, |count| count.expires);
        }
    }

    /// Clears the crashes of a request that was answered whole, as they had another
    /// cause.
    pub fn record_answer(&mut self, fingerprint: Fingerprint, now: Time) {
        if self.has_crash(fingerprint, now) {
            self.lift(fingerprint, now);
        }
    }

    /// Whether a crash of such requests still counts.
    pub fn has_crash(&self, fingerprint: Fingerprint, now: Time) -> bool {
        self.counts(fingerprint, now).next().is_some()
    }

    /// Remaining time of the quarantine; `None` if the request may be sent. To be checked
    /// before each attempt.
    pub fn refused_for(&self, fingerprint: Fingerprint, now: Time) -> Option<Duration> {
        if self.own.is_empty() && self.peers.is_empty() {
            return None;
        }
        let crashes: u32 = self
            .counts(fingerprint, now)
            .map(|count| count.crashes)
            .sum();
        if crashes < self.config.crash_limit {
            return None;
        }
        let counts = self.counts(fingerprint, now);
        counts.map(|count| count.expires - now).max()
    }

    /// Ends the quarantine until the crash limit is reached again. Other instances follow
    /// with the next report.
    pub fn lift(&mut self, fingerprint: Fingerprint, now: Time) {
        let expires = now + self.config.retention;
        self.own_lifts.insert(fingerprint, expires);
        if self.own_lifts.len() > self.config.max_entries {
            evict_oldest(&mut self.own_lifts, |expires| *expires);
        }
        self.apply_lift(fingerprint, expires);
    }

    /// Creates the report for other instances.
    pub fn report(&mut self, now: Time) -> CrashReport {
        self.expire(now);
        self.number += 1;
        CrashReport {
            number: self.number,
            counts: self.own.iter().map(|own| self.count(own, now)).collect(),
            lifts: self.lifts_of(&self.own_lifts, now),
            relayed: Vec::new(),
        }
    }

    /// Creates a report that also passes on what other instances reported here, for
    /// instances that do not hear them. Counts that a single further crash would not turn
    /// into a quarantine are left out.
    pub fn relayed_report(&mut self, now: Time) -> CrashReport {
        let mut report = self.report(now);
        let is_relevant = |fingerprint: &Fingerprint| {
            let counts = self.counts(*fingerprint, now);
            counts.map(|count| count.crashes).sum::<u32>() + 1 >= self.config.crash_limit
        };
        for ((instance, incarnation), peer) in &self.peers {
            let direct = peer.counts.iter().filter(|(_, count)| count.is_direct);
            let relevant = direct.filter(|(fingerprint, count)| {
                self.is_valid(**fingerprint, count, now) && is_relevant(fingerprint)
            });
            let counts: Vec<CrashCount> = relevant.map(|count| self.count(count, now)).collect();
            let lifts = self.lifts_of(&peer.lifts, now);
            if !counts.is_empty() || !lifts.is_empty() {
                report.relayed.push(RelayedReport {
                    instance: instance.clone(),
                    incarnation: *incarnation,
                    number: peer.number,
                    counts,
                    lifts,
                });
            }
        }
        report
    }

    fn count(&self, (fingerprint, count): (&Fingerprint, &CrashRecord), now: Time) -> CrashCount {
        CrashCount {
            fingerprint: *fingerprint,
            label: count.label.clone(),
            crashes: count.crashes,
            age: self.age(count.expires, now),
        }
    }

    fn lifts_of(&self, lifts: &BTreeMap<Fingerprint, Time>, now: Time) -> Vec<Lift> {
        let lift = |(fingerprint, expires): (&Fingerprint, &Time)| Lift {
            fingerprint: *fingerprint,
            age: self.age(*expires, now),
        };
        lifts.iter().map(lift).collect()
    }

    fn age(&self, expires: Time, now: Time) -> Duration {
        self.config.retention.saturating_sub(expires - now)
    }

    /// Merges another instance's report; reports may arrive in any order.
    pub fn merge(&mut self, from: (InstanceId, Incarnation), report: CrashReport, now: Time) {
        self.expire(now);
        let retention = self.config.retention;
        let expires = |age: Duration| now + retention.saturating_sub(age);
        let relayed_lifts = report.relayed.iter().flat_map(|relayed| &relayed.lifts);
        for lift in report.lifts.iter().chain(relayed_lifts) {
            self.apply_lift(lift.fingerprint, expires(lift.age));
        }
        let max_entries = self.config.max_entries;
        let record = |count: CrashCount, is_direct| {
            let known = CrashRecord {
                label: count.label,
                crashes: count.crashes,
                expires: expires(count.age),
                last_crash: None,
                is_direct,
            };
            (count.fingerprint, known)
        };
        for relayed in report.relayed {
            let origin = (relayed.instance, relayed.incarnation);
            let peer = self.peers.entry(origin).or_default();
            let counts = relayed.counts.into_iter().take(max_entries);
            let counts = counts.map(|count| record(count, false));
            if relayed.number > peer.number {
                peer.number = relayed.number;
                peer.received = now;
                peer.counts.extend(counts);
            } else if relayed.number == peer.number {
                // A relayed report holds a part of the counts, at times another than before.
                for (fingerprint, count) in counts {
                    peer.counts.entry(fingerprint).or_insert(count);
                }
            }
        }
        let peer = self.peers.entry(from).or_default();
        if report.number <= peer.number {
            return;
        }
        peer.number = report.number;
        peer.received = now;
        let counts = report.counts.into_iter().take(max_entries);
        peer.counts = counts.map(|count| record(count, true)).collect();
        let lifts = report.lifts.into_iter().take(max_entries);
        let lifts = lifts.map(|lift| (lift.fingerprint, expires(lift.age)));
        peer.lifts = lifts.collect();
    }

    /// All fingerprints with a crash that still counts, for operators.
    pub fn entries(&self, now: Time) -> Vec<CrashEntry> {
        let peers = self.peers.values().flat_map(|peer| &peer.counts);
        let mut sums: BTreeMap<Fingerprint, CrashEntry> = BTreeMap::new();
        for (fingerprint, count) in self.own.iter().chain(peers) {
            if !self.is_valid(*fingerprint, count, now) {
                continue;
            }
            let entry = sums.entry(*fingerprint).or_insert_with(|| CrashEntry {
                fingerprint: *fingerprint,
                label: count.label.clone(),
                crashes: 0,
                refused: self.refused_for(*fingerprint, now),
            });
            entry.crashes += count.crashes;
        }
        sums.into_values().collect()
    }

    fn counts(&self, fingerprint: Fingerprint, now: Time) -> impl Iterator<Item = &CrashRecord> {
        let peers = self.peers.values();
        let received = peers.filter_map(move |peer| peer.counts.get(&fingerprint));
        let all = self.own.get(&fingerprint).into_iter().chain(received);
        all.filter(move |count| self.is_valid(fingerprint, count, now))
    }

    fn is_valid(&self, fingerprint: Fingerprint, count: &CrashRecord, now: Time) -> bool {
        let is_lifted = self
            .lifts
            .get(&fingerprint)
            .is_some_and(|lift| count.expires <= *lift);
        count.expires > now && !is_lifted
    }

    fn apply_lift(&mut self, fingerprint: Fingerprint, expires: Time) {
        let lift = self.lifts.entry(fingerprint).or_insert(expires);
        *lift = expires.max(*lift);
        let lift = *lift;
        if self
            .own
            .get(&fingerprint)
            .is_some_and(|count| count.expires <= lift)
        {
            self.own.remove(&fingerprint);
        }
        if self.lifts.len() > self.config.max_entries {
            evict_oldest(&mut self.lifts, |expires| *expires);
        }
    }

    fn expire(&mut self, now: Time) {
        self.own.retain(|_, count| count.expires > now);
        self.lifts.retain(|_, expires| *expires > now);
        self.own_lifts.retain(|_, expires| *expires > now);
        let retention = self.config.retention;
        self.peers.retain(|_, peer| now - peer.received < retention);
        for peer in self.peers.values_mut() {
            peer.counts.retain(|_, count| count.expires > now);
            peer.lifts.retain(|_, expires| *expires > now);
        }
    }
}

fn evict_oldest<T>(map: &mut BTreeMap<Fingerprint, T>, expires: impl Fn(&T) -> Time) {
    let oldest = map.iter().min_by_key(|(_, value)| expires(value));
    if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
        map.remove(&fingerprint);
    }
}
