//! The control thread as a whole.

use {
    super::{
        ControlConfig, ControlError, ControlMetrics, Health, MoveDriver, Node, follower, granting,
        membership, planning, probing, reporting,
    },
    crate::{clock::Clock, peer, traffic::TrafficHandle},
    citron_ports::{GrantClient, MachineList, Prober, TableStore},
    std::{future::Future, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::TcpListener,
        task::{JoinHandle, spawn_local},
        time::timeout,
    },
};

/// How long a start waits for the platform before it goes on without.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The tasks of one instance's control thread, within a `LocalSet`.
///
/// All decisions about the table are taken here; traffic threads only read what
/// is published, and never wait for it.
#[derive(Debug)]
pub struct Control<S> {
    /// Where other instances reach this one.
    pub address: SocketAddr,
    node: Node<S>,
    tasks: Vec<JoinHandle<()>>,
    membership_task: JoinHandle<ControlError>,
}

impl<S> Control<S>
where
    S: TableStore + MachineList + 'static,
{
    /// Binds the address for other instances, lists this start if the platform
    /// answers, and starts all tasks.
    ///
    /// # Errors
    /// [`ControlError`] if the address is in use or another live instance has
    /// the same id.
    pub async fn start<B>(
        mut config: ControlConfig,
        (store, servers): (S, B),
        handle: TrafficHandle,
        clock: Clock,
        metrics: ControlMetrics,
    ) -> Result<Self, ControlError>
    where
        B: GrantClient + Prober + 'static,
    {
        let listener = bind(config.peer).await?;
        config.peer = listener.local_addr().unwrap_or(config.peer);
        let address = config.peer;
        let node = Node::new(config, store, handle, clock, metrics);
        let mut tasks = vec![spawn_local(peer::serve(listener, node.clone()))];
        if let Ok(Ok(())) = timeout(FIRST_READ_TIMEOUT, node.refresh()).await {
            membership::join(&node).await?;
        }
        let membership_task = spawn_local(membership::keep_joined(node.clone()));
        let servers = Rc::new(servers);
        let health = Health::default();
        spawn(&mut tasks, follower::follow(node.clone()));
        spawn(&mut tasks, follower::relay(node.clone()));
        spawn(&mut tasks, membership::watch_neighbours(node.clone()));
        spawn(&mut tasks, reporting::exchange_reports(node.clone()));
        spawn(
            &mut tasks,
            granting::grant_servers(node.clone(), Rc::clone(&servers)),
        );
        spawn(
            &mut tasks,
            probing::follow_list(node.clone(), health.clone()),
        );
        let probes = probing::probe_servers(node.clone(), Rc::clone(&servers), health.clone());
        spawn(&mut tasks, probes);
        spawn(&mut tasks, planning::plan_moves(node.clone(), health));
        spawn(&mut tasks, MoveDriver::new(node.clone(), servers).run());
        Ok(Self {
            address,
            node,
            tasks,
            membership_task,
        })
    }

    /// The shared state, for the admin API.
    pub fn node(&self) -> &Node<S> {
        &self.node
    }

    /// Ends only if this instance cannot go on.
    pub async fn wait_failed(&mut self) -> ControlError {
        match (&mut self.membership_task).await {
            Ok(error) => error,
            Err(_) => std::future::pending().await,
        }
    }

    /// Says to others that this instance is leaving; it goes on acknowledging
    /// and following until [`Self::close`].
    pub fn mark_leaving(&self) {
        self.node.mark_leaving();
    }

    /// Takes this start off the list. Traffic must have ended: from here on
    /// nobody waits for this instance.
    pub async fn close(self) {
        self.membership_task.abort();
        membership::leave_table(&self.node).await;
        for task in self.tasks {
            task.abort();
        }
    }
}

fn spawn(tasks: &mut Vec<JoinHandle<()>>, task: impl Future<Output = ()> + 'static) {
    tasks.push(spawn_local(task));
}

async fn bind(address: SocketAddr) -> Result<TcpListener, ControlError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| ControlError::Bind { address, source })
}
