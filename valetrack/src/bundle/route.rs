//! Routes by host and longest path prefix, and the split of one route over services.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use serde::Serialize;

/// A service that gets a share of a route's calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SplitTarget {
    /// The service.
    pub service: Arc<str>,
    /// Its share, relative to the weights of the route's other services.
    pub weight: u32,
}

/// Rule for calls to one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct HostRoute {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host of the calls, in lower case and without a port.
    pub host: Arc<str>,
    /// Prefix of the path.
    pub prefix: Arc<str>,
    /// Services that get its calls; at least one.
    pub targets: Vec<SplitTarget>,
    /// Whether the work may run more than once.
    pub repeatable: bool,
    /// Longest time of a call.
    pub timeout_ms: u32,
    /// Time within which an answer has its full utility.
    pub objective_ms: u32,
    /// Priority under overload; zero is the highest.
    pub priority: u8,
    /// Most upstreams that one call may run on.
    pub attempts_max: u8,
    /// Whether its calls need no key of a client account.
    pub is_anonymous: bool,
}

/// All routes of a bundle, by host.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct RouteTable {
    by_host: HashMap<Arc<str>, Vec<Arc<HostRoute>>>,
    names: HashSet<Arc<str>>,
}

impl FromIterator<HostRoute> for RouteTable {
    fn from_iter<I: IntoIterator<Item = HostRoute>>(routes: I) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<HostRoute>>> = HashMap::new();
        let mut names = HashSet::new();
        for route in routes {
            names.insert(route.name.clone());
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { by_host, names }
    }
}

impl RouteTable {
    /// Returns whether the bundle has no routes by host.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether a route has this name.
    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Returns the services that get calls of the routes with these names.
    pub fn services_of<'a>(&'a self, names: &'a [Arc<str>]) -> impl Iterator<Item = &'a Arc<str>> {
        let routes = self.by_host.values().flatten().filter(|route| names.contains(&route.name));
        routes.flat_map(|route| route.targets.iter().map(|target| &target.service))
    }

    /// Returns the route with the longest prefix of `path` among those of `host`, regardless of the port and the case
    /// of the host.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<HostRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.by_host.get(name) {
            Some(routes) => routes,
            None => self.by_host.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }
}

/// Spreads the calls of one route over its services so that at any time each has had its share to within one call.
///
/// A random draw would miss the shares of a route that has few calls; the picker selects the service whose share is the
/// furthest behind.
#[derive(Debug, Clone, Default)]
pub struct SplitPicker {
    credits: Vec<f64>,
}

impl SplitPicker {
    /// Creates a picker that starts at a random point of the cycle, so that the nodes of a fleet do not all begin with
    /// the same service.
    pub fn new(targets: &[SplitTarget], rng: &mut fastrand::Rng) -> Self {
        let total = total_weight(targets);
        Self { credits: targets.iter().map(|_| rng.f64() * total).collect() }
    }

    /// Returns the index of the service for the next call.
    ///
    /// # Panics
    ///
    /// Panics if `targets` is empty.
    pub fn next(&mut self, targets: &[SplitTarget]) -> usize {
        self.credits.resize(targets.len(), 0.0);
        let mut best = 0;
        for (at, target) in targets.iter().enumerate() {
            self.credits[at] += f64::from(target.weight);
            if self.credits[at] > self.credits[best] {
                best = at;
            }
        }
        self.credits[best] -= total_weight(targets);
        best
    }
}

fn total_weight(targets: &[SplitTarget]) -> f64 {
    targets.iter().map(|target| f64::from(target.weight)).sum()
}
