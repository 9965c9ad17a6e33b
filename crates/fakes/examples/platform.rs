//! Runs the fake platform as a process: `platform ADDRESS`.

use {citron_fakes::platform::PlatformServer, std::error::Error};

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    env_logger::init();
    let mut args = pico_args::Arguments::from_env();
    let server = PlatformServer::start(args.free_from_str()?).await?;
    println!("platform on {}", server.address);
    std::future::pending().await
}
