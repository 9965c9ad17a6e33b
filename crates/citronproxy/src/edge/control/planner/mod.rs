//! The planner: one instance that grants, renews and moves keys.

mod capacity;
mod claim;
mod commit;
mod former_planners;
mod orders;
mod run;
mod term;

pub use run::run;
