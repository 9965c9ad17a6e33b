//! Validation rules for rows of backend servers.

use {
    super::Rules,
    crate::table::{Row, ServerRow, ServerState, TableError},
    std::ops::RangeInclusive,
};

/// Allowed values of the rate cap, in requests per second.
const RATE_CAP_PER_SECOND: RangeInclusive<u32> = 1..=1_000_000;
/// Allowed values of a server's connection limit.
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

    /// Rejects changes to a server that owns shards which would replace its process. An
    /// instance with an older row would keep sending to the old address, and two
    /// processes would run requests for the same keys. A change of the failure domain or
    /// of fencing would change which instances a move in progress has to wait for.
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

    /// Rejects an edit that leaves a service with shards without a server that may own
    /// them, since its keys could not be moved anywhere.
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
