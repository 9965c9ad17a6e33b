//! Waits until something is in force.

use {
    crate::{args::Options, client::Client, error::CtlError},
    citron_wire::admin::StatusWire,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::time::{Instant, sleep},
};

/// The pause between two rounds of questions.
const PAUSE: Duration = Duration::from_millis(100);

/// With `--wait`: waits until every instance routes by a revision.
pub async fn in_force(client: &Client, options: &Options, revision: u64) -> Result<(), CtlError> {
    if !options.wait {
        return Ok(());
    }
    let end = Instant::now() + options.wait_time;
    let mut before = String::new();
    loop {
        let round = ask_all(client).await;
        let missing = missing(&round, revision);
        let progress = format!(
            "in force on {} of {}",
            round.len() - missing.len(),
            round.len()
        );
        if progress != before {
            eprintln!("{progress}");
            before = progress;
        }
        if missing.is_empty() {
            return Ok(());
        }
        if Instant::now() >= end {
            let missing = missing.join(", ");
            return Err(CtlError::Pending { revision, missing });
        }
        sleep(PAUSE).await;
    }
}

/// What each instance says, by name or by address if it cannot be reached.
/// Instances of the table are asked as well as those that were named.
pub async fn ask_all(client: &Client) -> BTreeMap<String, Option<StatusWire>> {
    let mut waiting: Vec<(String, SocketAddr)> = Vec::new();
    let named = client
        .admins
        .iter()
        .map(|admin| (admin.to_string(), *admin));
    waiting.extend(named);
    if let Ok(status) = client.any_status().await {
        // Expelled and leaving instances route nothing new.
        let listed = status
            .instances
            .iter()
            .filter(|row| !row.leaving && !row.expelled);
        for row in listed {
            waiting.retain(|(_, admin)| *admin != row.admin);
            waiting.push((row.id.clone(), row.admin));
        }
    }
    let mut round = BTreeMap::new();
    for (name, admin) in waiting {
        match client.status(admin).await {
            Ok(status) => round.insert(status.instance.clone(), Some(status)),
            Err(_) => round.insert(name, None),
        };
    }
    round
}

fn missing(round: &BTreeMap<String, Option<StatusWire>>, revision: u64) -> Vec<String> {
    let behind = round.iter().filter(|(_, status)| {
        let reached = status
            .as_ref()
            .is_some_and(|status| status.revision >= revision);
        !reached
    });
    behind.map(|(name, _)| name.clone()).collect()
}

/// With `--wait`: waits until a key's owner is another one.
pub async fn moved(
    client: &Client,
    options: &Options,
    service: &str,
    key: &str,
    to: &str,
) -> Result<(), CtlError> {
    let end = Instant::now() + options.wait_time;
    loop {
        let owner = client.owner(service, key).await?;
        if owner.owner == to && owner.to.is_none() {
            println!("{}", owner.why);
            return Ok(());
        }
        if Instant::now() >= end {
            let (revision, missing) = (owner.revision, owner.why);
            return Err(CtlError::Pending { revision, missing });
        }
        sleep(PAUSE).await;
    }
}
