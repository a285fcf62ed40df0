//! View of the servers of one service at an entry, and server selection.

pub(super) mod region;
mod utility;

use super::full_owner_share::FullOwnerShare;
use super::message::{ReceivedLoad, ServerIndex};
use super::policy::Policy;
use super::region_link::LinkView;
use super::return_plan::{ReturnPlan, WINDOW_US};
use super::set::ServerSet;
use crate::gate::LoadReport;
use crate::rollout::{TrafficShare, TrialShare};

/// Maximum number of servers of one service that placement considers.
pub const MAX_SERVERS: usize = 64;
/// Service time assumed for a server without a load report.
const ASSUMED_SERVICE_US: u32 = 2_000;
/// Slots assumed for a server without a load report.
const ASSUMED_LIMIT: u16 = 4;
/// Time in which the weight of a report halves.
const HALF_LIFE_US: u64 = 20_000;
/// Servers whose scores differ by less than this share of the best score count as equal.
const TIE_SHARE: f64 = 0.05;
/// Consecutive failures after which a server is ejected.
const EJECT_FAILURES: u32 = 5;
/// Shortest ejection.
const EJECT_US: u64 = 1_000_000;
/// How often the ejection of a server doubles while its node is unreachable. Each further try waits for a handshake,
/// but the server may have come back meanwhile.
const SUSPECT_DOUBLINGS: u32 = 2;
/// Longest ejection.
const EJECT_MAX_US: u64 = 30_000_000;
/// Time for which a report that a server is full is relied on.
pub const FULL_REPORT_VALID_US: u64 = 10_000;
/// A service without a pick for this many stale times is not probed.
const IN_USE_STALE_TIMES: u64 = 10;
/// Addition to the expected time of a stalled server.
const STALL_PENALTY_US: f64 = 25_000.0;
/// Service times added to the score of a server whose recent calls all failed; in proportion if only some failed.
const FAILURE_WEIGHT: f64 = 4.0;

#[derive(Debug, Clone, Copy)]
struct ServerView {
    /// Whether the server is in the roster; its index is free otherwise.
    present: bool,
    leaving: bool,
    /// Expected network round-trip time.
    network_us: u32,
    /// Whether the server is in another failure domain, to which traffic is expensive.
    cross_domain: bool,
    /// Link to its region; none if it is in the region of the entry.
    region_link: Option<usize>,
    last_report: Option<ReceivedLoad>,
    /// Attempts of this entry in flight.
    outstanding: u32,
    /// `outstanding` at the time of the last report.
    outstanding_at_report: u32,
    failures: u32,
    failure_share: f64,
    ejected_until_us: u64,
    /// Time until which the server's rate limit is expected to admit no call.
    starts_after_us: u64,
    ejections: u32,
    probed_us: u64,
    /// Traffic share while its service is rolled out.
    traffic_share: TrafficShare,
    /// Number of its VM, which all incarnations of the VM share.
    vm: u64,
}

const EMPTY: ServerView = ServerView {
    present: false,
    leaving: false,
    network_us: 0,
    cross_domain: false,
    region_link: None,
    last_report: None,
    outstanding: 0,
    outstanding_at_report: 0,
    failures: 0,
    failure_share: 0.0,
    ejected_until_us: 0,
    starts_after_us: 0,
    ejections: 0,
    probed_us: 0,
    traffic_share: TrafficShare::Usual,
    vm: 0,
};

impl ServerView {
    /// Returns the calls of other entries in a report.
    fn reported_others(&self, load: &LoadReport) -> f64 {
        (f64::from(load.in_flight) + f64::from(load.queued) - f64::from(self.outstanding_at_report)).max(0.0)
    }
}

/// State of the servers of one service, as known to one entry.
#[derive(Debug, Clone)]
pub struct ServiceView {
    servers: Vec<ServerView>,
    policy: Policy,
    turn: usize,
    last_pick_us: Option<u64>,
    full_owner_share: FullOwnerShare,
    /// Whether the traffic share of any server differs from the usual one.
    is_in_rollout: bool,
    trial: TrialShare,
    /// Latest `starts_after_us` of any server.
    last_starts_after_us: u64,
    /// States of the links to other regions; empty if the fleet has a single region.
    links: Vec<LinkView>,
    /// Plan of refused callers' returns; none if retry delays are random.
    return_plan: Option<ReturnPlan>,
    /// Since when the bundle lacks the service.
    removed_us: Option<u64>,
}

