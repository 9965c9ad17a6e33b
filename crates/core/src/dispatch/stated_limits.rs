//! Request rates that servers state in their responses.

use {
    crate::{admission::Rate, id::ServerName, time::Time},
    std::{collections::BTreeMap, time::Duration},
};

/// Age at which a statement expires. A server that no request reaches cannot withdraw its
/// limit.
const STATEMENT_TTL: Duration = Duration::from_secs(30);

/// What a response says about the server's rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitStatement {
    /// The server takes this rate from all instances together.
    Limited(Rate),
    /// The server states no limit.
    Unlimited,
}

/// Latest statement of one server.
#[derive(Debug, Clone, Copy)]
struct Stated {
    statement: LimitStatement,
    stated_at: Time,
}

/// Latest rate limits that servers stated.
///
/// ```
/// use citron_core::{admission::Rate, dispatch::{LimitStatement, StatedLimits}, time::Time};
/// let mut limits = StatedLimits::default();
/// let server = "s-1".parse().unwrap();
/// assert!(limits.record_statement(&server, LimitStatement::Limited(Rate(2.5)), Time::ZERO));
/// assert_eq!(limits.limit(&server, Time::ZERO), Some(Rate(2.5)));
/// ```
#[derive(Debug, Default)]
pub struct StatedLimits {
    servers: BTreeMap<ServerName, Stated>,
}

impl StatedLimits {
    /// Records the statement of a response. Returns whether the limit has changed.
    pub fn record_statement(
        &mut self,
        server: &ServerName,
        statement: LimitStatement,
        now: Time,
    ) -> bool {
        let previous = self.servers.get(server).map(|stated| stated.statement);
        if previous.is_none() && statement == LimitStatement::Unlimited {
            return false;
        }
        let stated = Stated {
            statement,
            stated_at: now,
        };
        self.servers.insert(server.clone(), stated);
        previous != Some(statement)
    }

    /// Rate that a server takes from all instances together; `None` if it states none.
    pub fn limit(&self, server: &ServerName, now: Time) -> Option<Rate> {
        let stated = self.servers.get(server)?;
        match stated.statement {
            LimitStatement::Limited(rate) if now - stated.stated_at < STATEMENT_TTL => Some(rate),
            _ => None,
        }
    }

    /// Number of servers that state a limit.
    pub fn limited_count(&self, now: Time) -> usize {
        let servers = self.servers.keys();
        servers
            .filter(|server| self.limit(server, now).is_some())
            .count()
    }

    /// Removes servers that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&ServerName) -> bool) {
        self.servers.retain(|server, _| keep(server));
    }
}
