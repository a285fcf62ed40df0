//! Outcomes of the callers and costs of a run.

use std::fmt;

/// Length of a window.
pub const WINDOW_US: u64 = 2_000_000;

/// Outcomes of the callers that first called in one window.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Window {
    /// Callers.
    pub callers: u64,
    /// Callers answered within the objective, counted from their first call.
    pub in_time: u64,
    /// Callers answered after it.
    pub late: u64,
    /// Callers that were refused, and were not served on their retry either.
    pub refused: u64,
    /// Callers that received no answer or a failure.
    pub failed: u64,
    /// Utility if every caller were answered within its objective.
    pub utility_max: f64,
    /// Utility of the answers; a late one counts a tenth.
    pub utility: f64,
}

impl Window {
    /// Returns the reached share of the highest possible utility.
    pub fn utility_share(&self) -> f64 {
        if self.utility_max > 0.0 { self.utility / self.utility_max } else { 1.0 }
    }

    fn add(&mut self, other: &Self) {
        self.callers += other.callers;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.utility_max += other.utility_max;
        self.utility += other.utility;
    }
}

impl fmt::Display for Window {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { callers, in_time, late, refused, failed, .. } = self;
        let share = self.utility_share();
        write!(f, "callers={callers} in_time={in_time} late={late} refused={refused} failed={failed} share={share:.3}")
    }
}

/// Outcomes of the callers of one run, and its costs.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Windows, by the first call of a caller.
    pub windows: Vec<Window>,
    /// The same by route.
    pub routes: Vec<Window>,
    /// Attempts that entries sent.
    pub sends: u64,
    /// Attempts sent to another failure domain.
    pub cross_domain_sends: u64,
    /// Links opened for them.
    pub cross_domain_links: u64,
    /// Bytes between failure domains: handshakes, attempts, and the answers of attempts that ran.
    pub cross_domain_bytes: u64,
    /// Attempts sent to another region.
    pub region_sends: u64,
    /// Links opened for them.
    pub region_links: u64,
    /// Bytes between regions: handshakes, messages, attempts, and the answers of attempts that ran.
    pub region_bytes: u64,
    /// Runs at upstreams.
    pub runs: u64,
    /// Crashes of upstreams.
    pub crashes: u64,
}

impl Report {
    /// Adds the counts to the window of `at_us` and to the route.
    pub(super) fn count(&mut self, at_us: u64, route: usize, counts: &Window) {
        window_at(&mut self.windows, (at_us / WINDOW_US) as usize).add(counts);
        window_at(&mut self.routes, route).add(counts);
    }

    /// Returns the sum of all windows.
    pub fn total(&self) -> Window {
        let mut total = Window::default();
        self.windows.iter().for_each(|window| total.add(window));
        total
    }

    /// Returns the mean utility share of the two worst windows.
    pub fn worst_share(&self) -> f64 {
        let mut shares: Vec<f64> = self.windows.iter().map(Window::utility_share).collect();
        shares.sort_by(f64::total_cmp);
        let worst = &shares[..shares.len().min(2)];
        worst.iter().sum::<f64>() / worst.len().max(1) as f64
    }

    /// Returns a summary of the run in one line.
    pub fn line(&self, name: &str) -> String {
        let total = self.total();
        format!(
            "{name}: {total} worst={:.3} sends={} far={} far_links={} far_kb={} regions={} region_links={} regions_kb={} runs={} falls={}",
            self.worst_share(),
            self.sends,
            self.cross_domain_sends,
            self.cross_domain_links,
            self.cross_domain_bytes / 1000,
            self.region_sends,
            self.region_links,
            self.region_bytes / 1000,
            self.runs,
            self.crashes
        )
    }
}

/// Returns the window at an index, and adds empty windows up to it where they are missing.
fn window_at(windows: &mut Vec<Window>, at: usize) -> &mut Window {
    if at >= windows.len() {
        windows.resize(at + 1, Window::default());
    }
    &mut windows[at]
}
