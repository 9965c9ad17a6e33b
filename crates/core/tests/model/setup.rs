//! Bounds of an exhaustive search.

use {
    citron_core::{ownership::LeaseDurations, time::Time},
    std::time::Duration,
};

/// The tick at which a run starts, so that there are earlier times.
pub const START_TICK: u8 = 10;
/// Lease durations of one tick. Those of the production code are longer.
pub const DURATIONS: LeaseDurations = LeaseDurations {
    routing: Duration::from_secs(1),
    server: Duration::from_secs(1),
};
/// Grace period of the service.
pub const GRACE: Duration = Duration::from_secs(2);

/// The time at a tick of one second.
pub fn time(tick: u8) -> Time {
    Time::from_micros(u64::from(tick) * 1_000_000)
}

/// Events that may happen in a run, and how often.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// Name in the report.
    pub name: &'static str,
    /// Number of ticks that may pass.
    pub max_ticks: u8,
    /// Whether the servers check epochs.
    pub is_fenced: bool,
    /// Instances listed at the start: 1 or 2.
    pub instances: usize,
    /// Whether the second instance is in the first owner's domain too.
    pub is_same_domain: bool,
    /// The service's deadline, in ticks.
    pub deadline_ticks: u8,
    /// Whether a further incarnation of the second instance runs unlisted, while the
    /// first incarnation, if listed, is still running.
    pub has_unlisted: bool,
    /// Whether instances relay leases to the unlisted incarnation.
    pub relays_leases: bool,
    /// Whether the first incarnation of the second instance may be expelled.
    pub expels: bool,
    /// Whether movers can reach the first owner.
    pub can_revoke: bool,
    /// Whether a mover may stop waiting for a commit that takes effect later, or miss the
    /// answer of one that has taken effect.
    pub loses_answers: bool,
    /// Whether the first move may begin later than at the first tick.
    pub begins_late: bool,
    /// Moves that operators may begin.
    pub moves: u8,
    /// Number of movers.
    pub movers: usize,
    /// Total of ticks that clocks may miss.
    pub missed_ticks: u8,
    /// Restarts of the first owner.
    pub restarts: u8,
    /// Requests that may be delayed.
    pub delayed_requests: u8,
    /// Orders to the first owner, each of which may be delayed.
    pub orders: u8,
    /// Platform reads that may be delayed.
    pub delayed_reads: u8,
}

impl Setup {
    /// One move and two instances, nothing else.
    pub const ONE_MOVE: Self = Self {
        name: "one move",
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

    /// Both instances in the owner's domain, late reads and a slow clock.
    pub const SLOW_CLOCK: Self = Self {
        loses_answers: false,
        name: "slow clock",
        is_same_domain: true,
        deadline_ticks: 0,
        missed_ticks: 1,
        delayed_reads: 1,
        delayed_requests: 0,
        ..Self::ONE_MOVE
    };

    /// A restarted instance whose previous process still runs.
    pub const RESTARTED_INSTANCE: Self = Self {
        loses_answers: false,
        name: "restarted instance",
        is_same_domain: true,
        deadline_ticks: 0,
        has_unlisted: true,
        delayed_requests: 0,
        ..Self::ONE_MOVE
    };

    /// An instance that started while the platform was unavailable.
    pub const RELAYED_LEASES: Self = Self {
        loses_answers: false,
        name: "relayed leases",
        instances: 1,
        has_unlisted: true,
        relays_leases: true,
        is_same_domain: true,
        deadline_ticks: 0,
        delayed_requests: 0,
        max_ticks: 4,
        ..Self::ONE_MOVE
    };

    /// An instance that is expelled while a scope moves.
    pub const EXPELLED_INSTANCE: Self = Self {
        loses_answers: false,
        name: "expelled instance",
        is_same_domain: true,
        deadline_ticks: 0,
        expels: true,
        delayed_requests: 0,
        max_ticks: 4,
        ..Self::ONE_MOVE
    };

    /// An owner that checks epochs and that instances can reach, but no mover. Its
    /// process is paused and gets late orders and requests.
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
        name: "fenced, slow clock",
        orders: 1,
        missed_ticks: 1,
        ..Self::FENCED
    };

    /// An owner that checks epochs and restarts.
    pub const RESTARTED_SERVER: Self = Self {
        name: "restarted server",
        can_revoke: true,
        orders: 1,
        restarts: 1,
        max_ticks: 2,
        ..Self::FENCED
    };

    /// Two movers, and a second move right after the first.
    pub const TWO_MOVERS: Self = Self {
        name: "two movers",
        moves: 2,
        movers: 2,
        loses_answers: true,
        delayed_requests: 0,
        max_ticks: 1,
        ..Self::ONE_MOVE
    };
}
