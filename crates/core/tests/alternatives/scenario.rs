//! Scenarios: which fault or operator edit occurs, and when.

use {citron_core::time::Time, std::time::Duration};

/// Time from the start of a run to the fault or edit.
pub const FAULT_START: Duration = Duration::from_secs(180);
/// Number of the server and of the instance that faults affect; their domain is
/// `TARGET % DOMAINS`.
pub const TARGET: usize = 4;
/// Number of failure domains. Server or instance `n` is in domain `n % DOMAINS`.
pub const DOMAINS: usize = 3;

/// A scenario with one kind of fault or edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// The target server stops.
    ServerLost,
    /// The target instance stops.
    InstanceLost,
    /// The target server and the target instance, of one domain, stop.
    BothLost,
    /// The target's domain is disconnected from the others and from the platform for 300 s.
    DomainCutOff,
    /// The platform is down for 600 s; the target server stops after 300 s.
    PlatformDown,
    /// The operator drains the target server.
    ServerLeaving,
    /// The target instance reaches neither the platform nor other instances for 360 s, while
    /// the operator drains a server of its domain that it still reaches.
    InstanceCutOff,
    /// The load of one key rises.
    HotKey,
    /// The operator adds a server, which is warming up.
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

    /// Time from the fault to the end of the run; long enough for all strategies to settle.
    pub fn run_after_fault(self) -> Duration {
        Duration::from_secs(match self {
            Self::PlatformDown => 720,
            _ => 420,
        })
    }

    /// Name of the scenario in the result table.
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

/// Which servers, instances and connections work at one moment of a scenario.
#[derive(Debug, Clone, Copy)]
pub struct FaultState {
    /// The scenario of the run.
    pub scenario: Scenario,
    /// Time since the fault; `None` before it.
    pub elapsed: Option<Duration>,
}

impl FaultState {
    /// State at a time of the run.
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

    /// Whether a server is running.
    pub fn is_server_up(&self, server: usize) -> bool {
        let lost = match self.scenario {
            Scenario::ServerLost | Scenario::BothLost => self.has_started(),
            Scenario::PlatformDown => self.is_within(300, u64::MAX),
            _ => false,
        };
        !(lost && server == TARGET)
    }

    /// Whether an instance is running.
    pub fn is_instance_up(&self, instance: usize) -> bool {
        let lost = matches!(self.scenario, Scenario::InstanceLost | Scenario::BothLost);
        !(lost && self.has_started() && instance == TARGET)
    }

    fn is_domain_cut(&self, domain: usize) -> bool {
        let cut = self.scenario == Scenario::DomainCutOff && self.is_within(0, 300);
        cut && domain == TARGET % DOMAINS
    }

    /// Whether the domains of two servers or instances reach each other.
    pub fn is_connected(&self, one: usize, other: usize) -> bool {
        let (one, other) = (one % DOMAINS, other % DOMAINS);
        one == other || !(self.is_domain_cut(one) || self.is_domain_cut(other))
    }

    /// Whether an instance alone is disconnected from the platform and other instances.
    pub fn is_isolated(&self, instance: usize) -> bool {
        let cut = self.scenario == Scenario::InstanceCutOff && self.is_within(0, 360);
        cut && instance == TARGET
    }

    /// Whether instance `one` reaches the running instance `other`.
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
