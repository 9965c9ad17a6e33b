//! From a request to the backend server that owns its key.

mod attempt;
mod backoff;
mod budget;
mod event;
mod hedge;
mod local_response;
mod map;
mod outcome;
mod snapshot;
mod stage;

pub use {
    attempt::{Attempt, RequestBody, RequestKind, Retries, TRIES_MAX},
    backoff::Backoff,
    budget::{BudgetConfig, RetryBudget},
    event::{Event, Link, Send, Step, Try},
    hedge::HedgeDelay,
    local_response::{Reason, Verdict},
    map::{Route, RouteMap, ServerIndex, ServiceRoutes},
    outcome::Outcome,
    snapshot::Snapshot,
    stage::Point,
};
