//! The states of an instance.

use {
    crate::{events, traffic::TrafficHandle},
    statig::prelude::*,
};

/// What moves an instance from one state to the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// A signal asks it to leave.
    LeaveRequested,
    /// Callers have had time to notice that it leaves.
    GraceElapsed,
    /// The last request has ended.
    RequestsEnded,
}

/// An instance's states: serving, leaving, closing, stopped. Changes that do not
/// belong to a state leave it as it is.
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
    /// An instance that serves.
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
            log::debug!("{event:?} after the end");
            Handled
        }
    }
}
