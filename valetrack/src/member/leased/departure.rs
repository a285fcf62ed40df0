//! Departures of this node's upstream: reports them to other nodes, and follows who has recorded them.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;

use super::Shell;
use crate::gate::{Departure, DepartureRecord, RecordedBy, UpstreamPhase, UpstreamState};
use crate::link::message::{Ask, PeerRequest};
use crate::link::peer::{LinkResult, Target};
use crate::member::{EntryDoc, Member, Phase};
use crate::store::Item;

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

    /// Records the departure of this node's upstream that another node has recorded from an earlier process of this one.
    pub(super) fn learn_departure(self: &Rc<Self>, members: &[Member]) {
        let own = members.iter().find(|member| member.vm == self.parts.me.vm);
        if let Some(departure) = own.and_then(|own| own.departure.as_ref()) {
            self.earlier_departure_found(departure, "peer");
        }
    }

    /// Handles this node's entry that a write has found in place of the expected one. An earlier process may have recorded
    /// a departure there after the state that this one has read.
    pub(super) fn former_entry_found(self: &Rc<Self>, item: &Item) {
        if let Ok(EntryDoc { member: Member { departure: Some(departure), .. }, .. }) = EntryDoc::read(item) {
            self.earlier_departure_found(&departure, "store");
        }
    }

    /// Sends a follower its entry that a write has found in place of the expected one, if the entry names a departure: the
    /// next write replaces it, and the follower may not have read it.
    pub(super) fn follower_entry_found(self: &Rc<Self>, item: &Item) {
        let Ok(EntryDoc { member: former, .. }) = EntryDoc::read(item) else {
            return;
        };
        let target = match self.registrar.borrow().member(&former.vm) {
            Some(follower) if former.departure.is_some() && follower.departure != former.departure => {
                Target { vm: follower.vm.clone(), addr: follower.link_addr }
            }
            Some(_) | None => return,
        };
        log::info!("event=departure.returned peer={}", former.vm);
        let (shell, request) = (self.clone(), self.announcement_with(Some(former)));
        tokio::task::spawn_local(async move {
            // Without a reply, the follower has ended, or reads the departure in a later update.
            let _ = shell.request(target, request).await;
        });
    }

    fn earlier_departure_found(self: &Rc<Self>, departure: &Departure, by: &str) {
        let known = self.earlier_departure.replace(Some(departure.clone()));
        if known.as_ref() == Some(departure) || self.me.borrow().departure.as_ref() == Some(departure) {
            return;
        }
        log::info!("event=departure.found id={} by={by}", departure.id);
        self.publish();
        self.follow_recorded_departure();
    }

    /// Makes this node leave if its upstream's present start is recorded to leave, so that its next entry names that.
    pub(super) fn follow_recorded_departure(self: &Rc<Self>) {
        let state = self.parts.upstream.borrow().clone();
        let departure = present_departure(&state, &self.parts.me.vm, self.parts.members.borrow().departures());
        if departure.is_some() && self.me.borrow().departure != departure {
            self.set_phase(Phase::Leaving, state.version, departure);
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
