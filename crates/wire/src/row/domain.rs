//! JSON of failure domain rows.

use {
    crate::{WireError, error::parse_field},
    citron_core::{
        id::Incarnation,
        table::{Confirmer, DomainRow, DomainState},
    },
    serde::{Deserialize, Serialize},
};

/// An instance whose vote confirms revisions while its failure domain is cut off.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfirmerWire {
    /// Name of the instance.
    pub instance: String,
    /// Incarnation of the instance that may vote.
    pub incarnation: u64,
}

/// A failure domain; `lost_by` is present if an operator has declared it lost.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainWire {
    /// Name of the failure domain.
    pub name: String,
    /// Operator who declared the failure domain lost.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lost_by: Option<String>,
    /// Instances that vote while the failure domain is cut off from the platform.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub confirmers: Vec<ConfirmerWire>,
}

impl From<&DomainRow> for DomainWire {
    fn from(core: &DomainRow) -> Self {
        let lost_by = match &core.state {
            DomainState::Live => None,
            DomainState::Lost { declared_by } => Some(declared_by.clone()),
        };
        let confirmers = core.confirmers.iter().map(|confirmer| ConfirmerWire {
            instance: confirmer.instance.to_string(),
            incarnation: confirmer.incarnation.0,
        });
        Self {
            name: core.name.to_string(),
            lost_by,
            confirmers: confirmers.collect(),
        }
    }
}

impl TryFrom<ConfirmerWire> for Confirmer {
    type Error = WireError;

    fn try_from(wire: ConfirmerWire) -> Result<Self, WireError> {
        Ok(Self {
            instance: parse_field("confirmers.instance", &wire.instance)?,
            incarnation: Incarnation(wire.incarnation),
        })
    }
}

impl TryFrom<DomainWire> for DomainRow {
    type Error = WireError;

    fn try_from(wire: DomainWire) -> Result<Self, WireError> {
        let state = match wire.lost_by {
            None => DomainState::Live,
            Some(declared_by) => DomainState::Lost { declared_by },
        };
        let confirmers = wire.confirmers.into_iter().map(Confirmer::try_from);
        Ok(Self {
            name: parse_field("name", &wire.name)?,
            state,
            confirmers: confirmers.collect::<Result<_, _>>()?,
        })
    }
}
