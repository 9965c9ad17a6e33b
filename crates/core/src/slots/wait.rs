//! Wait of one request for the answer of a broker.

use {
    super::{DenyReason, SlotAnswer},
    crate::time::Time,
    std::time::Duration,
};

/// Time within which a broker answers a request for a slot.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Time after the expected end of the wait at which a queued request asks again: its grant
/// may be lost.
const REPEAT_DELAY: Duration = Duration::from_millis(50);

/// What a request that waits for a slot does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitStep {
    /// Wait for an answer, at most until this time.
    Wait(Time),
    /// Send the request again, under the same number, and wait.
    Repeat,
    /// The slot is granted.
    Granted,
    /// The broker denies the slot.
    Denied {
        /// Time after which a rejected client should return.
        retry_after: Duration,
        /// Reason of the broker.
        reason: DenyReason,
    },
    /// The broker does not answer.
    Silent,
    /// The deadline of the request has passed.
    Expired,
}

/// Wait of a request for a slot. It ends by the deadline of the request, whichever datagrams
/// are lost.
///
/// ```
/// use {
///     citron_core::{
///         slots::{SlotAnswer, SlotWait, WaitStep},
///         time::Time,
///     },
///     std::time::Duration,
/// };
///
/// let at = |millis: u64| Time::from_micros(millis * 1_000);
/// let mut wait = SlotWait::new(at(0), at(3_000));
/// assert_eq!(wait.next(at(0)), WaitStep::Wait(at(60)));
/// wait.record_answer(SlotAnswer::Queued(Duration::from_millis(200)), at(2));
/// assert_eq!(wait.next(at(2)), WaitStep::Wait(at(252)));
/// assert_eq!(wait.next(at(252)), WaitStep::Repeat);
/// assert_eq!(wait.next(at(252)), WaitStep::Wait(at(312)));
/// assert_eq!(wait.next(at(312)), WaitStep::Silent);
/// ```
#[derive(Debug)]
pub struct SlotWait {
    deadline: Time,
    state: WaitState,
}

#[derive(Debug)]
enum WaitState {
    /// The request was sent; the broker answers by this time or counts as silent.
    Asked(Time),
    /// The request is queued, and asks again at this time.
    Queued(Time),
    Granted,
    Denied {
        retry_after: Duration,
        reason: DenyReason,
    },
}

impl SlotWait {
    /// Wait of a request that is sent at `now`.
    pub fn new(now: Time, deadline: Time) -> Self {
        let state = WaitState::Asked(now + ANSWER_TIMEOUT);
        Self { deadline, state }
    }

    /// Records an answer of the broker. A queued request that asked again is granted at once
    /// if its grant was lost.
    pub fn record_answer(&mut self, answer: SlotAnswer, now: Time) {
        self.state = match answer {
            SlotAnswer::Granted => WaitState::Granted,
            SlotAnswer::Queued(wait) => WaitState::Queued(now + wait + REPEAT_DELAY),
            SlotAnswer::Denied {
                retry_after,
                reason,
            } => WaitState::Denied {
                retry_after,
                reason,
            },
        };
    }

    /// What the request does at `now`. After [`WaitStep::Repeat`] the request counts as sent
    /// again.
    pub fn next(&mut self, now: Time) -> WaitStep {
        let (until, is_queued) = match self.state {
            WaitState::Granted => return WaitStep::Granted,
            WaitState::Denied {
                retry_after,
                reason,
            } => {
                return WaitStep::Denied {
                    retry_after,
                    reason,
                };
            }
            WaitState::Asked(until) => (until, false),
            WaitState::Queued(until) => (until, true),
        };
        if now >= self.deadline {
            return WaitStep::Expired;
        }
        if now < until {
            return WaitStep::Wait(until.min(self.deadline));
        }
        if !is_queued {
            return WaitStep::Silent;
        }
        self.state = WaitState::Asked(now + ANSWER_TIMEOUT);
        WaitStep::Repeat
    }
}
