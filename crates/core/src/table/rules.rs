//! What rows an operator may write.

use {
    super::{
        DomainRow, DomainState, KeyRule, Row, RowEdit, RowKey, ServerRow, ServerState, ServiceRow,
        TableError, view::View,
    },
    std::{ops::RangeInclusive, time::Duration},
};

/// Requests a second that a cap may allow.
const CAP: RangeInclusive<u32> = 1..=1_000_000;
/// Connections that a server may bear.
const CONNECTIONS: RangeInclusive<u32> = 1..=65_536;
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
/// The longest name of who makes an edit, in bytes.
const MAX_BY: usize = 128;

/// Checks one row of an edit against the whole table as it would be.
pub(super) fn check(edit: &RowEdit, by: &str, view: &View<'_>) -> Result<(), TableError> {
    let rules = Rules {
        key: &edit.key,
        view,
    };
    if by.is_empty() || by.len() > MAX_BY || by.chars().any(char::is_control) {
        return rules.broken("by", by, "1 to 128 bytes without control characters");
    }
    if let RowKey::Block(..) | RowKey::Override(..) | RowKey::Instance(_) = edit.key {
        return rules.broken("kind", "a row of the system", "service, server, domain");
    }
    let Some(row) = &edit.row else {
        return rules.delete();
    };
    if row.key() != edit.key {
        return rules.broken("key", &row.key().to_string(), "the key of the row itself");
    }
    match row {
        Row::Service(row) => rules.service(row),
        Row::Server(row) => rules.server(row),
        Row::Domain(row) => rules.domain(row, by),
        Row::Instance(_) | Row::Block(_) | Row::Override(_) => Ok(()),
    }
}

/// An error that names the row, the field, what it holds and what it may hold.
pub(super) fn invalid(key: &RowKey, field: &str, found: &str, allowed: &str) -> TableError {
    TableError::Invalid {
        key: key.clone(),
        field: field.to_string(),
        found: found.to_string(),
        allowed: allowed.to_string(),
    }
}

struct Rules<'a> {
    key: &'a RowKey,
    view: &'a View<'a>,
}

