//! What rows of services an operator may write.

use {
    super::Rules,
    crate::table::{KeyRule, Row, ServiceRow, TableError},
    std::{ops::RangeInclusive, time::Duration},
};

/// Shards a minute that may move for balance.
const MOVES: RangeInclusive<u32> = 0..=100_000;
/// Load of the fullest server over the mean, in percent.
const THRESHOLD: RangeInclusive<u32> = 101..=1_000;
/// Requests of a million.
const MILLION: RangeInclusive<u32> = 0..=1_000_000;
/// Time a request may take, in milliseconds.
const DEADLINE: RangeInclusive<u128> = 10..=3_600_000;
/// How long a cut-off domain may go on serving, in milliseconds.
const GRACE: RangeInclusive<u128> = 0..=3_600_000;
/// The last path segment that may hold the key.
const MAX_SEGMENT: usize = 31;
/// The longest path prefix, in bytes.
const MAX_PREFIX: usize = 256;
/// The longest host name, in bytes; the limit of DNS.
const MAX_HOST: usize = 253;
/// The most host names of one service.
const MAX_HOSTS: usize = 64;

impl Rules<'_> {
    pub(super) fn service(&self, row: &ServiceRow) -> Result<(), TableError> {
        self.service_route(row)?;
        self.service_key(row)?;
        self.range("deadline_ms", row.deadline.as_millis(), DEADLINE)?;
        self.range("grace_ms", row.grace.as_millis(), GRACE)?;
        self.range("moves_minute", row.moves.minute, MOVES)?;
        self.range("moves_threshold", row.moves.threshold, THRESHOLD)?;
        self.range("slo_failures", row.objectives.failures, MILLION)?;
        self.range("slo_slower", row.objectives.slower, MILLION)?;
        let latency = row.objectives.latency;
        if latency < Duration::from_millis(1) || latency > row.deadline {
            let found = latency.as_millis().to_string();
            return self.broken("slo_latency_ms", &found, "1 to the deadline");
        }
        self.service_fixed(row)
    }

    fn service_route(&self, row: &ServiceRow) -> Result<(), TableError> {
        let plain = |c: char| c.is_ascii_graphic() && !"?#".contains(c);
        let valid = row.prefix.starts_with('/') && row.prefix.chars().all(plain);
        if !valid || row.prefix.len() > MAX_PREFIX {
            return self.broken(
                "prefix",
                &row.prefix,
                "a path of at most 256 bytes from '/' on",
            );
        }
        let host = |c: char| c.is_ascii_alphanumeric() || "-.:[]".contains(c);
        let bad_host =
            |name: &&String| name.is_empty() || name.len() > MAX_HOST || !name.chars().all(host);
        if let Some(found) = row.hosts.iter().find(bad_host) {
            return self.broken("hosts", found, "host names of at most 253 bytes");
        }
        self.range("hosts", row.hosts.len(), 0..=MAX_HOSTS)?;
        self.unique_route(row)
    }

    /// Two services under one route would leave it to chance which one answers.
    fn unique_route(&self, row: &ServiceRow) -> Result<(), TableError> {
        let shared = |other: &ServiceRow| match (row.hosts.is_empty(), other.hosts.is_empty()) {
            (true, true) => true,
            (false, false) => row
                .hosts
                .iter()
                .any(|host| other.hosts.iter().any(|o| o.eq_ignore_ascii_case(host))),
            _ => false,
        };
        let same = self.view.rows().find_map(|other| match other {
            Row::Service(other) if other.name != row.name && other.prefix == row.prefix => {
                shared(other).then_some(&other.name)
            }
            _ => None,
        });
        match same {
            None => Ok(()),
            Some(name) => {
                let found = format!("{} as service/{name}", row.prefix);
                self.broken("prefix", &found, "a route no other service has")
            }
        }
    }

    fn service_key(&self, row: &ServiceRow) -> Result<(), TableError> {
        match &row.key {
            KeyRule::Header(name) if !is_token(name) => {
                return self.broken("key", name, "a header name");
            }
            KeyRule::Segment(number) => self.range("key", *number, 0..=MAX_SEGMENT)?,
            KeyRule::Header(_) => {}
        }
        let upper = |method: &str| is_token(method) && method == method.to_ascii_uppercase();
        match row.idempotent.iter().find(|method| !upper(method)) {
            None => Ok(()),
            Some(method) => self.broken("idempotent", method, "methods in capitals"),
        }
    }

    /// What may not change once shards have owners.
    fn service_fixed(&self, row: &ServiceRow) -> Result<(), TableError> {
        let Some(Row::Service(before)) = self.view.before(self.key) else {
            return Ok(());
        };
        if self.view.assignment_rows(&row.name).is_empty() {
            return Ok(());
        }
        if before.shards != row.shards {
            let allowed = format!("{}, as the service owns shards", before.shards);
            return self.broken("shard_bits", &row.shards.to_string(), &allowed);
        }
        // A cut-off instance goes on under the grace that it knows. A mover that
        // counted on a shorter one would give its shards away too early, and two
        // servers would own them.
        if row.grace < before.grace {
            let allowed = format!(
                "at least {}, as the service owns shards",
                before.grace.as_millis()
            );
            return self.broken("grace_ms", &row.grace.as_millis().to_string(), &allowed);
        }
        Ok(())
    }
}

/// A token of HTTP, as header names and methods are.
fn is_token(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "!#$%&'*+-.^_`|~".contains(c);
    !text.is_empty() && text.len() <= 64 && text.chars().all(allowed)
}
