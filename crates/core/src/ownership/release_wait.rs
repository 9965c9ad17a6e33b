//! How long the old owner of a scope may still run requests.

use {
    super::{Ack, Member, Rules, Spans},
    crate::{
        id::{DomainName, Revision},
        table::{DomainState, Fencing, ServerRow, Table},
        time::Time,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The spans that the waits are made of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Limits {
    /// The fixed ones.
    pub spans: Spans,
    /// The service's grace.
    pub grace: Duration,
    /// The longest that a request of the service may take.
    pub deadline: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Wait {
    /// When its leave to route under the old revision has surely run out.
    lapse: Time,
    /// When its acknowledgement was heard; for an owner that does not check
    /// epochs it does not matter when, and it is the begin of the wait.
    acked: Option<Time>,
}

/// The instances that could still route a released scope to its old owner.
///
/// An instance that neither acknowledges nor answers is waited for until its
/// leave has run out. The leave rests on a read of the platform that was begun
/// before the release was committed, and so before this mover saw it: the span
/// is counted from then, on the mover's own clock.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Waits {
    /// The release: revisions from this one on show it.
    pub since: Revision,
    /// Whether the old owner checks epochs.
    pub fenced: bool,
    /// The old owner has accepted the revocation.
    pub revoked: bool,
    /// The old owner's process is surely gone.
    pub gone: bool,
    seen: Time,
    domain: Option<DomainName>,
    limits: Limits,
    members: BTreeMap<Member, Wait>,
    /// When leases given by instances that are listed no more have run out.
    quiet: Time,
}

impl Waits {
    /// Waits from when the release was seen; `owner` is the old owner's row, if
    /// the table still has it.
    pub fn new<R: Rules>(
        since: Revision,
        seen: Time,
        owner: Option<&ServerRow>,
        limits: Limits,
    ) -> Self {
        Self {
            since,
            revoked: false,
            gone: false,
            seen,
            fenced: owner.is_some_and(|row| row.fencing == Fencing::Checked),
            domain: owner.map(|row| row.domain.clone()),
            limits,
            members: BTreeMap::new(),
            quiet: seen + R::wait(limits.spans.lease),
        }
    }

    /// Takes over the instances of the table. One whose row is gone has either
    /// left, and stopped before, or was expelled, and its leave had run out
    /// before the row went; one in a domain that an operator has stated to be
    /// lost runs no more.
    pub fn list<R: Rules>(&mut self, table: &Table, now: Time) {
        let mut listed = BTreeMap::new();
        for row in table.instances() {
            if is_lost(table, &row.domain) {
                continue;
            }
            let member = Member::of(row);
            let new = Wait {
                lapse: self.lapse::<R>(&row.domain),
                acked: None,
            };
            let wait = self.members.remove(&member).unwrap_or(new);
            listed.insert(member, wait);
        }
        let went = self.members.values().any(|wait| wait.acked.is_none());
        if self.fenced && went {
            self.quiet = now + R::wait(self.limits.spans.lease);
        }
        self.members = listed;
        self.gone |= self.domain.as_ref().is_some_and(|d| is_lost(table, d));
    }

    fn lapse<R: Rules>(&self, domain: &DomainName) -> Time {
        let confirm = self.limits.spans.confirm;
        let other = self.domain.as_ref().is_some_and(|own| own != domain);
        let span = match other {
            true => confirm,
            false => confirm.max(self.limits.grace),
        };
        self.seen + R::wait(span)
    }

    /// Counts an acknowledgement of a listed start of an instance.
    pub fn ack<R: Rules>(&mut self, ack: &Ack, now: Time) {
        let at = if self.fenced { now } else { self.seen };
        for (member, wait) in &mut self.members {
            let same = member.instance == ack.instance;
            if same && R::acked(ack, member.incarnation, self.since) {
                wait.acked.get_or_insert(at);
            }
        }
    }

    /// The instances that have not acknowledged.
    pub fn missing(&self) -> Vec<Member> {
        let missing = self.members.iter().filter(|(_, w)| w.acked.is_none());
        missing.map(|(member, _)| member.clone()).collect()
    }

    /// Whether the old owner surely runs nothing more of the scope.
    pub fn is_over<R: Rules>(&self, now: Time) -> bool {
        let stopped = self.fenced && (self.revoked || self.gone);
        stopped || now >= self.end::<R>()
    }

    /// When time alone ends the wait, given what was heard so far.
    pub fn end<R: Rules>(&self) -> Time {
        let ends = self.members.values().map(|wait| match self.fenced {
            true => self.end_fenced::<R>(wait),
            false => self.end_unfenced::<R>(wait),
        });
        let floor = if self.fenced { self.quiet } else { self.seen };
        ends.max().unwrap_or(floor).max(floor)
    }

    /// A silent owner that checks epochs stops with its lease: the last one
    /// under the old revision was given before the giver acknowledged, and
    /// never outlives the giver's own leave.
    fn end_fenced<R: Rules>(&self, wait: &Wait) -> Time {
        let lease = R::wait(self.limits.spans.lease);
        let acked = wait.acked.map(|at| at + lease);
        acked.map_or(wait.lapse, |end| end.min(wait.lapse))
    }

    /// An owner that does not check is done with what an instance sent when the
    /// instance says so; otherwise it is given the service's deadline for the
    /// last request that could be written.
    fn end_unfenced<R: Rules>(&self, wait: &Wait) -> Time {
        let last = wait.lapse + R::wait(self.limits.deadline);
        wait.acked.map_or(last, |at| at.min(last))
    }
}

fn is_lost(table: &Table, domain: &DomainName) -> bool {
    let row = table.domain(domain);
    row.is_some_and(|row| matches!(row.state, DomainState::Lost { .. }))
}
