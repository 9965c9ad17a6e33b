//! Model check of the ownership protocol. All decisions are those of the production code.
//! The model adds the platform, the servers' check of grants, late and lost messages, and
//! time in ticks.

mod actors;
mod checks;
mod events;
mod mutants;
mod mutations;
mod platform;
mod random_walks;
mod search;
mod servers;
mod setup;
mod state;
mod tables;
