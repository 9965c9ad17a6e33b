//! What the instances last told each other about their demand.

use {
    super::{Demand, Rate, SlotShare, share::share_of},
    crate::{
        id::{InstanceId, ServerName, Slots},
        table::ServerRow,
        time::Time,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// How long a report counts.
const FRESH: Duration = Duration::from_secs(2);

/// An instance's part of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Part {
    /// Of its slots.
    pub share: SlotShare,
    /// Of its cap, if it has one.
    pub cap: Option<Rate>,
}

#[derive(Debug)]
struct Heard {
    at: Time,
    demands: BTreeMap<ServerName, Demand>,
}

/// The demand of the other instances, by server, on the control thread.
///
/// An instance that is listed but not heard of may be cut off from this one and
/// go on sending. Its even part of each server is left to it, so that the two
/// sides of a partition together do not overload the server.
///
/// ```
/// use citron_core::{admission::{Demand, DemandBook, Rate}, id::Slots, time::Time};
/// let book = DemandBook::default();
/// let own = Demand { arrivals: Rate(100.0), answers: Rate(50.0) };
/// let server = "server-1".parse().unwrap();
/// assert_eq!(book.part(&server, Slots(4), None, own, 10, Time::ZERO).share.slots(), 0.4);
/// ```
#[derive(Debug, Default)]
pub struct DemandBook {
    heard: BTreeMap<InstanceId, Heard>,
}

impl DemandBook {
    /// Takes in a report; a later one replaces it.
    pub fn hear(&mut self, from: InstanceId, demands: BTreeMap<ServerName, Demand>, now: Time) {
        self.heard.retain(|_, heard| now - heard.at <= FRESH);
        self.heard.insert(from, Heard { at: now, demands });
    }

    /// This instance's part of a server, `listed` being how many instances there
    /// are, itself included.
    pub fn part(
        &self,
        server: &ServerName,
        slots: Slots,
        cap: Option<Rate>,
        own: Demand,
        listed: usize,
        now: Time,
    ) -> Part {
        let mut demands = vec![own];
        demands.extend(self.fresh(server, now));
        let listed = listed.max(demands.len());
        let known = demands.len() as f64 / listed as f64;
        let share = share_of(f64::from(slots.0) * known, &own, &demands);
        let cap = cap.map(|cap| Rate(cap.0 * known * own.part_of(&demands)));
        Part { share, cap }
    }

    /// The same with what the server's row says.
    pub fn part_of(&self, row: &ServerRow, own: Demand, listed: usize, now: Time) -> Part {
        let cap = row.cap.map(|cap| Rate(f64::from(cap)));
        self.part(&row.name, row.slots, cap, own, listed, now)
    }

    fn fresh(&self, server: &ServerName, now: Time) -> impl Iterator<Item = Demand> {
        let fresh = self
            .heard
            .values()
            .filter(move |heard| now - heard.at <= FRESH);
        fresh.map(|heard| heard.demands.get(server).copied().unwrap_or(Demand::NONE))
    }
}
