//! `move SERVICE --shard N|--key KEY --to SERVER`

use {
    super::finish,
    crate::{args::Options, client::Client, error::CtlError, wait},
    citron_wire::admin::MoveWire,
    pico_args::Arguments,
};

/// Begins a move.
pub async fn run(mut args: Arguments, options: &Options, client: &Client) -> Result<(), CtlError> {
    let moving = MoveWire {
        shard: args.opt_value_from_str("--shard")?,
        key: args.opt_value_from_str("--key")?,
        to: args.value_from_str("--to")?,
        service: args.free_from_str()?,
    };
    finish(args)?;
    if moving.shard.is_some() == moving.key.is_some() {
        return Err(CtlError::Usage("name either --shard or --key".to_string()));
    }
    let revision = client.begin(&moving).await?;
    println!("release accepted as revision {revision}");
    match &moving.key {
        Some(key) if options.wait => {
            wait::moved(client, options, &moving.service, key, &moving.to).await
        }
        _ => wait::in_force(client, options, revision).await,
    }
}
