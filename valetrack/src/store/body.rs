//! Reading of answers whose size varies, over HTTP.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use snafu::Snafu;
use tokio::time::{Instant, timeout_at};

/// Time that a body of any size may take, as a multiple of the longest pause within it.
const PAUSES_MAX: u32 = 4;
/// Lowest rate at which the rest of a body may arrive.
const RATE_MIN_BYTES_PER_S: f64 = 64.0 * 1024.0;

/// Error of reading the body of an answer.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The body does not arrive, or too slowly.
    #[snafu(display("no answer within the time limit"))]
    Stalled,
    /// The body is larger than the reader accepts.
    #[snafu(display("answer is larger than {max_bytes} bytes"))]
    TooLarge {
        /// Largest accepted size.
        max_bytes: usize,
    },
    /// The connection has failed.
    #[snafu(display("{reason}"))]
    Broken {
        /// Description of the failure.
        reason: String,
    },
}

/// Reads a body of at most `max_bytes`. A large body takes a narrow link long, so that its time is limited by the longest
/// pause and the lowest rate instead of a total.
///
/// # Errors
///
/// Returns a [`BodyError`] if nothing arrives for `pause_max`, the body arrives too slowly or is larger, or the connection
/// fails. A body whose stated length is larger is not read.
pub async fn read_body(body: Incoming, max_bytes: usize, pause_max: Duration) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLarge { max_bytes });
    }
    let mut body = Limited::new(body, max_bytes);
    let mut received = BytesMut::new();
    let slowest = Instant::now() + pause_max * PAUSES_MAX;
    loop {
        let rate_limit = slowest + Duration::from_secs_f64(received.len() as f64 / RATE_MIN_BYTES_PER_S);
        let until = rate_limit.min(Instant::now() + pause_max);
        let frame = timeout_at(until, body.frame()).await.map_err(|_| BodyError::Stalled)?;
        let Some(frame) = frame else {
            return Ok(received.freeze());
        };
        let frame = frame.map_err(|error| match error.is::<LengthLimitError>() {
            true => BodyError::TooLarge { max_bytes },
            false => BodyError::Broken { reason: error.to_string() },
        })?;
        if let Ok(data) = frame.into_data() {
            received.extend_from_slice(&data);
        }
    }
}
