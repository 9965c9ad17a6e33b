//! Runs the fake backend server as a process:
//! `backend ADDRESS --name NAME [--slots N] [--work-ms N] [--fenced]`.

use {
    citron_fakes::backend::{BackendConfig, BackendServer},
    std::{error::Error, time::Duration},
};

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    env_logger::init();
    let mut args = pico_args::Arguments::from_env();
    let work = args.opt_value_from_str("--work-ms")?.unwrap_or(0);
    let config = BackendConfig {
        name: args.value_from_str("--name")?,
        slots: args.opt_value_from_str("--slots")?.unwrap_or(4),
        work: Duration::from_millis(work),
        checks_grants: args.contains("--fenced"),
    };
    let server = BackendServer::start(args.free_from_str()?, config).await?;
    println!("backend on {}", server.address);
    std::future::pending().await
}
