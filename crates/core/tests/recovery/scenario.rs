//! What fails when.

/// Something that fails, by number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum What {
    /// A server; it does not come back.
    Server(usize),
    /// An instance; it does not come back.
    Instance(usize),
    /// A domain is cut off from the others and from the platform.
    Cut(usize),
    /// The platform does not answer.
    Platform,
    /// An operator drains a server.
    Drain(usize),
}

/// One fault, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct Fault {
    /// What fails.
    pub what: What,
    /// When.
    pub from: u64,
    /// Until when; far away if for good.
    pub to: u64,
}

/// A run.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Name in the report.
    pub name: &'static str,
    /// What happens.
    pub faults: &'static [Fault],
    /// Its length in seconds.
    pub length: u64,
}

const FOR_GOOD: u64 = 100_000;

const fn fault(what: What, from: u64, to: u64) -> Fault {
    Fault { what, from, to }
}

/// All runs. Server 0 and instance 0 are in domain 0.
pub const SCENARIOS: [Scenario; 6] = [
    Scenario {
        name: "server lost",
        faults: &[fault(What::Server(0), 10, FOR_GOOD)],
        length: 60,
    },
    Scenario {
        name: "instance lost",
        faults: &[fault(What::Instance(0), 10, FOR_GOOD)],
        length: 60,
    },
    Scenario {
        name: "both lost at once",
        faults: &[
            fault(What::Server(0), 10, FOR_GOOD),
            fault(What::Instance(0), 10, FOR_GOOD),
        ],
        length: 1_000,
    },
    Scenario {
        name: "domain cut off 5 min",
        faults: &[fault(What::Cut(0), 10, 310)],
        length: 340,
    },
    Scenario {
        name: "platform down 10 min, server lost in it",
        faults: &[
            fault(What::Platform, 10, 610),
            fault(What::Server(0), 310, FOR_GOOD),
        ],
        length: 640,
    },
    Scenario {
        name: "server leaves",
        faults: &[fault(What::Drain(0), 10, FOR_GOOD)],
        length: 60,
    },
];
