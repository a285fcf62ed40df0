//! State of one service at an entry, with a stable index for each server.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use super::call::{Budgets, CallRule};
use super::message::ServerIndex;
use super::policy::Policy;
use super::repeat::{KnownFleet, RetryBudget, RetryGuarantee};
use super::view::{MAX_SERVERS, ServiceView};
use crate::bundle::{FleetRetries, ServiceRule};
use crate::link::peer::Target;
use crate::member::Candidate;
use crate::region::{Distance, Regions};
use crate::rollout::TrafficShare;

/// Maximum number of servers of a service that one entry considers. The remaining indexes are for new incarnations of
/// VMs, whose earlier incarnations keep theirs until no attempt is in flight there.
pub(super) const CONSIDERED_MAX: usize = MAX_SERVERS - 8;
/// Retries and hedges of one entry beyond their shares, in a window.
const LOCAL_RESERVE: u32 = 20;
/// Divisor of the cost of leaving the failure domain that gives the cost of reaching another VM of the same domain.
const SAME_DOMAIN_DIVISOR: u32 = 10;

/// Servers of each other region that an entry considers in any case. Calls that its own region declines need a choice of
/// a few of them, some of which may be slow or full.
const REGION_RESERVE: usize = 4;
/// Largest number of servers of all other regions that are considered in place of closer ones: a quarter of all.
const REGIONS_RESERVE_MAX: usize = CONSIDERED_MAX / 4;

/// Location of an entry, by which it assesses its distance to servers.
pub(super) struct EntryPlace<'a> {
    /// Name of its VM.
    pub(super) vm: &'a str,
    /// Its failure domain.
    pub(super) domain: &'a str,
    /// Cost of leaving the failure domain.
    pub(super) domain_cost_us: u32,
    /// Region of each failure domain.
    pub(super) regions: &'a Regions,
}

impl EntryPlace<'_> {
    fn distance(&self, candidate: &Candidate) -> Distance {
        match &*candidate.vm == self.vm {
            true => Distance::SameVm,
            false => self.regions.distance(self.domain, &candidate.domain),
        }
    }
}

/// State of one service at an entry.
pub(super) struct ServiceState {
    /// Its servers.
    pub(super) view: ServiceView,
    /// Budgets of its retries and hedges.
    pub(super) budgets: Budgets,
    /// Node of each server.
    pub(super) targets: Vec<Option<Candidate>>,
}

/// A server as it was when a request was sent to it. When the reply arrives, its index may belong to another server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Recipient {
    /// Its index when the request was sent.
    pub(super) server: ServerIndex,
    /// Its node.
    pub(super) target: Target,
    incarnation: u64,
}

impl ServiceState {
    /// Creates the state of a service without known servers.
    pub(super) fn new(rule: &ServiceRule, policy: Policy, now_us: u64) -> Self {
        let budgets = match retry_guarantee(rule) {
            Some(guarantee) => Budgets::of_fleet(guarantee, now_us),
            None => Budgets::new(
                RetryBudget::new(rule.retry_percent, LOCAL_RESERVE),
                RetryBudget::new(rule.hedge_percent, LOCAL_RESERVE),
            ),
        };
        Self { view: ServiceView::new(policy), budgets, targets: Vec::new() }
    }

    /// Applies the rule of the service in the bundle in force, with its guarantee on repeats in a fleet if it has one.
    pub(super) fn configure(&mut self, rule: &ServiceRule, fleet: KnownFleet) {
        self.view.restore();
        if let Some(guarantee) = retry_guarantee(rule) {
            self.budgets.retry.configure(guarantee, fleet);
        }
    }

    /// Records that the bundle in force lacks the service, and returns whether the state is still needed: by attempts in
    /// flight, or by the window of its budgets, in which the repeats of a service that returns still count.
    pub(super) fn remove(&mut self, now_us: u64) -> bool {
        let removed_us = self.view.remove(now_us);
        self.view.has_outstanding() || now_us < removed_us + self.budgets.retry.window_us()
    }

    /// Returns the server that has an index now.
    pub(super) fn recipient(&self, server: ServerIndex) -> Option<Recipient> {
        let candidate = self.targets.get(server)?.as_ref()?;
        let target = Target { vm: candidate.vm.clone(), addr: candidate.link_addr };
        Some(Recipient { server, target, incarnation: candidate.incarnation })
    }

    /// Returns the index of a server, unless the index belongs to another one by now.
    pub(super) fn present_index(&self, recipient: &Recipient) -> Option<ServerIndex> {
        let Recipient { server, target, incarnation } = recipient;
        let candidate = self.targets.get(*server)?.as_ref()?;
        let is_same = candidate.vm == target.vm && candidate.link_addr == target.addr;
        // The incarnation is zero until the VM has reported it.
        (is_same && (*incarnation == 0 || candidate.incarnation == *incarnation)).then_some(*server)
    }

