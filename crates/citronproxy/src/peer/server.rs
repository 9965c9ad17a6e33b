//! Server for calls from other instances.

use {
    super::PeerHandler,
    capnp::capability::Rc,
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork},
    citron_core::id::Revision,
    citron_wire::{
        peer::{AcknowledgeRequest, Asker, read_report, write_changes, write_status},
        peer_capnp::peer,
    },
    futures::io::{BufReader, BufWriter},
    std::{cell::Cell, rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        task::spawn_local,
        time::sleep,
    },
    tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt},
};

/// Maximum number of open connections from other instances. Further ones are closed, so
/// that a flood of connections cannot exhaust memory and file descriptors.
const MAX_CONNECTIONS: usize = 1_024;
/// Pause after a failed accept, which is usually caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves calls until its task is aborted. Must run within a `LocalSet`.
pub async fn serve(listener: TcpListener, handler: impl PeerHandler) {
    let open = rc::Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if open.get() >= MAX_CONNECTIONS {
            continue;
        }
        let handler = handler.clone();
        let open = rc::Rc::clone(&open);
        open.set(open.get() + 1);
        spawn_local(async move {
            serve_connection(stream, handler).await;
            open.set(open.get() - 1);
        });
    }
}

async fn serve_connection(stream: TcpStream, handler: impl PeerHandler) {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let reader = BufReader::new(reader.compat());
    let writer = BufWriter::new(writer.compat_write());
    let network = VatNetwork::new(reader, writer, Side::Server, Default::default());
    let client: peer::Client = capnp_rpc::new_client(PeerServer { handler });
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    if let Err(error) = system.await {
        log::debug!("peer connection ended: {error}");
    }
}

struct PeerServer<H> {
    handler: H,
}

impl<H: PeerHandler> peer::Server for PeerServer<H> {
    async fn status(
        self: Rc<Self>,
        _: peer::StatusParams,
        mut results: peer::StatusResults,
    ) -> Result<(), capnp::Error> {
        write_status(&self.handler.status(), results.get().init_status());
        Ok(())
    }

    async fn acknowledge(
        self: Rc<Self>,
        params: peer::AcknowledgeParams,
        mut results: peer::AcknowledgeResults,
    ) -> Result<(), capnp::Error> {
        let ask = AcknowledgeRequest::try_from(params.get()?).map_err(to_capnp_error)?;
        let answer = self.handler.acknowledge(ask).await;
        answer.write(results.get());
        Ok(())
    }

    async fn changes(
        self: Rc<Self>,
        params: peer::ChangesParams,
        mut results: peer::ChangesResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let asker = Asker::try_from(params.get_asker()?).map_err(to_capnp_error)?;
        let (status, changes) = self.handler.changes(asker, Revision(params.get_since()));
        write_status(&status, results.get().init_status());
        write_changes(&changes, results.get().init_changes()).map_err(to_capnp_error)
    }

    async fn announce(
        self: Rc<Self>,
        params: peer::AnnounceParams,
        _: peer::AnnounceResults,
    ) -> Result<(), capnp::Error> {
        self.handler
            .announce(Revision(params.get()?.get_revision()));
        Ok(())
    }

    async fn report(
        self: Rc<Self>,
        params: peer::ReportParams,
        _: peer::ReportResults,
    ) -> Result<(), capnp::Error> {
        let report = read_report(params.get()?.get_report()?).map_err(to_capnp_error)?;
        self.handler.report(report);
        Ok(())
    }
}

fn to_capnp_error(error: citron_wire::WireError) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}
