//! Responsiveness of brokers.

use {
    crate::{id::InstanceId, time::Time},
    std::{collections::BTreeMap, time::Duration},
};

/// Time for which a broker is not asked after it first did not answer.
const PAUSE_MIN: Duration = Duration::from_millis(500);
/// Upper bound of that time; it doubles with each unanswered request that follows.
const PAUSE_MAX: Duration = Duration::from_secs(4);
/// Time without an answer after which another instance is asked instead of the broker. It
/// exceeds short freezes, so that the servers of a broker do not get two of them for these.
const LOST_AFTER: Duration = Duration::from_secs(3);
/// Time after which the record of a broker that is no longer asked is dropped.
const IDLE_MAX: Duration = Duration::from_secs(60);

/// Brokers that have lately not answered this instance.
///
/// ```
/// use {citron_core::{slots::BrokerHealth, time::Time}, std::time::Duration};
/// let at = |millis| Time::ZERO + Duration::from_millis(millis);
/// let broker = "n-1".parse().unwrap();
/// let mut health = BrokerHealth::default();
/// assert!(health.record_silence(&broker, at(60)));
/// assert!(!health.should_ask(&broker, at(559)));
/// assert!(health.should_ask(&broker, at(560)));
/// assert!(health.record_answer(&broker));
/// ```
#[derive(Debug, Default)]
pub struct BrokerHealth {
    silent: BTreeMap<InstanceId, Pause>,
}

#[derive(Debug)]
struct Pause {
    since: Time,
    length: Duration,
    until: Time,
}

impl BrokerHealth {
    /// Whether requests may be sent to a broker.
    pub fn should_ask(&self, broker: &InstanceId, now: Time) -> bool {
        self.silent
            .get(broker)
            .is_none_or(|pause| now >= pause.until)
    }

    /// Whether another instance should be asked instead of a broker, as it has been
    /// unresponsive for long. It is still asked after each pause.
    pub fn is_lost(&self, broker: &InstanceId, now: Time) -> bool {
        let pause = self.silent.get(broker);
        pause.is_some_and(|pause| now - pause.since >= LOST_AFTER && now < pause.until)
    }

    /// Records that a request was sent to a broker. An unresponsive broker gets no other
    /// until this one is answered or the pause has passed again.
    pub fn record_request(&mut self, broker: &InstanceId, now: Time) {
        if let Some(pause) = self.silent.get_mut(broker) {
            pause.length = (pause.length * 2).min(PAUSE_MAX);
            pause.until = now + pause.length;
        }
    }

    /// Records an answer. Returns whether the broker had been unresponsive.
    pub fn record_answer(&mut self, broker: &InstanceId) -> bool {
        self.silent.remove(broker).is_some()
    }

    /// Records a request that was not answered in time. Returns whether the broker had
    /// been responsive. Several requests that were sent together count once.
    pub fn record_silence(&mut self, broker: &InstanceId, now: Time) -> bool {
        self.silent.retain(|_, pause| now - pause.until < IDLE_MAX);
        if let Some(pause) = self.silent.get_mut(broker) {
            if now >= pause.until {
                pause.length = (pause.length * 2).min(PAUSE_MAX);
                pause.until = now + pause.length;
            }
            return false;
        }
        let pause = Pause {
            since: now,
            length: PAUSE_MIN,
            until: now + PAUSE_MIN,
        };
        self.silent.insert(broker.clone(), pause);
        true
    }
}
