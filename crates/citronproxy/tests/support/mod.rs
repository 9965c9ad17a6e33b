//! A small deployment for tests: stand-ins within the test, instances as real
//! processes. Everything ends with the value that holds it.
#![allow(dead_code, unused_imports, reason = "each test file uses its own part")]

mod admin;
mod call;
mod callers;
mod deployment;
mod crashing_server;
mod relay;
mod embedded;
mod instance;
mod data_path;
mod rows;

pub use {
    admin::{Called, Operator, server_row, starting_rows},
    call::{Reply, call, get, post},
    callers::{Callers, Told, check_owners, check_told, longest_gap},
    deployment::{Deployment, any, until_serving},
    crashing_server::Fragile,
    relay::Gate,
    embedded::Inside,
    instance::{Instance, TOKEN},
    data_path::{LONG, Path, read_all},
    rows::{Sample, commit, domain_row, sample},
};
