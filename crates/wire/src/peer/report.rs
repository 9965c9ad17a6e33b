//! Encoding of an instance's demand and crash counts in a message.

use {
    super::requests::{Asker, read_text},
    crate::{
        WireError,
        error::{invalid_value, parse_field},
        peer_capnp::{crash_count, demand, lift, report},
    },
    citron_core::{
        admission::{Demand, Rate},
        crash::{CrashCount, CrashReport, Fingerprint, Lift},
        id::ServerName,
        membership::{InstanceReport, Member},
    },
    std::time::Duration,
};

/// Writes a report to a message.
pub fn write_report(core: &InstanceReport, mut builder: report::Builder<'_>) {
    Asker::from(&core.sender).write(builder.reborrow().init_sender());
    let mut demands = builder.reborrow().init_demands(core.demands.len() as u32);
    for (number, (server, demand)) in (0..).zip(&core.demands) {
        let mut builder = demands.reborrow().get(number);
        builder.set_server(server.to_string());
        builder.set_arrivals(demand.arrivals.0);
        builder.set_answers(demand.answers.0);
    }
    let CrashReport {
        number,
        counts,
        lifts,
        // All instances of this way of running report to each other.
        relayed: _,
    } = &core.crashes;
    builder.set_number(*number);
    let mut crashes = builder.reborrow().init_crashes(counts.len() as u32);
    for (number, count) in (0..).zip(counts) {
        let mut builder = crashes.reborrow().get(number);
        builder.set_fingerprint(count.fingerprint.0);
        builder.set_label(count.label.as_str());
        builder.set_crashes(count.crashes);
        builder.set_age(micros(count.age));
    }
    let mut lift_builders = builder.init_lifts(lifts.len() as u32);
    for (number, lift) in (0..).zip(lifts) {
        let mut builder = lift_builders.reborrow().get(number);
        builder.set_fingerprint(lift.fingerprint.0);
        builder.set_age(micros(lift.age));
    }
}

/// Reads a report from a message.
///
/// # Errors
/// [`WireError`] for the first value that is not valid.
pub fn read_report(reader: report::Reader<'_>) -> Result<InstanceReport, WireError> {
    let demands = reader.get_demands().map_err(malformed)?;
    let counts = reader.get_crashes().map_err(malformed)?;
    let lifts = reader.get_lifts().map_err(malformed)?;
    let asker = Asker::try_from(reader.get_sender().map_err(malformed)?)?;
    Ok(InstanceReport {
        sender: Member::from(asker),
        demands: demands.iter().map(read_demand).collect::<Result<_, _>>()?,
        crashes: CrashReport {
            number: reader.get_number(),
            counts: counts.iter().map(read_count).collect::<Result<_, _>>()?,
            lifts: lifts.iter().map(read_lift).collect(),
            relayed: Vec::new(),
        },
    })
}

fn read_demand(reader: demand::Reader<'_>) -> Result<(ServerName, Demand), WireError> {
    let server = parse_field("server", read_text(reader.get_server())?)?;
    let demand = Demand {
        arrivals: read_rate("arrivals", reader.get_arrivals())?,
        answers: read_rate("answers", reader.get_answers())?,
    };
    Ok((server, demand))
}

/// Validates a rate. A NaN would turn every sum of rates, and all shares computed from it,
/// into NaN.
fn read_rate(field: &str, rate: f64) -> Result<Rate, WireError> {
    match rate.is_finite() && rate >= 0.0 {
        true => Ok(Rate(rate)),
        false => Err(invalid_value(field, rate, "a number from 0")),
    }
}

fn read_count(reader: crash_count::Reader<'_>) -> Result<CrashCount, WireError> {
    Ok(CrashCount {
        fingerprint: Fingerprint(reader.get_fingerprint()),
        label: read_text(reader.get_label())?.to_string(),
        crashes: reader.get_crashes(),
        age: Duration::from_micros(reader.get_age()),
    })
}

fn read_lift(reader: lift::Reader<'_>) -> Lift {
    Lift {
        fingerprint: Fingerprint(reader.get_fingerprint()),
        age: Duration::from_micros(reader.get_age()),
    }
}

fn malformed(error: capnp::Error) -> WireError {
    WireError::MalformedMessage(error.to_string())
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
