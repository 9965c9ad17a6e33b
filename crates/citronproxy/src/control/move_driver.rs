//! Drives moves to completion, both those that this instance began and those that another
//! instance left unfinished.

use {
    super::{ACTIVE_RANKS, CommitBatch, Node, ReleasingScopes, ScopeKey, TaskResult, TrackedMove},
    crate::{events, peer::PeerHandler},
    citron_core::{
        id::{Revision, ServerName},
        membership::Member,
        ownership::{Ack, Grant, GrantResult, MoveAction, MoveEvent},
        table::Commit,
    },
    citron_ports::{GrantClient, TableStore},
    citron_wire::peer::AcknowledgeRequest,
    std::{
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
        task::spawn_local,
        time::sleep,
    },
};

/// Pause between two steps while a move is tracked.
const STEP_INTERVAL: Duration = Duration::from_millis(20);
/// Pause while no move is tracked.
const IDLE_INTERVAL: Duration = Duration::from_millis(400);
/// Pause after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay per rank before an instance takes over a move. Lower ranks act first.
const RANK_DELAY: Duration = Duration::from_millis(600);

/// An acknowledgement request in progress: the old owner, the instance asked and the
/// revision.
type AckRequest = (ServerName, Member, Revision);

/// The driver of all moves that this instance tracks.
#[derive(Debug)]
pub struct MoveDriver<S, B> {
    node: Node<S>,
    servers: Rc<B>,
    moves: BTreeMap<ScopeKey, TrackedMove>,
    releases: ReleasingScopes,
    pending_acks: BTreeSet<AckRequest>,
    /// Servers with an order of revocations in progress.
    revoking: BTreeSet<ServerName>,
    results: UnboundedReceiver<TaskResult>,
    result_sender: UnboundedSender<TaskResult>,
}

