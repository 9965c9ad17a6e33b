//! The instances among which requests to cold servers are divided.

use {
    crate::id::{DomainName, InstanceId, ServerName},
    std::collections::BTreeMap,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Instances that may send without having a share, as not all have heard of those that
/// have just joined.
const UNKNOWN_SENDERS: u32 = 2;
/// Instances that send to a cold server which shares its work with others.
const POOL_SENDERS: u32 = 2;

/// All instances that one instance has ever heard of, by name, with their failure
/// domains.
pub type GroupMembers = BTreeMap<InstanceId, DomainName>;

/// Divides the requests that cold servers may get.
///
/// Servers that share their work get requests of two instances of their own failure
/// domain. Owners of keys are asked by callers of all instances: as many instances as the
/// bound allows send one request a second each. Which ones they are follows from the names
/// of the server and of the instances, whether these are there or not: instances that are
/// cut off from the others must not take their shares over.
///
/// ```
/// use citron_core::slowstart::SlowStartGroup;
/// let members = [("n-1".parse().unwrap(), "east".parse().unwrap())].into();
/// let group = SlowStartGroup::new("n-1".parse().unwrap(), members, 1);
/// let server = "s-1".parse().unwrap();
/// assert_eq!(group.pool_share(&server, &"east".parse().unwrap(), 14), 4);
/// ```
#[derive(Debug)]
pub struct SlowStartGroup {
    own_id: InstanceId,
    members: GroupMembers,
    generation: u64,
}

impl SlowStartGroup {
    /// The group of all members; `generation` tells it from those that this instance had
    /// before.
    pub fn new(own_id: InstanceId, members: GroupMembers, generation: u64) -> Self {
        Self {
            own_id,
            members,
            generation,
        }
    }

    /// Which of an instance's groups it is.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Its members, this instance included.
    pub fn members(&self) -> &GroupMembers {
        &self.members
    }

    /// Requests that this instance may send in any second to a cold server, in a
    /// `domain`, that shares its work with others and takes `max_requests` in all.
    pub fn pool_share(&self, server: &ServerName, domain: &DomainName, max_requests: u32) -> u32 {
        let is_near = |of: &DomainName| of == domain;
        match self.members.values().any(is_near) {
            true => self.share(server, is_near, POOL_SENDERS, max_requests),
            false => self.share(server, |_| true, POOL_SENDERS, max_requests),
        }
    }

    /// The same for a cold owner of keys.
    pub fn owner_share(&self, server: &ServerName, max_requests: u32) -> u32 {
        let senders = max_requests.saturating_sub(UNKNOWN_SENDERS).max(1);
        self.share(server, |_| true, senders, max_requests)
    }

    fn share(
        &self,
        server: &ServerName,
        is_eligible: impl Fn(&DomainName) -> bool,
        senders: u32,
        max_requests: u32,
    ) -> u32 {
        if !self.members.get(&self.own_id).is_some_and(&is_eligible) {
            return 0;
        }
        let members = self.members.iter();
        let members = members.filter(|(_, domain)| is_eligible(domain));
        let own_score = score(server, &self.own_id);
        let (mut eligible, mut higher) = (0, 0);
        for (name, _) in members {
            eligible += 1;
            higher += u32::from(score(server, name) > own_score);
        }
        match higher < senders {
            true => max_requests / (senders.min(eligible) + UNKNOWN_SENDERS),
            false => 0,
        }
    }
}

/// Rendezvous hashing: the instances with the highest scores have a share.
fn score(server: &ServerName, instance: &InstanceId) -> u64 {
    let seed = xxh3_64_with_seed(server.id().as_bytes(), 0);
    xxh3_64_with_seed(instance.as_str().as_bytes(), seed)
}
