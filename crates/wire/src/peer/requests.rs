//! Sender of a call, and the request and response of an acknowledgement.

use {
    crate::{WireError, error::parse_field, peer_capnp},
    citron_core::{
        id::{Incarnation, InstanceId, Revision, ServerName},
        membership::Member,
    },
};

/// Instance that sends a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Asker {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
}

impl Asker {
    /// Writes the sender to a message.
    pub fn write(&self, mut builder: peer_capnp::asker::Builder<'_>) {
        builder.set_instance(self.instance.as_str());
        builder.set_incarnation(self.incarnation.0);
    }
}

impl From<&Member> for Asker {
    fn from(core: &Member) -> Self {
        Self {
            instance: core.instance.clone(),
            incarnation: core.incarnation,
        }
    }
}

impl From<Asker> for Member {
    fn from(wire: Asker) -> Self {
        Self {
            instance: wire.instance,
            incarnation: wire.incarnation,
        }
    }
}

impl TryFrom<peer_capnp::asker::Reader<'_>> for Asker {
    type Error = WireError;

    fn try_from(reader: peer_capnp::asker::Reader<'_>) -> Result<Self, WireError> {
        Ok(Self {
            instance: parse_field("instance", read_text(reader.get_instance())?)?,
            incarnation: Incarnation(reader.get_incarnation()),
        })
    }
}

/// Request to acknowledge that a revision is settled for a backend server: that the revision
/// is in force, and that no request routed under an older one can still run at the server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcknowledgeRequest {
    /// Server that releases scopes.
    pub server: ServerName,
    /// Revision since which requests for these scopes are no longer routed to the server.
    pub revision: Revision,
}

impl AcknowledgeRequest {
    /// Writes the request to a message.
    pub fn write(&self, mut builder: peer_capnp::peer::acknowledge_params::Builder<'_>) {
        builder.set_server(self.server.to_string());
        builder.set_revision(self.revision.0);
    }
}

impl TryFrom<peer_capnp::peer::acknowledge_params::Reader<'_>> for AcknowledgeRequest {
    type Error = WireError;

    fn try_from(
        reader: peer_capnp::peer::acknowledge_params::Reader<'_>,
    ) -> Result<Self, WireError> {
        Ok(Self {
            server: parse_field("server", read_text(reader.get_server())?)?,
            revision: Revision(reader.get_revision()),
        })
    }
}

/// Response to an [`AcknowledgeRequest`]. It is valid only if its incarnation is the one
/// listed in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AcknowledgeResponse {
    /// Incarnation of the responding instance.
    pub incarnation: Incarnation,
    /// Whether the revision is in force and no request routed under an older one is in
    /// flight to the server.
    pub settled: bool,
}

impl AcknowledgeResponse {
    /// Writes the response to a message.
    pub fn write(&self, mut builder: peer_capnp::peer::acknowledge_results::Builder<'_>) {
        builder.set_incarnation(self.incarnation.0);
        builder.set_settled(self.settled);
    }
}

impl From<peer_capnp::peer::acknowledge_results::Reader<'_>> for AcknowledgeResponse {
    fn from(reader: peer_capnp::peer::acknowledge_results::Reader<'_>) -> Self {
        Self {
            incarnation: Incarnation(reader.get_incarnation()),
            settled: reader.get_settled(),
        }
    }
}

/// Reads a text field of a message.
pub(crate) fn read_text(field: capnp::Result<capnp::text::Reader<'_>>) -> Result<&str, WireError> {
    let read = field.and_then(|text| text.to_str().map_err(capnp::Error::from));
    read.map_err(|error| WireError::MalformedMessage(error.to_string()))
}