impl ServiceView {
    /// Creates a view without servers.
    pub fn new(policy: Policy) -> Self {
        Self {
            servers: Vec::new(),
            policy,
            turn: 0,
            last_pick_us: None,
            full_owner_share: FullOwnerShare::default(),
            is_in_rollout: false,
            trial: TrialShare::default(),
            last_starts_after_us: 0,
            links: Vec::new(),
            return_plan: None,
            removed_us: None,
        }
    }

    /// Records that the bundle in force lacks the service, and returns since when. No server is in rotation then.
    pub fn remove(&mut self, now_us: u64) -> u64 {
        *self.removed_us.get_or_insert(now_us)
    }

    /// Records that the bundle in force has the service.
    pub fn restore(&mut self) {
        self.removed_us = None;
    }

    /// Returns whether the bundle in force lacks the service.
    pub fn is_removed(&self) -> bool {
        self.removed_us.is_some()
    }

    /// Returns whether attempts of this entry are in flight at any server.
    pub fn has_outstanding(&self) -> bool {
        self.servers.iter().any(|view| view.outstanding > 0)
    }

    /// Sets whether a server is in the roster, and its network round-trip time.
    ///
    /// # Panics
    ///
    /// Panics if `server` is not below [`MAX_SERVERS`].
    pub fn set_present(&mut self, server: ServerIndex, present: bool, network_us: u32) {
        assert!(server < MAX_SERVERS);
        if server >= self.servers.len() {
            self.servers.resize(server + 1, EMPTY);
        }
        let view = &mut self.servers[server];
        if present && !view.present {
            // A server that is considered again still has the attempts that were sent to it before.
            *view = ServerView { vm: server as u64, outstanding: view.outstanding, ..EMPTY };
        }
        view.present = present;
        view.network_us = network_us;
    }

    /// Sets whether a server is in another failure domain.
    pub fn set_cross_domain(&mut self, server: ServerIndex, cross_domain: bool) {
        if let Some(view) = self.servers.get_mut(server) {
            view.cross_domain = cross_domain;
        }
    }

    /// Sets the traffic share of a server while its service is rolled out.
    pub fn set_traffic_share(&mut self, server: ServerIndex, traffic_share: TrafficShare) {
        if let Some(view) = self.servers.get_mut(server) {
            view.traffic_share = traffic_share;
        }
        self.is_in_rollout = self.servers.iter().any(|view| view.present && view.traffic_share != TrafficShare::Usual);
    }

    /// Sets the number of a server's VM, which is the server's index otherwise.
    pub fn set_vm(&mut self, server: ServerIndex, vm: u64) {
        if let Some(view) = self.servers.get_mut(server) {
            view.vm = vm;
        }
    }

    /// Returns the number of a server's VM.
    pub fn vm(&self, server: ServerIndex) -> u64 {
        self.servers.get(server).map_or(server as u64, |view| view.vm)
    }

    /// Returns all incarnations of a VM.
    pub fn incarnations_of(&self, vm: u64) -> ServerSet {
        let mut incarnations = ServerSet::default();
        for (server, _) in self.servers.iter().enumerate().filter(|(_, view)| view.vm == vm) {
            incarnations.insert(server);
        }
        incarnations
    }

    /// Sets the numbers of servers on trial and of other servers. `start_permille` is the point at which this entry
    /// begins in the cycle of the trial's share.
    pub fn set_trial_share(&mut self, trial: usize, usual: usize, start_permille: u32) {
        self.trial.configure(trial, usual, start_permille);
    }

    /// Returns whether the next call goes to a server on trial.
    pub fn next_is_trial(&mut self) -> bool {
        self.is_in_rollout && self.trial.next_goes_to_trial()
    }

