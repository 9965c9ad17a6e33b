//! Routing of requests to the backend servers that own their keys, with retries and
//! hedges.

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
    attempt::{ATTEMPTS_MAX, RequestBody, RequestKind, RetryPolicy, RetryState},
    backoff::Backoff,
    budget::{BudgetConfig, RetryBudget},
    event::{AttemptNo, ConnectionPolicy, Event, SendAttempt, Step},
    hedge::HedgeDelay,
    local_response::{FailureReason, LocalResponse},
    map::{Route, RouteMap, ServerIndex, ServiceRoutes},
    outcome::Outcome,
    snapshot::Snapshot,
    stage::ExchangeStage,
};
