//! The connection of a client, as the account of held bytes knows it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;

use super::account::MemoryAccount;
use super::budget::{Activity, ClientId};
use crate::clock::steady_us;

/// Longest answer that a socket takes at once, so that it need not be attributed to its client.
const SOCKET_TAKES_BYTES: usize = 16 * 1024;

/// The connection of a client, which may be told to close when memory runs out.
#[derive(Debug)]
pub struct ClientConnection {
    account: MemoryAccount,
    id: ClientId,
    evicted: Arc<Notify>,
}

impl ClientConnection {
    pub(super) const fn new(account: MemoryAccount, id: ClientId, evicted: Arc<Notify>) -> Self {
        Self { account, id, evicted }
    }

    /// Returns the account whose charges count as held for this client.
    pub const fn account(&self) -> &MemoryAccount {
        &self.account
    }

    /// Records what the connection waits for.
    pub fn set_activity(&self, activity: Activity) {
        self.account.budget().set_activity(self.id, activity, steady_us());
    }

    /// Records that the connection made progress this long ago, or later.
    pub fn on_progress_before(&self, age: Duration) {
        let at_us = steady_us().saturating_sub(age.as_micros() as u64);
        self.account.budget().progress(self.id, at_us);
    }

    /// Records that the client has sent or read bytes.
    pub fn on_transferred(&self, bytes: usize) {
        self.account.budget().transfer(self.id, bytes as u64, steady_us());
    }

    /// Attributes the body of an answer to the client until its last copy is dropped. A short one is not, unless it is
    /// sent on a stream, whose window may be closed.
    pub fn attribute(&self, body: Bytes, is_stream: bool) -> Bytes {
        if body.is_empty() || (body.len() < SOCKET_TAKES_BYTES && !is_stream) {
            return body;
        }
        self.account.budget().add_answer(self.id, body.len() as u64, steady_us());
        Bytes::from_owner(AttributedAnswer { body, account: self.account.clone(), id: self.id })
    }

    /// Returns whether the connection is stalled, so that it would give way.
    pub fn is_stalled(&self) -> bool {
        self.account.budget().is_stalled(self.id, steady_us())
    }

    /// Closes the connection, for which there is no memory.
    pub fn close(&self) {
        self.evicted.notify_one();
    }

    /// Waits until the connection has to close; each later wait ends at once.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
        self.evicted.notify_one();
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.account.remove_client(self.id);
    }
}

/// The body of an answer that a client has not read.
struct AttributedAnswer {
    body: Bytes,
    account: MemoryAccount,
    id: ClientId,
}

impl AsRef<[u8]> for AttributedAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for AttributedAnswer {
    fn drop(&mut self) {
        self.account.budget().remove_answer(self.id, self.body.len() as u64, steady_us());
    }
}