    /// Returns the servers whose traffic share differs from `traffic_share`.
    pub fn servers_without(&self, traffic_share: TrafficShare) -> ServerSet {
        let mut servers_without = ServerSet::default();
        if !self.is_in_rollout {
            return servers_without;
        }
        for (server, _) in self.servers.iter().enumerate().filter(|(_, view)| view.traffic_share != traffic_share) {
            servers_without.insert(server);
        }
        servers_without
    }

    /// Returns the servers in other failure domains if a server of the own domain is in rotation outside `excluded`;
    /// otherwise the set is empty, since there is no choice.
    pub fn cross_domain_if_own_open(&self, excluded: ServerSet, now_us: u64) -> ServerSet {
        let rotation = self.rotation(now_us);
        let mut cross_domain = ServerSet::default();
        let mut own_is_open = false;
        for (server, view) in self.servers.iter().enumerate() {
            if view.cross_domain {
                cross_domain.insert(server);
            } else {
                own_is_open |= rotation.contains(server) && !excluded.contains(server);
            }
        }
        if own_is_open { cross_domain } else { ServerSet::default() }
    }

    /// Returns whether a server is in another failure domain.
    pub fn is_cross_domain(&self, server: ServerIndex) -> bool {
        self.servers.get(server).is_some_and(|view| view.cross_domain)
    }

    /// Marks a server as leaving; it never returns under the same index.
    pub fn set_leaving(&mut self, server: ServerIndex) {
        if let Some(view) = self.servers.get_mut(server) {
            view.leaving = true;
        }
    }

    /// Records a load report that was received at `now_us`.
    pub fn report(&mut self, server: ServerIndex, load: LoadReport, now_us: u64) {
        let Some(view) = self.servers.get_mut(server) else {
            return;
        };
        view.leaving |= load.leaving;
        view.starts_after_us = match load.start_delay_ms {
            0 => 0,
            delay_ms => now_us + u64::from(delay_ms) * 1000,
        };
        self.last_starts_after_us = self.last_starts_after_us.max(view.starts_after_us);
        view.last_report = Some(ReceivedLoad { load, received_us: now_us });
        view.outstanding_at_report = view.outstanding;
    }

    /// Sets whether the returns of refused callers are planned.
    pub fn plan_returns(&mut self, is_planned: bool) {
        match is_planned {
            true => drop(self.return_plan.get_or_insert_with(ReturnPlan::default)),
            false => self.return_plan = None,
        }
    }

    /// Returns the plan of refused callers' returns; none if retry delays are random.
    pub fn return_plan(&mut self) -> Option<&mut ReturnPlan> {
        self.return_plan.as_mut()
    }

    /// Returns the expected duration of a run whose usual duration is `work_us`: at least the mean of what the servers in
    /// rotation reported lately, which includes their slow episodes and their load.
    pub fn expected_run_us(&self, work_us: u32, now_us: u64) -> u64 {
        let rotation = self.rotation(now_us);
        let in_rotation = self.servers.iter().enumerate().filter(|(server, _)| rotation.contains(*server));
        let reports = in_rotation.filter_map(|(_, view)| view.last_report);
        let fresh = reports.filter(|last_report| now_us < last_report.received_us + WINDOW_US);
        let (sum_us, count) =
            fresh.fold((0, 0), |(sum_us, count), report| (sum_us + u64::from(report.load.service_us), count + 1));
        u64::from(work_us).max(sum_us / count.max(1))
    }

    /// Counts an attempt sent to a server.
    pub fn count_sent(&mut self, server: ServerIndex) {
        if let Some(view) = self.servers.get_mut(server) {
            view.outstanding += 1;
        }
    }

    /// Counts the end of an attempt at a server.
    pub fn count_end(&mut self, server: ServerIndex) {
        if let Some(view) = self.servers.get_mut(server) {
            view.outstanding = view.outstanding.saturating_sub(1);
        }
    }

