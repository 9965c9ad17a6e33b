//! Check of fenced grants: requests run only under the newest grant and a valid lease.

use {
    citron_core::{
        id::{Epoch, ServiceName},
        ownership::{BootId, Grant, GrantKind, GrantReply, GrantResult, Scope, ServerLease},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Newest grant of a scope.
#[derive(Debug, Clone, Copy)]
struct HeldGrant {
    epoch: Epoch,
    kind: GrantKind,
}

/// Newest grants and lease of one server process.
///
/// ```
/// use {citron_core::ownership::BootId, citron_fakes::backend::Fence, std::time::Duration};
/// let fence = Fence::new(BootId(1));
/// let scope = citron_core::ownership::Scope::Shard("0".parse().unwrap());
/// let service = "balances".parse().unwrap();
/// assert!(!fence.allows(&service, scope, "1".parse().unwrap(), Duration::ZERO));
/// ```
#[derive(Debug, Clone)]
pub struct Fence {
    boot: BootId,
    /// End of the lease on the server's own clock.
    lease_end: Duration,
    latest: BTreeMap<(ServiceName, Scope), HeldGrant>,
}

impl Fence {
    /// Creates the fence of a process that has just started. It allows no request.
    pub fn new(boot: BootId) -> Self {
        Self {
            boot,
            lease_end: Duration::ZERO,
            latest: BTreeMap::new(),
        }
    }

    /// Applies an order with grants and possibly a lease, and returns the result of each
    /// grant. `clock` is the time since the start of the server process.
    ///
    /// Grants for another process of the server, with an epoch below the newest one, or
    /// that would undo a revocation of the same epoch are stale.
    pub fn apply(
        &mut self,
        boot: Option<BootId>,
        grants: &[Grant],
        lease: Option<ServerLease>,
        clock: Duration,
    ) -> GrantReply {
        let is_current_boot = boot.is_none_or(|boot| boot == self.boot);
        let results = grants
            .iter()
            .map(|grant| self.apply_grant(grant, is_current_boot))
            .collect();
        if let Some(lease) = lease.filter(|lease| lease.boot == self.boot) {
            self.lease_end = self.lease_end.max(lease.until);
        }
        GrantReply {
            boot: self.boot,
            clock,
            results,
        }
    }

    fn apply_grant(&mut self, grant: &Grant, is_current_boot: bool) -> GrantResult {
        let key = (grant.service.clone(), grant.scope);
        let seen = self.latest.get(&key).map_or(Epoch(0), |held| held.epoch);
        let was_revoked = self
            .latest
            .get(&key)
            .is_some_and(|held| held.kind == GrantKind::Revoke);
        let is_revoked = was_revoked && grant.epoch == seen && grant.kind == GrantKind::Own;
        if !is_current_boot || grant.epoch < seen || is_revoked {
            return GrantResult::Stale { seen };
        }
        let (epoch, kind) = (grant.epoch, grant.kind);
        self.latest.insert(key, HeldGrant { epoch, kind });
        GrantResult::Accepted
    }

    /// Returns whether a request with this scope and epoch may run at the time `clock`.
    pub fn allows(
        &self,
        service: &ServiceName,
        scope: Scope,
        epoch: Epoch,
        clock: Duration,
    ) -> bool {
        let held = self.latest.get(&(service.clone(), scope));
        let is_granted =
            held.is_some_and(|held| held.kind == GrantKind::Own && held.epoch == epoch);
        is_granted && clock < self.lease_end
    }
}
