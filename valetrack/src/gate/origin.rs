//! Distinguishes calls made by services from those of callers, by the VMs at which they enter.
//!
//! Calls of callers enter at the VMs of every service, but a call made by a service enters only beside the service that
//! made it. Such a call deserves priority: the run that made it holds a slot elsewhere until the answer arrives, and
//! fails if the call is declined.
//!
//! The classification adapts: only the latest calls of a route count, and a few stray calls do not change it. A rule
//! that required a single calling service failed on a fleet where two services began to call a third. It took their
//! calls for callers' for the rest of the day, and in a burst 418 of 1,652 were refused and 459 runs that waited for
//! them were thrown away.

use std::collections::HashMap;
use std::sync::Arc;

/// Calls of a route before it is classified; fewer could be chance.
const CALLS_MIN: f64 = 20.0;
/// Calls of a route after which all weights are halved, so that old observations fade within seconds under load.
const CALLS_MAX: f64 = 512.0;
/// Calls of all routes after which the weights of the overall distribution are halved.
const TOTAL_MAX: f64 = 4_096.0;
/// A service counts as not making a route's calls if fewer than this share of the expected callers' calls enter beside
/// it.
const ABSENT_SHARE: f64 = 0.1;
/// Share of a route's calls that may enter elsewhere although services make them: operators try routes by hand, and a
/// VM may change its service.
const STRAY_SHARE: f64 = 0.02;
/// Natural logarithm of the likelihood ratio that a classification requires, which is a million: several hundred routes
/// are each evaluated at every call.
const EVIDENCE_MIN: f64 = 13.8;
/// Largest number of tracked routes; a bundle names several hundred.
const ROUTES_MAX: usize = 4_096;

/// Weighted counts of calls by the service beside which they entered.
#[derive(Debug, Clone, Default)]
struct Origins {
    calls: Vec<(Arc<str>, f64)>,
    total: f64,
}

impl Origins {
    fn add(&mut self, service: &Arc<str>, total_max: f64) {
        if self.total >= total_max {
            self.calls.iter_mut().for_each(|(_, calls)| *calls /= 2.0);
            // Counts below one are dropped.
            self.calls.retain(|(_, calls)| *calls >= 1.0);
            self.total = self.calls.iter().map(|(_, calls)| calls).sum();
        }
        match self.calls.iter_mut().find(|(other, _)| other == service) {
            Some((_, calls)) => *calls += 1.0,
            None => self.calls.push((service.clone(), 1.0)),
        }
        self.total += 1.0;
    }

    fn count(&self, service: &str) -> f64 {
        self.calls.iter().find(|(other, _)| **other == *service).map_or(0.0, |(_, calls)| *calls)
    }
}

/// Where calls entered, as observed by one owner.
#[derive(Debug, Default)]
pub struct OriginTracker {
    routes: HashMap<Arc<str>, Origins>,
    /// Distribution of the calls of all routes.
    all: Origins,
    /// Number of VMs per service, as far as recorded.
    vms: HashMap<Arc<str>, u32>,
}

impl OriginTracker {
    /// Sets the number of VMs per service; callers' calls enter at all VMs alike.
    pub fn set_vms(&mut self, vms: HashMap<Arc<str>, u32>) {
        self.vms = vms;
    }

    /// Records a call of `route` that entered beside an upstream of `service`, and returns whether services make the
    /// calls of that route; `None` if the observations are not sufficient.
    pub fn record_and_classify(&mut self, route: &Arc<str>, service: &Arc<str>) -> Option<bool> {
        self.all.add(service, TOTAL_MAX);
        if self.routes.len() >= ROUTES_MAX && !self.routes.contains_key(route) {
            return None;
        }
        self.routes.entry(route.clone()).or_default().add(service, CALLS_MAX);
        let origins = self.routes.get(route).filter(|origins| origins.total > CALLS_MIN)?;
        let evidence = self.evidence(origins);
        (evidence.abs() >= EVIDENCE_MIN).then_some(evidence > 0.0)
    }

    /// Returns the logarithm of the likelihood ratio between calls made by services and calls made by callers; zero if
    /// nothing can be concluded.
    fn evidence(&self, origins: &Origins) -> f64 {
        if self.all.calls.len() < 2 {
            return 0.0;
        }
        let weights: f64 = self.all.calls.iter().map(|(service, calls)| self.weight(service, *calls)).sum();
        // Callers' expected share beside services that do not make the route's calls, and the calls that did enter
        // there.
        let (mut expected, mut stray) = (0.0, 0.0);
        for (service, calls) in &self.all.calls {
            let share = self.weight(service, *calls) / weights;
            let count = origins.count(service);
            if count <= origins.total * share * ABSENT_SHARE {
                expected += share;
                stray += count;
            }
        }
        if expected == 0.0 {
            // The calls enter beside every service.
            return f64::NEG_INFINITY;
        }
        if expected <= STRAY_SHARE || expected >= 1.0 {
            return 0.0;
        }
        let regular = origins.total - stray;
        stray * (STRAY_SHARE / expected).ln() + regular * ((1.0 - STRAY_SHARE) / (1.0 - expected)).ln()
    }

    /// Returns the weight of a service among callers' calls: its number of VMs, or its share of all calls if the VMs
    /// are unknown.
    fn weight(&self, service: &str, calls: f64) -> f64 {
        self.vms.get(service).map_or(if self.vms.is_empty() { calls } else { 0.0 }, |vms| f64::from(*vms))
    }
}
