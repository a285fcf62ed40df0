//! What nodes may do where a page may lack keys.

use super::{NODES, Node, Step, World};

impl World {
    pub(super) fn steps_of_gap(&self, node: usize, steps: &mut Vec<Step>) {
        let state = &self.nodes[node];
        if state.told_in.is_some() {
            steps.push(Step::Settle { node });
        }
        if self.left.rounds == 0 {
            return;
        }
        if state.home.remembers() && (0..NODES).any(|other| other != node && self.nodes[other].home.has_gap()) {
            steps.push(Step::Yield { node });
        }
        if !state.home.has_gap() {
            return;
        }
        steps.push(Step::GiveUp { node });
        let others = (0..NODES).filter(|&other| other != node).map(|other| &self.nodes[other]);
        // Who is over cannot say what it knew; only what this node confirmed after its end leaves no doubt.
        let speaks = |other: &Node| {
            !other.paused && !other.home.remembers() && (other.ended_at == 0 || other.ended_at < state.confirmed_at)
        };
        if state.home.has_gap_as_home() && others.into_iter().all(speaks) {
            steps.push(Step::Speak { node });
        }
    }
}
