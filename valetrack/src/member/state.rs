//! Pure decisions of membership: a join of views, and how the lagging list is read.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use super::evacuation::Evacuation;
use super::message::{Candidate, ListedVm, Member, Phase};
use crate::claim::PeerClaims;
use crate::rollout::{RolloutView, ServerPart};

/// A VM that has left the list and was not heard of for this long is gone, in microseconds.
pub const GONE_AFTER_US: u64 = 5_000_000;

/// Every VM that a node has heard of.
///
/// Merging is commutative, associative and idempotent, and a VM never goes back: neither to an
/// earlier life nor to an earlier phase of one life.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Members {
    all: BTreeMap<Arc<str>, Member>,
    listed: BTreeMap<Arc<str>, ListedVm>,
    heard_us: BTreeMap<Arc<str>, u64>,
    evacuation: Evacuation,
    rollouts: RolloutView,
    /// VMs that the list has shown; one that it has not shown yet says nothing by its absence.
    shown: BTreeSet<Arc<str>>,
    /// What nodes have said of their pages of claims.
    claims: PeerClaims,
}

impl Members {
    /// Takes news of one VM; returns whether it says more than was known.
    pub fn merge(&mut self, news: &Member) -> bool {
        let Some(known) = self.all.get_mut(&news.vm) else {
            self.all.insert(news.vm.clone(), news.clone());
            return true;
        };
        let newer = (news.incarnation, news.phase) > (known.incarnation, known.phase);
        if newer {
            *known = news.clone();
        }
        newer
    }

    /// Sets what is known of one VM, whatever was known before.
    pub fn set(&mut self, member: Member) {
        self.all.insert(member.vm.clone(), member);
    }

    /// Returns what nodes have said of their pages of claims.
    pub fn claims(&self) -> &PeerClaims {
        &self.claims
    }

    /// Returns what nodes have said of their pages of claims, to add to it.
    pub fn claims_mut(&mut self) -> &mut PeerClaims {
        &mut self.claims
    }

    /// Returns the failure domains that are evacuated.
    pub fn evacuation(&self) -> &Evacuation {
        &self.evacuation
    }

    /// Takes what is told of evacuated failure domains; returns whether it says more than was known.
    pub fn evacuate(&mut self, news: &Evacuation) -> bool {
        self.evacuation.merge(news)
    }

    /// Sets what upstreams may get by the roll-outs in progress.
    pub fn set_rollouts(&mut self, rollouts: RolloutView) {
        self.rollouts = rollouts;
    }

    /// Notes that a VM's node itself was heard at `now_us`.
    pub fn heard(&mut self, vm: &Arc<str>, now_us: u64) {
        let heard_us = self.heard_us.entry(vm.clone()).or_insert(now_us);
        *heard_us = (*heard_us).max(now_us);
    }

    /// Takes the platform's list as read at `now_us`; returns the VMs whose phase moved on.
    ///
    /// The list lags, so it only ever says where a node may be found, that a VM leaves, and, when
    /// the node was shown before and has been silent as well, that it is gone.
    pub fn take_list(&mut self, list: &[ListedVm], now_us: u64) -> Vec<Member> {
        self.shown.extend(list.iter().map(|row| row.vm.clone()));
        self.listed = list.iter().map(|row| (row.vm.clone(), row.clone())).collect();
        let mut moved = Vec::new();
        for member in self.all.values_mut() {
            let silent = self.heard_us.get(&member.vm).is_none_or(|&heard| now_us >= heard + GONE_AFTER_US);
            let row = self.listed.get(&member.vm);
            let phase = match row {
                Some(row) if row.leaving && row.link_addr == member.link_addr => Phase::Leaving,
                None if silent && self.shown.contains(&member.vm) => Phase::Gone,
                Some(_) | None => continue,
            };
            if phase > member.phase {
                member.phase = phase;
                moved.push(member.clone());
            }
        }
        moved
    }

    /// Returns what is known of one VM.
    pub fn get(&self, vm: &str) -> Option<&Member> {
        self.all.get(vm)
    }

    /// Returns all that is known, in the order of the VMs' names.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.all.values()
    }

    /// Returns the VMs of a service that may get calls, listed or heard of, outside the failure domains
    /// that are evacuated.
    ///
    /// A VM that is only listed is taken at its word until its node says more.
    pub fn servers_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = Candidate> + 'a {
        let heard: Vec<&Member> =
            self.all.values().filter(|member| &*member.service == service && member.phase == Phase::Serving).collect();
        let parts = self.rollouts.parts(service, &heard);
        let heard = heard.into_iter().enumerate().map(move |(at, member)| {
            let part = parts.as_ref().map_or(ServerPart::Usual, |parts| parts[at]);
            Candidate { part, ..Candidate::from(member) }
        });
        let listed = self
            .listed
            .values()
            .filter(move |row| &*row.service == service && !row.leaving && !self.all.contains_key(&row.vm))
            .map(Candidate::from);
        heard.chain(listed).filter(|candidate| !self.evacuation.covers(&candidate.domain))
    }

    /// Returns how many VMs that take work each service has.
    pub fn vms_by_service(&self) -> HashMap<Arc<str>, u32> {
        let mut vms = HashMap::new();
        for member in self.all.values().filter(|member| member.phase == Phase::Serving) {
            *vms.entry(member.service.clone()).or_insert(0) += 1;
        }
        vms
    }

    /// Returns how long a VM's node has been silent at `now_us`, in microseconds; none when it
    /// was never heard.
    pub fn silent_us(&self, vm: &str, now_us: u64) -> Option<u64> {
        self.heard_us.get(vm).map(|&heard| now_us.saturating_sub(heard))
    }

    /// Returns the listed VMs of which no node was heard yet.
    pub fn unheard(&self) -> impl Iterator<Item = &ListedVm> {
        self.listed.values().filter(|row| !self.all.contains_key(&row.vm))
    }

    /// Returns whether a life of a VM is known to be over.
    pub fn is_over(&self, vm: &str, incarnation: u64) -> bool {
        self.all.get(vm).is_some_and(|member| {
            member.incarnation > incarnation || (member.incarnation == incarnation && member.phase == Phase::Gone)
        })
    }
}
