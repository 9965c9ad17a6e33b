//! Working copy of a service's placement while moves are planned.

use {
    super::{Candidate, MoveReason, Proposal, ServiceView, rendezvous::rendezvous_score},
    crate::{id::ServerName, ownership::Scope},
    std::{cmp::Reverse, collections::BTreeMap},
};

/// Fullness in permille of a server that holds exactly its share.
const FULL_PERMILLE: u128 = 1_000;
/// An idle scope is given the mean scope load divided by this, so that idle scopes are
/// spread evenly too.
const IDLE_DIVISOR: u64 = 100;

/// A server with the load and the request rate of the scopes placed on it.
struct DraftServer<'a> {
    candidate: &'a Candidate,
    weight: u64,
    load: u64,
    rate: u64,
}

/// A scope with the index of the server that it is placed on.
struct DraftScope {
    scope: Scope,
    server: Option<usize>,
    load: u64,
    rate: u64,
    is_moving: bool,
}

/// A possible move: the index of a scope and that of its target server.
pub(super) struct DraftMove {
    /// Index of the scope.
    pub entry: usize,
    /// Index of the target server.
    pub server: usize,
    /// Fullness of the target after the move, in permille.
    target_fullness: u128,
}

/// Placement of a service's scopes, to which planned moves are applied one by one.
pub(super) struct Draft<'a> {
    servers: Vec<DraftServer<'a>>,
    entries: Vec<DraftScope>,
    total_load: u128,
    total_weight: u128,
}

impl<'a> Draft<'a> {
    /// Creates the placement that the view shows.
    pub fn new(view: &'a ServiceView) -> Self {
        let drafts = view
            .servers
            .iter()
            .filter(|candidate| candidate.weight.0 > 0)
            .map(|candidate| DraftServer {
                candidate,
                weight: u64::from(candidate.weight.0) * candidate.warmup_percent.max(1),
                load: 0,
                rate: 0,
            });
        let mut servers: Vec<DraftServer> = drafts.collect();
        servers.sort_by(|a, b| a.candidate.name.cmp(&b.candidate.name));
        let positions: BTreeMap<&ServerName, usize> = servers
            .iter()
            .enumerate()
            .map(|(server, s)| (&s.candidate.name, server))
            .collect();
        let measured_load: u64 = view.scopes.iter().map(|scope| scope.load.0).sum();
        let idle_load = measured_load / (view.scopes.len().max(1) as u64 * IDLE_DIVISOR) + 1;
        let entries = view.scopes.iter().map(|scope| DraftScope {
            scope: scope.scope,
            server: scope
                .owner
                .as_ref()
                .and_then(|owner| positions.get(owner).copied()),
            load: scope.load.0 + idle_load,
            rate: u64::from(scope.rate),
            is_moving: scope.is_moving,
        });
        let mut entries: Vec<DraftScope> = entries.collect();
        entries.sort_by_key(|entry| (Reverse(entry.load), entry.scope));
        let mut draft = Self {
            total_load: entries.iter().map(|entry| u128::from(entry.load)).sum(),
            total_weight: servers.iter().map(|server| u128::from(server.weight)).sum(),
            servers,
            entries,
        };
        draft.sum_loads();
        draft
    }

