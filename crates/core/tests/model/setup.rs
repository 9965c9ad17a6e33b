//! Bounds of one exhaustive run.

use {
    citron_core::{ownership::LeaseDurations, time::Time},
    std::time::Duration,
};

/// The tick that a run starts at, so that there is a past.
pub const START_TICK: u8 = 10;
/// Confirmation from the platform: one tick. Fixed spans of the production code
/// are longer, in the same proportions.
pub const DURATIONS: LeaseDurations = LeaseDurations {
    routing: Duration::from_secs(1),
    server: Duration::from_secs(1),
};
/// Grace of the service.
pub const GRACE: Duration = Duration::from_secs(2);

/// The time at a tick of one second.
pub fn time(tick: u8) -> Time {
    Time::from_micros(u64::from(tick) * 1_000_000)
}

/// What may happen in a run, and how often.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// Name in the report.
    pub name: &'static str,
    /// Ticks that may pass.
    pub max_ticks: u8,
    /// Whether the servers check epochs.
    pub is_fenced: bool,
    /// Listed instances at the start: 1 or 2.
    pub instances: usize,
    /// Whether the second instance is in the first owner's domain too.
    pub is_same_domain: bool,
    /// The service's deadline, in ticks.
    pub deadline_ticks: u8,
    /// Whether a further start of the second instance comes up, unlisted, while
    /// the first start, if listed, is still there.
    pub has_unlisted: bool,
    /// Whether instances pass on leave to the unlisted start.
    pub relays_leases: bool,
    /// Whether the second instance's first start may be expelled.
    pub expels: bool,
    /// Whether the first owner is within the movers' reach.
    pub can_revoke: bool,
    /// Whether a mover may give up on its commit, which takes effect later, or
    /// not hear of one that has.
    pub loses_answers: bool,
    /// Whether the first move may be begun later than at the first tick.
    pub begins_late: bool,
    /// Moves that operators may begin.
    pub moves: u8,
    /// Movers that work at once.
    pub movers: usize,
    /// Ticks that clocks may miss, all together.
    pub missed_ticks: u8,
    /// Restarts of the first owner.
    pub restarts: u8,
    /// Requests that may be held up on their way.
    pub delayed_requests: u8,
    /// Orders to the first owner, each of which may be held up on its way.
    pub orders: u8,
    /// Reads of the platform that may be held up on their way.
    pub delayed_reads: u8,
}

impl Setup {
    /// One move, two instances, nothing else.
    pub const ONE_MOVE: Self = Self {
        name: "plain",
        loses_answers: true,
        max_ticks: 5,
        is_fenced: false,
        instances: 2,
        is_same_domain: false,
        deadline_ticks: 1,
        has_unlisted: false,
        relays_leases: false,
        expels: false,
        can_revoke: false,
        begins_late: false,
        moves: 1,
        movers: 1,
        missed_ticks: 0,
        restarts: 0,
        delayed_requests: 1,
        orders: 0,
        delayed_reads: 0,
    };

    /// Both instances in the owner's domain; late reads and a slow clock.
    pub const SLOW_CLOCK: Self = Self {
        loses_answers: false,
        name: "clocks",
        is_same_domain: true,
        deadline_ticks: 0,
        missed_ticks: 1,
        delayed_reads: 1,
        delayed_requests: 0,
        ..Self::ONE_MOVE
    };

    /// A restarted instance whose former process is still there.
    pub const RESTARTED_INSTANCE: Self = Self {
        loses_answers: false,
        name: "twin",
        is_same_domain: true,
        deadline_ticks: 0,
        has_unlisted: true,
        delayed_requests: 0,
        ..Self::ONE_MOVE
    };

    /// An instance that started while the platform was down.
    pub const RELAYED_LEASES: Self = Self {
        loses_answers: false,
        name: "relays",
        instances: 1,
        has_unlisted: true,
        relays_leases: true,
        is_same_domain: true,
        deadline_ticks: 0,
        delayed_requests: 0,
        max_ticks: 4,
        ..Self::ONE_MOVE
    };

    /// An instance is expelled while a scope moves.
    pub const EXPELLED_INSTANCE: Self = Self {
        loses_answers: false,
        name: "expel",
        is_same_domain: true,
        deadline_ticks: 0,
        expels: true,
        delayed_requests: 0,
        max_ticks: 4,
        ..Self::ONE_MOVE
    };

    /// An owner that checks epochs and that instances reach, but no mover does;
    /// it freezes, and gets late orders and requests.
    pub const FENCED: Self = Self {
        loses_answers: false,
        name: "fenced",
        is_fenced: true,
        orders: 2,
        delayed_requests: 0,
        max_ticks: 3,
        deadline_ticks: 0,
        ..Self::ONE_MOVE
    };

    /// The same with a clock that misses a tick.
    pub const FENCED_SLOW_CLOCK: Self = Self {
        name: "drift",
        orders: 1,
        missed_ticks: 1,
        ..Self::FENCED
    };

    /// An owner that checks epochs and restarts.
    pub const RESTARTED_SERVER: Self = Self {
        name: "reboot",
        can_revoke: true,
        orders: 1,
        restarts: 1,
        max_ticks: 2,
        ..Self::FENCED
    };

    /// Two movers, and a second move right behind the first.
    pub const TWO_MOVERS: Self = Self {
        name: "race",
        moves: 2,
        movers: 2,
        loses_answers: true,
        delayed_requests: 0,
        max_ticks: 1,
        ..Self::ONE_MOVE
    };
}
