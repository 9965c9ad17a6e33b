//! Instances among which the requests to cold servers are divided.

use {
    crate::id::{DomainName, InstanceId, ServerName},
    std::collections::BTreeMap,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Instances that may send without a share, as not all know the members that have just
/// joined.
const UNKNOWN_SENDERS: u32 = 2;
/// Instances that send to a cold server whose service has no keys.
const POOL_SENDERS: u32 = 2;

/// All instances ever known to one instance, by name, with their failure domains.
pub type GroupMembers = BTreeMap<InstanceId, DomainName>;

/// Division of the requests that cold servers may get.
///
/// Cold servers of a service without keys get requests from two instances of their
/// failure domain. Owners of keys get requests from the clients of all instances: as many
/// instances as the limit allows send one request per second each. The choice depends
/// only on the names of the server and of the instances, whether these are reachable or
/// not: instances that are cut off from others must not take over their shares.
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
    /// Creates the group of all members. `generation` tells it from this instance's
    /// former groups.
    pub fn new(own_id: InstanceId, members: GroupMembers, generation: u64) -> Self {
        Self {
            own_id,
            members,
            generation,
        }
    }

    /// Generation of the group, unique on this instance.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Members of the group, this instance included.
    pub fn members(&self) -> &GroupMembers {
        &self.members
    }

    /// Requests per second that this instance may send to a cold server in `domain` whose
    /// service has no keys. `max_requests` is the server's total.
    pub fn pool_share(&self, server: &ServerName, domain: &DomainName, max_requests: u32) -> u32 {
        let is_near = |of: &DomainName| of == domain;
        match self.members.values().any(is_near) {
            true => self.share(server, is_near, POOL_SENDERS, max_requests),
            false => self.share(server, |_| true, POOL_SENDERS, max_requests),
        }
    }

    /// Requests per second that this instance may send to a cold owner of keys.
    /// `max_requests` is the server's total.
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

/// Score of an instance in rendezvous hashing; those with the highest scores get a share.
fn score(server: &ServerName, instance: &InstanceId) -> u64 {
    let seed = xxh3_64_with_seed(server.id().as_bytes(), 0);
    xxh3_64_with_seed(instance.as_str().as_bytes(), seed)
}
