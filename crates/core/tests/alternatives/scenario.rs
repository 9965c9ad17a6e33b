//! What goes wrong, and when.

use {citron_core::time::Time, std::time::Duration};

/// Everything goes wrong so long after the begin of a run.
pub const FAULT_START: Duration = Duration::from_secs(180);
/// The server, instance and failure domain that the faults are about.
pub const TARGET: usize = 4;
/// Failure domains; number `n` of anything is in domain `n % DOMAINS`.
pub const DOMAINS: usize = 3;

/// The focused scenarios.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    ServerLost,
    InstanceLost,
    BothLost,
    DomainCutOff,
    PlatformDown,
    ServerLeaving,
    /// An instance reaches neither the platform nor other instances, while a
    /// server of its domain, which it still reaches, is to leave.
    InstanceCutOff,
    HotKey,
    ColdServer,
}

impl Scenario {
    pub const ALL: [Self; 9] = [
        Self::ServerLost,
        Self::InstanceLost,
        Self::BothLost,
        Self::DomainCutOff,
        Self::PlatformDown,
        Self::ServerLeaving,
        Self::InstanceCutOff,
        Self::HotKey,
        Self::ColdServer,
    ];

    /// How long a run goes on after the fault: until all ways have settled.
    pub fn run_after_fault(self) -> Duration {
        Duration::from_secs(match self {
            Self::PlatformDown => 720,
            _ => 420,
        })
    }

    pub fn title(self) -> &'static str {
        match self {
            Self::ServerLost => "server lost",
            Self::InstanceLost => "instance lost",
            Self::BothLost => "both lost, one domain",
            Self::DomainCutOff => "domain cut off, 300 s",
            Self::PlatformDown => "platform down 600 s, server lost",
            Self::ServerLeaving => "server leaves",
            Self::InstanceCutOff => "server leaves, instance cut off",
            Self::HotKey => "hot key",
            Self::ColdServer => "cold server joins",
        }
    }
}

/// What works at one moment.
#[derive(Debug, Clone, Copy)]
pub struct FaultState {
    pub scenario: Scenario,
    /// How long ago the fault struck.
    pub elapsed: Option<Duration>,
}

impl FaultState {
    pub fn at(scenario: Scenario, now: Time) -> Self {
        let start = Time::ZERO + FAULT_START;
        let elapsed = (now >= start).then(|| now - start);
        Self { scenario, elapsed }
    }

    fn is_within(&self, from: u64, to: u64) -> bool {
        let span = Duration::from_secs(from)..Duration::from_secs(to);
        self.elapsed.is_some_and(|elapsed| span.contains(&elapsed))
    }

    /// Whether the fault, or the operator's edit, has happened.
    pub fn has_started(&self) -> bool {
        self.elapsed.is_some()
    }

    pub fn is_server_up(&self, server: usize) -> bool {
        let lost = match self.scenario {
            Scenario::ServerLost | Scenario::BothLost => self.has_started(),
            Scenario::PlatformDown => self.is_within(300, u64::MAX),
            _ => false,
        };
        !(lost && server == TARGET)
    }

    pub fn is_instance_up(&self, instance: usize) -> bool {
        let lost = matches!(self.scenario, Scenario::InstanceLost | Scenario::BothLost);
        !(lost && self.has_started() && instance == TARGET)
    }

    fn is_domain_cut(&self, domain: usize) -> bool {
        let cut = self.scenario == Scenario::DomainCutOff && self.is_within(0, 300);
        cut && domain == TARGET % DOMAINS
    }

    /// Whether two numbers' domains reach each other.
    pub fn is_connected(&self, one: usize, other: usize) -> bool {
        let (one, other) = (one % DOMAINS, other % DOMAINS);
        one == other || !(self.is_domain_cut(one) || self.is_domain_cut(other))
    }

    /// Whether an instance is cut off alone.
    pub fn is_isolated(&self, instance: usize) -> bool {
        let cut = self.scenario == Scenario::InstanceCutOff && self.is_within(0, 360);
        cut && instance == TARGET
    }

    /// Whether a running instance is heard by another.
    pub fn can_reach(&self, one: usize, other: usize) -> bool {
        let alone = one != other && (self.is_isolated(one) || self.is_isolated(other));
        !alone && self.is_connected(one, other) && self.is_instance_up(other)
    }

    /// Whether an instance reaches the platform.
    pub fn reaches_platform(&self, instance: usize) -> bool {
        if self.is_isolated(instance) {
            return false;
        }
        let down = self.scenario == Scenario::PlatformDown && self.is_within(0, 600);
        !down && !self.is_domain_cut(instance % DOMAINS)
    }
}
