//! The broker: slots of all servers that it allocates.

use {
    super::{SlotAnswer, SlotConfig, SlotOutcome, SlotRequest, server_slots::ServerSlots},
    crate::{id::ServerName, time::Time},
    std::{collections::BTreeMap, fmt::Debug},
};

/// Leases and queued requests of a broker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotStats {
    /// Granted requests that have not been released.
    pub leases: usize,
    /// Queued requests.
    pub queued: usize,
}

/// Allocates the slots of servers to requests of all instances.
///
/// `R` is the id of a request, unique over all instances.
///
/// ```
/// use {citron_core::{id::Slots, slots::*, time::Time}, std::time::Duration};
/// let mut broker = SlotBroker::default();
/// let request = SlotRequest {
///     server: "s-1".parse().unwrap(),
///     slots: Slots(1),
///     priority: 0,
///     objective: Duration::from_millis(800),
///     deadline: Duration::from_secs(3),
/// };
/// let answers = broker.request(1, request.clone(), Time::ZERO, 0.5);
/// assert_eq!(answers, [(1, SlotAnswer::Granted)]);
/// broker.request(2, request.clone(), Time::ZERO, 0.5);
/// let answers = broker.request(3, request, Time::ZERO, 0.5);
/// assert_eq!(answers, [(3, SlotAnswer::Queued(Duration::from_millis(200)))]);
/// let answers = broker.release(&1, SlotOutcome::Unused, Time::ZERO);
/// assert_eq!(answers, [(3, SlotAnswer::Granted)]);
/// ```
#[derive(Debug)]
pub struct SlotBroker<R> {
    config: SlotConfig,
    servers: BTreeMap<ServerName, ServerSlots<R>>,
    /// Server of each granted or queued request.
    requests: BTreeMap<R, ServerName>,
}

impl<R: Debug + Clone + Ord> Default for SlotBroker<R> {
    fn default() -> Self {
        Self::new(SlotConfig::STANDARD)
    }
}

impl<R: Debug + Clone + Ord> SlotBroker<R> {
    /// Creates a broker without leases.
    pub fn new(config: SlotConfig) -> Self {
        Self {
            config,
            servers: BTreeMap::new(),
            requests: BTreeMap::new(),
        }
    }

    /// Decides on a request. Returns its answer and those of others that it changes. A
    /// request that is granted or queued gets its current answer again. `random` is
    /// uniform from 0 to 1.
    pub fn request(
        &mut self,
        id: R,
        request: SlotRequest,
        now: Time,
        random: f64,
    ) -> Vec<(R, SlotAnswer)> {
        if let Some(server) = self.requests.get(&id) {
            let server = self.servers.get(server);
            let answer = server.and_then(|server| server.answer(&id, now));
            return answer.map(|answer| (id, answer)).into_iter().collect();
        }
        if !self.servers.contains_key(&request.server) {
            self.drop_idle(now);
        }
        self.requests.insert(id.clone(), request.server.clone());
        let server = self.servers.entry(request.server.clone());
        let server = server.or_insert_with(|| ServerSlots::new(self.config.clone(), request.slots));
        let answers = server.request(id, &request, now, random);
        self.forget_denied(answers)
    }

    /// Ends a lease or cancels a queued request. Returns the grants that follow.
    pub fn release(&mut self, id: &R, outcome: SlotOutcome, now: Time) -> Vec<(R, SlotAnswer)> {
        let server = self.requests.remove(id);
        let server = server.and_then(|name| self.servers.get_mut(&name));
        let answers = server.map(|server| server.release(id, outcome, now));
        self.forget_denied(answers.unwrap_or_default())
    }

    /// Ends leases that were not released, and denies queued requests that can no longer
    /// meet their objective. To be called every 20 ms unless the broker is idle.
    pub fn expire(&mut self, now: Time) -> Vec<(R, SlotAnswer)> {
        let mut answers = Vec::new();
        for server in self.servers.values_mut().filter(|server| !server.is_idle()) {
            for id in server.end_leases(now) {
                self.requests.remove(&id);
            }
            answers.extend(server.proceed(now));
        }
        self.drop_idle(now);
        self.forget_denied(answers)
    }

    /// Whether there are no leases and no queued requests.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Counts of leases and of queued requests.
    pub fn stats(&self) -> SlotStats {
        let queued = self.servers.values().map(ServerSlots::queued).sum();
        SlotStats {
            leases: self.requests.len() - queued,
            queued,
        }
    }

    fn forget_denied(&mut self, answers: Vec<(R, SlotAnswer)>) -> Vec<(R, SlotAnswer)> {
        for (id, answer) in &answers {
            if matches!(answer, SlotAnswer::Denied { .. }) {
                self.requests.remove(id);
            }
        }
        answers
    }

    fn drop_idle(&mut self, now: Time) {
        let idle_max = self.config.idle_max;
        self.servers
            .retain(|_, server| !server.is_idle() || now - server.last_request() < idle_max);
    }
}
