//! `move SERVICE --shard N|--key KEY --to SERVER`

use {
    super::reject_extra_args,
    crate::{args::Options, client::Client, error::CtlError, wait},
    citron_wire::admin::MoveWire,
    pico_args::Arguments,
};

/// Starts a move of a shard or a key.
///
/// # Errors
/// If the arguments are not valid, the move is refused, or it is not done within the wait
/// time.
pub async fn run(mut args: Arguments, options: &Options, client: &Client) -> Result<(), CtlError> {
    let request = MoveWire {
        shard: args.opt_value_from_str("--shard")?,
        key: args.opt_value_from_str("--key")?,
        to: args.value_from_str("--to")?,
        service: args.free_from_str()?,
    };
    reject_extra_args(args)?;
    if request.shard.is_some() == request.key.is_some() {
        return Err(CtlError::Usage("name either --shard or --key".to_string()));
    }
    let revision = client.begin_move(&request).await?;
    println!("move accepted as revision {revision}");
    match &request.key {
        Some(key) if options.wait => {
            wait::until_moved(client, options, &request.service, key, &request.to).await
        }
        _ => wait::until_in_force(client, options, revision).await,
    }
}
