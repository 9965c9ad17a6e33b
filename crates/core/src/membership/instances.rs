//! Membership of instances in the table.

use {
    super::{JoinError, Member},
    crate::{
        id::{InstanceId, Revision},
        ownership::{LeaseDurations, ProductionRules, ProtocolRules},
        table::{Commit, InstanceRow, InstanceState, Row, RowKey, Table, Write},
        time::Time,
    },
    std::{collections::BTreeMap, marker::PhantomData, time::Duration},
};

/// Joining, leaving and expulsion of instances, by their rows in the table.
///
/// A mover waits for every listed incarnation of an instance, and for no other. An
/// incarnation must therefore be listed before it routes by its own platform reads. Its
/// row may be removed only once it routes no more: it has stopped, or it was marked as
/// expelled and its routing lease has ended since. An expelled incarnation that reads its
/// row stops at once.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Membership<R: ProtocolRules = ProductionRules> {
    durations: LeaseDurations,
    /// When each expulsion was first seen in the table.
    expelled: BTreeMap<Member, Time>,
    rules: PhantomData<R>,
}

impl<R: ProtocolRules> Membership<R> {
    /// Creates a membership that has seen no table yet.
    pub fn new(durations: LeaseDurations) -> Self {
        Self {
            durations,
            expelled: BTreeMap::new(),
            rules: PhantomData,
        }
    }

    /// Records the expulsions that the table shows. To be called with each newer table.
    pub fn observe(&mut self, table: &Table, now: Time) {
        let mut expelled = BTreeMap::new();
        for row in table.instances() {
            if row.state == InstanceState::Expelled {
                let member = Member::from_row(row);
                let at = self.expelled.get(&member).copied().unwrap_or(now);
                expelled.insert(member, at);
            }
        }
        self.expelled = expelled;
    }

    /// Returns whether an incarnation is listed, and so may route by its own platform
    /// reads under this table. An unlisted one may route only by relayed leases.
    pub fn is_listed(table: &Table, member: &Member) -> bool {
        let row = instance(table, &member.instance).map(|(_, row)| row);
        row.is_some_and(|row| {
            row.incarnation == member.incarnation && row.state != InstanceState::Expelled
        })
    }

    /// Returns the commit that lists an instance.
    ///
    /// # Errors
    ///
    /// [`JoinError`] if another incarnation has the id and may still route.
    pub fn join(&self, table: &Table, row: InstanceRow, now: Time) -> Result<Commit, JoinError> {
        let Some((version, old)) = instance(table, &row.id) else {
            return Ok(write(&row.id.clone(), Revision(0), Some(row)));
        };
        let is_same = old.incarnation == row.incarnation;
        let found = old.incarnation;
        if old.state != InstanceState::Expelled && !is_same {
            let instance = row.id;
            return Err(JoinError::IdInUse { instance, found });
        }
        if old.state == InstanceState::Expelled
            && !self.is_lease_over(table, &Member::from_row(old), now)
        {
            let instance = row.id;
            return Err(JoinError::LeaseNotExpired { instance, found });
        }
        Ok(write(&row.id.clone(), version, Some(row)))
    }

    /// Returns the commit that marks an incarnation as leaving: it takes no new
    /// connections from callers.
    pub fn leave(table: &Table, member: &Member) -> Option<Commit> {
        Self::set_state(table, member, InstanceState::Leaving)
    }

    /// Returns the commit that removes the row of an incarnation which has stopped
    /// routing.
    pub fn remove(table: &Table, member: &Member) -> Option<Commit> {
        let (version, row) = instance(table, &member.instance)?;
        let is_same = row.incarnation == member.incarnation;
        is_same.then(|| write(&member.instance, version, None))
    }

    /// Returns the commit that expels an incarnation, for instance one that is certainly
    /// lost.
    pub fn expel(table: &Table, member: &Member) -> Option<Commit> {
        Self::set_state(table, member, InstanceState::Expelled)
    }

    /// Returns the commits that remove expelled incarnations whose routing lease has
    /// ended.
    pub fn remove_expelled(&self, table: &Table, now: Time) -> Vec<Commit> {
        let is_over = |member: &&Member| self.is_lease_over(table, member, now);
        let members = self.expelled.keys().filter(is_over);
        members.filter_map(|m| Self::remove(table, m)).collect()
    }

    fn is_lease_over(&self, table: &Table, member: &Member, now: Time) -> bool {
        let longest = longest_lease(table, self.durations);
        let expelled_at = self.expelled.get(member);
        expelled_at.is_some_and(|&at| now >= at + R::expulsion_wait(longest))
    }

    fn set_state(table: &Table, member: &Member, state: InstanceState) -> Option<Commit> {
        let (version, row) = instance(table, &member.instance)?;
        let is_due = row.incarnation == member.incarnation
            && row.state != state
            && row.state != InstanceState::Expelled;
        let row = InstanceRow {
            state,
            ..row.clone()
        };
        is_due.then(|| write(&member.instance, version, Some(row)))
    }
}

/// Returns the longest time for which any instance may route after its last platform
/// read.
pub fn longest_lease(table: &Table, durations: LeaseDurations) -> Duration {
    let graces = table.services().map(|row| row.grace);
    graces.fold(durations.routing, Duration::max)
}

fn instance<'a>(table: &'a Table, id: &InstanceId) -> Option<(Revision, &'a InstanceRow)> {
    let found = table.get(&RowKey::Instance(id.clone()))?;
    match &found.value {
        Row::Instance(row) => Some((found.version, row)),
        _ => None,
    }
}

fn write(id: &InstanceId, expect: Revision, row: Option<InstanceRow>) -> Commit {
    let write = Write {
        key: RowKey::Instance(id.clone()),
        expect,
        row: row.map(Row::Instance),
    };
    Commit {
        writes: vec![write],
        history: None,
    }
}