    /// Assigns a stable index to each server, and a separate one to a new incarnation of a VM. `link_of` returns the link
    /// to the region of a failure domain.
    pub(super) fn sync(
        &mut self,
        candidates: impl Iterator<Item = Candidate>,
        place: &EntryPlace<'_>,
        mut link_of: impl FnMut(&str) -> usize,
    ) {
        let mut kept = vec![false; self.targets.len().max(MAX_SERVERS)];
        let candidates: Vec<Candidate> = candidates.collect();
        self.share_trial(&candidates, place.vm);
        for candidate in considered(candidates, place.regions, place.domain, place.vm) {
            let Some(server) = self.index_of(&candidate) else {
                continue;
            };
            kept[server] = true;
            let distance = place.distance(&candidate);
            let network_us = match distance {
                Distance::SameVm => 0,
                Distance::SameDomain => place.domain_cost_us / SAME_DOMAIN_DIVISOR,
                Distance::SameRegion | Distance::Beyond => place.domain_cost_us,
            };
            self.view.set_present(server, true, network_us);
            self.view.set_vm(server, vm_number(&candidate.vm));
            self.view.set_cross_domain(server, &*candidate.domain != place.domain);
            self.view.set_region(server, (distance == Distance::Beyond).then(|| link_of(&candidate.domain)));
            self.view.set_traffic_share(server, candidate.part);
            self.targets[server] = Some(candidate);
        }
        for (server, _) in kept.iter().enumerate().filter(|(_, kept)| !**kept) {
            if server < self.targets.len() {
                self.view.set_present(server, false, 0);
            }
        }
    }

    /// Sets the traffic share of the upstreams on trial, by their number and that of the other upstreams.
    fn share_trial(&mut self, candidates: &[Candidate], vm: &str) {
        let count = |part| candidates.iter().filter(|candidate| candidate.part == part).count();
        // Entries start at different points of the cycle, so that not all of them begin with the new version.
        let start_permille = (vm_number(vm) % 1_000) as u32;
        self.view.set_trial_share(count(TrafficShare::Trial), count(TrafficShare::Usual), start_permille);
    }

    fn index_of(&mut self, candidate: &Candidate) -> Option<ServerIndex> {
        let same = |known: &Option<Candidate>| {
            known.as_ref().is_some_and(|known| {
                known.vm == candidate.vm
                    && known.link_addr == candidate.link_addr
                    && (known.incarnation == candidate.incarnation || known.incarnation == 0)
            })
        };
        if let Some(server) = self.targets.iter().position(same) {
            return Some(server);
        }
        let present = |server: &usize| self.view.is_present(*server) || self.view.outstanding(*server) > 0;
        let free = (0..self.targets.len()).find(|server| !present(server));
        match free {
            Some(server) => Some(server),
            None if self.targets.len() < MAX_SERVERS => {
                self.targets.push(None);
                Some(self.targets.len() - 1)
            }
            None => None,
        }
    }
}

/// Returns a number that stands for a VM.
fn vm_number(vm: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    vm.hash(&mut hasher);
    hasher.finish()
}

/// Returns the servers that one entry considers if a service has more than [`CONSIDERED_MAX`]: the nearest ones first,
/// and those of one distance by a hash of both VMs, so that entries choose differently and each server is considered by
/// about the same number of entries. With several regions, some servers of each other region are considered in any case.
pub fn considered(mut candidates: Vec<Candidate>, regions: &Regions, domain: &str, vm: &str) -> Vec<Candidate> {
    if candidates.len() <= CONSIDERED_MAX {
        return candidates;
    }
    candidates.sort_by_cached_key(|candidate| {
        let mut hasher = DefaultHasher::new();
        (vm, &*candidate.vm).hash(&mut hasher);
        // Upstreams on trial are few, and every entry has to know them for their traffic share to reach them.
        (candidate.part != TrafficShare::Trial, regions.distance(domain, &candidate.domain), hasher.finish())
    });
    if !regions.has_several() {
        candidates.truncate(CONSIDERED_MAX);
        return candidates;
    }
    let mut by_region: HashMap<&str, usize> = HashMap::new();
    let mut reserved_count = 0;
    let mut reserved = vec![false; candidates.len()];
    for (candidate, reserved) in candidates.iter().zip(&mut reserved) {
        let is_beyond = regions.distance(domain, &candidate.domain) == Distance::Beyond;
        let count = by_region.entry(regions.region_of(&candidate.domain)).or_default();
        if is_beyond && *count < REGION_RESERVE && reserved_count < REGIONS_RESERVE_MAX {
            *count += 1;
            reserved_count += 1;
            *reserved = true;
        }
    }
    let mut others_left = CONSIDERED_MAX - reserved_count;
    let mut is_chosen = reserved.into_iter().map(|is_reserved| {
        let is_chosen = is_reserved || others_left > 0;
        others_left -= usize::from(is_chosen && !is_reserved);
        is_chosen
    });
    candidates.retain(|_| is_chosen.next() == Some(true));
    candidates
}

/// Returns the guarantee on repeats of a service, if its rule has a fleet-wide budget.
fn retry_guarantee(rule: &ServiceRule) -> Option<RetryGuarantee> {
    let FleetRetries { reserve, window_ms } = rule.fleet_retries?;
    Some(RetryGuarantee { percent: rule.retry_percent, reserve, window_us: u64::from(window_ms) * 1000 })
}

/// Returns the placement rule for calls of a service.
pub(super) fn call_rule(rule: &ServiceRule, repeatable: bool) -> CallRule {
    let hedging = repeatable && rule.hedge_percent > 0;
    CallRule {
        repeatable,
        bounces: rule.bounces,
        retries: rule.retries,
        hedge_after_percent: hedging.then_some(rule.hedge_after_percent),
        demand: None,
    }
}
