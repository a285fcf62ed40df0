//! The platform's list of VMs, polled as JSON over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::message::ListedVm;
use crate::code::Code;

/// Largest list that is accepted: 12,000 VMs of some 200 bytes each, and room for growth.
const LIST_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Time limit of one poll.
const LIST_TIMEOUT_MS: u64 = 2_000;

/// The list could not be read.
#[derive(Debug, Snafu)]
#[snafu(display("could not read the VM list: {reason}"))]
pub struct ListError {
    /// The cause.
    pub reason: String,
}

impl ListError {
    /// Returns the numbered code.
    pub const fn code(&self) -> Code {
        Code::ListUnreachable
    }
}

/// Source of the platform's list of VMs.
pub trait VmList: Send + Sync {
    /// Reads all rows, which may be outdated.
    fn read(&self) -> BoxFuture<'_, Result<Vec<ListedVm>, ListError>>;
}

/// A list served over HTTP.
pub struct HttpList {
    addr: SocketAddr,
}

impl HttpList {
    /// Creates a client of the list served at an address.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr }
    }

    async fn get(&self) -> Result<Vec<ListedVm>, ListError> {
        let stream = TcpStream::connect(self.addr).await.map_err(failed)?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.map_err(failed)?;
        // The connection task ends once its sender is dropped.
        tokio::spawn(connection);
        let request = Request::get("/vms").header("host", self.addr.to_string()).body(Empty::<Bytes>::new());
        let answer = sender.send_request(request.map_err(failed)?).await.map_err(failed)?;
        let status = answer.status();
        if !status.is_success() {
            return Err(failed(status));
        }
        let body = Limited::new(answer.into_body(), LIST_MAX_BYTES).collect().await.map_err(failed)?;
        serde_json::from_slice(&body.to_bytes()).map_err(failed)
    }
}

impl VmList for HttpList {
    fn read(&self) -> BoxFuture<'_, Result<Vec<ListedVm>, ListError>> {
        Box::pin(async {
            let limit = Duration::from_millis(LIST_TIMEOUT_MS);
            timeout(limit, self.get()).await.unwrap_or_else(|_| Err(failed("request timed out")))
        })
    }
}

fn failed(reason: impl ToString) -> ListError {
    ListError { reason: reason.to_string() }
}
