//! Steps of nodes while a page may lack keys.

use super::{NODES, Node, Simulation, Step};

impl Simulation {
    pub(super) fn steps_of_gap(&self, node: usize, steps: &mut Vec<Step>) {
        let state = &self.nodes[node];
        if state.complete_in.is_some() {
            steps.push(Step::CloseGap { node });
        }
        if self.remaining.rounds == 0 {
            return;
        }
        if state.home.remembers() && (0..NODES).any(|other| other != node && self.nodes[other].home.has_gap()) {
            steps.push(Step::RequestReports { node });
        }
        if !state.home.has_gap() {
            return;
        }
        steps.push(Step::EndWait { node });
        let others = (0..NODES).filter(|&other| other != node).map(|other| &self.nodes[other]);
        // A dead node can't report its records. This node can do without them only if it was confirmed as the home
        // after the other one had ended.
        let can_report = |other: &Node| {
            !other.paused && !other.home.remembers() && (other.ended_at == 0 || other.ended_at < state.confirmed_at)
        };
        if state.home.has_gap_as_home() && others.into_iter().all(can_report) {
            steps.push(Step::ReportComplete { node });
        }
    }
}
