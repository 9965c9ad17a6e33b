//! Orders to backend servers that hold keys.

use {
    crate::{edge::control::node::Node, events},
    bytes::Bytes,
    citron_core::{
        id::ServerName,
        ranges::{LeaseTimes, Order, OrderEnd, Slice},
    },
    citron_ports::{Adapter, CallError, KeptClient},
    http::{HeaderValue, Request, Response, StatusCode},
    std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
    tokio::sync::Semaphore,
};

/// How long a server may take to give keys up: it answers when the requests on
/// them have ended, and they take up to two seconds.
const RELEASE_TIME: Duration = Duration::from_secs(3);
/// How long an answer to the question of who listens at an address may take: it
/// waits for a slot as requests do.
const HEALTH_TIME: Duration = Duration::from_millis(700);
/// The largest answer that is read.
const ANSWER_MAX: usize = 64 * 1_024;

/// Releases under way at one server at most. Each needs a connection until the
/// requests on its keys have ended, and a server whose keys are divided among
/// hundreds of others would reset what is over its limit of them.
const RELEASES: usize = 48;

/// Sends orders, on connections that are kept.
#[derive(Debug, Default)]
pub struct Orders {
    lines: RefCell<BTreeMap<SocketAddr, Line>>,
}

/// What leads to one server.
#[derive(Debug, Clone)]
struct Line {
    client: KeptClient,
    releases: Rc<Semaphore>,
}

impl Orders {
    /// Carries out an order to a server.
    pub async fn send<A: Adapter>(
        &self,
        node: &Node<A>,
        order: &Order,
        times: &LeaseTimes,
    ) -> OrderEnd {
        match order {
            Order::Grant(slice) => self.grant(node, slice, times).await,
            Order::Release {
                server,
                range,
                epoch,
            } => {
                let request = node.adapter.release(*range, *epoch);
                let line = self.line_to(node, server);
                // Nothing closes the semaphore.
                let _lane = match &line {
                    Some(line) => line.releases.acquire().await.ok(),
                    None => None,
                };
                let answer = self.call(node, server, request, RELEASE_TIME).await;
                let mut end = released(node, &answer);
                if answer.is_ok() && end == OrderEnd::Unknown && self.is_passed(node, server).await
                {
                    end = OrderEnd::Done { handover: None };
                }
                log::debug!("release {range} at {server}, epoch {epoch}: {end:?}");
                end
            }
            Order::Commit(_) => OrderEnd::Unknown,
        }
    }

    /// Whether another start answers at a server's address. The process that
    /// listened there has ended then, and holds nothing. An address may go to a
    /// server of another service, which understands no orders: without asking who
    /// it is, the keys of the one before would wait for the end of their lease.
    async fn is_passed<A: Adapter>(&self, node: &Node<A>, server: &ServerName) -> bool {
        let Some((address, path)) = health_page(node, server) else {
            return false;
        };
        let Ok(request) = Request::get(path).body(Bytes::new()) else {
            return false;
        };
        let answer = self.line(address).client.call(request, HEALTH_TIME).await;
        let Ok(answer) = answer else { return false };
        let answering = answer.headers().get(&node.adapter.headers().answering);
        answering.is_some_and(|id| id.as_bytes() != server.id().as_bytes())
    }

    fn line(&self, address: SocketAddr) -> Line {
        let mut lines = self.lines.borrow_mut();
        let line = lines.entry(address).or_insert_with(|| Line {
            client: KeptClient::new(address, ANSWER_MAX),
            releases: Rc::new(Semaphore::new(RELEASES)),
        });
        line.clone()
    }

    fn line_to<A: Adapter>(&self, node: &Node<A>, server: &ServerName) -> Option<Line> {
        let state = node.state.borrow();
        let known = state.registry.get(server)?;
        Some(self.line(known.entry.address))
    }

    async fn grant<A: Adapter>(
        &self,
        node: &Node<A>,
        slice: &Slice,
        times: &LeaseTimes,
    ) -> OrderEnd {
        let Some(owner) = &slice.owner else {
            return OrderEnd::Unknown;
        };
        let request = node.adapter.grant(slice, times.hold);
        let answer = self.call(node, owner, request, times.order).await;
        match answer.map(|answer| answer.status()) {
            Ok(StatusCode::OK) => OrderEnd::Done { handover: None },
            Ok(StatusCode::CONFLICT) => {
                log::info!(
                    "{} {} at {owner}, epoch {}: a higher one was seen",
                    events::GRANT_REFUSED,
                    slice.range,
                    slice.epoch
                );
                OrderEnd::Outdated
            }
            Ok(status) => {
                log::warn!(
                    "{} {} at {owner}: {status}",
                    events::GRANT_REFUSED,
                    slice.range
                );
                OrderEnd::Unknown
            }
            Err(error) => {
                log::debug!("grant of {} to {owner}: {error}", slice.range);
                match error {
                    CallError::NotSent(_) => OrderEnd::NotSent,
                    CallError::Unknown(_) => OrderEnd::Unknown,
                }
            }
        }
    }

    async fn call<A: Adapter>(
        &self,
        node: &Node<A>,
        server: &ServerName,
        mut request: Request<Bytes>,
        span: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let Some(line) = self.line_to(node, server) else {
            return Err(CallError::NotSent("the server is not known".to_string()));
        };
        if let Ok(name) = HeaderValue::from_str(server.id()) {
            let header = node.adapter.headers().instance.clone();
            request.headers_mut().insert(header, name);
        }
        line.client.call(request, span).await
    }

    /// Drops the connections to servers that hold nothing.
    pub fn retain(&self, used: impl Fn(&SocketAddr) -> bool) {
        self.lines.borrow_mut().retain(|address, _| used(address));
    }
}

/// Where to ask who listens at a server's address: by the service of the start
/// that is listed there now, or by its own.
fn health_page<A: Adapter>(node: &Node<A>, server: &ServerName) -> Option<(SocketAddr, String)> {
    let state = node.state.borrow();
    let address = state.registry.get(server)?.entry.address;
    let mut listed = state.registry.at(&address);
    let there = listed
        .find(|known| known.is_open())
        .or(state.registry.get(server))?;
    let config = state.config.as_ref()?;
    let service = config.service(&there.entry.service)?;
    Some((address, service.health_path.clone()))
}

fn released<A: Adapter>(node: &Node<A>, answer: &Result<Response<Bytes>, CallError>) -> OrderEnd {
    match answer {
        Ok(answer) if answer.status() == StatusCode::OK => OrderEnd::Done {
            handover: node.adapter.handover(answer.headers()),
        },
        // The order names the start that it is for, and another one has answered
        // at the address: a process listens there that is not the one released,
        // which therefore has ended and holds nothing.
        Ok(answer) if answer.status() == StatusCode::MISDIRECTED_REQUEST => {
            OrderEnd::Done { handover: None }
        }
        _ => OrderEnd::Unknown,
    }
}
