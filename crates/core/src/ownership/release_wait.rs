//! How long the old owner of a scope may still run requests.

use {
    super::{Ack, LeaseDurations, Member, ProtocolRules},
    crate::{
        id::{DomainName, Revision},
        table::{DomainState, Fencing, ServerRow, Table},
        time::Time,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The spans that the waits are made of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct WaitLimits {
    /// The fixed ones.
    pub durations: LeaseDurations,
    /// The service's grace.
    pub grace: Duration,
    /// The longest that a request of the service may take.
    pub deadline: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct InstanceWait {
    /// When its leave to route under the old revision has surely run out.
    lease_end: Time,
    /// When its acknowledgement was heard; for an owner that does not check
    /// epochs it does not matter when, and it is the begin of the wait.
    acked_at: Option<Time>,
}

/// The instances that could still route a released scope to its old owner.
///
/// An instance that neither acknowledges nor answers is waited for until its
/// leave has run out. The leave rests on a read of the platform that was begun
/// before the release was committed, and so before this mover saw it: the span
/// is counted from then, on the mover's own clock.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct ReleaseWait {
    /// The release: revisions from this one on show it.
    pub release_revision: Revision,
    /// Whether the old owner checks epochs.
    pub is_fenced: bool,
    /// The old owner has accepted the revocation.
    pub is_revoked: bool,
    /// The old owner's process is surely gone.
    pub is_owner_terminated: bool,
    seen_at: Time,
    owner_domain: Option<DomainName>,
    limits: WaitLimits,
    members: BTreeMap<Member, InstanceWait>,
    /// When leases given by instances that are listed no more have run out.
    unlisted_leases_end: Time,
}

impl ReleaseWait {
    /// Waits from when the release was seen; `owner` is the old owner's row, if
    /// the table still has it.
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

    /// Takes over the instances of the table. One whose row is gone has either
    /// left, and stopped before, or was expelled, and its leave had run out
    /// before the row went; one in a domain that an operator has stated to be
    /// lost runs no more.
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

    /// Counts an acknowledgement of a listed start of an instance.
    pub fn ack<R: ProtocolRules>(&mut self, ack: &Ack, now: Time) {
        let at = if self.is_fenced { now } else { self.seen_at };
        for (member, wait) in &mut self.members {
            let is_same = member.instance == ack.instance;
            if is_same && R::accepts_ack(ack, member.incarnation, self.release_revision) {
                wait.acked_at.get_or_insert(at);
            }
        }
    }

    /// The instances that have not acknowledged.
    pub fn unacknowledged(&self) -> Vec<Member> {
        let unacknowledged = self.members.iter().filter(|(_, w)| w.acked_at.is_none());
        unacknowledged.map(|(member, _)| member.clone()).collect()
    }

    /// Whether the old owner surely runs nothing more of the scope.
    pub fn is_over<R: ProtocolRules>(&self, now: Time) -> bool {
        let is_stopped = self.is_fenced && (self.is_revoked || self.is_owner_terminated);
        is_stopped || now >= self.end::<R>()
    }

    /// When time alone ends the wait, given what was heard so far.
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

    /// A silent owner that checks epochs stops with its lease: the last one
    /// under the old revision was given before the giver acknowledged, and
    /// never outlives the giver's own leave.
    fn end_fenced<R: ProtocolRules>(&self, wait: &InstanceWait) -> Time {
        let lease = R::add_clock_margin(self.limits.durations.server);
        let acked_at = wait.acked_at.map(|at| at + lease);
        acked_at.map_or(wait.lease_end, |end| end.min(wait.lease_end))
    }

    /// An owner that does not check is done with what an instance sent when the
    /// instance says so; otherwise it is given the service's deadline for the
    /// last request that could be written.
    fn end_unfenced<R: ProtocolRules>(&self, wait: &InstanceWait) -> Time {
        let last = wait.lease_end + R::add_clock_margin(self.limits.deadline);
        wait.acked_at.map_or(last, |at| at.min(last))
    }
}

fn is_domain_lost(table: &Table, domain: &DomainName) -> bool {
    let row = table.domain(domain);
    row.is_some_and(|row| matches!(row.state, DomainState::Lost { .. }))
}
