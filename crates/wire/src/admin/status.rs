//! JSON of an instance's status and of the rows that it knows.

use {
    super::VersionedRowWire,
    crate::row::InstanceWire,
    serde::{Deserialize, Serialize},
};

/// Rows of the table as of a revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RowsWire {
    /// Revision of the table.
    pub revision: u64,
    /// Whether the rows were just read from the platform. Otherwise they are the last ones
    /// known to this instance.
    pub fresh: bool,
    /// Rows, sorted by key.
    pub rows: Vec<VersionedRowWire>,
}

/// Status of an instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StatusWire {
    /// Name of the instance.
    pub instance: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Revision by which this instance routes requests.
    pub revision: u64,
    /// Latest revision of the table known to this instance.
    pub latest: u64,
    /// Whether `latest` and `instances` were just read from the platform.
    pub fresh: bool,
    /// All instances in the table. Their revisions date from when each of them wrote its
    /// row.
    pub instances: Vec<InstanceWire>,
}

/// Owner of a key, with the row that determines it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OwnerWire {
    /// Revision of the table that the result is based on.
    pub revision: u64,
    /// Name of the service.
    pub service: String,
    /// Hash of the key, 16 hexadecimal digits.
    pub hash: String,
    /// Scope that contains the key: `shard:NUMBER`, or `key:HASH` if the key has an
    /// assignment of its own.
    pub scope: String,
    /// Key of the row that holds the assignment.
    pub row: String,
    /// Version of that row.
    pub version: u64,
    /// Name of the server that owns the key.
    pub owner: String,
    /// Fencing token of the owner.
    pub epoch: u64,
    /// Next owner, while the scope is being released.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to: Option<String>,
    /// Summary of the other fields in a sentence, for operators.
    pub why: String,
}
