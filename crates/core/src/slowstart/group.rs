//! The instances among which requests to cold servers are divided.

use {
    crate::id::{DomainName, InstanceId, ServerName},
    std::collections::BTreeMap,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Instances that may send without having a share, as not all have heard of those that
/// have just joined.
const STRANGERS: u32 = 2;
/// Instances that send to a cold server which shares its work with others.
const POOL_SHARERS: u32 = 2;

/// All instances that one instance has ever heard of, by name, with their failure
/// domains.
pub type Members = BTreeMap<InstanceId, DomainName>;

/// Divides the requests that cold servers may get.
///
/// Servers that share their work get requests of two instances of their own failure
/// domain. Owners of keys are asked by callers of all instances: as many instances as the
/// bound allows send one request a second each. Which ones they are follows from the names
/// of the server and of the instances, whether these are there or not: instances that are
/// cut off from the others must not take their shares over.
///
/// ```
/// use citron_core::slowstart::Group;
/// let members = [("n-1".parse().unwrap(), "east".parse().unwrap())].into();
/// let group = Group::new("n-1".parse().unwrap(), members, 1);
/// let server = "s-1".parse().unwrap();
/// assert_eq!(group.pool_share(&server, &"east".parse().unwrap(), 14), 4);
/// ```
#[derive(Debug)]
pub struct Group {
    me: InstanceId,
    members: Members,
    number: u64,
}

impl Group {
    /// The group of all members; `number` tells it from those that this instance had
    /// before.
    pub fn new(me: InstanceId, members: Members, number: u64) -> Self {
        Self {
            me,
            members,
            number,
        }
    }

    /// Which of an instance's groups it is.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Its members, this instance included.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Requests that this instance may send in any second to a cold server, in a
    /// `domain`, that shares its work with others and takes `most` in all.
    pub fn pool_share(&self, server: &ServerName, domain: &DomainName, most: u32) -> u32 {
        let near = |of: &DomainName| of == domain;
        match self.members.values().any(near) {
            true => self.share(server, near, POOL_SHARERS, most),
            false => self.share(server, |_| true, POOL_SHARERS, most),
        }
    }

    /// The same for a cold owner of keys.
    pub fn owner_share(&self, server: &ServerName, most: u32) -> u32 {
        let sharers = most.saturating_sub(STRANGERS).max(1);
        self.share(server, |_| true, sharers, most)
    }

    fn share(
        &self,
        server: &ServerName,
        takes_part: impl Fn(&DomainName) -> bool,
        sharers: u32,
        most: u32,
    ) -> u32 {
        if !self.members.get(&self.me).is_some_and(&takes_part) {
            return 0;
        }
        let members = self.members.iter();
        let members = members.filter(|(_, domain)| takes_part(domain));
        let own = score(server, &self.me);
        let (mut present, mut before) = (0, 0);
        for (name, _) in members {
            present += 1;
            before += u32::from(score(server, name) > own);
        }
        match before < sharers {
            true => most / (sharers.min(present) + STRANGERS),
            false => 0,
        }
    }
}

/// Rendezvous hashing: the instances with the highest scores have a share.
fn score(server: &ServerName, instance: &InstanceId) -> u64 {
    let seed = xxh3_64_with_seed(server.id().as_bytes(), 0);
    xxh3_64_with_seed(instance.as_str().as_bytes(), seed)
}
