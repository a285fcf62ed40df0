//! Server and queue timeout of a call's next attempt.

use super::{Attempt, Call, CallContext, MAX_ATTEMPTS};
use crate::gate::{AttemptId, PERMILLE, QueueTimeout};
use crate::placement::message::{CallAction, Demand, Dispatch, SendCause, ServerIndex};
use crate::placement::never_runs::AttemptState;
use crate::placement::set::ServerSet;
use crate::placement::view::FULL_REPORT_VALID_US;
use crate::rollout::TrafficShare;

impl Call {
    /// Sends the first attempt, to a server on trial if the call belongs to the trial's traffic share. Later attempts
    /// go to the other servers: a call is sent to a new version at most once.
    pub(super) fn send_first(&mut self, cx: &mut CallContext<'_>, out: &mut Vec<CallAction>) -> Option<ServerIndex> {
        self.rollout_excluded = cx.view.servers_without(TrafficShare::Usual);
        let on_trial = cx.view.next_is_trial().then(|| cx.view.servers_without(TrafficShare::Trial));
        let trial = on_trial.and_then(|others| self.pick_with(others, others, cx));
        self.excluded = self.rollout_excluded;
        let Some(server) = trial else {
            return self.send_next(SendCause::First, cx, out);
        };
        let patience = self.queue_timeout_for(server, cx);
        self.send(server, patience, SendCause::First, cx, out);
        Some(server)
    }

    /// Sends the next attempt to a server that was not tried, and returns the server if there is one.
    pub(super) fn send_next(
        &mut self,
        cause: SendCause,
        cx: &mut CallContext<'_>,
        out: &mut Vec<CallAction>,
    ) -> Option<ServerIndex> {
        let server = self.next_server(cx)?;
        let patience = self.queue_timeout_for(server, cx);
        self.send(server, patience, cause, cx, out);
        Some(server)
    }

    /// Sends a last attempt to the best of the servers that were tried, to wait in its queue, unless one was sent
    /// already. A server that has rejected the call is as full some milliseconds later.
    pub(super) fn send_last(&mut self, cause: SendCause, cx: &mut CallContext<'_>, out: &mut Vec<CallAction>) -> bool {
        if self.last_resort || self.count >= MAX_ATTEMPTS {
            return false;
        }
        let Some(server) = self.pick(self.rollout_excluded.union(self.rejecting_vms(cx)), cx) else {
            return false;
        };
        self.send(server, QueueTimeout::Last, cause, cx, out);
        true
    }

    /// Returns the queue timeout of an attempt at a server: short only if another server appears to have room and the
    /// allowance of declines lets the call go there.
    fn queue_timeout_for(&self, server: ServerIndex, cx: &CallContext<'_>) -> QueueTimeout {
        let mut tried = self.excluded;
        tried.insert(server);
        // A queue changes about as fast as the calls in it run.
        let fresh_us =
            self.rule.demand.map_or(FULL_REPORT_VALID_US, |demand| u64::from(demand.work_us).max(FULL_REPORT_VALID_US));
        let beyond = self.beyond_by_choice(cx);
        if beyond.contains(server) {
            // The call goes back to its own region if the other one has no room either.
            return QueueTimeout::Short;
        }
        let tried = tried.union(beyond);
        let another_has_room = self.declines_left > 0 && cx.view.has_room(tried, fresh_us, cx.now_us);
        match () {
            () if another_has_room => QueueTimeout::Short,
            // The message has no field for a return. With the extended limit of the last resort, a return is admitted
            // where new calls of its rank are declined.
            () if self.declined_by_stall || self.goes_before_new(cx) => QueueTimeout::Last,
            () => QueueTimeout::Long,
        }
    }

    /// Picks a server outside `excluded`, and outside other failure domains once they have declined the call often
    /// enough and a server of the own domain is open.
    pub(super) fn pick(&self, excluded: ServerSet, cx: &mut CallContext<'_>) -> Option<ServerIndex> {
        self.pick_with(self.rollout_excluded, excluded, cx)
    }

    /// Picks a server like [`pick`](Self::pick) for a call that may use no server in `unusable`.
    fn pick_with(&self, unusable: ServerSet, excluded: ServerSet, cx: &mut CallContext<'_>) -> Option<ServerIndex> {
        let excluded = match self.cross_domain_declines_left {
            0 => excluded.union(cx.view.cross_domain_if_own_open(excluded, cx.now_us)),
            _ => excluded,
        };
        if cx.view.has_regions() {
            return self.pick_by_region(unusable, excluded, cx);
        }
        match self.demand_left(cx) {
            Some(demand) => cx.view.pick_in_time(excluded, demand, cx.now_us, cx.rng),
            None => cx.view.pick(excluded, cx.now_us, cx.rng),
        }
    }

