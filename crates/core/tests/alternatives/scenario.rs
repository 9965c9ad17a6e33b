//! What goes wrong, and when.

use {citron_core::time::Time, std::time::Duration};

/// Everything goes wrong so long after the begin of a run.
pub const FAULT: Duration = Duration::from_secs(180);
/// The server, instance and failure domain that the faults are about.
pub const VICTIM: usize = 4;
/// Failure domains; number `n` of anything is in domain `n % DOMAINS`.
pub const DOMAINS: usize = 3;

/// The focused scenarios.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    ServerLost,
    InstanceLost,
    BothLost,
    DomainCut,
    PlatformDown,
    Leaving,
    /// An instance reaches neither the platform nor other instances, while a
    /// server of its domain, which it still reaches, is to leave.
    InstanceCut,
    HotKey,
    ColdServer,
}

impl Scenario {
    pub const ALL: [Self; 9] = [
        Self::ServerLost,
        Self::InstanceLost,
        Self::BothLost,
        Self::DomainCut,
        Self::PlatformDown,
        Self::Leaving,
        Self::InstanceCut,
        Self::HotKey,
        Self::ColdServer,
    ];

    /// How long a run goes on after the fault: until all ways have settled.
    pub fn lasts(self) -> Duration {
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
            Self::DomainCut => "domain cut off, 300 s",
            Self::PlatformDown => "platform down 600 s, server lost",
            Self::Leaving => "server leaves",
            Self::InstanceCut => "server leaves, instance cut off",
            Self::HotKey => "hot key",
            Self::ColdServer => "cold server joins",
        }
    }
}

/// What works at one moment.
#[derive(Debug, Clone, Copy)]
pub struct Net {
    pub scenario: Scenario,
    /// How long ago the fault struck.
    pub since: Option<Duration>,
}

impl Net {
    pub fn at(scenario: Scenario, now: Time) -> Self {
        let start = Time::ZERO + FAULT;
        let since = (now >= start).then(|| now - start);
        Self { scenario, since }
    }

    fn within(&self, from: u64, to: u64) -> bool {
        let span = Duration::from_secs(from)..Duration::from_secs(to);
        self.since.is_some_and(|since| span.contains(&since))
    }

    /// Whether the fault, or the operator's edit, has happened.
    pub fn begun(&self) -> bool {
        self.since.is_some()
    }

    pub fn server_up(&self, server: usize) -> bool {
        let lost = match self.scenario {
            Scenario::ServerLost | Scenario::BothLost => self.begun(),
            Scenario::PlatformDown => self.within(300, u64::MAX),
            _ => false,
        };
        !(lost && server == VICTIM)
    }

    pub fn instance_up(&self, instance: usize) -> bool {
        let lost = matches!(self.scenario, Scenario::InstanceLost | Scenario::BothLost);
        !(lost && self.begun() && instance == VICTIM)
    }

    fn is_cut(&self, domain: usize) -> bool {
        let cut = self.scenario == Scenario::DomainCut && self.within(0, 300);
        cut && domain == VICTIM % DOMAINS
    }

    /// Whether two numbers' domains reach each other.
    pub fn link(&self, one: usize, other: usize) -> bool {
        let (one, other) = (one % DOMAINS, other % DOMAINS);
        one == other || !(self.is_cut(one) || self.is_cut(other))
    }

    /// Whether an instance is cut off alone.
    pub fn is_alone(&self, instance: usize) -> bool {
        let cut = self.scenario == Scenario::InstanceCut && self.within(0, 360);
        cut && instance == VICTIM
    }

    /// Whether a running instance is heard by another.
    pub fn hears(&self, one: usize, other: usize) -> bool {
        let alone = one != other && (self.is_alone(one) || self.is_alone(other));
        !alone && self.link(one, other) && self.instance_up(other)
    }

    /// Whether an instance reaches the platform.
    pub fn platform(&self, instance: usize) -> bool {
        if self.is_alone(instance) {
            return false;
        }
        let down = self.scenario == Scenario::PlatformDown && self.within(0, 600);
        !down && !self.is_cut(instance % DOMAINS)
    }
}
