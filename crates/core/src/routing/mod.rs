//! From a request to the backend server that owns its key.

mod attempt;
mod backoff;
mod budget;
mod event;
mod hedge;
mod map;
mod outcome;
mod point;
mod snapshot;
mod verdict;

pub use {
    attempt::{Attempt, RequestBody, RequestKind, Retries, TRIES_MAX},
    backoff::Backoff,
    budget::{BudgetConfig, RetryBudget},
    event::{Event, Link, Send, Step, Try},
    hedge::HedgeDelay,
    map::{Route, RouteMap, ServerIndex, ServiceRoutes},
    outcome::Outcome,
    point::Point,
    snapshot::Snapshot,
    verdict::{Reason, Verdict},
};