    /// Returns the remaining requirements of the call, if it has an objective.
    pub(super) fn demand_left(&self, cx: &CallContext<'_>) -> Option<Demand> {
        let demand = self.rule.demand?;
        let elapsed_us = cx.now_us.saturating_sub(self.began_us);
        Some(Demand { left_us: demand.left_us.saturating_sub(elapsed_us), ..demand })
    }

    /// Returns the utility of the call at the best server that was not tried; zero if the call is to stay at `server`.
    fn elsewhere_permille(&self, server: ServerIndex, patience: QueueTimeout, cx: &CallContext<'_>) -> u16 {
        if patience != QueueTimeout::Short || self.slow_declines_left == 0 {
            return 0;
        }
        let beyond = self.beyond_by_choice(cx);
        if beyond.contains(server) {
            return 0;
        }
        let mut tried = self.excluded.union(beyond);
        tried.insert(server);
        let utility =
            self.demand_left(cx).and_then(|demand| cx.view.utility_elsewhere(server, tried, demand, cx.now_us));
        utility.map_or(0, |utility| (utility * PERMILLE) as u16)
    }

    /// Picks a server that was not tried, if the call may make another attempt.
    fn next_server(&mut self, cx: &mut CallContext<'_>) -> Option<ServerIndex> {
        if self.count >= MAX_ATTEMPTS {
            return None;
        }
        self.pick(self.excluded.union(self.rejecting_vms(cx)), cx)
    }

    /// Returns the servers on VMs whose upstreams have rejected the call, in any incarnation.
    pub(super) fn rejecting_vms(&self, cx: &CallContext<'_>) -> ServerSet {
        let attempts = self.attempts.iter().flatten();
        let rejected = attempts.filter(|attempt| attempt.state == AttemptState::Rejected);
        rejected.fold(ServerSet::default(), |all, attempt| all.union(cx.view.incarnations_of(attempt.vm)))
    }

    /// Returns whether a hedge at `server` pays off, and charges it to its budget if so.
    pub(super) fn may_hedge(&mut self, server: ServerIndex, cx: &mut CallContext<'_>) -> bool {
        if self.rule.demand.is_none() {
            return match &mut cx.budgets.hedge {
                Some(hedge) => hedge.take(cx.now_us),
                None => self.take_hedge(cx),
            };
        }
        let first = self.attempts.iter().flatten().find(|attempt| attempt.state == AttemptState::Sent);
        let slow = first.is_some_and(|attempt| {
            cx.view.is_slow(attempt.server, cx.now_us) || cx.view.is_ejected(attempt.server, cx.now_us)
        });
        // A hedge is one more run like a retry, so both are charged to one budget.
        slow && !cx.view.is_slow(server, cx.now_us) && self.take_hedge(cx)
    }

    /// Charges a hedge like a retry, if one is left.
    fn take_hedge(&mut self, cx: &mut CallContext<'_>) -> bool {
        let is_granted = self.may_repeat(SendCause::Hedge, cx);
        if is_granted {
            self.charge_repeat(cx);
        }
        is_granted
    }

    /// Sends one attempt to a server.
    pub(super) fn send(
        &mut self,
        server: ServerIndex,
        patience: QueueTimeout,
        cause: SendCause,
        cx: &mut CallContext<'_>,
        out: &mut Vec<CallAction>,
    ) {
        let id = AttemptId { entry: self.entry, seq: *cx.next_seq };
        *cx.next_seq += 1;
        let elsewhere_permille = self.elsewhere_permille(server, patience, cx);
        cx.view.count_sent(server);
        self.has_crossed |= cx.view.region_link(server).is_some();
        self.last_resort |= patience == QueueTimeout::Last;
        self.repeat_charged |= cause.is_charged();
        self.attempts[self.count] =
            Some(Attempt { id, server, vm: cx.view.vm(server), patience, state: AttemptState::Sent });
        self.count += 1;
        let repeat_permille = if self.repeat_charged { PERMILLE as u16 } else { self.repeat_permille };
        out.push(CallAction::Send(Dispatch {
            attempt: id,
            server,
            patience,
            elsewhere_permille,
            cause,
            repeat_permille,
        }));
    }
}
