//! Allocation of a server's slots to all instances by one of them, its broker.
//!
//! An instance asks the broker before it sends a keyed request, and notifies it when the
//! attempt has ended. State is kept in memory only; a restarted broker begins empty.

mod broker;
mod caller_age;
mod choose;
mod config;
mod exchange;
mod grant_shares;
mod health;
mod outlook;
mod recent_demand;
mod request;
mod retry_times;
mod run_time;
mod server_slots;
mod shared_use;
mod wait;

pub use {
    broker::{SlotBroker, SlotStats},
    caller_age::CallerAges,
    choose::choose_broker,
    config::SlotConfig,
    exchange::{SlotExchange, SlotMessage, SlotOutput},
    health::BrokerHealth,
    request::{DenyReason, SlotAnswer, SlotOutcome, SlotRequest},
    wait::{ANSWER_TIMEOUT, SlotWait, WaitStep},
};
