//! A small deployment for tests: platform and backend servers run within the test process,
//! instances as separate processes. Everything stops when the value that holds it is dropped.
#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses a different part"
)]

mod admin;
mod call;
mod callers;
mod crashing_server;
mod data_path;
mod deployment;
mod embedded;
mod instance;
mod relay;
mod rows;

pub use {
    admin::{CallResult, Operator, server_row, starting_rows},
    call::{Reply, call, get, post},
    callers::{CallRecord, Callers, check_outcomes, check_single_owner, longest_gap},
    crashing_server::CrashingServer,
    data_path::{DataPath, TEST_TIMEOUT, read_all},
    deployment::{Deployment, any_address, wait_until_serving},
    embedded::EmbeddedInstance,
    instance::{Instance, TOKEN},
    relay::Relay,
    rows::{SampleConfig, commit_rows, domain_row, sample_rows},
};
