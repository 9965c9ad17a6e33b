//! The routing configuration and its version.

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

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenerLimits {
    /// Maximum number of bytes of a request head.
    pub max_header_bytes: usize,
    /// Maximum number of bytes of a request body.
    pub max_body_bytes: u64,
    /// Time within which a request head must arrive.
    pub header_timeout: Duration,
    /// Time after which a connection without requests is closed.
    pub idle_timeout: Duration,
}

/// Routing configuration of one version: routes, clusters and listener limits.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteConfig {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Limits on callers' requests and connections.
    pub limits: ListenerLimits,
    /// Routes by host name in lower case.
    hosts: BTreeMap<String, Vec<RouteRule>>,
    services: BTreeMap<ServiceName, Cluster>,
}

impl RouteConfig {
    /// Builds a configuration from routes with their host names, and clusters.
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
            // The longest prefix comes first, so that the first match is the most
            // specific.
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

    /// The route with the longest prefix of the path. Host names are case-insensitive.
    pub fn rule(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let rules = match self.hosts.get(host) {
            None => self.hosts.get(&host.to_ascii_lowercase())?,
            Some(rules) => rules,
        };
        rules.iter().find(|rule| path.starts_with(&rule.prefix))
    }

    /// The cluster of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&Cluster> {
        self.services.get(name)
    }

    /// The longest slow start of any service.
    pub fn max_slow_start(&self) -> Duration {
        let spans = self.services().filter_map(|service| service.slow_start);
        spans.map(|slow| slow.duration).max().unwrap_or_default()
    }

    /// All clusters, ordered by name.
    pub fn services(&self) -> impl Iterator<Item = &Cluster> {
        self.services.values()
    }
}
