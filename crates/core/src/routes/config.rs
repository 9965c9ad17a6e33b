//! A whole configuration.

use {
    super::{Cluster, RouteRule},
    crate::id::ServiceName,
    std::{collections::BTreeMap, fmt, str::FromStr, time::Duration},
};

/// Version of a configuration; a higher one is newer.
///
/// ```
/// use citron_core::routes::ConfigVersion;
/// let version: ConfigVersion = "12".parse().unwrap();
/// assert!(version > ConfigVersion(11));
/// assert_eq!(version.to_string(), "12");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for ConfigVersion {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenerLimits {
    /// Bytes of a head.
    pub max_header_bytes: usize,
    /// Bytes of a body.
    pub max_body_bytes: u64,
    /// How long a head may take.
    pub header_timeout: Duration,
    /// How long a connection may stay without a request.
    pub idle_timeout: Duration,
}

/// Routes, services and limits of one version.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteConfig {
    /// The version.
    pub version: ConfigVersion,
    /// What callers may send.
    pub limits: ListenerLimits,
    /// By names in lower case.
    hosts: BTreeMap<String, Vec<RouteRule>>,
    services: BTreeMap<ServiceName, Cluster>,
}

impl RouteConfig {
    /// Puts a configuration together.
    pub fn new(
        version: ConfigVersion,
        limits: ListenerLimits,
        rules: impl IntoIterator<Item = (String, RouteRule)>,
        services: impl IntoIterator<Item = Cluster>,
    ) -> Self {
        let mut hosts: BTreeMap<String, Vec<RouteRule>> = BTreeMap::new();
        for (host, rule) in rules {
            let host = host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(rule);
        }
        for rules in hosts.values_mut() {
            // The longest prefix comes first, so that the first match counts.
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.prefix.len()));
        }
        let services = services.into_iter();
        Self {
            version,
            limits,
            hosts,
            services: services
                .map(|service| (service.name.clone(), service))
                .collect(),
        }
    }

    /// The rule of the longest prefix that begins the path; the host's name may be in
    /// any case.
    pub fn rule(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let rules = match self.hosts.get(host) {
            None => self.hosts.get(&host.to_ascii_lowercase())?,
            Some(rules) => rules,
        };
        rules.iter().find(|rule| path.starts_with(&rule.prefix))
    }

    /// A service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&Cluster> {
        self.services.get(name)
    }

    /// The longest time that a server of any service stays cold.
    pub fn max_slow_start(&self) -> Duration {
        let spans = self.services().filter_map(|service| service.slow_start);
        spans.map(|slow| slow.duration).max().unwrap_or_default()
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Cluster> {
        self.services.values()
    }
}
