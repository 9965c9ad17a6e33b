//! Encoding of an instance's status in a message.

use {
    super::requests::read_text,
    crate::{WireError, error::parse_field, peer_capnp::status},
    citron_core::{
        id::{Incarnation, Revision},
        membership::{InstanceStatus, RemainingLease},
    },
    std::time::Duration,
};

/// Writes a status to a message.
pub fn write_status(core: &InstanceStatus, mut builder: status::Builder<'_>) {
    builder.set_instance(core.instance.as_str());
    builder.set_incarnation(core.incarnation.0);
    builder.set_domain(core.domain.as_str());
    builder.set_revision(core.revision.0);
    builder.set_leaving(core.is_leaving);
    if let Some(remaining) = &core.remaining {
        builder.set_confirmed(true);
        builder.set_remaining(micros(remaining.any_domain));
        builder.set_age(micros(remaining.age));
    }
}

/// Reads a status from a message.
///
/// # Errors
/// [`WireError`] if a name is not valid or the message is malformed.
pub fn read_status(reader: status::Reader<'_>) -> Result<InstanceStatus, WireError> {
    let remaining = RemainingLease {
        any_domain: Duration::from_micros(reader.get_remaining()),
        age: Duration::from_micros(reader.get_age()),
    };
    Ok(InstanceStatus {
        instance: parse_field("instance", read_text(reader.get_instance())?)?,
        incarnation: Incarnation(reader.get_incarnation()),
        domain: parse_field("domain", read_text(reader.get_domain())?)?,
        revision: Revision(reader.get_revision()),
        remaining: reader.get_confirmed().then_some(remaining),
        is_leaving: reader.get_leaving(),
    })
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