    /// Records whether an attempt that ran, or a link that broke, showed the server to be healthy.
    pub fn record_health(&mut self, server: ServerIndex, healthy: bool, now_us: u64) {
        let Some(view) = self.servers.get_mut(server) else {
            return;
        };
        view.failure_share += (f64::from(u8::from(!healthy)) - view.failure_share) / 16.0;
        if healthy {
            view.failures = 0;
            view.ejections = view.ejections.saturating_sub(u32::from(view.ejected_until_us < now_us));
            return;
        }
        view.failures += 1;
        if view.failures >= EJECT_FAILURES && view.ejected_until_us <= now_us {
            let ejection_us = (EJECT_US << view.ejections.min(5)).min(EJECT_MAX_US);
            view.ejected_until_us = now_us + ejection_us;
            view.ejections += 1;
            view.failures = 0;
        }
    }

    /// Records whether an attempt found a server full.
    pub fn record_full(&mut self, full: bool, now_us: u64) {
        self.full_owner_share.record(full, now_us);
    }

    /// Returns the share of attempts that found room at their owner lately.
    pub fn room_share(&self, now_us: u64) -> f64 {
        self.full_owner_share.room_share(now_us)
    }

    /// Returns how many owners, of at most `declines_max`, may decline a call for lack of room.
    pub fn allowed_declines(&self, declines_max: u8, now_us: u64) -> u8 {
        self.full_owner_share.allowed_declines(declines_max, now_us)
    }

    /// Ejects a server immediately because its node is unreachable.
    pub fn suspect(&mut self, server: ServerIndex, now_us: u64) {
        if let Some(view) = self.servers.get_mut(server) {
            if view.ejected_until_us > now_us {
                return;
            }
            let ejection_us = EJECT_US << view.ejections.min(SUSPECT_DOUBLINGS);
            view.ejected_until_us = now_us + ejection_us;
            view.ejections += 1;
        }
    }

    /// Returns whether a server is ejected, for its failures or because its node was unreachable.
    pub fn is_ejected(&self, server: ServerIndex, now_us: u64) -> bool {
        self.servers.get(server).is_some_and(|view| view.ejected_until_us > now_us)
    }

    /// Returns the number of attempts of this entry in flight at a server.
    pub fn outstanding(&self, server: ServerIndex) -> u32 {
        self.servers.get(server).map_or(0, |view| view.outstanding)
    }

    /// Returns the servers that may get new work at `now_us`.
    ///
    /// At least half of the servers that are present and not leaving stay in rotation regardless of their health: if
    /// most of them look unhealthy, the fault is in the view.
    pub fn rotation(&self, now_us: u64) -> ServerSet {
        let mut all = ServerSet::default();
        if self.is_removed() {
            return all;
        }
        let mut not_ejected = ServerSet::default();
        for (server, view) in self.servers.iter().enumerate() {
            if !view.present || view.leaving {
                continue;
            }
            all.insert(server);
            if view.ejected_until_us <= now_us {
                not_ejected.insert(server);
            }
        }
        if not_ejected.len() * 2 >= all.len() && !not_ejected.is_empty() { not_ejected } else { all }
    }

    /// Returns whether a server is in the roster.
    pub fn is_present(&self, server: ServerIndex) -> bool {
        self.servers.get(server).is_some_and(|view| view.present)
    }

    /// Records that a server is being probed.
    pub fn record_probe(&mut self, server: ServerIndex, now_us: u64) {
        if let Some(view) = self.servers.get_mut(server) {
            view.probed_us = now_us;
        }
    }

    /// Returns the server with the oldest report or probe, and the age in microseconds, if the age is over `stale_us`
    /// and the service was used recently.
    pub fn stalest(&self, now_us: u64, stale_us: u64) -> Option<(u64, ServerIndex)> {
        if !self.is_in_use(now_us, stale_us) {
            return None;
        }
        let age_us = |view: &ServerView| {
            let received_us = view.last_report.map_or(0, |last_report| last_report.received_us).max(view.probed_us);
            now_us.saturating_sub(received_us)
        };
        // Servers in other regions report with the answers to calls, and their links are probed on their own.
        let is_probed = |view: &ServerView| view.present && !view.leaving && view.region_link.is_none();
        let eligible = self.servers.iter().enumerate().filter(|(_, view)| is_probed(view));
        let oldest = eligible.map(|(server, view)| (age_us(view), server)).max()?;
        Some(oldest).filter(|(age_us, _)| *age_us > stale_us)
    }

