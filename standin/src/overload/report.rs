//! What callers got.

use std::fmt;

/// Length of a window, in microseconds.
pub const WINDOW_US: u64 = 2_000_000;

/// Calls that began in one window.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Window {
    /// Callers that came.
    pub callers: u64,
    /// Answers within the objective, counted from a caller's first call.
    pub in_time: u64,
    /// Answers after it.
    pub late: u64,
    /// Callers that were refused and not served when they came back.
    pub refused: u64,
    /// Callers that got no answer, or one of a failure.
    pub failed: u64,
    /// What all were worth.
    pub owed: f64,
    /// What answers in time were worth, and a tenth of that for late ones.
    pub earned: f64,
}

impl Window {
    /// Returns the share of what was owed that was earned.
    pub fn share(&self) -> f64 {
        if self.owed > 0.0 { self.earned / self.owed } else { 1.0 }
    }

    fn add(&mut self, other: &Self) {
        self.callers += other.callers;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.owed += other.owed;
        self.earned += other.earned;
    }
}

impl fmt::Display for Window {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { callers, in_time, late, refused, failed, .. } = self;
        let share = self.share();
        write!(f, "callers={callers} in_time={in_time} late={late} refused={refused} failed={failed} share={share:.3}")
    }
}

/// What callers got of one run, and what that took.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Windows by when a caller first came.
    pub windows: Vec<Window>,
    /// Callers by route.
    pub routes: Vec<Window>,
    /// Attempts that entries sent.
    pub sends: u64,
    /// Attempts that left their failure domain.
    pub far_sends: u64,
    /// Links that were opened for them.
    pub far_links: u64,
    /// Bytes that left the domain: handshakes, attempts, and the answers of those that ran.
    pub far_bytes: u64,
    /// Runs at upstreams.
    pub runs: u64,
    /// How often upstreams fell over.
    pub falls: u64,
}

impl Report {
    /// Counts something of a caller that came at a moment by a route.
    pub(super) fn count(&mut self, at_us: u64, route: usize, what: &Window) {
        grown(&mut self.windows, (at_us / WINDOW_US) as usize).add(what);
        grown(&mut self.routes, route).add(what);
    }

    /// Returns all windows as one.
    pub fn whole(&self) -> Window {
        let mut whole = Window::default();
        self.windows.iter().for_each(|window| whole.add(window));
        whole
    }

    /// Returns the mean share of the two worst windows.
    pub fn worst(&self) -> f64 {
        let mut shares: Vec<f64> = self.windows.iter().map(Window::share).collect();
        shares.sort_by(f64::total_cmp);
        let worst = &shares[..shares.len().min(2)];
        worst.iter().sum::<f64>() / worst.len().max(1) as f64
    }

    /// Returns the run in one line.
    pub fn line(&self, name: &str) -> String {
        let whole = self.whole();
        format!(
            "{name}: {whole} worst={:.3} sends={} far={} far_links={} far_kb={} runs={} falls={}",
            self.worst(),
            self.sends,
            self.far_sends,
            self.far_links,
            self.far_bytes / 1000,
            self.runs,
            self.falls
        )
    }
}

/// Returns the window at a place, after all that are missing before it.
fn grown(windows: &mut Vec<Window>, at: usize) -> &mut Window {
    if at >= windows.len() {
        windows.resize(at + 1, Window::default());
    }
    &mut windows[at]
}
