//! State machine of an instance.

use {
    crate::{events, traffic::TrafficHandle},
    statig::prelude::*,
};

/// Event that can change the state of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// A signal asked the instance to leave.
    LeaveRequested,
    /// The grace period in which load balancers notice that the instance is leaving has
    /// elapsed.
    GraceElapsed,
    /// The last request has ended.
    RequestsEnded,
}

/// State machine of an instance, with the states serving, leaving, closing and stopped.
/// Events without a transition in the current state are ignored.
///
/// ```
/// use {
///     citronproxy::{lifecycle::{LifecycleEvent, Lifecycle}, traffic::{Phase, TrafficHandle}},
///     statig::blocking::IntoStateMachineExt,
/// };
/// let handle = TrafficHandle::default();
/// let mut machine = Lifecycle::new(handle.clone()).state_machine();
/// machine.handle(&LifecycleEvent::GraceElapsed);
/// assert_eq!(handle.phase(), Phase::Serving);
/// machine.handle(&LifecycleEvent::LeaveRequested);
/// assert_eq!(handle.phase(), Phase::Draining);
/// ```
#[derive(Debug)]
pub struct Lifecycle {
    handle: TrafficHandle,
}

impl Lifecycle {
    /// Creates the state machine of a serving instance.
    pub fn new(handle: TrafficHandle) -> Self {
        Self { handle }
    }
}

#[allow(missing_docs, reason = "the macro's state type takes no doc comments")]
mod states {
    use super::*;

    #[state_machine(initial = "State::serving()", state(derive(Debug)))]
    impl Lifecycle {
        #[state]
        fn serving(&mut self, event: &LifecycleEvent) -> Outcome<State> {
            match event {
                LifecycleEvent::LeaveRequested => {
                    log::info!("{}", events::LEAVING);
                    self.handle.drain();
                    Transition(State::leaving())
                }
                _ => Handled,
            }
        }

        #[state]
        fn leaving(&mut self, event: &LifecycleEvent) -> Outcome<State> {
            match event {
                LifecycleEvent::GraceElapsed => {
                    self.handle.stop();
                    Transition(State::closing())
                }
                _ => Handled,
            }
        }

        #[state]
        fn closing(event: &LifecycleEvent) -> Outcome<State> {
            match event {
                LifecycleEvent::RequestsEnded => {
                    log::info!("{}", events::STOPPED);
                    Transition(State::stopped())
                }
                _ => Handled,
            }
        }

        #[state]
        fn stopped(event: &LifecycleEvent) -> Outcome<State> {
            log::debug!("{event:?} after the instance has stopped");
            Handled
        }
    }
}