    /// Returns whether the service was used recently.
    pub fn is_in_use(&self, now_us: u64, stale_us: u64) -> bool {
        let is_recent = |last_pick_us| now_us < last_pick_us + IN_USE_STALE_TIMES * stale_us;
        !self.is_removed() && self.last_pick_us.is_some_and(is_recent)
    }

    /// Returns when the last load report of a server was received.
    pub fn received_us(&self, server: ServerIndex) -> Option<u64> {
        self.servers.get(server)?.last_report.map(|last_report| last_report.received_us)
    }

    /// Returns the smoothed service time of a server as last reported.
    pub fn service_us(&self, server: ServerIndex) -> u32 {
        self.servers
            .get(server)
            .and_then(|view| view.last_report)
            .map_or(ASSUMED_SERVICE_US, |last_report| last_report.load.service_us)
    }

    /// Returns whether a server outside `tried` appears able to start a call at once. A server without a report from
    /// the last `fresh_us` counts as able.
    pub fn has_room(&self, tried: ServerSet, fresh_us: u64, now_us: u64) -> bool {
        let rotation = self.rotation(now_us);
        let eligible = |server: &ServerIndex| rotation.contains(*server) && !tried.contains(*server);
        (0..self.servers.len()).filter(eligible).any(|server| self.appears_free(server, fresh_us, now_us))
    }

    fn appears_free(&self, server: ServerIndex, fresh_us: u64, now_us: u64) -> bool {
        let view = &self.servers[server];
        if view.starts_after_us > now_us {
            return false;
        }
        let Some(last_report) = view.last_report.filter(|last_report| now_us < last_report.received_us + fresh_us)
        else {
            return true;
        };
        let LoadReport { limit, in_flight, queued, stalled, .. } = last_report.load;
        let since = view.outstanding.saturating_sub(view.outstanding_at_report);
        !stalled && u32::from(in_flight) + u32::from(queued) + since < u32::from(limit)
    }

    /// Picks a server in rotation outside `excluded`, if there is one.
    pub fn pick(&mut self, excluded: ServerSet, now_us: u64, rng: &mut fastrand::Rng) -> Option<ServerIndex> {
        self.last_pick_us = Some(now_us);
        let (eligible, count) = self.eligible(excluded, now_us);
        let eligible = &eligible[..count];
        if eligible.is_empty() {
            return None;
        }
        Some(match self.policy {
            Policy::Valetrack => self.least_expected(eligible, now_us, rng),
            Policy::Random => eligible[rng.usize(..eligible.len())],
            Policy::RoundRobin => self.next_in_turn(eligible),
            Policy::LeastInFlight => self.least_in_flight(eligible, rng),
            Policy::TwoChoices => self.two_choices(eligible, rng),
        })
    }

    /// Returns how long the rate limits of all servers in rotation are expected to admit no call; zero if one admits a
    /// call now.
    pub fn start_delay_us(&self, now_us: u64) -> u64 {
        if self.last_starts_after_us <= now_us {
            return 0;
        }
        let rotation = self.rotation(now_us);
        let in_rotation = self.servers.iter().enumerate().filter(|(server, _)| rotation.contains(*server));
        let first_us = in_rotation.map(|(_, view)| view.starts_after_us).min();
        first_us.map_or(0, |first_us| first_us.saturating_sub(now_us))
    }

    /// Returns the servers to which a call should not go because of their rate limits. If that is all of them, the one
    /// that admits a call first is left out.
    fn rate_limited(&self, excluded: ServerSet, now_us: u64) -> ServerSet {
        let mut rate_limited = ServerSet::default();
        if self.last_starts_after_us <= now_us {
            return rate_limited;
        }
        let rotation = self.rotation(now_us);
        let usable = |server: &ServerIndex| rotation.contains(*server) && !excluded.contains(*server);
        let starts_after_us = |server: ServerIndex| self.servers[server].starts_after_us;
        let first_us = (0..self.servers.len()).filter(usable).map(starts_after_us).min().unwrap_or(0);
        for server in (0..self.servers.len()).filter(|server| starts_after_us(*server) > first_us.max(now_us)) {
            rate_limited.insert(server);
        }
        rate_limited
    }

