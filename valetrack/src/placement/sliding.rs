//! Sums over the last stretch of time, in constant memory.

/// Parts of a window that are summed apart.
const PARTS: u64 = 20;
/// Places for the parts of a window and the part that it has just left.
const PLACES: usize = PARTS as usize + 1;

/// Sum of what happened within a sliding window.
#[derive(Debug, Clone, Copy)]
pub struct SlidingSum {
    part_us: u64,
    /// Number of the newest part since the clock's start.
    newest: u64,
    parts: [f32; PLACES],
}

impl SlidingSum {
    /// Makes a sum of nothing over windows of `window_us`.
    pub fn new(window_us: u64) -> Self {
        Self { part_us: (window_us / PARTS).max(1), newest: 0, parts: [0.0; PLACES] }
    }

    /// Adds `amount` at `now_us`; a clock that goes back adds to the newest part.
    pub fn add(&mut self, amount: f32, now_us: u64) {
        self.advance(now_us);
        self.parts[place(self.newest)] += amount;
    }

    /// Returns a sum over no more than the window that ends at `now_us`.
    pub fn within(&mut self, now_us: u64) -> f64 {
        self.advance(now_us);
        let left = place(self.newest + 1);
        self.over(now_us) - f64::from(self.parts[left])
    }

    /// Returns a sum over no less than the window that ends at `now_us`.
    pub fn over(&mut self, now_us: u64) -> f64 {
        self.advance(now_us);
        self.parts.iter().copied().map(f64::from).sum()
    }

    fn advance(&mut self, now_us: u64) {
        let number = now_us / self.part_us;
        let passed = number.saturating_sub(self.newest).min(PLACES as u64);
        for ago in 0..passed {
            self.parts[place(number - ago)] = 0.0;
        }
        self.newest = self.newest.max(number);
    }
}

/// Returns where a part stands; the oldest one stands in the place that the next one takes.
const fn place(number: u64) -> usize {
    (number % PLACES as u64) as usize
}
