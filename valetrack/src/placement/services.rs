//! States of the services that an entry calls, across changes of the bundle.

use std::collections::HashMap;
use std::sync::Arc;

use super::policy::Policy;
use super::service::ServiceState;
use crate::bundle::ServiceRule;

/// States of services by name.
///
/// A service that the bundle lacks ends like an upstream that leaves: no attempt is sent to it any more, those in flight
/// end as usual, and then its state is dropped. Until then its servers keep their indexes, which attempts refer to.
pub(super) struct Services {
    policy: Policy,
    states: HashMap<Arc<str>, ServiceState>,
}

impl Services {
    /// Creates a table without services.
    pub(super) fn new(policy: Policy) -> Self {
        Self { policy, states: HashMap::new() }
    }

    /// Removes the services for which `is_configured` returns false, and drops the states that nothing needs any more.
    pub(super) fn remove_others(&mut self, is_configured: impl Fn(&str) -> bool, now_us: u64) {
        for (name, state) in self.states.iter().filter(|(name, state)| !is_configured(name) && !state.view.is_removed())
        {
            log::info!("event=service.removed service={name} is_in_use={}", state.view.has_outstanding());
        }
        self.states.retain(|name, state| is_configured(name) || state.remove(now_us));
    }

    /// Returns the state of a service of the bundle, and creates it if there is none.
    pub(super) fn configured(&mut self, rule: &ServiceRule, now_us: u64) -> &mut ServiceState {
        let create = || ServiceState::new(rule, self.policy, now_us);
        self.states.entry(rule.name.clone()).or_insert_with(create)
    }

    /// Returns the state of a service.
    pub(super) fn get(&self, service: &str) -> Option<&ServiceState> {
        self.states.get(service)
    }

    /// Returns the state of a service, to be changed.
    pub(super) fn get_mut(&mut self, service: &str) -> Option<&mut ServiceState> {
        self.states.get_mut(service)
    }

    /// Returns all states.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &ServiceState)> {
        self.states.iter()
    }
}
