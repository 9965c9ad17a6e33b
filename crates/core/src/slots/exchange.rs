//! Messages about slots between one instance and the others.

use {
    super::{DenyReason, SlotAnswer, SlotBroker, SlotOutcome, SlotRequest, SlotStats},
    crate::time::Time,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Message between the instance that needs a slot and the broker.
#[derive(Debug, Clone, PartialEq)]
pub enum SlotMessage {
    /// Request for a slot, to the broker.
    Request {
        /// Number given by the sender.
        number: u64,
        /// The request.
        request: SlotRequest,
    },
    /// Answer of the broker. A queued request gets more than one.
    Answer {
        /// Number of the request.
        number: u64,
        /// The answer.
        answer: SlotAnswer,
    },
    /// End of a request, to the broker.
    Release {
        /// Number of the request.
        number: u64,
        /// How the request ended.
        outcome: SlotOutcome,
    },
}

/// What the instance does after an event.
#[derive(Debug, Clone, PartialEq)]
pub enum SlotOutput {
    /// Send a message to another instance.
    Send(SocketAddr, SlotMessage),
    /// Pass an answer on to the request of this instance with that number.
    Answer(u64, SlotAnswer),
}

/// Request of this instance that has not ended.
#[derive(Debug)]
struct OpenRequest {
    broker: SocketAddr,
    is_granted: bool,
}

/// One instance's side of the exchange: its own requests for slots, and the broker for the
/// servers that it allocates. Messages may be lost, repeated or reordered.
///
/// ```
/// use {
///     citron_core::{
///         slots::{SlotAnswer, SlotExchange, SlotOutput, SlotRequest},
///         id::Slots,
///         time::Time,
///     },
///     std::time::Duration,
/// };
///
/// let own_address = "127.0.0.1:7000".parse().unwrap();
/// let mut exchange = SlotExchange::new(own_address);
/// let request = SlotRequest {
///     server: "depot-1".parse().unwrap(),
///     slots: Slots(4),
///     priority: 0,
///     objective: Duration::from_millis(500),
///     deadline: Duration::from_secs(3),
/// };
/// // The instance is the server's broker itself.
/// let outputs = exchange.ask(1, own_address, request, Time::ZERO, 0.5);
/// assert_eq!(outputs, [SlotOutput::Answer(1, SlotAnswer::Granted)]);
/// ```
#[derive(Debug)]
pub struct SlotExchange {
    own_address: SocketAddr,
    broker: SlotBroker<(SocketAddr, u64)>,
    open_requests: BTreeMap<u64, OpenRequest>,
    is_leaving: bool,
}

impl SlotExchange {
    /// Exchange of the instance with this address.
    pub fn new(own_address: SocketAddr) -> Self {
        Self {
            own_address,
            broker: SlotBroker::default(),
            open_requests: BTreeMap::new(),
            is_leaving: false,
        }
    }

    /// Denies all further requests to this instance as the broker.
    pub fn start_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Asks a broker for a slot, or asks again under the same number.
    pub fn ask(
        &mut self,
        number: u64,
        broker: SocketAddr,
        request: SlotRequest,
        now: Time,
        random: f64,
    ) -> Vec<SlotOutput> {
        let new_request = OpenRequest {
            broker,
            is_granted: false,
        };
        let open_request = self.open_requests.entry(number).or_insert(new_request);
        if open_request.is_granted {
            return Vec::new();
        }
        if broker != self.own_address {
            let message = SlotMessage::Request { number, request };
            return vec![SlotOutput::Send(broker, message)];
        }
        self.decide(self.own_address, number, request, now, random)
    }

    /// Ends a request of this instance. A request that was denied needs no release.
    pub fn release(&mut self, number: u64, outcome: SlotOutcome, now: Time) -> Vec<SlotOutput> {
        let Some(open_request) = self.open_requests.remove(&number) else {
            return Vec::new();
        };
        if open_request.broker != self.own_address {
            let message = SlotMessage::Release { number, outcome };
            return vec![SlotOutput::Send(open_request.broker, message)];
        }
        self.end(self.own_address, number, outcome, now)
    }

    /// Handles a message of another instance.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        message: SlotMessage,
        now: Time,
        random: f64,
    ) -> Vec<SlotOutput> {
        match message {
            SlotMessage::Request { number, request } => {
                self.decide(from, number, request, now, random)
            }
            SlotMessage::Release { number, outcome } => self.end(from, number, outcome, now),
            SlotMessage::Answer { number, answer } => self.apply_answer(from, number, answer),
        }
    }

    /// Ends leases and waits that have expired.
    pub fn expire(&mut self, now: Time) -> Vec<SlotOutput> {
        let answers = self.broker.expire(now);
        self.deliver(answers)
    }

    /// Whether this instance has allocated no slot and no request waits for one here.
    pub fn is_idle(&self) -> bool {
        self.broker.is_idle()
    }

    /// Leases and queued requests of this instance as the broker.
    pub fn stats(&self) -> SlotStats {
        self.broker.stats()
    }

    /// Decides a request as the broker.
    fn decide(
        &mut self,
        from: SocketAddr,
        number: u64,
        request: SlotRequest,
        now: Time,
        random: f64,
    ) -> Vec<SlotOutput> {
        let id = (from, number);
        if self.is_leaving {
            let answer = SlotAnswer::Denied {
                retry_after: Duration::ZERO,
                reason: DenyReason::Leaving,
            };
            // A repeated request may be queued here, or its grant may be lost.
            let mut answers = self.broker.release(&id, SlotOutcome::Unused, now);
            answers.push((id, answer));
            return self.deliver(answers);
        }
        let answers = self.broker.request(id, request, now, random);
        self.deliver(answers)
    }

    fn end(
        &mut self,
        from: SocketAddr,
        number: u64,
        outcome: SlotOutcome,
        now: Time,
    ) -> Vec<SlotOutput> {
        let answers = self.broker.release(&(from, number), outcome, now);
        self.deliver(answers)
    }

    fn deliver(&mut self, answers: Vec<((SocketAddr, u64), SlotAnswer)>) -> Vec<SlotOutput> {
        let mut outputs = Vec::new();
        for ((address, number), answer) in answers {
            if address == self.own_address {
                outputs.extend(self.apply_answer(address, number, answer));
            } else {
                let message = SlotMessage::Answer { number, answer };
                outputs.push(SlotOutput::Send(address, message));
            }
        }
        outputs
    }

    /// Applies an answer to a request of this instance.
    fn apply_answer(
        &mut self,
        broker: SocketAddr,
        number: u64,
        answer: SlotAnswer,
    ) -> Vec<SlotOutput> {
        let Some(open_request) = self.open_requests.get_mut(&number) else {
            return self.reject_answer(broker, number, answer);
        };
        // The answer to a repeated request, which arrives after the grant.
        if open_request.is_granted {
            return Vec::new();
        }
        match answer {
            SlotAnswer::Granted => open_request.is_granted = true,
            SlotAnswer::Queued(_) => {}
            SlotAnswer::Denied { .. } => {
                self.open_requests.remove(&number);
            }
        }
        vec![SlotOutput::Answer(number, answer)]
    }

    /// Gives back what the broker allocated to a request that has ended or was denied.
    fn reject_answer(
        &mut self,
        broker: SocketAddr,
        number: u64,
        answer: SlotAnswer,
    ) -> Vec<SlotOutput> {
        let is_denied = matches!(answer, SlotAnswer::Denied { .. });
        // The local broker was told when the request ended.
        if is_denied || broker == self.own_address {
            return Vec::new();
        }
        let outcome = SlotOutcome::Unused;
        let message = SlotMessage::Release { number, outcome };
        vec![SlotOutput::Send(broker, message)]
    }
}
