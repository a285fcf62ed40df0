//! I/O shell that sends the texts of bundles to the nodes that request them.

use std::cell::RefCell;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::timeout;

use super::text::PackedTexts;
use super::upload::{Receiver, UploadDecision, Uploads};
use crate::clock::now_us;
use crate::link::message::{Reply, TextPart};
use crate::link::peer::Target;

/// How long a request is held until the text is here: other nodes are referred to this one while it receives the text.
const HOLD: Duration = Duration::from_millis(400);

/// Serves requests for the texts of bundles.
pub struct TextServer {
    texts: watch::Receiver<PackedTexts>,
    uploads: RefCell<Uploads>,
}

impl TextServer {
    /// Creates a server of the texts that the adopter publishes.
    pub fn new(texts: watch::Receiver<PackedTexts>) -> Self {
        Self { texts, uploads: RefCell::default() }
    }

    /// Returns the reply to a request for a part of a text whose number is above `after`, and the body of the reply.
    pub async fn serve(&self, after: u64, part: Option<TextPart>, to: Receiver) -> (Reply, Bytes) {
        let version = part.as_ref().map(|part| &*part.version);
        let mut texts = self.texts.clone();
        let found = timeout(HOLD, texts.wait_for(|texts| texts.find(version, after).is_some())).await;
        let text = match found {
            Ok(Ok(texts)) => texts.find(version, after).cloned(),
            // The text has not arrived here, or the node is closing.
            Ok(Err(_)) | Err(_) => None,
        };
        let Some(text) = text else {
            return (Reply::NoBundle, Bytes::new());
        };
        let offset = part.filter(|part| part.version == text.version).map_or(0, |part| part.offset);
        let decision = self.uploads.borrow_mut().decide(&text.version, &to, offset == 0, now_us());
        if let UploadDecision::Refer(nodes) = decision {
            let nodes = nodes.into_iter().map(|node| (node.vm, node.addr)).collect();
            return (Reply::BundleFrom { nodes }, Bytes::new());
        }
        let body = text.part(offset);
        let (number, version, packed_bytes) = (text.number, text.version.clone(), text.packed_bytes());
        (Reply::Bundle { number, version, packed_bytes, offset }, body)
    }

    /// Records that a reply has arrived at its receiver, which has the whole text if this was the last part.
    pub fn on_arrived(&self, reply: &Reply, body_bytes: usize, to: &Target) {
        if let Reply::Bundle { packed_bytes, offset, .. } = reply
            && *offset as usize + body_bytes >= *packed_bytes as usize
        {
            self.uploads.borrow_mut().on_complete(to);
        }
    }
}
