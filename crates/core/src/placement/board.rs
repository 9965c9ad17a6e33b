//! A service while a plan is made.

use {
    super::{Candidate, Proposal, Reason, View, score::score},
    crate::{id::ServerName, ownership::Scope},
    std::{cmp::Reverse, collections::BTreeMap},
};

/// Full means 1,000: a server with just its share.
const FULL: u128 = 1_000;
/// An idle scope counts as this part of the mean scope, so that idle scopes are
/// spread evenly too.
const IDLE_PART: u64 = 100;

/// One server on the board.
struct Seat<'a> {
    server: &'a Candidate,
    weight: u64,
    load: u64,
    rate: u64,
}

/// One scope on the board.
struct Piece {
    scope: Scope,
    seat: Option<usize>,
    load: u64,
    rate: u64,
    moving: bool,
}

/// A move that could be made on the board.
pub(super) struct Step {
    pub piece: usize,
    pub seat: usize,
    /// How full the target would be.
    filled: u128,
}

/// The service while a plan is made: pieces are moved on it one by one.
pub(super) struct Board<'a> {
    servers: Vec<Seat<'a>>,
    pieces: Vec<Piece>,
    total: u128,
    weights: u128,
}

impl<'a> Board<'a> {
    pub fn new(view: &'a View) -> Self {
        let seats = view
            .servers
            .iter()
            .filter(|server| server.weight.0 > 0)
            .map(|server| Seat {
                server,
                weight: u64::from(server.weight.0) * server.warmth.max(1),
                load: 0,
                rate: 0,
            });
        let mut servers: Vec<Seat> = seats.collect();
        servers.sort_by(|a, b| a.server.name.cmp(&b.server.name));
        let index: BTreeMap<&ServerName, usize> = servers
            .iter()
            .enumerate()
            .map(|(seat, s)| (&s.server.name, seat))
            .collect();
        let measured: u64 = view.scopes.iter().map(|scope| scope.load.0).sum();
        let idle = measured / (view.scopes.len().max(1) as u64 * IDLE_PART) + 1;
        let pieces = view.scopes.iter().map(|scope| Piece {
            scope: scope.scope,
            seat: scope
                .owner
                .as_ref()
                .and_then(|owner| index.get(owner).copied()),
            load: scope.load.0 + idle,
            rate: u64::from(scope.rate),
            moving: scope.moving,
        });
        let mut pieces: Vec<Piece> = pieces.collect();
        pieces.sort_by_key(|piece| (Reverse(piece.load), piece.scope));
        let mut board = Self {
            total: pieces.iter().map(|piece| u128::from(piece.load)).sum(),
            weights: servers.iter().map(|seat| u128::from(seat.weight)).sum(),
            servers,
            pieces,
        };
        board.seat_pieces();
        board
    }

