//! Leave that an instance has passed on to others.

use {
    super::{Confirmation, Member, Remaining},
    crate::{
        id::Revision,
        ownership::{Rules, Spans, Strict},
        time::Time,
    },
    std::{collections::BTreeMap, marker::PhantomData, time::Duration},
};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Given {
    /// The oldest revision that the asker may still have in force.
    revision: Revision,
    until: Time,
}

/// What an instance gave to starts that the table does not list.
///
/// A mover waits for the listed ones only. One that started while the platform
/// was down routes on relayed time, unknown to the mover: if its giver
/// acknowledged a release meanwhile, the scope would change hands while the
/// unlisted one still routes to the old owner. So the giver holds back its own
/// acknowledgement until the unlisted ones have acknowledged to it, or until
/// what it gave them has run out.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Relays<R: Rules = Strict> {
    spans: Spans,
    unlisted: BTreeMap<Member, Given>,
    rules: PhantomData<R>,
}

impl<R: Rules> Relays<R> {
    /// Nothing was given yet.
    pub fn new(spans: Spans) -> Self {
        Self {
            spans,
            unlisted: BTreeMap::new(),
            rules: PhantomData,
        }
    }

    /// What an asker is given of the confirmation of `revision`, the map in
    /// force here; `longest` is the longest leave of any service.
    pub fn give(
        &mut self,
        asker: &Member,
        listed: bool,
        (revision, confirmation): (Revision, &Confirmation),
        longest: Duration,
        now: Time,
    ) -> Option<Remaining> {
        self.unlisted.retain(|_, given| now < given.until);
        let left = confirmation.remaining_by::<R>(now, self.spans)?;
        if !listed {
            let end = confirmation.end(true, longest);
            let until = now + R::wait(end - now);
            self.note(asker, Given { revision, until });
        }
        Some(left)
    }

    /// An earlier answer may be all that the asker has, as the later may be
    /// lost: the older revision stays until the asker says otherwise.
    fn note(&mut self, asker: &Member, new: Given) {
        let given = self.unlisted.entry(asker.clone()).or_insert(new);
        given.until = given.until.max(new.until);
    }

    /// An unlisted asker has acknowledged a revision, as to a mover.
    pub fn acked(&mut self, asker: &Member, revision: Revision) {
        if let Some(given) = self.unlisted.get_mut(asker) {
            given.revision = given.revision.max(revision);
        }
    }

    /// Whether nobody routes on leave from here under a revision before this.
    pub fn settled(&self, revision: Revision, now: Time) -> bool {
        let mut given = self.unlisted.values();
        !given.any(|given| R::holds_back(given.revision, revision, given.until, now))
    }
}
