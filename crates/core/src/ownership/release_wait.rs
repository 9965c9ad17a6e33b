//! The wait until the old owner of a released scope has stopped running its requests.

use {
    super::{Ack, LeaseDurations, Member, ProtocolRules},
    crate::{
        id::{DomainName, Revision},
        table::{DomainState, Fencing, ServerRow, Table},
        time::Time,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Durations that the wait is computed from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct WaitLimits {
    /// The fixed lease durations.
    pub durations: LeaseDurations,
    /// The service's grace period.
    pub grace: Duration,
    /// The service's request deadline: the longest that one of its requests may run.
    pub deadline: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct InstanceWait {
    /// When the instance's routing lease under the old revision has certainly ended.
    lease_end: Time,
    /// When the acknowledgement was received. For an owner that does not check epochs the
    /// time does not matter, and it is set to the start of the wait.
    acked_at: Option<Time>,
}

/// Wait for the instances that may still route a released scope to its old owner.
///
/// An instance that neither acknowledges nor answers is waited for until its routing
/// lease has ended. The lease is based on a platform read that started before the release
/// was committed, and therefore before this mover saw the release, so the duration is
/// counted from then on the mover's own clock.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct ReleaseWait {
    /// The first revision that shows the release.
    pub release_revision: Revision,
    /// Whether the old owner checks epochs.
    pub is_fenced: bool,
    /// Whether the old owner has accepted the revocation.
    pub is_revoked: bool,
    /// Whether the old owner's process has certainly ended.
    pub is_owner_terminated: bool,
    seen_at: Time,
    owner_domain: Option<DomainName>,
    limits: WaitLimits,
    members: BTreeMap<Member, InstanceWait>,
    /// When server leases have ended that were granted by instances which are no longer
    /// listed.
    unlisted_leases_end: Time,
}

impl ReleaseWait {
    /// Starts the wait at `seen_at`, when the release was seen. `owner` is the row of the
    /// old owner, if the table still has it.
    pub fn new<R: ProtocolRules>(
        release_revision: Revision,
        seen_at: Time,
        owner: Option<&ServerRow>,
        limits: WaitLimits,
    ) -> Self {
        Self {
            release_revision,
            is_revoked: false,
            is_owner_terminated: false,
            seen_at,
            is_fenced: owner.is_some_and(|row| row.fencing == Fencing::Checked),
            owner_domain: owner.map(|row| row.domain.clone()),
            limits,
            members: BTreeMap::new(),
            unlisted_leases_end: seen_at + R::add_clock_margin(limits.durations.server),
        }
    }

    /// Updates the instances to wait for from the table. An instance whose row is gone
    /// has either stopped before it removed the row, or was expelled and its lease had
    /// ended before the row was removed. An instance in a failure domain that an operator
    /// has declared lost no longer runs.
    pub fn update_members<R: ProtocolRules>(&mut self, table: &Table, now: Time) {
        let mut listed = BTreeMap::new();
        for row in table.instances() {
            if is_domain_lost(table, &row.domain) {
                continue;
            }
            let member = Member::from_row(row);
            let new = InstanceWait {
                lease_end: self.routing_lease_end::<R>(&row.domain),
                acked_at: None,
            };
            let wait = self.members.remove(&member).unwrap_or(new);
            listed.insert(member, wait);
        }
        let departed = self.members.values().any(|wait| wait.acked_at.is_none());
        if self.is_fenced && departed {
            self.unlisted_leases_end = now + R::add_clock_margin(self.limits.durations.server);
        }
        self.members = listed;
        self.is_owner_terminated |= self
            .owner_domain
            .as_ref()
            .is_some_and(|d| is_domain_lost(table, d));
    }

    fn routing_lease_end<R: ProtocolRules>(&self, domain: &DomainName) -> Time {
        let routing = self.limits.durations.routing;
        let is_elsewhere = self.owner_domain.as_ref().is_some_and(|own| own != domain);
        let lease = match is_elsewhere {
            true => routing,
            false => routing.max(self.limits.grace),
        };
        self.seen_at + R::add_clock_margin(lease)
    }

    /// Records an acknowledgement from a listed incarnation.
    pub fn ack<R: ProtocolRules>(&mut self, ack: &Ack, now: Time) {
        let at = if self.is_fenced { now } else { self.seen_at };
        for (member, wait) in &mut self.members {
            let is_same = member.instance == ack.instance;
            if is_same && R::accepts_ack(ack, member.incarnation, self.release_revision) {
                wait.acked_at.get_or_insert(at);
            }
        }
    }

    /// Returns the listed instances that have not acknowledged.
    pub fn unacknowledged(&self) -> Vec<Member> {
        let unacknowledged = self.members.iter().filter(|(_, w)| w.acked_at.is_none());
        unacknowledged.map(|(member, _)| member.clone()).collect()
    }

    /// Returns whether the old owner is certain to run no request of the scope any more.
    pub fn is_over<R: ProtocolRules>(&self, now: Time) -> bool {
        let is_stopped = self.is_fenced && (self.is_revoked || self.is_owner_terminated);
        is_stopped || now >= self.end::<R>()
    }

    /// Returns when the wait ends by time alone, given the acknowledgements so far.
    pub fn end<R: ProtocolRules>(&self) -> Time {
        let ends = self.members.values().map(|wait| match self.is_fenced {
            true => self.end_fenced::<R>(wait),
            false => self.end_unfenced::<R>(wait),
        });
        let floor = if self.is_fenced {
            self.unlisted_leases_end
        } else {
            self.seen_at
        };
        ends.max().unwrap_or(floor).max(floor)
    }

    /// End of the wait for one instance and an owner that checks epochs: such an owner,
    /// if it does not answer, stops when its lease ends. The last lease under the old
    /// revision was granted before the granting instance acknowledged, and never outlasts
    /// that instance's own routing lease.
    fn end_fenced<R: ProtocolRules>(&self, wait: &InstanceWait) -> Time {
        let lease = R::add_clock_margin(self.limits.durations.server);
        let acked_at = wait.acked_at.map(|at| at + lease);
        acked_at.map_or(wait.lease_end, |end| end.min(wait.lease_end))
    }

    /// End of the wait for one instance and an owner that does not check epochs. An
    /// acknowledgement states that all requests which the instance sent are answered.
    /// Without one, the last request that the instance could send is given the service's
    /// deadline.
    fn end_unfenced<R: ProtocolRules>(&self, wait: &InstanceWait) -> Time {
        let last = wait.lease_end + R::add_clock_margin(self.limits.deadline);
        wait.acked_at.map_or(last, |at| at.min(last))
    }
}

fn is_domain_lost(table: &Table, domain: &DomainName) -> bool {
    let row = table.domain(domain);
    row.is_some_and(|row| matches!(row.state, DomainState::Lost { .. }))
}
