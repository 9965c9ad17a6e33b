//! The planner: grants, renews and moves keys. It runs on the instance that has the
//! leadership.

mod capacity;
mod claim;
mod commit;
mod former_planners;
mod orders;
mod run;
mod term;

pub use run::run;
