//! What an instance says of itself and of the table.

use {
    super::VersionedRowWire,
    crate::row::InstanceWire,
    serde::{Deserialize, Serialize},
};

/// Rows as of a revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RowsWire {
    /// The revision.
    pub revision: u64,
    /// Whether the platform was just read; if not, the rows are the last ones
    /// that this instance knows.
    pub fresh: bool,
    /// The rows, in the order of their keys.
    pub rows: Vec<VersionedRowWire>,
}

/// An instance's own account.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StatusWire {
    /// The instance's name.
    pub instance: String,
    /// Its failure domain.
    pub domain: String,
    /// The revision that requests are routed by here.
    pub revision: u64,
    /// The last revision of the table that this instance knows of.
    pub latest: u64,
    /// Whether the platform was just read for `latest` and `instances`.
    pub fresh: bool,
    /// Instances of the table; their revisions are those of the time when they
    /// wrote their rows.
    pub instances: Vec<InstanceWire>,
}

/// Who owns a key, and why.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OwnerWire {
    /// The revision that this is the answer of.
    pub revision: u64,
    /// The service.
    pub service: String,
    /// The key's hash, 16 hexadecimal digits.
    pub hash: String,
    /// `shard:NUMBER`, or `key:HASH` if the key was taken out of its shard.
    pub scope: String,
    /// The row that says so.
    pub row: String,
    /// The version of that row.
    pub version: u64,
    /// The owner.
    pub owner: String,
    /// The owner's fencing token.
    pub epoch: u64,
    /// The next owner, while the scope is being released.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to: Option<String>,
    /// The above in a sentence.
    pub why: String,
}
