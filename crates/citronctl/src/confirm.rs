//! Applies edits: shows the changes, asks for confirmation, sends them and waits.

use {
    crate::{args::Options, client::Client, diff::diff, error::CtlError, wait},
    citron_wire::{
        admin::{RowEditWire, RowsWire},
        row::RowWire,
    },
    std::io::{self, BufRead, IsTerminal},
};

/// Shows the changes of an edit, and applies it after confirmation.
///
/// # Errors
/// If the edit is not confirmed, is refused, or is not in force within the wait time.
pub async fn apply(
    client: &Client,
    options: &Options,
    table: &RowsWire,
    edits: Vec<RowEditWire>,
    dry_run: bool,
) -> Result<(), CtlError> {
    if edits.is_empty() {
        println!("nothing to change");
        return Ok(());
    }
    for edit in &edits {
        eprint!("{}", diff(edit, find_row(table, &edit.key)));
    }
    if dry_run {
        println!("nothing was sent, rows that would change: {}", edits.len());
        return Ok(());
    }
    confirm(options)?;
    let count = edits.len();
    let revision = client.edit(edits).await?;
    println!("accepted as revision {revision}, rows: {count}");
    wait::until_in_force(client, options, revision).await
}

fn find_row<'a>(table: &'a RowsWire, key: &str) -> Option<&'a RowWire> {
    let row = table.rows.iter().find(|row| row.key == key);
    row.map(|row| &row.row)
}

/// Asks for confirmation on a terminal. Without a terminal, `--yes` is required.
fn confirm(options: &Options) -> Result<(), CtlError> {
    if options.skip_confirm {
        return Ok(());
    }
    if !io::stdin().is_terminal() {
        let message = "no terminal for a confirmation: use --yes to apply";
        return Err(CtlError::Usage(message.to_string()));
    }
    eprint!("apply? [y/N] ");
    let mut line = String::new();
    let result = io::stdin().lock().read_line(&mut line);
    result.map_err(|error| CtlError::Failed(error.to_string()))?;
    match line.trim() {
        "y" | "Y" | "yes" => Ok(()),
        _ => Err(CtlError::Failed("nothing was sent".to_string())),
    }
}
