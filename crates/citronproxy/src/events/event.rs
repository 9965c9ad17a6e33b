//! The catalogue in code.

use std::fmt;

/// One kind of log event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Its number; never given to another event.
    pub number: u16,
    /// Its name.
    pub name: &'static str,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "C{:04} {}", self.number, self.name)
    }
}

macro_rules! events {
    ($($(#[$doc:meta])* $constant:ident = $number:literal, $name:literal;)*) => {
        $($(#[$doc])* pub const $constant: Event = Event { number: $number, name: $name };)*

        /// Every event, in the order of their numbers.
        pub const CATALOGUE: &[Event] = &[$($constant),*];
    };
}

impl Event {
    /// The event of a name, for tests and tools.
    ///
    /// ```
    /// use citronproxy::events::Event;
    /// assert_eq!(Event::named("started").unwrap().number, 1);
    /// ```
    pub fn named(name: &str) -> Option<Self> {
        CATALOGUE.iter().copied().find(|event| event.name == name)
    }
}

events! {
    /// The instance takes requests.
    STARTED = 1, "started";
    /// A signal asked the instance to leave.
    LEAVING = 2, "leaving";
    /// The last request has ended.
    STOPPED = 3, "stopped";
    /// A newer revision of the table is in force here.
    REVISION = 100, "revision-in-force";
    /// The platform could not be read.
    PLATFORM_LOST = 101, "platform-lost";
    /// The platform can be read again.
    PLATFORM_BACK = 102, "platform-back";
    /// A traffic thread could not accept a connection.
    ACCEPT_FAILED = 200, "accept-failed";
}
