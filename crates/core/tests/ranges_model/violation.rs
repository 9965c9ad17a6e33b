//! Violations of the rules for keys that servers hold.

use {
    crate::planner::Claim,
    citron_core::{
        id::{Epoch, ServerName, StoreEra},
        ranges::KeyRange,
        time::Time,
    },
    std::fmt,
};

/// Planner that sent a grant, and the claim and era under which it did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Granter {
    pub planner: u64,
    pub claim: Claim,
    pub era: StoreEra,
}

/// Server that has or had keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    pub server: ServerName,
    pub epoch: Epoch,
    pub granter: Granter,
}

/// Rule that is broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Breach {
    /// Two servers hold the same keys.
    HeldTwice,
    /// A server takes keys on which another one still works, before the hold of that one would
    /// have run out.
    StillAtWork,
    /// A server takes keys under an epoch that is not above all under which others had them.
    LowEpoch,
}

/// First violation in a run.
#[derive(Debug, Clone)]
pub struct Violation {
    pub breach: Breach,
    pub range: KeyRange,
    /// The server that was there before, and the one that took the keys.
    pub holders: [Holder; 2],
    pub since: Time,
    /// End of the double hold, or of the work of the former holder; as far as it is known.
    pub until: Time,
    /// Whether each holder has begun requests on the keys since.
    pub has_begun: [bool; 2],
}

impl Violation {
    /// Clause of the rules that is broken; `None` for a double hold that is too short.
    fn clause(&self) -> Option<u32> {
        let span = self.until - self.since;
        match self.breach {
            Breach::HeldTwice if self.has_begun == [true, true] => Some(1),
            Breach::HeldTwice => (span.as_millis() > 500).then_some(3),
            Breach::LowEpoch => Some(2),
            Breach::StillAtWork => Some(3),
        }
    }
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Granter {
            planner,
            claim,
            era,
        } = self.granter;
        write!(
            f,
            "{} under {} of planner {planner}, claim {}, era {}",
            self.server, self.epoch, claim.0, era.0
        )
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.clause() {
            Some(clause) => write!(f, "clause {clause}: ")?,
            None => f.write_str("no clause: ")?,
        }
        let ([former, next], range, since) = (&self.holders, self.range, self.since);
        let overlap = (self.until - since).as_millis();
        match self.breach {
            Breach::HeldTwice => write!(
                f,
                "{range} is held by {former} and by {next} for {overlap} ms from {since}"
            ),
            Breach::StillAtWork => write!(
                f,
                "{next} takes {range} at {since}, {overlap} ms before the work ends at {former}"
            ),
            Breach::LowEpoch => {
                write!(f, "{next} takes {range} at {since} after {former} had it")
            }
        }
    }
}
