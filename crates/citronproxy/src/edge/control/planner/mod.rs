//! The planner: grants, renews and moves keys. It runs on the instance that has the
//! leadership.

mod capacity;
mod claim;
mod commit;
mod former_planners;
mod load_rows;
mod orders;
mod run;
mod term;
mod wait_log;

pub use {load_rows::LoadRows, run::run};
