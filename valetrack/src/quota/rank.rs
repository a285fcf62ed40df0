//! Ranking of the nodes that may be the home of an account.

use std::collections::HashMap;
use std::sync::Arc;

use crate::link::peer::Target;
use crate::member::{Members, Phase};
use crate::rendezvous::weight;

/// Nodes in a ranking: the home and its stand-in.
const RANKED: usize = 2;

/// Homes of accounts by rendezvous hashing, cached until the view of nodes changes.
#[derive(Debug, Default)]
pub struct HomeRanking {
    view: Option<Arc<Members>>,
    homes: HashMap<Arc<str>, Vec<Target>>,
}

impl HomeRanking {
    /// Returns the nodes to request an account's credits from, the home first.
    pub fn homes(&mut self, account: &Arc<str>, members: &Arc<Members>) -> &[Target] {
        if !self.view.as_ref().is_some_and(|view| Arc::ptr_eq(view, members)) {
            self.view = Some(members.clone());
            self.homes.clear();
        }
        self.homes.entry(account.clone()).or_insert_with(|| rank(account, members))
    }
}

fn rank(account: &str, members: &Members) -> Vec<Target> {
    let serving = members.iter().filter(|member| member.phase == Phase::Serving);
    let mut ranked: Vec<_> = serving.map(|member| (weight(account, &member.vm), member)).collect();
    ranked.sort_by(|(one, a), (other, b)| other.cmp(one).then_with(|| a.vm.cmp(&b.vm)));
    let homes = ranked.into_iter().take(RANKED);
    homes.map(|(_, member)| Target { vm: member.vm.clone(), addr: member.link_addr }).collect()
}
