//! Orders by which servers without keys prove that they take orders.

use {
    super::{Order, OrderOutcome, RETRY_DELAY},
    crate::{id::ServerName, time::Time},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Longest delay before an order without an answer is sent again.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(2);
/// Time after which an order counts as unanswered even if no outcome was reported.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest number of orders in progress.
const IN_PROGRESS_MAX: usize = 40;

#[derive(Debug, Clone, Copy)]
enum ProbeState {
    /// To be sent at that time; the delay before the next one if it is not answered.
    Due(Time, Duration),
    /// Sent at that time, and not completed.
    Sent(Time, Duration),
    Answered,
}

/// Servers that own no keys, and whether they have answered an order.
///
/// Before it has, a server gets no keys: its entry may be wrong, and the keys would lose an
/// owner that serves them.
///
/// ```
/// use citron_core::{ranges::{Order, OrderOutcome, Probes}, time::Time};
/// let server = "s-1".parse().unwrap();
/// let mut probes = Probes::default();
/// probes.set_servers([&server], Time::ZERO);
/// let due = probes.orders(Time::ZERO);
/// assert_eq!(due, [Order::Probe { server: server.clone() }]);
/// assert!(!probes.has_answered(&server));
/// probes.complete(&server, &OrderOutcome::Done { handover: None }, Time::ZERO);
/// assert!(probes.has_answered(&server));
/// ```
#[derive(Debug, Default)]
pub struct Probes(BTreeMap<ServerName, ProbeState>);

impl Probes {
    /// Sets the servers that own no keys.
    pub fn set_servers<'a>(
        &mut self,
        servers: impl IntoIterator<Item = &'a ServerName>,
        now: Time,
    ) {
        let servers: BTreeSet<&ServerName> = servers.into_iter().collect();
        self.0.retain(|server, _| servers.contains(server));
        for server in servers {
            if !self.0.contains_key(server) {
                let due = ProbeState::Due(now, RETRY_DELAY);
                self.0.insert(server.clone(), due);
            }
        }
    }

    /// Whether a server has answered.
    pub fn has_answered(&self, server: &ServerName) -> bool {
        matches!(self.0.get(server), Some(ProbeState::Answered))
    }

    /// Whether the first order to a server has had no outcome yet. Keys without an owner wait for
    /// that, or the first server to answer would get them all.
    pub fn has_untried(&self) -> bool {
        self.0.values().any(|state| match state {
            ProbeState::Due(_, delay) | ProbeState::Sent(_, delay) => *delay == RETRY_DELAY,
            ProbeState::Answered => false,
        })
    }

    /// Returns the orders that are due.
    pub fn orders(&mut self, now: Time) -> Vec<Order> {
        for state in self.0.values_mut() {
            if let ProbeState::Sent(at, delay) = *state
                && now - at >= OUTCOME_TIMEOUT
            {
                *state = ProbeState::Due(now, next_delay(delay));
            }
        }
        let is_sent = |state: &&ProbeState| matches!(state, ProbeState::Sent(..));
        let available = IN_PROGRESS_MAX.saturating_sub(self.0.values().filter(is_sent).count());
        let due = self
            .0
            .iter_mut()
            .filter_map(|(server, state)| match *state {
                ProbeState::Due(at, delay) if at <= now => Some((server, state, delay)),
                _ => None,
            });
        let send = |(server, state, delay): (&ServerName, &mut ProbeState, Duration)| {
            *state = ProbeState::Sent(now, delay);
            let server = server.clone();
            Order::Probe { server }
        };
        due.take(available).map(send).collect()
    }

    /// Applies the outcome of an order; one without an answer is sent again after a delay that
    /// doubles each time.
    pub fn complete(&mut self, server: &ServerName, outcome: &OrderOutcome, now: Time) {
        let Some(state) = self.0.get_mut(server) else {
            return;
        };
        let ProbeState::Sent(_, delay) = *state else {
            return;
        };
        *state = match outcome {
            OrderOutcome::Done { .. } => ProbeState::Answered,
            _ => ProbeState::Due(now + delay, next_delay(delay)),
        };
    }
}

fn next_delay(delay: Duration) -> Duration {
    (delay * 2).min(RETRY_DELAY_MAX)
}
