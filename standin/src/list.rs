//! Stand-in of the platform's VM list, which can lag.
//!
//! `GET /vms` returns the rows, `PUT /vms` replaces all rows, `POST /_fault?lag_ms=N` sets the lag.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;

use crate::web::{self, Answer, answer};

/// Number of lists kept, including the current one.
const LISTS_MAX: usize = 1_000;

struct Rows {
    lag: Duration,
    history: Vec<(Instant, Bytes)>,
}

/// Serves the list until the process ends.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn run(addr: SocketAddr) -> std::io::Result<()> {
    let rows = Rows { lag: Duration::ZERO, history: vec![(Instant::now(), Bytes::from_static(b"[]"))] };
    let rows = Arc::new(Mutex::new(rows));
    web::serve(addr, Duration::ZERO, move |request| handle(rows.clone(), request)).await
}

async fn handle(rows: Arc<Mutex<Rows>>, request: Request<Incoming>) -> Answer {
    let query = web::query(request.uri());
    let route = (request.method().as_str().to_owned(), request.uri().path().to_owned());
    let body = request.into_body().collect().await?.to_bytes();
    let mut rows = rows.lock().map_err(|_| "poisoned")?;
    match (route.0.as_str(), route.1.as_str()) {
        ("GET", "/vms") => {
            let lag = rows.lag;
            let old = rows.history.iter().rev().find(|(at, _)| at.elapsed() >= lag);
            let (_, text) = old.unwrap_or(&rows.history[0]);
            Ok(answer(200, text.clone()))
        }
        ("PUT", "/vms") => {
            rows.history.push((Instant::now(), body));
            if rows.history.len() > LISTS_MAX {
                rows.history.remove(0);
            }
            Ok(answer(200, ""))
        }
        ("POST", "/_fault") => {
            rows.lag = Duration::from_millis(web::number(&query, "lag_ms").unwrap_or(0));
            Ok(answer(200, ""))
        }
        _ => Ok(answer(404, "")),
    }
}
