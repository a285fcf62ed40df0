//! State of one service at an entry, with a stable index for each server.

use std::hash::{DefaultHasher, Hash, Hasher};

use super::call::{Budgets, CallRule};
use super::message::ServerIndex;
use super::policy::Policy;
use super::repeat::{RetryBudget, RetryGuarantee};
use super::view::{MAX_SERVERS, ServiceView};
use crate::bundle::{FleetRetries, ServiceRule};
use crate::member::Candidate;
use crate::rollout::TrafficShare;

/// Maximum number of servers of a service that one entry considers. The remaining indexes are for new incarnations of
/// VMs, whose earlier incarnations keep theirs until no attempt is in flight there.
pub(super) const CONSIDERED_MAX: usize = MAX_SERVERS - 8;
/// Retries and hedges of one entry beyond their shares, in a window.
const LOCAL_RESERVE: u32 = 20;
/// Divisor of the cost of leaving the failure domain that gives the cost of reaching another VM of the same domain.
const SAME_DOMAIN_DIVISOR: u32 = 10;

/// State of one service at an entry.
pub(super) struct ServiceState {
    /// Its servers.
    pub(super) view: ServiceView,
    /// Budgets of its retries and hedges.
    pub(super) budgets: Budgets,
    /// Node of each server.
    pub(super) targets: Vec<Option<Candidate>>,
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

    /// Applies the guarantee on repeats of the service, if it has one, in a fleet of `members` nodes.
    pub(super) fn configure(&mut self, rule: &ServiceRule, members: u32) {
        if let Some(guarantee) = retry_guarantee(rule) {
            self.budgets.retry.configure(guarantee, members);
        }
    }

    /// Assigns a stable index to each server, and a separate one to a new incarnation of a VM.
    pub(super) fn sync(
        &mut self,
        candidates: impl Iterator<Item = Candidate>,
        domain: &str,
        vm: &str,
        domain_cost_us: u32,
    ) {
        let mut kept = vec![false; self.targets.len().max(MAX_SERVERS)];
        let candidates: Vec<Candidate> = candidates.collect();
        self.share_trial(&candidates, vm);
        for candidate in considered(candidates, domain, vm) {
            let Some(server) = self.index_of(&candidate) else {
                continue;
            };
            kept[server] = true;
            let network_us = match () {
                () if &*candidate.vm == vm => 0,
                () if &*candidate.domain == domain => domain_cost_us / SAME_DOMAIN_DIVISOR,
                () => domain_cost_us,
            };
            self.view.set_present(server, true, network_us);
            self.view.set_cross_domain(server, &*candidate.domain != domain);
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
        let mut hasher = DefaultHasher::new();
        vm.hash(&mut hasher);
        let start_permille = (hasher.finish() % 1_000) as u32;
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

/// Returns the servers that one entry considers if a service has more than [`CONSIDERED_MAX`]: those of its own failure
/// domain first, then the others by a hash of both VMs, so that entries choose differently and each server is
/// considered by about the same number of entries.
pub fn considered(mut candidates: Vec<Candidate>, domain: &str, vm: &str) -> Vec<Candidate> {
    if candidates.len() <= CONSIDERED_MAX {
        return candidates;
    }
    candidates.sort_by_cached_key(|candidate| {
        let mut hasher = DefaultHasher::new();
        (vm, &*candidate.vm).hash(&mut hasher);
        // Upstreams on trial are few, and every entry has to know them for their traffic share to reach them.
        (candidate.part != TrafficShare::Trial, &*candidate.domain != domain, hasher.finish())
    });
    candidates.truncate(CONSIDERED_MAX);
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
