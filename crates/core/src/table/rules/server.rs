//! What rows of servers an operator may write.

use {
    super::Rules,
    crate::table::{Row, ServerRow, ServerState, TableError},
    std::ops::RangeInclusive,
};

/// Requests a second that a cap may allow.
const CAP: RangeInclusive<u32> = 1..=1_000_000;
/// Connections that a server may bear.
const CONNECTIONS: RangeInclusive<u32> = 1..=65_536;

impl Rules<'_> {
    pub(super) fn server(&self, row: &ServerRow) -> Result<(), TableError> {
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
    pub(super) fn keeps_serving(&self, row: &ServerRow) -> Result<(), TableError> {
        let owned = !self.view.assignment_rows(&row.service).is_empty();
        let kept = self.view.service(&row.service).is_some();
        if !owned || !kept || !self.view.serving(&row.service).is_empty() {
            return Ok(());
        }
        let found = format!("the last active server of service/{}", row.service);
        self.broken("state", &found, "another active server with a weight")
    }
}
