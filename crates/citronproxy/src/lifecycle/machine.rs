//! The states of an instance.

use {
    crate::{events, traffic::TrafficHandle},
    statig::prelude::*,
};

/// What moves an instance from one state to the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// A signal asks it to leave.
    Asked,
    /// Callers have had time to notice that it leaves.
    Noticed,
    /// The last request has ended.
    Finished,
}

/// An instance's states: serving, leaving, closing, stopped. Changes that do not
/// belong to a state leave it as it is.
///
/// ```
/// use {
///     citronproxy::{lifecycle::{Change, Lifecycle}, traffic::{Phase, TrafficHandle}},
///     statig::blocking::IntoStateMachineExt,
/// };
/// let handle = TrafficHandle::default();
/// let mut machine = Lifecycle::new(handle.clone()).state_machine();
/// machine.handle(&Change::Noticed);
/// assert_eq!(handle.phase(), Phase::Serving);
/// machine.handle(&Change::Asked);
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
        fn serving(&mut self, event: &Change) -> Outcome<State> {
            match event {
                Change::Asked => {
                    log::info!("{}", events::LEAVING);
                    self.handle.drain();
                    Transition(State::leaving())
                }
                _ => Handled,
            }
        }

        #[state]
        fn leaving(&mut self, event: &Change) -> Outcome<State> {
            match event {
                Change::Noticed => {
                    self.handle.stop();
                    Transition(State::closing())
                }
                _ => Handled,
            }
        }

        #[state]
        fn closing(event: &Change) -> Outcome<State> {
            match event {
                Change::Finished => {
                    log::info!("{}", events::STOPPED);
                    Transition(State::stopped())
                }
                _ => Handled,
            }
        }

        #[state]
        fn stopped(event: &Change) -> Outcome<State> {
            log::debug!("{event:?} after the end");
            Handled
        }
    }
}
