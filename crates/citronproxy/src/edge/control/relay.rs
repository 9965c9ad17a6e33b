//! Tables handed from one instance to another that the store does not answer.
//!
//! The store may turn a few instances away while it serves the others and the
//! operators: without help these would route by an old configuration, and send
//! requests to servers that have long said they leave.

use {
    super::{beat::Beat, codec::TableWire, node::Node},
    crate::edge::EdgeError,
    bytes::Bytes,
    citron_ports::{Adapter, KeptClient},
    http::{Request, Response, StatusCode},
    http_body_util::Full,
    hyper::{server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{cell::Cell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{net::TcpListener, task::spawn_local, time::sleep},
};

/// How long a table may be on its way.
const PULL_TIME: Duration = Duration::from_millis(800);
/// The largest table that is read.
const TABLE_MAX: usize = 8 << 20;
/// Pause before a table is asked for again.
const PAUSE: Duration = Duration::from_millis(150);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Whether tables are being asked for; one question at a time.
pub type Pulling = Cell<bool>;

/// Listens for other instances.
///
/// # Errors
/// If the address is taken.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, EdgeError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| EdgeError::Listen {
        address: address.to_string(),
        source,
    })
}

/// Hands out tables for good.
pub async fn serve<A: Adapter>(node: Rc<Node<A>>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let node = Rc::clone(&node);
        spawn_local(async move {
            let service = service_fn(move |request| {
                let answer = table(&node, &request);
                async move { Ok::<_, Infallible>(answer) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!("an instance's connection ended: {error}");
            }
        });
    }
}

fn table<A: Adapter, B>(node: &Node<A>, request: &Request<B>) -> Response<Full<Bytes>> {
    let state = node.state.borrow();
    let place = request.uri().path().strip_prefix("/tables/");
    let mirror = place
        .and_then(|place| place.parse::<usize>().ok())
        .and_then(|at| state.mirrors.get(at));
    let json = mirror.and_then(|mirror| {
        let wire = TableWire::new(mirror.version, mirror.rows());
        serde_json::to_vec(&wire).ok()
    });
    let mut answer = Response::new(Full::new(json.clone().unwrap_or_default().into()));
    if json.is_none() {
        *answer.status_mut() = StatusCode::NOT_FOUND;
    }
    answer
}

/// Asks another instance for tables that are newer there, while the store does
/// not answer this one.
pub fn catch_up<A: Adapter>(node: &Rc<Node<A>>, from: SocketAddr, beat: &Beat) {
    if *node.store.borrow() || !beat.store || node.pulling.replace(true) {
        return;
    }
    let known = node
        .state
        .borrow()
        .mirrors
        .each_ref()
        .map(|mirror| mirror.version);
    let newer: Vec<usize> = (0..known.len())
        .filter(|at| beat.versions[*at] > known[*at])
        .collect();
    let node = Rc::clone(node);
    spawn_local(async move {
        for at in newer {
            pull(&node, from, at).await;
        }
        sleep(PAUSE).await;
        node.pulling.set(false);
    });
}

async fn pull<A: Adapter>(node: &Node<A>, from: SocketAddr, at: usize) {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = format!("/tables/{at}").parse().unwrap_or_default();
    let client = KeptClient::new(from, TABLE_MAX);
    let answer = match client.call(request, PULL_TIME).await {
        Ok(answer) => answer,
        Err(error) => return log::debug!("table {at} of {from}: {error}"),
    };
    match serde_json::from_slice::<TableWire>(answer.body()) {
        Ok(wire) => node.take(at, wire.into(), true),
        Err(error) => log::warn!(
            "{} table {at} of {from}: {error}",
            crate::events::DATAGRAM_REFUSED
        ),
    }
}