    /// Whether there is no server to own anything.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    fn seat_pieces(&mut self) {
        for piece in &self.pieces {
            if let Some(seat) = piece.seat {
                self.servers[seat].load += piece.load;
                self.servers[seat].rate += piece.rate;
            }
        }
    }

    /// How full a seat would be with more on it, by load or by its cap,
    /// whichever is more; in permille.
    fn fullness(&self, seat: usize, load: u64, rate: u64) -> u128 {
        self.load_fullness(seat, load)
            .max(self.cap_fullness(seat, rate))
    }

    fn load_fullness(&self, seat: usize, load: u64) -> u128 {
        let seat = &self.servers[seat];
        let share = (self.total * u128::from(seat.weight) / self.weights).max(1);
        u128::from(seat.load + load) * FULL / share
    }

    fn cap_fullness(&self, seat: usize, rate: u64) -> u128 {
        let seat = &self.servers[seat];
        seat.server.cap.map_or(0, |cap| {
            u128::from(seat.rate + rate) * FULL / u128::from(cap.max(1))
        })
    }

    pub fn place_orphans(&mut self, bound: u64) -> Vec<Proposal> {
        let mut proposals = Vec::new();
        for number in 0..self.pieces.len() {
            if self.pieces[number].seat.is_some() || self.pieces[number].moving {
                continue;
            }
            let seat = self.choose(number, bound);
            proposals.push(self.move_piece(number, seat, Reason::Orphan));
        }
        proposals
    }

    /// The best suited seat within the bound; the emptiest if there is none.
    fn choose(&self, number: usize, bound: u64) -> usize {
        let piece = &self.pieces[number];
        let seats = 0..self.servers.len();
        let after = |seat: usize| self.fullness(seat, piece.load, piece.rate);
        let within = seats
            .clone()
            .filter(|seat| after(*seat) <= u128::from(bound));
        let best = within.max_by(|a, b| self.score(*a, piece).total_cmp(&self.score(*b, piece)));
        best.or_else(|| seats.min_by_key(|seat| after(*seat)))
            .unwrap_or(0)
    }

    fn score(&self, seat: usize, piece: &Piece) -> f64 {
        let seat = &self.servers[seat];
        score(&seat.server.name, seat.weight, piece.scope)
    }

    pub fn move_piece(&mut self, number: usize, seat: usize, reason: Reason) -> Proposal {
        let piece = &mut self.pieces[number];
        if let Some(old) = piece.seat {
            self.servers[old].load -= piece.load;
            self.servers[old].rate -= piece.rate;
        }
        self.servers[seat].load += piece.load;
        self.servers[seat].rate += piece.rate;
        piece.seat = Some(seat);
        piece.moving = true;
        Proposal {
            scope: piece.scope,
            to: self.servers[seat].server.name.clone(),
            reason,
        }
    }

    /// The fullest seat by load; a cap keeps others from their share, which is
    /// no imbalance that a move could mend.
    fn fullest(&self) -> usize {
        let seats = 0..self.servers.len();
        seats
            .max_by_key(|seat| self.load_fullness(*seat, 0))
            .unwrap_or(0)
    }

    fn over_cap(&self) -> Option<usize> {
        let mut seats = 0..self.servers.len();
        seats.find(|seat| self.cap_fullness(*seat, 0) > FULL)
    }

    pub fn is_uneven(&self, view: &View) -> bool {
        let threshold = u128::from(view.moves.threshold_percent) * FULL / 100;
        self.over_cap().is_some() || self.load_fullness(self.fullest(), 0) > threshold
    }

    pub fn next_step(&self, view: &View) -> Option<Step> {
        if !self.is_uneven(view) {
            return None;
        }
        let capped = self.over_cap().and_then(|from| self.relieve_cap(from));
        capped.or_else(|| self.relieve_load(self.fullest()))
    }

    /// The move off a seat over its cap that fills the other end least.
    fn relieve_cap(&self, from: usize) -> Option<Step> {
        let steps = self.steps(from).filter(|step| {
            let rate = self.pieces[step.piece].rate;
            rate > 0 && self.cap_fullness(step.seat, rate) <= FULL
        });
        steps.min_by_key(|step| step.filled)
    }

    /// The move off a seat that leaves the fuller of both ends emptiest; `None`
    /// if every move would only pass the excess on.
    fn relieve_load(&self, from: usize) -> Option<Step> {
        let before = self.load_fullness(from, 0);
        let worse = |step: &Step| step.filled.max(self.left_behind(from, step.piece));
        let best = self.steps(from).min_by_key(worse)?;
        (worse(&best) < before).then_some(best)
    }

    /// Every piece of a seat with the seat that it would fill least.
    fn steps(&self, from: usize) -> impl Iterator<Item = Step> {
        let pieces = self.pieces.iter().enumerate();
        let own = pieces.filter(move |(_, piece)| piece.seat == Some(from) && !piece.moving);
        own.filter_map(move |(number, piece)| {
            let targets = (0..self.servers.len()).filter(|seat| *seat != from);
            let filled = targets.map(|seat| (self.fullness(seat, piece.load, piece.rate), seat));
            let (filled, seat) = filled.min()?;
            Some(Step {
                piece: number,
                seat,
                filled,
            })
        })
    }

    fn left_behind(&self, from: usize, piece: usize) -> u128 {
        let seat = &self.servers[from];
        let share = (self.total * u128::from(seat.weight) / self.weights).max(1);
        u128::from(seat.load - self.pieces[piece].load) * FULL / share
    }
}