impl Rules<'_> {
    fn broken(&self, field: &str, found: &str, allowed: &str) -> Result<(), TableError> {
        Err(invalid(self.key, field, found, allowed))
    }

    fn range<T>(&self, field: &str, found: T, range: RangeInclusive<T>) -> Result<(), TableError>
    where
        T: PartialOrd + ToString,
    {
        if range.contains(&found) {
            return Ok(());
        }
        let allowed = format!(
            "{} to {}",
            range.start().to_string(),
            range.end().to_string()
        );
        self.broken(field, &found.to_string(), &allowed)
    }

    fn delete(&self) -> Result<(), TableError> {
        match self.view.before(self.key) {
            Some(Row::Service(row)) => self.delete_service(row),
            Some(Row::Server(row)) => self.delete_server(row),
            Some(Row::Domain(row)) => self.delete_domain(row),
            _ => self.broken("key", "no such row", "a row that is there"),
        }
    }

    fn delete_service(&self, row: &ServiceRow) -> Result<(), TableError> {
        match self.view.servers(&row.name).first() {
            None => Ok(()),
            Some(server) => {
                let found = format!("still used by server/{}", server.name);
                self.broken("name", &found, "no servers, or all deleted in this edit")
            }
        }
    }

    fn delete_server(&self, row: &ServerRow) -> Result<(), TableError> {
        let leaves = self.view.service(&row.service).is_some();
        if leaves && self.view.owns(&row.name) {
            return self.broken(
                "name",
                "the owner of shards",
                "a server that owns none: drain it",
            );
        }
        self.keeps_serving(row)
    }

    fn delete_domain(&self, row: &DomainRow) -> Result<(), TableError> {
        let user = self.view.rows().find(|other| match other {
            Row::Server(server) => server.domain == row.name,
            Row::Instance(instance) => instance.domain == row.name,
            _ => false,
        });
        match user {
            None => Ok(()),
            Some(user) => {
                let found = format!("still used by {}", user.key());
                self.broken("name", &found, "no servers and no instances")
            }
        }
    }

    fn service(&self, row: &ServiceRow) -> Result<(), TableError> {
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

    fn server(&self, row: &ServerRow) -> Result<(), TableError> {
        if self.view.service(&row.service).is_none() {
            return self.broken("service", row.service.as_str(), "a service of the table");
        }
        if self.view.domain(&row.domain).is_none() {
            return self.broken(
                "domain",
                row.domain.as_str(),
                "a failure domain of the table",
            );
        }
        if let Some(cap) = row.cap {
            self.range("cap", cap, CAP)?;
        }
        self.range("connections", row.connections, CONNECTIONS)?;
        if row.address.port() == 0 || row.address.ip().is_unspecified() {
            return self.broken("address", &row.address.to_string(), "an address and port");
        }
        self.unique_address(row)?;
        self.server_fixed(row)?;
        if let Some(Row::Server(before)) = self.view.before(self.key) {
            self.keeps_serving(before)?;
        }
        self.keeps_serving(row)
    }

    fn unique_address(&self, row: &ServerRow) -> Result<(), TableError> {
        let same = self.view.rows().find_map(|other| match other {
            Row::Server(other) if other.name != row.name && other.address == row.address => {
                Some(&other.name)
            }
            _ => None,
        });
        match same {
            None => Ok(()),
            Some(name) => {
                let found = format!("{} as server/{name}", row.address);
                self.broken("address", &found, "an address no other server has")
            }
        }
    }

    /// A server that owns shards stays the same process in the same place: an
    /// instance with an older row would go on sending to the old address, and
    /// two processes would run requests of the same keys. A shift of the domain
    /// or of fencing would change whom a move under way has to wait for.
    fn server_fixed(&self, row: &ServerRow) -> Result<(), TableError> {
        let Some(Row::Server(before)) = self.view.before(self.key) else {
            return Ok(());
        };
        if !self.view.owns(&row.name) {
            return Ok(());
        }
        let allowed = "the same while the server owns shards: drain it";
        if before.address != row.address {
            return self.broken("address", &row.address.to_string(), allowed);
        }
        if before.service != row.service {
            return self.broken("service", row.service.as_str(), allowed);
        }
        if before.domain != row.domain {
            return self.broken("domain", row.domain.as_str(), allowed);
        }
        if before.fencing != row.fencing {
            return self.broken("fenced", "changed", allowed);
        }
        if row.state == ServerState::Retired {
            return self.broken(
                "state",
                "retired",
                "active or draining while it owns shards",
            );
        }
        Ok(())
    }

    /// A service with shards keeps a server that may own them; otherwise its
    /// keys would have nowhere to go.
    fn keeps_serving(&self, row: &ServerRow) -> Result<(), TableError> {
        let owned = !self.view.assignment_rows(&row.service).is_empty();
        let kept = self.view.service(&row.service).is_some();
        if !owned || !kept || !self.view.serving(&row.service).is_empty() {
            return Ok(());
        }
        let found = format!("the last active server of service/{}", row.service);
        self.broken("state", &found, "another active server with a weight")
    }

    fn domain(&self, row: &DomainRow, by: &str) -> Result<(), TableError> {
        let before = match self.view.before(self.key) {
            Some(Row::Domain(before)) => Some(before),
            _ => None,
        };
        let confirmers = before.map_or(&[][..], |before| &before.confirmers);
        if row.confirmers != confirmers {
            return self.broken(
                "confirmers",
                "changed",
                "as they are: the system keeps them",
            );
        }
        let same = before.is_some_and(|before| before.state == row.state);
        match &row.state {
            // The statement ends a wait that protects the keys, so it must be
            // clear who vouched for it.
            DomainState::Lost { by: said } if !same && said != by => {
                self.broken("lost_by", said, "who makes the edit")
            }
            _ => Ok(()),
        }
    }
}

/// A token of HTTP, as header names and methods are.
fn is_token(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "!#$%&'*+-.^_`|~".contains(c);
    !text.is_empty() && text.len() <= 64 && text.chars().all(allowed)
}
