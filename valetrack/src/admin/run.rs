//! The admin thread.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};

use crate::bundle::InForce;
use crate::member::{Member, Members};
use crate::metric::Metrics;
use crate::timeline::log as events;

/// Limit of concurrent connections.
const CONNECTIONS_MAX: usize = 32;

/// Published state that the admin port shows.
#[derive(Clone)]
pub struct AdminParts {
    /// Path of the platform's readiness check, in addition to `/ready`.
    pub ready_path: &'static str,
    /// Name of this VM.
    pub vm: Arc<str>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Bundle in force.
    pub bundle: watch::Receiver<Option<Arc<InForce>>>,
    /// VMs of the fleet.
    pub members: watch::Receiver<Arc<Members>>,
    /// Whether this node accepts work.
    pub serving: watch::Receiver<bool>,
    /// Whether this node is leaving.
    pub leaving: watch::Receiver<bool>,
    /// Becomes true when the port must close.
    pub closing: watch::Receiver<bool>,
}

#[derive(Serialize)]
struct Status<'a> {
    vm: &'a str,
    release: &'static str,
    ready: bool,
    leaving: bool,
    bundle_number: u64,
    bundle_version: &'a str,
    /// Failure domains whose servers receive no calls.
    evacuated: Vec<&'a str>,
    members: Vec<&'a Member>,
}

/// Serves the admin port until `closing` becomes true; must run on a local task set.
pub async fn run(listener: TcpListener, parts: AdminParts) {
    let mut closing = parts.closing.clone();
    let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => return,
        };
        let (Ok((stream, _)), Ok(permit)) = (accepted, permits.clone().try_acquire_owned()) else {
            continue;
        };
        let parts = parts.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let answer = answer(&request, &parts);
                async move { Ok::<_, Infallible>(answer) }
            });
            let mut builder = hyper::server::conn::http1::Builder::new();
            builder.timer(TokioTimer::new());
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
            drop(permit);
        });
    }
}

fn answer(request: &Request<Incoming>, parts: &AdminParts) -> Response<Full<Bytes>> {
    if request.method() != Method::GET {
        return text(StatusCode::METHOD_NOT_ALLOWED, "only GET\n".into());
    }
    match request.uri().path() {
        "/metrics" => text(StatusCode::OK, parts.metrics.render()),
        "/health" => text(StatusCode::OK, "ok\n".into()),
        path if path == "/ready" || path == parts.ready_path => readiness(parts),
        "/status" => text(StatusCode::OK, status(parts)),
        "/events" => text(StatusCode::OK, events::recent().iter().map(|line| format!("{line}\n")).collect()),
        _ => text(StatusCode::NOT_FOUND, "/metrics /health /ready /status /events\n".into()),
    }
}

fn readiness(parts: &AdminParts) -> Response<Full<Bytes>> {
    match ready(parts) {
        true => text(StatusCode::OK, "ready\n".into()),
        false => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into()),
    }
}

fn ready(parts: &AdminParts) -> bool {
    *parts.serving.borrow() && !*parts.leaving.borrow()
}

fn status(parts: &AdminParts) -> String {
    let bundle = parts.bundle.borrow().clone();
    let members = parts.members.borrow().clone();
    let status = Status {
        vm: &parts.vm,
        release: env!("CARGO_PKG_VERSION"),
        ready: ready(parts),
        leaving: *parts.leaving.borrow(),
        bundle_number: bundle.as_ref().map_or(0, |bundle| bundle.number),
        bundle_version: bundle.as_ref().map_or("", |bundle| &bundle.version),
        evacuated: members.evacuation().domains.iter().map(|domain| &**domain).collect(),
        members: members.iter().collect(),
    };
    serde_json::to_string_pretty(&status).unwrap_or_default() + "\n"
}

fn text(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = status;
    answer
}
