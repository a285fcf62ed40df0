//! View of all VMs: merges what nodes report with the platform's list, which lags behind.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use super::evacuation::Evacuation;
use super::message::{Candidate, ListedVm, Member, Phase};
use crate::claim::PeerClaims;
use crate::gate::Departure;
use crate::rollout::{RolloutView, TrafficShare};

/// A VM that is no longer listed and has been unresponsive for this long is dead.
pub const GONE_AFTER_US: u64 = 5_000_000;

/// Every VM of which a node has a record.
///
/// Merging is commutative, associative and idempotent, and a VM never returns to an earlier incarnation or to an
/// earlier phase of the same incarnation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Members {
    all: BTreeMap<Arc<str>, Member>,
    listed: BTreeMap<Arc<str>, ListedVm>,
    /// Whether the whole list of VMs was ever read, from the platform or from the store.
    is_complete: bool,
    last_contact_us: BTreeMap<Arc<str>, u64>,
    evacuation: Evacuation,
    rollouts: RolloutView,
    /// VMs that the list has shown at least once. The absence of any other VM from the list means nothing.
    ever_listed: BTreeSet<Arc<str>>,
    /// Reports of nodes on their pages of claims.
    claims: PeerClaims,
    /// Departure of this VM's upstream that an earlier process of this node has acknowledged.
    earlier_departure: Option<Departure>,
}

impl Members {
    /// Merges a received state of one VM; returns whether it is newer than the recorded one.
    pub fn merge(&mut self, received: &Member) -> bool {
        let Some(known) = self.all.get_mut(&received.vm) else {
            self.all.insert(received.vm.clone(), received.clone());
            return true;
        };
        let newer = (received.incarnation, received.phase) > (known.incarnation, known.phase);
        if newer {
            *known = received.clone();
        }
        newer
    }

    /// Replaces the recorded state of one VM, even by an earlier one.
    pub fn set(&mut self, member: Member) {
        self.all.insert(member.vm.clone(), member);
    }

    /// Sets whether the whole list of VMs was ever read.
    pub fn set_complete(&mut self, is_complete: bool) {
        self.is_complete = is_complete;
    }

    /// Returns whether the whole list of VMs was ever read. Until then, only some of the VMs may be known.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns the number of VMs that are recorded or listed.
    pub fn vm_count(&self) -> usize {
        self.all.len() + self.unheard().count()
    }

    /// Returns the reports of nodes on their pages of claims.
    pub fn claims(&self) -> &PeerClaims {
        &self.claims
    }

    /// Returns the reports of nodes on their pages of claims, for update.
    pub fn claims_mut(&mut self) -> &mut PeerClaims {
        &mut self.claims
    }

    /// Returns the failure domains that are evacuated.
    pub fn evacuation(&self) -> &Evacuation {
        &self.evacuation
    }

    /// Merges a received state of the evacuated failure domains; returns whether it is newer than the recorded one.
    pub fn merge_evacuation(&mut self, received: &Evacuation) -> bool {
        self.evacuation.merge(received)
    }

    /// Sets the roll-outs in progress, which determine the traffic shares of upstreams.
    pub fn set_rollouts(&mut self, rollouts: RolloutView) {
        self.rollouts = rollouts;
    }

    /// Records that a message from a VM's node was received at `now_us`.
    pub fn heard(&mut self, vm: &Arc<str>, now_us: u64) {
        let last_contact_us = self.last_contact_us.entry(vm.clone()).or_insert(now_us);
        *last_contact_us = (*last_contact_us).max(now_us);
    }

    /// Applies the platform's list as read at `now_us`; returns the VMs whose phase has advanced.
    ///
    /// Since the list lags, it is used only for the addresses of nodes, to learn that a VM leaves, and to declare a VM
    /// dead that was listed before and is unresponsive as well.
    pub fn apply_list(&mut self, list: &[ListedVm], now_us: u64) -> Vec<Member> {
        self.is_complete = true;
        self.ever_listed.extend(list.iter().map(|row| row.vm.clone()));
        self.listed = list.iter().map(|row| (row.vm.clone(), row.clone())).collect();
        let mut advanced = Vec::new();
        for member in self.all.values_mut() {
            let unresponsive =
                self.last_contact_us.get(&member.vm).is_none_or(|&contact_us| now_us >= contact_us + GONE_AFTER_US);
            let row = self.listed.get(&member.vm);
            let phase = match row {
                Some(row) if row.leaving && row.link_addr == member.link_addr => Phase::Leaving,
                None if unresponsive && self.ever_listed.contains(&member.vm) => Phase::Gone,
                Some(_) | None => continue,
            };
            if phase > member.phase {
                member.phase = phase;
                advanced.push(member.clone());
            }
        }
        advanced
    }

    /// Returns the recorded state of one VM.
    pub fn get(&self, vm: &str) -> Option<&Member> {
        self.all.get(vm)
    }

    /// Returns the recorded states of all VMs, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.all.values()
    }

    /// Returns the VMs of a service that may be sent calls: those recorded as serving and those that are only listed,
    /// outside the evacuated failure domains.
    ///
    /// A VM that is only listed counts as serving until its node has reported its phase.
    pub fn servers_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = Candidate> + 'a {
        let serving: Vec<&Member> =
            self.all.values().filter(|member| &*member.service == service && member.phase == Phase::Serving).collect();
        let traffic_shares = self.rollouts.traffic_shares(service, &serving);
        let serving = serving.into_iter().enumerate().map(move |(at, member)| {
            let part = traffic_shares.as_ref().map_or(TrafficShare::Usual, |traffic_shares| traffic_shares[at]);
            Candidate { part, ..Candidate::from(member) }
        });
        let listed = self
            .listed
            .values()
            .filter(move |row| &*row.service == service && !row.leaving && !self.all.contains_key(&row.vm))
            .map(Candidate::from);
        serving.chain(listed).filter(|candidate| !self.evacuation.covers(&candidate.domain))
    }

    /// Returns the number of serving VMs of each service.
    pub fn vms_by_service(&self) -> HashMap<Arc<str>, u32> {
        let mut vms = HashMap::new();
        for member in self.all.values().filter(|member| member.phase == Phase::Serving) {
            *vms.entry(member.service.clone()).or_insert(0) += 1;
        }
        vms
    }

    /// Returns how long ago, at `now_us`, the last message from a VM's node was received; none if there was none.
    pub fn silent_us(&self, vm: &str, now_us: u64) -> Option<u64> {
        self.last_contact_us.get(vm).map(|&contact_us| now_us.saturating_sub(contact_us))
    }

    /// Returns the listed VMs whose nodes have no record here yet.
    pub fn unheard(&self) -> impl Iterator<Item = &ListedVm> {
        self.listed.values().filter(|row| !self.all.contains_key(&row.vm))
    }

    /// Sets the departure of this VM's upstream that an earlier process of this node has acknowledged.
    pub fn set_earlier_departure(&mut self, departure: Option<Departure>) {
        self.earlier_departure = departure;
    }

    /// Returns the upstreams that are known to leave.
    pub fn departures(&self) -> impl Iterator<Item = &Departure> {
        self.all.values().filter_map(|member| member.departure.as_ref()).chain(&self.earlier_departure)
    }

    /// Returns whether an incarnation of a VM is known to have ended.
    pub fn is_over(&self, vm: &str, incarnation: u64) -> bool {
        self.all.get(vm).is_some_and(|member| {
            member.incarnation > incarnation || (member.incarnation == incarnation && member.phase == Phase::Gone)
        })
    }
}
