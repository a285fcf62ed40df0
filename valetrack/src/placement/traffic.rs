//! Bytes that a call sends between nodes, as far as its entry can know them.

use bytes::Bytes;

use crate::link::message::{AnswerHead, CallHead};

/// Bytes of a call or an answer beyond its head and body: headers of UDP and QUIC, and fixed fields.
const OVERHEAD_BYTES: u32 = 250;
/// Size assumed for the answers of a route without one: that of a small document.
const ASSUMED_ANSWER_BYTES: f64 = 2_000.0;
/// Weight of a new answer: the estimate reflects about the last sixteen answers.
const STEP: f64 = 1.0 / 16.0;

/// Expected traffic of one call, and the rank by which it is admitted to a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CallTraffic {
    /// Bytes of the request.
    pub request_bytes: u32,
    /// Expected bytes of the answer.
    pub answer_bytes: u32,
    /// Priority; zero is the highest.
    pub rank: u8,
}

impl CallTraffic {
    /// Returns the bytes in both directions.
    pub fn bytes(&self) -> u64 {
        u64::from(self.request_bytes) + u64::from(self.answer_bytes)
    }
}

/// Usual size of the answers of one route, learned by one entry.
#[derive(Debug, Clone, Copy, Default)]
pub struct AnswerSize {
    mean_bytes: Option<f64>,
}

impl AnswerSize {
    /// Records the size of one answer.
    pub fn record(&mut self, bytes: u32) {
        let sample = f64::from(bytes);
        self.mean_bytes = Some(self.mean_bytes.map_or(sample, |mean| mean + (sample - mean) * STEP));
    }

    /// Returns the expected size of the next answer.
    pub fn expected_bytes(&self) -> u32 {
        self.mean_bytes.unwrap_or(ASSUMED_ANSWER_BYTES) as u32
    }
}

/// Returns the bytes of a call on a link.
pub(super) fn request_bytes(head: &CallHead, body: &Bytes) -> u32 {
    let names = head.call_id.len() + head.service.len() + head.route.len() + head.method.len() + head.path.len();
    clamped(names + header_bytes(&head.headers) + body.len())
}

/// Returns the bytes of an answer on a link.
pub(super) fn answer_bytes(head: &AnswerHead, body: &Bytes) -> u32 {
    clamped(header_bytes(&head.headers) + body.len())
}

fn header_bytes(headers: &[(String, Vec<u8>)]) -> usize {
    headers.iter().map(|(name, value)| name.len() + value.len()).sum()
}

fn clamped(bytes: usize) -> u32 {
    u32::try_from(bytes).unwrap_or(u32::MAX).saturating_add(OVERHEAD_BYTES)
}
