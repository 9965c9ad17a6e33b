//! Waiting until an edit or a move is in force.

use {
    crate::{args::Options, client::Client, error::CtlError},
    citron_wire::admin::StatusWire,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Interval between two polls of the instances.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// With `--wait`, waits until all instances use a revision; prints the progress.
///
/// # Errors
/// [`CtlError::Pending`] after the wait timeout.
pub async fn until_in_force(
    client: &Client,
    options: &Options,
    revision: u64,
) -> Result<(), CtlError> {
    if !options.wait {
        return Ok(());
    }
    let deadline = Instant::now() + options.wait_timeout;
    let mut last_progress = String::new();
    loop {
        let statuses = poll_instances(client).await;
        let missing = instances_behind(&statuses, revision);
        let progress = format!(
            "in force on {} of {}",
            statuses.len() - missing.len(),
            statuses.len()
        );
        if progress != last_progress {
            eprintln!("{progress}");
            last_progress = progress;
        }
        if missing.is_empty() {
            return Ok(());
        }
        if Instant::now() >= deadline {
            let missing = missing.join(", ");
            return Err(CtlError::Pending { revision, missing });
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the status of each instance by name; `None`, under the address if the name is
/// not known, for instances that do not respond. Polls the instances given on the command
/// line and those that the table lists.
pub async fn poll_instances(client: &Client) -> BTreeMap<String, Option<StatusWire>> {
    let mut targets: Vec<(String, SocketAddr)> = Vec::new();
    let named = client
        .admins
        .iter()
        .map(|admin| (admin.to_string(), *admin));
    targets.extend(named);
    if let Ok(status) = client.any_status().await {
        // Expelled and leaving instances route no new requests.
        let listed = status
            .instances
            .iter()
            .filter(|row| !row.leaving && !row.expelled);
        for row in listed {
            targets.retain(|(_, admin)| *admin != row.admin);
            targets.push((row.id.clone(), row.admin));
        }
    }
    let mut statuses = BTreeMap::new();
    for (name, admin) in targets {
        match client.status(admin).await {
            Ok(status) => statuses.insert(status.instance.clone(), Some(status)),
            Err(_) => statuses.insert(name, None),
        };
    }
    statuses
}

fn instances_behind(statuses: &BTreeMap<String, Option<StatusWire>>, revision: u64) -> Vec<String> {
    let behind = statuses.iter().filter(|(_, status)| {
        let is_in_force = status
            .as_ref()
            .is_some_and(|status| status.revision >= revision);
        !is_in_force
    });
    behind.map(|(name, _)| name.clone()).collect()
}

/// Waits until a server owns a key and no move of the key is in progress.
///
/// # Errors
/// [`CtlError::Pending`] after the wait timeout.
pub async fn until_moved(
    client: &Client,
    options: &Options,
    service: &str,
    key: &str,
    to: &str,
) -> Result<(), CtlError> {
    let deadline = Instant::now() + options.wait_timeout;
    loop {
        let owner = client.owner(service, key).await?;
        if owner.owner == to && owner.to.is_none() {
            println!("{}", owner.why);
            return Ok(());
        }
        if Instant::now() >= deadline {
            let (revision, missing) = (owner.revision, owner.why);
            return Err(CtlError::Pending { revision, missing });
        }
        sleep(POLL_INTERVAL).await;
    }
}
