//! What rows of servers an operator may write.

use {
    super::Rules,
    crate::table::{Row, ServerRow, ServerState, TableError},
    std::ops::RangeInclusive,
};

/// Requests a second that a cap may allow.
const RATE_CAP_PER_SECOND: RangeInclusive<u32> = 1..=1_000_000;
/// Connections that a server may bear.
const CONNECTIONS: RangeInclusive<u32> = 1..=65_536;

impl Rules<'_> {
    pub(super) fn check_server(&self, row: &ServerRow) -> Result<(), TableError> {
        if self.edited.service(&row.service).is_none() {
            return self.reject("service", row.service.as_str(), "a service of the table");
        }
        if self.edited.domain(&row.domain).is_none() {
            return self.reject(
                "domain",
                row.domain.as_str(),
                "a failure domain of the table",
            );
        }
        if let Some(cap) = row.rate_cap {
            self.check_range("cap", cap, RATE_CAP_PER_SECOND)?;
        }
        self.check_range("connections", row.max_connections, CONNECTIONS)?;
        if row.address.port() == 0 || row.address.ip().is_unspecified() {
            return self.reject("address", &row.address.to_string(), "an address and port");
        }
        self.check_unique_address(row)?;
        self.check_server_immutable(row)?;
        if let Some(Row::Server(before)) = self.edited.before(self.key) {
            self.check_active_server_remains(before)?;
        }
        self.check_active_server_remains(row)
    }

    fn check_unique_address(&self, row: &ServerRow) -> Result<(), TableError> {
        let same = self.edited.rows().find_map(|other| match other {
            Row::Server(other) if other.name != row.name && other.address == row.address => {
                Some(&other.name)
            }
            _ => None,
        });
        match same {
            None => Ok(()),
            Some(name) => {
                let found = format!("{} as server/{name}", row.address);
                self.reject("address", &found, "an address no other server has")
            }
        }
    }

    /// A server that owns shards stays the same process in the same place: an
    /// instance with an older row would go on sending to the old address, and
    /// two processes would run requests of the same keys. A shift of the domain
    /// or of fencing would change whom a move under way has to wait for.
    fn check_server_immutable(&self, row: &ServerRow) -> Result<(), TableError> {
        let Some(Row::Server(before)) = self.edited.before(self.key) else {
            return Ok(());
        };
        if !self.edited.owns(&row.name) {
            return Ok(());
        }
        let allowed = "the same while the server owns shards: drain it";
        if before.address != row.address {
            return self.reject("address", &row.address.to_string(), allowed);
        }
        if before.service != row.service {
            return self.reject("service", row.service.as_str(), allowed);
        }
        if before.domain != row.domain {
            return self.reject("domain", row.domain.as_str(), allowed);
        }
        if before.fencing != row.fencing {
            return self.reject("fenced", "changed", allowed);
        }
        if row.state == ServerState::Retired {
            return self.reject(
                "state",
                "retired",
                "active or draining while it owns shards",
            );
        }
        Ok(())
    }

    /// A service with shards keeps a server that may own them; otherwise its
    /// keys would have nowhere to go.
    pub(super) fn check_active_server_remains(&self, row: &ServerRow) -> Result<(), TableError> {
        let has_shards = !self.edited.assignment_rows(&row.service).is_empty();
        let service_remains = self.edited.service(&row.service).is_some();
        if !has_shards || !service_remains || !self.edited.active_servers(&row.service).is_empty() {
            return Ok(());
        }
        let found = format!("the last active server of service/{}", row.service);
        self.reject("state", &found, "another active server with a weight")
    }
}