    /// Returns whether the service has no server that may own scopes.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    fn sum_loads(&mut self) {
        for entry in &self.entries {
            if let Some(server) = entry.server {
                self.servers[server].load += entry.load;
                self.servers[server].rate += entry.rate;
            }
        }
    }

    /// Returns the fullness of a server with additional load and rate, in permille: by
    /// load or by its rate cap, whichever is higher.
    fn fullness(&self, server: usize, load: u64, rate: u64) -> u128 {
        self.load_fullness(server, load)
            .max(self.cap_fullness(server, rate))
    }

    /// Returns the fullness of a server by load, in permille of its share.
    fn load_fullness(&self, server: usize, load: u64) -> u128 {
        let server = &self.servers[server];
        let share = (self.total_load * u128::from(server.weight) / self.total_weight).max(1);
        u128::from(server.load + load) * FULL_PERMILLE / share
    }

    /// Returns the fullness of a server by its rate cap, in permille; 0 without a cap.
    fn cap_fullness(&self, server: usize, rate: u64) -> u128 {
        let server = &self.servers[server];
        server.candidate.rate_cap.map_or(0, |cap| {
            u128::from(server.rate + rate) * FULL_PERMILLE / u128::from(cap.max(1))
        })
    }

    /// Places every scope without an owner, as long as no move of it is in progress.
    pub fn place_unassigned(&mut self, bound_permille: u64) -> Vec<Proposal> {
        let mut proposals = Vec::new();
        for index in 0..self.entries.len() {
            if self.entries[index].server.is_some() || self.entries[index].is_moving {
                continue;
            }
            let server = self.choose_server(index, bound_permille);
            proposals.push(self.move_scope(index, server, MoveReason::Unassigned));
        }
        proposals
    }

    /// Returns the server with the highest rendezvous score of those that stay within the
    /// bound, or the least full server if none does.
    fn choose_server(&self, index: usize, bound_permille: u64) -> usize {
        let entry = &self.entries[index];
        let indices = 0..self.servers.len();
        let after = |server: usize| self.fullness(server, entry.load, entry.rate);
        let within = indices
            .clone()
            .filter(|server| after(*server) <= u128::from(bound_permille));
        let best = within.max_by(|a, b| {
            self.rendezvous_score(*a, entry)
                .total_cmp(&self.rendezvous_score(*b, entry))
        });
        best.or_else(|| indices.min_by_key(|server| after(*server)))
            .unwrap_or(0)
    }

    fn rendezvous_score(&self, server: usize, entry: &DraftScope) -> f64 {
        let server = &self.servers[server];
        rendezvous_score(&server.candidate.name, server.weight, entry.scope)
    }

    /// Moves a scope to a server and returns the proposal for it.
    pub fn move_scope(&mut self, index: usize, server: usize, reason: MoveReason) -> Proposal {
        let entry = &mut self.entries[index];
        if let Some(old) = entry.server {
            self.servers[old].load -= entry.load;
            self.servers[old].rate -= entry.rate;
        }
        self.servers[server].load += entry.load;
        self.servers[server].rate += entry.rate;
        entry.server = Some(server);
        entry.is_moving = true;
        Proposal {
            scope: entry.scope,
            to: self.servers[server].candidate.name.clone(),
            reason,
        }
    }

    /// Returns the fullest server by load. Rate caps are left out: load that a capped
    /// server cannot take raises the load of the others, and no move corrects that.
    fn fullest_server(&self) -> usize {
        let indices = 0..self.servers.len();
        indices
            .max_by_key(|server| self.load_fullness(*server, 0))
            .unwrap_or(0)
    }

    fn server_over_cap(&self) -> Option<usize> {
        let mut indices = 0..self.servers.len();
        indices.find(|server| self.cap_fullness(*server, 0) > FULL_PERMILLE)
    }

    /// Returns whether a server is over its rate cap, or over the imbalance threshold by
    /// load.
    pub fn is_uneven(&self, view: &ServiceView) -> bool {
        let threshold = u128::from(view.move_budget.threshold_percent) * FULL_PERMILLE / 100;
        self.server_over_cap().is_some() || self.load_fullness(self.fullest_server(), 0) > threshold
    }

    /// Returns the next move for balance; `None` if the placement is even or no move
    /// would improve it.
    pub fn next_move(&self, view: &ServiceView) -> Option<DraftMove> {
        if !self.is_uneven(view) {
            return None;
        }
        let capped = self
            .server_over_cap()
            .and_then(|from| self.relieve_cap(from));
        capped.or_else(|| self.relieve_load(self.fullest_server()))
    }

    /// Returns the move from a server over its rate cap that leaves the target least
    /// full.
    fn relieve_cap(&self, from: usize) -> Option<DraftMove> {
        let moves = self.candidate_moves(from).filter(|candidate_move| {
            let rate = self.entries[candidate_move.entry].rate;
            rate > 0 && self.cap_fullness(candidate_move.server, rate) <= FULL_PERMILLE
        });
        moves.min_by_key(|candidate_move| candidate_move.target_fullness)
    }

    /// Returns the move from a server that minimizes the fullness of the fuller of both
    /// servers; `None` if no move makes the fuller one less full than the source is now.
    fn relieve_load(&self, from: usize) -> Option<DraftMove> {
        let before = self.load_fullness(from, 0);
        let worse_fullness = |candidate_move: &DraftMove| {
            candidate_move
                .target_fullness
                .max(self.source_fullness(from, candidate_move.entry))
        };
        let best = self.candidate_moves(from).min_by_key(worse_fullness)?;
        (worse_fullness(&best) < before).then_some(best)
    }

    /// Returns every scope of a server that is not moving, with the target that would be
    /// least full.
    fn candidate_moves(&self, from: usize) -> impl Iterator<Item = DraftMove> {
        let entries = self.entries.iter().enumerate();
        let own = entries.filter(move |(_, entry)| entry.server == Some(from) && !entry.is_moving);
        own.filter_map(move |(index, entry)| {
            let targets = (0..self.servers.len()).filter(|server| *server != from);
            let target_fullness =
                targets.map(|server| (self.fullness(server, entry.load, entry.rate), server));
            let (target_fullness, server) = target_fullness.min()?;
            Some(DraftMove {
                entry: index,
                server,
                target_fullness,
            })
        })
    }

    /// Returns the fullness by load of a server after a scope has left it, in permille.
    fn source_fullness(&self, from: usize, entry: usize) -> u128 {
        let server = &self.servers[from];
        let share = (self.total_load * u128::from(server.weight) / self.total_weight).max(1);
        u128::from(server.load - self.entries[entry].load) * FULL_PERMILLE / share
    }
}
