//! Backend servers that are about to leave, with callers all the while.

mod support;

use {
    citron_core::table::Fencing,
    citron_ports::MachineState,
    std::time::{Duration, Instant},
    support::{Callers, Deployment, check_owners, check_told},
    tokio::time::sleep,
};

/// A leaving server gets no new work after so long.
const NO_NEW_WORK: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy)]
enum Word {
    Row,
    List,
    Own,
}

/// A server is told to leave by its row, or the platform's list or it itself
/// says so. Its keys move to the others while callers post to all of them: none
/// is refused, none is cut, and nothing runs under two owners.
async fn leave(fencing: Fencing, word: Word) {
    let case = format!("{fencing:?} {word:?}");
    // Long enough that requests are always in flight when the moves begin.
    let work = Duration::from_millis(60);
    let spans = [Duration::from_secs(3), Duration::from_secs(3), work];
    let deployment = Deployment::start_with(&["harbour"; 3], fencing, spans).await;
    let one = deployment.instance("entry-1", "harbour").await;
    let two = deployment.instance("entry-2", "harbour").await;
    let callers = Callers::start(&[[one.traffic, two.traffic]; 3].concat(), 48);
    sleep(Duration::from_millis(300)).await;
    let said = Instant::now();
    match word {
        Word::Row => deployment.drain("server-1").await,
        Word::List => {
            let memory = &deployment.platform.memory;
            memory.set_machine("server-1", Some(MachineState::Leaving));
        }
        Word::Own => deployment.servers[0].drain(),
    }
    deployment.until_empty("server-1").await;
    let took = said.elapsed();
    sleep(Duration::from_millis(300)).await;
    let told = callers.stop().await;
    println!("{case}: moved in {took:?} under {} requests", told.len());
    assert!(took < NO_NEW_WORK, "{case}: {took:?}");
    let refused: Vec<_> = told.iter().filter(|one| one.status != 200).collect();
    assert!(refused.is_empty(), "{case}: {refused:?}");
    check_told(&told, &deployment.runs());
    check_owners(&deployment.runs());
    let slowest = told.iter().map(|one| one.took).max();
    println!("{case}: slowest answer {slowest:?}");
}

/// All load is on one of three servers. Once that has lasted, shards move to the
/// others, and callers notice nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_lasting_imbalance_is_mended_under_load() {
    let work = Duration::from_millis(20);
    let spans = [Duration::from_secs(3), Duration::from_secs(3), work];
    let deployment = Deployment::start_with(&["harbour"; 3], Fencing::Checked, spans).await;
    let one = deployment.instance("entry-1", "harbour").await;
    let two = deployment.instance("entry-2", "harbour").await;
    let before = deployment.keys_of("server-1", 48).await;
    let callers = Callers::on(&[[one.traffic, two.traffic]; 2].concat(), &before);
    let begun = Instant::now();
    let mut left = before.clone();
    while left.len() * 2 > before.len() {
        assert!(begun.elapsed() < Duration::from_secs(40), "{left:?}");
        sleep(Duration::from_millis(100)).await;
        left = deployment.keys_of("server-1", 48).await;
        left.retain(|key| before.contains(key));
    }
    let took = begun.elapsed();
    sleep(Duration::from_millis(300)).await;
    let told = callers.stop().await;
    println!(
        "{} of {} busy keys left after {took:?}",
        left.len(),
        before.len()
    );
    let refused: Vec<_> = told.iter().filter(|one| one.status != 200).collect();
    assert!(refused.is_empty(), "{refused:?}");
    check_told(&told, &deployment.runs());
    check_owners(&deployment.runs());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_that_checks_grants() {
    for word in [Word::Row, Word::List, Word::Own] {
        leave(Fencing::Checked, word).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_that_does_not() {
    for word in [Word::Row, Word::List, Word::Own] {
        leave(Fencing::Unchecked, word).await;
    }
}
