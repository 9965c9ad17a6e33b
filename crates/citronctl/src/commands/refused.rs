//! `refused [--lift FINGERPRINT] [--format table|json]`

use {
    super::{finish, is_json, print_json},
    crate::{client::Client, error::CtlError, grid},
    citron_wire::admin::{RefusedEntryWire, RefusedWire},
    pico_args::Arguments,
};

/// Shows requests that crashed servers, or lets some through again.
pub async fn run(mut args: Arguments, client: &Client) -> Result<(), CtlError> {
    let json = is_json(&mut args)?;
    let lift: Option<String> = args.opt_value_from_str("--lift")?;
    finish(args)?;
    let refused = match &lift {
        Some(print) => client.lift(print).await?,
        None => client.refused().await?,
    };
    if json {
        return print_json(&refused);
    }
    if let Some(print) = lift {
        println!("{print} lifted; the other instances hear of it with the next report");
    }
    print!("{}", text(&refused));
    Ok(())
}

fn text(refused: &RefusedWire) -> String {
    if refused.entries.is_empty() {
        return "no request is known to crash servers\n".to_string();
    }
    let heads = ["fingerprint", "request", "crashes", "refused for, s"];
    let lines: Vec<_> = refused.entries.iter().map(line).collect();
    grid::layout(&heads.map(str::to_string), &lines)
}

fn line(entry: &RefusedEntryWire) -> Vec<String> {
    let seconds = entry.seconds.map(|seconds| seconds.to_string());
    vec![
        entry.fingerprint.clone(),
        entry.label.clone(),
        entry.crashes.to_string(),
        seconds.unwrap_or_else(|| "-".to_string()),
    ]
}
