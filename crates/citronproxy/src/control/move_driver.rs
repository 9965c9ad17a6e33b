//! Brings moves to their end: those that this instance began, and those that
//! another one left.

use {
    super::{Batch, Driven, Heard, Node, Releases, ScopeKey, WATCHERS},
    crate::{events, peer::PeerHost},
    citron_core::{
        id::{Revision, ServerName},
        membership::Member,
        ownership::{Ack, Grant, GrantResult, MoveAction, MoveEvent},
        table::Commit,
    },
    citron_ports::{Grants, TableStore},
    citron_wire::peer::AckAsk,
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

/// The pause between two steps while something moves.
const STEP_PAUSE: Duration = Duration::from_millis(20);
/// The pause while nothing moves.
const IDLE_PAUSE: Duration = Duration::from_millis(400);
/// The pause after a question that got no answer.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How much later the next instance takes a move over than the one before it.
const RANK_DELAY: Duration = Duration::from_millis(600);

/// A question that is under way.
type Asked = (ServerName, Member, Revision);

/// The moves that this instance follows.
#[derive(Debug)]
pub struct Moves<S, B> {
    node: Node<S>,
    servers: Rc<B>,
    driven: BTreeMap<ScopeKey, Driven>,
    releases: Releases,
    asked: BTreeSet<Asked>,
    revoking: BTreeSet<ServerName>,
    heard: UnboundedReceiver<Heard>,
    tell: UnboundedSender<Heard>,
}

impl<S, B> Moves<S, B>
where
    S: TableStore + 'static,
    B: Grants + 'static,
{
    /// No moves yet.
    pub fn new(node: Node<S>, servers: Rc<B>) -> Self {
        let (tell, heard) = unbounded_channel();
        Self {
            node,
            servers,
            driven: BTreeMap::new(),
            releases: Releases::default(),
            asked: BTreeSet::new(),
            revoking: BTreeSet::new(),
            heard,
            tell,
        }
    }

    /// Follows moves; ends only with its task.
    pub async fn run(mut self) {
        let mut revisions = self.node.revisions();
        loop {
            let idle = self.driven.is_empty();
            let pause = if idle { IDLE_PAUSE } else { STEP_PAUSE };
            tokio::select! {
                _ = revisions.changed() => {}
                heard = self.heard.recv() => self.hear(heard),
                () = sleep(pause) => {}
            }
            while let Ok(heard) = self.heard.try_recv() {
                self.hear(Some(heard));
            }
            self.take_up();
            self.step();
            self.revoke();
            self.node.metrics().moving.set(self.driven.len() as i64);
        }
    }

    /// Takes up what the table shows as releasing. Instances whose turn has not
    /// come take it up too, so that their waits run meanwhile.
    fn take_up(&mut self) {
        self.node.table(|table| self.releases.refresh(table));
        let shown = self.releases.scopes();
        let now = self.node.now();
        // Those whose turn has come hear of the end by their next step.
        self.driven
            .retain(|key, driven| now >= driven.turn || shown.contains(key));
        for key in shown {
            let rank = self.node.rank(&key.0);
            if rank >= WATCHERS || self.driven.contains_key(key) {
                continue;
            }
            let turn = now + RANK_DELAY * rank;
            let taken = self
                .node
                .table(|table| Driven::take_up(table, key, turn, now));
            if let Some(driven) = taken {
                self.driven.insert(key.clone(), driven);
            }
        }
    }

    /// Steps every move whose turn it is, and commits what is certain at once.
    fn step(&mut self) {
        let now = self.node.now();
        let mut batch = None;
        let due = self.driven.iter().filter(|(_, driven)| now >= driven.turn);
        let keys: Vec<ScopeKey> = due.map(|(key, _)| key.clone()).collect();
        for key in keys {
            let Some(driven) = self.driven.get_mut(&key) else {
                continue;
            };
            let actions = self.node.table(|table| {
                let table = batch.as_ref().map_or(table, Batch::draft);
                driven.step(table, now)
            });
            for action in actions {
                self.act(&key, action, &mut batch);
            }
        }
        self.commit(batch);
    }

    fn act(&mut self, key: &ScopeKey, action: MoveAction, batch: &mut Option<Batch>) {
        match action {
            MoveAction::Revoke { grants, .. } => {
                if let Some(driven) = self.driven.get_mut(key) {
                    driven.revoke = grants;
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
                self.ask(key, member, revision);
            }
            MoveAction::Commit(commit) => self.add(key, commit, batch),
            MoveAction::Reread => self.reread(key),
            // The new owner's own task grants what the table shows.
            MoveAction::Grant { .. } => {}
            MoveAction::Done { owner, epoch } => {
                let (service, scope) = key;
                log::info!("{} {service} {scope} {owner} {epoch}", events::MOVE_DONE);
                self.node.metrics().moves.inc();
                self.driven.remove(key);
            }
            MoveAction::Superseded => {
                self.driven.remove(key);
            }
        }
    }

    fn add(&mut self, key: &ScopeKey, commit: Commit, batch: &mut Option<Batch>) {
        let batch = batch.get_or_insert_with(|| self.node.table(Batch::new));
        let added = batch.add(commit).is_ok();
        if let Some(driven) = self.driven.get_mut(key) {
            match added {
                true => driven.committing = true,
                false => driven.not_committed(),
            }
        }
    }

    fn commit(&mut self, batch: Option<Batch>) {
        let Some(commit) = batch.and_then(Batch::commit) else {
            return;
        };
        let mut keys = Vec::new();
        for (key, driven) in &mut self.driven {
            if std::mem::take(&mut driven.committing) {
                keys.push(key.clone());
            }
        }
        let (node, tell) = (self.node.clone(), self.tell.clone());
        spawn_local(async move {
            let committed = node.commit(commit).await;
            if committed.done {
                node.announce_all();
            }
            let reread = committed.reread;
            let _ = tell.send(Heard::Committed { keys, reread });
        });
    }

    fn reread(&mut self, key: &ScopeKey) {
        let Some(driven) = self.driven.get_mut(key) else {
            return;
        };
        if std::mem::replace(&mut driven.reading, true) {
            return;
        }
        let commits = driven.commits;
        let (node, tell, key) = (self.node.clone(), self.tell.clone(), key.clone());
        spawn_local(async move {
            let read = node.refresh().await.is_ok();
            if !read {
                sleep(RETRY_PAUSE).await;
            }
            let _ = tell.send(Heard::Reread { key, commits, read });
        });
    }

    /// Asks an instance to acknowledge, once for all moves off one server.
    fn ask(&mut self, key: &ScopeKey, member: Member, revision: Revision) {
        let Some(driven) = self.driven.get(key) else {
            return;
        };
        let server = driven.owner.clone();
        let asked = (server.clone(), member.clone(), revision);
        if !self.asked.insert(asked.clone()) {
            return;
        }
        let (node, tell) = (self.node.clone(), self.tell.clone());
        spawn_local(async move {
            let ack = acknowledged(&node, &member, AckAsk { server, revision }).await;
            if ack.is_none() {
                sleep(RETRY_PAUSE).await;
            }
            let _ = tell.send(Heard::Answered { asked, ack });
        });
    }

    /// Sends each old owner all its revocations that are not accepted yet.
    fn revoke(&mut self) {
        let now = self.node.now();
        let mut orders: BTreeMap<ServerName, Vec<Grant>> = BTreeMap::new();
        for driven in self.driven.values().filter(|driven| now >= driven.turn) {
            let grants = orders.entry(driven.owner.clone()).or_default();
            grants.extend(driven.revoke.iter().cloned());
        }
        for (name, grants) in orders {
            if grants.is_empty() || self.revoking.contains(&name) {
                continue;
            }
            let Some(row) = self.node.server(&name) else {
                continue;
            };
            self.revoking.insert(name.clone());
            let (servers, tell) = (Rc::clone(&self.servers), self.tell.clone());
            spawn_local(async move {
                let answer = servers.order(&row, None, &grants, None).await;
                if answer.is_err() {
                    sleep(RETRY_PAUSE).await;
                }
                let results = answer.map_or(Vec::new(), |reply| reply.results);
                let accepted = grants.into_iter().zip(results);
                let accepted = accepted.filter(|(_, result)| *result == GrantResult::Accepted);
                let grants = accepted.map(|(grant, _)| grant).collect();
                let _ = tell.send(Heard::Revoked { name, grants });
            });
        }
    }

    fn hear(&mut self, heard: Option<Heard>) {
        match heard {
            Some(Heard::Answered { asked, ack }) => {
                self.asked.remove(&asked);
                if let Some(ack) = ack {
                    self.hear_ack(&asked.0, &ack);
                }
            }
            Some(Heard::Revoked { name, grants }) => {
                self.revoking.remove(&name);
                self.hear_revoked(&grants);
            }
            Some(Heard::Committed { keys, reread }) => {
                for key in keys {
                    if let Some(driven) = self.driven.get_mut(&key) {
                        driven.committed(reread);
                    }
                }
            }
            Some(Heard::Reread { key, commits, read }) => {
                if let Some(driven) = self.driven.get_mut(&key) {
                    driven.reread(commits, read);
                }
            }
            None => {}
        }
    }

    fn hear_ack(&mut self, server: &ServerName, ack: &Ack) {
        let same = self.driven.iter().filter(|(_, d)| d.owner == *server);
        let keys: Vec<ScopeKey> = same.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.feed(&key, MoveEvent::Acked(ack.clone()));
        }
    }

    fn hear_revoked(&mut self, accepted: &[Grant]) {
        let mut ready = Vec::new();
        for (key, driven) in &mut self.driven {
            let all = driven.revoke.iter().all(|grant| accepted.contains(grant));
            if all && !driven.revoke.is_empty() {
                driven.revoke.clear();
                ready.push((key.clone(), driven.epoch));
            }
        }
        for (key, epoch) in ready {
            self.feed(&key, MoveEvent::Revoked { epoch });
        }
    }

    /// Hands an event to a mover with the next step, so that commits which follow
    /// from several events are made together.
    fn feed(&mut self, key: &ScopeKey, event: MoveEvent) {
        if let Some(driven) = self.driven.get_mut(key) {
            driven.events.push(event);
        }
    }
}

/// Asks one instance; `None` if it did not settle the revision in time.
async fn acknowledged<S: TableStore + 'static>(
    node: &Node<S>,
    member: &Member,
    ask: AckAsk,
) -> Option<Ack> {
    let revision = ask.revision;
    let answer = if *member == node.config().me {
        node.acknowledge(ask).await
    } else {
        let rows = node.others();
        let row = rows.iter().find(|row| row.id == member.instance)?;
        node.peers()
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
