//! Client for calls to other instances.

use {
    super::PeerError,
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork},
    citron_core::{
        id::Revision,
        membership::{InstanceReport, InstanceStatus},
        table::Changes,
    },
    citron_wire::{
        peer::{
            AcknowledgeRequest, AcknowledgeResponse, Asker, read_changes, read_status, write_report,
        },
        peer_capnp::peer,
    },
    futures::io::{BufReader, BufWriter},
    std::{
        cell::RefCell, collections::BTreeMap, future::Future, net::SocketAddr, rc::Rc,
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        task::{JoinHandle, spawn_local},
        time::timeout,
    },
    tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt},
};

/// Maximum duration of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum duration of an acknowledgement call. It is longer than the time after which
/// the other instance denies the acknowledgement.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Client with one connection per instance, opened on first use.
///
/// A connection whose call failed is dropped, and the next call opens a new one. A
/// connection can stop delivering for good while new ones work, when a device between
/// both ends, such as a firewall, has lost its state of the connection.
#[derive(Debug, Clone, Default)]
pub struct PeerClient {
    connections: Rc<RefCell<BTreeMap<SocketAddr, Rc<Connection>>>>,
}

struct Connection {
    client: peer::Client,
    driver: JoinHandle<()>,
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Link").finish_non_exhaustive()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl PeerClient {
    /// Requests the status of an instance.
    ///
    /// # Errors
    /// [`PeerError`] if the call fails or takes longer than half a second.
    pub async fn status(&self, address: SocketAddr) -> Result<InstanceStatus, PeerError> {
        let ask = async |client: peer::Client| {
            let response = client.status_request().send().promise.await?;
            Ok(read_status(response.get()?.get_status()?)?)
        };
        self.call(address, CALL_TIMEOUT, ask).await
    }

    /// Requests an acknowledgement that a revision is settled for a server.
    ///
    /// # Errors
    /// [`PeerError`] if the call fails or takes longer than 1.5 seconds.
    pub async fn acknowledge(
        &self,
        address: SocketAddr,
        ask: &AcknowledgeRequest,
    ) -> Result<AcknowledgeResponse, PeerError> {
        let ask = async |client: peer::Client| {
            let mut request = client.acknowledge_request();
            ask.write(request.get());
            let response = request.send().promise.await?;
            Ok(AcknowledgeResponse::from(response.get()?))
        };
        self.call(address, ACK_TIMEOUT, ask).await
    }

    /// Requests the rows that changed after a revision, and a routing lease that covers
    /// them.
    ///
    /// # Errors
    /// [`PeerError`] if the call fails or takes longer than half a second.
    pub async fn changes(
        &self,
        address: SocketAddr,
        asker: &Asker,
        since: Revision,
    ) -> Result<(InstanceStatus, Changes), PeerError> {
        let ask = async |client: peer::Client| {
            let mut request = client.changes_request();
            asker.write(request.get().init_asker());
            request.get().set_since(since.0);
            let response = request.send().promise.await?;
            let answer = response.get()?;
            let status = read_status(answer.get_status()?)?;
            Ok((status, read_changes(answer.get_changes()?)?))
        };
        self.call(address, CALL_TIMEOUT, ask).await
    }

    /// Announces that the table has reached a revision.
    ///
    /// # Errors
    /// [`PeerError`] if the call fails or takes longer than half a second.
    pub async fn announce(&self, address: SocketAddr, revision: Revision) -> Result<(), PeerError> {
        let ask = async |client: peer::Client| {
            let mut request = client.announce_request();
            request.get().set_revision(revision.0);
            request.send().promise.await?;
            Ok(())
        };
        self.call(address, CALL_TIMEOUT, ask).await
    }

    /// Sends a report of demand and crashes.
    ///
    /// # Errors
    /// [`PeerError`] if the call fails or takes longer than half a second.
    pub async fn report(
        &self,
        address: SocketAddr,
        report: &InstanceReport,
    ) -> Result<(), PeerError> {
        let ask = async |client: peer::Client| {
            let mut request = client.report_request();
            write_report(report, request.get().init_report());
            request.send().promise.await?;
            Ok(())
        };
        self.call(address, CALL_TIMEOUT, ask).await
    }

    async fn call<T, F>(
        &self,
        address: SocketAddr,
        limit: Duration,
        ask: impl FnOnce(peer::Client) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<T, PeerError>>,
    {
        let asked = async {
            let connection = self.connection(address).await?;
            ask(connection.client.clone()).await
        };
        let answer = timeout(limit, asked).await;
        let answer = answer.unwrap_or(Err(PeerError::Timeout(limit)));
        if answer.is_err() {
            self.connections.borrow_mut().remove(&address);
        }
        answer
    }

    async fn connection(&self, address: SocketAddr) -> Result<Rc<Connection>, PeerError> {
        let existing = self.connections.borrow().get(&address).cloned();
        if let Some(connection) = existing.filter(|connection| !connection.driver.is_finished()) {
            return Ok(connection);
        }
        let connection = Rc::new(connect(address).await?);
        self.connections
            .borrow_mut()
            .insert(address, Rc::clone(&connection));
        Ok(connection)
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, PeerError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    let reader = BufReader::new(reader.compat());
    let writer = BufWriter::new(writer.compat_write());
    let network = VatNetwork::new(reader, writer, Side::Client, Default::default());
    let mut system = RpcSystem::new(Box::new(network), None);
    let client: peer::Client = system.bootstrap(Side::Server);
    let driver = spawn_local(async move {
        if let Err(error) = system.await {
            log::debug!("connection to {address} ended: {error}");
        }
    });
    Ok(Connection { client, driver })
}
