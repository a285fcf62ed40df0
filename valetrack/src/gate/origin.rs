//! Tells calls that servers make on their own from those of callers, by where they begin.
//!
//! Callers of a route come in at VMs of every service, but the calls that services make begin beside
//! those that make them, and nowhere else. They matter more than they look: whoever made one holds a
//! slot elsewhere until it is answered, and fails when it is refused.
//!
//! What is learned is also unlearned: only the latest calls of a route count, and a few from elsewhere
//! change nothing. On a played fleet where two services made calls to a third from some moment on, the
//! rule that wanted one service alone took them for callers' for the rest of the day: in a burst 418 of
//! 1,652 were refused and 459 runs that waited for them thrown away, where none were otherwise.

use std::collections::HashMap;
use std::sync::Arc;

/// Calls of a route before it is judged: with fewer, luck says too much.
const CALLS_MIN: f64 = 20.0;
/// Calls of a route that count; with as many, the weight of each is halved, so that what was seen some
/// seconds ago fades under load.
const CALLS_MAX: f64 = 512.0;
/// Calls of all routes that count for where calls begin at all.
const TOTAL_MAX: f64 = 4_096.0;
/// A service from which fewer than this share of the calls come that callers would make beside it makes
/// none of its own.
const ABSENT_SHARE: f64 = 0.1;
/// Share of a route's calls that may come from elsewhere although services make them: operators try
/// routes by hand, and a VM's service may change.
const ODD_SHARE: f64 = 0.02;
/// How much likelier it must be that services make the calls than that callers do, as a logarithm: a
/// million times, since there are some hundred routes, each judged at each call.
const EVIDENCE_MIN: f64 = 13.8;
/// Most routes that are remembered; a bundle names some hundreds.
const ROUTES_MAX: usize = 4_096;

/// Calls by the service beside which they began; the older ones count less.
#[derive(Debug, Clone, Default)]
struct Origins {
    calls: Vec<(Arc<str>, f64)>,
    total: f64,
}

impl Origins {
    fn add(&mut self, service: &Arc<str>, total_max: f64) {
        if self.total >= total_max {
            self.calls.iter_mut().for_each(|(_, calls)| *calls /= 2.0);
            // Less than one call is no call.
            self.calls.retain(|(_, calls)| *calls >= 1.0);
            self.total = self.calls.iter().map(|(_, calls)| calls).sum();
        }
        match self.calls.iter_mut().find(|(known, _)| known == service) {
            Some((_, calls)) => *calls += 1.0,
            None => self.calls.push((service.clone(), 1.0)),
        }
        self.total += 1.0;
    }

    fn of(&self, service: &str) -> f64 {
        self.calls.iter().find(|(known, _)| **known == *service).map_or(0.0, |(_, calls)| *calls)
    }
}

/// What one owner has seen of where calls begin.
#[derive(Debug, Default)]
pub struct OriginTracker {
    routes: HashMap<Arc<str>, Origins>,
    /// Where calls of any route began.
    all: Origins,
    /// VMs of each service, as far as they are known.
    vms: HashMap<Arc<str>, u32>,
}

impl OriginTracker {
    /// Takes how many VMs each service has: callers come in at all of them alike.
    pub fn set_vms(&mut self, vms: HashMap<Arc<str>, u32>) {
        self.vms = vms;
    }

    /// Takes a call of `route` that began beside an upstream of `service`; returns whether the route is one
    /// that services call on their own, and none where too little was seen of it to tell.
    pub fn judge(&mut self, route: &Arc<str>, service: &Arc<str>) -> Option<bool> {
        self.all.add(service, TOTAL_MAX);
        if self.routes.len() >= ROUTES_MAX && !self.routes.contains_key(route) {
            return None;
        }
        self.routes.entry(route.clone()).or_default().add(service, CALLS_MAX);
        let origins = self.routes.get(route).filter(|origins| origins.total > CALLS_MIN)?;
        let evidence = self.evidence(origins);
        (evidence.abs() >= EVIDENCE_MIN).then_some(evidence > 0.0)
    }

    /// Returns how much likelier the origins of a route's calls are where services make them than where
    /// callers do, as a logarithm; zero where nothing can be told.
    fn evidence(&self, origins: &Origins) -> f64 {
        if self.all.calls.len() < 2 {
            return 0.0;
        }
        let weights: f64 = self.all.calls.iter().map(|(service, calls)| self.weight(service, *calls)).sum();
        // Callers' share of calls from services that make none, and how many calls came from them.
        let (mut expected, mut odd) = (0.0, 0.0);
        for (service, calls) in &self.all.calls {
            let share = self.weight(service, *calls) / weights;
            let came = origins.of(service);
            if came <= origins.total * share * ABSENT_SHARE {
                expected += share;
                odd += came;
            }
        }
        if expected == 0.0 {
            // They come from beside every service.
            return f64::NEG_INFINITY;
        }
        if expected <= ODD_SHARE || expected >= 1.0 {
            return 0.0;
        }
        let usual = origins.total - odd;
        odd * (ODD_SHARE / expected).ln() + usual * ((1.0 - ODD_SHARE) / (1.0 - expected)).ln()
    }

    /// Returns how many of callers' calls begin beside a service: by its VMs, or as the calls of all
    /// routes do where these are not known.
    fn weight(&self, service: &str, calls: f64) -> f64 {
        self.vms.get(service).map_or(if self.vms.is_empty() { calls } else { 0.0 }, |vms| f64::from(*vms))
    }
}
