//! Selection of a server's broker.

use {
    crate::id::{DomainName, InstanceId, ServerName},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Selects the broker of a server in `domain`: the instance with the highest score in
/// rendezvous hashing among those of the domain, or among all if it has none.
///
/// The choice is the same across restarts of the server, and the loss of an instance
/// changes only the brokers of its servers.
///
/// ```
/// use citron_core::{id::*, slots::choose_broker};
/// let [east, west]: [DomainName; 2] = ["east", "west"].map(|name| name.parse().unwrap());
/// let names: [InstanceId; 3] = ["n-1", "n-2", "n-3"].map(|name| name.parse().unwrap());
/// let instances = names.iter().zip([&east, &west, &west]);
/// let server: ServerName = "s-1".parse().unwrap();
/// assert_eq!(choose_broker(&server, &east, instances), Some(&names[0]));
/// ```
pub fn choose_broker<'a>(
    server: &ServerName,
    domain: &DomainName,
    instances: impl Iterator<Item = (&'a InstanceId, &'a DomainName)>,
) -> Option<&'a InstanceId> {
    let seed = xxh3_64_with_seed(server.id().as_bytes(), 0);
    let score = |instance: &InstanceId| xxh3_64_with_seed(instance.as_str().as_bytes(), seed);
    let best = instances.max_by_key(|(instance, of)| (*of == domain, score(instance), *instance));
    best.map(|(instance, _)| instance)
}
