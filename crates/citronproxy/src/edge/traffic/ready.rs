//! Whether balancers should send callers here.

use {
    crate::edge::board::Board,
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::Empty,
    hyper::{server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{convert::Infallible, sync::Arc, time::Duration},
    tokio::{net::TcpListener, task::spawn_local, time::sleep},
};

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers balancers for good.
pub async fn serve(listener: TcpListener, board: Arc<Board>, path: String) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let board = Arc::clone(&board);
        let path = path.clone();
        spawn_local(async move {
            let service = service_fn(move |request: Request<_>| {
                let answer = answer(&board, &path, request.uri().path());
                async move { Ok::<_, Infallible>(answer) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!("a balancer's connection ended: {error}");
            }
        });
    }
}

fn answer(board: &Board, path: &str, asked: &str) -> Response<Empty<Bytes>> {
    let ready = board.view().is_some() && !*board.leaving().borrow();
    let status = match (asked == path, ready) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut answer = Response::new(Empty::new());
    *answer.status_mut() = status;
    answer
}
