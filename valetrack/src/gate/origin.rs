//! Tells calls that servers make on their own from those of callers, by where they begin.
//!
//! Callers of a route come in at any VM, but the calls that one service makes begin beside its own
//! servers only. They matter more than they look: whoever made one holds a slot elsewhere until it
//! is answered, and fails when it is refused.

use std::collections::HashMap;
use std::sync::Arc;

/// Calls of a route after which the place where they begin says something: with a second service
/// of the same size, that many would all come from one by luck once in a million.
const CALLS_MIN: u32 = 20;
/// Most routes that are remembered; a bundle names some hundreds.
const ROUTES_MAX: usize = 4_096;

/// Where the calls of one route began.
#[derive(Debug, Clone)]
struct Origins {
    /// The service of the first call.
    service: Arc<str>,
    /// Whether all calls began beside it.
    only: bool,
    calls: u32,
}

/// What one owner has seen of where calls begin.
#[derive(Debug, Default)]
pub struct OriginTracker {
    routes: HashMap<Arc<str>, Origins>,
    /// The first service of which any call came.
    first: Option<Arc<str>>,
    /// Whether calls came of another one as well; alone, one service says nothing.
    several: bool,
}

impl OriginTracker {
    /// Takes a call of `route` that began beside an upstream of `service`; returns whether the
    /// route is one that a service calls on its own.
    pub fn is_internal(&mut self, route: &Arc<str>, service: &Arc<str>) -> bool {
        let first = self.first.get_or_insert_with(|| service.clone());
        self.several |= first != service;
        if self.routes.len() >= ROUTES_MAX && !self.routes.contains_key(route) {
            return false;
        }
        let fresh = || Origins { service: service.clone(), only: true, calls: 0 };
        let origins = self.routes.entry(route.clone()).or_insert_with(fresh);
        origins.only &= origins.service == *service;
        origins.calls = origins.calls.saturating_add(1);
        self.several && origins.only && origins.calls > CALLS_MIN
    }
}
