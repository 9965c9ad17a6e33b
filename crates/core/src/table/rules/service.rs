//! Validation rules for rows of services.

use {
    super::Rules,
    crate::table::{KeySource, Row, ServiceRow, TableError},
    std::{ops::RangeInclusive, time::Duration},
};

/// Allowed numbers of shards that move for balance per minute.
const SHARDS_PER_MINUTE: RangeInclusive<u32> = 0..=100_000;
/// Allowed load thresholds for moves: load of the most loaded server in percent of the
/// mean.
const THRESHOLD_PERCENT: RangeInclusive<u32> = 101..=1_000;
/// Allowed error budgets, in requests per million.
const PER_MILLION: RangeInclusive<u32> = 0..=1_000_000;
/// Allowed request deadlines, in milliseconds.
const DEADLINE_MS: RangeInclusive<u128> = 10..=3_600_000;
/// Allowed grace periods for serving while cut off from the platform, in milliseconds.
const GRACE_MS: RangeInclusive<u128> = 0..=3_600_000;
/// Highest number of the path segment that holds the key.
const MAX_SEGMENT: usize = 31;
/// Longest path prefix, in bytes.
const MAX_PREFIX_BYTES: usize = 256;
/// Longest host name, in bytes: the limit of DNS.
const MAX_HOST_BYTES: usize = 253;
/// Maximum number of host names of one service.
const MAX_HOSTS: usize = 64;

impl Rules<'_> {
    pub(super) fn check_service(&self, row: &ServiceRow) -> Result<(), TableError> {
        self.check_route(row)?;
        self.check_key_source(row)?;
        self.check_range("deadline_ms", row.deadline.as_millis(), DEADLINE_MS)?;
        self.check_range("grace_ms", row.grace.as_millis(), GRACE_MS)?;
        self.check_range(
            "moves_minute",
            row.move_budget.shards_per_minute,
            SHARDS_PER_MINUTE,
        )?;
        self.check_range(
            "moves_threshold",
            row.move_budget.threshold_percent,
            THRESHOLD_PERCENT,
        )?;
        self.check_range(
            "slo_failures",
            row.objectives.failures_per_million,
            PER_MILLION,
        )?;
        self.check_range("slo_slower", row.objectives.slow_per_million, PER_MILLION)?;
        let latency = row.objectives.latency;
        if latency < Duration::from_millis(1) || latency > row.deadline {
            let found = latency.as_millis().to_string();
            return self.reject("slo_latency_ms", &found, "1 to the deadline");
        }
        self.check_service_immutable(row)
    }

    fn check_route(&self, row: &ServiceRow) -> Result<(), TableError> {
        let is_allowed = |c: char| c.is_ascii_graphic() && !"?#".contains(c);
        let valid = row.prefix.starts_with('/') && row.prefix.chars().all(is_allowed);
        if !valid || row.prefix.len() > MAX_PREFIX_BYTES {
            return self.reject(
                "prefix",
                &row.prefix,
                "a path of at most 256 bytes from '/' on",
            );
        }
        let is_host_char = |c: char| c.is_ascii_alphanumeric() || "-.:[]".contains(c);
        let is_invalid = |name: &&String| {
            name.is_empty() || name.len() > MAX_HOST_BYTES || !name.chars().all(is_host_char)
        };
        if let Some(found) = row.hosts.iter().find(is_invalid) {
            return self.reject("hosts", found, "host names of at most 253 bytes");
        }
        self.check_range("hosts", row.hosts.len(), 0..=MAX_HOSTS)?;
        self.check_unique_route(row)
    }

    /// Rejects a route that another service has, since it would be undefined which of the
    /// two services gets the requests.
    fn check_unique_route(&self, row: &ServiceRow) -> Result<(), TableError> {
        let shares_host = |other: &ServiceRow| match (row.hosts.is_empty(), other.hosts.is_empty())
        {
            (true, true) => true,
            (false, false) => row.hosts.iter().any(|host| {
                other
                    .hosts
                    .iter()
                    .any(|other_host| other_host.eq_ignore_ascii_case(host))
            }),
            _ => false,
        };
        let same = self.edited.rows().find_map(|other| match other {
            Row::Service(other) if other.name != row.name && other.prefix == row.prefix => {
                shares_host(other).then_some(&other.name)
            }
            _ => None,
        });
        match same {
            None => Ok(()),
            Some(name) => {
                let found = format!("{} as service/{name}", row.prefix);
                self.reject("prefix", &found, "a route no other service has")
            }
        }
    }

    fn check_key_source(&self, row: &ServiceRow) -> Result<(), TableError> {
        match &row.key_source {
            KeySource::Header(name) if !is_token(name) => {
                return self.reject("key", name, "a header name");
            }
            KeySource::Segment(number) => self.check_range("key", *number, 0..=MAX_SEGMENT)?,
            KeySource::Header(_) => {}
        }
        let is_uppercase_token =
            |method: &str| is_token(method) && method == method.to_ascii_uppercase();
        match row
            .idempotent_methods
            .iter()
            .find(|method| !is_uppercase_token(method))
        {
            None => Ok(()),
            Some(method) => self.reject("idempotent", method, "methods in capitals"),
        }
    }

    /// Rejects changes that are not allowed while the service's shards have owners.
    fn check_service_immutable(&self, row: &ServiceRow) -> Result<(), TableError> {
        let Some(Row::Service(before)) = self.edited.before(self.key) else {
            return Ok(());
        };
        if self.edited.assignment_rows(&row.name).is_empty() {
            return Ok(());
        }
        if before.shard_bits != row.shard_bits {
            let allowed = format!("{}, as the service owns shards", before.shard_bits);
            return self.reject("shard_bits", &row.shard_bits.to_string(), &allowed);
        }
        // An instance that is cut off from the platform keeps serving for the grace
        // period that it knows. If the planner counted on a shorter period, it would
        // assign the shards to another server too early, and two servers would own them.
        if row.grace < before.grace {
            let allowed = format!(
                "at least {}, as the service owns shards",
                before.grace.as_millis()
            );
            return self.reject("grace_ms", &row.grace.as_millis().to_string(), &allowed);
        }
        Ok(())
    }
}

/// Whether a text is an HTTP token of at most 64 bytes, as header names and methods are.
fn is_token(text: &str) -> bool {
    let is_token_char = |c: char| c.is_ascii_alphanumeric() || "!#$%&'*+-.^_`|~".contains(c);
    !text.is_empty() && text.len() <= 64 && text.chars().all(is_token_char)
}
