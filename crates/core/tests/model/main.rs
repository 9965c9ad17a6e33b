//! A model of the processes around the ownership protocol. Every decision in it
//! is the production code's; the model adds the platform, the servers' check of
//! grants, messages that are late or lost, and time in ticks.

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
