//! The control thread.

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

/// How long starting waits for the first platform read before it continues without it.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(1_200);

/// All tasks of an instance's control thread. They run within a `LocalSet`.
///
/// All decisions about the table are made here. The traffic threads only read published
/// snapshots, and never wait for the control thread.
#[derive(Debug)]
pub struct Control<S> {
    /// Bound address for calls from other instances.
    pub address: SocketAddr,
    node: Node<S>,
    tasks: Vec<JoinHandle<()>>,
    membership_task: JoinHandle<ControlError>,
}

impl<S> Control<S>
where
    S: TableStore + MachineList + 'static,
{
    /// Binds the peer address, lists this incarnation if the platform answers, and starts
    /// all tasks.
    ///
    /// # Errors
    /// [`ControlError`] if the address is in use or another live instance has the same
    /// id.
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

    /// Shared state, used by the admin API.
    pub fn node(&self) -> &Node<S> {
        &self.node
    }

    /// Waits for a failure that stops this instance.
    pub async fn wait_failed(&mut self) -> ControlError {
        match (&mut self.membership_task).await {
            Ok(error) => error,
            Err(_) => std::future::pending().await,
        }
    }

    /// Reports this instance as leaving to the others. It keeps acknowledging and
    /// following the table until [`Self::close`].
    pub fn mark_leaving(&self) {
        self.node.mark_leaving();
    }

    /// Removes this incarnation from the table and aborts all tasks. Traffic must have
    /// ended, because other instances no longer wait for this one afterwards.
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
