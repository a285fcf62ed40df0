//! Ranking of the nodes that may be the home of an account.

use std::collections::HashMap;
use std::sync::Arc;

use crate::link::peer::Target;
use crate::member::{Members, Phase};
use crate::rendezvous::weight;

/// Nodes in a ranking: the home and its stand-in.
const RANKED: usize = 2;

/// Part of a node in granting the credits of an account, according to its own view of the members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// The node ranks first.
    Home {
        /// The node that ranks second, if there is one.
        stand_in: Option<Target>,
    },
    /// The node ranks second.
    StandIn {
        /// The node that ranks first.
        home: Target,
    },
    /// Two other nodes rank before it.
    Unranked,
}

/// Homes of accounts by rendezvous hashing, cached until the view of nodes changes.
#[derive(Debug, Default)]
pub struct HomeRanking {
    /// VM that is ranked in any phase.
    own: Option<Arc<str>>,
    view: Option<Arc<Members>>,
    homes: HashMap<Arc<str>, Vec<Target>>,
}

impl HomeRanking {
    /// Creates a ranking that includes `own` in any phase. A home that leaves thus remains the home in its own view,
    /// until the node that replaces it knows of that.
    pub fn including(own: Arc<str>) -> Self {
        Self { own: Some(own), ..Self::default() }
    }

    /// Returns the part of the node on `vm` in granting an account's credits.
    pub fn role(&mut self, vm: &str, account: &Arc<str>, members: &Arc<Members>) -> Role {
        match self.homes(account, members) {
            [home, others @ ..] if *home.vm == *vm => Role::Home { stand_in: others.first().cloned() },
            [home, stand_in] if *stand_in.vm == *vm => Role::StandIn { home: home.clone() },
            _ => Role::Unranked,
        }
    }

    /// Returns the nodes to request an account's credits from, the home first.
    pub fn homes(&mut self, account: &Arc<str>, members: &Arc<Members>) -> &[Target] {
        if !self.view.as_ref().is_some_and(|view| Arc::ptr_eq(view, members)) {
            self.view = Some(members.clone());
            self.homes.clear();
        }
        let own = self.own.as_deref();
        self.homes.entry(account.clone()).or_insert_with(|| rank(account, members, own))
    }
}

/// Returns whether one node ranks before another for an account, independently of the view of the members.
pub fn ranks_before(account: &str, vm: &str, other: &str) -> bool {
    // Of two equal weights, the node with the lower name ranks first, as in `rank`.
    (weight(account, vm), other) > (weight(account, other), vm)
}

/// Returns the home of an account and its stand-in among the serving nodes and `own`.
fn rank(account: &str, members: &Members, own: Option<&str>) -> Vec<Target> {
    let serving = members.iter().filter(|member| member.phase == Phase::Serving || Some(&*member.vm) == own);
    let mut ranked: Vec<_> = serving.map(|member| (weight(account, &member.vm), member)).collect();
    ranked.sort_by(|(one, a), (other, b)| other.cmp(one).then_with(|| a.vm.cmp(&b.vm)));
    let homes = ranked.into_iter().take(RANKED);
    homes.map(|(_, member)| Target { vm: member.vm.clone(), addr: member.link_addr }).collect()
}
