//! The check of fenced grants, as a backend server that has one does it.

use {
    citron_core::{
        id::{Epoch, ServiceName},
        ownership::{BootId, Grant, GrantKind, GrantReply, GrantResult, Scope, ServerLease},
    },
    std::{collections::BTreeMap, time::Duration},
};

#[derive(Debug, Clone, Copy)]
struct Held {
    epoch: Epoch,
    kind: GrantKind,
}

/// Grants and lease of one start of a server.
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
    until: Duration,
    held: BTreeMap<(ServiceName, Scope), Held>,
}

impl Fence {
    /// The fence of a server that has just started: nothing is allowed.
    pub fn new(boot: BootId) -> Self {
        Self {
            boot,
            until: Duration::ZERO,
            held: BTreeMap::new(),
        }
    }

    /// Takes an order; `clock` is the server's own.
    pub fn order(
        &mut self,
        boot: Option<BootId>,
        grants: &[Grant],
        lease: Option<ServerLease>,
        clock: Duration,
    ) -> GrantReply {
        let mine = boot.is_none_or(|boot| boot == self.boot);
        let results = grants.iter().map(|grant| self.grant(grant, mine)).collect();
        if let Some(lease) = lease.filter(|lease| lease.boot == self.boot) {
            self.until = self.until.max(lease.until);
        }
        GrantReply {
            boot: self.boot,
            clock,
            results,
        }
    }

    fn grant(&mut self, grant: &Grant, mine: bool) -> GrantResult {
        let key = (grant.service.clone(), grant.scope);
        let seen = self.held.get(&key).map_or(Epoch(0), |held| held.epoch);
        let revoked = self
            .held
            .get(&key)
            .is_some_and(|held| held.kind == GrantKind::Revoke);
        let undone = revoked && grant.epoch == seen && grant.kind == GrantKind::Own;
        if !mine || grant.epoch < seen || undone {
            return GrantResult::Stale { seen };
        }
        let (epoch, kind) = (grant.epoch, grant.kind);
        self.held.insert(key, Held { epoch, kind });
        GrantResult::Accepted
    }

    /// Whether a request may be run.
    pub fn allows(
        &self,
        service: &ServiceName,
        scope: Scope,
        epoch: Epoch,
        clock: Duration,
    ) -> bool {
        let held = self.held.get(&(service.clone(), scope));
        let granted = held.is_some_and(|held| held.kind == GrantKind::Own && held.epoch == epoch);
        granted && clock < self.until
    }
}
