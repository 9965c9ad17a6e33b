//! Questions between instances, and the answer to an acknowledgement.

use {
    crate::{WireError, error::parse_field, peer_capnp},
    citron_core::{
        id::{Incarnation, InstanceId, Revision, ServerName},
        membership::Member,
    },
};

/// Who asks for changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Asker {
    /// The asking instance.
    pub instance: InstanceId,
    /// Which start of it.
    pub incarnation: Incarnation,
}

impl Asker {
    /// Writes the asker into a message.
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

/// Asks whether a revision is settled for one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcknowledgeRequest {
    /// The server that scopes are moving away from.
    pub server: ServerName,
    /// The revision that stopped them.
    pub revision: Revision,
}

impl AcknowledgeRequest {
    /// Writes the question into a message.
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

/// The answer; it counts only for the start of the instance that is listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AcknowledgeResponse {
    /// Which start of the instance answers.
    pub incarnation: Incarnation,
    /// Whether the revision is in force and nothing older is in flight.
    pub settled: bool,
}

impl AcknowledgeResponse {
    /// Writes the answer into a message.
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

/// A text field of a message.
pub(crate) fn read_text(field: capnp::Result<capnp::text::Reader<'_>>) -> Result<&str, WireError> {
    let read = field.and_then(|text| text.to_str().map_err(capnp::Error::from));
    read.map_err(|error| WireError::MalformedMessage(error.to_string()))
}
