//! What an entry keeps of one service, with a stable index for every server.

use std::hash::{DefaultHasher, Hash, Hasher};

use super::call::{Budgets, CallRule};
use super::message::ServerIndex;
use super::policy::Policy;
use super::repeat::{RepeatBudget, RepeatPromise};
use super::view::{MAX_SERVERS, ServiceView};
use crate::bundle::{FleetRetries, ServiceRule};
use crate::member::Candidate;
use crate::rollout::ServerPart;

/// Most servers of a service that one entry considers; the other places are for lives of VMs that
/// replace earlier ones, which keep theirs until nothing is out at them.
pub(super) const CONSIDERED_MAX: usize = MAX_SERVERS - 8;
/// Retries and hedges of one entry beyond their shares, in a window.
const SHARE_BURST: u32 = 20;
/// The way to another VM of the failure domain costs this many times less than leaving the domain.
const NEAR_DIVISOR: u32 = 10;

/// What an entry keeps of one service.
pub(super) struct ServiceState {
    /// Its servers.
    pub(super) view: ServiceView,
    /// Shares of its calls that may be retried and hedged.
    pub(super) budgets: Budgets,
    /// Where the node of each server is.
    pub(super) targets: Vec<Option<Candidate>>,
}

impl ServiceState {
    /// Makes the state of a service of which no server is known yet.
    pub(super) fn new(rule: &ServiceRule, policy: Policy, now_us: u64) -> Self {
        let budgets = match repeat_promise(rule) {
            Some(promise) => Budgets::of_fleet(promise, now_us),
            None => Budgets::new(
                RepeatBudget::new(rule.retry_percent, SHARE_BURST),
                RepeatBudget::new(rule.hedge_percent, SHARE_BURST),
            ),
        };
        Self { view: ServiceView::new(policy), budgets, targets: Vec::new() }
    }

    /// Takes what the fleet of `members` nodes promises on repeats of the service, if it does.
    pub(super) fn configure(&mut self, rule: &ServiceRule, members: u32) {
        if let Some(promise) = repeat_promise(rule) {
            self.budgets.retry.configure(promise, members);
        }
    }

    /// Gives every server a stable index: a later life of a VM gets one of its own.
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
                () if &*candidate.domain == domain => domain_cost_us / NEAR_DIVISOR,
                () => domain_cost_us,
            };
            self.view.set_present(server, true, network_us);
            self.view.set_far(server, &*candidate.domain != domain);
            self.view.set_part(server, candidate.part);
            self.targets[server] = Some(candidate);
        }
        for (server, _) in kept.iter().enumerate().filter(|(_, kept)| !**kept) {
            if server < self.targets.len() {
                self.view.set_present(server, false, 0);
            }
        }
    }

    /// Sets the share of calls that go to the upstreams on trial, by how many there are beside the others.
    fn share_trial(&mut self, candidates: &[Candidate], vm: &str) {
        let count = |part| candidates.iter().filter(|candidate| candidate.part == part).count();
        // Entries do not all begin with the new version.
        let mut hasher = DefaultHasher::new();
        vm.hash(&mut hasher);
        let start_permille = (hasher.finish() % 1_000) as u32;
        self.view.set_trial_share(count(ServerPart::Trial), count(ServerPart::Usual), start_permille);
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

/// Returns the servers that one entry considers, where a service has more than [`CONSIDERED_MAX`]:
/// those of its own failure domain first, the others by a hash of both VMs, so that entries choose
/// differently and every server is considered by about as many of them.
pub fn considered(mut candidates: Vec<Candidate>, domain: &str, vm: &str) -> Vec<Candidate> {
    if candidates.len() <= CONSIDERED_MAX {
        return candidates;
    }
    candidates.sort_by_cached_key(|candidate| {
        let mut hasher = DefaultHasher::new();
        (vm, &*candidate.vm).hash(&mut hasher);
        // The few on trial have to be known to every entry for their share to come to them.
        (candidate.part != ServerPart::Trial, &*candidate.domain != domain, hasher.finish())
    });
    candidates.truncate(CONSIDERED_MAX);
    candidates
}

/// Returns what a fleet promises on repeats of a service, if its rule has a budget of the fleet.
fn repeat_promise(rule: &ServiceRule) -> Option<RepeatPromise> {
    let FleetRetries { reserve, window_ms } = rule.fleet_retries?;
    Some(RepeatPromise { percent: rule.retry_percent, reserve, window_us: u64::from(window_ms) * 1000 })
}

/// Returns how calls of a service are placed by its rule in the bundle.
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