    /// Returns the servers in rotation outside `excluded`, and their number. Nothing is allocated.
    fn eligible(&self, excluded: ServerSet, now_us: u64) -> ([ServerIndex; MAX_SERVERS], usize) {
        let rotation = self.rotation(now_us);
        let excluded = excluded.union(self.rate_limited(excluded, now_us));
        let mut eligible = [0; MAX_SERVERS];
        let mut count = 0;
        for server in 0..self.servers.len() {
            if rotation.contains(server) && !excluded.contains(server) {
                eligible[count] = server;
                count += 1;
            }
        }
        (eligible, count)
    }

    /// Returns the expected time of a call sent now.
    pub fn expected_us(&self, server: ServerIndex, now_us: u64) -> f64 {
        let view = &self.servers[server];
        let (load, age_us) = match view.last_report {
            Some(last_report) => (last_report.load, now_us.saturating_sub(last_report.received_us)),
            None => (LoadReport { limit: ASSUMED_LIMIT, service_us: ASSUMED_SERVICE_US, ..LoadReport::default() }, 0),
        };
        let service_us = f64::from(load.service_us);
        let limit = f64::from(load.limit.max(1));
        let weight = 0.5_f64.powf(age_us as f64 / HALF_LIFE_US as f64);
        let own = f64::from(view.outstanding);
        let busy = own + view.reported_others(&load) * weight;
        let wait_us = wait_us(busy, limit, service_us);
        let spread_us = service_us * busy / limit;
        let stall_us = if load.stalled { STALL_PENALTY_US * weight } else { 0.0 };
        let failure_us = view.failure_share * FAILURE_WEIGHT * service_us.max(f64::from(ASSUMED_SERVICE_US));
        f64::from(view.network_us) + service_us + wait_us + spread_us + stall_us + failure_us
    }

    fn least_expected(&self, eligible: &[ServerIndex], now_us: u64, rng: &mut fastrand::Rng) -> ServerIndex {
        let mut scores = [0.0; MAX_SERVERS];
        let mut best = f64::INFINITY;
        for (at, &server) in eligible.iter().enumerate() {
            scores[at] = self.expected_us(server, now_us);
            best = best.min(scores[at]);
        }
        let tie_limit = best * (1.0 + TIE_SHARE);
        pick_where(eligible, rng, |at| scores[at] <= tie_limit)
    }

    fn next_in_turn(&mut self, eligible: &[ServerIndex]) -> ServerIndex {
        self.turn = self.turn.wrapping_add(1);
        eligible[self.turn % eligible.len()]
    }

    fn least_in_flight(&self, eligible: &[ServerIndex], rng: &mut fastrand::Rng) -> ServerIndex {
        let least = eligible.iter().map(|&server| self.servers[server].outstanding).min().unwrap_or(0);
        pick_where(eligible, rng, |at| self.servers[eligible[at]].outstanding == least)
    }

    fn two_choices(&self, eligible: &[ServerIndex], rng: &mut fastrand::Rng) -> ServerIndex {
        let first = eligible[rng.usize(..eligible.len())];
        let second = eligible[rng.usize(..eligible.len())];
        let reported = |server: ServerIndex| {
            self.servers[server]
                .last_report
                .map_or(0, |last_report| u32::from(last_report.load.in_flight) + u32::from(last_report.load.queued))
        };
        if reported(second) < reported(first) { second } else { first }
    }
}

/// Returns the expected wait for a slot of a server with `busy` calls.
fn wait_us(busy: f64, limit: f64, service_us: f64) -> f64 {
    (busy + 1.0 - limit).max(0.0) * service_us / limit
}

/// Picks uniformly among the positions for which `fits` holds; at least one must.
fn pick_where(eligible: &[ServerIndex], rng: &mut fastrand::Rng, fits: impl Fn(usize) -> bool) -> ServerIndex {
    let count = (0..eligible.len()).filter(|&at| fits(at)).count();
    let chosen = rng.usize(..count.max(1));
    (0..eligible.len()).filter(|&at| fits(at)).nth(chosen).map_or(eligible[0], |at| eligible[at])
}
