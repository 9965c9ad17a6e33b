//! Catalogue of log events.

use std::fmt;

/// A kind of log event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Number, never reused for another event.
    pub number: u16,
    /// Name.
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

        /// All events, in the order of their numbers.
        pub const CATALOGUE: &[Event] = &[$($constant),*];
    };
}

impl Event {
    /// The event with a name, for tests and tools.
    ///
    /// ```
    /// use citronproxy::events::Event;
    /// assert_eq!(Event::from_name("started").unwrap().number, 1);
    /// ```
    pub fn from_name(name: &str) -> Option<Self> {
        CATALOGUE.iter().copied().find(|event| event.name == name)
    }
}

events! {
    /// The instance accepts requests.
    STARTED = 1, "started";
    /// A signal asked the instance to leave.
    LEAVING = 2, "leaving";
    /// The last request has ended.
    STOPPED = 3, "stopped";
    /// The settings file was read again after SIGHUP.
    SETTINGS_RELOADED = 4, "settings-read-again";
    /// Metrics cannot be served, but requests are.
    METRICS_NOT_SERVED = 5, "metrics-not-served";
    /// A newer revision of the table is in force in this instance.
    REVISION_IN_FORCE = 100, "revision-in-force";
    /// The platform cannot be read.
    PLATFORM_LOST = 101, "platform-lost";
    /// The platform can be read again.
    PLATFORM_BACK = 102, "platform-back";
    /// Other instances renew the routing lease by relay, in place of the platform.
    RELAY_BEGUN = 103, "relay-begun";
    /// Reads of the platform renew the routing lease again, or relays do not renew it any
    /// more.
    RELAY_ENDED = 104, "relay-ended";
    /// A row of the table cannot be read: another program has written it.
    TABLE_ROW_REFUSED = 105, "table-row-refused";
    /// This incarnation of the instance was listed in the table.
    JOINED = 110, "joined";
    /// An instance that does not answer was marked as expelled.
    EXPELLED = 111, "expelled";
    /// A backend server does not answer.
    SERVER_LOST = 120, "server-lost";
    /// A backend server that was lost answers again.
    SERVER_BACK = 121, "server-back";
    /// A backend server reports that it is leaving.
    SERVER_LEAVING = 122, "server-leaving";
    /// This instance began to move scopes.
    MOVES_BEGUN = 130, "moves-begun";
    /// A move was refused by the rules of the table.
    MOVE_REFUSED = 131, "move-refused";
    /// A move has ended: a read of the table shows the new owner.
    MOVE_DONE = 132, "move-done";
    /// A connection could not be accepted.
    ACCEPT_FAILED = 200, "accept-failed";
    /// An operator's edit or move was accepted.
    EDIT_ACCEPTED = 300, "edit-accepted";
    /// The outcome of an operator's edit or move is unknown.
    EDIT_UNKNOWN = 301, "edit-unknown";
    /// An operator lifted the refusal of requests that crashed servers.
    CRASH_LIFTED = 310, "crash-lifted";
    /// Counts for service-level objectives could not be written.
    RECORDS_HELD = 320, "records-held";
    /// Counts for service-level objectives can be written again.
    RECORDS_WRITTEN = 321, "records-written";
    /// The store of the outside platform does not answer.
    STORE_LOST = 400, "store-lost";
    /// The store of the outside platform answers again after an outage.
    STORE_BACK = 401, "store-back";
    /// The store's answer to a long poll was lost: its content arrived in another way
    /// while the poll was open.
    ANSWER_LOST = 402, "answer-lost";
    /// A table could not be fetched.
    TABLE_NOT_FETCHED = 403, "table-not-fetched";
    /// A call to the store failed or was not answered, while other calls are answered.
    STORE_CALL_FAILED = 404, "store-call-failed";
    /// The store has come back from an older copy of its rows.
    STORE_RESTORED = 405, "store-restored";
    /// A newer configuration is in force in this instance.
    CONFIG_IN_FORCE = 410, "configuration-in-force";
    /// A configuration cannot be read; the last valid one stays in force.
    CONFIG_REFUSED = 411, "configuration-refused";
    /// A failure domain is evacuated, or receives requests again.
    EVACUATION = 412, "evacuation";
    /// A row that requests an evacuation cannot be read; the last valid one stays in
    /// force.
    EVACUATION_REFUSED = 413, "evacuation-refused";
    /// A backend server's entry has changed.
    SERVER_ENTRY = 420, "server-entry";
    /// A backend server's entry cannot be read.
    SERVER_ENTRY_REFUSED = 421, "server-entry-refused";
    /// A backend server states a limit on its requests, another one, or none any more.
    RATE_LIMIT_STATED = 422, "rate-limit-stated";
    /// A backend server states that it leaves, before the store tells.
    LEAVING_STATED = 423, "leaving-stated";
    /// A backend server asks this instance for rest.
    REST_ASKED = 424, "rest-asked";
    /// No backend server responds to this instance.
    SERVERS_UNREACHED = 425, "servers-unreached";
    /// A backend server responds to this instance again.
    SERVERS_REACHED = 426, "servers-reached";
    /// The broker of a server does not answer this instance's requests for slots.
    BROKER_SILENT = 427, "broker-silent";
    /// A broker that did not answer answers again.
    BROKER_BACK = 428, "broker-back";
    /// An entry states far more slots than those of the other servers of its service.
    SLOTS_LIMITED = 429, "slots-limited";
    /// Another instance became the planner, or this one became it or ceased to be it.
    PLANNER = 430, "planner";
    /// A row that citronproxy writes itself cannot be read; the last valid one stays in
    /// use.
    OWN_ROW_REFUSED = 431, "own-row-refused";
    /// How evenly the load is distributed over a service's servers, while its keys move.
    BALANCE = 432, "balance";
    /// A backend server did not accept a grant.
    GRANT_REFUSED = 433, "grant-refused";
    /// A map with new owners was written.
    KEYS_MOVED = 434, "keys-moved";
    /// The store did not accept a row that citronproxy writes.
    ROW_REJECTED = 435, "row-rejected";
    /// Keys of a former owner count as free.
    KEYS_FREED = 436, "keys-freed";
    /// A backend server has accepted the first grant of its keys from this planner.
    KEYS_HELD = 437, "keys-held";
    /// Another process answered at the address of a backend server whose keys were released.
    SERVER_REPLACED = 438, "server-replaced";
    /// A response of a server to another call than the order that received it was discarded.
    STRAY_RESPONSE = 439, "stray-response";
    /// A message arrived from an instance that was unknown or had been silent.
    INSTANCE_HEARD = 440, "instance-heard";
    /// A message from another instance cannot be read.
    MESSAGE_REFUSED = 441, "message-refused";
    /// The stored map of a service does not cover all keys; its keys are not planned meanwhile.
    MAP_INCOMPLETE = 442, "map-incomplete";
    /// Grants to a server begin or end to be withheld, as another process may be listening at
    /// its address.
    GRANTS_WITHHELD = 443, "grants-withheld";
    /// Keys of a service wait for an owner, or for longer than said before.
    KEYS_WAITING = 444, "keys-waiting";
    /// No keys of a service wait for an owner any more.
    KEYS_ASSIGNED = 445, "keys-assigned";
    /// A request was refused; it has not been executed.
    REQUEST_REFUSED = 500, "request-refused";
    /// The outcome of a request is unknown.
    REQUEST_UNKNOWN = 501, "request-outcome-unknown";
    /// One attempt of a request gave no response to return.
    TRY_FAILED = 502, "try-failed";
    /// A request was denied; this instance answered it with a final response.
    REQUEST_DENIED = 503, "request-denied";
    /// A response has both `Transfer-Encoding` and `Content-Length`; the latter was ignored.
    LENGTH_IGNORED = 504, "length-ignored";
}
