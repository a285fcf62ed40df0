//! Departures of this node's upstream: reports them to other nodes, and follows who has recorded them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::Shell;
use crate::gate::{Departure, DepartureRecord, RecordedBy, UpstreamPhase, UpstreamState};
use crate::link::message::{Ask, PeerRequest};
use crate::link::peer::{self, LinkResult, Target};
use crate::member::Phase;

/// Number of nodes that a departure is sent to; the others read it in the store.
const TARGETS_MAX: usize = 3;
/// Time limit of such a request; the acknowledgement does not wait longer.
const REPORT_MS: u64 = 500;

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
        for target in self.report_targets() {
            let (shell, departure) = (self.clone(), departure.clone());
            tokio::task::spawn_local(async move {
                let request = PeerRequest { ask: Ask::Departure(departure.clone()), body: Bytes::new() };
                let limit = Duration::from_millis(REPORT_MS);
                if let LinkResult::Reply(_) = peer::ask_within(&shell.parts.to_link, target, request, limit).await {
                    shell.departure_recorded(&departure, RecordedBy::Peer);
                }
            });
        }
    }

    /// Handles the departure that this node's entry in the store names, as last read.
    pub(super) fn on_entry_read(&self, stored: Option<&Departure>) {
        if *self.stored_departure.borrow() == stored.cloned() {
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

    /// Returns the nodes that a departure is sent to.
    fn report_targets(&self) -> Vec<Target> {
        let members = self.parts.members.borrow();
        let others = members.iter().filter(|member| member.phase == Phase::Serving && member.vm != self.parts.me.vm);
        let others = others.map(|member| Target { vm: member.vm.clone(), addr: member.link_addr });
        self.rng.borrow_mut().choose_multiple(others, TARGETS_MAX)
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
