//! Departures of this node's upstream: reports them to other nodes, and follows who has recorded them.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;

use super::Shell;
use crate::gate::{Departure, DepartureRecord, RecordedBy, UpstreamPhase, UpstreamState};
use crate::link::message::{Ask, PeerRequest};
use crate::link::peer::LinkResult;

impl Shell {
    /// Sends a departure that this node has just learned of to some other nodes; its entry in the store names it as well.
    pub(super) fn report_departure(self: &Rc<Self>) {
        let Some(departure) = self.me.borrow().departure.clone() else {
            return;
        };
        let record = DepartureRecord::new(departure.clone());
        let is_new = self.parts.departure_record.send_if_modified(|known| {
            let is_new = !known.is_of(&departure);
            if is_new {
                *known = record;
            }
            is_new
        });
        if !is_new {
            return;
        }
        if self.stored_departure.borrow().as_ref() == Some(&departure) {
            self.departure_recorded(&departure, RecordedBy::Store);
        }
        // The others read it in the store.
        for peer in self.random_peers() {
            let (shell, departure) = (self.clone(), departure.clone());
            tokio::task::spawn_local(async move {
                let request = PeerRequest { ask: Ask::Departure(departure.clone()), body: Bytes::new() };
                if let LinkResult::Reply(_) = shell.request(peer, request).await {
                    shell.departure_recorded(&departure, RecordedBy::Peer);
                }
            });
        }
    }

    /// Handles the departure that this node's entry in the store names, as last read.
    pub(super) fn on_entry_read(&self, stored: Option<&Departure>) {
        if self.stored_departure.borrow().as_ref() == stored {
            return;
        }
        self.stored_departure.replace(stored.cloned());
        if let Some(departure) = stored {
            let is_own = self.me.borrow().departure.as_ref() == stored;
            log::info!("event=departure.found id={} by=store is_own={is_own}", departure.id);
            self.departure_recorded(departure, RecordedBy::Store);
        }
    }

    /// Records who knows a departure of this node's upstream.
    pub(super) fn departure_recorded(&self, departure: &Departure, by: RecordedBy) {
        self.parts.departure_record.send_if_modified(|record| record.confirm(departure, by));
    }
}

/// Returns the departure of the upstream's present start, if that leaves. What an earlier process of this node has recorded
/// counts as well, so that this node's entry does not lack it for a moment.
pub fn present_departure<'a>(
    state: &UpstreamState,
    vm: &Arc<str>,
    mut recorded: impl Iterator<Item = &'a Departure>,
) -> Option<Departure> {
    let incarnation = state.incarnation(vm)?;
    let recorded = recorded.find(|departure| departure.matches(&incarnation)).cloned();
    recorded.or_else(|| (state.phase == UpstreamPhase::Leaving).then_some(incarnation))
}