impl<S, B> MoveDriver<S, B>
where
    S: TableStore + 'static,
    B: GrantClient + 'static,
{
    /// Creates a driver without moves.
    pub fn new(node: Node<S>, servers: Rc<B>) -> Self {
        let (result_sender, results) = unbounded_channel();
        Self {
            node,
            servers,
            moves: BTreeMap::new(),
            releases: ReleasingScopes::default(),
            pending_acks: BTreeSet::new(),
            revoking: BTreeSet::new(),
            results,
            result_sender,
        }
    }

    /// Tracks and steps moves. Runs until its task is aborted.
    pub async fn run(mut self) {
        let mut revisions = self.node.revisions();
        loop {
            let is_idle = self.moves.is_empty();
            let pause = if is_idle {
                IDLE_INTERVAL
            } else {
                STEP_INTERVAL
            };
            tokio::select! {
                _ = revisions.changed() => {}
                result = self.results.recv() => self.handle_result(result),
                () = sleep(pause) => {}
            }
            while let Ok(result) = self.results.try_recv() {
                self.handle_result(Some(result));
            }
            self.track_releases();
            self.step_moves();
            self.send_revocations();
            self.node.metrics().open_moves.set(self.moves.len() as i64);
        }
    }

    /// Starts tracking every scope that the table shows as releasing. Instances that may
    /// not act yet track it too, so that the waits of their movers elapse in the
    /// meantime.
    fn track_releases(&mut self) {
        self.node.with_table(|table| self.releases.refresh(table));
        let releasing = self.releases.scopes();
        let now = self.node.now();
        // A move that this instance acts on is removed when its mover reports the end in
        // its next step.
        self.moves
            .retain(|key, tracked| now >= tracked.acts_from || releasing.contains(key));
        for key in releasing {
            let rank = self.node.rank(&key.0);
            if rank >= ACTIVE_RANKS || self.moves.contains_key(key) {
                continue;
            }
            let acts_from = now + RANK_DELAY * rank;
            let resumed = self
                .node
                .with_table(|table| TrackedMove::resume(table, key, acts_from, now));
            if let Some(tracked) = resumed {
                self.moves.insert(key.clone(), tracked);
            }
        }
    }

    /// Steps every move that this instance may act on now, and writes their commits as
    /// one.
    fn step_moves(&mut self) {
        let now = self.node.now();
        let mut batch = None;
        let due = self
            .moves
            .iter()
            .filter(|(_, tracked)| now >= tracked.acts_from);
        let keys: Vec<ScopeKey> = due.map(|(key, _)| key.clone()).collect();
        for key in keys {
            let Some(tracked) = self.moves.get_mut(&key) else {
                continue;
            };
            let actions = self.node.with_table(|table| {
                let table = batch.as_ref().map_or(table, CommitBatch::draft);
                tracked.step(table, now)
            });
            for action in actions {
                self.perform(&key, action, &mut batch);
            }
        }
        self.commit_batch(batch);
    }

    fn perform(&mut self, key: &ScopeKey, action: MoveAction, batch: &mut Option<CommitBatch>) {
        match action {
            MoveAction::Revoke { grants, .. } => {
                if let Some(tracked) = self.moves.get_mut(key) {
                    tracked.pending_revocations = grants;
                }
            }
            MoveAction::RequestAck {
                instance,
                incarnation,
                revision,
            } => {
                let member = Member {
                    instance,
                    incarnation,
                };
                self.request_ack(key, member, revision);
            }
            MoveAction::Commit(commit) => self.add_to_batch(key, commit, batch),
            MoveAction::Reread => self.reread_table(key),
            // The granting task of the new owner sends the grants that the table shows.
            MoveAction::Grant { .. } => {}
            MoveAction::Done { owner, epoch } => {
                let (service, scope) = key;
                log::info!("{} {service} {scope} {owner} {epoch}", events::MOVE_DONE);
                self.node.metrics().ended_moves.inc();
                self.moves.remove(key);
            }
            MoveAction::Superseded => {
                self.moves.remove(key);
            }
        }
    }

    fn add_to_batch(&mut self, key: &ScopeKey, commit: Commit, batch: &mut Option<CommitBatch>) {
        let batch = batch.get_or_insert_with(|| self.node.with_table(CommitBatch::new));
        let added = batch.add(commit).is_ok();
        if let Some(tracked) = self.moves.get_mut(key) {
            match added {
                true => tracked.is_in_batch = true,
                false => tracked.commit_not_sent(),
            }
        }
    }

    fn commit_batch(&mut self, batch: Option<CommitBatch>) {
        let Some(commit) = batch.and_then(CommitBatch::into_commit) else {
            return;
        };
        let mut scopes = Vec::new();
        for (key, tracked) in &mut self.moves {
            if std::mem::take(&mut tracked.is_in_batch) {
                scopes.push(key.clone());
            }
        }
        let (node, sender) = (self.node.clone(), self.result_sender.clone());
        spawn_local(async move {
            let committed = node.commit(commit).await;
            if committed.is_committed {
                node.announce_revision();
            }
            let is_reread = committed.is_reread;
            let _ = sender.send(TaskResult::CommitEnded { scopes, is_reread });
        });
    }

    fn reread_table(&mut self, key: &ScopeKey) {
        let Some(tracked) = self.moves.get_mut(key) else {
            return;
        };
        if std::mem::replace(&mut tracked.is_reading, true) {
            return;
        }
        let ended_commits = tracked.ended_commits;
        let (node, sender, key) = (self.node.clone(), self.result_sender.clone(), key.clone());
        spawn_local(async move {
            let is_ok = node.refresh().await.is_ok();
            if !is_ok {
                sleep(RETRY_DELAY).await;
            }
            let _ = sender.send(TaskResult::TableRead {
                key,
                ended_commits,
                is_ok,
            });
        });
    }

    /// Asks an instance for an acknowledgement, once for all moves off the same server.
    fn request_ack(&mut self, key: &ScopeKey, member: Member, revision: Revision) {
        let Some(tracked) = self.moves.get(key) else {
            return;
        };
        let server = tracked.old_owner.clone();
        let request = (server.clone(), member.clone(), revision);
        if !self.pending_acks.insert(request.clone()) {
            return;
        }
        let (node, sender) = (self.node.clone(), self.result_sender.clone());
        spawn_local(async move {
            let ack = fetch_ack(&node, &member, AcknowledgeRequest { server, revision }).await;
            if ack.is_none() {
                sleep(RETRY_DELAY).await;
            }
            let _ = sender.send(TaskResult::AckAnswered { request, ack });
        });
    }

    /// Sends each old owner all of its revocations that it has not accepted yet.
    fn send_revocations(&mut self) {
        let now = self.node.now();
        let mut orders: BTreeMap<ServerName, Vec<Grant>> = BTreeMap::new();
        for tracked in self
            .moves
            .values()
            .filter(|tracked| now >= tracked.acts_from)
        {
            let grants = orders.entry(tracked.old_owner.clone()).or_default();
            grants.extend(tracked.pending_revocations.iter().cloned());
        }
        for (server, grants) in orders {
            if grants.is_empty() || self.revoking.contains(&server) {
                continue;
            }
            let Some(row) = self.node.server_row(&server) else {
                continue;
            };
            self.revoking.insert(server.clone());
            let (servers, sender) = (Rc::clone(&self.servers), self.result_sender.clone());
            spawn_local(async move {
                let answer = servers.send_order(&row, None, &grants, None).await;
                if answer.is_err() {
                    sleep(RETRY_DELAY).await;
                }
                let results = answer.map_or(Vec::new(), |reply| reply.results);
                let accepted = grants.into_iter().zip(results);
                let accepted = accepted.filter(|(_, result)| *result == GrantResult::Accepted);
                let grants = accepted.map(|(grant, _)| grant).collect();
                let _ = sender.send(TaskResult::Revoked { server, grants });
            });
        }
    }

    fn handle_result(&mut self, result: Option<TaskResult>) {
        match result {
            Some(TaskResult::AckAnswered { request, ack }) => {
                self.pending_acks.remove(&request);
                if let Some(ack) = ack {
                    self.handle_ack(&request.0, &ack);
                }
            }
            Some(TaskResult::Revoked { server, grants }) => {
                self.revoking.remove(&server);
                self.handle_revoked(&grants);
            }
            Some(TaskResult::CommitEnded { scopes, is_reread }) => {
                for key in scopes {
                    if let Some(tracked) = self.moves.get_mut(&key) {
                        tracked.commit_ended(is_reread);
                    }
                }
            }
            Some(TaskResult::TableRead {
                key,
                ended_commits,
                is_ok,
            }) => {
                if let Some(tracked) = self.moves.get_mut(&key) {
                    tracked.read_ended(ended_commits, is_ok);
                }
            }
            None => {}
        }
    }

    fn handle_ack(&mut self, server: &ServerName, ack: &Ack) {
        let same = self.moves.iter().filter(|(_, d)| d.old_owner == *server);
        let keys: Vec<ScopeKey> = same.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.push_event(&key, MoveEvent::Acked(ack.clone()));
        }
    }

    fn handle_revoked(&mut self, accepted: &[Grant]) {
        let mut ready = Vec::new();
        for (key, tracked) in &mut self.moves {
            let all = tracked
                .pending_revocations
                .iter()
                .all(|grant| accepted.contains(grant));
            if all && !tracked.pending_revocations.is_empty() {
                tracked.pending_revocations.clear();
                ready.push((key.clone(), tracked.epoch));
            }
        }
        for (key, epoch) in ready {
            self.push_event(&key, MoveEvent::Revoked { epoch });
        }
    }

    /// Queues an event for the next step of a mover, so that commits that follow from
    /// several events are batched.
    fn push_event(&mut self, key: &ScopeKey, event: MoveEvent) {
        if let Some(tracked) = self.moves.get_mut(key) {
            tracked.pending_events.push(event);
        }
    }
}

/// Asks one instance for an acknowledgement; `None` if it did not settle the revision in
/// time.
async fn fetch_ack<S: TableStore + 'static>(
    node: &Node<S>,
    member: &Member,
    ask: AcknowledgeRequest,
) -> Option<Ack> {
    let revision = ask.revision;
    let answer = if *member == node.config().member {
        node.acknowledge(ask).await
    } else {
        let rows = node.other_instances();
        let row = rows.iter().find(|row| row.id == member.instance)?;
        node.peer_client()
            .acknowledge(row.peer_address, &ask)
            .await
            .ok()?
    };
    answer.settled.then(|| Ack {
        instance: member.instance.clone(),
        incarnation: answer.incarnation,
        revision,
    })
}
